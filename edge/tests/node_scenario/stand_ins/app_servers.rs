//! The app servers, each at an address of its own.

use super::discovery::{EndpointState, FakeDiscovery};
use super::loopback::{FullListener, ListeningServer, LoopbackHost};
use super::{lock, resp};
use crate::node_scenario::wait_until;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// A request that has come to an app server.
#[derive(Debug)]
struct ReceivedRequest {
    server: String,
    request: String,
    connection: usize,
    /// How long the client still waits, in milliseconds, as the command says.
    remaining_ms: u64,
}

/// What a connection's thread has seen at an app server.
enum ServerEvent {
    Request(ReceivedRequest),
    ConnectionClosed {
        server: String,
        connection: usize,
        /// No command has come on the connection.
        was_unused: bool,
    },
}

/// Where an app server listens.
enum Listener {
    /// It accepts connections.
    Accepting(ListeningServer),
    /// Its queue is full and nobody accepts.
    Full(FullListener),
}

impl Listener {
    fn address(&self) -> String {
        match self {
            Listener::Accepting(server) => server.address().to_string(),
            Listener::Full(listener) => listener.address(),
        }
    }
}

/// All app servers of a scenario. They answer when a step tells them to.
pub(crate) struct FakeAppServers {
    listeners: BTreeMap<String, Listener>,
    /// All connections to app servers, by their number.
    connections: Arc<Mutex<Vec<TcpStream>>>,
    event_sender: Sender<ServerEvent>,
    events: Receiver<ServerEvent>,
    /// Requests that have come and that no step has asked for yet.
    unclaimed_requests: VecDeque<ReceivedRequest>,
    /// The connection on which each request that a step has asked for came.
    request_connections: BTreeMap<String, usize>,
    /// How long the client of each request still waits, in milliseconds.
    remaining_ms: BTreeMap<String, u64>,
    closed_connections: Vec<usize>,
    /// App servers at which an unused connection was closed that no step has asked for yet.
    unused_closed_at: Vec<String>,
}

impl FakeAppServers {
    /// No app servers yet.
    pub(crate) fn new() -> Self {
        let (event_sender, events) = channel();
        FakeAppServers {
            listeners: BTreeMap::new(),
            connections: Arc::default(),
            event_sender,
            events,
            unclaimed_requests: VecDeque::new(),
            request_connections: BTreeMap::new(),
            remaining_ms: BTreeMap::new(),
            closed_connections: Vec::new(),
            unused_closed_at: Vec::new(),
        }
    }

    /// Starts an app server at a new address and enters it with discovery.
    pub(crate) fn start(&mut self, name: &str, host: &LoopbackHost, discovery: &FakeDiscovery) {
        let server = ListeningServer::start(host, self.connection_handler(name));
        self.enter(name, Listener::Accepting(server), discovery);
    }

    /// Starts an app server to which no connection comes up yet, and enters it with discovery.
    pub(crate) fn start_full(
        &mut self,
        name: &str,
        host: &LoopbackHost,
        discovery: &FakeDiscovery,
    ) {
        let listener = FullListener::start(host);
        self.enter(name, Listener::Full(listener), discovery);
    }

    fn enter(&mut self, name: &str, listener: Listener, discovery: &FakeDiscovery) {
        discovery.enter(name, &listener.address(), EndpointState::Active, 0);
        self.listeners.insert(name.to_string(), listener);
    }

    /// Lets connections come up at a server whose queue was full.
    pub(crate) fn accept_connections(&mut self, name: &str) {
        let listener = self.listeners.remove(name);
        let Some(Listener::Full(listener)) = listener else {
            panic!("the queue of {name} is not full");
        };
        let server = listener.open(self.connection_handler(name));
        self.listeners
            .insert(name.to_string(), Listener::Accepting(server));
    }

    /// Closes the listener of a server; connections that are up stay.
    pub(crate) fn close_listener(&self, name: &str) {
        let Listener::Accepting(server) = &self.listeners[name] else {
            panic!("{name} does not accept");
        };
        server.close();
        // The listener is dropped when the next connection comes.
        let _ = TcpStream::connect(server.address());
        wait_until(|| TcpStream::connect(server.address()).err());
    }

    /// Where a server listens.
    pub(crate) fn address(&self, name: &str) -> String {
        self.listeners[name].address()
    }

    /// Waits until a request comes, and panics where it came to another server than the named one.
    pub(crate) fn expect_request(&mut self, server: Option<&str>, request: &str) {
        let received = wait_until(|| {
            self.drain_events();
            let is_wanted = |received: &ReceivedRequest| received.request == request;
            let position = self.unclaimed_requests.iter().position(is_wanted)?;
            self.unclaimed_requests.remove(position)
        });
        if let Some(server) = server {
            assert_eq!(received.server, server, "{request} came elsewhere");
        }
        self.claim(received);
    }

    /// Panics where a request has not come to a server by now.
    pub(crate) fn expect_request_now(&mut self, server: &str, request: &str) {
        self.drain_events();
        let is_wanted =
            |received: &ReceivedRequest| received.server == server && received.request == request;
        let position = self.unclaimed_requests.iter().position(is_wanted);
        let received = position.and_then(|position| self.unclaimed_requests.remove(position));
        self.claim(received.expect("the request has come"));
    }

    fn claim(&mut self, received: ReceivedRequest) {
        self.request_connections
            .insert(received.request, received.connection);
    }

    /// Panics where a request has come that no step has asked for.
    pub(crate) fn expect_no_request(&mut self) {
        self.drain_events();
        let unclaimed = &self.unclaimed_requests;
        assert!(unclaimed.is_empty(), "{unclaimed:?}");
    }

    /// Waits until the node has closed the connection on which a request came.
    pub(crate) fn expect_connection_closed(&mut self, request: &str) {
        let connection = self.request_connections[request];
        wait_until(|| {
            self.drain_events();
            let is_closed = self.closed_connections.contains(&connection);
            is_closed.then_some(())
        });
    }

    /// Waits until the node has closed a connection to a server on which no command came.
    pub(crate) fn expect_unused_connection_closed(&mut self, server: &str) {
        wait_until(|| {
            self.drain_events();
            let closed_at = &mut self.unused_closed_at;
            let position = closed_at.iter().position(|name| name == server)?;
            Some(closed_at.remove(position))
        });
    }

    /// The number of the connection on which a request came.
    pub(crate) fn connection_of(&self, request: &str) -> usize {
        self.request_connections[request]
    }

    /// How long the client of a request still waits, in milliseconds, as its latest command says.
    pub(crate) fn remaining_ms(&self, request: &str) -> u64 {
        self.remaining_ms[request]
    }

    /// Writes bytes to the connection on which a request came.
    pub(crate) fn send_bytes(&self, request: &str, bytes: &str) {
        let mut connection = &lock(&self.connections)[self.connection_of(request)];
        connection
            .write_all(bytes.as_bytes())
            .expect("the node reads");
    }

    /// Shuts the connection down on which a request came.
    pub(crate) fn disconnect(&self, request: &str) {
        let connection = &lock(&self.connections)[self.connection_of(request)];
        // The node may have closed it before.
        let _ = connection.shutdown(Shutdown::Both);
    }

    /// Takes in what the threads of the connections have seen.
    fn drain_events(&mut self) {
        for event in self.events.try_iter() {
            match event {
                ServerEvent::Request(received) => {
                    let request = received.request.clone();
                    self.remaining_ms.insert(request, received.remaining_ms);
                    self.unclaimed_requests.push_back(received);
                }
                ServerEvent::ConnectionClosed {
                    server,
                    connection,
                    was_unused,
                } => {
                    self.closed_connections.push(connection);
                    self.unused_closed_at.extend(was_unused.then_some(server));
                }
            }
        }
    }

    /// What an app server does with a connection: it reports the requests that come, and the end.
    fn connection_handler(&self, server: &str) -> impl Fn(TcpStream) + Send + Sync + 'static {
        let server = server.to_string();
        let connections = self.connections.clone();
        let events = self.event_sender.clone();
        move |stream: TcpStream| {
            let connection = {
                let mut connections = lock(&connections);
                connections.push(stream.try_clone().unwrap());
                connections.len() - 1
            };
            let mut input = BufReader::new(stream);
            let mut was_unused = true;
            while let Some(words) = resp::read_command(&mut input) {
                was_unused = false;
                let received = ReceivedRequest::from_command(&server, connection, &words);
                report(&events, ServerEvent::Request(received));
            }
            let server = server.clone();
            let closed = ServerEvent::ConnectionClosed {
                server,
                connection,
                was_unused,
            };
            report(&events, closed);
        }
    }
}

impl ReceivedRequest {
    fn from_command(server: &str, connection: usize, words: &[String]) -> Self {
        let remaining_ms = words[3]
            .split(',')
            .find_map(|pair| pair.strip_prefix("d=")?.parse().ok())
            .expect("the command says how long the client still waits");
        ReceivedRequest {
            server: server.to_string(),
            request: words[2].trim_start_matches('0').to_string(),
            connection,
            remaining_ms,
        }
    }
}

/// Reports an event; the scenario may have ended before.
fn report(events: &Sender<ServerEvent>, event: ServerEvent) {
    let _ = events.send(event);
}
