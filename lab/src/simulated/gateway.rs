//! One simulated gateway: its open requests, its attempts, its calls on the counter and its connections.

use super::connection_pool::ConnectionPool;
use crate::events::{AttemptId, ClientRequestId, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::CounterName;

/// A gateway between two starts of its process: what was meant for an earlier one reaches nobody.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct GatewayIncarnation {
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
}

/// An attempt among those of one gateway; ordered by request, then number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct RequestAttempt {
    pub(super) request: ClientRequestId,
    /// Counted from 0.
    pub(super) number: u32,
}

/// An attempt among those of all gateways.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct AttemptKey {
    pub(super) gateway: GatewayIncarnation,
    pub(super) attempt: RequestAttempt,
}

/// A call on the counter among those of all gateways.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct CounterCallKey {
    pub(super) gateway: GatewayIncarnation,
    /// Counted from 1 at each incarnation.
    pub(super) number: u64,
}

/// A request that the gateway has taken. It is kept until it is answered and its attempts have ended.
pub(super) struct OpenRequest {
    /// When the client stops waiting.
    pub(super) deadline: Duration,
    /// Whether the final answer was given.
    pub(super) answered: bool,
    /// Attempts begun, and those of them that have ended.
    pub(super) attempts_begun: u32,
    pub(super) attempts_ended: u32,
}

impl OpenRequest {
    pub(super) fn new(deadline: Duration) -> OpenRequest {
        OpenRequest {
            deadline,
            answered: false,
            attempts_begun: 0,
            attempts_ended: 0,
        }
    }

    fn is_finished(&self) -> bool {
        self.answered && self.attempts_ended >= self.attempts_begun
    }
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Duration,
    /// How the world knows it, once it has reached the server.
    pub(super) arrived_as: Option<AttemptId>,
}

/// A call on the counter that is not answered.
pub(super) struct CounterCall {
    pub(super) name: CounterName,
    pub(super) amount: f64,
    pub(super) ttl: Duration,
}

/// A gateway's process, running or killed.
#[derive(Default)]
pub(super) struct SimulatedGateway {
    /// Counts starts and kills, so that what was under way before is told apart.
    pub(super) incarnation: u32,
    pub(super) is_running: bool,
    pub(super) requests: BTreeMap<ClientRequestId, OpenRequest>,
    pub(super) attempts: BTreeMap<RequestAttempt, InFlightAttempt>,
    pub(super) counter_calls: BTreeMap<u64, CounterCall>,
    last_counter_call: u64,
    pub(super) connections: ConnectionPool,
    /// How many changes of the endpoint list it has been notified of.
    pub(super) changes_seen: usize,
    /// Whether the endpoint list lets it send to a server.
    ready_servers: BTreeMap<ServerId, bool>,
}

impl SimulatedGateway {
    /// Starts its process anew, with nothing in it.
    pub(super) fn start(&mut self) {
        *self = SimulatedGateway {
            incarnation: self.incarnation + 1,
            is_running: true,
            ..SimulatedGateway::default()
        };
    }

    /// Kills its process; returns what it held.
    pub(super) fn kill(&mut self) -> SimulatedGateway {
        let killed = SimulatedGateway {
            incarnation: self.incarnation + 1,
            ..SimulatedGateway::default()
        };
        std::mem::replace(self, killed)
    }

    /// Whether the endpoint list lets it send to a server.
    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        self.ready_servers.get(&server).copied().unwrap_or(false)
    }

    /// Notes whether the endpoint list lets it send to a server.
    pub(super) fn set_ready(&mut self, server: ServerId, ready: bool) {
        self.ready_servers.insert(server, ready);
    }

    /// Marks a request as answered; false where it was before, or is not open.
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

    /// Counts the end of an attempt; says whether its request has had its final answer or is no longer open.
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

    /// The attempts that have reached a server.
    pub(super) fn attempts_at(&self, server: ServerId) -> Vec<(RequestAttempt, AttemptId)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .filter_map(|(key, attempt)| Some((*key, attempt.arrived_as?)))
            .collect()
    }

    /// Notes a call on the counter; returns its number.
    pub(super) fn add_counter_call(&mut self, call: CounterCall) -> u64 {
        self.last_counter_call += 1;
        self.counter_calls.insert(self.last_counter_call, call);
        self.last_counter_call
    }
}
