//! Upstream attempts of a simulated run: over a gateway's connections to servers, and back.

use super::defect::InjectedDefect;
use super::event::Event;
use super::gateway::{AttemptKey, GatewayIncarnation, InFlightAttempt, RequestAttempt};
use super::requests::{client_request, request_id};
use super::run::SimulatedRun;
use crate::decision_engine::GatewayEvent;
use crate::error::LabError;
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, ServerId};
use crate::world::server::{ListingState, LoadReport};
use crate::world::{AttemptArrival, ServerResponse};
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, AttemptOutcome, AttemptResult, EndpointId, RequestId};

/// A gateway's node may use this part of its sockets for connections to servers: one in so many.
const SERVER_SOCKET_DIVISOR: usize = 3;

/// One-way times until the command on a new connection has arrived: the handshake takes a round trip first.
const NEW_CONNECTION_WAYS: u32 = 3;

/// Malformed responses of this kind and above begin with a whole, good one.
const FIRST_SERVING_MALFORMED: u32 = 4;

/// Over what an attempt is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Connection {
    Reused,
    New,
}

/// How an attempt ended, for its gateway.
struct AttemptCompletion {
    outcome: AttemptOutcome,
    settled_units: Option<f64>,
    /// The server's load by the name of the figure.
    load: BTreeMap<String, f64>,
    /// Whether the connection may carry another attempt.
    keeps_connection: bool,
}

impl AttemptCompletion {
    /// An end that closes the connection, if there is one.
    fn closing(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion {
            outcome,
            settled_units: None,
            load: BTreeMap::new(),
            keeps_connection: false,
        }
    }

    /// An end by a well-formed response, after which the connection may be used again.
    fn keeping(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion {
            keeps_connection: true,
            ..AttemptCompletion::closing(outcome)
        }
    }
}

/// A server's load by the names that it has on the wire.
fn load_figures(report: LoadReport) -> BTreeMap<String, f64> {
    let figures = [
        ("inflight", report.in_flight as f64),
        ("queue", report.queued as f64),
        ("util", report.utilization),
    ];
    figures
        .map(|(name, value)| (name.to_string(), value))
        .into()
}

impl SimulatedRun<'_> {
    /// A gateway's controller begins an attempt.
    pub(super) fn on_send(
        &mut self,
        gateway: usize,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
    ) -> Result<(), LabError> {
        let Some(request) = client_request(request) else {
            return Ok(());
        };
        self.send_attempt(gateway, request, endpoint, timeout)?;
        let duplicates = self.defect == Some(InjectedDefect::DuplicatesAttempts);
        if duplicates && self.duplicated.insert(request) {
            self.send_attempt(gateway, request, endpoint, timeout)?;
        }
        Ok(())
    }

    /// A gateway's controller gives an attempt up.
    pub(super) fn on_cancel(
        &mut self,
        gateway: usize,
        request: &RequestId,
        attempt: AttemptNumber,
    ) -> Result<(), LabError> {
        let Some(request) = client_request(request) else {
            return Ok(());
        };
        let key = AttemptKey {
            gateway: self.incarnation(gateway),
            attempt: RequestAttempt {
                request,
                number: attempt.0,
            },
        };
        if self.in_flight(key).is_none() {
            return Ok(());
        }
        self.close_attempt_connection(key);
        self.end_attempt(key, AttemptCompletion::closing(AttemptOutcome::Cancelled))
    }

    /// An attempt that has not ended, of a gateway that was not started anew since.
    fn in_flight(&mut self, key: AttemptKey) -> Option<&mut InFlightAttempt> {
        self.gateway(key.gateway)?.attempts.get_mut(&key.attempt)
    }

    /// Sends a request on as the edge node does: if the request is open and has an attempt and time left, and if
    /// the endpoint list allows it; over the connection that was used last, or a new one if there may be one.
    fn send_attempt(
        &mut self,
        gateway: usize,
        request: ClientRequestId,
        endpoint: &EndpointId,
        timeout: Duration,
    ) -> Result<(), LabError> {
        let Some(open) = self.gateways[gateway].requests.get_mut(&request) else {
            return Ok(());
        };
        let number = open.attempts_begun;
        open.attempts_begun += 1;
        let time_out_at = if timeout.is_zero() {
            open.deadline
        } else {
            open.deadline.min(self.now + timeout)
        };
        let answered = open.answered;
        let key = AttemptKey {
            gateway: self.incarnation(gateway),
            attempt: RequestAttempt { request, number },
        };
        let target = self.target_server(endpoint);
        let server = target.unwrap_or(ServerId(0));
        let in_flight = InFlightAttempt {
            server,
            sent_at: self.now,
            arrived_as: None,
        };
        self.gateways[gateway]
            .attempts
            .insert(key.attempt, in_flight);
        if answered || time_out_at <= self.now || number >= self.world.experiment.fleet.max_attempts
        {
            return self.end_attempt(key, AttemptCompletion::closing(AttemptOutcome::NotSent));
        }
        if target.is_none() || !self.gateways[gateway].is_ready(server) {
            return self.end_attempt(
                key,
                AttemptCompletion::closing(AttemptOutcome::ConnectFailed),
            );
        }
        let Some(connection) = self.obtain_connection(gateway, server) else {
            return self.end_attempt(key, AttemptCompletion::closing(AttemptOutcome::NotSent));
        };
        self.carry_attempt(key, server, connection);
        self.schedule(time_out_at, Event::AttemptTimeout(key));
        Ok(())
    }

    /// The server that an endpoint id means, as the program decides with the injected defect.
    fn target_server(&self, endpoint: &EndpointId) -> Option<ServerId> {
        let chosen = self.server_ids.get(&*endpoint.0).copied();
        if self.defect == Some(InjectedDefect::PrefersNewestServer) {
            return self.newest_server().or(chosen);
        }
        chosen
    }

    fn newest_server(&self) -> Option<ServerId> {
        let listed = self.world.servers().filter(|(_, server)| {
            server.listing == ListingState::Active && server.started_at.is_some()
        });
        listed
            .max_by_key(|(_, server)| server.started_at)
            .map(|(id, _)| id)
    }

    /// A connection for an attempt; none where all sockets carry attempts.
    fn obtain_connection(&mut self, gateway: usize, server: ServerId) -> Option<Connection> {
        let limit = self
            .world
            .experiment
            .fleet
            .sockets
            .div_ceil(SERVER_SOCKET_DIVISOR);
        let connections = &mut self.gateways[gateway].connections;
        if connections.take_idle(server) {
            return Some(Connection::Reused);
        }
        if connections.is_full(limit) {
            let evicted = connections.evict_oldest_idle()?;
            self.world.on_disconnect(evicted);
        }
        self.gateways[gateway].connections.open();
        self.world.on_connect(self.now, server);
        Some(Connection::New)
    }

    /// An attempt is on its way to its server.
    fn carry_attempt(&mut self, attempt: AttemptKey, server: ServerId, connection: Connection) {
        let way = self.world.one_way_delay(attempt.gateway.gateway, server);
        let ways = match connection {
            Connection::Reused => 1,
            Connection::New => NEW_CONNECTION_WAYS,
        };
        let arrival = Event::AttemptArrival {
            attempt,
            server,
            new_connection: connection == Connection::New,
        };
        self.schedule(self.now + way * ways, arrival);
    }

    pub(super) fn on_attempt_arrival(
        &mut self,
        key: AttemptKey,
        server: ServerId,
        new_connection: bool,
    ) -> Result<(), LabError> {
        if self.in_flight(key).is_none() {
            return Ok(());
        }
        let gateway = key.gateway.gateway;
        if self.world.refuses_connections(server) {
            let way = self.world.one_way_delay(gateway, server);
            self.schedule(self.now + way, Event::ConnectionLost(key));
            return Ok(());
        }
        let arrival = AttemptArrival {
            gateway,
            server,
            request: key.attempt.request,
            fresh_connection: new_connection,
        };
        let mut actions = Vec::new();
        let arrived_as = self
            .world
            .on_attempt_arrival(self.now, arrival, &mut actions);
        self.attempts.insert(arrived_as, key);
        if let Some(attempt) = self.in_flight(key) {
            attempt.arrived_as = Some(arrived_as);
        }
        self.perform_world_actions(actions)
    }

    /// The gateway closes an attempt's connection; the server sees it one way later.
    fn close_attempt_connection(&mut self, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        let server = attempt.server;
        if let Some(arrived_as) = attempt.arrived_as {
            self.abandon_attempt(key.gateway.gateway, server, arrived_as);
        }
    }

    /// A gateway no longer waits for an attempt that has reached its server.
    pub(super) fn abandon_attempt(&mut self, gateway: usize, server: ServerId, attempt: AttemptId) {
        self.attempts.remove(&attempt);
        let way = self.world.one_way_delay(gateway, server);
        self.schedule(self.now + way, Event::AttemptAbandoned(attempt));
    }

    /// All connections to a server are reset, and the attempts that it has with them.
    pub(super) fn reset_connections(&mut self, server: ServerId) {
        for gateway in 0..self.gateways.len() {
            let idle = self.gateways[gateway].connections.drop_idle_to(server);
            for _ in 0..idle {
                self.world.on_disconnect(server);
            }
            let incarnation = self.incarnation(gateway);
            for (attempt, arrived_as) in self.gateways[gateway].attempts_at(server) {
                self.attempts.remove(&arrived_as);
                self.world.on_attempt_abandoned(self.now, arrived_as);
                let way = self.world.one_way_delay(gateway, server);
                let key = AttemptKey {
                    gateway: incarnation,
                    attempt,
                };
                self.schedule(self.now + way, Event::ConnectionLost(key));
            }
        }
    }

    /// A server's response is on its way to the gateway.
    pub(super) fn carry_response(&mut self, attempt: AttemptId, response: ServerResponse) {
        let Some(key) = self.attempts.remove(&attempt) else {
            return;
        };
        let server = self.world.attempt(attempt).server;
        let way = self.world.one_way_delay(key.gateway.gateway, server);
        let event = Event::ServerResponse {
            attempt: key,
            response,
        };
        self.schedule(self.now + way, event);
    }

    pub(super) fn on_connection_lost(&mut self, key: AttemptKey) -> Result<(), LabError> {
        let Some(attempt) = self.in_flight(key) else {
            return Ok(());
        };
        let outcome = match attempt.arrived_as {
            Some(_) => AttemptOutcome::Reset,
            None => AttemptOutcome::ConnectFailed,
        };
        self.end_attempt(key, AttemptCompletion::closing(outcome))
    }

    pub(super) fn on_attempt_timeout(&mut self, key: AttemptKey) -> Result<(), LabError> {
        let Some(attempt) = self.in_flight(key) else {
            return Ok(());
        };
        let outcome = match attempt.arrived_as {
            Some(_) => AttemptOutcome::TimedOut,
            None => AttemptOutcome::ConnectFailed,
        };
        self.close_attempt_connection(key);
        self.end_attempt(key, AttemptCompletion::closing(outcome))
    }

    pub(super) fn on_server_response(
        &mut self,
        key: AttemptKey,
        response: ServerResponse,
    ) -> Result<(), LabError> {
        if self.in_flight(key).is_none() {
            return Ok(());
        }
        let end = match response {
            ServerResponse::Success { units, load } => AttemptCompletion {
                settled_units: units,
                load: load.map(load_figures).unwrap_or_default(),
                ..AttemptCompletion::keeping(AttemptOutcome::Success)
            },
            ServerResponse::Busy => AttemptCompletion::keeping(AttemptOutcome::Rejected),
            ServerResponse::Failed => AttemptCompletion::keeping(AttemptOutcome::ServerError),
            ServerResponse::Malformed(FIRST_SERVING_MALFORMED..) => {
                AttemptCompletion::closing(AttemptOutcome::Success)
            }
            // The server may have run what it answers with something that can't be read.
            ServerResponse::Malformed(_) => AttemptCompletion::closing(AttemptOutcome::ServerError),
        };
        if end.outcome == AttemptOutcome::Success {
            let request = request_id(key.attempt.request);
            let outcome = ClientOutcome::Served { correct: true };
            self.answer_request(key.gateway.gateway, &request, outcome, None);
        }
        self.end_attempt(key, end)
    }

    /// An attempt has ended for its gateway: its connection is kept or closed, and the controller is told.
    fn end_attempt(&mut self, key: AttemptKey, end: AttemptCompletion) -> Result<(), LabError> {
        let GatewayIncarnation { gateway, .. } = key.gateway;
        let RequestAttempt { request, number } = key.attempt;
        let ended = self
            .gateway(key.gateway)
            .and_then(|owner| owner.attempts.remove(&key.attempt));
        let Some(attempt) = ended else {
            return Ok(());
        };
        self.release_connection(gateway, attempt.server, &end);
        let request_closed = self.gateways[gateway].count_attempt_end(request);
        if !request_closed && self.retries_unsafely(end.outcome) {
            let server = self.world.server(attempt.server);
            let endpoint = server.name.as_str().into();
            self.send_attempt(gateway, request, &endpoint, Duration::ZERO)?;
        }
        let result = AttemptResult {
            outcome: end.outcome,
            latency: self.now.saturating_sub(attempt.sent_at),
            request_closed,
            settled_units: end.settled_units,
            load: end.load,
        };
        let event = GatewayEvent::AttemptEnd {
            request: request_id(request),
            attempt: AttemptNumber(number),
            result,
        };
        self.deliver(gateway, event)
    }

    /// Puts the connection of an attempt that has ended back, or closes it. An attempt that failed before a
    /// connection was opened for it is counted as closing one too.
    fn release_connection(&mut self, gateway: usize, server: ServerId, end: &AttemptCompletion) {
        let owner = &mut self.gateways[gateway];
        if end.keeps_connection && owner.is_ready(server) {
            owner.connections.put_idle(server, self.now);
        } else if end.outcome != AttemptOutcome::NotSent {
            owner.connections.close_used();
            self.world.on_disconnect(server);
        }
    }

    /// Whether the injected defect sends again what ended so.
    fn retries_unsafely(&self, outcome: AttemptOutcome) -> bool {
        let broke = matches!(
            outcome,
            AttemptOutcome::Reset | AttemptOutcome::TimedOut | AttemptOutcome::ServerError
        );
        broke && self.defect == Some(InjectedDefect::RetriesUnsafely)
    }
}
