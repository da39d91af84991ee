//! The errors that end the program. The error for an invalid line names the line's number in the input, the field, its
//! value and what was expected.

use serde_json::Value;
use std::io;
use thiserror::Error;
use wellcrank_settings::SettingsError;

/// An error that ends the program.
#[derive(Debug, Error)]
pub(crate) enum SimulatorError {
    /// A line of the input could not be read.
    #[error("line {line} of the input cannot be read")]
    ReadLine {
        /// The line's number, from 1.
        line: usize,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A line of the input does not follow the simulator's protocol.
    #[error("line {line} of the input is invalid")]
    InvalidLine {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with the line.
        #[source]
        source: LineError,
    },
    /// The reply to a batch could not be written.
    #[error("the reply to a batch cannot be written")]
    WriteReply(#[source] io::Error),
}

impl SimulatorError {
    /// Returns a function that adds the number (from 1) of the line that could not be read.
    pub(crate) fn read_line(line: usize) -> impl FnOnce(io::Error) -> SimulatorError {
        move |source| SimulatorError::ReadLine { line, source }
    }

    /// Returns a function that adds the number (from 1) of the invalid line.
    pub(crate) fn invalid_line(line: usize) -> impl FnOnce(LineError) -> SimulatorError {
        move |source| SimulatorError::InvalidLine { line, source }
    }
}

/// What is wrong with one line.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// The line is not JSON.
    #[error("not valid JSON")]
    InvalidJson(#[from] serde_json::Error),
    /// The line, or an entry of the endpoint list, is JSON but not an object.
    #[error("invalid value {value}; expected a JSON object")]
    NotAnObject {
        /// The value that was found.
        value: Value,
    },
    /// A required field is absent or null.
    #[error("field '{field}' is missing or null; expected {expected}")]
    MissingField {
        /// The field's name in the protocol.
        field: &'static str,
        /// The expected type or codes.
        expected: &'static str,
    },
    /// A field holds a value of the wrong type or an unknown code.
    #[error("field '{field}' has the invalid value {value}; expected {expected}")]
    InvalidValue {
        /// The field's name in the protocol.
        field: &'static str,
        /// The value that was found.
        value: Value,
        /// The expected type or codes.
        expected: &'static str,
    },
    /// An entry of the endpoint list is invalid. The reason is part of this error's text; it is not returned as its
    /// `source` too.
    #[error("lines[{index}]: {reason}")]
    InvalidEndpoint {
        /// The index of the entry, from 0.
        index: usize,
        /// What is wrong with the entry.
        reason: Box<LineError>,
    },
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
