//! What will happen in a simulated run beside what the world has in its own queue.

use super::gateway::{AttemptKey, CounterCallKey, GatewayIncarnation};
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, ServerId};
use crate::world::counter::CounterResponse;
use crate::world::ServerResponse;
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
