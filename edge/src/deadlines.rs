//! The deadlines of all components, in one queue ordered by time.

use crate::reactor::Serial;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::TimerToken;

/// What has to be handled when a deadline expires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Deadline {
    /// A timer that the admission controller has set.
    ControllerTimer(TimerToken),
    /// The timeout of an upstream attempt, or of one of its steps.
    Attempt {
        /// The key of the connection that carries it.
        key: usize,
        /// The connection's serial number, since keys are reused.
        connection: Serial,
    },
    /// The timeout of a call on the shared counter.
    CounterCall {
        /// The index of the connection that the call was written to.
        connection_index: usize,
        /// The call's serial number.
        serial: Serial,
    },
}

/// Identifies a deadline that was set. Deadlines at the same time expire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DeadlineId {
    /// When it expires, on the gateway's monotonic clock.
    due_at: Duration,
    serial: Serial,
}

/// The deadlines that are set.
#[derive(Default)]
pub(crate) struct DeadlineQueue {
    deadlines: BTreeMap<DeadlineId, Deadline>,
}

impl DeadlineQueue {
    /// Sets a deadline. `serial` must be unique and increase from one deadline to the next.
    pub(crate) fn set(
        &mut self,
        due_at: Duration,
        serial: Serial,
        deadline: Deadline,
    ) -> DeadlineId {
        let id = DeadlineId { due_at, serial };
        self.deadlines.insert(id, deadline);
        id
    }

    /// Cancels a deadline, if it has not expired yet.
    pub(crate) fn cancel(&mut self, id: DeadlineId) {
        self.deadlines.remove(&id);
    }

    /// Takes the earliest deadline, if it has expired at `now`.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Option<Deadline> {
        let earliest = self.deadlines.first_entry()?;
        (earliest.key().due_at <= now).then(|| earliest.remove())
    }

    /// When the earliest deadline expires.
    pub(crate) fn earliest(&self) -> Option<Duration> {
        self.deadlines.keys().next().map(|id| id.due_at)
    }
}

#[cfg(test)]
mod tests;
