//! After which time a rejected client is advised to send its request again.

use crate::port::seconds;
use std::time::Duration;

/// The advice where nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The shortest advice.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest advice.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// So many attempts ahead are counted at the most.
const MAX_ATTEMPTS_AHEAD: f64 = 99.0;

/// The advice for a wait that was calculated.
pub(super) fn clamped(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Under a full cap: the attempts ahead take the route's baseline latency each, in seconds; while that is not known, the
/// default.
pub(super) fn until_lease_is_free(baseline_latency: Option<f64>, ahead: f64) -> Duration {
    baseline_latency
        .map_or(DEFAULT_RETRY_AFTER, seconds)
        .mul_f64(ahead.clamp(1.0, MAX_ATTEMPTS_AHEAD))
}

/// Under a spent quota: when the customer's bucket will hold the units, as far as the totals tell.
pub(super) fn until_quota_refills(rejected_until: Duration, now: Duration) -> Duration {
    if rejected_until > now {
        rejected_until - now
    } else {
        DEFAULT_RETRY_AFTER
    }
}

#[cfg(test)]
mod tests;
