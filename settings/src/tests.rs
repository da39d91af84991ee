use super::*;
use serde_json::json;
use std::time::Duration;
use wellcrank::settings::{DeduplicationScope, DiscoveryMode, Idempotency, Limits};

fn complaint(json: Value) -> String {
    decode(&json)
        .expect_err("these settings can't be used")
        .to_string()
}

#[test]
fn the_platforms_names_become_typed_settings() {
    let settings = decode(&json!({
        "index": 2, "balancers": 60, "resolution_ns": 4000000, "registry_mode": "subscribe",
        "ceilings": {"max_attempts": 4, "idle_close_ns": 15000000000u64, "cancelling": true, "new_key": [1]},
        "rules": {"cold_from": 0.16, "cold_ns": 18000000000u64, "fall_multiple": 2.5},
        "family_info": {"shared_counter": true, "counter_timeout_ns": 50000000, "units_top": 8},
        "contracts": [{"name": "small", "refill": 1.5, "store_size": 8.0, "parallel": 0, "value_factor": 0.88},
                      {"name": "event", "parallel": 3, "refill": null}],
        "classes": [{"name": "read", "repeat": "repeatable", "group": "all", "target_ns": 400000000},
                    {"name": "post", "repeat": "once", "credit": 5, "deadline_ns": 1200000000}],
    }))
    .expect("good settings");
    assert_eq!((settings.gateway_index, settings.gateways), (2, 60));
    assert_eq!(settings.discovery, DiscoveryMode::Subscribe);
    let idle_close = Duration::from_secs(15);
    assert_eq!(
        settings.limits,
        Limits {
            max_attempts: 4,
            idle_timeout: idle_close,
            may_cancel: true,
            ..Limits::default()
        }
    );
    assert_eq!(settings.rules.overload_factor, 2.5);
    assert_eq!(settings.counter.timeout, Duration::from_millis(50));
    let (small, event) = (
        settings.plan(&"small".into()),
        settings.plan(&"event".into()),
    );
    assert_eq!(
        (small.rate, small.burst, small.concurrency_limit),
        (1.5, 8.0, 0.0)
    );
    assert_eq!((event.rate, event.concurrency_limit), (0.0, 3.0));
    let (read, post) = (
        settings.route(&"read".into()),
        settings.route(&"post".into()),
    );
    assert_eq!(
        (read.idempotency, read.deduplication_scope),
        (Idempotency::Idempotent, DeduplicationScope::All)
    );
    assert_eq!(
        (post.idempotency, post.value),
        (Idempotency::NonIdempotent, 5.0)
    );
    assert_eq!(settings.longest_timeout(), Duration::from_millis(1200));
}

#[test]
fn what_is_missing_asks_nothing() {
    assert_eq!(decode(&json!({})), Ok(Settings::default()));
    assert_eq!(
        decode(&json!({"rules": null, "contracts": []})),
        Ok(Settings::default())
    );
}

#[test]
fn an_effect_that_is_not_known_is_the_strictest() {
    let settings = decode(&json!({"classes": [{"name": "odd", "repeat": "sometimes"}]}))
        .expect("good settings");
    assert_eq!(
        settings.route(&"odd".into()).idempotency,
        Idempotency::NonIdempotent
    );
}

#[test]
fn what_cannot_be_meant_is_told_with_its_place_and_the_reason() {
    let plans = |second: Value| json!({"contracts": [{"name": "a"}, second]});
    assert_eq!(
        complaint(plans(json!({"name": "b", "refill": -2.0}))),
        "settings: contracts[1].refill: -2 is below nothing; expected 0 or more"
    );
    assert_eq!(
        complaint(plans(json!({"name": "a"}))),
        "settings: contracts[1].name: 'a' stands twice; expected a name of its own"
    );
    assert_eq!(
        complaint(plans(json!({"name": "b", "parallel": 1.5}))),
        "settings: contracts[1].parallel: 1.5 is no count; expected a whole number, 0 or more"
    );
    assert_eq!(
        complaint(json!({"rules": {"cold_from": 21}})),
        "settings: rules.cold_from: 21 is no share; expected 0 to 1"
    );
    let text = complaint(json!({"classes": [{"name": "read", "target_ns": "fast"}]}));
    assert!(
        text.starts_with("settings: classes[0].target_ns: invalid type: string \"fast\""),
        "{text}"
    );
    let text = complaint(json!({"ceilings": 7}));
    assert!(
        text.starts_with("settings: ceilings: invalid type"),
        "{text}"
    );
}
