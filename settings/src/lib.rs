//! Decodes a deployment's settings from the JSON that the platform hands over, and checks them, in one place for all
//! adapters. What is missing or null has a default; names that are not known are skipped, as the platform may add some.
//! What can't be meant is an error that says where it stands and what was expected.

mod wire;

use serde_json::Value;
use std::fmt;
use wellcrank::settings::Settings;

/// Settings that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Where it stands, as in `contracts[1].refill`.
    pub place: String,
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "settings: {}: {}", self.place, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// The settings in the platform's JSON.
pub fn decode(json: &Value) -> Result<Settings, SettingsError> {
    let stated: wire::Settings =
        serde_path_to_error::deserialize(without_nulls(json)).map_err(|error| SettingsError {
            place: error.path().to_string(),
            reason: error.inner().to_string(),
        })?;
    stated.check()
}

/// Absent values are written as null.
fn without_nulls(json: &Value) -> Value {
    match json {
        Value::Object(fields) => {
            let stated = fields.iter().filter(|(_, value)| !value.is_null());
            Value::Object(
                stated
                    .map(|(name, value)| (name.clone(), without_nulls(value)))
                    .collect(),
            )
        }
        Value::Array(items) => Value::Array(items.iter().map(without_nulls).collect()),
        other => other.clone(),
    }
}

#[cfg(test)]
mod tests;
