//! Clients on loopback: connections of the load balancer in front of the gateways, probes that ask whether a
//! gateway serves, and clients that send what can't be parsed.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::event_sources::EventSource;
use super::resp::{self, bulk_string};
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::events::{ClientOutcome, ClientRequestId};
use crate::experiment::Idempotency;
use crate::record::RecordedRequest;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::VecDeque;
use std::time::Duration;

/// Connections of the load balancer to one gateway, before requests are written one behind another.
const MAX_CONNECTIONS: usize = 64;

/// A misbehaving client is owed an error or a close within this span.
const MISBEHAVING_TIMEOUT: Duration = Duration::from_secs(3);

/// What a request that has an effect carries.
const PAYLOAD: &str = "a track to render";

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Bytes that no client should send; each is owed an error or a close.
const MISBEHAVIOURS: &[&[u8]] = &[
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

/// What a connection of a client is for.
#[derive(Clone, Copy, PartialEq, Debug)]
enum ClientRole {
    /// Requests that the load balancer passes on.
    LoadBalancer,
    /// Asks whether the gateway serves.
    ReadinessProbe,
    /// Sends what can't be parsed, since then.
    Misbehaving { since: Duration },
    /// Has sent what can't be parsed, and got what it was owed.
    Answered,
}

/// A request that waits for its answer.
struct SentRequest {
    request: ClientRequestId,
    /// Where its last byte stands among all that was queued on the connection.
    end_offset: u64,
    /// It was written whole: an answer is owed.
    is_accepted: bool,
}

/// A client's connection to a gateway.
pub(super) struct ClientConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    role: ClientRole,
    /// The oldest first.
    requests: VecDeque<SentRequest>,
    /// It has brought an answer: its next request may cross the gateway's closing it.
    has_answered: bool,
}

/// The value that a server makes for a request.
pub(super) fn served_value(request: ClientRequestId) -> String {
    format!("rendered {}", request_id(request))
}

/// The id of a request on the wire.
fn request_id(request: ClientRequestId) -> String {
    format!("{:016x}", u64::from(request.0) + 1)
}

/// A final answer as the client understands it.
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

/// The span in an error line of a rejection: `BUSY MILLISECONDS`.
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
                has_answered: false,
            })
        })?;
        if role == ClientRole::LoadBalancer {
            self.gateways[gateway].client_count += 1;
        }
        Some(key)
    }

    /// Asks a gateway whether it serves yet.
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
                self.queue_client_bytes(key, MISBEHAVIOURS[index % MISBEHAVIOURS.len()]);
            }
        }
    }

    fn queue_client_bytes(&mut self, key: usize, bytes: &[u8]) {
        if let Some(client) = self.sources.client_mut(key) {
            client.connection.queue(bytes);
            self.unflushed.push(key);
        }
    }

    /// Writes a request to the recording, if there is one. Retries are left out, as the clients of a replay retry
    /// by themselves.
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
        recorded.map_err(LabError::system("the recording"))
    }

    /// Sends a request to its gateway: on a connection that is free, a new one, or behind others.
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

    /// A request as its client words it.
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

    /// The connection for a request; none where the gateway can't be connected to.
    fn choose_client_connection(&mut self, gateway: usize) -> Option<usize> {
        while let Some(key) = self.gateways[gateway].idle_clients.pop() {
            if self.sources.client_mut(key).is_some() {
                return Some(key);
            }
        }
        if !self.world.accepts_connections(self.now, gateway) {
            return None;
        }
        if self.gateways[gateway].client_count < MAX_CONNECTIONS {
            return self.connect_client(gateway, ClientRole::LoadBalancer);
        }
        self.least_loaded_client(gateway)
    }

    /// The load balancer's connection to a gateway with the fewest open requests.
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

    /// Bytes of a connection were written: requests that are written whole are accepted.
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

    /// The client of a request gives up: its connection is closed, unless others wait there too.
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

    /// A whole frame has come to a client; says whether its connection is still open.
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
                client.role = ClientRole::Answered;
                let is_error = matches!(frame, OwnedFrame::Error(_));
                if !is_error || self.now > since + MISBEHAVING_TIMEOUT {
                    self.misbehaving_clients.unanswered += 1;
                }
            }
            ClientRole::Answered => (),
        }
        self.close(key)?;
        Ok(ConnectionState::Closed)
    }

    /// The answer to the oldest request of a connection has come.
    fn on_final_answer(
        &mut self,
        key: usize,
        frame: &OwnedFrame,
    ) -> Result<ConnectionState, LabError> {
        let Some(client) = self.sources.client_mut(key) else {
            return Ok(ConnectionState::Closed);
        };
        let gateway = client.gateway;
        client.has_answered = true;
        let Some(sent) = client.requests.pop_front() else {
            self.report_crash(gateway, "an answer that nobody asked for");
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

    /// A connection has ended: what was open on it is lost, sent again or never was accepted.
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
            ClientRole::Misbehaving { .. } | ClientRole::ReadinessProbe | ClientRole::Answered => {}
        }
        // The gateway may close a connection between two requests, and one of ours may cross that.
        let may_have_crossed = client.has_answered && client.connection.input.is_empty();
        client.connection.close(self.sources.registry());
        for sent in client.requests {
            self.client_requests.remove(&sent.request);
            if !sent.is_accepted || self.world.was_killed(gateway) {
                self.world.on_request_not_accepted(self.now, sent.request);
            } else if may_have_crossed && !self.world.request(sent.request).closed {
                self.send_request(sent.request);
            } else {
                let outcome = ClientOutcome::Disconnected;
                self.world
                    .on_final_answer(self.now, sent.request, outcome, None);
            }
        }
    }

    /// Closes the connections of misbehaving clients that were not answered in time.
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
