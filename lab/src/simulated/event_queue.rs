//! What will happen in a simulated run beside what the world has in its own queue.

use super::gateway::{AttemptKey, CounterCallKey, GatewayIncarnation};
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, ServerId};
use crate::world::counter::CounterResponse;
use crate::world::ServerResponse;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::TimerToken;

/// One thing that happens at a moment.
pub(super) enum Event {
    /// A client's request reaches its gateway.
    RequestArrival {
        gateway: usize,
        request: ClientRequestId,
    },
    /// The gateway sees that a client has closed its connection.
    ClientDisconnect {
        gateway: usize,
        request: ClientRequestId,
    },
    /// A client gets its final answer.
    FinalAnswer {
        request: ClientRequestId,
        outcome: ClientOutcome,
        retry_after: Option<Duration>,
    },
    /// An attempt reaches its server.
    AttemptArrival {
        attempt: AttemptKey,
        server: ServerId,
        new_connection: bool,
    },
    /// A server sees that the gateway has closed an attempt's connection.
    AttemptAbandoned(AttemptId),
    /// A server's response reaches the gateway.
    ServerResponse {
        attempt: AttemptKey,
        response: ServerResponse,
    },
    /// The gateway sees that an attempt's connection was refused or reset.
    ConnectionLost(AttemptKey),
    /// The time of an attempt is up.
    AttemptTimeout(AttemptKey),
    /// A call reaches the counter.
    CounterCallArrival(CounterCallKey),
    /// The counter's reply reaches the gateway.
    CounterReply {
        call: CounterCallKey,
        reply: CounterResponse,
    },
    /// The time of a call on the counter is up.
    CounterTimeout(CounterCallKey),
    /// A timer of a gateway fires.
    Timer {
        gateway: GatewayIncarnation,
        token: TimerToken,
    },
    /// The endpoint list's changes before number `end` reach a gateway.
    EndpointChanges {
        gateway: GatewayIncarnation,
        end: usize,
    },
    /// A gateway that was started takes requests from now on.
    GatewayReady(GatewayIncarnation),
    /// The gateways close connections that have been idle for too long.
    CloseStaleConnections,
}

/// Events by their moment; those of one moment in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventKey, Event>,
    last_serial: u64,
}

/// Ordered by the moment first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Duration,
    serial: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.last_serial += 1;
        let serial = self.last_serial;
        self.events.insert(EventKey { at, serial }, event);
    }

    /// The moment of the next event.
    pub(super) fn next_time(&self) -> Option<Duration> {
        self.events.keys().next().map(|key| key.at)
    }

    /// Takes out the first event that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Event> {
        let first = self.events.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
