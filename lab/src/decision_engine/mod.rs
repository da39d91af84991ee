//! What decides at the gateways of a simulated run: the controller itself, in this process
//! ([`InProcessEngine`]), or that of another build, over the simulator's wire ([`ExternalEngine`]). Either is
//! handed what happened at a gateway and returns what the gateway does about it.

mod external;
mod in_process;

pub use external::ExternalEngine;
pub use in_process::InProcessEngine;

use serde_json::Value;
use std::io;
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, AttemptResult, CounterName, CounterReply, EndpointId, EndpointUpdate, Request,
    RequestId, TimerToken,
};
use wellcrank_settings::SettingsError;

/// Something that happened at a gateway, named after the controller's entry points.
pub enum GatewayEvent {
    /// Its process starts.
    Start {
        /// The settings in the platform's JSON.
        settings: Value,
        /// The seed of the controller's random generator.
        seed: u64,
    },
    /// Its process is killed.
    Kill,
    /// Discovery has news.
    EndpointUpdate(EndpointUpdate),
    /// A request has come in.
    Request(Request),
    /// An upstream attempt has ended.
    AttemptEnd {
        /// The request that was sent on.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// How it ended.
        result: AttemptResult,
    },
    /// The shared counter has replied to the oldest open call for a name.
    CounterReply {
        /// The number that was added to.
        name: CounterName,
        /// The reply.
        reply: CounterReply,
    },
    /// The client of a request has closed its connection.
    ClientDisconnect(RequestId),
    /// A timer has fired.
    Timer(TimerToken),
}

/// Something that a gateway does, named after the functions of [`wellcrank::port::Port`].
#[derive(Clone, Debug)]
pub enum GatewayAction {
    /// Begins an upstream attempt.
    Send {
        /// The request that is sent on.
        request: RequestId,
        /// Where it is sent.
        endpoint: EndpointId,
        /// How long an answer is waited for; zero: until the request's deadline.
        timeout: Duration,
    },
    /// Gives an attempt up that is out.
    Cancel {
        /// The request that was sent on.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// The final answer that it is harmless to ask again.
    Reject {
        /// The request that is answered.
        request: RequestId,
        /// After how long it may be asked again.
        retry_after: Duration,
    },
    /// The final answer of failure.
    Fail {
        /// The request that is answered.
        request: RequestId,
    },
    /// Adds to a number on the shared counter.
    AddToCounter {
        /// The name of the number.
        name: CounterName,
        /// How much is added.
        amount: f64,
        /// For how long the counter keeps the name.
        ttl: Duration,
    },
    /// Sets a timer.
    SetTimer {
        /// What the timer comes back with.
        token: TimerToken,
        /// When it fires, by the gateway's clock.
        at: Duration,
    },
    /// Sends a datagram to one gateway, or to all others.
    SendToPeer {
        /// The number of the gateway; none: all.
        peer: Option<u32>,
        /// The datagram.
        body: Vec<u8>,
    },
}

/// An action and the gateway that takes it.
#[derive(Clone, Debug)]
pub struct IssuedAction {
    /// The number of the gateway.
    pub gateway: usize,
    /// What it does.
    pub action: GatewayAction,
}

/// Decides for all gateways of a simulated run.
pub trait DecisionEngine {
    /// Something has happened at a gateway; `now` is the moment by the gateways' clock.
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), DecisionEngineError>;

    /// All actions since the last call, in the order in which they were taken.
    fn take_actions(&mut self) -> Result<Vec<IssuedAction>, DecisionEngineError>;
}

/// Why decisions could not be had.
#[derive(Debug, thiserror::Error)]
pub enum DecisionEngineError {
    /// The settings of a gateway are refused.
    #[error("gateway {gateway}")]
    Settings {
        /// The number of the gateway.
        gateway: usize,
        /// What is wrong with them.
        #[source]
        source: SettingsError,
    },
    /// The program of the other build could not be started.
    #[error("{program}")]
    Start {
        /// The path of the program.
        program: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The other build has closed the pipe from or to it, or it broke.
    #[error("the pipe to {program}")]
    Pipe {
        /// The path of the program.
        program: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The other build wrote a line that is no JSON.
    #[error("a line of {program}")]
    Line {
        /// The path of the program.
        program: String,
        /// What is wrong with the line.
        #[source]
        source: serde_json::Error,
    },
}
