//! Translates a complete response of an endpoint into the result of an attempt: its outcome, the units that the request
//! used and the endpoint's load.

use crate::invariants::invariant;
use crate::reactor::Reactor;
use crate::requests::max_request_units;
use crate::resp::{self, Reply};
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{AttemptOutcome, AttemptResult};

/// The name under which a response's usage list states the units that the request used.
const SETTLED_UNITS: &str = "cost";

/// The result of an attempt whose response `reply` came after `latency`.
pub(super) fn attempt_result(
    reactor: &mut Reactor,
    reply: &Reply,
    latency: Duration,
) -> AttemptResult {
    let (outcome, settled_units, load) = match reply {
        Reply::Value { usage, load, .. } => {
            let max_units = max_request_units(&reactor.settings);
            let units = settled_units(usage, max_units);
            (AttemptOutcome::Success, units, load)
        }
        Reply::Busy { load } => (AttemptOutcome::Rejected, None, load),
        Reply::Failed { text, load } => {
            invariant!(
                reactor,
                !text.starts_with("SYNTAX"),
                "endpoints accept the syntax of the commands sent to them"
            );
            (AttemptOutcome::ServerError, None, load)
        }
    };
    AttemptResult {
        outcome,
        latency,
        request_closed: false,
        settled_units,
        load: load_figures(load),
    }
}

/// The units that a usage list states, if they are above zero and at most `max_units`.
fn settled_units(usage: &str, max_units: f64) -> Option<f64> {
    let (_, text) = resp::parse_pairs(usage).find(|(name, _)| *name == SETTLED_UNITS)?;
    let units: f64 = text.parse().ok()?;
    (units > 0.0 && units <= max_units).then_some(units)
}

/// The figures of a load report, without those that are not finite numbers.
fn load_figures(load: &str) -> BTreeMap<String, f64> {
    resp::parse_pairs(load)
        .filter_map(|(name, text)| {
            let value: f64 = text.parse().ok()?;
            value.is_finite().then(|| (name.into(), value))
        })
        .collect()
}
