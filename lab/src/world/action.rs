//! What the world leaves for an engine to carry out.

use super::counter::CounterResponse;
use super::server::LoadReport;
use crate::events::{AttemptId, ClientRequestId, CounterCallId, ServerId};

/// What an engine has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// A client sends this request to its gateway.
    SendRequest(ClientRequestId),
    /// A client gives up waiting and closes its connection.
    CloseClient(ClientRequestId),
    /// A server answers an attempt, or ends its connection.
    SendResponse(AttemptId, ServerResponse),
    /// The counter answers a call.
    SendCounterResponse(CounterCallId, CounterResponse),
    /// Discovery notifies a gateway of the changes of the endpoint list up to and without this one.
    NotifyGateway {
        /// The gateway.
        gateway: usize,
        /// How many of the changes it knows from now on.
        change_count: usize,
    },
    /// A new server listens.
    AddServer(ServerId),
    /// A server refuses connections and resets the open ones.
    StopServer(ServerId),
    /// A server that was down listens again.
    RestartServer(ServerId),
    /// A gateway's process is killed.
    KillGateway(usize),
    /// A gateway is told to stop.
    StopGateway(usize),
    /// A gateway's process is started.
    StartGateway(usize),
    /// A gateway is told that discovery and counter have new addresses.
    MovePlatform(usize),
    /// All connections of the counter are reset.
    ResetCounterConnections,
    /// So many clients connect that send bytes that cannot be parsed.
    AddMisbehavingClients(usize),
}

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerResponse {
    /// The attempt was executed.
    Success {
        /// The units that it truly took, where servers report them.
        units: Option<f64>,
        /// The server's load, where servers report it.
        load: Option<LoadReport>,
    },
    /// Rejected unexecuted: the server is full or leaving.
    Busy,
    /// An error.
    Failed,
    /// Bytes that cannot be parsed; which kind of them.
    Malformed(u32),
}
