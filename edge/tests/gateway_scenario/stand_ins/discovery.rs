//! The stand-in for the discovery service, which serves the endpoint list over HTTP with long polls.

use super::loopback::{ListeningServer, LoopbackHost};
use super::{disconnect, lock, resp, send};
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display};
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// How long each check whether the peer has closed a connection waits.
const CLOSE_CHECK_TIMEOUT: Duration = Duration::from_millis(5);
/// How long the gateway has to read the bytes that were sent before a reset. A reset would discard unread bytes.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// The size of the data of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// The response of an overloaded discovery.
const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// How discovery responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum DiscoveryMode {
    /// It responds to all calls, including those that still wait.
    #[default]
    Responding,
    /// It reads calls and does not respond, not even to the watches that wait already.
    Silent,
    /// It closes each new connection at once.
    Closing,
}

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointState {
    /// The endpoint takes requests.
    Active,
    /// The endpoint drains; `leaving` on the wire.
    Draining,
    /// The endpoint is removed; `left` on the wire.
    Removed,
}

impl Display for EndpointState {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        })
    }
}

/// Bytes that discovery sends in place of a response, before it ends the connection.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedResponse {
    /// Sent as they are, with the HTTP status line and headers that they may contain.
    pub(crate) bytes: String,
    /// How the response ends.
    pub(crate) end: ResponseEnd,
}

/// How a scripted response of discovery ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ResponseEnd {
    /// Discovery closes the connection.
    Close,
    /// Discovery resets the connection.
    Reset,
    /// Discovery sends chunks of spaces until the gateway closes the connection.
    EndlessChunks,
}

/// A discovery service that serves at one or more addresses.
#[derive(Clone, Default)]
pub(crate) struct FakeDiscovery {
    list: Arc<Mutex<EndpointList>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    calls: Arc<Mutex<CallState>>,
}

/// The endpoint list that discovery serves.
#[derive(Default)]
struct EndpointList {
    /// The number of changes so far.
    revision: u64,
    /// The entries as JSON, by the endpoint's name.
    entries: BTreeMap<String, String>,
}

/// The calls so far, and how discovery responds to the next ones.
#[derive(Default)]
struct CallState {
    mode: DiscoveryMode,
    /// The HTTP request lines of all calls so far.
    request_lines: Vec<String>,
    /// The number of next calls that are rejected.
    calls_to_reject: usize,
    /// The number of next calls that get no response.
    calls_to_ignore: usize,
    /// The number of next watches that get no response. A watch is a call that waits for changes.
    watches_to_ignore: usize,
    /// The responses to the next calls.
    scripted_responses: VecDeque<ScriptedResponse>,
    /// The number of calls without a response whose connections the gateway has closed, and of connections that
    /// discovery has closed in the mode `Closing`, since the mode was set.
    abandoned_calls: usize,
}

/// What discovery sends in response to one call.
enum Response {
    /// Nothing, until the gateway closes the connection.
    Nothing,
    Scripted(ScriptedResponse),
    /// Status 503.
    Rejection,
    /// The endpoint list, once it has changed if the call is a watch.
    List,
}

impl FakeDiscovery {
    /// Listens on one more address. All addresses share the list.
    pub(crate) fn listen(&self, host: &LoopbackHost) -> ListeningServer {
        let discovery = self.clone();
        ListeningServer::start(host, move |connection| discovery.serve(connection))
    }

    /// Adds the entry of an endpoint, or replaces the entry with this name.
    pub(crate) fn enter(
        &self,
        name: &str,
        address: &str,
        state: EndpointState,
        started_at_unix_ms: u128,
    ) {
        let entry = format!(
            "{{\"uid\":\"{name}\",\"endpoint\":\"{address}\",\"az\":\"z\",\"model\":\"m\",\"pod_group\":0,\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{started_at_unix_ms}}}"
        );
        let mut list = lock(&self.list);
        list.revision += 1;
        list.entries.insert(name.to_string(), entry);
    }

    /// Returns the current list as JSON.
    pub(crate) fn list_json(&self) -> String {
        let list = lock(&self.list);
        let entries: Vec<&str> = list.entries.values().map(String::as_str).collect();
        let entries = entries.join(",");
        format!(
            "{{\"rev\":{},\"all\":true,\"targets\":[{entries}]}}",
            list.revision
        )
    }

    /// Sets how it responds to calls from now on, and resets the number of abandoned calls. In the mode `Closing`, also
    /// shuts down the open connections.
    pub(crate) fn set_mode(&self, mode: DiscoveryMode) {
        {
            let mut calls = lock(&self.calls);
            calls.mode = mode;
            calls.abandoned_calls = 0;
        }
        if mode == DiscoveryMode::Closing {
            self.disconnect_all();
        }
    }

    /// Shuts down all its connections.
    pub(crate) fn disconnect_all(&self) {
        disconnect(&mut lock(&self.connections));
    }

    /// Returns its open connections and removes them from its list.
    pub(crate) fn take_connections(&self) -> Vec<TcpStream> {
        std::mem::take(&mut lock(&self.connections))
    }

    /// Returns whether it has accepted a connection since its list of connections was last emptied.
    pub(crate) fn has_connections(&self) -> bool {
        !lock(&self.connections).is_empty()
    }

    /// Shuts down all connections and rejects the next `count` calls.
    pub(crate) fn reject_next_calls(&self, count: usize) {
        lock(&self.calls).calls_to_reject = count;
        self.disconnect_all();
    }

    /// Sends no response to the next `count` calls.
    pub(crate) fn ignore_next_calls(&self, count: usize) {
        lock(&self.calls).calls_to_ignore = count;
    }

    /// Sends no response to the next `count` watches.
    pub(crate) fn ignore_next_watches(&self, count: usize) {
        lock(&self.calls).watches_to_ignore = count;
    }

    /// Sends these bytes in place of the response to the next call for which no other bytes are scripted.
    pub(crate) fn script_response(&self, response: ScriptedResponse) {
        lock(&self.calls).scripted_responses.push_back(response);
    }

    /// Returns the number of calls that the gateway has abandoned, and of connections that discovery has closed in the
    /// mode `Closing`, since the mode was set.
    pub(crate) fn abandoned_calls(&self) -> usize {
        lock(&self.calls).abandoned_calls
    }

    /// Returns the HTTP request lines of all calls so far.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        lock(&self.calls).request_lines.clone()
    }

    fn serve(&self, connection: TcpStream) {
        lock(&self.connections).push(
            connection
                .try_clone()
                .expect("expected to duplicate the socket"),
        );
        let output = connection
            .try_clone()
            .expect("expected to duplicate the socket");
        if lock(&self.calls).mode == DiscoveryMode::Closing {
            lock(&self.calls).abandoned_calls += 1;
            let _ = output.shutdown(Shutdown::Both);
            return;
        }
        let mut input = BufReader::new(connection);
        while let Some(request_line) = resp::read_line(&mut input) {
            while resp::read_line(&mut input).is_some_and(|header| !header.is_empty()) {}
            let response = lock(&self.calls).next_response(&request_line);
            match response {
                Response::Nothing => {
                    while !is_closed_by_peer(&output) {}
                    lock(&self.calls).abandoned_calls += 1;
                    return;
                }
                Response::Scripted(response) => return self.send_scripted(&output, &response),
                Response::Rejection => return send(&output, REJECTION),
                Response::List => {
                    if !self.wait_for_change(&request_line, &output) {
                        lock(&self.calls).abandoned_calls += 1;
                        return;
                    }
                    self.send_list(&output);
                }
            }
        }
    }

    /// Waits until the list has another revision than the caller knows and discovery is not silent. Returns false if the
    /// gateway closes the connection before.
    fn wait_for_change(&self, request_line: &str, connection: &TcpStream) -> bool {
        let known_revision = known_revision(request_line);
        while known_revision == Some(lock(&self.list).revision)
            || lock(&self.calls).mode == DiscoveryMode::Silent
        {
            if is_closed_by_peer(connection) {
                return false;
            }
        }
        true
    }

    fn send_list(&self, connection: &TcpStream) {
        let body = self.list_json();
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        send(connection, &response);
    }

    fn send_scripted(&self, connection: &TcpStream, response: &ScriptedResponse) {
        send(connection, &response.bytes);
        match response.end {
            ResponseEnd::Close => {
                let _ = connection.shutdown(Shutdown::Both);
                return;
            }
            ResponseEnd::EndlessChunks => return send_endless_chunks(connection),
            ResponseEnd::Reset => (),
        }
        sleep(RESET_DELAY);
        SockRef::from(connection)
            .set_linger(Some(Duration::ZERO))
            .expect("expected to set the linger time of the socket");
        // The system resets the connection when the last handle of the socket is closed.
        lock(&self.connections).clear();
    }
}

impl CallState {
    /// Records a call and decides on the response to it.
    fn next_response(&mut self, request_line: &str) -> Response {
        self.request_lines.push(request_line.to_string());
        let is_watch = request_line.contains("wait_ms=") && !request_line.contains("wait_ms=0 ");
        let is_ignored = self.take_ignored(is_watch);
        let is_rejected = take_one(&mut self.calls_to_reject);
        let scripted = self.scripted_responses.pop_front();
        match scripted {
            _ if is_ignored => Response::Nothing,
            Some(response) => Response::Scripted(response),
            None if is_rejected => Response::Rejection,
            None => Response::List,
        }
    }

    /// Returns whether the call gets no response, and counts it as such.
    fn take_ignored(&mut self, is_watch: bool) -> bool {
        (is_watch && take_one(&mut self.watches_to_ignore)) || take_one(&mut self.calls_to_ignore)
    }
}

/// Sends chunks of spaces, which are valid before a JSON text, until the peer closes the connection.
fn send_endless_chunks(mut connection: &TcpStream) {
    let spaces = " ".repeat(CHUNK_BYTES);
    let chunk = format!("{CHUNK_BYTES:x}\r\n{spaces}\r\n");
    while connection.write_all(chunk.as_bytes()).is_ok() {}
}

/// Decrements a count, if it is not zero. Returns whether it did.
fn take_one(count: &mut usize) -> bool {
    let is_positive = *count > 0;
    *count -= usize::from(is_positive);
    is_positive
}

/// Returns the revision of the list that the caller has, or `None` if the call asks for the whole list.
fn known_revision(request_line: &str) -> Option<u64> {
    let (_, query) = request_line.split_once("after=")?;
    query.split('&').next()?.parse().ok()
}

/// Returns whether the peer has closed the connection. Waits for up to [`CLOSE_CHECK_TIMEOUT`].
fn is_closed_by_peer(connection: &TcpStream) -> bool {
    connection
        .set_read_timeout(Some(CLOSE_CHECK_TIMEOUT))
        .expect("expected to set the read timeout");
    let is_closed = matches!(connection.peek(&mut [0]), Ok(0));
    connection
        .set_read_timeout(None)
        .expect("expected to set the read timeout");
    is_closed
}
