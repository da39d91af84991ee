//! Formats errors with their causes as one line, for standard error and for log lines.

use std::error::Error;
use std::fmt;

/// Displays an error with all its causes, the outermost first, separated by colons.
pub(crate) struct ErrorChain<'a>(pub(crate) &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(formatter, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}
