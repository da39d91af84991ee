//! Clients' connections: takes their commands as they come, piped or in pieces, and answers each in its order.

mod listener;

use crate::client::{Client, GatewayStatus, MAX_IDLE};
use crate::component::Component;
use crate::lingering::Lingering;
use crate::notification::Notification;
use crate::reactor::{Reactor, Serial};
use crate::readiness::Readiness;
use crate::requests::{OpenRequests, ResponseSlot};
use crate::resp::{self, ProtocolError, MAX_MESSAGE};
use crate::stream::BufferedStream;
use listener::{Accepted, Listener};
use mio::net::TcpStream;
use slab::Slab;
use std::io;
use std::net::SocketAddr;

/// So many connections may linger beyond the clients' budget.
const SPARE_LINGERING: usize = 2;

/// All connections of clients.
pub(crate) struct Clients {
    listener: Listener,
    connections: Slab<Client>,
    lingering: Lingering,
    /// Accepting was left off, for want of sockets or since the system refused.
    is_accept_paused: bool,
    /// A connection has ended or become idle since: accepting may go on.
    may_resume_accept: bool,
    /// Paused connections that may go on.
    resumable: Vec<usize>,
    /// The gateway may say that it is ready: an endpoint list is known, or has not come for long.
    pub(crate) is_ready: bool,
}

/// Whether there is no room for further requests: too many are open, or the memory could not take the value that each of
/// them may bring yet.
fn is_full(reactor: &Reactor, requests: &OpenRequests) -> bool {
    let max_open = reactor.settings.limits.max_open_requests as usize;
    let bytes_in_prospect = reactor.buffered_bytes() + requests.len() * resp::MAX_VALUE;
    bytes_in_prospect > reactor.budget.bytes || (max_open > 0 && requests.len() >= max_open)
}

impl Clients {
    /// Listens for clients at an address.
    pub(crate) fn listen(reactor: &mut Reactor, address: SocketAddr) -> io::Result<Clients> {
        Ok(Clients {
            listener: Listener::bind(reactor, address)?,
            connections: Slab::new(),
            lingering: Lingering::default(),
            is_accept_paused: false,
            may_resume_accept: false,
            resumable: Vec::new(),
            is_ready: false,
        })
    }

    /// How many connections there are, with those that the gateway has ended and the client has not yet.
    pub(crate) fn len(&self) -> usize {
        self.connections.len() + self.lingering.len()
    }

    fn is_budget_used(&self, reactor: &Reactor) -> bool {
        self.connections.len() >= reactor.budget.clients
    }

    /// Accepts what waits; when short of sockets an idle connection makes room, else the rest waits on.
    pub(crate) fn accept(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        self.is_accept_paused = false;
        loop {
            let mut evictable = None;
            if self.is_budget_used(reactor) {
                evictable = self.find_evictable(reactor, requests);
            }
            if evictable.is_none() && self.is_budget_used(reactor) {
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
            // What goes for a new connection is ended only when there is one.
            if let Some(key) = evictable {
                self.end(reactor, key, requests);
            }
            self.insert(reactor, socket);
        }
    }

    fn insert(&mut self, reactor: &mut Reactor, socket: TcpStream) {
        let most = reactor.budget.clients + SPARE_LINGERING;
        while self.len() >= most && self.lingering.evict_oldest(reactor) {}
        let key = self.connections.vacant_key();
        let stream = BufferedStream::accepted(reactor, socket, Component::Client, key);
        let client = Client::new(stream, reactor.next_serial(), reactor.now);
        self.connections.insert(client);
    }

    /// The connection to go for another one: that of a client that has asked nothing yet, else one that has been idle for
    /// longest.
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
                .min_by_key(|(_, client)| (client.has_asked, client.last_active))?;
            self.take_unread(reactor, key, requests);
            let stays_evictable = self
                .connections
                .get(key)
                .is_some_and(|client| client.is_evictable(reactor));
            if stays_evictable {
                return Some(key);
            }
        }
    }

    /// Takes what has come and the poll has not told of yet; returns whether the connection is idle still.
    fn stays_idle(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> bool {
        self.take_unread(reactor, key, requests);
        self.connections
            .get(key)
            .is_some_and(|client| client.is_idle(reactor))
    }

    /// Takes what has come on a connection and the poll has not told of yet.
    fn take_unread(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        self.connections[key].stream.read_would_block = false;
        self.read_commands(reactor, key, requests);
    }

    /// The poll tells of a connection.
    pub(crate) fn on_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
        requests: &mut OpenRequests,
    ) {
        if readiness.is_broken() {
            return self.close(reactor, key, requests);
        }
        // Its end is told once. One that is not read any further must not be missed.
        let is_unread = self
            .connections
            .get(key)
            .is_some_and(|client| client.is_paused() || client.is_closing());
        if readiness.has_peer_stopped_sending() && is_unread {
            self.on_peer_closed(reactor, key, requests);
        }
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        client.stream.read_would_block = false;
        if client.stream.pending_bytes() > 0 {
            self.flush(reactor, key, requests);
        }
        self.read_commands(reactor, key, requests);
    }

    /// Takes commands and reads on, until there is no more or no room.
    fn read_commands(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        while self.take_commands(reactor, key, requests) {
            let client = &mut self.connections[key];
            if client.stream.read_would_block {
                return;
            }
            let was_empty = client.stream.input.is_empty();
            if !client.stream.read(reactor, MAX_MESSAGE) {
                return self.on_read_end(reactor, key, requests);
            }
            if was_empty && !client.stream.input.is_empty() {
                client.last_active = reactor.now;
            }
        }
    }

    /// A connection can't be read any further: it failed, or the client has ended its sending.
    fn on_read_end(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if self.connections[key].stream.has_failed {
            self.close(reactor, key, requests);
        } else {
            self.on_peer_closed(reactor, key, requests);
        }
    }

    /// Takes the whole commands in the input. Returns false if the connection is to be read no further now.
    fn take_commands(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> bool {
        let Some(client) = self.connections.get_mut(key) else {
            return false;
        };
        client.resume();
        let input = std::mem::take(&mut client.stream.input);
        let mut consumed = 0;
        while !client.is_closing() && consumed < input.len() {
            let bytes = &input[consumed..];
            match resp::parse_command(bytes) {
                // What is no whole command yet must end within the size of one.
                Ok(None) if bytes.len() < MAX_MESSAGE => break,
                Ok(None) => client.reject_input(reactor, ProtocolError::CommandTooLong),
                Err(error) => client.reject_input(reactor, error),
                Ok(Some((words, length))) => {
                    if client.pause_if_behind() {
                        break;
                    }
                    // What there is no room for is refused: it may not wait for others to end, past its own client's
                    // time.
                    let gateway = GatewayStatus {
                        is_ready: self.is_ready,
                        is_full: is_full(reactor, requests),
                    };
                    let command = &bytes[..length];
                    client.handle_command(reactor, key, command, words, requests, gateway);
                    consumed += length;
                    client.last_active = reactor.now;
                }
            }
        }
        client.stream.input = input;
        client.stream.consume(reactor, consumed);
        !client.is_closing() && !client.is_paused()
    }

    /// The client has ended its sending: what has come whole is refused, what is in flight is given up, and the connection
    /// ends behind the last answer.
    fn on_peer_closed(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(open) = self.note_peer_closed(key) else {
            return;
        };
        self.take_commands(reactor, key, requests);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        client.stop_reading();
        reactor.metrics.disconnected += open.len() as u64;
        let given_up = open
            .into_iter()
            .filter_map(|request| requests.mark_client_left(request));
        for request in given_up {
            reactor.notify(Notification::ExpireRequest(request));
        }
        if client.is_quiescent() {
            self.end(reactor, key, requests);
        }
    }

    /// Has a connection take its last commands. Returns the requests that were open before them; none where the client's
    /// end was noticed before.
    fn note_peer_closed(&mut self, key: usize) -> Option<Vec<Serial>> {
        let client = self
            .connections
            .get_mut(key)
            .filter(|client| !client.has_peer_closed())?;
        client.take_last_commands();
        let pending = client.pending_commands.iter();
        Some(pending.filter_map(|command| command.request).collect())
    }

    /// Writes an answer, now if all before it are answered.
    pub(crate) fn respond(
        &mut self,
        reactor: &mut Reactor,
        slot: ResponseSlot,
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
        if client.is_paused() {
            self.resumable.push(slot.key);
        }
    }

    /// Writes what it can of a connection's answers, and ends the connection where it is to end behind them.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        let Ok(has_progressed) = client.stream.flush(reactor) else {
            return self.close(reactor, key, requests);
        };
        if has_progressed {
            client.last_active = reactor.now;
            if client.is_paused() {
                self.resumable.push(key);
            }
        }
        let is_quiescent = client.is_quiescent();
        self.may_resume_accept |= is_quiescent;
        let ends = client.is_closing() && is_quiescent;
        let may_end = reactor.is_draining() && client.is_idle(reactor);
        if ends || (may_end && self.stays_idle(reactor, key, requests)) {
            self.end(reactor, key, requests);
        }
    }

    /// Ends a connection with nothing open and all of its answers written.
    fn end(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            self.lingering.end_connection(reactor, client.stream);
        }
    }

    /// The client has gone, or does not take its answers.
    fn close(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            client.stream.close(reactor);
        }
    }

    /// The poll tells of a connection that the gateway has ended.
    pub(crate) fn on_lingering_ready(&mut self, reactor: &mut Reactor, key: usize) {
        self.lingering.discard_input(reactor, key);
        self.may_resume_accept = true;
    }

    /// Takes a connection out; its open requests have nobody to answer any more.
    fn remove(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> Option<Client> {
        let mut client = self.connections.try_remove(key)?;
        for command in client.pending_commands.drain(..) {
            reactor.release_buffered_bytes(command.answer.map_or(0, |answer| answer.len()));
            let given_up = command
                .request
                .and_then(|request| requests.mark_client_left(request));
            if let Some(request) = given_up {
                reactor.notify(Notification::ClientDisconnect(request));
            }
        }
        self.may_resume_accept = true;
        Some(client)
    }

    /// Lets connections go on that an answer, a write or an end has made room for: those paused, and those not accepted
    /// yet. The one place for it: to accept may close a connection, which may not accept again from within. Returns whether
    /// there were any.
    pub(crate) fn resume_paused(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) -> bool {
        if std::mem::take(&mut self.may_resume_accept) && self.is_accept_paused {
            self.accept(reactor, requests);
            return true;
        }
        let keys = std::mem::take(&mut self.resumable);
        for key in &keys {
            if self.connections.get(*key).is_some_and(Client::is_paused) {
                self.read_commands(reactor, *key, requests);
            }
        }
        !keys.is_empty()
    }

    /// At each tick: who has asked nothing that can be taken for so long, or has left a command unfinished, is told so and
    /// closed; so are clients between two requests, where they hold most of the connections.
    pub(crate) fn close_overdue(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        // Who waits to be accepted is looked at again: some may have stood idle for long enough by now to make room.
        self.may_resume_accept |= self.lingering.close_expired(reactor) || self.is_accept_paused;
        for (_, client) in &mut self.connections {
            // One that the poll could not take when it came.
            let _ = client.stream.register(reactor);
        }
        let now = reactor.now;
        let are_scarce = self.connections.len() * 2 > reactor.budget.clients;
        for key in self.keys(|client| client.is_overdue(now, are_scarce)) {
            self.take_unread(reactor, key, requests);
            let Some(client) = self
                .connections
                .get_mut(key)
                .filter(|client| client.is_overdue(now, are_scarce))
            else {
                continue;
            };
            if client.stream.input.is_empty() {
                self.end(reactor, key, requests);
            } else {
                client.reject_input(reactor, ProtocolError::CommandTooSlow);
            }
        }
    }

    /// Once a second: who does not take its answers for longer than any client waits is closed, and, when memory is short,
    /// the largest half commands of clients with nothing open; others that are paused get a new chance.
    pub(crate) fn close_stuck(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        let now = reactor.now;
        // A client waits no longer for an answer.
        let patience = reactor.settings.max_client_timeout().max(MAX_IDLE);
        for key in self.keys(|client| client.is_stuck(now, patience)) {
            self.close(reactor, key, requests);
        }
        while reactor.buffered_bytes() > reactor.budget.bytes {
            let Some(key) = self.largest_stalled_command(reactor) else {
                break;
            };
            slog::warn!(reactor.log, "memory is short: a half command is dropped"; "held" => reactor.buffered_bytes());
            self.end(reactor, key, requests);
        }
        self.resumable = self.keys(Client::is_paused);
        self.may_resume_accept = true;
    }

    /// The connection with the largest half command that waits for its rest for longer than a connection may take to come
    /// up.
    fn largest_stalled_command(&self, reactor: &Reactor) -> Option<usize> {
        let stalled_since = reactor.now.saturating_sub(reactor.connect_timeout());
        self.connections
            .iter()
            .filter(|(_, client)| client.has_stalled_command(stalled_since))
            .max_by_key(|(_, client)| client.stream.input.len())
            .map(|(key, _)| key)
    }

    /// The gateway stops: connections with nothing open are ended, unless something has just come.
    pub(crate) fn end_idle_connections(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) {
        for key in self.keys(|client| client.is_idle(reactor)) {
            if self.connections.contains(key) && self.stays_idle(reactor, key, requests) {
                self.end(reactor, key, requests);
            }
        }
    }

    /// The gateway is at its end: what has come whole by now is taken, nothing is read any more, and each connection ends
    /// behind its last answer.
    pub(crate) fn end_after_last_answers(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) {
        for key in self.keys(|client| !client.is_closing()) {
            if self.connections.contains(key) {
                self.take_unread(reactor, key, requests);
            }
            if let Some(client) = self.connections.get_mut(key) {
                if !client.is_paused() {
                    client.stop_reading();
                }
            }
        }
        for key in self.keys(|client| client.is_closing() && client.is_quiescent()) {
            self.end(reactor, key, requests);
        }
    }

    fn keys(&self, is_wanted: impl Fn(&Client) -> bool) -> Vec<usize> {
        self.connections
            .iter()
            .filter(|(_, client)| is_wanted(client))
            .map(|(key, _)| key)
            .collect()
    }
}
