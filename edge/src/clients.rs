//! The connections of clients: reads their commands, which may be pipelined or arrive in pieces, and writes the answers
//! of each connection in the order of its commands.

mod input;
mod listener;
mod memory;
mod periodic;
mod turn;

use crate::client::Client;
use crate::component::Component;
use crate::lingering::LingeringConnections;
use crate::notification::Notification;
use crate::reactor::Reactor;
use crate::requests::{AnswerSlot, OpenRequests};
use crate::resp::ProtocolError;
use crate::stream::BufferedStream;
use listener::{Accepted, Listener};
use memory::ClientMemory;
pub(crate) use memory::MemoryUse;
use mio::net::TcpStream;
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use turn::IterationBudget;

/// By how many connections the budget for clients may be exceeded if lingering connections are included.
const MAX_LINGERING_BEYOND_BUDGET: usize = 2;

/// How many connections are accepted in one event loop iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

/// All connections of clients, and the socket on which they connect.
pub(crate) struct Clients {
    listener: Listener,
    connections: Slab<Client>,
    lingering: LingeringConnections,
    /// Accepting is paused, because the budget is used up or because the system refused.
    is_accept_paused: bool,
    /// A connection was closed or became idle since the last attempt to accept, so accepting may succeed again.
    may_resume_accept: bool,
    /// The keys of paused connections from which commands may be read again.
    resumable: Vec<usize>,
    iteration_budget: IterationBudget,
    memory: ClientMemory,
    /// Whether PING is answered with PONG: an endpoint list is known, or the wait for one has exceeded its limit.
    pub(crate) is_ready: bool,
}

/// Whether further requests must be rejected because as many are open as the settings allow.
fn is_full(reactor: &Reactor, requests: &OpenRequests) -> bool {
    let max_open = reactor.settings.limits.max_open_requests as usize;
    max_open > 0 && requests.len() >= max_open
}

/// Counts what the answers of a connection take now.
fn count_answers(reactor: &mut Reactor, memory: &mut ClientMemory, client: &mut Client) {
    client.count_pending(reactor);
    let bytes = client.answer_memory_bytes();
    memory.update_answers(&mut client.memory, bytes);
}

impl Clients {
    /// Listens for clients at an address.
    pub(crate) fn listen(reactor: &mut Reactor, address: SocketAddr) -> io::Result<Clients> {
        Ok(Clients {
            listener: Listener::bind(reactor, address)?,
            connections: Slab::new(),
            lingering: LingeringConnections::default(),
            is_accept_paused: false,
            may_resume_accept: false,
            resumable: Vec::new(),
            iteration_budget: IterationBudget::new(),
            memory: ClientMemory::new(&reactor.budget),
            is_ready: false,
        })
    }

    /// Starts an event loop iteration.
    pub(crate) fn begin_iteration(&mut self) {
        self.iteration_budget = IterationBudget::new();
    }

    /// Whether further connections have their turn in the next event loop iteration.
    pub(crate) fn are_turns_used_up(&self) -> bool {
        self.iteration_budget.is_used_up()
    }

    /// The number of connections, including lingering ones.
    pub(crate) fn len(&self) -> usize {
        self.connections.len() + self.lingering.len()
    }

    /// Whether there are as many connections as the budget allows, not counting lingering ones.
    fn is_budget_exhausted(&self, reactor: &Reactor) -> bool {
        self.connections.len() >= reactor.budget.clients
    }

    /// Accepts the connections that wait, up to `MAX_ACCEPTS_PER_ITERATION`; the others in the next iteration. While the
    /// budget is used up, an idle connection is closed for each new one; if there is none, accepting is paused and the
    /// remaining connections stay in the backlog.
    pub(crate) fn accept(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        self.is_accept_paused = false;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let mut evictable = None;
            if self.is_budget_exhausted(reactor) {
                evictable = self.find_evictable(reactor, requests);
            }
            if evictable.is_none() && self.is_budget_exhausted(reactor) {
                self.is_accept_paused = true;
                return;
            }
            let socket = match self.listener.accept(reactor) {
                Accepted::Connection(socket) => socket,
                Accepted::ConnectionGone => continue,
                Accepted::NoneWaiting => return,
                Accepted::Failed => {
                    self.is_accept_paused = true;
                    return;
                }
            };
            // An idle connection is closed only once there is a new one to replace it.
            if let Some(key) = evictable {
                self.evict(reactor, key, requests);
            }
            self.insert(reactor, socket);
        }
        reactor.defer_read(Component::Listener.token(0));
    }

    /// Closes a connection for a new one. The client of an incomplete command gets an error first.
    fn evict(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let client = &mut self.connections[key];
        if client.stream.input.is_empty() {
            return self.close_gracefully(reactor, key, requests);
        }
        client.reject_input(reactor, ProtocolError::CommandEvicted);
        self.flush(reactor, key, requests);
        if self.connections.contains(key) {
            self.close(reactor, key, requests);
        }
    }

    fn insert(&mut self, reactor: &mut Reactor, socket: TcpStream) {
        let max_connections = reactor.budget.clients + MAX_LINGERING_BEYOND_BUDGET;
        while self.len() >= max_connections && self.lingering.evict_oldest(reactor) {}
        let key = self.connections.vacant_key();
        let stream = BufferedStream::accepted(reactor, socket, Component::Client, key);
        let client = Client::new(stream, reactor.next_serial(), reactor.now);
        self.connections.insert(client);
    }

    /// Finds the connection to close for a new one: preferably of a client that has not sent a request yet, and among
    /// these the one that has been idle longest. Input that has arrived on it is handled first; if that makes it
    /// active, the search goes on.
    fn find_evictable(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) -> Option<usize> {
        loop {
            let (key, _) = self
                .connections
                .iter()
                .filter(|(_, client)| client.is_evictable(reactor))
                .min_by_key(|(_, client)| (client.has_sent_request, client.last_active))?;
            self.read_unreported_input(reactor, key, requests);
            let is_still_evictable = self
                .connections
                .get(key)
                .is_some_and(|client| client.is_evictable(reactor));
            if is_still_evictable {
                return Some(key);
            }
        }
    }

    /// Answers a command. The answer is queued for writing once all commands before it are answered; it is dropped if
    /// the connection is closed.
    pub(crate) fn answer(
        &mut self,
        reactor: &mut Reactor,
        slot: AnswerSlot,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let Some(client) = self
            .connections
            .get_mut(slot.key)
            .filter(|client| client.connection == slot.connection)
        else {
            return;
        };
        client.respond(reactor, slot.number, write);
        count_answers(reactor, &mut self.memory, client);
        if client.is_paused() {
            self.resumable.push(slot.key);
        }
    }

    /// Writes as much of a connection's answers as the socket accepts, and closes the connection if it is closing, or
    /// idle while the gateway drains, and all answers are written.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        let Ok(has_progressed) = client.stream.flush(reactor) else {
            return self.close(reactor, key, requests);
        };
        count_answers(reactor, &mut self.memory, client);
        if has_progressed {
            client.last_active = reactor.now;
            if client.is_paused() {
                self.resumable.push(key);
            }
        }
        let is_quiescent = client.is_quiescent();
        self.may_resume_accept |= is_quiescent;
        let has_finished = client.is_closing() && is_quiescent;
        let may_drain = reactor.is_draining() && client.is_idle(reactor);
        if has_finished || (may_drain && self.is_idle_after_reading(reactor, key, requests)) {
            self.close_gracefully(reactor, key, requests);
        }
    }

    /// Starts the lingering close of a connection on which all answers are written, so that the client receives the
    /// last one. See [`LingeringConnections`].
    fn close_gracefully(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            self.lingering.close_gracefully(reactor, client.stream);
        }
    }

    /// Closes a connection at once: it failed, or its client does not read the answers.
    fn close(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            client.stream.close(reactor);
        }
    }

    /// Handles a readiness event of a lingering connection.
    pub(crate) fn on_lingering_ready(&mut self, reactor: &mut Reactor, key: usize) {
        self.lingering.discard_input(reactor, key);
        self.may_resume_accept = true;
    }

    /// Removes a connection, and reports its unanswered requests to the controller as disconnected.
    fn remove(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> Option<Client> {
        let mut client = self.connections.try_remove(key)?;
        self.memory.remove(key, &mut client.memory);
        client.uncount_pending(reactor);
        for command in client.pending_commands.drain(..) {
            let unanswered = command
                .request
                .and_then(|request| requests.mark_client_left(request));
            if let Some(request) = unanswered {
                reactor.notify(Notification::ClientDisconnect(request));
            }
        }
        self.may_resume_accept = true;
        Some(client)
    }

    /// Resumes accepting, the paused connections that an answer or a write may have unblocked, and those for whose input
    /// there is memory again, in the next iteration.
    pub(crate) fn resume_paused(&mut self, reactor: &mut Reactor) {
        if std::mem::take(&mut self.may_resume_accept) && self.is_accept_paused {
            reactor.defer_read(Component::Listener.token(0));
        }
        for key in std::mem::take(&mut self.resumable) {
            if self.connections.get(key).is_some_and(Client::is_paused) {
                self.defer_turn(reactor, key);
            }
        }
        while let Some(key) = self.memory.next_waiting(reactor.memory.headroom()) {
            self.grant_permit(reactor, key);
        }
    }
}
