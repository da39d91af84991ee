//! When to call a shared service again after a call failed. A hundred gateways that were started, turned away or cut
//! off together would otherwise come again together, at every doubling, and find it as full as before: each waits a
//! random part of the whole doubling span ("full jitter"), so that their calls spread over it.

use std::time::Duration;

/// The first span is the base for each so many gateways: a fleet's calls after a failure that met all of them are spread
/// over a span that grows with the fleet (a hundred gateways: twenty times the base).
const GATEWAYS_PER_BASE: f64 = 5.0;

/// The first span is no more than so many times the base.
const MAX_FLEET_FACTOR: f64 = 1e6;

/// The span is doubled so often at most.
const MAX_DOUBLINGS: u32 = 16;

/// The least wait, as a divisor of the first span: a gateway never calls again at once.
const MIN_WAIT_DIVISOR: u32 = 4;

/// The spans between calls after failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The span after the first failure.
    pub first: Duration,
    /// The span does not grow past this.
    pub max: Duration,
}

impl Backoff {
    /// For a service that a whole fleet of `gateways` calls alike, with `base` as the least first span and `max` as the
    /// most at any time: where calls that are turned away cost the service too, a fleet that comes again faster than it
    /// serves keeps it full for good, and only a first span that grows with the fleet lets it empty.
    pub fn shared(base: Duration, gateways: f64, max: Duration) -> Backoff {
        let fleet_factor = (gateways / GATEWAYS_PER_BASE).clamp(1.0, MAX_FLEET_FACTOR);
        let first = base.min(max).mul_f64(fleet_factor);
        Backoff {
            first: first.min(max),
            max,
        }
    }

    /// The span in which the next call falls after `failures` in a row (none: no wait).
    pub fn span(&self, failures: u32) -> Duration {
        if failures == 0 {
            return Duration::ZERO;
        }
        let doublings = (failures - 1).min(MAX_DOUBLINGS);
        self.first
            .saturating_mul(1 << doublings)
            .min(self.max.max(self.first))
    }

    /// The wait before the next call, for a random number in [0, 1): anywhere in the span, but no sooner than a quarter
    /// of the first span.
    pub fn wait(&self, failures: u32, random: f64) -> Duration {
        let span = self.span(failures);
        if span.is_zero() {
            return span;
        }
        span.mul_f64(random.clamp(0.0, 1.0))
            .max(self.first / MIN_WAIT_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
