//! Failure rates of recent attempts by route, at one endpoint and at all endpoints together.

use crate::port::{AttemptOutcome, AttemptResult, RouteName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time in seconds after which an attempt counts half.
const HALF_LIFE_SECONDS: f64 = 8.0;

/// The weight of an error answer, compared with 1 for no answer.
const ERROR_WEIGHT: f64 = 0.25;

/// The number of successful attempts that are added to the estimate of a route's overall rate.
const ROUTE_PRIOR_ATTEMPTS: f64 = 5.0;

/// The number of attempts with the route's overall failure rate that are added to the estimate of an endpoint's rate.
const ENDPOINT_PRIOR_ATTEMPTS: f64 = 2.0;

/// The share of recent attempts that failed. The weight of an attempt decays exponentially with its age.
#[derive(Default)]
struct FailureRate {
    /// The sum of the attempts' weights at `updated_at`.
    attempts: f64,
    /// The part of `attempts` that failed.
    failures: f64,
    updated_at: Duration,
}

impl FailureRate {
    /// Returns the factor by which the weights have decayed since the last update.
    fn decay(&self, now: Duration) -> f64 {
        0.5f64.powf(now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE_SECONDS)
    }

    /// Records an attempt that counts as failed to the share `failed`, 0 to 1.
    fn record(&mut self, now: Duration, failed: f64) {
        let decay = self.decay(now);
        self.attempts = self.attempts * decay + 1.0;
        self.failures = self.failures * decay + failed;
        self.updated_at = now;
    }

    /// Returns the share of attempts that failed, with `prior_attempts` additional attempts of which the share `prior`
    /// failed.
    fn estimate(&self, now: Duration, prior: f64, prior_attempts: f64) -> f64 {
        let decay = self.decay(now);
        (self.failures * decay + prior * prior_attempts) / (self.attempts * decay + prior_attempts)
    }
}

/// Failure rates by route.
#[derive(Default)]
pub(super) struct FailureRates {
    by_route: BTreeMap<RouteName, FailureRate>,
}

impl FailureRates {
    /// Records an attempt on a route that counts as failed to the share `failed`, 0 to 1.
    pub(super) fn record(&mut self, route: &RouteName, now: Duration, failed: f64) {
        self.by_route
            .entry(route.clone())
            .or_default()
            .record(now, failed);
    }

    /// Records an attempt on every route that has a failure rate here. `failed` is as in [`FailureRates::record`].
    pub(super) fn record_for_all_routes(&mut self, now: Duration, failed: f64) {
        for rate in self.by_route.values_mut() {
            rate.record(now, failed);
        }
    }

    /// Returns the estimated share of a route's attempts that fail, if these are the rates over all endpoints.
    pub(super) fn overall_rate(&self, route: &RouteName, now: Duration) -> f64 {
        self.by_route
            .get(route)
            .map_or(0.0, |rate| rate.estimate(now, 0.0, ROUTE_PRIOR_ATTEMPTS))
    }

    /// Returns the estimated share of a route's attempts that fail at an endpoint, if these are the rates of that
    /// endpoint. The rates are kept by route because an endpoint may fail on one route and serve the others. The
    /// route's `overall` rate is the prior of the estimate: if many endpoints fail, an endpoint without attempts is
    /// rated worse than one that answers.
    pub(super) fn endpoint_rate(&self, route: &RouteName, now: Duration, overall: f64) -> f64 {
        self.by_route.get(route).map_or(overall, |rate| {
            rate.estimate(now, overall, ENDPOINT_PRIOR_ATTEMPTS)
        })
    }
}

/// Returns to which share an attempt counts as failed, 0 to 1, or `None` if its outcome says nothing about the
/// endpoint. A successful answer after the latency target counts as failed, because it has little or no value.
pub(super) fn failure_weight(result: &AttemptResult, latency_target: Duration) -> Option<f64> {
    match result.outcome {
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => None,
        AttemptOutcome::Success if !latency_target.is_zero() && result.latency > latency_target => {
            Some(1.0)
        }
        AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
            Some(1.0)
        }
        AttemptOutcome::ServerError => Some(ERROR_WEIGHT),
        AttemptOutcome::Success | AttemptOutcome::Rejected => Some(0.0),
    }
}

#[cfg(test)]
mod tests;
