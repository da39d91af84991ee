//! When the shared counter is left alone (step 6 of the design).

use crate::port::CounterReply;
use std::time::Duration;

/// For how long the counter is left alone that fell silent.
const OPEN_AFTER_SILENCE: Duration = Duration::from_secs(15);

/// For how long the counter is left alone that turned a call away: it is crowded, not gone.
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

    /// Whether the counter is left alone.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        now < self.open_until
    }

    /// The counter is down, as its last reply shows; says for how long it is left alone, if it was not already.
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
