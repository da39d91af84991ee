//! Checks of conditions that are false only if the program has a bug. A violation panics in debug builds. In release builds
//! it is counted and logged, and the gateway continues to serve.

use slog::Logger;
use std::collections::BTreeMap;

/// Checks a condition. A violation panics in debug builds and is recorded by the reactor in release builds.
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

/// The invariants that were violated since the latest report, with the number of violations.
#[derive(Default)]
pub(crate) struct InvariantViolations {
    counts: BTreeMap<&'static str, u64>,
}

impl InvariantViolations {
    /// Counts a violation; `description` names the file and the condition.
    pub(crate) fn record(&mut self, description: &'static str) {
        *self.counts.entry(description).or_default() += 1;
    }

    /// Logs the violations and resets their counts.
    pub(crate) fn report(&mut self, log: &Logger) {
        for (description, count) in std::mem::take(&mut self.counts) {
            slog::error!(log, "invariant violated"; "invariant" => description, "count" => count);
        }
    }
}
