//! The controller's timer queue.

use crate::port::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is due when a timer fires.
#[derive(Clone, PartialEq, Debug)]
pub(super) enum Timer {
    /// The request needs its final answer now to meet its deadline.
    RequestDeadline(RequestId),
    /// The gateway subscribes to endpoint updates again after a discovery failure.
    Resubscribe,
}

/// The pending timers in the order of their times. Timers for the same time keep the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// By time and id; ids are assigned in ascending order.
    entries: BTreeMap<(Duration, u64), Timer>,
    last_id: u64,
}

impl TimerQueue {
    /// Adds a timer that is due at `at`.
    pub(super) fn schedule(&mut self, at: Duration, timer: Timer) {
        self.last_id += 1;
        self.entries.insert((at, self.last_id), timer);
    }

    /// Removes and returns the earliest timer if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.entries.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }
}

#[cfg(test)]
mod tests;
