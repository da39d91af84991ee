//! Conditions that hold unless the program has a fault: asserted in debug builds, counted and logged in release builds,
//! where the gateway goes on serving.

use slog::Logger;
use std::collections::BTreeMap;

/// Checks that a condition holds. A violation panics in debug builds and is recorded by the reactor in release builds.
macro_rules! invariant {
    ($reactor:expr, $condition:expr, $description:literal) => {
        if !$condition {
            debug_assert!(false, $description);
            $reactor
                .violations
                .record(concat!(file!(), ": ", $description));
        }
    };
}

pub(crate) use invariant;

/// The invariants that were violated since the last report, and how often.
#[derive(Default)]
pub(crate) struct InvariantViolations {
    counts: BTreeMap<&'static str, u64>,
}

impl InvariantViolations {
    /// Counts a violation; `description` names the file and the condition.
    pub(crate) fn record(&mut self, description: &'static str) {
        *self.counts.entry(description).or_default() += 1;
    }

    /// Logs the violations, and counts anew.
    pub(crate) fn report(&mut self, log: &Logger) {
        for (description, count) in std::mem::take(&mut self.counts) {
            slog::error!(log, "invariant violated"; "invariant" => description, "count" => count);
        }
    }
}
