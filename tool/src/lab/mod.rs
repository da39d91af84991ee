//! `wellcrank lab`: a module for each sub-command, and what they have in common.

mod capacity;
mod check;
mod common;
mod compare;
mod output;
mod record;
mod report;
mod run;
mod scaling;
mod up;
mod validate;

use crate::error::CommandError;
use clap::Subcommand;
use slog::Logger;

/// The sub-commands of the laboratory. Names of the version before are kept as aliases.
#[derive(Subcommand)]
pub(crate) enum LabCommand {
    /// Starts a whole platform on loopback and shows each second what it does, until Ctrl-C.
    Up(up::UpArgs),
    /// Plays an experiment: every variant on every seed.
    Run(run::RunArgs),
    /// Compares the variants of results, paired by seed, with 95% intervals.
    Compare(compare::CompareArgs),
    /// Writes results as one self-contained HTML page with plots.
    Report(report::ReportArgs),
    /// Checks experiment files without playing them.
    Check(check::CheckArgs),
    /// Records what clients request of a gateway, as a proxy before it.
    Record(record::RecordArgs),
    /// Plays experiments in both engines: does simulated time predict what loopback measures?
    #[command(alias = "agree")]
    Validate(validate::ValidateArgs),
    /// Finds the rate that one gateway sustains within a latency, over servers that answer at once.
    #[command(alias = "bears")]
    Capacity(capacity::CapacityArgs),
    /// Plays fleets of growing size in simulated time, and prints what each costs to play.
    #[command(alias = "grow")]
    Scaling(scaling::ScalingArgs),
}

/// Runs one sub-command.
pub(crate) fn run(command: LabCommand, log: &Logger) -> Result<(), CommandError> {
    match command {
        LabCommand::Up(args) => up::run(args, log),
        LabCommand::Run(args) => run::run(args, log),
        LabCommand::Compare(args) => compare::run(&args),
        LabCommand::Report(args) => report::run(&args, log),
        LabCommand::Check(args) => check::run(&args),
        LabCommand::Record(args) => record::run(&args, log),
        LabCommand::Validate(args) => validate::run(&args),
        LabCommand::Capacity(args) => capacity::run(&args),
        LabCommand::Scaling(args) => scaling::run(&args),
    }
}
