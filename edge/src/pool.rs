//! The pool of connections to endpoints. A connection carries one upstream attempt at a time. The most recently used
//! idle connection is reused first, and idle connections are closed before the endpoint would close them. A command may
//! have run at the endpoint only if its last byte was written. The pool retries nothing.

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

/// How long a connection must have been idle before it is reused. An endpoint may send a second response to an
/// attempt some milliseconds after the first, which must not be taken for the response to the next attempt. Trade-off:
/// a busy gateway opens a few more connections.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// In an event loop iteration that has run for longer than this, an attempt that is about to be written is deferred to
/// the next iteration, because clients may have disconnected and endpoints may have begun to drain since the last poll.
const MAX_ITERATION_BEFORE_DEFERRAL: Duration = Duration::from_millis(50);

/// The parameters of an attempt to start. Times are durations on the gateway's monotonic clock.
pub(crate) struct NewAttempt<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) endpoint: &'a EndpointId,
    /// The deadline for the whole response.
    pub(crate) deadline: Duration,
    /// The deadline for writing the whole command.
    pub(crate) send_by: Duration,
}

/// All connections to endpoints, with the attempts that they carry.
#[derive(Default)]
pub(crate) struct Pool {
    connections: Slab<UpstreamConnection>,
    endpoints: EndpointTable,
    /// The key of the connection that carries each attempt.
    in_flight: BTreeMap<(RequestId, AttemptNumber), usize>,
}

/// Sends an endpoint's value to the client, unless its request is closed or already answered.
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
        clients.answer(reactor, open.slot, |out| resp::write_bulk(out, value));
    }
}

impl Pool {
    /// The number of open connections, idle and busy.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Reports to the controller that an attempt was not sent.
    pub(crate) fn report_not_sent(
        &mut self,
        reactor: &mut Reactor,
        request: &RequestId,
        number: AttemptNumber,
    ) {
        let result = result_without_response(AttemptOutcome::NotSent, Duration::ZERO);
        report_end(reactor, request.clone(), number, result);
    }

    /// Resolves unreadable entries of an update with what the pool knows, see [`EndpointTable::complete_update`].
    pub(crate) fn complete_update(&self, update: &mut ParsedUpdate) {
        self.endpoints.complete_update(update);
    }

    /// Applies an update of the endpoint list. Closes the idle connections that it makes unusable, and fails attempts
    /// that have written nothing to an endpoint that now drains or was removed.
    pub(crate) fn apply_update(
        &mut self,
        reactor: &mut Reactor,
        is_snapshot: bool,
        entries: Vec<ListedEndpoint>,
    ) {
        let mut closing = self.endpoints.apply_update(is_snapshot, entries);
        let unwritten = self.connections.iter().filter(|(_, connection)| {
            connection.has_unwritten_attempt() && !self.endpoints.is_ready(&connection.endpoint)
        });
        closing.extend(unwritten.map(|(key, _)| key));
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

    /// Starts an upstream attempt on an idle or new connection. The end of each attempt is reported to the controller,
    /// even if no connection could be opened for it.
    pub(crate) fn send(&mut self, reactor: &mut Reactor, attempt: &NewAttempt) {
        match self.connection_to(reactor, attempt.endpoint) {
            Ok(key) => self.assign_attempt(reactor, key, attempt),
            Err(outcome) => {
                let result = result_without_response(outcome, Duration::ZERO);
                report_end(reactor, attempt.request.clone(), attempt.number, result);
            }
        }
    }

    /// Returns a connection without an attempt: the most recently used idle one that is reusable, or else a new one.
    /// If the budget for endpoint connections is used up, the connection that has been idle longest is closed first.
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

    /// Assigns an attempt to a connection. The command is written at the end of an event loop iteration, once the
    /// connection is established.
    fn assign_attempt(&mut self, reactor: &mut Reactor, key: usize, new: &NewAttempt) {
        let connection = &mut self.connections[key];
        invariant!(
            reactor,
            connection.attempt.is_none(),
            "a connection carries at most one upstream attempt"
        );
        connection.stream.schedule_flush(reactor);
        let connect_deadline = if connection.stream.is_connected {
            new.deadline
        } else {
            reactor.now + reactor.connect_timeout()
        };
        let first_deadline = new.deadline.min(new.send_by).min(connect_deadline);
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

    /// Takes the most recently used idle connection to an endpoint that has been idle for at least
    /// `MIN_IDLE_BEFORE_REUSE`. Closes candidates that have exceeded their idle lifetime, that the endpoint has closed,
    /// or that have received bytes since their last response: these would be taken for the response to the next
    /// attempt.
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
                && connection.stream.read(reactor, resp::MAX_MESSAGE_BYTES)
                && connection.stream.input.is_empty()
            {
                return Some(key);
            }
            self.close(reactor, key);
        }
    }

    /// Closes the connection that has been idle longest. Returns whether there was an idle one.
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

    /// Cancels an upstream attempt by closing its connection. Does nothing if the attempt has ended.
    pub(crate) fn cancel(
        &mut self,
        reactor: &mut Reactor,
        request: &RequestId,
        number: AttemptNumber,
    ) {
        if let Some(key) = self.in_flight.get(&(request.clone(), number)).copied() {
            self.end_attempt_and_close(reactor, key, Attempt::outcome_on_cancel);
        }
    }

    /// Handles the timeout of an attempt, or of one of its steps: establishing the connection, writing the command or
    /// receiving the rest of a response. Does nothing if the connection is closed by now; its key may be in use again.
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
            return self.end_attempt_and_close(reactor, key, |ended| {
                ended.outcome_on_timeout(is_connected)
            });
        }
        if attempt.state == AttemptState::ReadingResponse {
            return self.fail_malformed_response(reactor, key);
        }
        attempt.timer = reactor.set_deadline(deadline, timer);
    }

    /// Handles a readiness event of a connection.
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
        let has_output =
            connection.has_unwritten_attempt() || connection.stream.pending_bytes() > 0;
        if readiness.is_writable() && has_output {
            if connection.stream.check_connected().is_err() {
                return self.fail_connection(reactor, key);
            }
            self.flush(reactor, key, requests);
        }
        if readiness.should_read() {
            self.read_response(reactor, key, requests, clients);
        }
    }

    /// Reads from a connection, if it is still open, and handles the input.
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
        let is_open = connection.stream.read(reactor, resp::MAX_MESSAGE_BYTES);
        let exceeds_max_response = !connection.stream.read_would_block;
        self.handle_input(reactor, key, requests, clients);
        if !self.connections.contains(key) {
            return;
        }
        if !is_open {
            self.fail_connection(reactor, key);
        } else if exceeds_max_response {
            self.fail_malformed_response(reactor, key);
        }
    }

    /// Parses the input of a connection and ends its attempt once the response is complete.
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
        // Input that arrives before the whole command was written can't be the response to it.
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
            Err(_) => return self.fail_malformed_response(reactor, key),
        };
        match &reply {
            Reply::Value { value, .. } => {
                serve_client(reactor, &attempt.request, value, requests, clients);
            }
            Reply::Busy { .. } => {
                if let Some(open) = requests.get_mut(&attempt.request) {
                    open.possible_executions = open.possible_executions.saturating_sub(1);
                }
            }
            Reply::Failed { .. } => (),
        }
        let latency = reactor.now.saturating_sub(attempt.started_at);
        let result = response::attempt_result(reactor, &reply, latency);
        let Some(ended) = self.detach_attempt(reactor, key) else {
            return;
        };
        report_end(reactor, ended.request, ended.number, result);
        self.recycle(reactor, key, length);
    }

    /// Removes a complete response from a connection's input. Keeps the connection as idle if its endpoint may get
    /// further attempts and no other input is left; closes it otherwise.
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

    /// Writes as much of the attempt's command as the socket accepts.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(is_unwritten) = self
            .connections
            .get(key)
            .map(UpstreamConnection::has_unwritten_attempt)
        else {
            return;
        };
        if is_unwritten && !self.queue_command(reactor, key, requests) {
            return;
        }
        let connection = &mut self.connections[key];
        match connection.stream.flush(reactor) {
            Ok(has_progressed) => {
                let pending_bytes = connection.stream.pending_bytes();
                if let Some(attempt) = &mut connection.attempt {
                    let was_sent = attempt.state.is_sent();
                    attempt.state = attempt.state.after_write(has_progressed, pending_bytes);
                    if attempt.state.is_sent() && !was_sent {
                        if let Some(open) = requests.get_mut(&attempt.request) {
                            open.possible_executions += 1;
                        }
                    }
                }
            }
            Err(_) => self.fail_connection(reactor, key),
        }
    }

    /// Queues the command of an attempt that has written nothing so far. The controller may have decided on the attempt
    /// long ago, before the connection was established, so this checks again that the client still waits, that the
    /// endpoint may get attempts and that the deadline has not passed; otherwise the attempt ends as not sent. Returns
    /// whether there is anything to write now.
    fn queue_command(
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
        // The iteration may have started long ago, so the remaining time is computed from the clock. Events that came
        // since the poll are handled first, but an attempt is deferred only once.
        let now = reactor.clock.now();
        if now > reactor.polled_at + MAX_ITERATION_BEFORE_DEFERRAL
            && attempt.state != AttemptState::Deferred
        {
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
            .filter(|open| open.is_awaited() && is_usable && is_in_time);
        let Some(open) = open else {
            reactor.metrics.lapsed_attempts += 1;
            self.end_attempt_and_close(reactor, key, |_| AttemptOutcome::NotSent);
            return false;
        };
        let timeout = advertised_timeout(attempt.deadline - now);
        connection.stream.clear_queue(reactor);
        connection
            .stream
            .queue(reactor, |out| open.command.write_for_endpoint(out, timeout));
        true
    }

    /// Ends an attempt whose response is malformed, incomplete or too long, as a server error: the command may have
    /// run.
    fn fail_malformed_response(&mut self, reactor: &mut Reactor, key: usize) {
        reactor.metrics.malformed_responses += 1;
        self.end_attempt_and_close(reactor, key, |_| AttemptOutcome::ServerError);
    }

    /// Handles a connection that broke, was closed by the endpoint or was never established.
    fn fail_connection(&mut self, reactor: &mut Reactor, key: usize) {
        self.end_attempt_and_close(reactor, key, Attempt::outcome_on_disconnect);
    }

    /// Ends the attempt on a connection, if any, with the outcome that `outcome` returns for it, and closes the
    /// connection.
    fn end_attempt_and_close(
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

    /// Removes the attempt from its connection and from those in flight, and cancels its timer.
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
            "a connection is closed only after the end of its attempt was reported"
        );
        if let Some(known) = self.endpoints.get_mut(&connection.endpoint) {
            known.idle.retain(|other| *other != key);
        }
        connection.stream.close(reactor);
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle_connections(&mut self, reactor: &mut Reactor, endpoint: &EndpointId) {
        let idle = self
            .endpoints
            .get_mut(endpoint)
            .map(|known| std::mem::take(&mut known.idle));
        for key in idle.unwrap_or_default() {
            self.close(reactor, key);
        }
    }

    /// Closes the connections that have reached their idle lifetime, before the endpoint would.
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
