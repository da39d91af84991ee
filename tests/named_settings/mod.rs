//! Sets one setting of the controller by its name, for tests: `plans.NAME.rate 2`, `rules.drain_grace 0.5` and so on.
//! The names are those of the fields in `src/settings.rs`; spans are in seconds.

use wellcrank::port::seconds;
use wellcrank::settings::{DeduplicationScope, DiscoveryMode, Idempotency, Plan, Route, Settings};

/// Sets the setting of that name; panics where there is no such setting or it can't have the value.
pub(crate) fn set(settings: &mut Settings, name: &str, value: &str) {
    let parts: Vec<&str> = name.splitn(3, '.').collect();
    match parts[..] {
        [field] => set_top_level(settings, field, value),
        ["limits", field] => set_limit(settings, field, value),
        ["rules", field] => set_rule(settings, field, value),
        ["counter", field] => set_counter(settings, field, value),
        ["plans", plan_name, field] => {
            let plan = settings.plans.entry(plan_name.into()).or_default();
            set_plan(plan, field, value);
        }
        ["routes", route_name, field] => {
            let route = settings.routes.entry(route_name.into()).or_default();
            set_route(route, field, value);
        }
        _ => panic!("no such setting: {name}"),
    }
}

fn set_top_level(settings: &mut Settings, field: &str, value: &str) {
    match field {
        "gateways" => settings.gateways = number(value) as u32,
        "gateway_index" => settings.gateway_index = number(value) as u32,
        "timer_resolution" => settings.timer_resolution = span(value),
        "discovery" if value == "subscribe" => settings.discovery = DiscoveryMode::Subscribe,
        other => panic!("no such setting: {other} {value}"),
    }
}

fn set_limit(settings: &mut Settings, field: &str, value: &str) {
    let limits = &mut settings.limits;
    match field {
        "max_attempts" => limits.max_attempts = number(value) as u32,
        "connect_timeout" => limits.connect_timeout = span(value),
        "idle_timeout" => limits.idle_timeout = span(value),
        "may_cancel" => limits.may_cancel = value == "true",
        other => panic!("no such limit: {other}"),
    }
}

fn set_rule(settings: &mut Settings, field: &str, value: &str) {
    let rules = &mut settings.rules;
    match field {
        "slow_start_floor" => rules.slow_start_floor = number(value),
        "slow_start_window" => rules.slow_start_window = span(value),
        "overload_factor" => rules.overload_factor = number(value),
        "overload_window" => rules.overload_window = span(value),
        "drain_grace" => rules.drain_grace = span(value),
        other => panic!("no such rule: {other}"),
    }
}

fn set_counter(settings: &mut Settings, field: &str, value: &str) {
    let counter = &mut settings.counter;
    match field {
        "present" => counter.present = value == "true",
        "timeout" => counter.timeout = span(value),
        "max_request_units" => counter.max_request_units = number(value),
        other => panic!("no such setting of the counter: {other}"),
    }
}

fn set_plan(plan: &mut Plan, field: &str, value: &str) {
    let figure = number(value);
    match field {
        "rate" => plan.rate = figure,
        "burst" => plan.burst = figure,
        "concurrency_limit" => plan.concurrency_limit = figure,
        "price" => plan.price = figure,
        "ceiling_rate" => plan.ceiling_rate = figure,
        "ceiling_burst" => plan.ceiling_burst = figure,
        other => panic!("no such setting of a plan: {other}"),
    }
}

fn set_route(route: &mut Route, field: &str, value: &str) {
    match field {
        "idempotency" => route.idempotency = idempotency(value),
        "deduplication_scope" => route.deduplication_scope = deduplication_scope(value),
        "deduplication_window" => route.deduplication_window = span(value),
        "latency_target" => route.latency_target = span(value),
        "client_timeout" => route.client_timeout = span(value),
        "value" => route.value = number(value),
        "late_value_ratio" => route.late_value_ratio = number(value),
        other => panic!("no such setting of a route: {other}"),
    }
}

/// An unknown word reads as the strictest one, as in the settings that adapters decode.
fn idempotency(word: &str) -> Idempotency {
    match word {
        "idempotent" => Idempotency::Idempotent,
        "keyed" => Idempotency::Keyed,
        _ => Idempotency::NonIdempotent,
    }
}

/// An unknown word reads as the smallest scope, as in the settings that adapters decode.
fn deduplication_scope(word: &str) -> DeduplicationScope {
    match word {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    }
}

fn number(value: &str) -> f64 {
    value
        .parse()
        .unwrap_or_else(|_| panic!("'{value}' is not a number"))
}

fn span(value: &str) -> std::time::Duration {
    seconds(number(value))
}
