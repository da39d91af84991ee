//! Access to the fields of a JSON object. A field that is null counts as absent.

use crate::error::LineError;
use serde_json::{Map, Value};
use std::time::Duration;

/// The fields of one JSON object of the wire.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// The fields of an object; none if the value is not an object.
    pub(crate) fn of_object(value: &'a Value) -> Option<Fields<'a>> {
        value.as_object().map(Fields)
    }

    /// The value of a field, if it is there.
    pub(crate) fn optional(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    /// The value of a field that must be there, read as one type.
    pub(crate) fn required<T>(
        &self,
        field: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, LineError> {
        let value = self
            .optional(field)
            .ok_or(LineError::MissingField { field })?;
        read(value).ok_or_else(|| invalid_value(field, value))
    }

    /// A required text.
    pub(crate) fn text(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.required(field, Value::as_str)
    }

    /// A required whole number, 0 or more.
    pub(crate) fn unsigned(&self, field: &'static str) -> Result<u64, LineError> {
        self.required(field, Value::as_u64)
    }

    /// A required number.
    pub(crate) fn number(&self, field: &'static str) -> Result<f64, LineError> {
        self.required(field, Value::as_f64)
    }

    /// A required flag.
    pub(crate) fn flag(&self, field: &'static str) -> Result<bool, LineError> {
        self.required(field, Value::as_bool)
    }

    /// A required span or moment of the clock, in nanoseconds on the wire.
    pub(crate) fn duration(&self, field: &'static str) -> Result<Duration, LineError> {
        self.unsigned(field).map(Duration::from_nanos)
    }

    /// A required code, of which `decode` knows the meaning.
    pub(crate) fn code<T>(
        &self,
        field: &'static str,
        decode: impl Fn(&str) -> Option<T>,
    ) -> Result<T, LineError> {
        self.required(field, |value| decode(value.as_str()?))
    }
}

fn invalid_value(field: &'static str, value: &Value) -> LineError {
    LineError::InvalidValue {
        field,
        value: value.clone(),
    }
}
