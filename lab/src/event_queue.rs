//! Events that are scheduled for a moment of a run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Scheduled events, the earliest first; those of one moment in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<EventKey, E>,
    last_serial: u64,
}

/// Ordered by the moment first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    due: Duration,
    serial: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            last_serial: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub(crate) fn schedule(&mut self, due: Duration, event: E) {
        self.last_serial += 1;
        let serial = self.last_serial;
        self.events.insert(EventKey { due, serial }, event);
    }

    /// When the next event is due.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.events.keys().next().map(|key| key.due)
    }

    /// Takes the next event that is due by now, with the time at which it was due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(Duration, E)> {
        let first = self.events.first_entry()?;
        let due = first.key().due;
        (due <= now).then(|| (due, first.remove()))
    }
}

#[cfg(test)]
mod tests;
