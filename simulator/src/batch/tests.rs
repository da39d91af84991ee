use super::*;
use crate::with_causes;
use std::io;

const FRAME: &str = r#"{"event_type":"frame","wall_ns":8412250000}"#;
const END: &str = r#"{"event_type":"eob"}"#;
const EMPTY_REPLY: &str = "{\"event_type\":\"finished\"}\n";
const START: &str =
    r#"{"event_type":"open_instance","i":3,"salt":7,"config":{"classes":[{"name":"read"}]}}"#;

/// Returns what is written to the output for these lines, and the error that ends the program, if there is one.
fn replies(lines: &[&str]) -> (String, Option<String>) {
    let input = lines.join("\n");
    let mut output = Vec::new();
    let end = serve(input.as_bytes(), &mut output);
    let error = end.err().map(|error| with_causes(&error));
    (String::from_utf8(output).expect("JSON is text"), error)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies(&[FRAME, END]), (EMPTY_REPLY.to_string(), None));
    assert_eq!(replies(&[]), (String::new(), None));
}

#[test]
fn an_instance_acts_in_the_reply_to_its_batch() {
    let request = r#"{"event_type":"inbound","i":3,"txn":"request-1","qos":"read","valid_until_ns":9412250000}"#;
    let endpoints =
        r#"{"event_type":"fleet","i":3,"scope":"C","lines":[{"server":"server-1","phase":"IN"}]}"#;
    let (output, error) = replies(&[FRAME, START, endpoints, request, END, FRAME, END]);
    assert_eq!(error, None);
    let (first, second) = output.split_once(EMPTY_REPLY).expect("two replies");
    assert!(
        first
            .lines()
            .any(|action| action.contains(r#""event_type":"transmit","i":3,"server":"server-1""#)),
        "{first}"
    );
    assert_eq!(second, EMPTY_REPLY);
}

#[test]
fn events_for_instances_that_are_not_running_have_no_effect_even_if_invalid() {
    let stop = r#"{"event_type":"crash_now","i":3}"#;
    let invalid_event = r#"{"event_type":"report_back","i":3,"disposition":7}"#;
    assert_eq!(
        replies(&[FRAME, invalid_event, END]),
        (EMPTY_REPLY.to_string(), None)
    );
    let (output, error) = replies(&[FRAME, START, stop, invalid_event, stop, END]);
    assert_eq!(error, None);
    assert!(output.ends_with(EMPTY_REPLY), "{output}");
}

#[test]
fn the_error_for_an_invalid_line_names_its_number_and_the_reason() {
    let invalid = [
        (
            "{",
            "line 3 of the input is invalid: not valid JSON: EOF while parsing an object at line 1 column 1",
        ),
        ("[]", "line 3 of the input is invalid: invalid value []; expected a JSON object"),
        ("{}", "line 3 of the input is invalid: field 'event_type' is missing or null; expected a string"),
        (
            r#"{"event_type":"wake","i":3,"token":"x"}"#,
            "line 3 of the input is invalid: field 'token' has the invalid value \"x\"; expected a whole number of at least 0",
        ),
        (
            r#"{"event_type":"open_instance","i":3,"config":{"index":-1}}"#,
            "line 3 of the input is invalid: settings: index: -1 is not a count; expected a whole number from 0 to 4294967295",
        ),
    ];
    for (line, expected) in invalid {
        let (output, error) = replies(&[FRAME, START, line, END]);
        assert_eq!(error.as_deref(), Some(expected));
        assert_eq!(output, "", "no reply to the invalid batch");
    }
}

#[test]
fn the_error_for_input_that_is_not_utf8_names_the_line() {
    let end = serve(&b"{\"event_type\":\"eob\"}\n\xff\n"[..], Vec::new());
    let error = end.expect_err("the input is not UTF-8");
    assert_eq!(
        with_causes(&error),
        "line 2 of the input cannot be read: stream did not contain valid UTF-8"
    );
}

#[test]
fn a_reply_that_cannot_be_written_ends_the_program() {
    struct ClosedPipe;
    impl Write for ClosedPipe {
        fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
            Err(io::Error::other("the pipe is closed"))
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let end = serve(END.as_bytes(), ClosedPipe);
    let error = end.expect_err("the output is closed");
    assert_eq!(
        with_causes(&error),
        "the reply to a batch cannot be written: the pipe is closed"
    );
}
