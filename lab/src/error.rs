//! The errors of the laboratory. Each names the place; its cause is its source, and [`ErrorChain`] prints both.

use crate::decision_engine::DecisionEngineError;
use crate::experiment::{ExperimentError, InvalidVariant};
use crate::loopback::NotReady;
use crate::record::RecordingError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a run, a recording or a file of results could not be made or read.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file, folder or program could not be opened, written or started.
    #[error("{}", path.display())]
    File {
        /// The path that was tried.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The system refused something that is about no file.
    #[error("{operation}")]
    System {
        /// What was tried.
        operation: &'static str,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// An address can't be listened at.
    #[error("{address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The gateways of a run on loopback did not start.
    #[error(transparent)]
    GatewaysNotReady(#[from] NotReady),
    /// The decisions of a simulated run could not be had.
    #[error(transparent)]
    DecisionEngine(#[from] DecisionEngineError),
    /// A recording can't be replayed.
    #[error("{}", path.display())]
    Recording {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        source: RecordingError,
    },
    /// A recording names a route or plan that the experiment does not have.
    #[error("{}: the experiment has no {kind} '{name}'", path.display())]
    UnknownName {
        /// The recording.
        path: PathBuf,
        /// What is named: a route or a plan.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A line of stored results can't be read.
    #[error("{}:{line}", path.display())]
    ResultsLine {
        /// The file of results.
        path: PathBuf,
        /// The line's number, counted from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: serde_json::Error,
    },
    /// A file of results holds none.
    #[error("{}: no results in it", path.display())]
    NoResults {
        /// The file.
        path: PathBuf,
    },
    /// A variant's overrides of settings can't be had as JSON.
    #[error("told")]
    SettingsOverrides(#[source] serde_json::Error),
    /// A variant overrides a setting that the nodes' configuration does not have.
    #[error("told: the configuration has no '{0}' there")]
    UnknownSetting(String),
    /// A plot of a report could not be drawn.
    #[error("plot '{title}'")]
    Plot {
        /// Title of the plot.
        title: String,
        /// What the plotting library said.
        #[source]
        source: Box<dyn Error + Send + Sync>,
    },
    /// An experiment can't be had from its file.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A variant leads to an experiment that can't be played.
    #[error(transparent)]
    Variant(#[from] InvalidVariant),
}

impl LabError {
    /// Makes an I/O error of a path into a [`LabError::File`].
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> LabError {
        let path = path.to_path_buf();
        move |source| LabError::File { path, source }
    }

    /// Makes an I/O error of something without a path into a [`LabError::System`].
    pub fn system(operation: &'static str) -> impl FnOnce(io::Error) -> LabError {
        move |source| LabError::System { operation, source }
    }
}

/// Prints an error and its causes in one line, parted by colons.
pub struct ErrorChain<'a>(
    /// The outermost error.
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
