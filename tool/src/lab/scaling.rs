//! `wellcrank lab scaling`: what fleets of growing size cost to play in simulated time.

use super::output::check_rules;
use crate::error::CommandError;
use clap::Args;
use wellcrank_lab::clock::Clock;
use wellcrank_lab::experiment::{Experiment, Variant};
use wellcrank_lab::runs::{self, RunnerOptions};

/// The part of the requests that accounts make inside their quotas.
const SHARE_INSIDE_QUOTAS: f64 = 0.5;
/// An account uses a tenth of the gateways, up to this number.
const MAX_GATEWAYS_PER_ACCOUNT: usize = 30;
/// Counter calls a second for each gateway, and the least that the counter bears in all.
const COUNTER_CALLS_PER_GATEWAY: usize = 10;
const MIN_COUNTER_CAPACITY: usize = 500;
/// The seed of the runs.
const SEED: u64 = 1;

/// Arguments of `lab scaling`.
#[derive(Args)]
pub(crate) struct ScalingArgs {
    /// Numbers of gateways; there are two thirds as many servers.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000])]
    gateways: Vec<usize>,
    /// Requests a second at each gateway.
    #[arg(long, alias = "calls", default_value_t = 10.0)]
    request_rate: f64,
    /// Length of each run.
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
        let results = runs::play_one(&experiment, &Variant::default(), SEED, &options)?;
        let took = clock.now().as_secs_f64();
        let requests: u64 = results.by_second.iter().map(|second| second.requests).sum();
        println!(
            "{gateways:>9} {:>8} {requests:>9} {took:>8.2} s {:>14.3} s {:>11.1} us",
            experiment.fleet.servers,
            took / args.seconds,
            took / requests.max(1) as f64 * 1e6
        );
        check_rules(&[results])?;
    }
    Ok(())
}

/// A fleet of so many gateways, and a load and a counter to match.
fn experiment(args: &ScalingArgs, gateways: usize) -> Result<Experiment, CommandError> {
    let text = format!("title = \"Scaling\"\nseconds = {:?}", args.seconds);
    let mut experiment = Experiment::parse("scaling", &text)?;
    experiment.fleet.gateways = gateways;
    experiment.fleet.servers = (gateways * 2 / 3).max(1);
    experiment.load.request_rate = args.request_rate * gateways as f64 * SHARE_INSIDE_QUOTAS;
    experiment.load.gateways_per_account = (gateways / 10).clamp(1, MAX_GATEWAYS_PER_ACCOUNT);
    experiment.counter.capacity =
        (gateways * COUNTER_CALLS_PER_GATEWAY).max(MIN_COUNTER_CAPACITY) as f64;
    match experiment.problems().into_iter().next() {
        Some(problem) => Err(CommandError::InvalidOptions(problem)),
        None => Ok(experiment),
    }
}
