//! The actions that the world returns for an engine to carry out.

use super::counter::CounterResponse;
use super::server::LoadReport;
use crate::events::{AttemptId, ClientRequestId, CounterCallId, ServerId};

/// An action for an engine to carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Send this client request to its gateway.
    SendRequest(ClientRequestId),
    /// Close the connection of the client that waits for this request.
    CloseClient(ClientRequestId),
    /// Send a server's response to this attempt.
    SendResponse(AttemptId, ServerResponse),
    /// Send the counter's response to this call.
    SendCounterResponse(CounterCallId, CounterResponse),
    /// Send a gateway the first `change_count` changes of the endpoint list, without those that it knows already.
    NotifyGateway {
        /// The gateway's index.
        gateway: usize,
        /// The number of changes that the gateway knows afterwards.
        change_count: usize,
    },
    /// Start listening for a new server.
    AddServer(ServerId),
    /// Reset a server's connections and refuse new ones.
    StopServer(ServerId),
    /// Listen again for a server that was stopped.
    RestartServer(ServerId),
    /// Kill the process of the gateway with this index.
    KillGateway(usize),
    /// Tell the gateway with this index to shut down.
    StopGateway(usize),
    /// Start the process of the gateway with this index.
    StartGateway(usize),
    /// Move discovery and the counter to new addresses for the gateway with this index.
    MovePlatform(usize),
    /// Reset all connections to the counter.
    ResetCounterConnections,
    /// Connect this number of clients that send malformed bytes.
    AddMisbehavingClients(usize),
}

/// A server's response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerResponse {
    /// The server executed the attempt.
    Success {
        /// The units that it actually took, if servers report them.
        units: Option<f64>,
        /// The server's load, if servers report it.
        load: Option<LoadReport>,
    },
    /// The server rejected the attempt without executing it, because it is full or draining.
    Busy,
    /// The server reported an error.
    Failed,
    /// Bytes that cannot be parsed. The number selects which; the engines define the bytes.
    Malformed(u32),
}
