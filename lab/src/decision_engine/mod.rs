//! Decision engines make the decisions of the gateways in a simulated run. [`InProcessEngine`] runs this build's
//! controller in this process, [`ExternalEngine`] that of another build over the simulator protocol. Both receive the
//! events of the gateways and return the actions that the gateways take.

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

/// An event at a gateway, named after the controller's entry points.
pub enum GatewayEvent {
    /// The gateway's process starts.
    Start {
        /// The settings, as the JSON object that the platform passes to a gateway.
        settings: Value,
        /// The seed of the controller's random number generator.
        seed: u64,
    },
    /// The gateway's process is killed.
    Kill,
    /// Discovery reports an update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// A client request has arrived.
    Request(Request),
    /// An upstream attempt has ended.
    AttemptEnd {
        /// The request that the attempt was for.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// The shared counter has replied to the oldest pending call for a name, or that call has failed.
    CounterReply {
        /// The name of the value on the counter that the call was for.
        name: CounterName,
        /// The reply, or what is known about a call that has failed.
        reply: CounterReply,
    },
    /// The client of a request has closed its connection.
    ClientDisconnect(RequestId),
    /// A timer has fired.
    Timer(TimerToken),
}

/// An action of a gateway, named after the functions of [`wellcrank::port::Port`].
#[derive(Clone, Debug)]
pub enum GatewayAction {
    /// Starts an upstream attempt.
    Send {
        /// The request to forward.
        request: RequestId,
        /// The endpoint that receives the attempt.
        endpoint: EndpointId,
        /// The timeout of the attempt. Zero means until the request's deadline.
        timeout: Duration,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request that the attempt is for.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Sends the final answer that the request was rejected and that a retry is safe.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// Sends the final answer that the request failed.
    Fail {
        /// The request to answer.
        request: RequestId,
    },
    /// Adds an amount to a value on the shared counter.
    AddToCounter {
        /// The name of the value.
        name: CounterName,
        /// The amount to add; negative amounts subtract.
        amount: f64,
        /// How long the counter keeps the value, from the first call with its name.
        ttl: Duration,
    },
    /// Sets a timer.
    SetTimer {
        /// The token that is returned to the controller when the timer fires.
        token: TimerToken,
        /// The time at which it fires, on the gateway's clock.
        at: Duration,
    },
    /// Sends a datagram to one gateway, or to all other gateways.
    SendToPeer {
        /// The index of the receiving gateway. `None` means all other gateways.
        peer: Option<u32>,
        /// The payload of the datagram.
        body: Vec<u8>,
    },
}

/// An action and the gateway that issued it.
#[derive(Clone, Debug)]
pub struct IssuedAction {
    /// The index of the gateway.
    pub gateway: usize,
    /// What the gateway does.
    pub action: GatewayAction,
}

/// Makes the decisions of all gateways in a simulated run.
pub trait DecisionEngine {
    /// Delivers an event to a gateway's controller. `now` is the time on the gateways' clock.
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), DecisionEngineError>;

    /// Returns all actions that were issued since the last call, in the order in which they were issued.
    fn take_actions(&mut self) -> Result<Vec<IssuedAction>, DecisionEngineError>;
}

/// An error of a decision engine.
#[derive(Debug, thiserror::Error)]
pub enum DecisionEngineError {
    /// The settings of a gateway are invalid.
    #[error("the settings of gateway {gateway} are invalid")]
    Settings {
        /// The index of the gateway.
        gateway: usize,
        /// What is wrong with the settings.
        #[source]
        source: SettingsError,
    },
    /// The program of an external engine could not be started.
    #[error("cannot start the decision engine program '{program}'")]
    Start {
        /// The path of the program.
        program: String,
        /// The I/O error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The pipe to or from an external engine has been closed, or reading or writing it failed.
    #[error("cannot exchange messages with the decision engine program '{program}'")]
    Pipe {
        /// The path of the program.
        program: String,
        /// The I/O error of the operating system.
        #[source]
        source: io::Error,
    },
    /// An external engine wrote a line that is not valid JSON.
    #[error("expected a line of JSON from the decision engine program '{program}', got '{line}'")]
    Line {
        /// The path of the program.
        program: String,
        /// The line, without the line end.
        line: String,
        /// What is wrong with the line.
        #[source]
        source: serde_json::Error,
    },
}
