//! A token bucket: units that refill with time up to a capacity.

use std::time::Duration;

/// How a bucket refills.
#[derive(Clone, Copy)]
pub(super) struct Refill {
    /// Units a second.
    pub(super) rate: f64,
    /// The most units that the bucket holds.
    pub(super) capacity: f64,
}

/// Units that refill with time.
///
/// The laboratory's rule checker has a bucket of its own on purpose: it shares no code with what it checks.
pub(super) struct TokenBucket {
    units: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// A bucket that holds `units` at `now`.
    pub(super) fn new(units: f64, now: Duration) -> TokenBucket {
        TokenBucket {
            units,
            updated_at: now,
        }
    }

    /// Refills the bucket and takes `amount`, if it is there; says whether it was.
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

    /// Puts units back.
    pub(super) fn give_back(&mut self, units: f64) {
        self.units += units;
    }

    /// Takes units also where they are not there, so that the bucket owes them.
    pub(super) fn take_unchecked(&mut self, units: f64) {
        self.units -= units;
    }

    /// Leaves nothing in the bucket.
    pub(super) fn clear(&mut self) {
        self.units = 0.0;
    }
}

#[cfg(test)]
mod tests;
