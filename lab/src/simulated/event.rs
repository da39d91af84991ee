//! The events that the engine schedules in a simulated run. The world has its own queue of events.

use super::gateway::{AttemptKey, CounterCallKey, GatewayIncarnation};
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, ServerId};
use crate::world::counter::CounterResponse;
use crate::world::ServerResponse;
use std::time::Duration;
use wellcrank::port::TimerToken;

/// An event at a moment of simulated time.
pub(super) enum Event {
    /// A client's request reaches its gateway.
    RequestArrival {
        gateway: usize,
        request: ClientRequestId,
    },
    /// A gateway notices that a client has closed its connection.
    ClientDisconnect {
        gateway: usize,
        request: ClientRequestId,
    },
    /// The final answer to a request reaches its client.
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
    /// A server notices that the gateway has closed an attempt's connection.
    AttemptAbandoned(AttemptId),
    /// A server's response reaches the gateway.
    ServerResponse {
        attempt: AttemptKey,
        response: ServerResponse,
    },
    /// A gateway notices that an attempt's connection was refused or reset.
    ConnectionLost(AttemptKey),
    /// The timeout of an attempt expires.
    AttemptTimeout(AttemptKey),
    /// A call reaches the counter.
    CounterCallArrival(CounterCallKey),
    /// The counter's reply reaches the gateway.
    CounterReply {
        call: CounterCallKey,
        reply: CounterResponse,
    },
    /// The timeout of a call on the counter expires.
    CounterTimeout(CounterCallKey),
    /// A timer of a gateway fires.
    Timer {
        gateway: GatewayIncarnation,
        token: TimerToken,
    },
    /// A gateway receives those changes of the endpoint list with numbers below `end` that it has not received yet.
    EndpointChanges {
        gateway: GatewayIncarnation,
        end: usize,
    },
    /// A gateway that was started becomes ready to serve requests.
    GatewayReady(GatewayIncarnation),
    /// The gateways close connections that have been idle for too long.
    CloseStaleConnections,
}
