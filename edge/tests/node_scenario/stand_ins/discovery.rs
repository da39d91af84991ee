//! The discovery service, over HTTP with long polls.

use super::loopback::{ListeningServer, LoopbackHost};
use super::{disconnect, lock, resp, send};
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display};
use std::io::BufReader;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// How long a connection is looked at for its end by the other side.
const CLOSE_POLL: Duration = Duration::from_millis(5);
/// How long the node has to read what was sent before a reset, which would overtake it.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// The answer of a crowded discovery.
const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// How discovery takes calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum DiscoveryMode {
    /// It answers, also the calls that still wait.
    #[default]
    Answering,
    /// It takes calls and does not answer, also not the watches that wait already.
    Silent,
    /// It closes each connection at once.
    Closing,
}

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointState {
    /// It takes requests.
    Active,
    /// It drains.
    Leaving,
    /// It is gone.
    Left,
}

impl Display for EndpointState {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            EndpointState::Active => "active",
            EndpointState::Leaving => "leaving",
            EndpointState::Left => "left",
        })
    }
}

/// Bytes that discovery sends in place of an answer, before it ends the connection.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedAnswer {
    /// What it sends.
    pub(crate) bytes: String,
    /// Whether it resets the connection in place of closing it.
    pub(crate) resets: bool,
}

/// A discovery service that the node can be pointed at, at one or more addresses.
#[derive(Clone, Default)]
pub(crate) struct FakeDiscovery {
    list: Arc<Mutex<EndpointList>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    calls: Arc<Mutex<CallState>>,
}

/// The entries of the list as JSON, by the endpoint's name.
#[derive(Default)]
struct EndpointList {
    version: u64,
    entries: BTreeMap<String, String>,
}

/// What discovery was called with, and how it is to answer.
#[derive(Default)]
struct CallState {
    mode: DiscoveryMode,
    request_lines: Vec<String>,
    /// So many of the next calls are rejected.
    rejections: usize,
    /// So many of the next calls are never answered.
    ignored_calls: usize,
    /// So many of the next calls that wait for changes are never answered.
    ignored_watches: usize,
    scripted_answers: VecDeque<ScriptedAnswer>,
    /// Calls without an answer whose connections the node has closed, and connections that a closing discovery
    /// has closed, since the mode was set.
    abandoned_calls: usize,
}

/// How one call is answered.
enum Answer {
    Never,
    Scripted(ScriptedAnswer),
    Rejection,
    List,
}

impl FakeDiscovery {
    /// Listens at one more address; all addresses share the list.
    pub(crate) fn listen(&self, host: &LoopbackHost) -> ListeningServer {
        let discovery = self.clone();
        ListeningServer::start(host, move |connection| discovery.serve(connection))
    }

    /// Enters an endpoint, in place of the entry of that name if there is one. `started_at` is in milliseconds of
    /// Unix time.
    pub(crate) fn enter(&self, name: &str, address: &str, state: EndpointState, started_at: u128) {
        let entry = format!(
            "{{\"uid\":\"{name}\",\"endpoint\":\"{address}\",\"az\":\"z\",\"model\":\"m\",\"pod_group\":0,\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{started_at}}}"
        );
        let mut list = lock(&self.list);
        list.version += 1;
        list.entries.insert(name.to_string(), entry);
    }

    /// The list as it is now, as JSON.
    pub(crate) fn list_json(&self) -> String {
        let list = lock(&self.list);
        let entries: Vec<&str> = list.entries.values().map(String::as_str).collect();
        let entries = entries.join(",");
        format!(
            "{{\"rev\":{},\"all\":true,\"targets\":[{entries}]}}",
            list.version
        )
    }

    /// Changes how it takes calls from now on, and begins to count abandoned calls anew.
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

    /// Breaks all its connections.
    pub(crate) fn disconnect_all(&self) {
        disconnect(&mut lock(&self.connections));
    }

    /// Hands over its open connections, and forgets them.
    pub(crate) fn take_connections(&self) -> Vec<TcpStream> {
        std::mem::take(&mut lock(&self.connections))
    }

    /// Whether a connection has come that has not been handed over or broken.
    pub(crate) fn has_connections(&self) -> bool {
        !lock(&self.connections).is_empty()
    }

    /// Breaks all connections and rejects so many of the next calls.
    pub(crate) fn reject_next_calls(&self, count: usize) {
        lock(&self.calls).rejections = count;
        self.disconnect_all();
    }

    /// Never answers so many of the next calls.
    pub(crate) fn ignore_next_calls(&self, count: usize) {
        lock(&self.calls).ignored_calls = count;
    }

    /// Never answers so many of the next calls that wait for changes.
    pub(crate) fn ignore_next_watches(&self, count: usize) {
        lock(&self.calls).ignored_watches = count;
    }

    /// Answers the next call that has no scripted answer yet with these bytes.
    pub(crate) fn script_answer(&self, answer: ScriptedAnswer) {
        lock(&self.calls).scripted_answers.push_back(answer);
    }

    /// The calls that the node has abandoned since the mode was set, and the connections that were closed on it.
    pub(crate) fn abandoned_calls(&self) -> usize {
        lock(&self.calls).abandoned_calls
    }

    /// The request lines of all calls so far.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        lock(&self.calls).request_lines.clone()
    }

    fn serve(&self, connection: TcpStream) {
        lock(&self.connections).push(connection.try_clone().unwrap());
        let output = connection.try_clone().unwrap();
        if lock(&self.calls).mode == DiscoveryMode::Closing {
            lock(&self.calls).abandoned_calls += 1;
            let _ = output.shutdown(Shutdown::Both);
            return;
        }
        let mut input = BufReader::new(connection);
        while let Some(request_line) = resp::read_line(&mut input) {
            while resp::read_line(&mut input).is_some_and(|header| !header.is_empty()) {}
            let answer = lock(&self.calls).next_answer(&request_line);
            match answer {
                Answer::Never => {
                    while !is_closed_by_peer(&output) {}
                    lock(&self.calls).abandoned_calls += 1;
                    return;
                }
                Answer::Scripted(scripted) => return self.send_scripted(&output, &scripted),
                Answer::Rejection => return send(&output, REJECTION),
                Answer::List => {
                    if !self.wait_for_change(&request_line, &output) {
                        lock(&self.calls).abandoned_calls += 1;
                        return;
                    }
                    self.send_list(&output);
                }
            }
        }
    }

    /// Waits until the list has another version than the call knows, and discovery answers; says whether the node
    /// still waits then.
    fn wait_for_change(&self, request_line: &str, connection: &TcpStream) -> bool {
        let known_version = known_version(request_line);
        while known_version == Some(lock(&self.list).version)
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
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        send(connection, &answer);
    }

    fn send_scripted(&self, connection: &TcpStream, answer: &ScriptedAnswer) {
        send(connection, &answer.bytes);
        if !answer.resets {
            let _ = connection.shutdown(Shutdown::Both);
            return;
        }
        sleep(RESET_DELAY);
        SockRef::from(connection)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
        // With the last handle on the socket gone, the system resets the connection.
        lock(&self.connections).clear();
    }
}

impl CallState {
    /// Records a call and decides how it is answered.
    fn next_answer(&mut self, request_line: &str) -> Answer {
        self.request_lines.push(request_line.to_string());
        let is_watch = request_line.contains("wait_ms=") && !request_line.contains("wait_ms=0 ");
        let is_ignored = self.take_ignored(is_watch);
        let is_rejected = take_one(&mut self.rejections);
        let scripted = self.scripted_answers.pop_front();
        match scripted {
            _ if is_ignored => Answer::Never,
            Some(answer) => Answer::Scripted(answer),
            None if is_rejected => Answer::Rejection,
            None => Answer::List,
        }
    }

    fn take_ignored(&mut self, is_watch: bool) -> bool {
        (is_watch && take_one(&mut self.ignored_watches)) || take_one(&mut self.ignored_calls)
    }
}

/// Takes one off a count, if it is not zero; says whether it did.
fn take_one(count: &mut usize) -> bool {
    let is_left = *count > 0;
    *count -= usize::from(is_left);
    is_left
}

/// The version of the list that the caller has.
fn known_version(request_line: &str) -> Option<u64> {
    let (_, query) = request_line.split_once("after=")?;
    query.split('&').next()?.parse().ok()
}

/// Looks for a moment whether the other side has closed the connection.
fn is_closed_by_peer(connection: &TcpStream) -> bool {
    connection.set_read_timeout(Some(CLOSE_POLL)).unwrap();
    let is_closed = matches!(connection.peek(&mut [0]), Ok(0));
    connection.set_read_timeout(None).unwrap();
    is_closed
}
