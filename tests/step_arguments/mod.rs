//! Reads the words of one scenario step, with errors that name the argument that is wrong.

use std::fmt::{self, Display};
use std::str::FromStr;

/// Why a step can't be read.
#[derive(Debug)]
pub(crate) enum StepError {
    /// No step begins with this word.
    UnknownStep(String),
    /// The step needs an argument that is not there.
    Missing(&'static str),
    /// An argument has a value that it can't have.
    Invalid {
        /// Which argument.
        argument: &'static str,
        /// Its value.
        value: String,
    },
    /// Something follows the last argument.
    Unexpected(String),
}

impl Display for StepError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepError::UnknownStep(word) => write!(out, "no such step: '{word}'"),
            StepError::Missing(argument) => write!(out, "it lacks the {argument}"),
            StepError::Invalid { argument, value } => {
                write!(out, "'{value}' is not a valid {argument}")
            }
            StepError::Unexpected(rest) => write!(out, "'{rest}' follows the last argument"),
        }
    }
}

impl std::error::Error for StepError {}

/// The words of a step that have not been read yet.
pub(crate) struct Arguments<'a> {
    rest: &'a str,
}

#[allow(dead_code, reason = "each test crate uses a part of it")]
impl<'a> Arguments<'a> {
    /// The arguments in a text.
    pub(crate) fn new(text: &'a str) -> Self {
        Arguments {
            rest: text.trim_start(),
        }
    }

    /// The next word, if there is one.
    pub(crate) fn optional_word(&mut self) -> Option<&'a str> {
        let end = self
            .rest
            .find(char::is_whitespace)
            .unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest.trim_start();
        Some(word).filter(|word| !word.is_empty())
    }

    /// The next word, which the step needs.
    pub(crate) fn word(&mut self, argument: &'static str) -> Result<&'a str, StepError> {
        self.optional_word().ok_or(StepError::Missing(argument))
    }

    /// The next word as a value of a type, such as a number.
    pub(crate) fn value<T: FromStr>(&mut self, argument: &'static str) -> Result<T, StepError> {
        let word = self.word(argument)?;
        parse_value(argument, word)
    }

    /// The next word as a value of a type, if there is one.
    pub(crate) fn optional_value<T: FromStr>(
        &mut self,
        argument: &'static str,
    ) -> Result<Option<T>, StepError> {
        self.optional_word()
            .map(|word| parse_value(argument, word))
            .transpose()
    }

    /// All words that are left.
    pub(crate) fn words(&mut self) -> impl Iterator<Item = &'a str> {
        std::mem::take(&mut self.rest).split_whitespace()
    }

    /// The text that is left, which the step needs.
    pub(crate) fn text(&mut self, argument: &'static str) -> Result<&'a str, StepError> {
        let text = std::mem::take(&mut self.rest);
        if text.is_empty() {
            return Err(StepError::Missing(argument));
        }
        Ok(text)
    }

    /// Refuses what is left.
    pub(crate) fn end(&self) -> Result<(), StepError> {
        if self.rest.is_empty() {
            return Ok(());
        }
        Err(StepError::Unexpected(self.rest.to_string()))
    }
}

/// A word as a value of a type.
pub(crate) fn parse_value<T: FromStr>(argument: &'static str, word: &str) -> Result<T, StepError> {
    word.parse().map_err(|_| invalid(argument, word))
}

/// The error for an argument that can't have this value.
pub(crate) fn invalid(argument: &'static str, value: &str) -> StepError {
    StepError::Invalid {
        argument,
        value: value.to_string(),
    }
}
