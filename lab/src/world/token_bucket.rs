//! Units that refill with time; the meter of what is true, which no gateway sees.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct TokenBucket {
    pub rate: f64,
    pub depth: f64,
    pub left: f64,
    at: Duration,
}

impl TokenBucket {
    /// No rate and no depth: it never ends.
    pub fn full(rate: f64, depth: f64) -> TokenBucket {
        TokenBucket {
            rate,
            depth,
            left: depth,
            at: Duration::ZERO,
        }
    }

    pub fn bounded(&self) -> bool {
        self.rate > 0.0
    }

    fn fill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + span * self.rate).min(self.depth);
        self.at = self.at.max(now);
    }

    pub fn holds(&mut self, now: Duration, units: f64) -> bool {
        self.fill(now);
        !self.bounded() || self.left >= units
    }

    /// Pays if it can.
    pub fn pay(&mut self, now: Duration, units: f64) -> bool {
        let fits = self.holds(now, units);
        if fits {
            self.left -= units;
        }
        fits
    }

    /// What was paid turns out to be more or less.
    pub fn settle(&mut self, now: Duration, more: f64) {
        self.fill(now);
        self.left = (self.left - more).min(self.depth);
    }
}
