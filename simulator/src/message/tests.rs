use super::*;
use crate::event::Event;
use serde_json::json;

fn error_text(line: Value) -> String {
    match Message::decode(&line) {
        Ok(_) => panic!("{line} was decoded"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_batch_starts_with_its_time_and_ends() {
    let frame = json!({"event_type": "frame", "wall_ns": 8412250000u64});
    assert!(matches!(
        Message::decode(&frame),
        Ok(Message::BatchStart { now }) if now == Duration::from_nanos(8_412_250_000)
    ));
    let end = json!({"event_type": "eob"});
    assert!(matches!(Message::decode(&end), Ok(Message::BatchEnd)));
}

#[test]
fn an_instance_starts_with_its_settings_and_seed() {
    let start = json!({"event_type": "open_instance", "i": 3, "salt": 77, "config": {"index": 2, "balancers": 5}});
    let Ok(Message::StartInstance {
        instance,
        settings,
        seed,
    }) = Message::decode(&start)
    else {
        panic!("{start} was not decoded as the start of an instance");
    };
    assert_eq!(instance, 3);
    assert_eq!(seed, 77);
    assert_eq!(settings.gateway_index, 2);
    assert_eq!(settings.gateways, 5);
}

#[test]
fn an_instance_stops() {
    let stop = json!({"event_type": "crash_now", "i": 3});
    assert!(matches!(
        Message::decode(&stop),
        Ok(Message::StopInstance { instance: 3 })
    ));
}

#[test]
fn an_event_goes_to_its_instance() {
    let line = json!({"event_type": "vanished", "i": 5, "txn": "0e6f"});
    let Ok(Message::Event { instance: 5, event }) = Message::decode(&line) else {
        panic!("{line} was not decoded as an event for instance 5");
    };
    let decoded = event.decode();
    assert!(matches!(decoded, Ok(Event::ClientDisconnect(request)) if request == "0e6f".into()));
}

#[test]
fn a_line_without_an_instance_is_ignored_even_if_its_fields_are_invalid() {
    for line in [
        json!({"event_type": "wake"}),
        json!({"event_type": "open_instance", "i": null, "config": 7}),
        json!({"event_type": "not-on-the-wire-yet"}),
    ] {
        assert!(
            matches!(Message::decode(&line), Ok(Message::Ignored)),
            "{line}"
        );
    }
}

#[test]
fn the_error_for_an_invalid_line_names_the_field_and_the_reason() {
    let start = |config: Value, salt: Value| json!({"event_type": "open_instance", "i": 1, "config": config, "salt": salt});
    let invalid = [
        (json!([]), "invalid value []; expected a JSON object"),
        (
            json!({"i": 1}),
            "field 'event_type' is missing or null; expected a string",
        ),
        (
            json!({"event_type": 7}),
            "field 'event_type' has the invalid value 7; expected a string",
        ),
        (
            json!({"event_type": "frame"}),
            "field 'wall_ns' is missing or null; expected a whole number of at least 0",
        ),
        (
            json!({"event_type": "frame", "wall_ns": -1}),
            "field 'wall_ns' has the invalid value -1; expected a whole number of at least 0",
        ),
        (
            json!({"event_type": "wake", "i": "3"}),
            "field 'i' has the invalid value \"3\"; expected a whole number of at least 0",
        ),
        (
            start(Value::Null, json!(1)),
            "field 'config' is missing or null; expected a JSON object",
        ),
        (
            start(json!("x"), json!(1)),
            "field 'config' has the invalid value \"x\"; expected a JSON object",
        ),
        (
            start(json!({}), Value::Null),
            "field 'salt' is missing or null; expected a whole number of at least 0",
        ),
        (
            start(json!({"rules": {"cold_from": 21}}), json!(1)),
            "settings: rules.cold_from: 21 is not a ratio; expected a number from 0 to 1",
        ),
    ];
    for (line, reason) in invalid {
        assert_eq!(error_text(line), reason);
    }
}
