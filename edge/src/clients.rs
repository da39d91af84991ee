//! Clients' connections: takes their commands as they come, piped or in pieces, and answers each in its
//! order.

use crate::calls::{self, Asked, Calls, Open, Place};
use crate::must;
use crate::pipe::Pipe;
use crate::resp;
use crate::turn::{Hub, News, Serial, Side};
use mio::net::TcpListener;
use mio::Interest;
use slab::Slab;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::*;

/// What a command left behind: which API call it is, if any, and its answer if that came before its turn.
struct Slot {
    call: Option<Serial>,
    answer: Option<Vec<u8>>,
}

struct Client {
    pipe: Pipe,
    connection: Serial,
    /// Number of the first slot.
    first: u64,
    slots: VecDeque<Slot>,
    /// Since when nothing has moved.
    used: Duration,
    /// Input was left where it is, for want of room.
    held_up: bool,
    /// What came is no RESP2: closed once all before it is answered.
    closing: bool,
}

pub struct Clients {
    listener: TcpListener,
    connections: Slab<Client>,
    /// Accepting was left off for want of sockets.
    waiting: bool,
    /// Held up connections that may go on.
    resume: Vec<usize>,
    /// A server list is known.
    pub ready: bool,
    /// The longest that a client waits for an answer.
    longest_wait: Duration,
}

impl Clients {
    pub fn listen(hub: &mut Hub, at: SocketAddr) -> io::Result<Clients> {
        let mut listener = TcpListener::bind(at)?;
        hub.registry.register(&mut listener, Side::Listener.token(0), Interest::READABLE)?;
        let names = hub.facts.0.keys().filter(|name| name.ends_with(".client_timeout"));
        let longest_wait = names.map(|name| hub.facts.span(name)).max().unwrap_or_default();
        let connections = Slab::new();
        Ok(Clients { listener, connections, waiting: false, resume: vec![], ready: false, longest_wait })
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Accepts what waits; when short of sockets an idle connection makes room, else the rest waits on.
    pub fn accept(&mut self, hub: &mut Hub, calls: &mut Calls) {
        self.waiting = false;
        loop {
            // What goes for a new connection is closed only when there is one.
            let full = |clients: &Clients, hub: &Hub| clients.connections.len() >= hub.budget.clients;
            let oldest = if full(self, hub) { self.idle_longest(hub, calls) } else { None };
            if oldest.is_none() && full(self, hub) {
                self.waiting = true;
                return;
            }
            let socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(error) => {
                    slog::warn!(hub.log, "cannot accept"; "error" => %error);
                    self.waiting = true;
                    return;
                }
            };
            if let Some(key) = oldest {
                self.close(hub, key, calls);
            }
            let key = self.connections.vacant_key();
            if let Ok(pipe) = Pipe::accepted(hub, socket, Side::Client, key) {
                let (connection, used) = (hub.serial(), hub.now);
                let (slots, held_up, closing) = (VecDeque::new(), false, false);
                self.connections.insert(Client { pipe, connection, first: 0, slots, used, held_up, closing });
            }
        }
    }

    /// The connection that has been idle longest, if any is.
    fn idle_longest(&mut self, hub: &mut Hub, calls: &mut Calls) -> Option<usize> {
        loop {
            let idle = self.connections.iter().filter(|(_, client)| self.idle(hub, client));
            let (key, _) = idle.min_by_key(|(_, client)| client.used)?;
            if self.stays_idle(hub, key, calls) {
                return Some(key);
            }
        }
    }

    /// Between two API calls, as far as is seen: only then may a connection be closed. A client that has sent
    /// nothing yet, or half a command, may just be sending: the one has as long as a connection may take to
    /// come up, and as long again, the other until no client would wait any more.
    fn idle(&self, hub: &Hub, client: &Client) -> bool {
        let wait = match client.pipe.input.is_empty() {
            true if client.first > 0 => Duration::ZERO,
            true => hub.facts.span("limits.connect_timeout") * 2,
            false => self.longest_wait,
        };
        client.quiet() && client.used + wait <= hub.now
    }

    /// Takes what has come and not been told yet; says whether that was nothing.
    fn stays_idle(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) -> bool {
        self.connections[key].pipe.drained = false;
        self.pump(hub, key, calls);
        self.connections.get(key).is_some_and(|client| self.idle(hub, client))
    }

    pub fn ready(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(key) else { return };
        client.pipe.drained = false;
        if client.pipe.left() > 0 {
            self.flush(hub, key, calls);
        }
        self.pump(hub, key, calls);
    }

    /// Takes commands and reads on, until there is no more or no room.
    fn pump(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) {
        loop {
            if !self.take(hub, key, calls) {
                return;
            }
            let client = &mut self.connections[key];
            if client.pipe.drained {
                return;
            }
            let before = client.pipe.input.len();
            if !client.pipe.read(hub, resp::WHOLE) {
                return self.close(hub, key, calls);
            }
            if client.pipe.input.len() > before {
                client.used = hub.now;
            }
        }
    }

    /// Takes the whole commands in the input. False if the connection is to be read no further now.
    fn take(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get_mut(key) else { return false };
        client.held_up = false;
        while !client.closing && !client.pipe.input.is_empty() {
            match resp::command(&client.pipe.input) {
                // What is no whole command yet must end within the size of one.
                Ok(None) if client.pipe.input.len() < resp::WHOLE => return true,
                Ok(None) => client.malformed(hub, "too long a command"),
                Ok(Some((words, took))) => {
                    let most = hub.facts.number("limits.max_open") as usize;
                    // Each open API call may yet bring a whole value.
                    let crowded = hub.held + calls.len() * resp::VALUE > hub.budget.bytes;
                    let full = crowded || (most > 0 && calls.len() >= most);
                    client.held_up = full || client.pipe.left() > resp::WHOLE;
                    if client.held_up {
                        return false;
                    }
                    client.command(hub, key, words, took, calls, self.ready);
                    client.pipe.take(hub, took);
                }
                Err(why) => client.malformed(hub, why),
            }
        }
        !client.closing
    }

    /// Writes an answer, now if all before it are answered.
    pub fn answer(&mut self, hub: &mut Hub, place: Place, write: impl FnOnce(&mut Vec<u8>)) {
        let client = self.connections.get_mut(place.key).filter(|it| it.connection == place.connection);
        let Some(client) = client else { return };
        client.answer(hub, place.number, write);
        if client.held_up {
            self.resume.push(place.key);
        }
    }

    pub fn flush(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(key) else { return };
        match client.pipe.flush(hub) {
            Ok(moved) => {
                client.used = if moved { hub.now } else { client.used };
                if client.held_up && moved {
                    self.resume.push(key);
                }
                let quiet = client.quiet();
                if client.closing && quiet {
                    self.close(hub, key, calls);
                } else if self.waiting && quiet {
                    self.accept(hub, calls);
                }
            }
            Err(_) => self.close(hub, key, calls),
        }
    }

    /// The client has gone, or is given up: its open API calls have nobody to answer any more.
    fn close(&mut self, hub: &mut Hub, key: usize, calls: &mut Calls) {
        let Some(client) = self.connections.try_remove(key) else { return };
        for slot in client.slots {
            hub.freed(slot.answer.map_or(0, |answer| answer.len()));
            if let Some(call) = slot.call.map(calls::id).filter(|call| calls.is_open(call)) {
                hub.news.push_back(News::Gone(call));
            }
        }
        client.pipe.close(hub);
        if self.waiting {
            self.accept(hub, calls);
        }
    }

    /// Lets held up connections go on that an answer or a write has made room for. Says if there were any.
    pub fn resume(&mut self, hub: &mut Hub, calls: &mut Calls) -> bool {
        let keys = std::mem::take(&mut self.resume);
        for key in &keys {
            if self.connections.get(*key).is_some_and(|client| client.held_up) {
                self.pump(hub, *key, calls);
            }
        }
        !keys.is_empty()
    }

    /// Periodic: who does not take its answers for longer than any client waits is closed, and, when memory
    /// is short, the largest half commands of clients with nothing open; others held up get a new chance.
    pub fn sweep(&mut self, hub: &mut Hub, calls: &mut Calls) {
        let longest = self.longest_wait;
        let stuck = |client: &Client| client.pipe.left() > 0 && client.used + longest < hub.now;
        for key in self.keys(stuck) {
            self.close(hub, key, calls);
        }
        while hub.held > hub.budget.bytes {
            let stalled = hub.now.saturating_sub(hub.facts.span("limits.connect_timeout"));
            let half = self.connections.iter().filter(|(_, client)| {
                client.quiet() && !client.pipe.input.is_empty() && client.used < stalled
            });
            let Some((key, _)) = half.max_by_key(|(_, client)| client.pipe.input.len()) else { break };
            slog::warn!(hub.log, "memory is short: a half command is dropped"; "held" => hub.held);
            self.close(hub, key, calls);
        }
        self.resume = self.keys(|client| client.held_up);
        if self.waiting {
            self.accept(hub, calls);
        }
    }

    /// The gateway stops: connections with nothing open are closed, unless something has just come.
    pub fn close_idle(&mut self, hub: &mut Hub, calls: &mut Calls) {
        for key in self.keys(|client| self.idle(hub, client)) {
            if self.connections.contains(key) && self.stays_idle(hub, key, calls) {
                self.close(hub, key, calls);
            }
        }
    }

    fn keys(&self, which: impl Fn(&Client) -> bool) -> Vec<usize> {
        self.connections.iter().filter(|(_, client)| which(client)).map(|(key, _)| key).collect()
    }
}

impl Client {
    /// Nothing that was taken waits for an answer.
    fn quiet(&self) -> bool {
        self.slots.is_empty() && self.pipe.left() == 0 && !self.held_up
    }

    /// A new command's place in the order; says its number.
    fn slot(&mut self) -> u64 {
        self.slots.push_back(Slot { call: None, answer: None });
        self.first + self.slots.len() as u64 - 1
    }

    /// After what is no RESP2 nothing can be read any more: an error in its turn, then the end.
    fn malformed(&mut self, hub: &mut Hub, why: &str) {
        self.closing = true;
        let number = self.slot();
        self.answer(hub, number, |out| {
            out.extend_from_slice(format!("-ERR Protocol error: {why}\r\n").as_bytes());
        });
    }

    /// One whole command, in the first `took` bytes of the input.
    fn command(
        &mut self,
        hub: &mut Hub,
        key: usize,
        words: resp::Words,
        took: usize,
        calls: &mut Calls,
        ready: bool,
    ) {
        let number = self.slot();
        let bytes = &self.pipe.input[..took];
        let word = |place: usize| words.get(place).map_or(&[][..], |word| &bytes[word.clone()]);
        let said = match word(0).to_ascii_uppercase().as_slice() {
            b"SVC.QUERY" | b"SVC.SUBMIT" => match Asked::new(bytes, words, &hub.facts) {
                Ok(asked) => return self.call(hub, key, number, asked, calls),
                Err(why) => format!("-ERR {why}\r\n"),
            },
            b"PING" if ready => "+PONG\r\n".into(),
            b"PING" => "-ERR no server list yet\r\n".into(),
            b"CLIENT" | b"SELECT" => "+OK\r\n".into(),
            _ => "-ERR unknown command\r\n".into(),
        };
        self.answer(hub, number, |out| out.extend_from_slice(said.as_bytes()));
    }

    fn call(&mut self, hub: &mut Hub, key: usize, number: u64, asked: Asked, calls: &mut Calls) {
        let serial = hub.serial();
        let until = hub.now + asked.wait;
        let arrival = Arrival {
            call: calls::id(serial),
            customer: asked.customer.clone(),
            plan: asked.plan.clone(),
            route: asked.route.clone(),
            units: asked.units,
            until,
            first: asked.first,
            spread: asked.spread,
        };
        let place = Place { key, connection: self.connection, number };
        self.slots.back_mut().expect("pushed for this command").call = Some(serial);
        hub.held += asked.size();
        calls.open(serial, Open { asked, until, tries: 0, place, answered: false });
        hub.news.push_back(News::Arrived(arrival));
    }

    fn answer(&mut self, hub: &mut Hub, number: u64, write: impl FnOnce(&mut Vec<u8>)) {
        let place = number.wrapping_sub(self.first) as usize;
        must!(hub, place < self.slots.len(), "an answer goes to a command that waits for it");
        if place > 0 {
            let Some(slot) = self.slots.get_mut(place) else { return };
            must!(hub, slot.answer.is_none(), "one answer to a command");
            let mut answer = Vec::new();
            write(&mut answer);
            hub.held += answer.len();
            slot.answer = Some(answer);
            return;
        }
        self.pipe.put(hub, write);
        self.slots.pop_front();
        self.first += 1;
        while let Some(answer) = self.slots.front_mut().and_then(|slot| slot.answer.take()) {
            hub.freed(answer.len());
            self.pipe.put(hub, |out| out.extend_from_slice(&answer));
            self.slots.pop_front();
            self.first += 1;
        }
    }
}
