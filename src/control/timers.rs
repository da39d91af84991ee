//! The controller's timer queue. The adapter's timer is set for the earliest entry only.

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

/// Identifies a timer that was scheduled. Timers for the same time keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct TimerId {
    due_at: Duration,
    /// Assigned in ascending order.
    serial: u64,
}

/// The pending timers in the order of their times.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BTreeMap<TimerId, Timer>,
    last_serial: u64,
    /// The time for which the adapter's timer is set, if it is.
    armed_for: Option<Duration>,
}

impl TimerQueue {
    /// Adds a timer that is due at `due_at`.
    pub(super) fn schedule(&mut self, due_at: Duration, timer: Timer) -> TimerId {
        self.last_serial += 1;
        let id = TimerId {
            due_at,
            serial: self.last_serial,
        };
        self.entries.insert(id, timer);
        id
    }

    /// Removes a timer, unless it was popped already.
    pub(super) fn cancel(&mut self, id: TimerId) {
        self.entries.remove(&id);
    }

    /// Records that the adapter's timer has fired, if it was set for a time up to `now`.
    pub(super) fn disarm(&mut self, now: Duration) {
        self.armed_for = self.armed_for.filter(|armed_for| *armed_for > now);
    }

    /// Returns the time for which the adapter's timer has to be set now, and records that it is: the time of the earliest
    /// entry, or `None` if the adapter's timer fires by then anyway.
    pub(super) fn arm(&mut self) -> Option<Duration> {
        let earliest = self.entries.keys().next()?.due_at;
        if self
            .armed_for
            .is_some_and(|armed_for| armed_for <= earliest)
        {
            return None;
        }
        self.armed_for = Some(earliest);
        Some(earliest)
    }

    /// The number of pending timers.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes and returns the earliest timer if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.entries.first_entry()?;
        (first.key().due_at <= now).then(|| first.remove())
    }
}

#[cfg(test)]
mod tests;
