//! Connections to endpoints: one upstream attempt at a time on each, the latest used first, closed before the endpoint
//! would. Whether the last byte of a command was written decides if it may have run; nothing is sent again from here.

mod attempt;
mod endpoint_table;
mod response;
mod upstream_connection;

use crate::clients::Clients;
use crate::component::Component;
use crate::discovery::{ListedEndpoint, ParsedUpdate};
use crate::invariants::invariant;
use crate::reactor::{Reactor, Serial};
use crate::readiness::Readiness;
use crate::requests::OpenRequests;
use crate::resp::{self, Reply};
use crate::stream::BufferedStream;
use attempt::{advertised_timeout, report_end, result_without_response, Attempt, AttemptState};
use endpoint_table::EndpointTable;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use upstream_connection::{idle_lifetime, outcome_on_open_error, UpstreamConnection};
use wellcrank::port::{AttemptNumber, AttemptOutcome, EndpointId, RequestId};

/// A second response to an attempt may come some milliseconds behind the first: only a connection that has been idle
/// for so long is used again. Trade-off: a busy gateway opens a few connections more.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// A turn of the event loop that has gone on for so long has not seen which clients have left and which endpoints drain
/// since: an attempt that is to begin is deferred until the poll has been asked again.
const LONG_TURN: Duration = Duration::from_millis(50);

/// An attempt that is to be begun.
pub(crate) struct NewAttempt<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) endpoint: &'a EndpointId,
    /// Until when its response is waited for.
    pub(crate) deadline: Duration,
    /// By when the whole command must have gone out.
    pub(crate) send_by: Duration,
}

/// All connections to endpoints and the attempts that they carry.
#[derive(Default)]
pub(crate) struct Pool {
    connections: Slab<UpstreamConnection>,
    endpoints: EndpointTable,
    /// The connection that carries each attempt.
    in_flight: BTreeMap<(RequestId, AttemptNumber), usize>,
}

/// Gives a value to the client that asked for it, if it still waits.
fn serve_client(
    reactor: &mut Reactor,
    request: &RequestId,
    value: &[u8],
    requests: &mut OpenRequests,
    clients: &mut Clients,
) {
    if let Some(open) = requests.get_mut(request).filter(|open| !open.answered) {
        open.answered = true;
        reactor.metrics.served += 1;
        clients.respond(reactor, open.slot, |out| resp::write_bulk(out, value));
    }
}

impl Pool {
    /// How many connections are open.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Reports that an attempt was not begun.
    pub(crate) fn report_not_sent(
        &mut self,
        reactor: &mut Reactor,
        request: &RequestId,
        number: AttemptNumber,
    ) {
        let result = result_without_response(AttemptOutcome::NotSent, Duration::ZERO);
        report_end(reactor, request.clone(), number, result);
    }

    /// Makes an update of the endpoint list one that the controller and the pool can follow.
    pub(crate) fn complete_update(&self, update: &mut ParsedUpdate) {
        self.endpoints.complete_update(update);
    }

    /// Discovery has told: addresses are known, and what has not begun at an endpoint that drains or is gone is not
    /// begun any more.
    pub(crate) fn apply_update(
        &mut self,
        reactor: &mut Reactor,
        is_snapshot: bool,
        entries: Vec<ListedEndpoint>,
    ) {
        let mut closing = self.endpoints.apply_update(is_snapshot, entries);
        let unbegun = self.connections.iter().filter(|(_, connection)| {
            connection.has_unbegun_attempt() && !self.endpoints.is_ready(&connection.endpoint)
        });
        closing.extend(unbegun.map(|(key, _)| key));
        for key in closing {
            self.fail_connection(reactor, key);
        }
        let connected: BTreeSet<&EndpointId> = self
            .connections
            .iter()
            .map(|(_, connection)| &connection.endpoint)
            .collect();
        self.endpoints.forget_unconnected(&connected);
    }

    /// Begins an upstream attempt. The one place every send passes: its end is reported in any case.
    pub(crate) fn send(&mut self, reactor: &mut Reactor, attempt: &NewAttempt) {
        match self.connection_to(reactor, attempt.endpoint) {
            Ok(key) => self.assign(reactor, key, attempt),
            Err(outcome) => {
                let result = result_without_response(outcome, Duration::ZERO);
                report_end(reactor, attempt.request.clone(), attempt.number, result);
            }
        }
    }

    /// A connection that carries nothing: the latest used idle one, or a new one.
    fn connection_to(
        &mut self,
        reactor: &mut Reactor,
        endpoint: &EndpointId,
    ) -> Result<usize, AttemptOutcome> {
        if !self.endpoints.is_ready(endpoint) {
            return Err(AttemptOutcome::ConnectFailed);
        }
        if let Some(key) = self.reuse_idle_connection(reactor, endpoint) {
            return Ok(key);
        }
        let is_full = self.connections.len() >= reactor.budget.upstream;
        if is_full && !self.evict_idle_connection(reactor) {
            return Err(AttemptOutcome::NotSent);
        }
        self.open_connection(reactor, endpoint)
    }

    fn open_connection(
        &mut self,
        reactor: &mut Reactor,
        endpoint: &EndpointId,
    ) -> Result<usize, AttemptOutcome> {
        let known = self
            .endpoints
            .get_mut(endpoint)
            .ok_or(AttemptOutcome::ConnectFailed)?;
        let key = self.connections.vacant_key();
        let stream = BufferedStream::connect(reactor, known.address, Component::Upstream, key)
            .map_err(|error| outcome_on_open_error(&error))?;
        let connection = UpstreamConnection {
            stream,
            endpoint: endpoint.clone(),
            incarnation: known.incarnation,
            serial: reactor.next_serial(),
            attempt: None,
            last_used: reactor.now,
        };
        Ok(self.connections.insert(connection))
    }

    /// Has a connection carry an attempt; its command is written when the turn ends and the connection is up.
    fn assign(&mut self, reactor: &mut Reactor, key: usize, new: &NewAttempt) {
        let connection = &mut self.connections[key];
        invariant!(
            reactor,
            connection.attempt.is_none(),
            "one upstream attempt on a connection"
        );
        connection.stream.schedule_flush(reactor);
        let connected_by = if connection.stream.is_connected {
            new.deadline
        } else {
            reactor.now + reactor.connect_timeout()
        };
        let first_deadline = new.deadline.min(new.send_by).min(connected_by);
        let timer = reactor.set_deadline(first_deadline, connection.timer(key));
        connection.attempt = Some(Attempt {
            request: new.request.clone(),
            number: new.number,
            started_at: reactor.now,
            deadline: new.deadline,
            send_by: new.send_by,
            timer,
            state: AttemptState::Queued,
        });
        self.in_flight
            .insert((new.request.clone(), new.number), key);
    }

    /// The connection to an endpoint that was idle for the shortest time, but for `MIN_IDLE_BEFORE_REUSE` at least, and
    /// not for as long as the endpoint may keep it open. One on which anything has come since its last response, or that
    /// has ended, is no longer of use: what came would serve the next attempt.
    fn reuse_idle_connection(
        &mut self,
        reactor: &mut Reactor,
        endpoint: &EndpointId,
    ) -> Option<usize> {
        let lifetime = idle_lifetime(reactor);
        loop {
            let idle = &mut self.endpoints.get_mut(endpoint)?.idle;
            let position = idle.iter().rposition(|key| {
                self.connections[*key].last_used + MIN_IDLE_BEFORE_REUSE <= reactor.now
            })?;
            let key = idle.remove(position);
            let connection = &mut self.connections[key];
            let is_fresh =
                lifetime.is_none_or(|lifetime| reactor.now < connection.last_used + lifetime);
            if is_fresh
                && connection.stream.read(reactor, resp::MAX_MESSAGE)
                && connection.stream.input.is_empty()
            {
                return Some(key);
            }
            self.close(reactor, key);
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    fn evict_idle_connection(&mut self, reactor: &mut Reactor) -> bool {
        let longest_idle = self
            .endpoints
            .iter()
            .filter_map(|known| known.idle.first().copied())
            .min_by_key(|key| self.connections[*key].last_used);
        if let Some(key) = longest_idle {
            self.close(reactor, key);
        }
        longest_idle.is_some()
    }

    /// Gives an upstream attempt up, by closing its connection.
    pub(crate) fn cancel(
        &mut self,
        reactor: &mut Reactor,
        request: &RequestId,
        number: AttemptNumber,
    ) {
        if let Some(key) = self.in_flight.get(&(request.clone(), number)).copied() {
            self.end_with(reactor, key, Attempt::outcome_on_cancel);
        }
    }

    /// The time of an attempt is up, or that to connect for it, or that for its command to go out.
    pub(crate) fn on_timeout(&mut self, reactor: &mut Reactor, key: usize, serial: Serial) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.serial == serial)
        else {
            return;
        };
        let is_connected = connection.stream.is_connected;
        let timer = connection.timer(key);
        let Some(attempt) = &mut connection.attempt else {
            return;
        };
        let deadline = attempt.current_deadline();
        if !is_connected || reactor.now >= deadline {
            return self.end_with(reactor, key, |ended| ended.outcome_on_timeout(is_connected));
        }
        if attempt.state == AttemptState::ReadingResponse {
            return self.end_malformed(reactor, key);
        }
        attempt.timer = reactor.set_deadline(deadline, timer);
    }

    /// The poll tells of a connection.
    pub(crate) fn on_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
        requests: &mut OpenRequests,
        clients: &mut Clients,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let wants_to_write =
            connection.has_unbegun_attempt() || connection.stream.pending_bytes() > 0;
        if readiness.is_writable() && wants_to_write {
            if connection.stream.check_connected().is_err() {
                return self.fail_connection(reactor, key);
            }
            self.flush(reactor, key, requests);
        }
        if readiness.should_read() {
            self.read_response(reactor, key, requests, clients);
        }
    }

    /// Reads what has come on a connection, if it is still there.
    fn read_response(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
        clients: &mut Clients,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.read_would_block = false;
        let is_open = connection.stream.read(reactor, resp::MAX_MESSAGE);
        let exceeds_a_response = !connection.stream.read_would_block;
        self.handle_input(reactor, key, requests, clients);
        if !self.connections.contains(key) {
            return;
        }
        if !is_open {
            self.fail_connection(reactor, key);
        } else if exceeds_a_response {
            self.end_malformed(reactor, key);
        }
    }

    /// Hands a whole response to the attempt that waits for it.
    fn handle_input(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
        clients: &mut Clients,
    ) {
        let connection = &mut self.connections[key];
        if connection.stream.input.is_empty() {
            return;
        }
        // What comes before the command has gone out is no response to it.
        let Some(attempt) = connection
            .attempt
            .as_ref()
            .filter(|attempt| attempt.state.is_sent())
        else {
            return self.fail_connection(reactor, key);
        };
        let (reply, length) = match resp::parse_reply(&connection.stream.input) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return connection.await_rest_of_response(reactor, key),
            Err(_) => return self.end_malformed(reactor, key),
        };
        if let Reply::Value { value, .. } = &reply {
            serve_client(reactor, &attempt.request, value, requests, clients);
        }
        let latency = reactor.now.saturating_sub(attempt.started_at);
        let result = response::attempt_result(reactor, &reply, latency);
        let Some(ended) = self.detach_attempt(reactor, key) else {
            return;
        };
        report_end(reactor, ended.request, ended.number, result);
        self.recycle(reactor, key, length);
    }

    /// Takes a whole response off a connection's input, and keeps the connection for the next attempt if it can carry
    /// one.
    fn recycle(&mut self, reactor: &mut Reactor, key: usize, response_length: usize) {
        let connection = &mut self.connections[key];
        connection.stream.consume(reactor, response_length);
        connection.last_used = reactor.now;
        let known = self
            .endpoints
            .usable(&connection.endpoint, connection.incarnation);
        match known.filter(|_| connection.stream.input.is_empty()) {
            Some(known) => known.idle.push(key),
            None => self.close(reactor, key),
        }
    }

    /// Writes what it can of a command.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(is_unbegun) = self
            .connections
            .get(key)
            .map(UpstreamConnection::has_unbegun_attempt)
        else {
            return;
        };
        if is_unbegun && !self.begin_attempt(reactor, key, requests) {
            return;
        }
        let connection = &mut self.connections[key];
        match connection.stream.flush(reactor) {
            Ok(has_progressed) => {
                let pending_bytes = connection.stream.pending_bytes();
                if let Some(attempt) = &mut connection.attempt {
                    attempt.state = attempt.state.after_write(has_progressed, pending_bytes);
                }
            }
            Err(_) => self.fail_connection(reactor, key),
        }
    }

    /// Queues the command of an attempt of which nothing has gone out, perhaps long after it was decided, since its
    /// connection had to come up: the terms under which it was decided must hold still. Returns whether there is
    /// anything to write now.
    fn begin_attempt(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> bool {
        let connection = &mut self.connections[key];
        let Some(attempt) = &mut connection.attempt else {
            return false;
        };
        if !connection.stream.is_connected {
            return false;
        }
        // The turn may have been long: the remaining time is reckoned by the clock, not by the turn, and what has
        // happened since is met first, once.
        let now = reactor.clock.now();
        if now > reactor.polled_at + LONG_TURN && attempt.state != AttemptState::Deferred {
            attempt.state = AttemptState::Deferred;
            reactor.defer_flush(Component::Upstream.token(key));
            return false;
        }
        let is_usable = self
            .endpoints
            .usable(&connection.endpoint, connection.incarnation)
            .is_some();
        let is_in_time = now < attempt.current_deadline();
        let open = requests
            .get_mut(&attempt.request)
            .filter(|open| open.is_wanted() && is_usable && is_in_time);
        let Some(open) = open else {
            reactor.metrics.lapsed_attempts += 1;
            self.end_with(reactor, key, |_| AttemptOutcome::NotSent);
            return false;
        };
        let timeout = advertised_timeout(attempt.deadline - now);
        connection.stream.clear_queue(reactor);
        connection
            .stream
            .queue(reactor, |out| open.command.write_for_endpoint(out, timeout));
        true
    }

    /// What has come can't be read: an error of the endpoint's, after the command may have run.
    fn end_malformed(&mut self, reactor: &mut Reactor, key: usize) {
        reactor.metrics.malformed_responses += 1;
        self.end_with(reactor, key, |_| AttemptOutcome::ServerError);
    }

    /// The connection broke, ended or never came up.
    fn fail_connection(&mut self, reactor: &mut Reactor, key: usize) {
        self.end_with(reactor, key, Attempt::outcome_on_disconnect);
    }

    /// Ends the attempt that a connection carries, if any, and the connection with it.
    fn end_with(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        outcome: impl FnOnce(&Attempt) -> AttemptOutcome,
    ) {
        if let Some(attempt) = self.detach_attempt(reactor, key) {
            let latency = reactor.now.saturating_sub(attempt.started_at);
            let result = result_without_response(outcome(&attempt), latency);
            report_end(reactor, attempt.request, attempt.number, result);
        }
        self.close(reactor, key);
    }

    /// The attempt is no longer in flight.
    fn detach_attempt(&mut self, reactor: &mut Reactor, key: usize) -> Option<Attempt> {
        let attempt = self.connections[key].attempt.take()?;
        reactor.cancel_deadline(attempt.timer);
        self.in_flight
            .remove(&(attempt.request.clone(), attempt.number));
        Some(attempt)
    }

    fn close(&mut self, reactor: &mut Reactor, key: usize) {
        let connection = self.connections.remove(key);
        invariant!(
            reactor,
            connection.attempt.is_none(),
            "an attempt's end is reported before its connection closes"
        );
        if let Some(known) = self.endpoints.get_mut(&connection.endpoint) {
            known.idle.retain(|other| *other != key);
        }
        connection.stream.close(reactor);
    }

    /// Closes the connections to an endpoint that carry nothing.
    pub(crate) fn close_idle_connections(&mut self, reactor: &mut Reactor, endpoint: &EndpointId) {
        let idle = self
            .endpoints
            .get_mut(endpoint)
            .map(|known| std::mem::take(&mut known.idle));
        for key in idle.unwrap_or_default() {
            self.close(reactor, key);
        }
    }

    /// Closes what has been idle for long, before the endpoint would.
    pub(crate) fn close_expired_connections(&mut self, reactor: &mut Reactor) {
        let Some(lifetime) = idle_lifetime(reactor) else {
            return;
        };
        let is_expired = |key: &&usize| self.connections[**key].last_used + lifetime <= reactor.now;
        let expired: Vec<usize> = self
            .endpoints
            .iter()
            .flat_map(|known| known.idle.iter().take_while(is_expired).copied())
            .collect();
        for key in expired {
            self.close(reactor, key);
        }
    }
}
