//! What is due at a time, in order.

use crate::port::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a timer is set for.
#[derive(Clone, PartialEq, Debug)]
pub(super) enum Timer {
    /// The last moment at which a request can be answered in time.
    RequestDeadline(RequestId),
    /// The endpoint list is asked for again after a failure.
    Resubscribe,
}

/// The timers that are set, by time; those of one moment in the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BTreeMap<(Duration, u64), Timer>,
    last_id: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(super) fn schedule(&mut self, at: Duration, timer: Timer) {
        self.last_id += 1;
        self.entries.insert((at, self.last_id), timer);
    }

    /// Takes out the earliest timer that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.entries.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }
}

#[cfg(test)]
mod tests;
