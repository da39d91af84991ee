//! Why a command did not do what it should, and the exit code for it.

use std::io;
use std::path::PathBuf;
use wellcrank_lab::error::LabError;
use wellcrank_lab::experiment::{ExperimentError, Problem};
use wellcrank_lab::stats::Interval;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command ran, and what came of it falls short of what was wanted.
    #[error("fell short")]
    Unmet(#[from] UnmetExpectation),
    /// The laboratory could not play, read or write something.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// The program that is to be played as edge node does not exist.
    #[error("{}: no such program", .0.display())]
    NoSuchProgram(PathBuf),
    /// The options lead to an experiment that can't be played.
    #[error("{0}")]
    InvalidOptions(Problem),
    /// An experiment has no variants to compare.
    #[error("{}: expected two variants or more", .0.display())]
    TooFewVariants(PathBuf),
    /// Some of the files that were to be checked are no valid experiments; a line for each.
    #[error("{}", .0.join("\n"))]
    InvalidFiles(Vec<String>),
    /// A result can't be written as JSON.
    #[error("a trial can't be written as JSON")]
    Json(#[source] serde_json::Error),
}

impl CommandError {
    /// What the process exits with.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Unmet(_) => 1,
            _ => 2,
        }
    }
}

impl From<ExperimentError> for CommandError {
    fn from(error: ExperimentError) -> Self {
        CommandError::Lab(error.into())
    }
}

/// What falls short of what was wanted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnmetExpectation {
    /// Runs broke rules, or gateways crashed.
    #[error("{0} broken rules and crashes")]
    Violations(u64),
    /// All pairs of runs were left out, as the laboratory itself ran late.
    #[error("nothing is left to compare")]
    NothingToCompare,
    /// A variant's net figure is too far below that of the first variant.
    #[error("{variant}: net {difference} against {base}")]
    NetDrop {
        /// The variant.
        variant: String,
        /// The first variant.
        base: String,
        /// The difference of the net figures.
        difference: Interval,
    },
    /// Too few of the model's predictions hold.
    #[error("{held} of {trials} trials hold, {:.0}% wanted", wanted_share * 100.0)]
    FewTrialsHold {
        /// Trials that hold.
        held: usize,
        /// All trials.
        trials: usize,
        /// The share of them that is wanted.
        wanted_share: f64,
    },
}

/// Makes an I/O error of a path into a [`CommandError`].
pub(crate) fn file_error(path: &std::path::Path) -> impl FnOnce(io::Error) -> CommandError {
    let to_lab_error = LabError::file(path);
    move |source| CommandError::Lab(to_lab_error(source))
}

/// Makes an I/O error of something without a path into a [`CommandError`].
pub(crate) fn system_error(operation: &'static str) -> impl FnOnce(io::Error) -> CommandError {
    let to_lab_error = LabError::system(operation);
    move |source| CommandError::Lab(to_lab_error(source))
}
