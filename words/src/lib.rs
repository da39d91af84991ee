//! The one place where a deployment's settings are put into our words, for every adapter.

use serde_json::Value;
use wellcrank::port::{Fact, Facts};

/// Wire words for settings, and ours.
const WORDS: &[(&str, &str)] = &[
    ("classes", "routes"),
    ("target_ns", "latency_target"),
    ("deadline_ns", "client_timeout"),
    ("credit", "billed_value"),
    ("contracts", "plans"),
    ("refill", "rate"),
    ("store_size", "burst"),
    ("parallel", "cap"),
    ("value_factor", "price"),
    ("excess_cost", "over_cost"),
    ("extra_worth", "over_value"),
    ("never_over_rate", "ceiling_rate"),
    ("cap_depth", "ceiling_burst"),
    ("hard_slack", "ceiling_slack"),
    ("ceilings", "limits"),
    ("family_info", "counter"),
    ("shared_counter", "present"),
    ("balancers", "gateways"),
    ("my_zone", "zone"),
    ("repeatable", "idempotent"),
    ("by_key", "tokened"),
    ("once", "non-idempotent"),
];

fn ours(word: &str) -> &str {
    match WORDS.iter().find(|(wire, _)| *wire == word) {
        Some((_, ours)) => ours,
        None => word.strip_suffix("_ns").unwrap_or(word),
    }
}

/// A value, where it is one of the wire's words; a name that somebody gave stays as it is.
fn value_of(text: &str) -> &str {
    WORDS.iter().find(|(wire, _)| *wire == text).map_or(text, |(_, ours)| ours)
}

/// The settings as a plain map of our names to values.
pub fn facts(settings: &Value) -> Facts {
    let mut facts = Facts::default();
    flatten(&mut facts, "", settings, 1.0);
    facts
}

/// Flattens the settings into names and values; names in nanoseconds become seconds.
fn flatten(facts: &mut Facts, path: &str, value: &Value, scale: f64) {
    let join = |part: &str| {
        if path.is_empty() {
            part.to_string()
        } else {
            format!("{path}.{part}")
        }
    };
    match value {
        Value::Object(fields) => {
            for (word, field) in fields {
                let scale = if word.ends_with("_ns") { 1e-9 } else { 1.0 };
                flatten(facts, &join(ours(word)), field, scale);
            }
        }
        Value::Array(items) => {
            for (place, item) in items.iter().enumerate() {
                let place = place.to_string();
                let name = item.get("name").and_then(Value::as_str).unwrap_or(&place);
                flatten(facts, &join(name), item, scale);
            }
        }
        Value::Number(number) => {
            facts.0.insert(path.to_string(), Fact::Number(number.as_f64().unwrap_or(0.0) * scale));
        }
        Value::String(text) => {
            facts.0.insert(path.to_string(), Fact::Text(value_of(text).to_string()));
        }
        Value::Bool(flag) => {
            facts.0.insert(path.to_string(), Fact::Flag(*flag));
        }
        Value::Null => (),
    }
}
