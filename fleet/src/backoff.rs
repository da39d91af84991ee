//! Exponential backoff with full jitter for calls to a shared service.
//!
//! If a hundred gateways are started, rejected or disconnected at the same time, a backoff without jitter would make
//! them all retry at the same time after each doubling, and overload the service again. Each gateway therefore waits a
//! random part of the backoff interval, so that the calls spread over the interval.

use std::time::Duration;

/// The number of gateways for which the initial interval is one base interval. The initial interval grows in proportion
/// to the fleet, so that the calls after a failure that affected all gateways are spread out: for a hundred gateways it
/// is twenty times the base interval.
const GATEWAYS_PER_BASE_INTERVAL: f64 = 5.0;

/// The maximum ratio of the initial interval to the base interval.
const MAX_FLEET_FACTOR: f64 = 1e6;

/// How often the interval is doubled at most.
const MAX_DOUBLINGS: u32 = 16;

/// The shortest wait is the initial interval divided by this, so that a gateway never calls again immediately.
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
        let fleet_factor = (gateways / GATEWAYS_PER_BASE_INTERVAL).clamp(1.0, MAX_FLEET_FACTOR);
        let initial_interval = base.min(max).mul_f64(fleet_factor);
        Backoff {
            initial_interval: initial_interval.min(max),
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
        let interval = self.interval(failures);
        if interval.is_zero() {
            return interval;
        }
        interval
            .mul_f64(random.clamp(0.0, 1.0))
            .max(self.initial_interval / MIN_WAIT_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
