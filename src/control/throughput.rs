//! How many attempts this gateway sends, and how many requests endpoints past their slow start answer to it.

use std::time::Duration;

/// What a second moves the attempt rate by.
const ATTEMPT_RATE_SMOOTHING: f64 = 0.1;

/// Answers fade over so many seconds.
const ANSWER_WINDOW: f64 = 10.0;

/// Attempts a second of late.
pub(super) struct AttemptRate {
    this_second: f64,
    /// Infinite until the first second is over.
    per_second: f64,
}

impl AttemptRate {
    /// The rate at the gateway's start.
    pub(super) fn new() -> AttemptRate {
        AttemptRate {
            this_second: 0.0,
            per_second: f64::INFINITY,
        }
    }

    /// An attempt was sent.
    pub(super) fn record(&mut self) {
        self.this_second += 1.0;
    }

    /// A second is over.
    pub(super) fn end_second(&mut self) {
        let sent = std::mem::take(&mut self.this_second);
        self.per_second = if self.per_second.is_finite() {
            self.per_second + (sent - self.per_second) * ATTEMPT_RATE_SMOOTHING
        } else {
            sent
        };
    }

    /// Attempts a second.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// Answers a second of late, from endpoints past their slow start.
#[derive(Default)]
pub(super) struct AnswerRate {
    per_second: f64,
    updated_at: Duration,
}

impl AnswerRate {
    /// An endpoint has answered.
    pub(super) fn record(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / ANSWER_WINDOW).exp();
        self.per_second = self.per_second * decay + 1.0 / ANSWER_WINDOW;
        self.updated_at = now;
    }

    /// Answers a second, as of the last one.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }
}
