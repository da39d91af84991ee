//! Suspends calls on the shared counter after a failure.

use crate::port::CounterReply;
use std::time::Duration;

/// How long the circuit breaker stays open after a call without an answer.
const OPEN_AFTER_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the circuit breaker stays open after a call that was not applied, such as one answered with an error. The time
/// is shorter because the counter is then overloaded rather than down.
const OPEN_AFTER_REJECTION: Duration = Duration::from_secs(3);

/// Decides whether the counter may be called at all. While the circuit breaker is open, nothing is counted.
pub(super) struct CircuitBreaker {
    open_until: Duration,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker, or one that stays open forever if there is no counter.
    pub(super) fn new(has_counter: bool) -> CircuitBreaker {
        CircuitBreaker {
            open_until: if has_counter {
                Duration::ZERO
            } else {
                Duration::MAX
            },
        }
    }

    /// Returns whether the counter must not be called.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        now < self.open_until
    }

    /// Opens the circuit breaker after a failed call and returns for how long, or `None` if it is open already.
    pub(super) fn trip(&mut self, now: Duration, reply: CounterReply) -> Option<Duration> {
        if self.is_open(now) {
            return None;
        }
        let open_for = if reply == CounterReply::NotApplied {
            OPEN_AFTER_REJECTION
        } else {
            OPEN_AFTER_TIMEOUT
        };
        self.open_until = now + open_for;
        Some(open_for)
    }
}

#[cfg(test)]
mod tests;
