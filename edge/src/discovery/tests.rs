use super::codec::{decode_response, DecodedResponse};
use super::follower::MIN_RESPONSE_LIMIT;
use super::http::ResponseError;
use wellcrank::port::EndpointState;

/// A whole list of so many servers, every third of them leaving, indented.
pub fn indented(servers: usize) -> String {
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
    let entries: Vec<String> = (0..servers).map(entry).collect();
    format!(
        "{{\n  \"rev\": 41,\n  \"all\": true,\n  \"targets\": [{}\n]}}\n",
        entries.join(",")
    )
}

/// What a gateway with little memory takes.
fn read(bytes: &[u8]) -> Result<Option<DecodedResponse>, ResponseError> {
    decode_response(bytes, false, MIN_RESPONSE_LIMIT)
}

fn plain(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chunked(body: &str, size: usize) -> String {
    let parts = body.as_bytes().chunks(size).map(|part| {
        let text = std::str::from_utf8(part).expect("plain letters");
        format!("{:x}\r\n{text}\r\n", text.len())
    });
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        parts.collect::<String>()
    )
}

#[test]
fn answers_are_taken_whole_or_not_at_all() {
    let body = r#"{"rev":7,"all":false,"targets":[]}"#;
    let plain = plain(body);
    let early =
        format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{plain}");
    for whole in [plain, chunked(body, 9), early] {
        for end in 0..whole.len() {
            assert!(read(&whole.as_bytes()[..end])
                .expect("nothing is wrong")
                .is_none());
        }
        let response = read(whole.as_bytes())
            .expect("nothing is wrong")
            .expect("all is there");
        assert_eq!(
            (
                response.message.revision,
                response.message.is_snapshot,
                response.size
            ),
            (7, false, whole.len())
        );
    }
    for wrong in [
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
        assert!(
            decode_response(wrong.as_bytes(), true, MIN_RESPONSE_LIMIT).is_err(),
            "{wrong}"
        );
    }
}

#[test]
fn an_indented_list_of_1024_servers_is_read_with_the_least_memory() {
    let body = indented(1024);
    for whole in [
        plain(&body),
        chunked(&body, 1000),
        chunked(&body, 7),
        chunked(&body, 400_000),
    ] {
        let response = read(whole.as_bytes())
            .expect("nothing is wrong")
            .expect("all is there");
        let size = response.size;
        let update = response.message.parse();
        assert_eq!(
            (
                update.revision,
                update.is_snapshot,
                update.endpoints.len(),
                size
            ),
            (41, true, 1024, whole.len())
        );
        assert!(
            update.unreadable_entries.is_empty()
                && update
                    .endpoints
                    .iter()
                    .all(|listed| listed.address.is_some())
        );
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
    let response = read(plain(body).as_bytes())
        .expect("a list")
        .expect("whole");
    let update = response.message.parse();
    let read: Vec<(&str, EndpointState, bool)> = update
        .endpoints
        .iter()
        .map(|listed| {
            (
                &*listed.endpoint.id.0,
                listed.endpoint.state,
                listed.address.is_some(),
            )
        })
        .collect();
    assert_eq!(
        read,
        [
            ("a", EndpointState::Ready, true),
            ("c", EndpointState::Draining, false),
            ("f", EndpointState::Removed, false)
        ]
    );
    let kept: Vec<&str> = update
        .unreadable_endpoints
        .iter()
        .map(|server| &*server.0)
        .collect();
    assert_eq!(kept, ["b", "e"]);
    let begins = [
        "entry 1 (b): unknown variant `paused`",
        "entry 2 (c): \"render-3\" is no address",
        "entry 3 (no uid)",
        "entry 4 (e)",
        "entry 5 (no uid)",
    ];
    let reasons: Vec<String> = update
        .unreadable_entries
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(reasons.len(), begins.len());
    for (reason, begin) in reasons.iter().zip(begins) {
        assert!(reason.starts_with(begin), "{reason}");
    }
}

#[test]
fn an_answer_without_length_is_whole_where_the_other_side_ends_it() {
    let whole = "HTTP/1.1 200 OK\r\n\r\n{\"rev\":7,\"all\":true,\"targets\":[]}";
    for end in 0..=whole.len() {
        assert!(read(&whole.as_bytes()[..end])
            .expect("nothing is wrong")
            .is_none());
    }
    let response = decode_response(whole.as_bytes(), true, MIN_RESPONSE_LIMIT)
        .expect("nothing is wrong")
        .expect("all is there");
    assert_eq!(
        (
            response.message.revision,
            response.message.is_snapshot,
            response.size
        ),
        (7, true, whole.len())
    );
    // An end is none where a length was told that has not come.
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{",
    ] {
        assert!(decode_response(cut.as_bytes(), true, MIN_RESPONSE_LIMIT)
            .expect("nothing is wrong")
            .is_none());
    }
}
