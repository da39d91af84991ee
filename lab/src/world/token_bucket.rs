//! The token bucket that measures the real use of a customer's quota, which no gateway can see. The gateway's own token
//! bucket in `src/` is deliberately not shared: code that checks the gateway must not share defects with it.

use std::time::Duration;

/// A token bucket of units.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// The refill rate, in units per second. A bucket with rate 0 never runs out.
    rate: f64,
    /// The largest number of units that it can hold.
    depth: f64,
    units_left: f64,
    /// When `units_left` was last updated.
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket from its rate in units per second and its depth in units.
    pub(super) fn full(rate: f64, depth: f64) -> TokenBucket {
        TokenBucket {
            rate,
            depth,
            units_left: depth,
            refilled_at: Duration::ZERO,
        }
    }

    /// Returns the largest number of units that it can hold.
    pub(super) fn depth(&self) -> f64 {
        self.depth
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.units_left = (self.units_left + elapsed * self.rate).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether `units` are left.
    pub(super) fn holds(&mut self, now: Duration, units: f64) -> bool {
        self.refill(now);
        self.rate <= 0.0 || self.units_left >= units
    }

    /// Takes `units` if they are left, and returns whether they were.
    pub(super) fn take(&mut self, now: Duration, units: f64) -> bool {
        let fits = self.holds(now, units);
        if fits {
            self.units_left -= units;
        }
        fits
    }

    /// Corrects units that were taken as an estimate: takes `more_units`, or returns units if it is negative.
    pub(super) fn settle(&mut self, now: Duration, more_units: f64) {
        self.refill(now);
        self.units_left = (self.units_left - more_units).min(self.depth);
    }
}
