//! Decodes a deployment's settings from the platform's JSON and validates them, at one place for all adapters.
//!
//! What is absent or null has a default, and keys that are not known are skipped, as the platform may add some. A value
//! that makes no sense is an error that names its place and what was expected there.

mod wire;

use serde_json::Value;
use thiserror::Error;
use wellcrank::settings::Settings;

/// Settings that can't be used, with the first reason found. The text holds the reason, which is therefore no source.
#[derive(Debug, Error)]
#[error("settings: {place}: {reason}")]
pub struct SettingsError {
    /// Where the value stands, as in `contracts[1].refill`.
    pub place: String,
    /// What is wrong with it.
    pub reason: InvalidSetting,
}

/// What is wrong with one setting.
#[derive(Debug, Error)]
pub enum InvalidSetting {
    /// The JSON value has the wrong type.
    #[error(transparent)]
    WrongType(serde_json::Error),
    /// A number is below zero.
    #[error("{0} is below nothing; expected 0 or more")]
    Negative(f64),
    /// A number that counts something is below zero, not whole or too large.
    #[error("{0} is no count; expected a whole number, 0 or more")]
    NotACount(f64),
    /// A ratio is below 0 or above 1.
    #[error("{0} is no share; expected 0 to 1")]
    NotARatio(f64),
    /// Two entries of one list have the same name.
    #[error("'{0}' stands twice; expected a name of its own")]
    DuplicateName(String),
}

/// The settings that the platform's JSON states.
pub fn decode(json: &Value) -> Result<Settings, SettingsError> {
    let stated: wire::Settings =
        serde_path_to_error::deserialize(without_nulls(json)).map_err(wrong_type)?;
    stated.validate()
}

fn wrong_type(error: serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    SettingsError {
        place: error.path().to_string(),
        reason: InvalidSetting::WrongType(error.into_inner()),
    }
}

/// The JSON without the fields that are null: the platform writes absent values so.
fn without_nulls(json: &Value) -> Value {
    match json {
        Value::Object(fields) => fields
            .iter()
            .filter(|(_, value)| !value.is_null())
            .map(|(key, value)| (key.clone(), without_nulls(value)))
            .collect(),
        Value::Array(items) => items.iter().map(without_nulls).collect(),
        other => other.clone(),
    }
}

#[cfg(test)]
mod tests;
