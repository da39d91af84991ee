use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the reply after one action of instance 3.
fn reply_to(act: impl FnOnce(&mut dyn Port)) -> String {
    let reply = Reply::default();
    act(&mut ActionEncoder::new(3, reply.clone()));
    let mut output = Vec::new();
    reply.send(&mut output).expect("writing to memory succeeds");
    String::from_utf8(output).expect("the reply is UTF-8")
}

fn assert_encodes(act: fn(&mut dyn Port), expected: &str) {
    assert_eq!(reply_to(act), format!("{expected}\n{END_OF_REPLY}"));
}

#[test]
fn an_action_on_a_request_carries_the_requests_id() {
    assert_encodes(
        |port| {
            port.send(
                &"request-1".into(),
                &"server-1".into(),
                SECOND,
                Duration::MAX,
            )
        },
        r#"{"event_type":"transmit","i":3,"server":"server-1","timeout_ns":1000000000,"txn":"request-1"}"#,
    );
    assert_encodes(
        |port| port.cancel(&"request-1".into(), AttemptNumber(1)),
        r#"{"attempt":1,"event_type":"undo_send","i":3,"txn":"request-1"}"#,
    );
    assert_encodes(
        |port| port.reject(&"request-1".into(), SECOND),
        r#"{"backoff_ns":1000000000,"event_type":"turn_away","i":3,"txn":"request-1"}"#,
    );
    assert_encodes(
        |port| port.fail(&"request-1".into()),
        r#"{"event_type":"give_up","i":3,"txn":"request-1"}"#,
    );
}

#[test]
fn an_action_on_the_counter_or_a_timer_carries_the_name_or_token_of_its_reply() {
    assert_encodes(
        |port| port.add_to_counter(CounterName(9), -4.5, SECOND),
        r#"{"event_type":"bump","expire_in_ns":1000000000,"i":3,"name":9,"step":-4.5}"#,
    );
    assert_encodes(
        |port| port.set_timer(TimerToken(2), SECOND),
        r#"{"due_at_ns":1000000000,"event_type":"defer","i":3,"token":2}"#,
    );
    assert_encodes(
        |port| port.set_timer(TimerToken(2), Duration::MAX),
        r#"{"due_at_ns":9223372036854775807,"event_type":"defer","i":3,"token":2}"#,
    );
}

#[test]
fn an_action_on_one_endpoint_names_it_and_one_on_discovery_names_none() {
    assert_encodes(
        |port| port.probe(&"server-1".into()),
        r#"{"event_type":"probe","i":3,"server":"server-1"}"#,
    );
    assert_encodes(
        |port| port.close_idle_connections(&"server-1".into()),
        r#"{"event_type":"let_go","i":3,"server":"server-1"}"#,
    );
    assert_encodes(
        |port| port.subscribe(true),
        r#"{"active":true,"event_type":"subscribe","i":3}"#,
    );
    assert_encodes(
        |port| port.refetch_endpoints(),
        r#"{"event_type":"refresh","i":3}"#,
    );
}

#[test]
fn a_message_to_peers_is_hexadecimal_and_a_log_line_is_text() {
    assert_encodes(
        |port| port.send_to_peer(Some(4), b"h\x01"),
        r#"{"body":"6801","event_type":"post","i":3,"recipient":4}"#,
    );
    assert_encodes(
        |port| port.send_to_peer(None, b""),
        r#"{"body":"","event_type":"post","i":3,"recipient":"all"}"#,
    );
    assert_encodes(
        |port| port.log("two servers known"),
        r#"{"event_type":"say_log","i":3,"reason_text":"two servers known"}"#,
    );
}

#[test]
fn a_reply_contains_no_actions_of_the_previous_reply() {
    let reply = Reply::default();
    ActionEncoder::new(3, reply.clone()).log("first batch");
    let mut output = Vec::new();
    reply.send(&mut output).expect("writing to memory succeeds");
    output.clear();
    reply.send(&mut output).expect("writing to memory succeeds");
    assert_eq!(output, END_OF_REPLY.as_bytes());
}
