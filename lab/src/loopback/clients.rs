//! The emulated clients on loopback: connections of the load balancer in front of the gateways, readiness probes of
//! gateways, and misbehaving clients that send malformed input.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::event_sources::EventSource;
use super::resp::{self, bulk_string};
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::events::{ClientOutcome, ClientRequestId};
use crate::experiment::Idempotency;
use crate::record::RecordedRequest;
use redis_protocol::resp2::types::{OwnedFrame, Resp2Frame};
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of connections from the load balancer to one gateway. Beyond it, requests are pipelined.
const MAX_CONNECTIONS_PER_GATEWAY: usize = 64;

/// The time within which a gateway must answer a misbehaving client with an error or close its connection.
const MISBEHAVING_TIMEOUT: Duration = Duration::from_secs(3);

/// The payload of a request that has an effect.
const PAYLOAD: &str = "a track to render";

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// The malformed inputs of misbehaving clients. A gateway must answer each with an error or close the connection.
const MALFORMED_INPUTS: &[&[u8]] = &[
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$-7\r\n",
    b"*2\r\n$9999999999\r\nx\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000x\r\n$16\r\n0000000000000001\r\n$5\r\nc=1,d\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000001\r\n$16\r\n0000000000000001\r\n$26\r\nc=none,t=none,d=9,units=NaN\r\n",
    b"*1000000\r\n",
    b"*1\r\n$4\r\nNONE\r\n",
    b"*4\r\n$9\r\nSVC.QU",
    b"\x00\xff\xfe\r\n",
];

/// The purpose of a client connection.
#[derive(Clone, Copy, PartialEq, Debug)]
enum ClientRole {
    /// Carries the requests that the load balancer forwards.
    LoadBalancer,
    /// Checks whether the gateway is ready to serve requests.
    ReadinessProbe,
    /// Has sent malformed input at the time `since` and waits for an answer.
    Misbehaving { since: Duration },
    /// Has sent malformed input and received an answer.
    MisbehavingAnswered,
}

/// A request that waits for its final answer.
struct SentRequest {
    request: ClientRequestId,
    /// The offset of the end of the request in all bytes that were ever queued on the connection.
    end_offset: u64,
    /// Whether the request was written completely, so that the gateway must answer it.
    is_accepted: bool,
}

/// A client's connection to a gateway.
pub(super) struct ClientConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    role: ClientRole,
    /// The pending requests, oldest first.
    requests: VecDeque<SentRequest>,
    /// Whether an answer has arrived on this connection. After that, the gateway may close the connection while a new
    /// request is on its way.
    has_received_answer: bool,
}

/// The value that a server responds with to a request.
pub(super) fn served_value(request: ClientRequestId) -> String {
    format!("rendered {}", request_id(request))
}

/// The id of a request in the wire format.
fn request_id(request: ClientRequestId) -> String {
    format!("{:016x}", u64::from(request.0) + 1)
}

/// A final answer, as the client interprets it.
struct FinalAnswer {
    outcome: ClientOutcome,
    retry_after: Option<Duration>,
}

impl FinalAnswer {
    fn parse(frame: &OwnedFrame, request: ClientRequestId) -> FinalAnswer {
        let value = match frame {
            OwnedFrame::BulkString(value) => Some(value),
            OwnedFrame::Array(parts) => match parts.first() {
                Some(OwnedFrame::BulkString(value)) => Some(value),
                _ => None,
            },
            _ => None,
        };
        if let Some(value) = value {
            let correct = *value == served_value(request).into_bytes();
            return FinalAnswer {
                outcome: ClientOutcome::Served { correct },
                retry_after: None,
            };
        }
        match frame {
            OwnedFrame::Error(text) if text.split(' ').next() == Some("BUSY") => FinalAnswer {
                outcome: ClientOutcome::Rejected,
                retry_after: parse_retry_after(text),
            },
            _ => FinalAnswer {
                outcome: ClientOutcome::Failed,
                retry_after: None,
            },
        }
    }
}

/// Parses the retry delay in the error line of a rejection, `BUSY MILLISECONDS`.
fn parse_retry_after(text: &str) -> Option<Duration> {
    let milliseconds = text.split(' ').nth(1)?.parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}

impl LoopbackRun {
    fn connect_client(&mut self, gateway: usize, role: ClientRole) -> Option<usize> {
        let address = self.gateways[gateway].client_address;
        let key = self.sources.connect(address, |connection| {
            EventSource::Client(ClientConnection {
                connection,
                gateway,
                role,
                requests: VecDeque::new(),
                has_received_answer: false,
            })
        })?;
        if role == ClientRole::LoadBalancer {
            self.gateways[gateway].client_count += 1;
        }
        Some(key)
    }

    /// Sends a readiness probe to a gateway.
    pub(super) fn probe_readiness(&mut self, gateway: usize) {
        if let Some(key) = self.connect_client(gateway, ClientRole::ReadinessProbe) {
            self.queue_client_bytes(key, PING);
        }
    }

    pub(super) fn add_misbehaving_clients(&mut self, count: usize) {
        for index in 0..count {
            let gateway = index % self.gateways.len();
            let role = ClientRole::Misbehaving { since: self.now };
            if let Some(key) = self.connect_client(gateway, role) {
                self.misbehaving_clients.total += 1;
                self.queue_client_bytes(key, MALFORMED_INPUTS[index % MALFORMED_INPUTS.len()]);
            }
        }
    }

    fn queue_client_bytes(&mut self, key: usize, bytes: &[u8]) {
        if let Some(client) = self.sources.client_mut(key) {
            client.connection.queue(bytes);
            self.unflushed.push(key);
        }
    }

    /// Appends a request to the recording, if there is one. Retries are not recorded, as the clients of a replayed
    /// recording retry by themselves.
    pub(super) fn record_request(&mut self, id: ClientRequestId) -> Result<(), LabError> {
        let request = self.world.request(id);
        let operation = self.world.operation(request.operation);
        let Some(recorder) = &mut self.recorder else {
            return Ok(());
        };
        if operation.retries > 0 {
            return Ok(());
        }
        let account = self.world.account(operation.account);
        let experiment = &self.world.experiment;
        let recorded = recorder.append(&RecordedRequest {
            at: request.scheduled_at,
            account: account.name,
            plan: experiment.plans[account.plan].name.clone(),
            route: experiment.routes[operation.route].name.clone(),
            units: operation.units,
        });
        recorded.map_err(LabError::system("cannot write the recording"))
    }

    /// Sends a request to its gateway, on an idle connection, a new connection, or behind other requests.
    pub(super) fn send_request(&mut self, request: ClientRequestId) {
        let command = self.encode_command(request);
        let gateway = self.world.request(request).gateway;
        let key = self.choose_client_connection(gateway);
        let Some((key, client)) = key.and_then(|key| Some((key, self.sources.client_mut(key)?)))
        else {
            self.world.on_request_not_accepted(self.now, request);
            return;
        };
        client.connection.queue_frame(&command);
        client.requests.push_back(SentRequest {
            request,
            end_offset: client.connection.bytes_queued,
            is_accepted: false,
        });
        self.client_requests.insert(request, key);
        self.unflushed.push(key);
    }

    /// Encodes the command for a request.
    fn encode_command(&self, id: ClientRequestId) -> OwnedFrame {
        let request = self.world.request(id);
        let operation = self.world.operation(request.operation);
        let account = self.world.account(operation.account);
        let route = &self.world.experiment.routes[operation.route];
        let plan = &self.world.experiment.plans[account.plan];
        let remaining = request.deadline.saturating_sub(self.now);
        let timeout_ms = remaining.as_millis().max(1);
        let mut parameters = format!("c={},t={},d={timeout_ms}", route.name, plan.name);
        if route.idempotency == Idempotency::Keyed {
            parameters.push_str(&format!(",k={:016x}", operation.key));
        }
        if operation.retries > 0 {
            parameters.push_str(",r=1");
        }
        parameters.push_str(&format!(
            ",units={},spread={},first={}",
            operation.units, account.gateway_count, account.first_gateway
        ));
        let has_effect = route.idempotency != Idempotency::Idempotent;
        let verb = if has_effect {
            "SVC.SUBMIT"
        } else {
            "SVC.QUERY"
        };
        let mut words = vec![
            bulk_string(verb),
            bulk_string(format!("{:016x}", account.name)),
            bulk_string(request_id(id)),
            bulk_string(parameters),
        ];
        if has_effect {
            words.push(bulk_string(PAYLOAD));
        }
        OwnedFrame::Array(words)
    }

    /// Chooses the connection for a request. Returns `None` if no connection to the gateway can be opened.
    fn choose_client_connection(&mut self, gateway: usize) -> Option<usize> {
        while let Some(key) = self.gateways[gateway].idle_clients.pop() {
            if self.sources.client_mut(key).is_some() {
                return Some(key);
            }
        }
        if !self.world.accepts_connections(self.now, gateway) {
            return None;
        }
        if self.gateways[gateway].client_count < MAX_CONNECTIONS_PER_GATEWAY {
            return self.connect_client(gateway, ClientRole::LoadBalancer);
        }
        self.least_loaded_client(gateway)
    }

    /// The load balancer's connection to a gateway with the fewest pending requests.
    fn least_loaded_client(&self, gateway: usize) -> Option<usize> {
        let connections = self
            .sources
            .iter()
            .filter_map(|(key, source)| match source {
                EventSource::Client(client)
                    if client.gateway == gateway && client.role == ClientRole::LoadBalancer =>
                {
                    Some((client.requests.len(), key))
                }
                _ => None,
            });
        connections.min().map(|(_, key)| key)
    }

    /// Handles a write on a connection: requests that are now completely written count as accepted.
    pub(super) fn on_client_flushed(&mut self, key: usize) {
        let Some(client) = self.sources.client_mut(key) else {
            return;
        };
        let written = client.connection.bytes_written;
        for sent in &mut client.requests {
            if !sent.is_accepted && sent.end_offset <= written {
                sent.is_accepted = true;
                self.world.on_request_accepted(self.now, sent.request);
            }
        }
    }

    /// Handles a client that stops waiting for a request: closes its connection, unless other requests are pending on
    /// it.
    pub(super) fn close_client(&mut self, request: ClientRequestId) -> Result<(), LabError> {
        let Some(key) = self.client_requests.remove(&request) else {
            return Ok(());
        };
        match self.sources.client_mut(key) {
            Some(client) if client.requests.len() == 1 => {
                client.requests.clear();
                self.close(key)
            }
            _ => Ok(()),
        }
    }

    pub(super) fn on_client_readable(&mut self, key: usize) -> Result<(), LabError> {
        let Some(client) = self.sources.client_mut(key) else {
            return Ok(());
        };
        let state = client.connection.read();
        let taken = resp::take_frames(&mut client.connection.input);
        for frame in taken.frames {
            if self.on_client_frame(key, &frame)? == ConnectionState::Closed {
                return Ok(());
            }
        }
        if taken.is_malformed || state == ConnectionState::Closed {
            return self.close(key);
        }
        Ok(())
    }

    /// Handles a complete frame that a client has received. Returns whether its connection is still open.
    fn on_client_frame(
        &mut self,
        key: usize,
        frame: &OwnedFrame,
    ) -> Result<ConnectionState, LabError> {
        let Some(client) = self.sources.client_mut(key) else {
            return Ok(ConnectionState::Closed);
        };
        let gateway = client.gateway;
        match client.role {
            ClientRole::LoadBalancer => return self.on_final_answer(key, frame),
            ClientRole::ReadinessProbe => {
                if matches!(frame, OwnedFrame::SimpleString(text) if text == b"PONG") {
                    self.gateways[gateway].next_probe = None;
                    self.world.on_gateway_ready(self.now, gateway);
                }
            }
            ClientRole::Misbehaving { since } => {
                client.role = ClientRole::MisbehavingAnswered;
                let is_error = matches!(frame, OwnedFrame::Error(_));
                if !is_error || self.now > since + MISBEHAVING_TIMEOUT {
                    self.misbehaving_clients.unanswered += 1;
                }
            }
            ClientRole::MisbehavingAnswered => (),
        }
        self.close(key)?;
        Ok(ConnectionState::Closed)
    }

    /// Handles the final answer to the oldest pending request of a connection.
    fn on_final_answer(
        &mut self,
        key: usize,
        frame: &OwnedFrame,
    ) -> Result<ConnectionState, LabError> {
        let Some(client) = self.sources.client_mut(key) else {
            return Ok(ConnectionState::Closed);
        };
        let gateway = client.gateway;
        client.has_received_answer = true;
        let Some(sent) = client.requests.pop_front() else {
            let description = format!(
                "sent a response of type {:?} on a client connection without pending requests, expected none",
                frame.kind()
            );
            self.report_crash(gateway, &description);
            self.close(key)?;
            return Ok(ConnectionState::Closed);
        };
        if client.requests.is_empty() {
            self.gateways[gateway].idle_clients.push(key);
        }
        self.client_requests.remove(&sent.request);
        let answer = FinalAnswer::parse(frame, sent.request);
        self.world
            .on_final_answer(self.now, sent.request, answer.outcome, answer.retry_after);
        Ok(ConnectionState::Open)
    }

    /// Handles the end of a connection. Each request that is pending on it counts as not accepted, is sent again, or
    /// ends as disconnected.
    pub(super) fn on_client_closed(&mut self, key: usize, client: ClientConnection) {
        let gateway = client.gateway;
        self.gateways[gateway]
            .idle_clients
            .retain(|idle| *idle != key);
        match client.role {
            ClientRole::LoadBalancer => self.gateways[gateway].client_count -= 1,
            ClientRole::Misbehaving { since } if self.now > since + MISBEHAVING_TIMEOUT => {
                self.misbehaving_clients.unanswered += 1;
            }
            ClientRole::Misbehaving { .. }
            | ClientRole::ReadinessProbe
            | ClientRole::MisbehavingAnswered => {}
        }
        // The gateway may close a connection between two requests while a new request is on its way.
        let may_have_raced_close = client.has_received_answer && client.connection.input.is_empty();
        client.connection.close(self.sources.registry());
        for sent in client.requests {
            self.client_requests.remove(&sent.request);
            if !sent.is_accepted || self.world.was_killed(gateway) {
                self.world.on_request_not_accepted(self.now, sent.request);
            } else if may_have_raced_close && !self.world.request(sent.request).closed {
                self.send_request(sent.request);
            } else {
                let outcome = ClientOutcome::Disconnected;
                self.world
                    .on_final_answer(self.now, sent.request, outcome, None);
            }
        }
    }

    /// Closes the connections of misbehaving clients that have waited for twice the time limit without an answer.
    pub(super) fn close_expired_misbehaving_clients(&mut self) -> Result<(), LabError> {
        let now = self.now;
        self.close_where(|source| match source {
            EventSource::Client(client) => match client.role {
                ClientRole::Misbehaving { since } => since + MISBEHAVING_TIMEOUT * 2 < now,
                _ => false,
            },
            _ => false,
        })
    }
}
