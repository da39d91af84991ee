//! Estimates the level of a customer's token bucket from the totals on the counter, which include the units that all
//! gateways have taken.

use super::token_bucket::Refill;
use std::time::Duration;

/// This gateway's estimate of the token bucket that all gateways of a customer share.
#[derive(Default)]
pub(super) struct ObservedBucket {
    /// The units in the bucket.
    level: f64,
    /// The number of the window that was entered last, or 0 before the first one.
    window: u64,
    /// The length of that window.
    window_length: Duration,
    /// The last known total of that window on the counter, in units.
    total: f64,
    /// When the level was last refilled.
    updated_at: Duration,
}

impl ObservedBucket {
    /// Returns the units in the bucket at the time of the last total.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the last known total of the window, in units.
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    /// Returns whether a window was entered before.
    pub(super) fn has_entered_window(&self) -> bool {
        self.window > 0
    }

    /// Returns whether the given window was entered last and its last known total is at least `units`.
    pub(super) fn total_reaches(&self, window: u64, units: f64) -> bool {
        self.window == window && self.total >= units
    }

    /// Enters a window. The level is kept if the previous window was observed, or if new settings have changed the length
    /// of the windows during the current one. Otherwise the bucket is assumed to hold `assumed_level`.
    pub(super) fn enter_window(
        &mut self,
        window: u64,
        window_length: Duration,
        assumed_level: f64,
        now: Duration,
    ) {
        if self.window == window && self.window_length == window_length {
            return;
        }
        let length_changed =
            self.window_length != window_length && now < self.updated_at + self.window_length;
        let was_observed = self.window + 1 == window || (length_changed && self.window > 0);
        if !was_observed {
            self.level = assumed_level;
            self.updated_at = now;
        }
        self.window = window;
        self.window_length = window_length;
        self.total = 0.0;
    }

    /// Refills the bucket, and takes from it the increase of the counter's total since the last known one.
    pub(super) fn update_from_total(&mut self, total: f64, now: Duration, refill: Refill) {
        let refilled = now.saturating_sub(self.updated_at).as_secs_f64() * refill.rate;
        self.level = (self.level + refilled - (total - self.total)).min(refill.capacity);
        self.total = total;
        self.updated_at = now;
    }

    /// Takes the units that this gateway keeps of its addition to the counter. `total` is the counter's total with them.
    pub(super) fn take(&mut self, units: f64, total: f64) {
        self.level -= units;
        self.total = total;
    }
}
