//! The configuration of emulated gateways in its external JSON format: settings derived from an experiment, with a
//! variant's overrides applied, and the endpoint list as discovery sends it.

use crate::error::LabError;
use crate::experiment::{DeduplicationScope, Experiment, Idempotency, PlanConfig, RouteConfig};
use serde_json::{json, Value};

/// Resolution of a gateway's timers: 4 ms.
const TIMER_RESOLUTION_NS: u64 = 4_000_000;
/// Time before the client timeout by which a gateway answers: 16 ms.
const ANSWER_SLACK_NS: u64 = 16_000_000;
/// Longest interval between two requests of a gateway for the endpoint list.
const MAX_LIST_REFRESH_INTERVAL_SECONDS: f64 = 10.0;
/// Lower bound of the longest wait that a gateway may ask of a client.
const MIN_MAX_RETRY_AFTER_SECONDS: f64 = 30.0;
/// Limit of a gateway's open requests, higher than any experiment reaches.
const MAX_OPEN_REQUESTS: u64 = 100_000;

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

/// The settings of one gateway as the experiment implies them, with `overrides` applied. An override of a setting that
/// does not exist is an error.
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
            "answer_slack_ns": ANSWER_SLACK_NS, "ask_within_ns": nanos(MAX_LIST_REFRESH_INTERVAL_SECONDS),
            "cold_from": fleet.slow_start_capacity, "cold_ns": nanos(fleet.slow_start),
            "fall_multiple": fleet.overload_factor, "overload_for_ns": nanos(fleet.overload_for),
            "stop_sending_within_ns": nanos(fleet.drain_grace),
        },
    });
    let overrides = serde_json::to_value(overrides).map_err(LabError::SettingsOverrides)?;
    apply_overrides(&mut settings, &overrides)?;
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
        "name": plan.name, "refill": plan.rate, "store_size": plan.burst, "parallel": plan.concurrency_limit,
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

/// The name of a zone by its index.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("hall-{}", zone + 1)
}

/// Replaces values by overrides, field by field. A list of named elements takes a table from an element's name to its
/// overrides.
fn apply_overrides(base: &mut Value, overrides: &Value) -> Result<(), LabError> {
    let Value::Object(fields) = overrides else {
        *base = overrides.clone();
        return Ok(());
    };
    for (name, value) in fields {
        let Some(old) = named_value(base, name) else {
            return Err(LabError::UnknownSetting(name.clone()));
        };
        apply_overrides(old, value)?;
    }
    Ok(())
}

/// The field with this name of an object, or the element of a list whose field `name` has this value.
fn named_value<'a>(value: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(fields) => fields.get_mut(name),
        Value::Array(items) => items
            .iter_mut()
            .find(|item| item.get("name").and_then(Value::as_str) == Some(name)),
        _ => None,
    }
}

/// An entry of the endpoint list in discovery's format.
pub(crate) struct ListedServer<'a> {
    /// The server's name.
    pub(crate) uid: &'a str,
    /// Its address and port.
    pub(crate) endpoint: &'a str,
    /// Name of its zone.
    pub(crate) zone: &'a str,
    /// Name of its machine type.
    pub(crate) kind: &'a str,
    /// Index of its cell.
    pub(crate) cell: u64,
    /// Its state: `active`, `leaving` or `left`.
    pub(crate) state: &'a str,
    /// Start time of its process, in milliseconds since the Unix epoch; 0: unknown.
    pub(crate) started_ms: u64,
}

impl ListedServer<'_> {
    /// The entry as JSON.
    pub(crate) fn json(&self) -> Value {
        json!({
            "uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": self.kind,
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.started_ms,
        })
    }
}

/// An update of the endpoint list as discovery sends it. If `is_full`, the entries replace the known list; otherwise
/// they are changes of it.
pub(crate) fn list(revision: u64, is_full: bool, entries: Vec<Value>) -> Value {
    json!({"rev": revision, "all": is_full, "targets": entries})
}

#[cfg(test)]
mod tests;
