use super::*;
use serde_json::json;
use std::time::Duration;

const STRING: &str = "a string";
const WHOLE_NUMBER: &str = "a whole number of at least 0";
const SCOPE_CODES: &str = "'D', 'F', 'C' or 'X'";
const ATTEMPT_CODES: &str = "'S', 'E', 'F', 'T', 'C', 'R', 'X' or 'N'";
const COUNTER_CODES: &str = "'S', 'F', 'C' or 'T'";

fn decode(event: &Value) -> Result<Event, LineError> {
    let fields = Fields::of_object(event).expect("an object");
    let event_type = fields.text("event_type").expect("an event type");
    UndecodedEvent::new(event_type, fields).decode()
}

/// Compares the `Debug` texts, because the controller's types don't implement `PartialEq`.
fn assert_decodes(event: Value, expected: Event) {
    let decoded = decode(&event).unwrap_or_else(|error| panic!("{event}: {error}"));
    assert_eq!(format!("{decoded:?}"), format!("{expected:?}"), "{event}");
}

fn assert_invalid(event: Value, reason: &str) {
    match decode(&event) {
        Ok(decoded) => panic!("{event} was decoded as {decoded:?}"),
        Err(error) => assert_eq!(error.to_string(), reason, "{event}"),
    }
}

/// Returns the event with a different value of one field; null removes the field.
fn with(event: &Value, field: &str, value: Value) -> Value {
    let mut changed = event.clone();
    changed[field] = value;
    changed
}

fn request_event() -> Value {
    json!({
        "event_type": "inbound", "i": 3, "txn": "5d3a", "valid_until_ns": 8652250000u64, "plan": "basic",
        "from_no": 1, "spread": 3, "holder": "91f0", "qos": "preview", "size_units": 2, "retry": false,
        "mutates": false,
    })
}

fn request() -> Request {
    Request {
        id: "5d3a".into(),
        customer: "91f0".into(),
        plan: "basic".into(),
        route: "preview".into(),
        units: 2.0,
        deadline: Duration::from_nanos(8_652_250_000),
        first_gateway: 1,
        gateway_count: 3,
    }
}

fn attempt_event() -> Value {
    json!({
        "event_type": "report_back", "i": 3, "txn": "5d3a", "attempt": 1, "server": "server.a", "disposition": "S",
        "lag_ns": 18500000, "closed": true, "seen_use": 86, "settled": 3, "pressure": {"busy_reqs": 7, "odd": "x"},
    })
}

fn attempt_end(outcome: AttemptOutcome, settled_units: Option<f64>, load: &[(&str, f64)]) -> Event {
    let load = load.iter().map(|(name, value)| (name.to_string(), *value));
    Event::AttemptEnd {
        request: "5d3a".into(),
        attempt: AttemptNumber(1),
        result: AttemptResult {
            outcome,
            latency: Duration::from_nanos(18_500_000),
            request_closed: true,
            settled_units,
            load: load.collect(),
        },
    }
}

fn endpoint_event(scope: &str, entries: Value) -> Value {
    json!({"event_type": "fleet", "i": 3, "stamp": 41, "scope": scope, "lines": entries})
}

fn counter_event(code: &str, total: Value) -> Value {
    json!({"event_type": "tallied", "name": 9041552, "disposition": code, "total": total})
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        state: EndpointState::Ready,
        ..Endpoint::removed(id.into())
    }
}

#[test]
fn absent_or_mistyped_optional_fields_of_a_request_take_their_defaults() {
    assert_decodes(request_event(), Event::Request(request()));
    let defaults = [
        (
            "holder",
            Request {
                customer: "".into(),
                ..request()
            },
        ),
        (
            "plan",
            Request {
                plan: "".into(),
                ..request()
            },
        ),
        (
            "size_units",
            Request {
                units: 1.0,
                ..request()
            },
        ),
        (
            "from_no",
            Request {
                first_gateway: 0,
                ..request()
            },
        ),
        (
            "spread",
            Request {
                gateway_count: 1,
                ..request()
            },
        ),
    ];
    for (field, expected) in defaults {
        for value in [Value::Null, json!([])] {
            let event = with(&request_event(), field, value);
            assert_decodes(event, Event::Request(expected.clone()));
        }
    }
}

#[test]
fn the_end_of_an_attempt_has_the_outcome_of_its_code() {
    let outcomes = [
        ("S", AttemptOutcome::Success),
        ("E", AttemptOutcome::ServerError),
        ("F", AttemptOutcome::Rejected),
        ("T", AttemptOutcome::TimedOut),
        ("C", AttemptOutcome::ConnectFailed),
        ("R", AttemptOutcome::Reset),
        ("X", AttemptOutcome::Cancelled),
        ("N", AttemptOutcome::NotSent),
    ];
    for (code, outcome) in outcomes {
        let event = with(&attempt_event(), "disposition", json!(code));
        assert_decodes(
            event,
            attempt_end(outcome, Some(3.0), &[("busy_reqs", 7.0)]),
        );
    }
}

#[test]
fn settled_units_and_the_load_report_may_be_absent() {
    let load = [("busy_reqs", 7.0)];
    for unsettled in [Value::Null, json!(0), json!("3")] {
        let event = with(&attempt_event(), "settled", unsettled);
        assert_decodes(event, attempt_end(AttemptOutcome::Success, None, &load));
    }
    for no_report in [Value::Null, json!({}), json!(7)] {
        let event = with(&attempt_event(), "pressure", no_report);
        assert_decodes(event, attempt_end(AttemptOutcome::Success, Some(3.0), &[]));
    }
}

#[test]
fn an_endpoint_update_is_a_delta_or_a_snapshot_by_its_scope() {
    let entries = || {
        json!([
            {"since_ns": null, "pod": 4, "region_part": "hall-1", "weight": 1.5, "hw": "type-a", "phase": "IN",
             "server": "server.a"},
            {"since_ns": 6100000000u64, "phase": "LAME", "server": "server.b"},
            {"since_ns": 0, "phase": "OUT", "server": "server.c"},
        ])
    };
    let endpoints = || {
        vec![
            Endpoint {
                cell: 4,
                zone: "hall-1".into(),
                machine_type: "type-a".into(),
                weight: 1.5,
                ..endpoint("server.a")
            },
            Endpoint {
                state: EndpointState::Draining,
                started_at: Some(UnixTime(Duration::from_nanos(6_100_000_000))),
                ..endpoint("server.b")
            },
            Endpoint::removed("server.c".into()),
        ]
    };
    let updates = [
        ("D", EndpointUpdate::Delta(endpoints())),
        ("F", EndpointUpdate::Snapshot(endpoints())),
        ("C", EndpointUpdate::Snapshot(endpoints())),
    ];
    for (scope, update) in updates {
        let expected = Event::EndpointUpdate(update);
        assert_decodes(endpoint_event(scope, entries()), expected);
    }
}

#[test]
fn a_failed_call_to_discovery_needs_no_entries() {
    assert_decodes(endpoint_event("X", Value::Null), Event::DiscoveryFailure);
}

#[test]
fn a_counter_reply_is_decoded_by_its_code() {
    let replies = [
        (counter_event("S", json!(38)), CounterReply::Total(38.0)),
        (counter_event("F", Value::Null), CounterReply::NotApplied),
        (counter_event("C", Value::Null), CounterReply::NotApplied),
        (counter_event("T", Value::Null), CounterReply::Unknown),
    ];
    for (event, reply) in replies {
        let name = CounterName(9_041_552);
        assert_decodes(event, Event::CounterReply { name, reply });
    }
}

#[test]
fn short_events_carry_a_request_id_or_a_token() {
    assert_decodes(
        json!({"event_type": "first_byte", "txn": "5d3a", "attempt": 0, "server": "server.a"}),
        Event::ResponseStarted("5d3a".into()),
    );
    assert_decodes(
        json!({"event_type": "vanished", "txn": "5d3a"}),
        Event::ClientDisconnect("5d3a".into()),
    );
    assert_decodes(
        json!({"event_type": "wake", "token": 1u64 << 63}),
        Event::Timer(TimerToken(1 << 63)),
    );
}

#[test]
fn events_that_the_controller_does_not_need_are_ignored() {
    for event_type in ["status_back", "message", "not-on-the-wire-yet"] {
        assert_decodes(json!({"event_type": event_type}), Event::Ignored);
    }
}

#[test]
fn the_error_for_a_missing_field_names_the_field_and_what_was_expected() {
    let required = [
        (
            request_event(),
            vec![
                ("txn", STRING),
                ("qos", STRING),
                ("valid_until_ns", WHOLE_NUMBER),
            ],
        ),
        (
            attempt_event(),
            vec![
                ("disposition", ATTEMPT_CODES),
                ("lag_ns", WHOLE_NUMBER),
                ("closed", "true or false"),
                ("attempt", WHOLE_NUMBER),
                ("txn", STRING),
            ],
        ),
        (
            endpoint_event("F", json!([])),
            vec![("scope", SCOPE_CODES), ("lines", "a list")],
        ),
        (
            json!({"event_type": "first_byte", "txn": "5d3a"}),
            vec![("txn", STRING)],
        ),
        (
            json!({"event_type": "vanished", "txn": "5d3a"}),
            vec![("txn", STRING)],
        ),
        (
            json!({"event_type": "wake", "token": 1}),
            vec![("token", WHOLE_NUMBER)],
        ),
        (
            json!({"event_type": "tallied", "name": 1, "disposition": "S", "total": 1}),
            vec![
                ("name", WHOLE_NUMBER),
                ("disposition", COUNTER_CODES),
                ("total", "a number"),
            ],
        ),
    ];
    for (event, fields) in required {
        for (field, expected) in fields {
            let reason = format!("field '{field}' is missing or null; expected {expected}");
            assert_invalid(with(&event, field, Value::Null), &reason);
        }
    }
}

#[test]
fn the_error_for_an_invalid_value_names_the_field_the_value_and_what_was_expected() {
    let invalid_values = [
        (request_event(), "valid_until_ns", json!(-5), WHOLE_NUMBER),
        (request_event(), "txn", json!(7), STRING),
        (attempt_event(), "disposition", json!("Q"), ATTEMPT_CODES),
        (attempt_event(), "closed", json!("true"), "true or false"),
        (attempt_event(), "lag_ns", json!(1.5), WHOLE_NUMBER),
        (
            endpoint_event("F", json!([])),
            "scope",
            json!("Q"),
            SCOPE_CODES,
        ),
        (endpoint_event("F", json!([])), "lines", json!({}), "a list"),
        (
            json!({"event_type": "wake"}),
            "token",
            json!("7"),
            WHOLE_NUMBER,
        ),
        (
            json!({"event_type": "tallied", "name": 1}),
            "disposition",
            json!("E"),
            COUNTER_CODES,
        ),
        (
            json!({"event_type": "tallied", "disposition": "T"}),
            "name",
            json!(-1),
            WHOLE_NUMBER,
        ),
    ];
    for (event, field, value, expected) in invalid_values {
        let reason = format!("field '{field}' has the invalid value {value}; expected {expected}");
        assert_invalid(with(&event, field, value), &reason);
    }
}

#[test]
fn the_error_for_an_invalid_endpoint_names_its_index_and_the_reason() {
    let invalid = [
        (json!([{"server": "server.a", "phase": "IN"}, 7]), "lines[1]: invalid value 7; expected a JSON object"),
        (json!([{"phase": "IN"}]), "lines[0]: field 'server' is missing or null; expected a string"),
        (json!([{"server": "server.a"}]), "lines[0]: field 'phase' is missing or null; expected 'IN', 'LAME' or 'OUT'"),
        (
            json!([{"server": "server.a", "phase": "GONE"}]),
            "lines[0]: field 'phase' has the invalid value \"GONE\"; expected 'IN', 'LAME' or 'OUT'",
        ),
    ];
    for (entries, reason) in invalid {
        assert_invalid(endpoint_event("D", entries), reason);
    }
}
