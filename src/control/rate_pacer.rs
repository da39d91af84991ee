//! Limits the rate at which this gateway calls the shared counter, so that the gateways together do not overload it. The
//! rate increases additively on prompt replies and decreases multiplicatively on errors, which divides the counter's
//! capacity among the gateways without messages between them.
//!
//! Each call takes a token. A call for a request of little value must leave a reserve of tokens for more valuable ones.

use crate::settings::Settings;
use std::time::Duration;

/// The initial rate of calls of all gateways together.
const INITIAL_FLEET_CALLS_PER_SECOND: f64 = 900.0;

/// The minimum rate of calls of one gateway.
const MIN_CALLS_PER_SECOND: f64 = 0.5;

/// The increase of the rate for each prompt reply below the threshold of the fast increase.
const FAST_INCREASE_CALLS_PER_SECOND: f64 = 1.0;

/// The increase of the rate for each prompt reply above the threshold, or [`INCREASE_RATIO`] of the rate if that is more.
const INCREASE_CALLS_PER_SECOND: f64 = 0.2;

/// The increase for each prompt reply above the threshold as a share of the rate; see [`INCREASE_CALLS_PER_SECOND`].
const INCREASE_RATIO: f64 = 0.01;

/// The rate is limited to this multiple of the recent rate of calls, plus [`RATE_HEADROOM_CALLS_PER_SECOND`].
const MAX_RATE_FACTOR: f64 = 2.0;

/// The constant part of the limit on the rate; see [`MAX_RATE_FACTOR`].
const RATE_HEADROOM_CALLS_PER_SECOND: f64 = 4.0;

/// An error reduces the rate to this share of the recent rate of calls, or of the permitted rate if that is lower.
const DECREASE_FACTOR: f64 = 0.6;

/// The threshold of the fast increase after an error, as a share of the recent rate of calls, or of the permitted rate if
/// that is lower.
const FAST_INCREASE_THRESHOLD_FACTOR: f64 = 0.5;

/// A reply within this share of the counter's timeout is prompt.
const PROMPT_TIMEOUT_RATIO: f64 = 0.7;

/// An error is attributed to overload if this gateway makes more calls than this within one timeout.
const OVERLOAD_CALLS_PER_TIMEOUT: f64 = 0.5;

/// The minimum time between two decreases of the rate, in timeouts of the counter.
const DECREASE_INTERVAL_TIMEOUTS: u32 = 4;

/// This many decreases without a successful call in between indicate an outage.
const OUTAGE_DECREASES: u32 = 3;

/// Tokens accumulate for at most this time, in seconds.
const BURST_SECONDS: f64 = 0.5;

/// The capacity for tokens is at least this large, whatever the rate.
const MIN_BURST_TOKENS: f64 = 4.0;

/// Calls are paced if at least this share of the requests is larger than the even share of its customer's quota, which
/// is the quota divided by the number of the customer's gateways. The quota is the burst of the plan, or its concurrency
/// limit if the plan has no rate quota.
const SMALL_QUOTA_THRESHOLD: f64 = 0.5;

/// The weight of one request in the moving average of the share of small quotas.
const SMALL_QUOTA_SMOOTHING: f64 = 0.02;

/// The weight of one request in the moving average of request values.
const VALUE_SMOOTHING: f64 = 0.05;

/// The lowest mean value that is used as a divisor; prevents a division by zero.
const MIN_MEAN_VALUE: f64 = 1e-9;

/// Paces the calls on the counter.
pub(super) struct RatePacer {
    /// The permitted rate, in calls per second.
    rate: f64,
    /// The number of calls that may be made now. Negative after calls that were made without asking [`RatePacer::allows`].
    tokens: f64,
    refilled_at: Duration,
    /// The recent rate of calls per second; decays with a time constant of one second.
    recent_rate: f64,
    /// Below this rate, in calls per second, prompt replies increase the rate fast. Infinite before the first error.
    fast_increase_threshold: f64,
    /// When an error last decreased the rate; zero before the first decrease.
    last_decrease_at: Duration,
    decreases_since_success: u32,
    /// The share of recent requests that are larger than the even share of their customer's quota.
    small_quota_ratio: f64,
    /// The mean value of recent requests.
    mean_value: f64,
}

impl RatePacer {
    /// Creates the pacer of a gateway that starts at `now`, without tokens.
    pub(super) fn new(settings: &Settings, now: Duration) -> RatePacer {
        RatePacer {
            rate: INITIAL_FLEET_CALLS_PER_SECOND / settings.gateway_count(),
            tokens: 0.0,
            refilled_at: now,
            recent_rate: 0.0,
            fast_increase_threshold: f64::INFINITY,
            last_decrease_at: Duration::ZERO,
            decreases_since_success: 0,
            small_quota_ratio: SMALL_QUOTA_THRESHOLD,
            mean_value: 0.0,
        }
    }

    /// Records a request: its value, and whether it is larger than the even share of its customer's quota.
    pub(super) fn record_request(&mut self, has_small_quota: bool, value: f64) {
        let small = f64::from(u8::from(has_small_quota));
        self.small_quota_ratio += (small - self.small_quota_ratio) * SMALL_QUOTA_SMOOTHING;
        self.mean_value += (value - self.mean_value) * VALUE_SMOOTHING;
    }

    /// Returns whether at least half of the recent requests are larger than the even share of their customer's quota.
    pub(super) fn quotas_are_small(&self) -> bool {
        self.small_quota_ratio >= SMALL_QUOTA_THRESHOLD
    }

    /// Returns the share of the tokens that a call must leave in reserve if it serves `requests` requests of this value
    /// each: 0 or less if their total value is at least the mean value of one request, 1 if they have no value.
    pub(super) fn reserve_ratio(&self, value: f64, requests: f64) -> f64 {
        1.0 - value * requests / self.mean_value.max(MIN_MEAN_VALUE)
    }

    /// Returns whether a call that must leave this share of the tokens in reserve may be made. With a ratio of 0 or less it
    /// needs one token, with 1 or more the full capacity. Calls are not paced, and always allowed, as long as quotas are
    /// not small and no error has decreased the rate.
    pub(super) fn allows(&mut self, now: Duration, reserve_ratio: f64) -> bool {
        let burst = self.refill(now);
        let needed = 1.0 + (burst - 1.0) * reserve_ratio.clamp(0.0, 1.0);
        let is_unpaced = !self.quotas_are_small() && self.fast_increase_threshold.is_infinite();
        is_unpaced || self.tokens >= needed
    }

    /// Takes the token of a call that is made now.
    pub(super) fn record_call(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
        self.recent_rate += 1.0;
    }

    /// Refills the tokens and decays the recent rate up to `now`. Returns the capacity for tokens.
    fn refill(&mut self, now: Duration) -> f64 {
        let burst = f64::max(self.rate * BURST_SECONDS, MIN_BURST_TOKENS);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.recent_rate *= (-elapsed).exp();
        self.tokens = (self.tokens + elapsed * self.rate).min(burst);
        self.refilled_at = now;
        burst
    }

    /// Records a successful call. A prompt reply increases the rate.
    pub(super) fn record_success(&mut self, latency: Duration, timeout: Duration) {
        self.decreases_since_success = 0;
        if latency < timeout.mul_f64(PROMPT_TIMEOUT_RATIO) {
            self.increase();
        }
    }

    /// Records a call that failed or timed out. Returns whether the error indicates an outage of the counter.
    ///
    /// The gateways may have overloaded the counter if this gateway makes more than one call in two timeouts, or if quotas
    /// are small. An error then decreases the rate below the recent rate of calls, and only several decreases in a row
    /// indicate an outage. Otherwise a single error does. Trade-off: a counter that is slow for one gateway is used less
    /// by it, and an outage is detected about a second later.
    pub(super) fn record_error(&mut self, now: Duration, timeout: Duration) -> bool {
        let may_overload = self.quotas_are_small()
            || self.recent_rate * timeout.as_secs_f64() > OVERLOAD_CALLS_PER_TIMEOUT;
        let may_decrease = now >= self.last_decrease_at + timeout * DECREASE_INTERVAL_TIMEOUTS;
        if may_overload && may_decrease {
            self.decrease(now);
        }
        self.decreases_since_success >= OUTAGE_DECREASES || !may_overload
    }

    fn increase(&mut self) {
        self.rate += if self.rate < self.fast_increase_threshold {
            FAST_INCREASE_CALLS_PER_SECOND
        } else {
            INCREASE_CALLS_PER_SECOND.max(self.rate * INCREASE_RATIO)
        };
        self.rate = self
            .rate
            .min(self.recent_rate * MAX_RATE_FACTOR + RATE_HEADROOM_CALLS_PER_SECOND);
    }

    fn decrease(&mut self, now: Duration) {
        let rate_before = self.rate.min(self.recent_rate);
        self.decreases_since_success += 1;
        self.tokens = self.tokens.min(0.0);
        self.rate = (rate_before * DECREASE_FACTOR).max(MIN_CALLS_PER_SECOND);
        self.fast_increase_threshold = rate_before * FAST_INCREASE_THRESHOLD_FACTOR;
        self.last_decrease_at = now;
    }
}

#[cfg(test)]
mod tests;
