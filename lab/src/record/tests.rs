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
    let requests = sample();
    let mut recorder = Recorder::new(&mut bytes).unwrap();
    requests
        .iter()
        .for_each(|request| recorder.append(request).unwrap());
    recorder.finish().unwrap();
    assert_eq!(read(&bytes[..]).unwrap(), requests);
    assert!(read(&bytes[..bytes.len() - 9]).is_err());
}

#[test]
fn an_invalid_recording_is_refused_with_the_line() {
    let header = r#"{"format":"wellcrank-asked","version":1}"#;
    let valid_line = r#"{"at_ms":9,"account":"07","plan":"p","route":"r","units":1}"#;
    for (lines, expected) in [
        (
            vec![r#"{"format":"other","version":1}"#],
            "line 1: expected format wellcrank-asked version 1, found format other version 1",
        ),
        (
            vec![
                header,
                valid_line,
                r#"{"at_ms":8,"account":"07","plan":"p","route":"r","units":1}"#,
            ],
            "line 3: expected lines in the order of time, found 8ms after 9ms",
        ),
        (
            vec![
                header,
                r#"{"at_ms":8,"account":"x","plan":"p","route":"r","units":1}"#,
            ],
            "line 2: expected an account of up to 33 bits in hexadecimal, found 'x'",
        ),
        (
            vec![
                header,
                r#"{"at_ms":8,"account":"07","plan":"p","route":"r","units":-1}"#,
            ],
            "line 2: expected at_ms from 0 to 31536000000 and units from 0 to 1000000, \
             found at_ms 8 and units -1",
        ),
        (vec![header, "{}"], "line 2: missing field"),
    ] {
        let error = read(&compressed(&lines)[..]).unwrap_err();
        let text = ErrorChain(&error).to_string();
        assert!(text.starts_with(expected), "{text}");
    }
}

#[test]
fn scaled_traffic_has_more_accounts_and_stays_ordered() {
    let doubled = scale(&sample(), 2.0, 3);
    assert_eq!(doubled.len(), 100);
    assert!(doubled.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let accounts: std::collections::BTreeSet<u64> =
        doubled.iter().map(|request| request.account).collect();
    assert_eq!(accounts.len(), 10);
    assert_eq!(scale(&sample(), 1.0, 3), sample());
}
