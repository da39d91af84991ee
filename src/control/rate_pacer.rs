//! How often this gateway may call the shared counter where gateways overload it: additive increase on prompt replies,
//! multiplicative decrease on errors, so that the gateways share the counter's capacity without a message.
//!
//! Calls take tokens. A call for a request of little value leaves some of the tokens in reserve for more valuable ones.

use crate::settings::Settings;
use std::time::Duration;

/// Calls a second to start with, over all gateways.
const INITIAL_FLEET_RATE: f64 = 900.0;

/// The least calls a second of one gateway.
const MIN_RATE: f64 = 0.5;

/// What a prompt reply adds to the rate below the slow-start threshold, in calls a second.
const FAST_INCREASE: f64 = 1.0;

/// What a prompt reply adds above the threshold, in calls a second, or [`INCREASE_RATIO`] of the rate if that is more.
const INCREASE: f64 = 0.2;

/// See [`INCREASE`].
const INCREASE_RATIO: f64 = 0.01;

/// The rate stays within so many times the calls that were made of late, and [`SPARE_RATE`] more.
const MAX_RATE_FACTOR: f64 = 2.0;

/// See [`MAX_RATE_FACTOR`]; in calls a second.
const SPARE_RATE: f64 = 4.0;

/// An error slows the rate to this part of the calls that were made of late.
const DECREASE_FACTOR: f64 = 0.6;

/// The slow-start threshold after an error, as a part of the calls that were made of late.
const THRESHOLD_FACTOR: f64 = 0.5;

/// A reply within this part of the counter's timeout is prompt.
const PROMPT_RATIO: f64 = 0.7;

/// An error is taken for overload where this gateway makes more calls than this in one timeout.
const OVERLOAD_CALLS_PER_TIMEOUT: f64 = 0.5;

/// After an error has slowed the rate, the next one does so only after so many timeouts.
const DECREASE_INTERVAL_TIMEOUTS: u32 = 4;

/// So many errors in a row, each after a slowing, are an outage.
const OUTAGE_ERRORS: u32 = 3;

/// Tokens can accumulate for so many seconds.
const BURST_SECONDS: f64 = 0.5;

/// So many tokens can accumulate at the least.
const MIN_BURST: f64 = 4.0;

/// Where at least this share of the requests is larger than its customer's even split, calls are paced.
const SMALL_QUOTA_THRESHOLD: f64 = 0.5;

/// What a request moves the share of small quotas by.
const SMALL_QUOTA_SMOOTHING: f64 = 0.02;

/// What a request moves the mean value by.
const VALUE_SMOOTHING: f64 = 0.05;

/// The least mean value that a request is measured against: quotients stay sound.
const MIN_MEAN_VALUE: f64 = 1e-9;

/// The pace of calls on the counter.
pub(super) struct RatePacer {
    /// Calls a second that may be made.
    rate: f64,
    /// Calls that may be made now.
    tokens: f64,
    refilled_at: Duration,
    /// Calls a second that were made of late; fades over a second.
    recent_rate: f64,
    /// Up to this rate prompt replies speed calls up fast; infinite before the first error.
    slow_start_threshold: f64,
    /// When an error last slowed the rate.
    slowed_at: Duration,
    consecutive_errors: u32,
    /// The share of recent requests whose customer's even split is less than they ask.
    small_quota_ratio: f64,
    /// The mean value of recent requests.
    mean_value: f64,
}

impl RatePacer {
    /// The pace at the gateway's start.
    pub(super) fn new(settings: &Settings, now: Duration) -> RatePacer {
        RatePacer {
            rate: INITIAL_FLEET_RATE / settings.gateway_count(),
            tokens: 0.0,
            refilled_at: now,
            recent_rate: 0.0,
            slow_start_threshold: f64::INFINITY,
            slowed_at: Duration::ZERO,
            consecutive_errors: 0,
            small_quota_ratio: SMALL_QUOTA_THRESHOLD,
            mean_value: 0.0,
        }
    }

    /// A request came in, whose customer's even split is less than it asks or not, of that value.
    pub(super) fn record_request(&mut self, has_small_quota: bool, value: f64) {
        let small = f64::from(u8::from(has_small_quota));
        self.small_quota_ratio += (small - self.small_quota_ratio) * SMALL_QUOTA_SMOOTHING;
        self.mean_value += (value - self.mean_value) * VALUE_SMOOTHING;
    }

    /// Whether most customers' even split is less than a request of theirs.
    pub(super) fn quotas_are_small(&self) -> bool {
        self.small_quota_ratio >= SMALL_QUOTA_THRESHOLD
    }

    /// The part of the tokens that one call for so many requests of that value each has to leave in reserve: 0 and below
    /// for the mean value of a request and more, 1 for no value.
    pub(super) fn reserve_ratio(&self, value: f64, requests: f64) -> f64 {
        1.0 - value * requests / self.mean_value.max(MIN_MEAN_VALUE)
    }

    /// Whether a call may be made that has to leave that part of the tokens in reserve: one token is enough without a
    /// reserve (0 and below), all that can accumulate are needed with a reserve of 1. Calls that are not paced may
    /// always be made.
    pub(super) fn allows(&mut self, now: Duration, reserve_ratio: f64) -> bool {
        let burst = self.refill(now);
        let needed = 1.0 + (burst - 1.0) * reserve_ratio.clamp(0.0, 1.0);
        let is_unpaced = !self.quotas_are_small() && self.slow_start_threshold.is_infinite();
        is_unpaced || self.tokens >= needed
    }

    /// A call is made.
    pub(super) fn record_call(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
        self.recent_rate += 1.0;
    }

    /// Fades the calls made of late and refills the tokens; gives how many of them can accumulate.
    fn refill(&mut self, now: Duration) -> f64 {
        let burst = f64::max(self.rate * BURST_SECONDS, MIN_BURST);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.recent_rate *= (-elapsed).exp();
        self.tokens = (self.tokens + elapsed * self.rate).min(burst);
        self.refilled_at = now;
        burst
    }

    /// A call succeeded after `latency`: a prompt reply raises the rate.
    pub(super) fn record_success(&mut self, latency: Duration, timeout: Duration) {
        self.consecutive_errors = 0;
        if latency < timeout.mul_f64(PROMPT_RATIO) {
            self.increase();
        }
    }

    /// A call failed or timed out; says whether that shows an outage of the counter. Where this gateway makes a call in
    /// two timeouts or more, and so may overload the counter, or where quotas are small, an error lowers the rate below
    /// that of recent calls, and several errors in a row are an outage; elsewhere one error is. Trade-off: a counter that
    /// is slow for one gateway is used less; an outage is known a second later.
    pub(super) fn record_error(&mut self, now: Duration, timeout: Duration) -> bool {
        let may_overload = self.quotas_are_small()
            || self.recent_rate * timeout.as_secs_f64() > OVERLOAD_CALLS_PER_TIMEOUT;
        let may_slow = now >= self.slowed_at + timeout * DECREASE_INTERVAL_TIMEOUTS;
        if may_overload && may_slow {
            self.decrease(now);
        }
        self.consecutive_errors >= OUTAGE_ERRORS || !may_overload
    }

    fn increase(&mut self) {
        self.rate += if self.rate < self.slow_start_threshold {
            FAST_INCREASE
        } else {
            INCREASE.max(self.rate * INCREASE_RATIO)
        };
        self.rate = self
            .rate
            .min(self.recent_rate * MAX_RATE_FACTOR + SPARE_RATE);
    }

    fn decrease(&mut self, now: Duration) {
        let made = self.rate.min(self.recent_rate);
        self.consecutive_errors += 1;
        self.tokens = self.tokens.min(0.0);
        self.rate = (made * DECREASE_FACTOR).max(MIN_RATE);
        self.slow_start_threshold = made * THRESHOLD_FACTOR;
        self.slowed_at = now;
    }
}

#[cfg(test)]
mod tests;
