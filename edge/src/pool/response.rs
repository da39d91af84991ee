//! What a whole response of an endpoint says: the outcome of its attempt, the units it took, the endpoint's load.

use crate::invariants::invariant;
use crate::reactor::Reactor;
use crate::requests::max_request_units;
use crate::resp::{self, Reply};
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{AttemptOutcome, AttemptResult};

/// The name under which a response states the units that it took.
const SETTLED_UNITS: &str = "cost";

/// The result of an attempt that was answered after `latency`.
pub(super) fn attempt_result(
    reactor: &mut Reactor,
    reply: &Reply,
    latency: Duration,
) -> AttemptResult {
    let (outcome, settled_units, load) = match reply {
        Reply::Value { usage, load, .. } => {
            let most = max_request_units(&reactor.settings);
            (AttemptOutcome::Success, settled_units(usage, most), load)
        }
        Reply::Busy { load } => (AttemptOutcome::Rejected, None, load),
        Reply::Failed { text, load } => {
            invariant!(
                reactor,
                !text.starts_with("SYNTAX"),
                "an endpoint knows the commands it is sent"
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

/// The units that a response says it took, where it states a possible number of them.
fn settled_units(usage: &str, most: f64) -> Option<f64> {
    let (_, text) = resp::parse_pairs(usage).find(|(name, _)| *name == SETTLED_UNITS)?;
    let units: f64 = text.parse().ok()?;
    (units > 0.0 && units <= most).then_some(units)
}

/// The usage of a load report that can be read.
fn load_figures(load: &str) -> BTreeMap<String, f64> {
    resp::parse_pairs(load)
        .filter_map(|(name, text)| {
            let value: f64 = text.parse().ok()?;
            value.is_finite().then(|| (name.into(), value))
        })
        .collect()
}
