use super::*;

#[test]
fn requests_are_parsed_when_they_are_complete() {
    let watch = b"GET /registry/instances?after=41&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n";
    for end in 0..watch.len() {
        assert_eq!(parse_request(&watch[..end]), Ok(None));
    }
    let expected = ParsedRequest {
        request: ListRequest::Watch {
            known_version: 41,
            max_wait: Duration::from_secs(20),
        },
        length: watch.len(),
    };
    assert_eq!(parse_request(watch), Ok(Some(expected)));
    let plain = b"GET /registry/instances HTTP/1.1\r\n\r\n";
    let snapshot = ParsedRequest {
        request: ListRequest::Snapshot,
        length: plain.len(),
    };
    assert_eq!(parse_request(plain), Ok(Some(snapshot)));
    assert!(parse_request(b"POST /registry/instances HTTP/1.1\r\n\r\n").is_err());
}
