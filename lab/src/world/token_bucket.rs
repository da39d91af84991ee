//! A token bucket: the true meter of a customer's quota, which no gateway sees. The program's own bucket in
//! `src/` is another one on purpose: what judges the program shares no code with it.

use std::time::Duration;

/// Units that refill with time up to a depth.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Units a second; 0: it never runs out.
    rate: f64,
    /// The most that it holds.
    depth: f64,
    units_left: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn full(rate: f64, depth: f64) -> TokenBucket {
        TokenBucket {
            rate,
            depth,
            units_left: depth,
            filled_at: Duration::ZERO,
        }
    }

    /// The most that it holds.
    pub(super) fn depth(&self) -> f64 {
        self.depth
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.units_left = (self.units_left + elapsed * self.rate).min(self.depth);
        self.filled_at = self.filled_at.max(now);
    }

    /// Whether so many units are left.
    pub(super) fn holds(&mut self, now: Duration, units: f64) -> bool {
        self.refill(now);
        self.rate <= 0.0 || self.units_left >= units
    }

    /// Takes units if they are left; says whether they were.
    pub(super) fn take(&mut self, now: Duration, units: f64) -> bool {
        let fits = self.holds(now, units);
        if fits {
            self.units_left -= units;
        }
        fits
    }

    /// What was taken turns out to have been so much more, or less where it is negative.
    pub(super) fn settle(&mut self, now: Duration, more_units: f64) {
        self.refill(now);
        self.units_left = (self.units_left - more_units).min(self.depth);
    }
}
