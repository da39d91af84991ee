//! Access to the fields of a JSON object. A field that is null is treated as absent.

use crate::error::LineError;
use serde_json::{Map, Value};
use std::time::Duration;

/// The fields of one JSON object of the input.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// Returns the fields of a JSON object. Fails if the value is not an object.
    pub(crate) fn of_object(value: &'a Value) -> Result<Fields<'a>, LineError> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| LineError::NotAnObject {
                value: value.clone(),
            })
    }

    /// Returns the value of a field, or `None` if the field is absent or null.
    pub(crate) fn optional(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    /// Returns the value of a required field as `read` converts it. The error for a missing field, or for a value from
    /// which `read` returns `None`, says that `expected` was expected.
    pub(crate) fn required<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, LineError> {
        let value = self
            .optional(field)
            .ok_or(LineError::MissingField { field, expected })?;
        read(value).ok_or_else(|| LineError::InvalidValue {
            field,
            value: value.clone(),
            expected,
        })
    }

    /// Returns a required string.
    pub(crate) fn text(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.required(field, "a string", Value::as_str)
    }

    /// Returns a required whole number of at least 0.
    pub(crate) fn unsigned(&self, field: &'static str) -> Result<u64, LineError> {
        self.required(field, "a whole number of at least 0", Value::as_u64)
    }

    /// Returns a required number.
    pub(crate) fn number(&self, field: &'static str) -> Result<f64, LineError> {
        self.required(field, "a number", Value::as_f64)
    }

    /// Returns a required boolean.
    pub(crate) fn flag(&self, field: &'static str) -> Result<bool, LineError> {
        self.required(field, "true or false", Value::as_bool)
    }

    /// Returns a required duration or time of the clock, which the input states in whole nanoseconds.
    pub(crate) fn duration(&self, field: &'static str) -> Result<Duration, LineError> {
        self.unsigned(field).map(Duration::from_nanos)
    }

    /// Returns the meaning of a required code. `decode` returns `None` for an unknown code; `expected` lists the known
    /// codes for the error.
    pub(crate) fn code<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        decode: impl Fn(&str) -> Option<T>,
    ) -> Result<T, LineError> {
        self.required(field, expected, |value| decode(value.as_str()?))
    }
}
