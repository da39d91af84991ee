//! Sets one setting by its name, for scenarios: `plans.NAME.rate 2`, `rules.cold 10` and so on; spans in seconds.

use wellcrank::port::seconds;
use wellcrank::settings::*;

fn number(value: &str) -> f64 {
    value
        .parse()
        .unwrap_or_else(|_| panic!("'{value}' is no number"))
}

fn plan(plan: &mut Plan, field: &str, value: f64) {
    match field {
        "rate" => plan.rate = value,
        "burst" => plan.burst = value,
        "cap" => plan.concurrency_limit = value,
        "price" => plan.price = value,
        "ceiling_rate" => plan.ceiling_rate = value,
        "ceiling_burst" => plan.ceiling_burst = value,
        other => panic!("no such figure of a plan: {other}"),
    }
}

fn route(route: &mut Route, field: &str, value: &str) {
    match (field, value) {
        ("repeat", "idempotent") => route.idempotency = Idempotency::Idempotent,
        ("repeat", "tokened") => route.idempotency = Idempotency::Keyed,
        ("repeat", _) => route.idempotency = Idempotency::NonIdempotent,
        ("group", "all") => route.deduplication_scope = DeduplicationScope::All,
        ("group", "zone") => route.deduplication_scope = DeduplicationScope::Zone,
        ("group", _) => route.deduplication_scope = DeduplicationScope::Cell,
        ("memory_span", span) => route.deduplication_window = seconds(number(span)),
        ("latency_target", span) => route.latency_target = seconds(number(span)),
        ("client_timeout", span) => route.client_timeout = seconds(number(span)),
        ("billed_value", value) => route.value = number(value),
        ("late_worth", value) => route.late_value_ratio = number(value),
        (other, _) => panic!("no such figure of a route: {other}"),
    }
}

pub fn set(settings: &mut Settings, name: &str, value: &str) {
    let parts: Vec<&str> = name.splitn(3, '.').collect();
    match (&parts[..], value) {
        (["gateways"], value) => settings.gateways = number(value) as u32,
        (["index"], value) => settings.gateway_index = number(value) as u32,
        (["resolution"], value) => settings.timer_resolution = seconds(number(value)),
        (["registry_mode"], "subscribe") => settings.discovery = DiscoveryMode::Subscribe,
        (["limits", "max_attempts"], value) => settings.limits.max_attempts = number(value) as u32,
        (["limits", "connect_timeout"], value) => {
            settings.limits.connect_timeout = seconds(number(value))
        }
        (["limits", "idle_close"], value) => settings.limits.idle_timeout = seconds(number(value)),
        (["limits", "cancelling"], value) => settings.limits.may_cancel = value == "true",
        (["rules", "cold_from"], value) => settings.rules.slow_start_floor = number(value),
        (["rules", "cold"], value) => settings.rules.slow_start_window = seconds(number(value)),
        (["rules", "fall_multiple"], value) => settings.rules.overload_factor = number(value),
        (["rules", "overload_for"], value) => {
            settings.rules.overload_window = seconds(number(value))
        }
        (["rules", "stop_sending_within"], value) => {
            settings.rules.drain_grace = seconds(number(value));
        }
        (["counter", "present"], value) => settings.counter.present = value == "true",
        (["counter", "counter_timeout"], value) => {
            settings.counter.timeout = seconds(number(value))
        }
        (["counter", "units_top"], value) => settings.counter.max_request_units = number(value),
        (["plans", name, field], value) => {
            plan(
                settings.plans.entry((*name).into()).or_default(),
                field,
                number(value),
            );
        }
        (["routes", name, field], value) => {
            route(
                settings.routes.entry((*name).into()).or_default(),
                field,
                value,
            );
        }
        _ => panic!("no such setting: {name} {value}"),
    }
}
