//! Measures the capacity of one gateway: the highest request rate at which it serves within a latency at p99, with
//! servers that answer at once. The load is open-loop: requests are sent on schedule whether or not earlier ones were
//! answered, and latency counts from the time at which a request was due to be sent.

use crate::error::LabError;
use crate::experiment::{Experiment, PlanConfig, RouteConfig, Variant};
use crate::metrics::Results;
use crate::runs::{self, RunnerOptions};

/// Initial rate of the search, in requests per second.
const INITIAL_REQUEST_RATE: f64 = 500.0;
/// Highest rate that the search tries, in requests per second.
const MAX_REQUEST_RATE: f64 = 1e6;
/// Bisection steps between the highest sustained rate and the lowest one that was not sustained.
const BISECTION_STEPS: usize = 4;
/// Smallest share of the requests that must be served for a rate to count as sustained, from 0 to 1.
const MIN_SERVED_SHARE: f64 = 0.99;
/// Number of runs that must miss the limits before a rate counts as not sustained. A single run may miss them because of
/// a short disturbance of the machine.
const MAX_RUNS_PER_RATE: usize = 2;

/// The conditions of a capacity measurement.
#[derive(Clone, Copy, Debug)]
pub struct CapacityTest {
    /// The highest latency at p99 at which a rate counts as sustained, in milliseconds.
    pub p99_ms: f64,
    /// Whether the gateway uses a shared counter.
    pub counter: bool,
    /// Length of each run, in seconds.
    pub seconds: f64,
}

/// One run of the search.
pub struct Step {
    /// The request rate, in requests per second.
    pub rate: f64,
    /// Counts, latencies and resource use of the run.
    pub results: Results,
    /// Whether the gateway sustained the rate.
    pub sustained: bool,
}

impl CapacityTest {
    /// The experiment at a rate, in requests per second: one gateway, servers without work or delay, and quotas that no
    /// customer reaches.
    pub fn experiment(&self, rate: f64) -> Experiment {
        let text = format!(
            "title = \"Capacity of one gateway\"\nseconds = {:?}\nwarm_up = 1.0\nengine = \"loopback\"",
            self.seconds
        );
        let mut experiment =
            Experiment::parse("capacity", &text).unwrap_or_else(|error| panic!("{error}"));
        let fleet = &mut experiment.fleet;
        fleet.gateways = 1;
        fleet.servers = 32;
        fleet.handshake_ms = 0.0;
        fleet.max_connections = 10_000;
        fleet.sockets = 4096;
        let load = &mut experiment.load;
        load.request_rate = rate;
        load.gateways_per_account = 1;
        load.greedy_share = 0.0;
        load.max_units = 1;
        load.max_retries = 0;
        let counter = &mut experiment.counter;
        counter.present = self.counter;
        counter.capacity = 1e6;
        counter.latency_ms = 0.0;
        experiment.network.in_zone_delay_ms = 0.0;
        let plan = PlanConfig {
            rate: 20.0,
            burst: 100.0,
            concurrency_limit: 50.0,
            ..experiment.plans[0].clone()
        };
        experiment.plans = vec![plan];
        let route = RouteConfig {
            work_ms: 0.0,
            ..experiment.routes[0].clone()
        };
        experiment.routes = vec![route];
        experiment
    }

    /// Runs the experiment at a rate until a run sustains it, at most [`MAX_RUNS_PER_RATE`] times. Returns whether one
    /// did. `on_step` is called after each run.
    fn test_rate(
        &self,
        options: &RunnerOptions,
        rate: f64,
        on_step: &mut dyn FnMut(&Step),
    ) -> Result<bool, LabError> {
        for _ in 0..MAX_RUNS_PER_RATE {
            let results = runs::run_one(&self.experiment(rate), &Variant::default(), 1, options)?;
            let totals = &results.totals;
            let served = totals.succeeded as f64 >= totals.requests as f64 * MIN_SERVED_SHARE;
            let in_time = results.succeeded_ms.p99 <= self.p99_ms;
            let step = Step {
                rate,
                sustained: served && in_time && results.sound(),
                results,
            };
            on_step(&step);
            if step.sustained {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Doubles the rate until it is not sustained, then bisects. Returns the highest rate that was sustained, in
    /// requests per second; 0 if none was. `on_step` is called after each run.
    pub fn search(
        &self,
        options: &RunnerOptions,
        on_step: &mut dyn FnMut(&Step),
    ) -> Result<f64, LabError> {
        let mut sustained = 0.0;
        let mut too_high = INITIAL_REQUEST_RATE;
        while self.test_rate(options, too_high, on_step)? {
            sustained = too_high;
            too_high *= 2.0;
            if too_high > MAX_REQUEST_RATE {
                return Ok(sustained);
            }
        }
        for _ in 0..BISECTION_STEPS {
            let middle = (sustained + too_high) / 2.0;
            if self.test_rate(options, middle, on_step)? {
                sustained = middle;
            } else {
                too_high = middle;
            }
        }
        Ok(sustained)
    }
}
