//! The emulated servers on loopback. Each server has a separate address for each gateway.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::clients;
use super::event_sources::{EventSource, ListenerPurpose};
use super::resp::{self, bulk_string};
use super::response_queue::ResponseQueue;
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::events::{AttemptId, ClientRequestId, ServerId};
use crate::node_settings::{self, ListedServer};
use crate::world::server::ListingState;
use crate::world::{AttemptArrival, EndpointChange, ServerResponse};
use redis_protocol::resp2::types::OwnedFrame;
use serde_json::Value;
use std::time::Duration;

/// The length of a malformed response that is a line without an end.
const UNTERMINATED_LINE_BYTES: usize = 2000;

/// A gateway's connection to a server.
pub(super) struct ServerConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    pub(super) server: ServerId,
    /// Whether no attempt has arrived on this connection yet. The first attempt includes the cost of the handshake.
    is_new: bool,
    responses: ResponseQueue<AttemptId>,
    /// When the connection last received or sent data, since the start of the run.
    last_used: Duration,
}

impl ServerConnection {
    pub(super) fn new(
        connection: BufferedConnection,
        gateway: usize,
        server: ServerId,
        now: Duration,
    ) -> ServerConnection {
        ServerConnection {
            connection,
            gateway,
            server,
            is_new: true,
            responses: ResponseQueue::default(),
            last_used: now,
        }
    }

    fn is_idle(&self) -> bool {
        self.responses.pending().next().is_none()
    }
}

/// The connection that a command arrived on.
#[derive(Clone, Copy)]
struct CommandOrigin {
    key: usize,
    gateway: usize,
    server: ServerId,
}

/// The result of handling a command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandOutcome {
    Handled,
    /// The command is unknown, or it does not match a request of a client.
    Invalid,
}

/// Returns the words of a command, which is an array of bulk strings. Returns no words for any other frame.
fn command_words(frame: OwnedFrame) -> Vec<Vec<u8>> {
    let OwnedFrame::Array(parts) = frame else {
        return Vec::new();
    };
    let word = |part| match part {
        OwnedFrame::BulkString(word) => Some(word),
        _ => None,
    };
    let words: Option<Vec<Vec<u8>>> = parts.into_iter().map(word).collect();
    words.unwrap_or_default()
}

/// Returns the client request that a command contains.
fn command_request(words: &[Vec<u8>]) -> Option<ClientRequestId> {
    let id = std::str::from_utf8(words.get(2)?).ok()?;
    let number = u64::from_str_radix(id, 16).ok()?.checked_sub(1)?;
    u32::try_from(number).ok().map(ClientRequestId)
}

/// Returns the timeout that the gateway has set for the response.
fn command_timeout(words: &[Vec<u8>]) -> Option<Duration> {
    let parameters = std::str::from_utf8(words.get(3)?).ok()?;
    let timeout_ms = parameters
        .split(',')
        .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
    timeout_ms.map(Duration::from_millis)
}

/// Encodes a server's response to a client request.
fn encode_response(response: ServerResponse, request: ClientRequestId) -> Vec<u8> {
    match response {
        ServerResponse::Success { units, load } => {
            encode_success(request, units, load.map(|load| load.to_string()))
        }
        ServerResponse::Busy => b"-BUSY\r\n".to_vec(),
        ServerResponse::Failed => b"-ERR failed\r\n".to_vec(),
        ServerResponse::Malformed(kind) => encode_malformed(kind, request),
    }
}

fn encode_success(request: ClientRequestId, units: Option<f64>, load: Option<String>) -> Vec<u8> {
    let cost = units.map_or(OwnedFrame::Null, |units| {
        bulk_string(format!("cost={units}"))
    });
    resp::encode(&OwnedFrame::Array(vec![
        bulk_string(clients::served_value(request)),
        cost,
        load.map_or(OwnedFrame::Null, bulk_string),
    ]))
}

/// Encodes a malformed response: bytes that a gateway can't parse, or can parse only in part.
fn encode_malformed(kind: u32, request: ClientRequestId) -> Vec<u8> {
    match kind {
        0 => b"\x07\x00\xffnoise\r\n".to_vec(),
        1 => vec![b'*'; UNTERMINATED_LINE_BYTES],
        2 => b"*3\r\n$5\r\nrendered more than that\r\n$-1\r\n$-1\r\n".to_vec(),
        3 => b"*3\r\n$3000000000\r\nrendered".to_vec(),
        4 => encode_success(request, None, None).repeat(2),
        _ => {
            let load = "inflight=x,queue=-,util".to_string();
            let mut bytes = encode_success(request, None, Some(load));
            bytes.extend(b"noise\r\n");
            bytes
        }
    }
}

impl LoopbackRun {
    /// Opens the address of a server for one gateway.
    pub(super) fn open_server_listener(
        &mut self,
        gateway: usize,
        server: ServerId,
    ) -> Result<(), LabError> {
        let listener = self
            .sources
            .listen(gateway, ListenerPurpose::Server(server))?;
        self.gateways[gateway]
            .server_listeners
            .insert(server, listener);
        Ok(())
    }

    /// Starts a server: opens its addresses for all gateways.
    pub(super) fn start_server(&mut self, server: ServerId) -> Result<(), LabError> {
        for gateway in 0..self.gateways.len() {
            if !self.gateways[gateway]
                .server_listeners
                .contains_key(&server)
            {
                self.open_server_listener(gateway, server)?;
            }
        }
        Ok(())
    }

    /// Stops a server: closes its addresses and all its connections.
    pub(super) fn stop_server(&mut self, server: ServerId) -> Result<(), LabError> {
        for gateway in 0..self.gateways.len() {
            if let Some(listener) = self.gateways[gateway].server_listeners.remove(&server) {
                self.close(listener.key)?;
            }
        }
        self.close_where(
            |source| matches!(source, EventSource::Server(found) if found.server == server),
        )
    }

    /// Encodes changes of the endpoint list in the format of discovery, with the server addresses for one gateway.
    pub(super) fn list_lines(&self, gateway: usize, changes: &[EndpointChange]) -> Vec<Value> {
        changes
            .iter()
            .map(|change| self.list_line(gateway, change))
            .collect()
    }

    fn list_line(&self, gateway: usize, change: &EndpointChange) -> Value {
        let server = self.world.server(change.server);
        let listener = self.gateways[gateway].server_listeners.get(&change.server);
        let address = listener.map_or(String::new(), |listener| listener.address.to_string());
        let state = match change.state {
            ListingState::Active => "active",
            ListingState::Draining => "leaving",
            ListingState::Removed => "left",
        };
        let started_ms = change
            .started_at
            .map_or(0, |started_at| self.clock.unix_ms(started_at));
        let line = ListedServer {
            uid: &server.name,
            endpoint: &address,
            zone: &node_settings::zone_name(server.zone),
            kind: &server.machine_type,
            cell: server.cell,
            state,
            started_ms,
        };
        line.json()
    }

    pub(super) fn on_server_readable(&mut self, key: usize) -> Result<(), LabError> {
        let Some(connection) = self.sources.server_mut(key) else {
            return Ok(());
        };
        let state = connection.connection.read();
        connection.last_used = self.now;
        let origin = CommandOrigin {
            key,
            gateway: connection.gateway,
            server: connection.server,
        };
        let taken = resp::take_frames(&mut connection.connection.input);
        let mut is_invalid = taken.is_malformed;
        for frame in taken.frames {
            let outcome = self.handle_command(origin, &command_words(frame))?;
            is_invalid |= outcome == CommandOutcome::Invalid;
        }
        if is_invalid {
            let description = format!(
                "sent server '{}' an invalid command, expected PING, CLIENT, SELECT, INFO load, or SVC.QUERY or \
                 SVC.SUBMIT with the id of a client request and a timeout",
                self.world.server(origin.server).name
            );
            self.report_crash(origin.gateway, &description);
        }
        if is_invalid || state == ConnectionState::Closed {
            return self.close(key);
        }
        Ok(())
    }

    /// Handles one command from a gateway.
    fn handle_command(
        &mut self,
        origin: CommandOrigin,
        words: &[Vec<u8>],
    ) -> Result<CommandOutcome, LabError> {
        let verb = words.first().map(|word| word.to_ascii_uppercase());
        match verb.as_deref() {
            Some(b"PING") => self.queue_server_bytes(origin.key, b"+PONG\r\n"),
            Some(b"CLIENT" | b"SELECT") => self.queue_server_bytes(origin.key, b"+OK\r\n"),
            Some(b"INFO") if words.get(1).is_some_and(|word| word == b"load") => {
                self.answer_load_probe(origin);
            }
            Some(b"SVC.QUERY" | b"SVC.SUBMIT") => return self.begin_attempt(origin, words),
            _ => return Ok(CommandOutcome::Invalid),
        }
        Ok(CommandOutcome::Handled)
    }

    /// Handles the arrival of an attempt. The world decides when and how the server responds.
    fn begin_attempt(
        &mut self,
        origin: CommandOrigin,
        words: &[Vec<u8>],
    ) -> Result<CommandOutcome, LabError> {
        let request = command_request(words).filter(|request| self.world.knows_request(*request));
        let (Some(request), Some(timeout)) = (request, command_timeout(words)) else {
            return Ok(CommandOutcome::Invalid);
        };
        self.world
            .rule_checker
            .on_advertised_timeout(self.now, request, origin.gateway, timeout);
        let Some(connection) = self.sources.server_mut(origin.key) else {
            return Ok(CommandOutcome::Handled);
        };
        let arrival = AttemptArrival {
            gateway: origin.gateway,
            server: origin.server,
            request,
            fresh_connection: std::mem::replace(&mut connection.is_new, false),
        };
        let mut actions = Vec::new();
        let attempt = self
            .world
            .on_attempt_arrival(self.now, arrival, &mut actions);
        if let Some(server_connection) = self.sources.server_mut(origin.key) {
            server_connection.responses.push_request(attempt);
        }
        self.attempts.insert(attempt, origin.key);
        self.perform_actions(actions)?;
        Ok(CommandOutcome::Handled)
    }

    fn queue_server_bytes(&mut self, key: usize, bytes: &[u8]) {
        if let Some(connection) = self.sources.server_mut(key) {
            connection.connection.queue(bytes);
            self.unflushed.push(key);
        }
    }

    /// Answers a load probe with the server's load, or with an error if the world gives no load report.
    fn answer_load_probe(&mut self, origin: CommandOrigin) {
        let response = match self.world.on_load_probe(self.now, origin.server) {
            Some(load) => resp::encode(&bulk_string(load.to_string())),
            None => b"-NOPERM\r\n".to_vec(),
        };
        self.queue_server_bytes(origin.key, &response);
    }

    /// Sends a server's response to an attempt.
    pub(super) fn send_server_response(&mut self, attempt: AttemptId, response: ServerResponse) {
        let request = self.world.attempt(attempt).request;
        let Some(key) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(connection) = self.sources.server_mut(key) {
            let bytes = encode_response(response, request);
            let ready = connection.responses.complete(attempt, bytes);
            connection.connection.queue(&ready);
            connection.last_used = self.now;
            self.unflushed.push(key);
        }
    }

    /// Closes the server connections that have reached the servers' idle timeout.
    pub(super) fn close_idle_server_connections(&mut self) -> Result<(), LabError> {
        let now = self.now;
        let timeout = Duration::from_secs_f64(self.world.experiment.fleet.idle_timeout);
        self.close_where(|source| match source {
            EventSource::Server(server) => server.is_idle() && server.last_used + timeout <= now,
            _ => false,
        })
    }

    pub(super) fn on_server_connection_closed(&mut self, connection: ServerConnection) {
        for attempt in connection.responses.pending() {
            self.attempts.remove(&attempt);
            self.world.on_attempt_abandoned(self.now, attempt);
        }
        self.world.on_disconnect(connection.server);
        connection.connection.close(self.sources.registry());
    }
}
