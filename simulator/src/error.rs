//! The errors that end the program. An invalid line is named by its number in the input and, where there is one, by
//! the field.

use serde_json::Value;
use std::io;
use thiserror::Error;
use wellcrank_settings::SettingsError;

/// Why the program can't go on.
#[derive(Debug, Error)]
pub(crate) enum SimulatorError {
    /// A line of the input could not be read.
    #[error("line {line}")]
    ReadLine {
        /// The line's number, counted from 1.
        line: usize,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A line of the input is not what the wire's description says.
    #[error("line {line}")]
    InvalidLine {
        /// The line's number, counted from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: LineError,
    },
    /// The reply to a batch could not be written.
    #[error("cannot write a reply")]
    WriteReply(#[source] io::Error),
}

impl SimulatorError {
    /// Adds the number of the line that could not be read, counted from 1.
    pub(crate) fn read_line(line: usize) -> impl FnOnce(io::Error) -> SimulatorError {
        move |source| SimulatorError::ReadLine { line, source }
    }

    /// Adds the number of the invalid line, counted from 1.
    pub(crate) fn invalid_line(line: usize) -> impl FnOnce(LineError) -> SimulatorError {
        move |source| SimulatorError::InvalidLine { line, source }
    }
}

/// What is wrong with one line.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// The line is not JSON.
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A required field is absent or null.
    #[error("field '{field}' is missing")]
    MissingField {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// A field holds a value of the wrong type, or a code that the wire doesn't know.
    #[error("field '{field}' has a wrong value: {value}")]
    InvalidValue {
        /// The field's name on the wire.
        field: &'static str,
        /// What it holds.
        value: Value,
    },
    /// An entry of the endpoint list is not an object.
    #[error("an entry is no object")]
    EntryNotAnObject,
    /// The settings of a new instance can't be used.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
