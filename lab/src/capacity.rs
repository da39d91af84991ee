//! The capacity of one gateway: the rate up to which it serves within a latency, over servers that answer at
//! once, and what it uses at rest. Arrivals wait for no answer; latency counts from the moment at which a
//! request was meant to be sent.

use crate::error::LabError;
use crate::experiment::{Experiment, PlanConfig, RouteConfig, Variant};
use crate::metrics::Results;
use crate::runs::{self, RunnerOptions};

/// The rate with which the search begins, in requests a second.
const FIRST_RATE: f64 = 500.0;
/// The search goes no higher than this, in requests a second.
const MAX_RATE: f64 = 1e6;
/// So many times the gap between a sustained rate and one that was not is halved.
const HALVINGS: usize = 4;
/// A rate is sustained if this share of the requests is served.
const SERVED_SHARE: f64 = 0.99;
/// A rate is tried so often before it counts as too high: a hiccup of the machine is no limit of the gateway.
const TRIES: usize = 2;

/// What is asked of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct CapacityTest {
    /// The latency within which it has to serve at p99, in milliseconds.
    pub p99_ms: f64,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// Length of a run.
    pub seconds: f64,
}

/// One rate that was tried.
pub struct Step {
    /// Requests a second.
    pub rate: f64,
    /// What the run has brought.
    pub results: Results,
    /// Whether the gateway sustained the rate.
    pub sustained: bool,
}

impl CapacityTest {
    /// What is played: one gateway, instant servers, quotas that nobody meets.
    pub fn experiment(&self, rate: f64) -> Experiment {
        let text = format!(
            "title = \"Capacity of one gateway\"\nseconds = {:?}\nwarm_up = 1.0\nengine = \"loopback\"",
            self.seconds
        );
        let mut experiment =
            Experiment::parse("capacity", &text).unwrap_or_else(|complaint| panic!("{complaint}"));
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
            concurrency_cap: 50.0,
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

    /// Plays one rate; `on_step` hears of it.
    fn is_sustained(
        &self,
        ways: &RunnerOptions,
        rate: f64,
        on_step: &mut dyn FnMut(&Step),
    ) -> Result<bool, LabError> {
        for _ in 0..TRIES {
            let results = runs::play_one(&self.experiment(rate), &Variant::default(), 1, ways)?;
            let totals = &results.totals;
            let served = totals.succeeded as f64 >= totals.requests as f64 * SERVED_SHARE;
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

    /// Doubles the rate until it is not sustained, then halves the gap a few times. Returns the highest rate
    /// that was sustained.
    pub fn search(
        &self,
        ways: &RunnerOptions,
        on_step: &mut dyn FnMut(&Step),
    ) -> Result<f64, LabError> {
        let mut sustained = 0.0;
        let mut too_high = FIRST_RATE;
        while self.is_sustained(ways, too_high, on_step)? {
            sustained = too_high;
            too_high *= 2.0;
            if too_high > MAX_RATE {
                return Ok(sustained);
            }
        }
        for _ in 0..HALVINGS {
            let middle = (sustained + too_high) / 2.0;
            if self.is_sustained(ways, middle, on_step)? {
                sustained = middle;
            } else {
                too_high = middle;
            }
        }
        Ok(sustained)
    }
}
