use super::codec::{decode_response, DecodedResponse};
use super::follower::MIN_RESPONSE_LIMIT_BYTES;
use super::http::ResponseError;
use wellcrank::port::EndpointState;

/// Returns a complete, indented list with this number of endpoints, every third of which is leaving.
pub(crate) fn indented_list(endpoints: usize) -> String {
    let indent = format!("\n{}", " ".repeat(16));
    let entry = |index: usize| {
        format!(
            r#"{indent}{{{indent}"uid": "s-{index:08x}",{indent}"endpoint": "10.{}.{}.18:6379",{indent}"az": "a",
            {indent}"model": "m2",{indent}"pod_group": {},{indent}"state": "{}",{indent}"capacity_hint": 1.0,
            {indent}"boot_ms": 1733100000000{indent}}}"#,
            index / 256,
            index % 256,
            index / 8,
            if index.is_multiple_of(3) {
                "leaving"
            } else {
                "active"
            }
        )
    };
    let entries: Vec<String> = (0..endpoints).map(entry).collect();
    format!(
        "{{\n  \"rev\": 41,\n  \"all\": true,\n  \"targets\": [{}\n]}}\n",
        entries.join(",")
    )
}

/// Decodes bytes that arrived on an open connection, with the smallest size limit.
fn decode_open(bytes: &[u8]) -> Result<Option<DecodedResponse>, ResponseError> {
    decode_response(bytes, false, MIN_RESPONSE_LIMIT_BYTES)
}

/// Decodes bytes that arrived on a connection that the peer has closed, with the smallest size limit.
fn decode_closed(bytes: &[u8]) -> Result<Option<DecodedResponse>, ResponseError> {
    decode_response(bytes, true, MIN_RESPONSE_LIMIT_BYTES)
}

fn expect_response(decoded: Result<Option<DecodedResponse>, ResponseError>) -> DecodedResponse {
    decoded
        .expect("a well-formed response")
        .expect("a complete response")
}

/// Returns whether the bytes are the beginning of a well-formed response.
fn is_incomplete(decoded: &Result<Option<DecodedResponse>, ResponseError>) -> bool {
    matches!(decoded, Ok(None))
}

fn sized_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chunked_response(body: &str, chunk_size: usize) -> String {
    let chunks = body.as_bytes().chunks(chunk_size).map(|chunk| {
        let text = std::str::from_utf8(chunk).expect("an ASCII body");
        format!("{:x}\r\n{text}\r\n", text.len())
    });
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunks.collect::<String>()
    )
}

#[test]
fn a_response_is_decoded_only_when_it_is_complete() {
    let body = r#"{"rev":7,"all":false,"targets":[]}"#;
    let sized = sized_response(body);
    let after_informational =
        format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{sized}");
    for text in [sized, chunked_response(body, 9), after_informational] {
        for end in 0..text.len() {
            let decoded = decode_open(&text.as_bytes()[..end]);
            assert!(is_incomplete(&decoded), "{end} bytes of {text}");
        }
        let response = expect_response(decode_open(text.as_bytes()));
        assert_eq!(response.message.revision, 7);
        assert!(!response.message.is_snapshot);
        assert_eq!(response.size, text.len());
    }
}

#[test]
fn a_response_without_an_endpoint_list_is_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"rev\":7,\"all\":true,\"targets\":[",
        "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 503 No\r\nContent-Length: 900\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "+OK\r\n\r\n",
    ] {
        assert!(decode_closed(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn an_incomplete_response_of_the_maximum_size_is_an_error() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n";
    let bytes = text.as_bytes();
    let below_limit = decode_response(bytes, false, bytes.len() + 1);
    assert!(is_incomplete(&below_limit));
    let at_limit = decode_response(bytes, false, bytes.len());
    assert!(matches!(
        at_limit,
        Err(ResponseError::TooLong { max_size }) if max_size == bytes.len()
    ));
}

#[test]
fn an_indented_list_of_1024_endpoints_fits_the_smallest_size_limit() {
    let body = indented_list(1024);
    for text in [
        sized_response(&body),
        chunked_response(&body, 1000),
        chunked_response(&body, 7),
        chunked_response(&body, 400_000),
    ] {
        let response = expect_response(decode_open(text.as_bytes()));
        assert_eq!(response.size, text.len());
        let update = response.message.parse();
        assert_eq!(update.revision, 41);
        assert!(update.is_snapshot);
        assert_eq!(update.endpoints.len(), 1024);
        assert!(update.unreadable_entries.is_empty());
        let mut addresses = update.endpoints.iter().map(|listed| listed.address);
        assert!(addresses.all(|address| address.is_some()));
        assert_eq!(update.count(EndpointState::Draining), 342);
    }
}

#[test]
fn a_malformed_entry_does_not_affect_the_others() {
    let body = r#"{"rev":9,"all":true,"targets":[
        {"uid":"a","endpoint":"127.0.0.1:1","state":"active"},
        {"uid":"b","endpoint":"127.0.0.1:2","state":"paused"},
        {"uid":"c","endpoint":"render-3","state":"leaving"},
        {"endpoint":"127.0.0.1:4","state":"active"},
        {"uid":"e","endpoint":"127.0.0.1:5","state":"active","boot_ms":-1},
        7,
        {"uid":"f","state":"left"}]}"#;
    let update = expect_response(decode_open(sized_response(body).as_bytes()))
        .message
        .parse();
    let endpoints: Vec<(&str, EndpointState, bool)> = update
        .endpoints
        .iter()
        .map(|listed| {
            let endpoint = &listed.endpoint;
            (&*endpoint.id.0, endpoint.state, listed.address.is_some())
        })
        .collect();
    assert_eq!(
        endpoints,
        [
            ("a", EndpointState::Ready, true),
            ("c", EndpointState::Draining, false),
            ("f", EndpointState::Removed, false)
        ]
    );
    let unreadable = update.unreadable_endpoints.iter().map(|id| &*id.0);
    assert_eq!(unreadable.collect::<Vec<_>>(), ["b", "e"]);
    let expected = [
        "entry 1 (b): unknown variant `paused`",
        "entry 2 (c): address \"render-3\" is not an IP address with a port",
        "entry 3 (no uid)",
        "entry 4 (e)",
        "entry 5 (no uid)",
    ];
    assert_eq!(update.unreadable_entries.len(), expected.len());
    for (entry, beginning) in update.unreadable_entries.iter().zip(expected) {
        assert!(entry.to_string().starts_with(beginning), "{entry}");
    }
}

#[test]
fn a_response_without_length_is_complete_when_the_peer_closes_the_connection() {
    let text = "HTTP/1.1 200 OK\r\n\r\n{\"rev\":7,\"all\":true,\"targets\":[]}";
    for end in 0..=text.len() {
        assert!(is_incomplete(&decode_open(&text.as_bytes()[..end])));
    }
    let response = expect_response(decode_closed(text.as_bytes()));
    assert_eq!(response.message.revision, 7);
    assert!(response.message.is_snapshot);
    assert_eq!(response.size, text.len());
    // Closing the connection does not complete a response that has a Content-Length or is chunked.
    for truncated in [
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{",
    ] {
        assert!(
            is_incomplete(&decode_closed(truncated.as_bytes())),
            "{truncated}"
        );
    }
}
