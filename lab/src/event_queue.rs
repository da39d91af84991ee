//! A queue of events that are scheduled for a time of a run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Scheduled events in the order of their due times. Events with the same due time keep the order in which they were
/// scheduled.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<EventKey, E>,
    last_sequence_number: u64,
}

/// The order of an event in the queue: by due time, then by sequence number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    due: Duration,
    sequence_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            last_sequence_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event for the time `due`.
    pub(crate) fn schedule(&mut self, due: Duration, event: E) {
        self.last_sequence_number += 1;
        let sequence_number = self.last_sequence_number;
        self.events.insert(
            EventKey {
                due,
                sequence_number,
            },
            event,
        );
    }

    /// Returns when the next event is due, or `None` if the queue is empty.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.events.keys().next().map(|key| key.due)
    }

    /// Removes the next event and returns it with its due time, or returns `None` if no event is due by `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(Duration, E)> {
        let first = self.events.first_entry()?;
        let due = first.key().due;
        (due <= now).then(|| (due, first.remove()))
    }
}

#[cfg(test)]
mod tests;
