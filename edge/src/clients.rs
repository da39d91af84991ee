//! Clients' connections: takes their commands as they come, piped or in pieces, and answers each in its
//! order.

use crate::client::{Client, IDLE};
use crate::lingering::Lingering;
use crate::reactor::{Notification, Reactor, Serial, Side};
use crate::requests::{OpenRequests, ResponseSlot};
use crate::resp;
use crate::stream::BufferedStream;
use mio::net::TcpListener;
use mio::Interest;
use slab::Slab;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Errors of a connection that waited and is gone, which accept(2) passes on: the next one is taken at once.
const PASSED_ON: [i32; 12] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::ENETDOWN,
    libc::EPROTO,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
    libc::ETIMEDOUT,
    libc::ECONNRESET,
];

/// So many connections may wait to be accepted, as far as the system allows. One beyond them comes up a second late.
const QUEUE: i32 = 4096;

/// So many commands of one connection may wait for their answers: what comes behind them waits for those before it, whose
/// time does not count, and a flood does not fill the memory within a turn.
const PIPED: usize = 1024;

/// So many connections may linger beyond the clients' budget.
const SPARE: usize = 2;

pub struct Clients {
    listener: TcpListener,
    connections: Slab<Client>,
    lingering: Lingering,
    /// Accepting was left off for want of sockets; a connection has since ended or become idle.
    waiting: bool,
    room: bool,
    /// The system has refused to accept, and has not accepted since.
    refused: bool,
    /// Held up connections that may go on.
    resume: Vec<usize>,
    /// A server list is known.
    pub ready: bool,
}

fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(QUEUE)?;
    Ok(TcpListener::from_std(socket.into()))
}

impl Clients {
    pub fn listen(reactor: &mut Reactor, at: SocketAddr) -> io::Result<Clients> {
        let mut listener = listener(at)?;
        reactor
            .registry
            .register(&mut listener, Side::Listener.token(0), Interest::READABLE)?;
        let connections = Slab::new();
        let (waiting, room, refused, ready, resume) = (false, false, false, false, vec![]);
        let lingering = Lingering::default();
        Ok(Clients {
            listener,
            connections,
            lingering,
            waiting,
            room,
            refused,
            resume,
            ready,
        })
    }

    /// Connections, with those that the gateway has ended and the client has not yet.
    pub fn len(&self) -> usize {
        self.connections.len() + self.lingering.len()
    }

    /// Accepts what waits; when short of sockets an idle connection makes room, else the rest waits on.
    pub fn accept(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        self.waiting = false;
        loop {
            // What goes for a new connection is ended only when there is one.
            let full = |clients: &Clients, reactor: &Reactor| {
                clients.connections.len() >= reactor.budget.clients
            };
            let oldest = if full(self, reactor) {
                self.idle_longest(reactor, requests)
            } else {
                None
            };
            if oldest.is_none() && full(self, reactor) {
                self.waiting = true;
                return;
            }
            let socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error)
                    if error
                        .raw_os_error()
                        .is_some_and(|it| PASSED_ON.contains(&it)) =>
                {
                    continue
                }
                Err(error) => {
                    if !std::mem::replace(&mut self.refused, true) {
                        slog::warn!(reactor.log, "cannot accept, trying again soon"; "error" => %error);
                    }
                    self.waiting = true;
                    return;
                }
            };
            self.refused = false;
            if let Some(key) = oldest {
                self.end(reactor, key, requests);
            }
            while self.len() >= reactor.budget.clients + SPARE && self.lingering.give_up(reactor) {}
            let key = self.connections.vacant_key();
            let stream = BufferedStream::accepted(reactor, socket, Side::Client, key);
            let client = Client::new(stream, reactor.serial(), reactor.now);
            self.connections.insert(client);
        }
    }

    /// The connection to go for another one: that of a client that has asked nothing yet, else one that has
    /// been idle longest.
    fn idle_longest(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) -> Option<usize> {
        loop {
            let idle = self
                .connections
                .iter()
                .filter(|(_, client)| client.makes_room(reactor));
            let (key, _) = idle.min_by_key(|(_, client)| (client.known, client.used))?;
            self.meet_unread(reactor, key, requests);
            if self
                .connections
                .get(key)
                .is_some_and(|client| client.makes_room(reactor))
            {
                return Some(key);
            }
        }
    }

    /// Takes what has come and not been told yet; says whether that was nothing.
    fn stays_idle(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> bool {
        self.meet_unread(reactor, key, requests);
        self.connections
            .get(key)
            .is_some_and(|client| client.idle(reactor))
    }

    /// Takes what has come on a connection and not been told yet.
    fn meet_unread(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        self.connections[key].stream.read_would_block = false;
        self.pump(reactor, key, requests);
    }

    pub fn ready(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if reactor.broken {
            return self.close(reactor, key, requests);
        }
        let Some(client) = self.connections.get(key) else {
            return;
        };
        // Its end is told once. One that is not read any further must not be missed.
        if reactor.ending && (client.held_up || client.closing) {
            self.sending_ended(reactor, key, requests);
        }
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        client.stream.read_would_block = false;
        if client.stream.pending_bytes() > 0 {
            self.flush(reactor, key, requests);
        }
        self.pump(reactor, key, requests);
    }

    /// Takes commands and reads on, until there is no more or no room.
    fn pump(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        loop {
            if !self.take(reactor, key, requests) {
                return;
            }
            let client = &mut self.connections[key];
            if client.stream.read_would_block {
                return;
            }
            let begun = !client.stream.input.is_empty();
            if !client.stream.read(reactor, resp::WHOLE) {
                return match client.stream.has_failed {
                    true => self.close(reactor, key, requests),
                    false => self.sending_ended(reactor, key, requests),
                };
            }
            if !begun && !client.stream.input.is_empty() {
                client.used = reactor.now;
            }
        }
    }

    /// Takes the whole commands in the input. False if the connection is to be read no further now.
    fn take(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) -> bool {
        let Some(client) = self.connections.get_mut(key) else {
            return false;
        };
        client.held_up = false;
        let (input, mut took) = (std::mem::take(&mut client.stream.input), 0);
        while !client.closing && took < input.len() {
            let bytes = &input[took..];
            match resp::command(bytes) {
                // What is no whole command yet must end within the size of one.
                Ok(None) if bytes.len() < resp::WHOLE => break,
                Ok(None) => client.malformed(reactor, "too long a command"),
                Ok(Some((words, end))) => {
                    let most = reactor.settings.limits.max_open_requests as usize;
                    // Each open API call may yet bring a whole value.
                    let crowded =
                        reactor.held + requests.len() * resp::VALUE > reactor.budget.bytes;
                    // A client that takes no answers, or has asked much and not been answered, is read no further. What there is no room for is refused: it
                    // may not wait for others to end, past its own client's time.
                    let behind =
                        client.stream.pending_bytes() > resp::WHOLE || client.slots.len() >= PIPED;
                    client.held_up = !client.half_closed && behind;
                    if client.held_up {
                        break;
                    }
                    let full = crowded || (most > 0 && requests.len() >= most);
                    client.command(
                        reactor,
                        key,
                        &bytes[..end],
                        words,
                        requests,
                        (self.ready, full),
                    );
                    (took, client.used) = (took + end, reactor.now);
                }
                Err(why) => client.malformed(reactor, why),
            }
        }
        client.stream.input = input;
        client.stream.consume(reactor, took);
        !client.closing && !client.held_up
    }

    /// The client has ended its sending: what has come whole is refused, what is out is given up, and the connection ends
    /// behind the last answer.
    fn sending_ended(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        if client.half_closed {
            return;
        }
        client.half_closed = true;
        let open: Vec<Serial> = client
            .slots
            .iter()
            .filter_map(|slot| slot.request)
            .collect();
        self.take(reactor, key, requests);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        (client.closing, client.held_up) = (true, false);
        reactor.tally.gone += open.len() as u64;
        let left = open
            .into_iter()
            .filter_map(|request| requests.mark_client_left(request));
        reactor
            .notifications
            .extend(left.map(Notification::Expired));
        if self.connections[key].quiet() {
            self.end(reactor, key, requests);
        }
    }

    /// Writes an answer, now if all before it are answered.
    pub fn answer(
        &mut self,
        reactor: &mut Reactor,
        slot: ResponseSlot,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let client = self
            .connections
            .get_mut(slot.key)
            .filter(|it| it.connection == slot.connection);
        let Some(client) = client else { return };
        client.answer(reactor, slot.number, write);
        if client.held_up {
            self.resume.push(slot.key);
        }
    }

    pub fn flush(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        match client.stream.flush(reactor) {
            Ok(moved) => {
                client.used = if moved { reactor.now } else { client.used };
                if client.held_up && moved {
                    self.resume.push(key);
                }
                let quiet = client.quiet();
                self.room |= quiet;
                let leaves = reactor.closing() && client.idle(reactor);
                if (client.closing && quiet) || (leaves && self.stays_idle(reactor, key, requests))
                {
                    self.end(reactor, key, requests);
                }
            }
            Err(_) => self.close(reactor, key, requests),
        }
    }

    /// Ends a connection with nothing open and all of its answers written.
    fn end(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            self.lingering.end(reactor, client.stream);
        }
    }

    /// The client has gone, or does not take its answers.
    fn close(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        if let Some(client) = self.remove(reactor, key, requests) {
            client.stream.close(reactor);
        }
    }

    /// What a connection that the gateway has ended still sends.
    pub fn ending(&mut self, reactor: &mut Reactor, key: usize) {
        self.lingering.ready(reactor, key);
        self.room = true;
    }

    /// Open requests of a connection that goes have nobody to answer any more.
    fn remove(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> Option<Client> {
        let mut client = self.connections.try_remove(key)?;
        for slot in client.slots.drain(..) {
            reactor.freed(slot.answer.map_or(0, |answer| answer.len()));
            if let Some(call) = slot
                .request
                .and_then(|request| requests.mark_client_left(request))
            {
                reactor.notifications.push_back(Notification::Gone(call));
            }
        }
        self.room = true;
        Some(client)
    }

    /// Lets connections go on that an answer, a write or an end has made room for: those held up, and those
    /// not accepted yet. The one place for it: to accept may close a connection, which may not accept again
    /// from within. Says if there were any.
    pub fn resume(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) -> bool {
        if std::mem::take(&mut self.room) && self.waiting {
            self.accept(reactor, requests);
            return true;
        }
        let keys = std::mem::take(&mut self.resume);
        for key in &keys {
            if self
                .connections
                .get(*key)
                .is_some_and(|client| client.held_up)
            {
                self.pump(reactor, *key, requests);
            }
        }
        !keys.is_empty()
    }

    /// At each tick: who has asked nothing that can be taken for so long, or has left a command unfinished, is
    /// told so and closed; so are clients between two requests, where they hold most of the connections.
    pub fn sweep_idle(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        // Who waits to be accepted is looked at again: some may have stood idle for long enough by now to make room.
        self.room |= self.lingering.sweep(reactor) || self.waiting;
        for (_, client) in &mut self.connections {
            // One that the poll could not take when it came.
            let _ = client.stream.register(reactor);
        }
        let (crowded, now) = (
            self.connections.len() * 2 > reactor.budget.clients,
            reactor.now,
        );
        let over = |client: &Client| {
            let done = client.known && client.stream.input.is_empty();
            client.quiet() && client.used + IDLE <= now && (crowded || !done)
        };
        for key in self.keys(over) {
            self.meet_unread(reactor, key, requests);
            match self.connections.get_mut(key).filter(|client| over(client)) {
                Some(client) if client.stream.input.is_empty() => self.end(reactor, key, requests),
                Some(client) => client.malformed(reactor, "too slow a command"),
                None => (),
            }
        }
    }

    /// Once a second: who does not take its answers for longer than any client waits is closed, and, when
    /// memory is short, the largest half commands of clients with nothing open; others held up get a new
    /// chance.
    pub fn sweep(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        // A client waits no longer for an answer.
        let longest = reactor.settings.longest_timeout().max(IDLE);
        let stuck = |client: &Client| {
            client.stream.pending_bytes() > 0 && client.used + longest < reactor.now
        };
        for key in self.keys(stuck) {
            self.close(reactor, key, requests);
        }
        while reactor.held > reactor.budget.bytes {
            let stalled = reactor.now.saturating_sub(reactor.connect_timeout());
            let half = self.connections.iter().filter(|(_, client)| {
                client.quiet() && !client.stream.input.is_empty() && client.used < stalled
            });
            let Some((key, _)) = half.max_by_key(|(_, client)| client.stream.input.len()) else {
                break;
            };
            slog::warn!(reactor.log, "memory is short: a half command is dropped"; "held" => reactor.held);
            self.end(reactor, key, requests);
        }
        self.resume = self.keys(|client| client.held_up);
        self.room = true;
    }

    /// The gateway stops: connections with nothing open are ended, unless something has just come.
    pub fn end_idle(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        for key in self.keys(|client| client.idle(reactor)) {
            if self.connections.contains(key) && self.stays_idle(reactor, key, requests) {
                self.end(reactor, key, requests);
            }
        }
    }

    /// The gateway is at its end: what has come whole by now is taken, nothing is read any more, and each connection
    /// ends behind its last answer.
    pub fn last_answers(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        for key in self.keys(|client| !client.closing) {
            if self.connections.contains(key) {
                self.meet_unread(reactor, key, requests);
            }
            if let Some(client) = self.connections.get_mut(key) {
                client.closing |= !client.held_up;
            }
        }
        for key in self.keys(|client| client.closing && client.quiet()) {
            self.end(reactor, key, requests);
        }
    }

    fn keys(&self, which: impl Fn(&Client) -> bool) -> Vec<usize> {
        self.connections
            .iter()
            .filter(|(_, client)| which(client))
            .map(|(key, _)| key)
            .collect()
    }
}
