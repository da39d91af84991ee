//! `wellcrank lab up`: one run on loopback, with a line of metrics printed each second.

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

/// The table header is printed again after this number of rows.
const ROWS_PER_HEADER: u64 = 20;
/// The experiment that is run when no file is named: default values for one hour.
const DEFAULT_EXPERIMENT: &str =
    "title = \"Default experiment\"\nabout = \"Run by `wellcrank lab up` without a file.\"\nseconds = 3600.0";

/// Arguments of `lab up`.
#[derive(Args)]
pub(crate) struct UpArgs {
    /// Experiment file, of which the first variant is run. Without a file, an experiment with default values is run
    /// for an hour.
    file: Option<PathBuf>,
    /// Number of gateways. Each gateway is a process.
    #[arg(long)]
    gateways: Option<usize>,
    /// Number of emulated servers.
    #[arg(long)]
    servers: Option<usize>,
    /// Requests per second inside the quotas, over all gateways.
    #[arg(long, alias = "calls")]
    request_rate: Option<f64>,
    /// Length of the run in seconds, in place of the length in the file.
    #[arg(long)]
    seconds: Option<f64>,
    /// The seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Path of an edge node program to run in place of the built-in one.
    #[arg(long)]
    edge: Option<PathBuf>,
    /// Folder to write the gateways' logs to.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// File to record the requests of clients in, for replay.
    #[arg(long)]
    record: Option<PathBuf>,
    /// File to write the HTML report to.
    #[arg(long)]
    report: Option<PathBuf>,
}

pub(super) fn run(args: UpArgs, log: &Logger) -> Result<(), CommandError> {
    let experiment = experiment(&args)?;
    let variant = experiment.variants_or_default().remove(0);
    slog::info!(log, "starting"; "gateways" => experiment.fleet.gateways,
        "simulated servers" => experiment.fleet.servers, "seconds" => experiment.seconds);
    println!("Ctrl-C ends the run and prints its results.\n");
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

/// Loads the experiment that the arguments name and applies the values of the other arguments to it.
fn experiment(args: &UpArgs) -> Result<Experiment, CommandError> {
    let mut experiment = match &args.file {
        Some(file) => load_experiment(file)?,
        None => Experiment::parse("the default experiment", DEFAULT_EXPERIMENT)?,
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

/// Prints the metrics of one second as a row of a table.
fn print_second(second: u64, metrics: &SecondMetrics) {
    if second.is_multiple_of(ROWS_PER_HEADER) {
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
