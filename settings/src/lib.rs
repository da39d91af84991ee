//! Decodes a deployment's settings from the platform's JSON and validates them. All adapters use this crate.
//!
//! Fields that are absent or null take their defaults. Unknown keys are ignored, because the platform may add new ones.
//! An invalid value is an error that names the value, its place and what was expected.

mod wire;

use serde_json::Value;
use thiserror::Error;
use wellcrank::settings::Settings;

/// The first invalid value that was found in the settings. The reason is part of this error's text; it is not returned
/// as its `source` too.
#[derive(Debug, Error)]
#[error("settings: {place}: {reason}")]
pub struct SettingsError {
    /// The path of the value in the JSON, such as `contracts[1].refill`.
    pub place: String,
    /// Why the value is invalid.
    pub reason: InvalidSetting,
}

/// Why the value of a setting is invalid.
#[derive(Debug, Error)]
pub enum InvalidSetting {
    /// The JSON value has the wrong type.
    #[error(transparent)]
    WrongType(serde_json::Error),
    /// A number is negative.
    #[error("{0} is negative; expected a number of at least 0")]
    Negative(f64),
    /// A count is negative, not a whole number or larger than a `u32`.
    #[error("{0} is not a count; expected a whole number from 0 to {max}", max = u32::MAX)]
    NotACount(f64),
    /// A ratio is below 0 or above 1.
    #[error("{0} is not a ratio; expected a number from 0 to 1")]
    NotARatio(f64),
    /// Two entries of one list have the same name.
    #[error("'{0}' is the name of an earlier entry; expected a unique name")]
    DuplicateName(String),
}

/// Decodes the platform's JSON. Fails with the first value that has the wrong type or is invalid.
pub fn decode(json: &Value) -> Result<Settings, SettingsError> {
    let raw_settings: wire::Settings =
        serde_path_to_error::deserialize(without_nulls(json)).map_err(wrong_type_error)?;
    raw_settings.validate()
}

fn wrong_type_error(error: serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    SettingsError {
        place: error.path().to_string(),
        reason: InvalidSetting::WrongType(error.into_inner()),
    }
}

/// Returns the JSON without the fields that are null, which is how the platform writes absent values.
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
