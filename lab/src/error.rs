//! The errors of the laboratory. Each says what could not be done, and with which file if one is concerned. The cause
//! of an error is its source; [`ErrorChain`] prints both.

use crate::decision_engine::DecisionEngineError;
use crate::experiment::{ExperimentError, InvalidVariant};
use crate::loopback::NotReady;
use crate::record::RecordingError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a run ended without results, or a file of the laboratory could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file, folder or program could not be opened, written or started.
    #[error("{}: {failure}", path.display())]
    File {
        /// Path of the file, folder or program.
        path: PathBuf,
        /// What could not be done with it, such as `cannot be opened`.
        failure: &'static str,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// An operation of the operating system failed that concerns no file.
    #[error("{failure}")]
    System {
        /// What could not be done, such as `cannot wait for socket events`.
        failure: &'static str,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// A socket can't listen on an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address and port on which the socket should listen.
        address: SocketAddr,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The gateways of a loopback run did not become ready.
    #[error(transparent)]
    GatewaysNotReady(#[from] NotReady),
    /// The decision engine of a simulated run failed.
    #[error(transparent)]
    DecisionEngine(#[from] DecisionEngineError),
    /// A recording can't be read.
    #[error("{}: cannot be read as a recording", path.display())]
    Recording {
        /// Path of the recording.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        source: RecordingError,
    },
    /// A recording names a route or plan that the experiment does not have.
    #[error("{}: the experiment has no {kind} '{name}'", path.display())]
    UnknownName {
        /// Path of the recording.
        path: PathBuf,
        /// What the name is expected to be: `route` or `plan`.
        kind: &'static str,
        /// The name in the recording.
        name: String,
    },
    /// A line of stored results can't be parsed.
    #[error("{}:{line}: cannot be read as one run's results", path.display())]
    ResultsLine {
        /// Path of the file of results.
        path: PathBuf,
        /// The line's number, counted from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: serde_json::Error,
    },
    /// A file of results is empty.
    #[error("{}: the file is empty, expected one run's results per line", path.display())]
    NoResults {
        /// Path of the file of results.
        path: PathBuf,
    },
    /// A variant's overrides of settings can't be converted to JSON.
    #[error("the variant's table 'told' cannot be converted to JSON")]
    SettingsOverrides(#[source] serde_json::Error),
    /// A variant overrides a setting that the gateways' configuration does not have.
    #[error("the variant's table 'told' names '{0}', which the gateways' settings do not have in that place")]
    UnknownSetting(String),
    /// A plot of a report could not be drawn.
    #[error("cannot draw plot '{title}'")]
    Plot {
        /// Title of the plot.
        title: String,
        /// The plotting library's error.
        #[source]
        source: Box<dyn Error + Send + Sync>,
    },
    /// An experiment can't be loaded from its file.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A variant's changes don't lead to a valid experiment.
    #[error(transparent)]
    Variant(#[from] InvalidVariant),
}

impl LabError {
    /// Returns a conversion of an I/O error on `path` into a [`LabError::File`]. `failure` says what could not be done
    /// with the file, such as `cannot be opened`.
    pub fn file(path: &Path, failure: &'static str) -> impl FnOnce(io::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::File {
            path,
            failure,
            source,
        }
    }

    /// Returns a conversion of an I/O error that concerns no file into a [`LabError::System`]. `failure` says what could
    /// not be done.
    pub fn system(failure: &'static str) -> impl FnOnce(io::Error) -> LabError {
        move |source| LabError::System { failure, source }
    }
}

/// Prints an error and its causes in one line, separated by colons.
pub struct ErrorChain<'a>(
    /// The error that is printed first, before its causes.
    pub &'a dyn Error,
);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(out, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}
