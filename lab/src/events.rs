//! Identifiers of a run's requests, attempts and servers, and what the emulated platform observes about them.
//!
//! The world, the rule checker and the metrics all speak in these terms and depend on this module alone; it
//! depends on none of them.

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($($(#[$about:meta])* $name:ident),* $(,)?) => {$(
        $(#[$about])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub struct $name(pub u32);
    )*};
}

id!(
    /// One request as a client sends it; each retry by the client is a new one.
    ClientRequestId,
    /// What a client wants done, however many requests it sends for it.
    OperationId,
    /// One attempt of a gateway at a server, as the server sees it.
    AttemptId,
    /// One call on a counter.
    CounterCallId,
    /// A server by its index in the world; a replacement takes a new index.
    ServerId,
);

/// How an attempt ended, as its server saw it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The server sent an answer of some kind.
    Answered,
    /// The server rejected it unexecuted.
    Rejected,
    /// Given up by the gateway, or its connection has gone.
    Abandoned,
}

/// A client's final answer, as the client saw it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientOutcome {
    /// A value came back.
    Served {
        /// Whether it is the value that a server made for this request.
        correct: bool,
    },
    /// The gateway declined to execute it; it may be sent again.
    Rejected,
    /// The gateway reported an error.
    Failed,
    /// The gateway ended the connection with no whole answer.
    Disconnected,
}

/// The five rules that every run is held to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer, in time, and nothing sent afterwards.
    OneAnswer,
    /// No effect twice, and never two attempts in flight.
    NoEffectTwice,
    /// No attempt at a server that a gateway knows to be draining or removed.
    Drains,
    /// No server that is still warming up is overloaded.
    ColdServers,
    /// No customer gets more units through than its hard ceiling.
    Ceilings,
}

/// A broken rule, with what is needed to find the request in the gateways' logs.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The rule that was broken.
    pub rule: Rule,
    /// Seconds since the start of the run.
    #[serde(alias = "at")]
    pub at_seconds: f64,
    /// The request that it was broken for, where it concerns one.
    #[serde(alias = "call")]
    pub request: Option<u32>,
    /// The gateway that broke it, where it was one.
    pub gateway: Option<usize>,
    /// What was observed, in words.
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
