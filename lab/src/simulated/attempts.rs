//! The upstream attempts of a simulated run: connections from gateways to servers, attempts on their way to the
//! servers, and responses on their way back.

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

/// The share of a gateway's sockets that it may use for connections to servers is 1 / `SERVER_SOCKET_DIVISOR`, as in
/// the edge node.
const SERVER_SOCKET_DIVISOR: usize = 3;

/// The number of one-way delays until the first command on a new connection arrives: the handshake takes a round trip
/// before it.
const NEW_CONNECTION_ONE_WAY_DELAYS: u32 = 3;

/// Malformed responses of this kind and all higher kinds begin with a complete, valid response.
const FIRST_MALFORMED_KIND_WITH_VALID_RESPONSE: u32 = 4;

/// The connection that an attempt is sent over.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Connection {
    Reused,
    New,
}

/// How an attempt ended, as its gateway sees it.
struct AttemptCompletion {
    outcome: AttemptOutcome,
    settled_units: Option<f64>,
    /// The load that the server reported, by metric name.
    load: BTreeMap<String, f64>,
    /// Whether the connection may be reused for another attempt.
    is_connection_reusable: bool,
}

impl AttemptCompletion {
    /// The end of an attempt after which its connection, if it has one, is closed.
    fn closing_connection(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion {
            outcome,
            settled_units: None,
            load: BTreeMap::new(),
            is_connection_reusable: false,
        }
    }

    /// The end of an attempt by a well-formed response, after which its connection may be reused.
    fn keeping_connection(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion {
            is_connection_reusable: true,
            ..AttemptCompletion::closing_connection(outcome)
        }
    }
}

/// A server's load, by the metric names of the wire format.
fn load_metrics(report: LoadReport) -> BTreeMap<String, f64> {
    let metrics = [
        ("inflight", report.in_flight as f64),
        ("queue", report.queued as f64),
        ("util", report.utilization),
    ];
    metrics
        .map(|(name, value)| (name.to_string(), value))
        .into()
}

impl SimulatedRun<'_> {
    /// Handles the start of an attempt by a gateway's controller.
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
        if duplicates && self.duplicated_requests.insert(request) {
            self.send_attempt(gateway, request, endpoint, timeout)?;
        }
        Ok(())
    }

    /// Handles the cancellation of an attempt by a gateway's controller.
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
        self.end_attempt(
            key,
            AttemptCompletion::closing_connection(AttemptOutcome::Cancelled),
        )
    }

    /// Returns an attempt in flight. Returns `None` if it has ended or if its gateway's process has been started or
    /// killed since.
    fn in_flight(&mut self, key: AttemptKey) -> Option<&mut InFlightAttempt> {
        self.gateway(key.gateway)?.attempts.get_mut(&key.attempt)
    }

    /// Sends an attempt by the rules of the edge node. The request must be open and unanswered, must not have used up
    /// its attempts or its time, and the endpoint list must allow sending to the server. The attempt uses the most
    /// recently used idle connection to the server, or a new one. At the limit on connections, a new one replaces the
    /// connection that has been idle for the longest time.
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
        let number = open.attempts_started;
        open.attempts_started += 1;
        let times_out_at = if timeout.is_zero() {
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
            id: None,
        };
        self.gateways[gateway]
            .attempts
            .insert(key.attempt, in_flight);
        if answered
            || times_out_at <= self.now
            || number >= self.world.experiment.fleet.max_attempts
        {
            return self.end_attempt(
                key,
                AttemptCompletion::closing_connection(AttemptOutcome::NotSent),
            );
        }
        if target.is_none() || !self.gateways[gateway].is_ready(server) {
            return self.end_attempt(
                key,
                AttemptCompletion::closing_connection(AttemptOutcome::ConnectFailed),
            );
        }
        let Some(connection) = self.obtain_connection(gateway, server) else {
            return self.end_attempt(
                key,
                AttemptCompletion::closing_connection(AttemptOutcome::NotSent),
            );
        };
        self.schedule_attempt_arrival(key, server, connection);
        self.schedule(times_out_at, Event::AttemptTimeout(key));
        Ok(())
    }

    /// The server that an attempt for an endpoint id goes to. An injected defect may replace it by the newest server.
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

    /// Obtains a connection for an attempt. Returns `None` if the limit is reached and no connection is idle.
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

    /// Schedules the arrival of an attempt at its server.
    fn schedule_attempt_arrival(
        &mut self,
        attempt: AttemptKey,
        server: ServerId,
        connection: Connection,
    ) {
        let one_way_delay = self.world.one_way_delay(attempt.gateway.gateway, server);
        let delay_count = match connection {
            Connection::Reused => 1,
            Connection::New => NEW_CONNECTION_ONE_WAY_DELAYS,
        };
        let arrival = Event::AttemptArrival {
            attempt,
            server,
            new_connection: connection == Connection::New,
        };
        self.schedule(self.now + one_way_delay * delay_count, arrival);
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
            let delay = self.world.one_way_delay(gateway, server);
            self.schedule(self.now + delay, Event::ConnectionLost(key));
            return Ok(());
        }
        let arrival = AttemptArrival {
            gateway,
            server,
            request: key.attempt.request,
            fresh_connection: new_connection,
        };
        let mut actions = Vec::new();
        let id = self
            .world
            .on_attempt_arrival(self.now, arrival, &mut actions);
        self.attempts.insert(id, key);
        if let Some(attempt) = self.in_flight(key) {
            attempt.id = Some(id);
        }
        self.perform_world_actions(actions)
    }

    /// Closes an attempt's connection at the gateway. The server notices it after a one-way delay.
    fn close_attempt_connection(&mut self, key: AttemptKey) {
        let Some(attempt) = self.in_flight(key) else {
            return;
        };
        let server = attempt.server;
        if let Some(id) = attempt.id {
            self.abandon_attempt(key.gateway.gateway, server, id);
        }
    }

    /// Schedules the time at which a server notices that the gateway no longer waits for an attempt.
    pub(super) fn abandon_attempt(&mut self, gateway: usize, server: ServerId, attempt: AttemptId) {
        self.attempts.remove(&attempt);
        let delay = self.world.one_way_delay(gateway, server);
        self.schedule(self.now + delay, Event::AttemptAbandoned(attempt));
    }

    /// Resets all connections to a server, together with the attempts on them.
    pub(super) fn reset_connections(&mut self, server: ServerId) {
        for gateway in 0..self.gateways.len() {
            let idle = self.gateways[gateway].connections.drop_idle_to(server);
            for _ in 0..idle {
                self.world.on_disconnect(server);
            }
            let incarnation = self.incarnation(gateway);
            for (attempt, id) in self.gateways[gateway].attempts_at(server) {
                self.attempts.remove(&id);
                self.world.on_attempt_abandoned(self.now, id);
                let delay = self.world.one_way_delay(gateway, server);
                let key = AttemptKey {
                    gateway: incarnation,
                    attempt,
                };
                self.schedule(self.now + delay, Event::ConnectionLost(key));
            }
        }
    }

    /// Schedules the arrival of a server's response at the gateway.
    pub(super) fn schedule_server_response(
        &mut self,
        attempt: AttemptId,
        response: ServerResponse,
    ) {
        let Some(key) = self.attempts.remove(&attempt) else {
            return;
        };
        let server = self.world.attempt(attempt).server;
        let delay = self.world.one_way_delay(key.gateway.gateway, server);
        let event = Event::ServerResponse {
            attempt: key,
            response,
        };
        self.schedule(self.now + delay, event);
    }

    pub(super) fn on_connection_lost(&mut self, key: AttemptKey) -> Result<(), LabError> {
        let Some(attempt) = self.in_flight(key) else {
            return Ok(());
        };
        // An attempt without an id has not arrived at its server.
        let outcome = match attempt.id {
            Some(_) => AttemptOutcome::Reset,
            None => AttemptOutcome::ConnectFailed,
        };
        self.end_attempt(key, AttemptCompletion::closing_connection(outcome))
    }

    pub(super) fn on_attempt_timeout(&mut self, key: AttemptKey) -> Result<(), LabError> {
        let Some(attempt) = self.in_flight(key) else {
            return Ok(());
        };
        // An attempt without an id has not arrived at its server.
        let outcome = match attempt.id {
            Some(_) => AttemptOutcome::TimedOut,
            None => AttemptOutcome::ConnectFailed,
        };
        self.close_attempt_connection(key);
        self.end_attempt(key, AttemptCompletion::closing_connection(outcome))
    }

    pub(super) fn on_server_response(
        &mut self,
        key: AttemptKey,
        response: ServerResponse,
    ) -> Result<(), LabError> {
        if self.in_flight(key).is_none() {
            return Ok(());
        }
        let completion = match response {
            ServerResponse::Success { units, load } => AttemptCompletion {
                settled_units: units,
                load: load.map(load_metrics).unwrap_or_default(),
                ..AttemptCompletion::keeping_connection(AttemptOutcome::Success)
            },
            ServerResponse::Busy => AttemptCompletion::keeping_connection(AttemptOutcome::Rejected),
            ServerResponse::Failed => {
                AttemptCompletion::keeping_connection(AttemptOutcome::ServerError)
            }
            ServerResponse::Malformed(FIRST_MALFORMED_KIND_WITH_VALID_RESPONSE..) => {
                AttemptCompletion::closing_connection(AttemptOutcome::Success)
            }
            // The server may have executed the attempt, although its response can't be parsed.
            ServerResponse::Malformed(_) => {
                AttemptCompletion::closing_connection(AttemptOutcome::ServerError)
            }
        };
        if completion.outcome == AttemptOutcome::Success {
            let request = request_id(key.attempt.request);
            let outcome = ClientOutcome::Served { correct: true };
            self.answer_request(key.gateway.gateway, &request, outcome, None);
        }
        self.end_attempt(key, completion)
    }

    /// Ends an attempt at its gateway: keeps or closes its connection, and reports the end to the controller.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        completion: AttemptCompletion,
    ) -> Result<(), LabError> {
        let GatewayIncarnation { gateway, .. } = key.gateway;
        let RequestAttempt { request, number } = key.attempt;
        let ended = self
            .gateway(key.gateway)
            .and_then(|owner| owner.attempts.remove(&key.attempt));
        let Some(attempt) = ended else {
            return Ok(());
        };
        self.release_connection(gateway, attempt.server, &completion);
        let request_closed = self.gateways[gateway].count_attempt_end(request);
        if !request_closed && self.retries_unsafely(completion.outcome) {
            let server = self.world.server(attempt.server);
            let endpoint = server.name.as_str().into();
            self.send_attempt(gateway, request, &endpoint, Duration::ZERO)?;
        }
        let result = AttemptResult {
            outcome: completion.outcome,
            latency: self.now.saturating_sub(attempt.sent_at),
            request_closed,
            settled_units: completion.settled_units,
            load: completion.load,
        };
        let event = GatewayEvent::AttemptEnd {
            request: request_id(request),
            attempt: AttemptNumber(number),
            result,
        };
        self.deliver(gateway, event)
    }

    /// Returns the connection of an attempt that has ended to the pool, or closes it. A connection is also counted as
    /// closed if the attempt failed before one was opened, unless the outcome is `NotSent`.
    fn release_connection(
        &mut self,
        gateway: usize,
        server: ServerId,
        completion: &AttemptCompletion,
    ) {
        let owner = &mut self.gateways[gateway];
        if completion.is_connection_reusable && owner.is_ready(server) {
            owner.connections.put_idle(server, self.now);
        } else if completion.outcome != AttemptOutcome::NotSent {
            owner.connections.close_used();
            self.world.on_disconnect(server);
        }
    }

    /// Whether the injected defect retries an attempt with this outcome, although a retry may be unsafe.
    fn retries_unsafely(&self, outcome: AttemptOutcome) -> bool {
        let may_have_executed = matches!(
            outcome,
            AttemptOutcome::Reset | AttemptOutcome::TimedOut | AttemptOutcome::ServerError
        );
        may_have_executed && self.defect == Some(InjectedDefect::RetriesUnsafely)
    }
}
