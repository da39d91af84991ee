//! A token bucket of units, refilled at a constant rate up to a capacity.

use std::time::Duration;

/// The refill rate and the capacity of a bucket. They are passed to each call because settings can change them.
#[derive(Clone, Copy)]
pub(super) struct Refill {
    /// The rate in units per second.
    pub(super) rate: f64,
    /// The maximum number of units that the bucket holds.
    pub(super) capacity: f64,
}

/// A token bucket.
///
/// The lab's rule checker deliberately has its own implementation, so that it shares no code with what it checks.
pub(super) struct TokenBucket {
    units: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket that holds `units` at `now`.
    pub(super) fn new(units: f64, now: Duration) -> TokenBucket {
        TokenBucket {
            units,
            updated_at: now,
        }
    }

    /// Refills the bucket up to `now`. Takes `amount` units if the bucket holds them, and returns whether it did.
    pub(super) fn try_take(&mut self, now: Duration, refill: Refill, amount: f64) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.units = (self.units + elapsed * refill.rate).min(refill.capacity);
        self.updated_at = now;
        let fits = self.units >= amount;
        if fits {
            self.units -= amount;
        }
        fits
    }

    /// Puts units back, without regard to the capacity until the next refill.
    pub(super) fn refund(&mut self, units: f64) {
        self.units += units;
    }

    /// Takes units even if the bucket does not hold them; its level is negative then.
    pub(super) fn take_unchecked(&mut self, units: f64) {
        self.units -= units;
    }

    /// Empties the bucket.
    pub(super) fn clear(&mut self) {
        self.units = 0.0;
    }
}

#[cfg(test)]
mod tests;
