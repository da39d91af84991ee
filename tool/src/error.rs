//! Errors of the sub-commands and their exit codes.

use std::io;
use std::path::PathBuf;
use wellcrank_lab::error::LabError;
use wellcrank_lab::experiment::{ExperimentError, Problem};
use wellcrank_lab::stats::Interval;

/// Why a command failed. [`CommandError::exit_code`] gives the exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A result of the command does not meet an expectation.
    #[error("expectation not met")]
    Unmet(#[from] UnmetExpectation),
    /// The laboratory could not run an experiment, or could not read or write a file.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// The path given with `--edge` is not a file.
    #[error("{}: not a file, expected the program of an edge node", .0.display())]
    NoSuchProgram(PathBuf),
    /// The command-line options result in an invalid experiment.
    #[error("{0}")]
    InvalidOptions(Problem),
    /// An experiment has too few variants for a comparison.
    #[error("{}: expected at least 2 variants, found {count}", file.display())]
    TooFewVariants {
        /// The experiment file.
        file: PathBuf,
        /// The number of variants in the file.
        count: usize,
    },
    /// Some of the checked files are not valid experiments. Holds one error message for each such file.
    #[error("{}", .0.join("\n"))]
    InvalidFiles(Vec<String>),
    /// A trial of `lab validate` could not be serialized.
    #[error("cannot serialize a trial as JSON")]
    Json(#[source] serde_json::Error),
}

impl CommandError {
    /// The exit code of the process: 1 for an unmet expectation, 2 for every other error.
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

/// An expectation that the result of a command does not meet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnmetExpectation {
    /// Runs broke rules, or gateways crashed. Holds the number of broken rules and crashes.
    #[error("expected no broken rules and no crashes, found {0}")]
    Violations(u64),
    /// Two variants have no pair of runs to compare: no seed was run with both on the same engine, or the laboratory
    /// itself ran late in every pair.
    #[error(
        "no runs of {variant} to compare with {base}, expected at least one pair; \
         pairs left out because the laboratory ran late: {late}"
    )]
    NothingToCompare {
        /// Name of the variant.
        variant: String,
        /// Name of the first variant, the baseline.
        base: String,
        /// Pairs of runs left out because the laboratory ran late.
        late: usize,
    },
    /// The `net` figure of a variant is too far below that of the first variant.
    #[error(
        "{variant}: net {difference} compared with {base}, expected a drop of at most {max_drop}"
    )]
    NetDrop {
        /// Name of the variant.
        variant: String,
        /// Name of the first variant, the baseline.
        base: String,
        /// The difference of the net figures, variant minus baseline.
        difference: Interval,
        /// The largest accepted drop of the net figure.
        max_drop: f64,
    },
    /// Too few of the predictions made in simulated time hold on loopback.
    #[error("{held} of {trials} trials hold, expected at least {:.0}%", wanted_share * 100.0)]
    FewTrialsHold {
        /// Number of trials that hold.
        held: usize,
        /// Number of all trials.
        trials: usize,
        /// The smallest accepted share of trials that hold, between 0 and 1.
        wanted_share: f64,
    },
}

/// Returns a conversion of an I/O error on `path` into a [`CommandError`]. `failure` says what could not be done with the
/// file, such as `cannot be written`.
pub(crate) fn file_error(
    path: &std::path::Path,
    failure: &'static str,
) -> impl FnOnce(io::Error) -> CommandError {
    let to_lab_error = LabError::file(path, failure);
    move |source| CommandError::Lab(to_lab_error(source))
}

/// Returns a conversion of an I/O error into a [`CommandError`]. `failure` says what could not be done.
pub(crate) fn system_error(failure: &'static str) -> impl FnOnce(io::Error) -> CommandError {
    let to_lab_error = LabError::system(failure);
    move |source| CommandError::Lab(to_lab_error(source))
}
