//! `wellcrank lab`: one module per sub-command, and the shared modules `common` and `output`.

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

/// The sub-commands of the laboratory. Renamed sub-commands keep their former name as an alias.
#[derive(Subcommand)]
pub(crate) enum LabCommand {
    /// Runs a whole platform on loopback and prints a line of metrics each second, until Ctrl-C.
    Up(up::UpArgs),
    /// Runs an experiment: every variant with every seed.
    Run(run::RunArgs),
    /// Compares the variants in stored results, paired by seed, with 95% intervals.
    Compare(compare::CompareArgs),
    /// Writes stored results as one self-contained HTML page with plots.
    Report(report::ReportArgs),
    /// Checks experiment files without running them.
    Check(check::CheckArgs),
    /// Runs a proxy in front of a gateway and records the requests of its clients.
    Record(record::RecordArgs),
    /// Runs experiments in both engines and checks that simulated time predicts what loopback measures.
    #[command(alias = "agree")]
    Validate(validate::ValidateArgs),
    /// Finds the request rate that one gateway sustains within a latency, with servers that answer at once.
    #[command(alias = "bears")]
    Capacity(capacity::CapacityArgs),
    /// Runs fleets of several sizes in simulated time and prints how long each run took.
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
