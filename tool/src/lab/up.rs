//! `wellcrank lab up`: one run on loopback, shown second by second.

use super::common::{base_dir, gateway_program, load_experiment};
use super::output::{check_rules, print_summary, write_page};
use crate::error::CommandError;
use clap::Args;
use slog::Logger;
use std::path::PathBuf;
use std::slice;
use wellcrank_lab::experiment::Experiment;
use wellcrank_lab::loopback;
use wellcrank_lab::metrics::SecondMetrics;
use wellcrank_lab::runs;

/// The head of the table is printed again after so many lines.
const LINES_PER_HEAD: u64 = 20;
/// What is played where no file is named.
const DEFAULT_EXPERIMENT: &str =
    "title = \"A usual day\"\nabout = \"What `wellcrank lab up` plays.\"\nseconds = 3600.0";

/// Arguments of `lab up`.
#[derive(Args)]
pub(crate) struct UpArgs {
    /// An experiment, of which the first variant is played; else a usual day.
    file: Option<PathBuf>,
    /// Number of gateways, each a process.
    #[arg(long)]
    gateways: Option<usize>,
    /// Number of servers, which are simulated.
    #[arg(long)]
    servers: Option<usize>,
    /// Requests a second inside the quotas.
    #[arg(long, alias = "calls")]
    request_rate: Option<f64>,
    /// Ends by itself after so long; else after the length that the file gives.
    #[arg(long)]
    seconds: Option<f64>,
    /// The seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Another edge node's program than the one built in.
    #[arg(long)]
    edge: Option<PathBuf>,
    /// A folder for the gateways' logs.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Records what clients request in this file, for replay.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Writes the report to this file.
    #[arg(long)]
    report: Option<PathBuf>,
}

pub(super) fn run(args: UpArgs, log: &Logger) -> Result<(), CommandError> {
    let experiment = experiment(&args)?;
    let variant = experiment.variants_or_default().remove(0);
    slog::info!(log, "starting"; "gateways" => experiment.fleet.gateways,
        "simulated servers" => experiment.fleet.servers, "seconds" => experiment.seconds);
    println!("Ctrl-C ends the run and prints what it has brought.\n");
    let base_dir = args.file.as_deref().map(base_dir).unwrap_or_default();
    let options = loopback::RunOptions {
        gateway_program: gateway_program(args.edge.as_deref())?,
        replay: runs::load_replay(&experiment, args.seed, &base_dir)?,
        record_to: args.record,
        log_dir: args.logs,
        on_second: Some(Box::new(print_second)),
    };
    let results = loopback::run_experiment(&experiment, &variant, args.seed, options)?;
    print_summary(&results);
    if let Some(file) = args.report {
        let results = slice::from_ref(&results);
        write_page(&file, &experiment.title, &experiment.about, results)?;
        slog::info!(log, "report written"; "file" => %file.display());
    }
    check_rules(&[results])?;
    Ok(())
}

/// The experiment that the arguments name, with their values laid over it.
fn experiment(args: &UpArgs) -> Result<Experiment, CommandError> {
    let mut experiment = match &args.file {
        Some(file) => load_experiment(file)?,
        None => Experiment::parse("the usual day", DEFAULT_EXPERIMENT)?,
    };
    let fleet = &mut experiment.fleet;
    fleet.gateways = args.gateways.unwrap_or(fleet.gateways);
    fleet.servers = args.servers.unwrap_or(fleet.servers);
    let load = &mut experiment.load;
    load.request_rate = args.request_rate.unwrap_or(load.request_rate);
    load.gateways_per_account = load.gateways_per_account.min(fleet.gateways);
    experiment.seconds = args.seconds.unwrap_or(experiment.seconds);
    match experiment.problems().into_iter().next() {
        Some(problem) => Err(CommandError::InvalidOptions(problem)),
        None => Ok(experiment),
    }
}

/// Prints one second of the run as a line of a table.
fn print_second(second: u64, metrics: &SecondMetrics) {
    if second.is_multiple_of(LINES_PER_HEAD) {
        println!(
            "{:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>10} {:>9} {:>8}",
            "second",
            "requests",
            "served",
            "rejected",
            "failed",
            "in time",
            "over quota",
            "counter",
            "attempts"
        );
    }
    println!(
        "{second:>6} {:>8} {:>8} {:>8} {:>8} {:>8.1}% {:>9.1}% {:>9} {:>8}",
        metrics.requests,
        metrics.succeeded,
        metrics.rejected,
        metrics.all_failures(),
        percentage(metrics.value_in_time, metrics.requested_value),
        percentage(metrics.over_quota_units, metrics.forwarded_units),
        metrics.counter_calls,
        metrics.attempts
    );
}

fn percentage(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        0.0
    }
}
