//! Everything that is due at some time, in one ordered queue.

use crate::reactor::Serial;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::TimerToken;

/// What is due at a deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Deadline {
    /// A timer that the admission controller has set.
    ControllerTimer(TimerToken),
    /// The time of an upstream attempt, or of one of its steps, is up.
    Attempt {
        /// The key of the connection that carries it.
        key: usize,
        /// The connection's serial number, since keys are used again.
        connection: Serial,
    },
    /// The time of a call on the shared counter is up.
    CounterCall {
        /// The index of the connection that the call was written to.
        line: usize,
        /// The call's serial number.
        number: Serial,
    },
}

/// Names a deadline that was set. Deadlines at the same time fall due in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DeadlineId {
    due_at: Duration,
    serial: Serial,
}

/// The deadlines that are set.
#[derive(Default)]
pub(crate) struct DeadlineQueue {
    deadlines: BTreeMap<DeadlineId, Deadline>,
}

impl DeadlineQueue {
    /// Sets a deadline. `serial` was given to no other one.
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

    /// Cancels a deadline, if it has not fallen due yet.
    pub(crate) fn cancel(&mut self, id: DeadlineId) {
        self.deadlines.remove(&id);
    }

    /// Takes the earliest deadline, if it is due at `now`.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Option<Deadline> {
        let earliest = self.deadlines.first_entry()?;
        (earliest.key().due_at <= now).then(|| earliest.remove())
    }

    /// When the earliest deadline falls due.
    pub(crate) fn earliest(&self) -> Option<Duration> {
        self.deadlines.keys().next().map(|id| id.due_at)
    }
}

#[cfg(test)]
mod tests;
