//! `wellcrank lab capacity`: the request rate that one gateway sustains, and the resources it uses when idle.

use super::common::gateway_program;
use crate::error::CommandError;
use clap::Args;
use std::path::PathBuf;
use wellcrank_lab::capacity::{CapacityTest, Step};
use wellcrank_lab::experiment::Variant;
use wellcrank_lab::runs::{self, RunnerOptions};

/// The seed of the run without requests.
const IDLE_SEED: u64 = 1;

/// Arguments of `lab capacity`.
#[derive(Args)]
pub(crate) struct CapacityArgs {
    /// The highest accepted latency at the 99th percentile, in milliseconds.
    #[arg(long, default_value_t = 5.0)]
    p99_ms: f64,
    /// Runs without a shared counter, to measure the cost of decisions and forwarding alone.
    #[arg(long)]
    no_counter: bool,
    /// Length of each run in seconds.
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    /// Path of an edge node program to run in place of the built-in one.
    #[arg(long)]
    edge: Option<PathBuf>,
}

pub(super) fn run(args: &CapacityArgs) -> Result<(), CommandError> {
    let options = RunnerOptions {
        gateway_program: gateway_program(args.edge.as_deref())?,
        jobs: 1,
        ..RunnerOptions::default()
    };
    let test = CapacityTest {
        p99_ms: args.p99_ms,
        counter: !args.no_counter,
        seconds: args.seconds,
    };
    println!(
        "{:>10} {:>8} {:>9} {:>9} {:>11} {:>10} {:>9}",
        "requests/s", "served", "p50 ms", "p99 ms", "cpu/request", "lab late", "sustained"
    );
    let idle = runs::run_one(
        &test.experiment(0.0),
        &Variant::default(),
        IDLE_SEED,
        &options,
    )?;
    let sustained_rate = test.search(&options, &mut print_step)?;
    println!(
        "sustained at p99 under {} ms: {sustained_rate:.0} requests a second",
        args.p99_ms
    );
    println!(
        "at rest: {:.2}% of a core, {:.1} MB",
        100.0 * idle.gateway_cpu_seconds / idle.wall_seconds.max(1.0),
        idle.gateway_mb
    );
    Ok(())
}

fn print_step(step: &Step) {
    let results = &step.results;
    let requests = results.by_second.iter().map(|second| second.requests);
    let cpu_per_request = results.gateway_cpu_seconds / requests.sum::<u64>().max(1) as f64;
    println!(
        "{:>10.0} {:>8} {:>9.2} {:>9.2} {:>8.0} us {:>7.1} ms {:>9}",
        step.rate,
        results.totals.succeeded,
        results.succeeded_ms.p50,
        results.succeeded_ms.p99,
        cpu_per_request * 1e6,
        results.lateness.p99_ms,
        if step.sustained { "yes" } else { "no" }
    );
}
