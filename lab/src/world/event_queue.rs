//! What falls due in the world, in one ordered structure.

use crate::events::{AttemptId, ClientRequestId, CounterCallId, OperationId, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub enum WorldEvent {
    /// The next API call that no answer waits for.
    Arrival,
    /// One of the recorded ones.
    Replayed(usize),
    /// A client asks again.
    Again(OperationId),
    /// A client's patience, and the end of its time.
    Leaves(ClientRequestId),
    TimeUp(ClientRequestId),
    /// A server has done a try's work.
    Served(ServerId, AttemptId),
    /// What a server says has come where it is heard.
    Said(AttemptId),
    /// A line of the counter is done with a call.
    Counted(CounterCallId),
    /// A change of the list reaches a gateway.
    Told {
        gateway: usize,
        change: usize,
    },
    /// A trouble begins, takes a step, ends.
    Trouble {
        place: usize,
        step: usize,
    },
    TroubleEnds(usize),
    /// A server that was down is back.
    Returns(ServerId),
    /// A server that was to leave is done.
    Retires(ServerId),
    /// A gateway that was told to stop is killed, and one that was killed starts.
    Kill(usize),
    Start(usize),
}

#[derive(Default)]
pub struct EventQueue {
    due: BTreeMap<(Duration, u64), WorldEvent>,
    last: u64,
}

impl EventQueue {
    pub fn at(&mut self, when: Duration, due: WorldEvent) {
        self.last += 1;
        self.due.insert((when, self.last), due);
    }

    pub fn next(&self) -> Option<Duration> {
        self.due.keys().next().map(|key| key.0)
    }

    /// What is due by now, and when it was.
    pub fn pop(&mut self, now: Duration) -> Option<(Duration, WorldEvent)> {
        let first = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        let when = first.key().0;
        Some((when, first.remove()))
    }
}
