//! The baseline latency of each route: how long its requests take where nothing queues.

use crate::port::RouteName;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

/// The least latency that is recorded, in seconds: quotients of latencies stay sound.
const MIN_LATENCY: f64 = 0.001;

/// What a longer answer multiplies the baseline by.
const RISE: f64 = 1.01;

/// What a shorter answer multiplies the baseline by. With [`RISE`] the baseline settles at the lower third of the
/// answers, so that queues do not make quick routes look like much work.
const FALL: f64 = 0.98;

/// So many answers make the mean that [`BaselineLatency::with_prior`] begins with.
const FIRST_ANSWERS: u32 = 16;

/// Stands for the latency target of a route that states none, in seconds.
const DEFAULT_TARGET: f64 = 1.0;

/// The baseline latency of one route, in seconds.
#[derive(Clone, Copy)]
pub(super) struct BaselineLatency {
    /// Begins with the first answer, and follows the others in small shares.
    seconds: f64,
    /// Begins with the mean of the first answers, as many as are counted, and follows the others alike.
    mean_seconds: f64,
    answers: u32,
}

impl BaselineLatency {
    /// Nothing was answered yet; the baseline is assumed to be this.
    fn assumed(seconds: f64) -> BaselineLatency {
        BaselineLatency {
            seconds,
            mean_seconds: 0.0,
            answers: 0,
        }
    }

    /// The baseline, in seconds.
    pub(super) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// An answer came after `latency` seconds.
    fn record(&mut self, latency: f64) {
        self.seconds *= step_towards(latency, self.seconds);
        if self.answers < FIRST_ANSWERS {
            self.answers += 1;
            self.mean_seconds += (latency - self.mean_seconds) / f64::from(self.answers);
        } else {
            self.mean_seconds *= step_towards(latency, self.mean_seconds);
        }
    }

    /// As the first answers have it, with one more that had taken `prior` seconds, which counts for less with each of
    /// them: no single quick answer says much.
    fn with_prior(&self, prior: f64) -> f64 {
        let answers = f64::from(self.answers);
        let weight = 1.0 - answers / f64::from(FIRST_ANSWERS);
        (self.mean_seconds * answers + prior * weight) / (answers + weight)
    }
}

/// The factor that moves an estimate towards a latency.
fn step_towards(latency: f64, estimate: f64) -> f64 {
    if latency > estimate {
        RISE
    } else {
        FALL
    }
}

/// The baseline latencies by route.
#[derive(Default)]
pub(super) struct BaselineLatencies {
    by_route: BTreeMap<RouteName, BaselineLatency>,
}

impl BaselineLatencies {
    /// The baseline of a route in seconds, once one of its attempts has ended.
    pub(super) fn seconds(&self, route: &RouteName) -> Option<f64> {
        self.by_route.get(route).map(BaselineLatency::seconds)
    }

    /// The route's baseline; an attempt that ended after `latency`, if it is the first one, is assumed to be it.
    pub(super) fn get_or_assume(
        &mut self,
        route: &RouteName,
        latency: Duration,
    ) -> BaselineLatency {
        let assumed = BaselineLatency::assumed(at_least_min(latency));
        *self.by_route.entry(route.clone()).or_insert(assumed)
    }

    /// A request of the route was answered after `latency`.
    pub(super) fn record_answer(&mut self, route: &RouteName, latency: Duration) {
        if let Some(baseline) = self.by_route.get_mut(route) {
            baseline.record(at_least_min(latency));
        }
    }

    /// The mean baseline over all routes, in seconds, once an attempt has ended. A few answers say little: the route's
    /// latency target stands beside them as one more answer.
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

/// The latency target of a route in seconds, or [`DEFAULT_TARGET`].
fn target_or_default(settings: &Settings, route: &RouteName) -> f64 {
    let target = settings.route(route).latency_target.as_secs_f64();
    if target > 0.0 {
        target
    } else {
        DEFAULT_TARGET
    }
}

fn at_least_min(latency: Duration) -> f64 {
    latency.as_secs_f64().max(MIN_LATENCY)
}

#[cfg(test)]
mod tests;
