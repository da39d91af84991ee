use super::*;

#[test]
fn requests_are_taken_whole() {
    let whole = b"GET /registry/instances?after=41&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n";
    for end in 0..whole.len() {
        assert_eq!(request(&whole[..end]), Ok(None));
    }
    let wanted = Wanted::After(41, Duration::from_secs(20));
    assert_eq!(request(whole), Ok(Some((wanted, whole.len()))));
    let plain = b"GET /registry/instances HTTP/1.1\r\n\r\n";
    assert_eq!(request(plain), Ok(Some((Wanted::Whole, plain.len()))));
    assert!(request(b"POST /registry/instances HTTP/1.1\r\n\r\n").is_err());
}
