//! The rate at which this gateway sends attempts, and the rate at which endpoints past their slow start answer them.

use std::time::Duration;

/// The weight of the last second in the moving average of the attempt rate.
const ATTEMPT_RATE_SMOOTHING: f64 = 0.1;

/// The time constant, in seconds, with which the weight of an answer decays.
const ANSWER_DECAY_SECONDS: f64 = 10.0;

/// The moving average of the attempts that this gateway sends per second.
pub(super) struct AttemptRate {
    /// The attempts sent in the current second.
    this_second: f64,
    /// The average over the complete seconds; infinite until the first one is over.
    per_second: f64,
}

impl AttemptRate {
    /// Creates the rate of a gateway that has just started.
    pub(super) fn new() -> AttemptRate {
        AttemptRate {
            this_second: 0.0,
            per_second: f64::INFINITY,
        }
    }

    /// Records an attempt that was sent.
    pub(super) fn record(&mut self) {
        self.this_second += 1.0;
    }

    /// Ends the current second and includes it in the average.
    pub(super) fn end_second(&mut self) {
        let sent = std::mem::take(&mut self.this_second);
        self.per_second = if self.per_second.is_finite() {
            self.per_second + (sent - self.per_second) * ATTEMPT_RATE_SMOOTHING
        } else {
            sent
        };
    }

    /// Returns the average attempts per second, or infinity until the first second is over.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// The answers per second from endpoints past their slow start, as an exponentially decaying average.
#[derive(Default)]
pub(super) struct AnswerRate {
    per_second: f64,
    updated_at: Duration,
}

impl AnswerRate {
    /// Records an answer.
    pub(super) fn record(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / ANSWER_DECAY_SECONDS).exp();
        self.per_second = self.per_second * decay + 1.0 / ANSWER_DECAY_SECONDS;
        self.updated_at = now;
    }

    /// Returns the answers per second at the time of the last answer.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }
}
