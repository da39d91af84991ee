//! `wellcrank lab scaling`: how long runs of fleets of several sizes take in simulated time.

use super::output::check_rules;
use crate::error::CommandError;
use clap::Args;
use wellcrank_lab::clock::Clock;
use wellcrank_lab::experiment::{Experiment, Variant};
use wellcrank_lab::runs::{self, RunnerOptions};

/// Share of the requests that are inside the quotas.
const SHARE_INSIDE_QUOTAS: f64 = 0.5;
/// The requests of an account arrive at a tenth of the gateways, and at no more than this number.
const MAX_GATEWAYS_PER_ACCOUNT: usize = 30;
/// Capacity of the counter for each gateway, in calls a second.
const COUNTER_CALLS_PER_SECOND_PER_GATEWAY: usize = 10;
/// Smallest capacity of the counter, in calls a second.
const MIN_COUNTER_CALLS_PER_SECOND: usize = 500;
/// The seed of every run.
const SEED: u64 = 1;

/// Arguments of `lab scaling`.
#[derive(Args)]
pub(crate) struct ScalingArgs {
    /// Numbers of gateways, with one run for each. A fleet has two thirds as many servers as gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000])]
    gateways: Vec<usize>,
    /// Requests per second at each gateway.
    #[arg(long, alias = "calls", default_value_t = 10.0)]
    request_rate: f64,
    /// Length of each run in simulated seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
}

pub(super) fn run(args: &ScalingArgs) -> Result<(), CommandError> {
    println!(
        "{:>9} {:>8} {:>9} {:>10} {:>16} {:>14}",
        "gateways", "servers", "requests", "took", "a simulated s", "a request"
    );
    for gateways in &args.gateways {
        let experiment = experiment(args, *gateways)?;
        let clock = Clock::start();
        let options = RunnerOptions::default();
        let results = runs::run_one(&experiment, &Variant::default(), SEED, &options)?;
        let elapsed_seconds = clock.now().as_secs_f64();
        let requests: u64 = results.by_second.iter().map(|second| second.requests).sum();
        println!(
            "{gateways:>9} {:>8} {requests:>9} {elapsed_seconds:>8.2} s {:>14.3} s {:>11.1} us",
            experiment.fleet.servers,
            elapsed_seconds / args.seconds,
            elapsed_seconds / requests.max(1) as f64 * 1e6
        );
        check_rules(&[results])?;
    }
    Ok(())
}

/// An experiment with `gateways` gateways, and servers, load and counter capacity in proportion.
fn experiment(args: &ScalingArgs, gateways: usize) -> Result<Experiment, CommandError> {
    let text = format!("title = \"Scaling\"\nseconds = {:?}", args.seconds);
    let mut experiment = Experiment::parse("scaling", &text)?;
    experiment.fleet.gateways = gateways;
    experiment.fleet.servers = (gateways * 2 / 3).max(1);
    experiment.load.request_rate = args.request_rate * gateways as f64 * SHARE_INSIDE_QUOTAS;
    experiment.load.gateways_per_account = (gateways / 10).clamp(1, MAX_GATEWAYS_PER_ACCOUNT);
    experiment.counter.capacity =
        (gateways * COUNTER_CALLS_PER_SECOND_PER_GATEWAY).max(MIN_COUNTER_CALLS_PER_SECOND) as f64;
    match experiment.problems().into_iter().next() {
        Some(problem) => Err(CommandError::InvalidOptions(problem)),
        None => Ok(experiment),
    }
}
