//! What a gateway is configured with, in the words of its file and of discovery: settings from an experiment,
//! with what a variant puts in place of the truth laid over them, and the endpoint list.

use crate::error::LabError;
use crate::experiment::{DeduplicationScope, Experiment, Idempotency, PlanConfig, RouteConfig};
use serde_json::{json, Value};

/// Resolution of a gateway's timers, in nanoseconds.
const TIMER_RESOLUTION_NS: u64 = 4_000_000;
/// A gateway answers so much before the client timeout, in nanoseconds.
const ANSWER_SLACK_NS: u64 = 16_000_000;
/// A gateway without news of the endpoint list asks for it within so long, in seconds.
const REFETCH_WITHIN_SECONDS: f64 = 10.0;
/// The least that a gateway may ask a client to wait at most, in seconds.
const MIN_MAX_RETRY_AFTER_SECONDS: f64 = 30.0;
/// Requests that a gateway may hold open: more than any experiment brings.
const MAX_OPEN_REQUESTS: u64 = 100_000;

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

/// The settings of one gateway; `overrides` are laid over what is true in the experiment.
pub(crate) fn settings(
    experiment: &Experiment,
    gateway: usize,
    overrides: &toml::Table,
) -> Result<Value, LabError> {
    let fleet = &experiment.fleet;
    let routes: Vec<Value> = experiment.routes.iter().map(route_settings).collect();
    let plans: Vec<Value> = experiment.plans.iter().map(plan_settings).collect();
    let mut settings = json!({
        "balancers": fleet.gateways, "index": gateway, "registry_mode": "automatic",
        "resolution_ns": TIMER_RESOLUTION_NS, "my_zone": zone_name(gateway % fleet.zones),
        "ceilings": limit_settings(experiment),
        "classes": routes,
        "clients": {"marks_retry": true},
        "contracts": plans,
        "family_info": {
            "counter_price": 0.0, "counter_timeout_ns": nanos(experiment.counter.timeout_ms / 1e3),
            "shared_counter": experiment.counter.present, "units_top": f64::from(experiment.load.max_units),
        },
        "rules": {
            "answer_slack_ns": ANSWER_SLACK_NS, "ask_within_ns": nanos(REFETCH_WITHIN_SECONDS),
            "cold_from": fleet.slow_start_capacity, "cold_ns": nanos(fleet.slow_start),
            "fall_multiple": fleet.overload_factor, "overload_for_ns": nanos(fleet.overload_for),
            "stop_sending_within_ns": nanos(fleet.drain_grace),
        },
    });
    let overrides = serde_json::to_value(overrides).map_err(LabError::SettingsOverrides)?;
    lay_over(&mut settings, &overrides)?;
    Ok(settings)
}

fn route_settings(route: &RouteConfig) -> Value {
    json!({
        "name": route.name, "credit": route.billed_value, "late_worth": route.late_value_ratio, "streaming": false,
        "target_ns": nanos(route.latency_target), "deadline_ns": nanos(route.client_timeout),
        "memory_span_ns": nanos(route.deduplication_window),
        "repeat": match route.idempotency {
            Idempotency::Idempotent => "repeatable",
            Idempotency::Keyed => "by_key",
            Idempotency::NonIdempotent => "once",
        },
        "group": match route.deduplication_scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Cell => "cell",
            DeduplicationScope::Zone => "zone",
        },
    })
}

fn plan_settings(plan: &PlanConfig) -> Value {
    json!({
        "name": plan.name, "refill": plan.rate, "store_size": plan.burst, "parallel": plan.concurrency_cap,
        "value_factor": plan.price, "excess_cost": plan.over_quota_cost, "extra_worth": 0.0,
        "never_over_rate": plan.ceiling_rate, "cap_depth": plan.ceiling_burst,
        "hard_slack": plan.ceiling_slack,
    })
}

fn limit_settings(experiment: &Experiment) -> Value {
    let fleet = &experiment.fleet;
    let max_retry_after = experiment
        .max_client_timeout()
        .max(MIN_MAX_RETRY_AFTER_SECONDS);
    json!({
        "cancelling": true, "connect_timeout_ns": nanos(fleet.connect_timeout),
        "idle_close_ns": nanos(fleet.idle_timeout), "max_attempts": fleet.max_attempts,
        "max_open": MAX_OPEN_REQUESTS, "max_retry_after_ns": nanos(max_retry_after),
        "may_duplicate": false, "may_probe": fleet.load_probes, "multiplex": 1,
        "peers": experiment.network.peer_datagrams, "retry_after": true,
    })
}

/// The name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("hall-{}", zone + 1)
}

/// Lays some values over others, field by field; a list of named things takes a table: name to values.
fn lay_over(under: &mut Value, over: &Value) -> Result<(), LabError> {
    let Value::Object(fields) = over else {
        *under = over.clone();
        return Ok(());
    };
    for (name, value) in fields {
        let Some(old) = named_value(under, name) else {
            return Err(LabError::UnknownSetting(name.clone()));
        };
        lay_over(old, value)?;
    }
    Ok(())
}

/// The field of this name, or the item of a list that has it as its name.
fn named_value<'a>(value: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(fields) => fields.get_mut(name),
        Value::Array(items) => items
            .iter_mut()
            .find(|item| item.get("name").and_then(Value::as_str) == Some(name)),
        _ => None,
    }
}

/// A line of the endpoint list as discovery words it.
pub(crate) struct ListedServer<'a> {
    /// The server's name.
    pub(crate) uid: &'a str,
    /// Its address.
    pub(crate) endpoint: &'a str,
    /// Name of its zone.
    pub(crate) zone: &'a str,
    /// Name of its machine type.
    pub(crate) kind: &'a str,
    /// Its cell.
    pub(crate) cell: u64,
    /// `active`, `leaving` or `left`.
    pub(crate) state: &'a str,
    /// When its process started, in milliseconds since 1970; 0: unknown.
    pub(crate) started_ms: u64,
}

impl ListedServer<'_> {
    /// The line as JSON.
    pub(crate) fn json(&self) -> Value {
        json!({
            "uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": self.kind,
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.started_ms,
        })
    }
}

/// An endpoint list or changes of it, as discovery sends them; `whole`: the list replaces what was known.
pub(crate) fn list(revision: u64, whole: bool, lines: Vec<Value>) -> Value {
    json!({"rev": revision, "all": whole, "targets": lines})
}

#[cfg(test)]
mod tests;
