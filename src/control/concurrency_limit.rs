//! The adaptive limit on this gateway's attempts in flight at all endpoints, learnt from their latency.

use crate::port::{AttemptOutcome, AttemptResult};
use std::time::Duration;

/// Attempts at one endpoint to start with, over all gateways.
pub(super) const INITIAL_LIMIT_PER_ENDPOINT: f64 = 16.0;

/// An answer within this part of the latency target is quick.
const QUICK_RATIO: f64 = 0.25;

/// Quick answers raise the limit only where more than this part of it is used.
const RAISE_ABOVE_USE: f64 = 0.6;

/// So many answers are a round, under a lower limit as many as it allows: one round moves the limit by one whole step.
const ROUND_ANSWERS: f64 = 5.0;

/// A whole step down takes this part of the limit.
const DECREASE_RATIO: f64 = 0.15;

/// What an attempt's end does to the limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Raise,
    Keep,
    Lower,
}

/// The adaptive limit.
pub(super) struct ConcurrencyLimiter {
    in_flight: f64,
    /// Infinite until the first attempt ends.
    limit: f64,
}

/// How many endpoints share the limit, and this gateway's part of one.
#[derive(Clone, Copy)]
pub(super) struct FleetShare {
    /// Endpoints that are listed.
    pub(super) endpoints: f64,
    /// One over the number of gateways.
    pub(super) gateway_share: f64,
}

impl ConcurrencyLimiter {
    /// The limiter at the gateway's start.
    pub(super) fn new() -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            in_flight: 0.0,
            limit: f64::INFINITY,
        }
    }

    /// Attempts in flight.
    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Attempts that may be in flight.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// An attempt was sent.
    pub(super) fn on_attempt_start(&mut self) {
        self.in_flight += 1.0;
    }

    /// An attempt has ended: the limit grows on quick answers and shrinks on slow ones, time-outs and full endpoints.
    pub(super) fn on_attempt_end(
        &mut self,
        result: &AttemptResult,
        latency_target: Duration,
        fleet: FleetShare,
    ) {
        if !self.limit.is_finite() {
            self.limit = INITIAL_LIMIT_PER_ENDPOINT * fleet.endpoints * fleet.gateway_share;
        }
        let step_size = (ROUND_ANSWERS / self.limit).min(1.0);
        match self.step(result, latency_target) {
            Step::Raise => self.limit += fleet.endpoints * fleet.gateway_share * step_size,
            Step::Lower => self.limit *= 1.0 - DECREASE_RATIO * step_size,
            Step::Keep => (),
        }
        self.in_flight -= 1.0;
        self.limit = self.limit.max(fleet.endpoints * fleet.gateway_share);
    }

    fn step(&self, result: &AttemptResult, latency_target: Duration) -> Step {
        let is_quick = result.latency.as_secs_f64() < latency_target.as_secs_f64() * QUICK_RATIO;
        match result.outcome {
            AttemptOutcome::Success if is_quick => {
                if self.in_flight > self.limit * RAISE_ABOVE_USE {
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
