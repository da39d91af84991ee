use super::*;
use serde_json::json;
use std::time::Duration;
use wellcrank::settings::{
    CounterSettings, DeduplicationScope, DiscoveryMode, Idempotency, Limits, Plan, Route, Rules,
};

fn error_text(json: Value) -> String {
    decode(&json).expect_err("invalid settings").to_string()
}

/// Settings in the platform's format, in which some keys are unknown and some are absent.
fn platform_settings() -> Settings {
    let json = json!({
        "index": 2, "balancers": 60, "resolution_ns": 4000000, "registry_mode": "subscribe",
        "ceilings": {"max_attempts": 4, "idle_close_ns": 15000000000u64, "cancelling": true, "new_key": [1]},
        "rules": {"cold_from": 0.16, "cold_ns": 18000000000u64, "fall_multiple": 2.5},
        "family_info": {"shared_counter": true, "counter_timeout_ns": 50000000, "units_top": 8},
        "contracts": [{"name": "small", "refill": 1.5, "store_size": 8.0, "parallel": 0, "value_factor": 0.88},
                      {"name": "event", "parallel": 3, "refill": null}],
        "classes": [{"name": "read", "repeat": "repeatable", "group": "all", "target_ns": 400000000},
                    {"name": "post", "repeat": "once", "credit": 5, "deadline_ns": 1200000000}],
    });
    decode(&json).expect("valid settings")
}

#[test]
fn platform_keys_map_to_the_settings_of_the_gateway() {
    let settings = platform_settings();
    assert_eq!(settings.gateway_index, 2);
    assert_eq!(settings.gateways, 60);
    assert_eq!(settings.timer_resolution, Duration::from_millis(4));
    assert_eq!(settings.discovery, DiscoveryMode::Subscribe);
    let limits = Limits {
        max_attempts: 4,
        idle_timeout: Duration::from_secs(15),
        may_cancel: true,
        ..Limits::default()
    };
    assert_eq!(settings.limits, limits);
    let rules = Rules {
        slow_start_floor: 0.16,
        slow_start_window: Duration::from_secs(18),
        overload_factor: 2.5,
        ..Rules::default()
    };
    assert_eq!(settings.rules, rules);
    let counter = CounterSettings {
        present: true,
        timeout: Duration::from_millis(50),
        max_request_units: 8.0,
    };
    assert_eq!(settings.counter, counter);
}

#[test]
fn platform_keys_map_to_the_plans_and_routes_by_name() {
    let settings = platform_settings();
    let small = Plan {
        rate: 1.5,
        burst: 8.0,
        price: 0.88,
        ..Plan::default()
    };
    assert_eq!(settings.plan(&"small".into()), &small);
    let event = Plan {
        concurrency_limit: 3.0,
        ..Plan::default()
    };
    assert_eq!(settings.plan(&"event".into()), &event);
    let read = Route {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        latency_target: Duration::from_millis(400),
        ..Route::default()
    };
    assert_eq!(settings.route(&"read".into()), &read);
    let post = Route {
        idempotency: Idempotency::NonIdempotent,
        value: 5.0,
        client_timeout: Duration::from_millis(1200),
        ..Route::default()
    };
    assert_eq!(settings.route(&"post".into()), &post);
    assert_eq!(settings.max_client_timeout(), Duration::from_millis(1200));
}

#[test]
fn absent_settings_take_their_defaults() {
    for without_values in [json!({}), json!({"rules": null, "contracts": []})] {
        let settings = decode(&without_values).expect("valid settings");
        assert_eq!(settings, Settings::default(), "{without_values}");
    }
}

#[test]
fn unknown_repeat_and_group_codes_are_treated_as_the_most_restrictive() {
    let unknown_codes =
        json!({"classes": [{"name": "read", "repeat": "sometimes", "group": "some"}]});
    let settings = decode(&unknown_codes).expect("valid settings");
    let route = settings.route(&"read".into());
    assert_eq!(route.idempotency, Idempotency::NonIdempotent);
    assert_eq!(route.deduplication_scope, DeduplicationScope::Cell);
}

#[test]
fn durations_are_limited_to_a_billion_seconds() {
    let settings = decode(&json!({"resolution_ns": 1e30})).expect("valid settings");
    assert_eq!(
        settings.timer_resolution,
        Duration::from_secs(1_000_000_000)
    );
}

#[test]
fn the_error_for_an_invalid_value_names_its_place_and_the_reason() {
    let with_second_plan = |second: Value| json!({"contracts": [{"name": "a"}, second]});
    assert_eq!(
        error_text(with_second_plan(json!({"name": "b", "refill": -2.0}))),
        "settings: contracts[1].refill: -2 is negative; expected a number of at least 0"
    );
    assert_eq!(
        error_text(with_second_plan(json!({"name": "a"}))),
        "settings: contracts[1].name: 'a' is the name of an earlier entry; expected a unique name"
    );
    assert_eq!(
        error_text(with_second_plan(json!({"name": "b", "parallel": 1.5}))),
        "settings: contracts[1].parallel: 1.5 is not a count; expected a whole number from 0 to 4294967295"
    );
    assert_eq!(
        error_text(json!({"rules": {"cold_from": 21}})),
        "settings: rules.cold_from: 21 is not a ratio; expected a number from 0 to 1"
    );
    assert_eq!(
        error_text(json!({"index": -1})),
        "settings: index: -1 is not a count; expected a whole number from 0 to 4294967295"
    );
}

#[test]
fn the_error_for_a_value_of_the_wrong_type_names_its_place() {
    let text_for_a_number = error_text(json!({"classes": [{"name": "read", "target_ns": "fast"}]}));
    assert!(
        text_for_a_number
            .starts_with("settings: classes[0].target_ns: invalid type: string \"fast\""),
        "{text_for_a_number}"
    );
    let number_for_an_object = error_text(json!({"ceilings": 7}));
    assert!(
        number_for_an_object.starts_with("settings: ceilings: invalid type"),
        "{number_for_an_object}"
    );
}
