//! The adaptive concurrency limit: the limit on this gateway's attempts in flight at all endpoints, adjusted by their
//! outcomes and latency. It is independent of the concurrency limits of the plans.

use crate::port::{AttemptOutcome, AttemptResult};
use std::time::Duration;

/// The initial limit on the attempts in flight per endpoint, from all gateways together.
pub(super) const INITIAL_ATTEMPTS_PER_ENDPOINT: f64 = 16.0;

/// A response within this share of the latency target is fast.
const FAST_LATENCY_RATIO: f64 = 0.25;

/// Fast responses raise the limit only if more than this share of it is in use.
const MIN_USE_RATIO_TO_RAISE: f64 = 0.6;

/// The number of full steps by which the limit moves while as many attempts end as it permits. A single attempt moves it
/// by one full step at most.
const STEPS_PER_ROUND: f64 = 5.0;

/// A full step down reduces the limit by this share.
const DECREASE_RATIO: f64 = 0.15;

/// The effect of an attempt's end on the limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Raise,
    Keep,
    Lower,
}

/// Counts the attempts in flight and adjusts the limit on them.
pub(super) struct ConcurrencyLimiter {
    in_flight: f64,
    /// In attempts; infinite until the first attempt ends.
    limit: f64,
}

/// The number of endpoints and this gateway's share of their capacity.
#[derive(Clone, Copy)]
pub(super) struct FleetShare {
    /// The number of listed endpoints.
    pub(super) endpoints: f64,
    /// One divided by the number of gateways.
    pub(super) gateway_share: f64,
}

impl ConcurrencyLimiter {
    /// Creates the limiter of a gateway that has just started, without a limit.
    pub(super) fn new() -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            in_flight: 0.0,
            limit: f64::INFINITY,
        }
    }

    /// Returns the number of attempts in flight.
    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Returns the number of attempts that may be in flight.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Records that an attempt was sent.
    pub(super) fn on_attempt_start(&mut self) {
        self.in_flight += 1.0;
    }

    /// Records the end of an attempt. Fast responses raise the limit if enough of it is in use; a full step up is one
    /// attempt per endpoint, from all gateways together. Responses that are not fast, timeouts, rejections by the endpoint and
    /// connection failures lower it, down to one attempt per endpoint from all gateways together.
    pub(super) fn on_attempt_end(
        &mut self,
        result: &AttemptResult,
        latency_target: Duration,
        fleet: FleetShare,
    ) {
        if !self.limit.is_finite() {
            self.limit = INITIAL_ATTEMPTS_PER_ENDPOINT * fleet.endpoints * fleet.gateway_share;
        }
        let step_size = (STEPS_PER_ROUND / self.limit).min(1.0);
        match self.step(result, latency_target) {
            Step::Raise => self.limit += fleet.endpoints * fleet.gateway_share * step_size,
            Step::Lower => self.limit *= 1.0 - DECREASE_RATIO * step_size,
            Step::Keep => (),
        }
        self.in_flight -= 1.0;
        self.limit = self.limit.max(fleet.endpoints * fleet.gateway_share);
    }

    fn step(&self, result: &AttemptResult, latency_target: Duration) -> Step {
        let is_fast =
            result.latency.as_secs_f64() < latency_target.as_secs_f64() * FAST_LATENCY_RATIO;
        match result.outcome {
            AttemptOutcome::Success if is_fast => {
                if self.in_flight > self.limit * MIN_USE_RATIO_TO_RAISE {
                    Step::Raise
                } else {
                    Step::Keep
                }
            }
            AttemptOutcome::ServerError | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {
                Step::Keep
            }
            AttemptOutcome::Success
            | AttemptOutcome::Rejected
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => Step::Lower,
        }
    }
}

#[cfg(test)]
mod tests;
