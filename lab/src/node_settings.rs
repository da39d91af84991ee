//! What a gateway is told: the settings in the words of its configuration, from an experiment, with what a
//! variant tells it in place of the truth laid over them.

use crate::experiment::{Experiment, Group, Repeat};
use serde_json::{json, Map, Value};

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

/// The settings of one gateway.
pub fn settings(
    experiment: &Experiment,
    gateway: usize,
    told: &toml::Table,
) -> Result<Value, String> {
    let (fleet, load) = (&experiment.fleet, &experiment.load);
    let routes = experiment.routes.iter().map(|route| {
        json!({
            "name": route.name, "credit": route.billed_value, "late_worth": route.late_worth, "streaming": false,
            "target_ns": nanos(route.latency_target), "deadline_ns": nanos(route.client_timeout),
            "memory_span_ns": nanos(route.memory),
            "repeat": match route.repeat {
                Repeat::Idempotent => "repeatable",
                Repeat::Tokened => "by_key",
                Repeat::NonIdempotent => "once",
            },
            "group": match route.group {
                Group::All => "all",
                Group::Cell => "cell",
                Group::Zone => "zone",
            },
        })
    });
    let routes: Vec<Value> = routes.collect();
    let plans = experiment.plans.iter().map(|plan| {
        json!({
            "name": plan.name, "refill": plan.rate, "store_size": plan.burst, "parallel": plan.cap,
            "value_factor": plan.price, "excess_cost": plan.over_cost, "extra_worth": 0.0,
            "never_over_rate": plan.ceiling_rate, "cap_depth": plan.ceiling_burst,
            "hard_slack": plan.ceiling_slack,
        })
    });
    let plans: Vec<Value> = plans.collect();
    let mut settings = json!({
        "balancers": fleet.gateways, "index": gateway, "registry_mode": "automatic", "resolution_ns": 4_000_000,
        "my_zone": zone(experiment, gateway),
        "ceilings": {
            "cancelling": true, "connect_timeout_ns": nanos(fleet.connect_timeout),
            "idle_close_ns": nanos(fleet.idle_close), "max_attempts": fleet.max_tries, "max_open": 100_000,
            "max_retry_after_ns": nanos(experiment.longest_wait().max(30.0)), "may_duplicate": false,
            "may_probe": fleet.probes, "multiplex": 1, "peers": experiment.network.peers, "retry_after": true,
        },
        "classes": routes,
        "clients": {"marks_retry": true},
        "contracts": plans,
        "family_info": {
            "counter_price": 0.0, "counter_timeout_ns": nanos(experiment.counter.timeout_ms / 1e3),
            "shared_counter": experiment.counter.present, "units_top": f64::from(load.units_top),
        },
        "rules": {
            "answer_slack_ns": 16_000_000, "ask_within_ns": nanos(10.0), "cold_from": fleet.cold_from,
            "cold_ns": nanos(fleet.cold), "fall_multiple": fleet.fall_multiple,
            "overload_for_ns": nanos(fleet.overload_for), "stop_sending_within_ns": nanos(fleet.drain_grace),
        },
    });
    let over = serde_json::to_value(told).map_err(|error| error.to_string())?;
    lay_over(&mut settings, &over)?;
    Ok(settings)
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{}", zone + 1)
}

fn zone(experiment: &Experiment, gateway: usize) -> String {
    zone_name(gateway % experiment.fleet.zones)
}

/// Lays told values over the true ones; a list of named things takes a table: name to values.
fn lay_over(under: &mut Value, over: &Value) -> Result<(), String> {
    let Value::Object(over) = over else {
        *under = over.clone();
        return Ok(());
    };
    for (name, value) in over {
        let old: Option<&mut Value> = match under {
            Value::Object(fields) => fields.get_mut(name),
            Value::Array(items) => items
                .iter_mut()
                .find(|item| item.get("name").and_then(Value::as_str) == Some(name)),
            _ => None,
        };
        let old = old.ok_or_else(|| format!("told: the configuration has no '{name}' there"))?;
        lay_over(old, value)?;
    }
    Ok(())
}

/// A line of the server list as discovery words it.
pub struct ListedServer<'a> {
    pub uid: &'a str,
    pub endpoint: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: u64,
    pub state: &'a str,
    pub started_ms: u64,
}

impl ListedServer<'_> {
    pub fn json(&self) -> Value {
        json!({
            "uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": self.kind,
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.started_ms,
        })
    }
}

/// A list or a change of it, as discovery sends it.
pub fn list(rev: u64, whole: bool, lines: Vec<Value>) -> Value {
    let mut list = Map::new();
    list.insert("rev".into(), rev.into());
    list.insert("all".into(), whole.into());
    list.insert("targets".into(), lines.into());
    Value::Object(list)
}

#[cfg(test)]
mod tests;
