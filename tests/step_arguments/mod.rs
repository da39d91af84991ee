//! Parses the words of a scenario step. Errors name the argument that is wrong.

use std::fmt::{self, Display};
use std::str::FromStr;

/// The error of a step that can't be parsed.
#[derive(Debug)]
pub(crate) enum StepError {
    /// There is no step with this name.
    UnknownStep(String),
    /// A required argument is missing.
    Missing(&'static str),
    /// An argument has an invalid value.
    Invalid {
        /// The name of the argument.
        argument: &'static str,
        /// Its value.
        value: String,
    },
    /// There is text after the last argument.
    Unexpected(String),
}

impl Display for StepError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepError::UnknownStep(word) => write!(out, "unknown step '{word}'"),
            StepError::Missing(argument) => write!(out, "missing argument: {argument}"),
            StepError::Invalid { argument, value } => {
                write!(out, "'{value}' is not a valid {argument}")
            }
            StepError::Unexpected(rest) => {
                write!(out, "unexpected text after the last argument: '{rest}'")
            }
        }
    }
}

impl std::error::Error for StepError {}

/// The words of a step that have not been parsed yet.
pub(crate) struct Arguments<'a> {
    rest: &'a str,
}

#[allow(dead_code, reason = "each test crate uses only some of the methods")]
impl<'a> Arguments<'a> {
    /// Creates the arguments from the text of a step.
    pub(crate) fn new(text: &'a str) -> Self {
        Arguments {
            rest: text.trim_start(),
        }
    }

    /// Returns the next word, if there is one.
    pub(crate) fn optional_word(&mut self) -> Option<&'a str> {
        let end = self
            .rest
            .find(char::is_whitespace)
            .unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest.trim_start();
        Some(word).filter(|word| !word.is_empty())
    }

    /// Returns the next word, which is required.
    pub(crate) fn word(&mut self, argument: &'static str) -> Result<&'a str, StepError> {
        self.optional_word().ok_or(StepError::Missing(argument))
    }

    /// Parses the next word, which is required.
    pub(crate) fn value<T: FromStr>(&mut self, argument: &'static str) -> Result<T, StepError> {
        let word = self.word(argument)?;
        parse_value(argument, word)
    }

    /// Parses the next word, if there is one.
    pub(crate) fn optional_value<T: FromStr>(
        &mut self,
        argument: &'static str,
    ) -> Result<Option<T>, StepError> {
        self.optional_word()
            .map(|word| parse_value(argument, word))
            .transpose()
    }

    /// Returns all remaining words.
    pub(crate) fn words(&mut self) -> impl Iterator<Item = &'a str> {
        std::mem::take(&mut self.rest).split_whitespace()
    }

    /// Returns the remaining text, which is required.
    pub(crate) fn text(&mut self, argument: &'static str) -> Result<&'a str, StepError> {
        let text = std::mem::take(&mut self.rest);
        if text.is_empty() {
            return Err(StepError::Missing(argument));
        }
        Ok(text)
    }

    /// Returns an error if any text remains.
    pub(crate) fn end(&self) -> Result<(), StepError> {
        if self.rest.is_empty() {
            return Ok(());
        }
        Err(StepError::Unexpected(self.rest.to_string()))
    }
}

/// Parses a word as the value of the named argument.
pub(crate) fn parse_value<T: FromStr>(argument: &'static str, word: &str) -> Result<T, StepError> {
    word.parse().map_err(|_| invalid(argument, word))
}

/// Returns the error for an invalid value of the named argument.
pub(crate) fn invalid(argument: &'static str, value: &str) -> StepError {
    StepError::Invalid {
        argument,
        value: value.to_string(),
    }
}
