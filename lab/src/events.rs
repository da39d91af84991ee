//! Identifiers of the requests, attempts and servers of a run, and the outcomes that the emulated platform observes.
//!
//! The world, the rule checker and the metrics share these types. This module depends on none of them.

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub struct $name(pub u32);
    )*};
}

id!(
    /// The id of a request that a client sends. Each retry by the client is a new request.
    ClientRequestId,
    /// The id of an operation that a client wants done. A client may send several requests for one operation.
    OperationId,
    /// The id of an attempt that a gateway sends to a server.
    AttemptId,
    /// The id of a call on a counter.
    CounterCallId,
    /// The id of a server: its index in the world. A replacement server gets a new index.
    ServerId,
);

/// How an attempt ended from the server's point of view.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The server sent a response other than a rejection.
    Answered,
    /// The server rejected the attempt without executing it.
    Rejected,
    /// The gateway cancelled the attempt, or its connection was closed.
    Abandoned,
}

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientOutcome {
    /// The client received a value.
    Served {
        /// Whether the value is the one that a server returned for this request.
        correct: bool,
    },
    /// The gateway rejected the request. The client may safely send it again.
    Rejected,
    /// The gateway reported an error.
    Failed,
    /// The gateway closed the connection before a complete answer.
    Disconnected,
}

/// The five rules that are checked in every run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request gets exactly one final answer, in time, and no attempt is sent for it afterwards.
    OneAnswer,
    /// A request has no effect twice, and never more than one attempt in flight.
    NoEffectTwice,
    /// A gateway sends no attempt to a server that it knows to be draining or removed, once the drain grace is over.
    Drains,
    /// Gateways that know of a server's start do not overload it while it is still warming up.
    ColdServers,
    /// A customer gets no more units through than its hard ceiling allows.
    Ceilings,
}

/// A violation of a rule, with the fields needed to find the request in the gateways' logs.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The violated rule.
    pub rule: Rule,
    /// When the rule was violated, in seconds since the start of the run.
    #[serde(alias = "at")]
    pub at_seconds: f64,
    /// The id of the request, if the violation concerns one.
    #[serde(alias = "call")]
    pub request: Option<u32>,
    /// The index of the gateway that violated the rule, if it was a single one.
    pub gateway: Option<usize>,
    /// A description of what was observed.
    #[serde(alias = "what")]
    pub description: String,
}

impl std::fmt::Display for RuleViolation {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "{:?} broken at {:.3} s", self.rule, self.at_seconds)?;
        if let Some(request) = self.request {
            write!(out, ", request {request}")?;
        }
        if let Some(gateway) = self.gateway {
            write!(out, ", gateway {gateway}")?;
        }
        write!(out, ": {}", self.description)
    }
}
