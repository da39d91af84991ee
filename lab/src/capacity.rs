//! What one gateway bears: the rate up to which it proxies within a latency, over app servers that answer at
//! once, and what it uses at rest. Arrivals wait for no answer; latency counts from the intended moment.

use crate::error::LabError;
use crate::experiment::{Experiment, PlanTerms, RouteTerms, Variant};
use crate::metrics::Results;
use crate::runs::{self, Ways};

/// The day that is played: one gateway, instant servers, quotas that nobody meets.
pub fn day(calls: f64, seconds: f64, counter: bool) -> Experiment {
    let text = format!(
        "title = \"What one gateway bears\"\nseconds = {seconds:?}\nwarm_up = 1.0\nengine = \"loopback\""
    );
    let mut it = Experiment::read("bears", &text).unwrap_or_else(|complaint| panic!("{complaint}"));
    it.fleet.gateways = 1;
    it.fleet.servers = 32;
    it.fleet.handshake_ms = 0.0;
    it.fleet.connections = 10_000;
    it.fleet.sockets = 4096;
    it.load.calls = calls;
    it.load.spread = 1;
    it.load.greedy_share = 0.0;
    it.load.units_top = 1;
    it.load.retries = 0;
    it.counter.present = counter;
    it.counter.bears = 1e6;
    it.counter.latency_ms = 0.0;
    it.network.near_ms = 0.0;
    let plan = PlanTerms {
        rate: 20.0,
        burst: 100.0,
        cap: 50.0,
        ..it.plans[0].clone()
    };
    it.plans = vec![plan];
    let route = RouteTerms {
        work_ms: 0.0,
        ..it.routes[0].clone()
    };
    it.routes = vec![route];
    it
}

/// One rate, and whether it was borne.
pub struct Step {
    pub calls: f64,
    pub results: Results,
    pub borne: bool,
}

/// Raises the rate until it is not borne, then halves the gap a few times.
pub fn search(
    ways: &Ways,
    p99_ms: f64,
    counter: bool,
    seconds: f64,
    told: &mut dyn FnMut(&Step),
) -> Result<f64, LabError> {
    let mut once = |calls: f64| -> Result<bool, LabError> {
        let results = runs::one(&day(calls, seconds, counter), &Variant::default(), 1, ways)?;
        let totals = &results.totals;
        let proxied = totals.succeeded as f64 >= totals.requests as f64 * 0.99;
        let borne = proxied && results.succeeded_ms.p99 <= p99_ms && results.sound();
        told(&Step {
            calls,
            results,
            borne,
        });
        Ok(borne)
    };
    // A hiccup of the machine is no limit of the gateway: a rate is tried twice before it counts as too high.
    let mut step = |calls: f64| Ok::<bool, LabError>(once(calls)? || once(calls)?);
    let (mut low, mut high) = (0.0, 500.0);
    while step(high)? {
        low = high;
        high *= 2.0;
        if high > 1e6 {
            return Ok(low);
        }
    }
    for _ in 0..4 {
        let middle = (low + high) / 2.0;
        if step(middle)? {
            low = middle;
        } else {
            high = middle;
        }
    }
    Ok(low)
}
