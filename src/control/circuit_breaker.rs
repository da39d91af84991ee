//! When the shared counter is not called, as it has failed.

use crate::port::CounterReply;
use std::time::Duration;

/// How long the circuit stays open after a call that was not answered.
const OPEN_AFTER_SILENCE: Duration = Duration::from_secs(15);

/// How long the circuit stays open after a call that was answered with an error: the counter is overloaded, not down.
const OPEN_AFTER_REJECTION: Duration = Duration::from_secs(3);

/// Whether the counter may be called at all. While the circuit is open nothing is counted.
pub(super) struct CircuitBreaker {
    open_until: Duration,
}

impl CircuitBreaker {
    /// The circuit at the gateway's start: open for good where there is no counter.
    pub(super) fn new(has_counter: bool) -> CircuitBreaker {
        CircuitBreaker {
            open_until: if has_counter {
                Duration::ZERO
            } else {
                Duration::MAX
            },
        }
    }

    /// Whether the counter must not be called.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        now < self.open_until
    }

    /// Opens the circuit after a failed call, if it is not open; says for how long.
    pub(super) fn trip(&mut self, now: Duration, reply: CounterReply) -> Option<Duration> {
        if self.is_open(now) {
            return None;
        }
        let open_for = if reply == CounterReply::NotApplied {
            OPEN_AFTER_REJECTION
        } else {
            OPEN_AFTER_SILENCE
        };
        self.open_until = now + open_for;
        Some(open_for)
    }
}

#[cfg(test)]
mod tests;
