//! The baseline latency of each route: how long its requests take without queueing.

use crate::port::RouteName;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

/// The lowest latency that is recorded, in seconds: baselines are used as divisors.
const MIN_LATENCY_SECONDS: f64 = 0.001;

/// The factor by which an answer that took longer than the baseline changes it.
const INCREASE_FACTOR: f64 = 1.01;

/// The factor by which any other answer changes the baseline. Together with [`INCREASE_FACTOR`] the baseline settles
/// where a third of the answers are faster, so that queueing does not make fast routes look expensive.
const DECREASE_FACTOR: f64 = 0.98;

/// The number of answers over which [`BaselineLatency::mean_seconds`] is a plain mean.
const FIRST_ANSWERS: u32 = 16;

/// The latency target, in seconds, that is assumed for a route without one.
const DEFAULT_TARGET_SECONDS: f64 = 1.0;

/// The baseline latency of one route, in seconds.
#[derive(Clone, Copy)]
pub(super) struct BaselineLatency {
    /// The baseline. It starts with the latency of the first attempt and follows the answers in small steps.
    seconds: f64,
    /// The mean of the first [`FIRST_ANSWERS`] answers. It follows later answers in the same small steps.
    mean_seconds: f64,
    /// The number of answers in the mean, at most [`FIRST_ANSWERS`].
    answers: u32,
}

impl BaselineLatency {
    /// Creates a baseline that is assumed before the first answer.
    fn assumed(seconds: f64) -> BaselineLatency {
        BaselineLatency {
            seconds,
            mean_seconds: 0.0,
            answers: 0,
        }
    }

    /// Returns the baseline in seconds.
    pub(super) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Records an answer that took `latency` seconds.
    fn record(&mut self, latency: f64) {
        self.seconds *= step_towards(latency, self.seconds);
        if self.answers < FIRST_ANSWERS {
            self.answers += 1;
            self.mean_seconds += (latency - self.mean_seconds) / f64::from(self.answers);
        } else {
            self.mean_seconds *= step_towards(latency, self.mean_seconds);
        }
    }

    /// Returns the mean latency in seconds, including a prior answer of `prior` seconds. The weight of the prior falls
    /// from 1 to 0 over the first [`FIRST_ANSWERS`] answers, so that a few fast answers have little effect.
    fn with_prior(&self, prior: f64) -> f64 {
        let answers = f64::from(self.answers);
        let weight = 1.0 - answers / f64::from(FIRST_ANSWERS);
        (self.mean_seconds * answers + prior * weight) / (answers + weight)
    }
}

/// Returns the factor that moves an estimate one small step towards a latency.
fn step_towards(latency: f64, estimate: f64) -> f64 {
    if latency > estimate {
        INCREASE_FACTOR
    } else {
        DECREASE_FACTOR
    }
}

/// Baseline latencies by route.
#[derive(Default)]
pub(super) struct BaselineLatencies {
    by_route: BTreeMap<RouteName, BaselineLatency>,
}

impl BaselineLatencies {
    /// Returns the baseline of a route in seconds, or `None` until one of its attempts has ended.
    pub(super) fn seconds(&self, route: &RouteName) -> Option<f64> {
        self.by_route.get(route).map(BaselineLatency::seconds)
    }

    /// Returns the route's baseline. If there is none yet, `latency`, that of the route's first attempt, becomes the
    /// baseline.
    pub(super) fn get_or_insert(
        &mut self,
        route: &RouteName,
        latency: Duration,
    ) -> BaselineLatency {
        let assumed = BaselineLatency::assumed(bounded_seconds(latency));
        *self.by_route.entry(route.clone()).or_insert(assumed)
    }

    /// Records that a request on the route was answered after `latency`.
    pub(super) fn record_answer(&mut self, route: &RouteName, latency: Duration) {
        if let Some(baseline) = self.by_route.get_mut(route) {
            baseline.record(bounded_seconds(latency));
        }
    }

    /// Returns the mean latency over all routes in seconds, or `None` until an attempt has ended. While a route has
    /// only a few answers, its latency target counts as an additional answer.
    pub(super) fn mean_with_targets(&self, settings: &Settings) -> Option<f64> {
        if self.by_route.is_empty() {
            return None;
        }
        let estimates = self
            .by_route
            .iter()
            .map(|(route, baseline)| baseline.with_prior(target_or_default(settings, route)));
        Some(estimates.sum::<f64>() / self.by_route.len() as f64)
    }
}

/// Returns the latency target of a route in seconds, or [`DEFAULT_TARGET_SECONDS`].
fn target_or_default(settings: &Settings, route: &RouteName) -> f64 {
    let target = settings.route(route).latency_target.as_secs_f64();
    if target > 0.0 {
        target
    } else {
        DEFAULT_TARGET_SECONDS
    }
}

/// Converts a latency to seconds, at least [`MIN_LATENCY_SECONDS`].
fn bounded_seconds(latency: Duration) -> f64 {
    latency.as_secs_f64().max(MIN_LATENCY_SECONDS)
}

#[cfg(test)]
mod tests;
