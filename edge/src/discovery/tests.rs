use super::*;

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
fn read(bytes: &[u8]) -> Result<Option<(ListUpdate, usize)>, String> {
    answer(bytes, false, LIST)
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
        let (news, took) = read(whole.as_bytes())
            .expect("nothing is wrong")
            .expect("all is there");
        assert_eq!((news.rev, news.all, took), (7, false, whole.len()));
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
        assert!(answer(wrong.as_bytes(), true, LIST).is_err(), "{wrong}");
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
        let (news, took) = read(whole.as_bytes())
            .expect("nothing is wrong")
            .expect("all is there");
        let change = news.change();
        assert_eq!(
            (change.rev, change.whole, change.lines.len(), took),
            (41, true, 1024, whole.len())
        );
        assert!(change.wrong.is_empty() && change.lines.iter().all(|(_, at)| at.is_some()));
        let leaving = change
            .lines
            .iter()
            .filter(|(line, _)| line.state == EndpointState::Draining)
            .count();
        assert_eq!(leaving, 342);
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
    let (news, _) = read(plain(body).as_bytes())
        .expect("a list")
        .expect("whole");
    let change = news.change();
    let read: Vec<(&str, EndpointState, bool)> = change
        .lines
        .iter()
        .map(|(line, at)| (&*line.id.0, line.state, at.is_some()))
        .collect();
    assert_eq!(
        read,
        [
            ("a", EndpointState::Ready, true),
            ("c", EndpointState::Draining, false),
            ("f", EndpointState::Removed, false)
        ]
    );
    let kept: Vec<&str> = change.kept.iter().map(|server| &*server.0).collect();
    assert_eq!(kept, ["b", "e"]);
    let begins = [
        "entry 1 (b): unknown variant `paused`",
        "entry 2 (c): \"render-3\" is no address",
        "entry 3 (no uid)",
        "entry 4 (e)",
        "entry 5 (no uid)",
    ];
    assert_eq!(change.wrong.len(), begins.len());
    assert!(
        change
            .wrong
            .iter()
            .zip(begins)
            .all(|(wrong, begin)| wrong.starts_with(begin)),
        "{:?}",
        change.wrong
    );
}

#[test]
fn an_answer_without_length_is_whole_where_the_other_side_ends_it() {
    let whole = "HTTP/1.1 200 OK\r\n\r\n{\"rev\":7,\"all\":true,\"targets\":[]}";
    for end in 0..=whole.len() {
        assert!(read(&whole.as_bytes()[..end])
            .expect("nothing is wrong")
            .is_none());
    }
    let (news, took) = answer(whole.as_bytes(), true, LIST)
        .expect("nothing is wrong")
        .expect("all is there");
    assert_eq!((news.rev, news.all, took), (7, true, whole.len()));
    // An end is none where a length was told that has not come.
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{",
    ] {
        assert!(answer(cut.as_bytes(), true, LIST)
            .expect("nothing is wrong")
            .is_none());
    }
}
