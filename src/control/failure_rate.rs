//! How many of recent attempts failed, by route: at one endpoint and at all of them.

use crate::port::{AttemptOutcome, AttemptResult, RouteName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Seconds after which an attempt counts half.
const HALF_LIFE: f64 = 8.0;

/// What an answered error counts, against 1 for an answer that never came.
const ERROR_WEIGHT: f64 = 0.25;

/// A route's overall rate is taken as though so many more attempts had not failed.
const ROUTE_PRIOR_ATTEMPTS: f64 = 5.0;

/// An endpoint's rate is taken as though so many more attempts had failed at the route's overall rate.
const ENDPOINT_PRIOR_ATTEMPTS: f64 = 2.0;

/// A share of recent attempts that failed; attempts fade with time.
#[derive(Default)]
struct FailureRate {
    attempts: f64,
    failures: f64,
    updated_at: Duration,
}

impl FailureRate {
    fn decay(&self, now: Duration) -> f64 {
        0.5f64.powf(now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE)
    }

    /// One more attempt, of which `failed` counts as failed.
    fn record(&mut self, now: Duration, failed: f64) {
        let decay = self.decay(now);
        self.attempts = self.attempts * decay + 1.0;
        self.failures = self.failures * decay + failed;
        self.updated_at = now;
    }

    /// The share that failed, as though `prior_attempts` more had failed by the share `prior`.
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
    /// One more attempt of a route, of which `failed` counts as failed.
    pub(super) fn record(&mut self, route: &RouteName, now: Duration, failed: f64) {
        self.by_route
            .entry(route.clone())
            .or_default()
            .record(now, failed);
    }

    /// One more attempt of every route that is known here.
    pub(super) fn record_for_all_routes(&mut self, now: Duration, failed: f64) {
        for rate in self.by_route.values_mut() {
            rate.record(now, failed);
        }
    }

    /// The share of a route's attempts that fails at all endpoints together, where these are the rates of all.
    pub(super) fn overall_rate(&self, route: &RouteName, now: Duration) -> f64 {
        self.by_route
            .get(route)
            .map_or(0.0, |rate| rate.estimate(now, 0.0, ROUTE_PRIOR_ATTEMPTS))
    }

    /// The share of a route's attempts that is likely to fail at an endpoint, where these are its rates. They are kept by
    /// route, as an endpoint may leave one unanswered and serve the others, and lean on the route's `overall` rate: where
    /// many endpoints fail, one that is not known yet is less trusted than one that answers.
    pub(super) fn endpoint_rate(&self, route: &RouteName, now: Duration, overall: f64) -> f64 {
        self.by_route.get(route).map_or(overall, |rate| {
            rate.estimate(now, overall, ENDPOINT_PRIOR_ATTEMPTS)
        })
    }
}

/// What an attempt counts as failed, 0 to 1; none where its end tells nothing of the endpoint. An answer past the latency
/// target is worth little or nothing.
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
