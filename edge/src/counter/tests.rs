use super::*;

#[test]
fn reply_lines_are_parsed_or_found_malformed() {
    let cases = [
        ("ok 17", Some(CounterReply::Total(17.0))),
        ("ok -2.5", Some(CounterReply::Total(-2.5))),
        ("ok inf", None),
        ("ok NaN", None),
        ("ok", None),
        ("busy", Some(CounterReply::NotApplied)),
        ("error", Some(CounterReply::NotApplied)),
        ("pong", Some(CounterReply::NotApplied)),
        ("busy 1", None),
        ("", None),
    ];
    for (line, reply) in cases {
        assert_eq!(parse_reply(line), reply, "{line:?}");
    }
}

#[test]
fn line_length_covers_complete_overlong_and_incomplete_lines() {
    let too_long = [b'x'; MAX_REPLY_LINE_BYTES + 1];
    let cases: [(&[u8], Option<usize>); 4] = [
        (b"ok 1\r\nok 2\r\n", Some(6)),
        (b"ok 1\r", None),
        (&too_long[1..], None),
        (&too_long, Some(too_long.len())),
    ];
    for (bytes, length) in cases {
        assert_eq!(line_length(bytes), length);
    }
}
