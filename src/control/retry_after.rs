//! The delay after which a rejected client is told to retry.

use crate::port::seconds;
use std::time::Duration;

/// The delay if no better value is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The shortest delay that a client is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest delay that a client is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The maximum number of excess attempts that the delay is computed from.
const MAX_EXCESS_ATTEMPTS: f64 = 99.0;

/// Limits a computed delay to the range that clients are told.
pub(super) fn clamp(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Returns the delay for a customer that has reached the concurrency limit of its plan: the route's baseline latency,
/// in seconds, for each of the `excess_attempts` that must end first. [`DEFAULT_RETRY_AFTER`] stands in for a baseline
/// that is not known yet.
pub(super) fn until_lease_is_free(baseline_latency: Option<f64>, excess_attempts: f64) -> Duration {
    baseline_latency
        .map_or(DEFAULT_RETRY_AFTER, seconds)
        .mul_f64(excess_attempts.clamp(1.0, MAX_EXCESS_ATTEMPTS))
}

/// Returns the delay for a customer whose rate quota is exhausted: the time until `rejected_until`, when its token
/// bucket is expected to hold enough units, or [`DEFAULT_RETRY_AFTER`] if that time has passed.
pub(super) fn until_quota_refills(rejected_until: Duration, now: Duration) -> Duration {
    if rejected_until > now {
        rejected_until - now
    } else {
        DEFAULT_RETRY_AFTER
    }
}

#[cfg(test)]
mod tests;
