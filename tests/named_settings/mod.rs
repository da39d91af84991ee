//! Sets a single setting of the controller by name, for tests: `plans.NAME.rate 2`, `rules.drain_grace 0.5` and so on.
//! The names are those of the fields in `src/settings.rs`. Durations are in seconds.

use wellcrank::port::seconds;
use wellcrank::settings::{DeduplicationScope, DiscoveryMode, Idempotency, Plan, Route, Settings};

/// Sets the setting with this name. Panics if there is no such setting or the value is not valid for it.
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
        _ => panic!("unknown setting '{name}'"),
    }
}

fn set_top_level(settings: &mut Settings, field: &str, value: &str) {
    match field {
        "gateways" => settings.gateways = parse_number(value) as u32,
        "gateway_index" => settings.gateway_index = parse_number(value) as u32,
        "timer_resolution" => settings.timer_resolution = parse_duration(value),
        "discovery" if value == "subscribe" => settings.discovery = DiscoveryMode::Subscribe,
        other => panic!("unknown setting '{other}' or invalid value '{value}'"),
    }
}

fn set_limit(settings: &mut Settings, field: &str, value: &str) {
    let limits = &mut settings.limits;
    match field {
        "max_attempts" => limits.max_attempts = parse_number(value) as u32,
        "connect_timeout" => limits.connect_timeout = parse_duration(value),
        "idle_timeout" => limits.idle_timeout = parse_duration(value),
        "may_cancel" => limits.may_cancel = value == "true",
        other => panic!("unknown setting 'limits.{other}'"),
    }
}

fn set_rule(settings: &mut Settings, field: &str, value: &str) {
    let rules = &mut settings.rules;
    match field {
        "slow_start_floor" => rules.slow_start_floor = parse_number(value),
        "slow_start_window" => rules.slow_start_window = parse_duration(value),
        "overload_factor" => rules.overload_factor = parse_number(value),
        "overload_window" => rules.overload_window = parse_duration(value),
        "drain_grace" => rules.drain_grace = parse_duration(value),
        other => panic!("unknown setting 'rules.{other}'"),
    }
}

fn set_counter(settings: &mut Settings, field: &str, value: &str) {
    let counter = &mut settings.counter;
    match field {
        "present" => counter.present = value == "true",
        "timeout" => counter.timeout = parse_duration(value),
        "max_request_units" => counter.max_request_units = parse_number(value),
        other => panic!("unknown setting 'counter.{other}'"),
    }
}

fn set_plan(plan: &mut Plan, field: &str, value: &str) {
    let number = parse_number(value);
    match field {
        "rate" => plan.rate = number,
        "burst" => plan.burst = number,
        "concurrency_limit" => plan.concurrency_limit = number,
        "price" => plan.price = number,
        "ceiling_rate" => plan.ceiling_rate = number,
        "ceiling_burst" => plan.ceiling_burst = number,
        other => panic!("unknown setting '{other}' of a plan"),
    }
}

fn set_route(route: &mut Route, field: &str, value: &str) {
    match field {
        "idempotency" => route.idempotency = idempotency(value),
        "deduplication_scope" => route.deduplication_scope = deduplication_scope(value),
        "deduplication_window" => route.deduplication_window = parse_duration(value),
        "latency_target" => route.latency_target = parse_duration(value),
        "client_timeout" => route.client_timeout = parse_duration(value),
        "value" => route.value = parse_number(value),
        "late_value_ratio" => route.late_value_ratio = parse_number(value),
        other => panic!("unknown setting '{other}' of a route"),
    }
}

/// Returns the idempotency with this name. An unknown name means the strictest one, as in the settings that adapters
/// decode.
fn idempotency(name: &str) -> Idempotency {
    match name {
        "idempotent" => Idempotency::Idempotent,
        "keyed" => Idempotency::Keyed,
        _ => Idempotency::NonIdempotent,
    }
}

/// Returns the deduplication scope with this name. An unknown name means the smallest scope, as in the settings that
/// adapters decode.
fn deduplication_scope(name: &str) -> DeduplicationScope {
    match name {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    }
}

fn parse_number(value: &str) -> f64 {
    value
        .parse()
        .unwrap_or_else(|_| panic!("expected a number, got '{value}'"))
}

fn parse_duration(value: &str) -> std::time::Duration {
    seconds(parse_number(value))
}
