//! Exponential backoff with full jitter for calls to a shared service.
//!
//! If a hundred gateways are started, rejected or disconnected at the same time, a backoff without jitter would make
//! them all retry at the same time after each doubling, and overload the service again. Each gateway therefore waits a
//! random part of the backoff interval, so that the calls spread over the interval.

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

/// The backoff intervals after consecutive failures.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The interval after the first failure.
    pub initial_interval: Duration,
    /// The longest interval, unless `initial_interval` is longer.
    pub max_interval: Duration,
}

impl Backoff {
    /// Returns the backoff for a service that a fleet of `gateways` calls, each in the same way. The initial interval
    /// is at least `base`. No interval is longer than `max`, even if `base` is.
    ///
    /// Rejecting a call costs the service capacity too. A fleet that retries faster than the service can answer keeps
    /// it overloaded indefinitely; it recovers only if the initial interval grows with the size of the fleet.
    pub fn for_shared_service(base: Duration, gateways: f64, max: Duration) -> Backoff {
        let fleet_factor = (gateways / GATEWAYS_PER_BASE).clamp(1.0, MAX_FLEET_FACTOR);
        let first = base.min(max).mul_f64(fleet_factor);
        Backoff {
            initial_interval: first.min(max),
            max_interval: max,
        }
    }

    /// Returns the interval within which the next call is made after `failures` consecutive failures. It is zero if
    /// there were none.
    pub fn interval(&self, failures: u32) -> Duration {
        if failures == 0 {
            return Duration::ZERO;
        }
        let doublings = (failures - 1).min(MAX_DOUBLINGS);
        self.initial_interval
            .saturating_mul(1 << doublings)
            .min(self.max_interval.max(self.initial_interval))
    }

    /// Returns how long to wait before the next call after `failures` consecutive failures. `random` is a random number
    /// in [0, 1) that selects a point of the interval; the wait is at least a quarter of the initial interval. It is
    /// zero if there were no failures.
    pub fn wait(&self, failures: u32, random: f64) -> Duration {
        let span = self.interval(failures);
        if span.is_zero() {
            return span;
        }
        span.mul_f64(random.clamp(0.0, 1.0))
            .max(self.initial_interval / MIN_WAIT_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
