use super::*;

fn some() -> Vec<Recorded> {
    let one = |ms, account| Recorded {
        at: Duration::from_millis(ms),
        account,
        plan: "desk".into(),
        route: "preview".into(),
        units: 2.0,
    };
    (0..50)
        .map(|place| one(place * 10, 7 + place % 5))
        .collect()
}

fn file(lines: &[&str]) -> Vec<u8> {
    zstd::stream::encode_all(lines.join("\n").as_bytes(), 0).unwrap()
}

#[test]
fn what_is_recorded_is_read_again() {
    let (mut bytes, all) = (Vec::new(), some());
    let mut recorder = Recorder::new(&mut bytes).unwrap();
    all.iter().for_each(|it| recorder.note(it).unwrap());
    recorder.finish().unwrap();
    assert_eq!(read(&bytes[..]).unwrap(), all);
    // A file that was cut off says so.
    assert!(read(&bytes[..bytes.len() - 9]).is_err());
}

#[test]
fn what_is_wrong_is_told_with_its_line() {
    let head = r#"{"format":"wellcrank-asked","version":1}"#;
    let good = r#"{"at_ms":9,"account":"07","plan":"p","route":"r","units":1}"#;
    for (lines, wanted) in [
        (
            vec![r#"{"format":"other","version":1}"#],
            "line 1: expected wellcrank-asked 1",
        ),
        (
            vec![
                head,
                good,
                r#"{"at_ms":8,"account":"07","plan":"p","route":"r","units":1}"#,
            ],
            "line 3: expected lines",
        ),
        (
            vec![
                head,
                r#"{"at_ms":8,"account":"x","plan":"p","route":"r","units":1}"#,
            ],
            "line 2: no account",
        ),
        (
            vec![
                head,
                r#"{"at_ms":8,"account":"07","plan":"p","route":"r","units":-1}"#,
            ],
            "line 2: expected a time",
        ),
        (vec![head, "{}"], "line 2: missing field"),
    ] {
        let why = read(&file(&lines)[..]).unwrap_err();
        assert!(why.starts_with(wanted), "{why}");
    }
}

#[test]
fn scaled_traffic_has_more_accounts_in_order() {
    let twice = scaled(&some(), 2.0, 3);
    assert_eq!(twice.len(), 100);
    assert!(twice.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let accounts: std::collections::BTreeSet<u64> = twice.iter().map(|it| it.account).collect();
    assert_eq!(accounts.len(), 10);
    assert_eq!(scaled(&some(), 1.0, 3), some());
}
