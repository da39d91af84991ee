use super::*;
use crate::error::ErrorChain;

fn sample() -> Vec<RecordedRequest> {
    let request = |ms, account| RecordedRequest {
        at: Duration::from_millis(ms),
        account,
        plan: "desk".into(),
        route: "preview".into(),
        units: 2.0,
    };
    (0..50)
        .map(|index| request(index * 10, 7 + index % 5))
        .collect()
}

fn compressed(lines: &[&str]) -> Vec<u8> {
    zstd::stream::encode_all(lines.join("\n").as_bytes(), 0).unwrap()
}

#[test]
fn a_recording_reads_back_as_written_and_a_truncated_one_is_refused() {
    let mut bytes = Vec::new();
    let all = sample();
    let mut recorder = Recorder::new(&mut bytes).unwrap();
    all.iter().for_each(|it| recorder.append(it).unwrap());
    recorder.finish().unwrap();
    assert_eq!(read(&bytes[..]).unwrap(), all);
    assert!(read(&bytes[..bytes.len() - 9]).is_err());
}

#[test]
fn an_invalid_recording_is_refused_with_the_line() {
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
        let error = read(&compressed(&lines)[..]).unwrap_err();
        let text = ErrorChain(&error).to_string();
        assert!(text.starts_with(wanted), "{text}");
    }
}

#[test]
fn scaled_traffic_has_more_accounts_and_stays_ordered() {
    let twice = scale(&sample(), 2.0, 3);
    assert_eq!(twice.len(), 100);
    assert!(twice.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let accounts: std::collections::BTreeSet<u64> = twice.iter().map(|it| it.account).collect();
    assert_eq!(accounts.len(), 10);
    assert_eq!(scale(&sample(), 1.0, 3), sample());
}
