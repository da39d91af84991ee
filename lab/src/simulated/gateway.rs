//! The state of one simulated gateway: its open requests, attempts in flight, calls on the counter and connections.

use super::connection_pool::ConnectionPool;
use crate::events::{AttemptId, ClientRequestId, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::CounterName;

/// A gateway together with the incarnation of its process. An event that was scheduled for an earlier incarnation is
/// dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct GatewayIncarnation {
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
}

/// Identifies an attempt within one gateway. The order is by request, then by attempt number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct RequestAttempt {
    pub(super) request: ClientRequestId,
    /// The number of the attempt within the request, counted from 0.
    pub(super) number: u32,
}

/// Identifies an attempt among those of all gateways.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct AttemptKey {
    pub(super) gateway: GatewayIncarnation,
    pub(super) attempt: RequestAttempt,
}

/// Identifies a call on the counter among those of all gateways.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct CounterCallKey {
    pub(super) gateway: GatewayIncarnation,
    /// The number of the call within the incarnation, counted from 1.
    pub(super) number: u64,
}

/// A request that the gateway has accepted. It is kept until it is answered and all its attempts have ended.
pub(super) struct OpenRequest {
    /// When the client stops waiting, since the start of the run.
    pub(super) deadline: Duration,
    /// Whether the gateway has sent the final answer.
    pub(super) answered: bool,
    /// The number of attempts that were started, whether or not they have ended.
    pub(super) attempts_started: u32,
    /// The number of attempts that have ended.
    pub(super) attempts_ended: u32,
}

impl OpenRequest {
    pub(super) fn new(deadline: Duration) -> OpenRequest {
        OpenRequest {
            deadline,
            answered: false,
            attempts_started: 0,
            attempts_ended: 0,
        }
    }

    fn is_finished(&self) -> bool {
        self.answered && self.attempts_ended >= self.attempts_started
    }
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Duration,
    /// The world's id of the attempt, once it has arrived at the server.
    pub(super) id: Option<AttemptId>,
}

/// A pending call on the counter.
pub(super) struct CounterCall {
    pub(super) name: CounterName,
    pub(super) amount: f64,
    pub(super) ttl: Duration,
}

/// A gateway's process, running or killed.
#[derive(Default)]
pub(super) struct SimulatedGateway {
    /// The number of starts and kills so far. It tells events for earlier processes from current ones.
    pub(super) incarnation: u32,
    pub(super) is_running: bool,
    pub(super) requests: BTreeMap<ClientRequestId, OpenRequest>,
    pub(super) attempts: BTreeMap<RequestAttempt, InFlightAttempt>,
    pub(super) counter_calls: BTreeMap<u64, CounterCall>,
    last_counter_call: u64,
    pub(super) connections: ConnectionPool,
    /// The number of changes of the endpoint list that the gateway has received.
    pub(super) changes_received: usize,
    /// Whether the endpoint list allows sending attempts to a server. It does not for a server that is missing here.
    ready_servers: BTreeMap<ServerId, bool>,
}

impl SimulatedGateway {
    /// Starts a new process with empty state.
    pub(super) fn start(&mut self) {
        *self = SimulatedGateway {
            incarnation: self.incarnation + 1,
            is_running: true,
            ..SimulatedGateway::default()
        };
    }

    /// Kills the process. Returns the state that it had.
    pub(super) fn kill(&mut self) -> SimulatedGateway {
        let killed = SimulatedGateway {
            incarnation: self.incarnation + 1,
            ..SimulatedGateway::default()
        };
        std::mem::replace(self, killed)
    }

    /// Whether the endpoint list allows sending attempts to a server.
    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        self.ready_servers.get(&server).copied().unwrap_or(false)
    }

    /// Records whether the endpoint list allows sending attempts to a server.
    pub(super) fn set_ready(&mut self, server: ServerId, ready: bool) {
        self.ready_servers.insert(server, ready);
    }

    /// Marks a request as answered. Returns false if it was already answered or is not open.
    pub(super) fn mark_answered(&mut self, request: ClientRequestId) -> bool {
        let Some(open) = self.requests.get_mut(&request) else {
            return false;
        };
        if open.answered {
            return false;
        }
        open.answered = true;
        if open.is_finished() {
            self.requests.remove(&request);
        }
        true
    }

    /// Counts the end of an attempt. Returns whether its request has been answered or is no longer open.
    pub(super) fn count_attempt_end(&mut self, request: ClientRequestId) -> bool {
        let Some(open) = self.requests.get_mut(&request) else {
            return true;
        };
        open.attempts_ended += 1;
        let answered = open.answered;
        if open.is_finished() {
            self.requests.remove(&request);
        }
        answered
    }

    /// The attempts in flight that have arrived at a server, with their ids in the world.
    pub(super) fn attempts_at(&self, server: ServerId) -> Vec<(RequestAttempt, AttemptId)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .filter_map(|(key, attempt)| Some((*key, attempt.id?)))
            .collect()
    }

    /// Records a pending call on the counter. Returns its number.
    pub(super) fn add_counter_call(&mut self, call: CounterCall) -> u64 {
        self.last_counter_call += 1;
        self.counter_calls.insert(self.last_counter_call, call);
        self.last_counter_call
    }
}
