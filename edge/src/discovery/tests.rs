use super::codec::{decode_response, DecodedResponse};
use super::follower::MIN_RESPONSE_LIMIT_BYTES;
use super::http::ResponseError;
use wellcrank::port::EndpointState;

/// A whole list of so many endpoints, every third of them leaving, indented.
pub(crate) fn indented(endpoints: usize) -> String {
    let indent = format!("\n{}", " ".repeat(16));
    let entry = |n: usize| {
        format!(
            r#"{indent}{{{indent}"uid": "s-{n:08x}",{indent}"endpoint": "10.{}.{}.18:6379",{indent}"az": "a",
            {indent}"model": "m2",{indent}"pod_group": {},{indent}"state": "{}",{indent}"capacity_hint": 1.0,
            {indent}"boot_ms": 1733100000000{indent}}}"#,
            n / 256,
            n % 256,
            n / 8,
            if n.is_multiple_of(3) {
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

/// Decodes what has come on an open connection, in a gateway with little memory.
fn decode_open(bytes: &[u8]) -> Result<Option<DecodedResponse>, ResponseError> {
    decode_response(bytes, false, MIN_RESPONSE_LIMIT_BYTES)
}

/// Decodes what came on a connection that the peer has ended.
fn decode_ended(bytes: &[u8]) -> Result<Option<DecodedResponse>, ResponseError> {
    decode_response(bytes, true, MIN_RESPONSE_LIMIT_BYTES)
}

/// The whole response that must be there.
fn whole(decoded: Result<Option<DecodedResponse>, ResponseError>) -> DecodedResponse {
    decoded.expect("nothing is wrong").expect("all is there")
}

/// Whether nothing is wrong, and something is missing yet.
fn is_incomplete(decoded: &Result<Option<DecodedResponse>, ResponseError>) -> bool {
    matches!(decoded, Ok(None))
}

fn sized(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chunked(body: &str, chunk_size: usize) -> String {
    let chunks = body.as_bytes().chunks(chunk_size).map(|chunk| {
        let text = std::str::from_utf8(chunk).expect("plain letters");
        format!("{:x}\r\n{text}\r\n", text.len())
    });
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunks.collect::<String>()
    )
}

#[test]
fn a_response_is_taken_whole_or_not_at_all() {
    let body = r#"{"rev":7,"all":false,"targets":[]}"#;
    let sized = sized(body);
    let after_informational =
        format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{sized}");
    for text in [sized, chunked(body, 9), after_informational] {
        for end in 0..text.len() {
            let decoded = decode_open(&text.as_bytes()[..end]);
            assert!(is_incomplete(&decoded), "{end} bytes of {text}");
        }
        let response = whole(decode_open(text.as_bytes()));
        assert_eq!(response.message.revision, 7);
        assert!(!response.message.is_snapshot);
        assert_eq!(response.size, text.len());
    }
}

#[test]
fn what_holds_no_list_is_an_error() {
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
        assert!(decode_ended(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn an_incomplete_response_is_an_error_once_no_more_may_be_buffered() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n";
    let bytes = text.as_bytes();
    let with_room = decode_response(bytes, false, bytes.len() + 1);
    assert!(is_incomplete(&with_room));
    let without_room = decode_response(bytes, false, bytes.len());
    assert!(matches!(without_room, Err(ResponseError::TooLong)));
}

#[test]
fn an_indented_list_of_1024_endpoints_is_read_with_the_least_memory() {
    let body = indented(1024);
    for text in [
        sized(&body),
        chunked(&body, 1000),
        chunked(&body, 7),
        chunked(&body, 400_000),
    ] {
        let response = whole(decode_open(text.as_bytes()));
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
fn an_entry_that_cannot_be_read_loses_nothing_but_itself() {
    let body = r#"{"rev":9,"all":true,"targets":[
        {"uid":"a","endpoint":"127.0.0.1:1","state":"active"},
        {"uid":"b","endpoint":"127.0.0.1:2","state":"paused"},
        {"uid":"c","endpoint":"render-3","state":"leaving"},
        {"endpoint":"127.0.0.1:4","state":"active"},
        {"uid":"e","endpoint":"127.0.0.1:5","state":"active","boot_ms":-1},
        7,
        {"uid":"f","state":"left"}]}"#;
    let update = whole(decode_open(sized(body).as_bytes())).message.parse();
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
        "entry 2 (c): \"render-3\" is no address",
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
fn a_response_without_length_is_whole_where_the_peer_ends_the_connection() {
    let text = "HTTP/1.1 200 OK\r\n\r\n{\"rev\":7,\"all\":true,\"targets\":[]}";
    for end in 0..=text.len() {
        assert!(is_incomplete(&decode_open(&text.as_bytes()[..end])));
    }
    let response = whole(decode_ended(text.as_bytes()));
    assert_eq!(response.message.revision, 7);
    assert!(response.message.is_snapshot);
    assert_eq!(response.size, text.len());
    // A response that states its length, or comes in chunks, does not become whole by an end.
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{",
    ] {
        assert!(is_incomplete(&decode_ended(cut.as_bytes())), "{cut}");
    }
}
