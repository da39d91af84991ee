//! What a rejected client is told of when to come again.

use crate::port::seconds;
use std::time::Duration;

/// Where nothing better is known. Source: the design's step 5, for each request ahead.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The least that a client is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The most that a client is told. Source: the design's step 5.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// So many attempts ahead are reckoned with at the most.
const MAX_ATTEMPTS_AHEAD: f64 = 99.0;

/// What is told of a wait that was reckoned out.
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
