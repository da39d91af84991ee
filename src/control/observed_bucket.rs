//! A customer's token bucket as the totals on the counter show it: they tell what all gateways took.

use super::token_bucket::Refill;
use std::time::Duration;

/// The token bucket that all gateways of a customer share, as this gateway follows it.
#[derive(Default)]
pub(super) struct ObservedBucket {
    /// Units in the bucket.
    level: f64,
    /// The number of the window that was entered last, 0: none.
    window: u64,
    /// The length of that window.
    length: Duration,
    /// The total that was last seen in its name on the counter.
    total: f64,
    /// When the level was last moved.
    updated_at: Duration,
}

impl ObservedBucket {
    /// Units in the bucket, as of the last total.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// The total of the window's name, as far as it is known.
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    /// Whether any window was entered yet.
    pub(super) fn is_followed(&self) -> bool {
        self.window > 0
    }

    /// Whether the total that was seen in that window reaches `units`.
    pub(super) fn has_seen(&self, window: u64, units: f64) -> bool {
        self.window == window && self.total >= units
    }

    /// Enters the window of that number and length. A bucket that was followed through the last one goes on, also where
    /// new settings have changed the length; one that was not is taken to hold `assumed_level`.
    pub(super) fn enter_window(
        &mut self,
        window: u64,
        length: Duration,
        assumed_level: f64,
        now: Duration,
    ) {
        if self.window == window && self.length == length {
            return;
        }
        let length_changed = self.length != length && now < self.updated_at + self.length;
        let was_followed = self.window + 1 == window || (length_changed && self.window > 0);
        if !was_followed {
            self.level = assumed_level;
            self.updated_at = now;
        }
        self.window = window;
        self.length = length;
        self.total = 0.0;
    }

    /// Refills the bucket, and takes from it what the total shows taken since the last one.
    pub(super) fn follow(&mut self, total: f64, now: Duration, refill: Refill) {
        let refilled = now.saturating_sub(self.updated_at).as_secs_f64() * refill.rate;
        self.level = (self.level + refilled - (total - self.total)).min(refill.capacity);
        self.total = total;
        self.updated_at = now;
    }

    /// This gateway keeps `units` of what it has added to the counter, by which the total is now `total`.
    pub(super) fn take(&mut self, units: f64, total: f64) {
        self.level -= units;
        self.total = total;
    }
}
