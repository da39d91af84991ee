//! Calls on the shared counter: a few connections, calls written one behind another, a name always on the same connection,
//! so that its replies come in order. What comes after its timeout was reported is matched off and dropped. Where the
//! counter moves, each connection has a successor, whose replies are handled once the old one owes none.

use crate::component::Component;
use crate::deadlines::{Deadline, DeadlineId};
use crate::invariants::invariant;
use crate::notification::Notification;
use crate::reactor::{Reactor, Serial};
use crate::readiness::Readiness;
use crate::stream::BufferedStream;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::{CounterName, CounterReply};

/// The longest line that the counter has to say, in bytes.
const MAX_REPLY_LINE: usize = 256;

/// The longest time to live that a call may state, in milliseconds.
const MAX_TTL_MS: u128 = 60_000;

/// A call that was written, or will be when the turn ends, and whose reply has not come.
struct PendingCall {
    serial: Serial,
    /// None for a ping, and once the controller was told that the time is up.
    name: Option<CounterName>,
    /// When it was asked for.
    queued_at: Duration,
    /// Its timeout; none for a ping.
    timeout: Option<DeadlineId>,
    /// How many bytes of its connection there are up to its last.
    end_offset: usize,
}

/// One connection to the counter; without a stream it is to be opened at the next call.
#[derive(Default)]
struct Connection {
    stream: Option<BufferedStream>,
    pending_calls: VecDeque<PendingCall>,
    /// How many bytes were queued since it was opened.
    queued_bytes: usize,
    /// When it was opened or a reply came last.
    last_reply_at: Duration,
}

impl Connection {
    /// Whether a call waits whose reply the controller was not told yet.
    fn owes_replies(&self) -> bool {
        self.pending_calls.iter().any(|call| call.name.is_some())
    }

    /// How many bytes have gone out since it was opened.
    fn written_bytes(&self) -> usize {
        let pending = self
            .stream
            .as_ref()
            .map_or(0, BufferedStream::pending_bytes);
        self.queued_bytes - pending
    }

    /// Whether calls wait, and nothing has come for longer than `patience`.
    fn is_silent(&self, now: Duration, patience: Duration) -> bool {
        self.pending_calls
            .front()
            .is_some_and(|call| call.queued_at.max(self.last_reply_at) + patience < now)
    }
}

/// The connections to the shared counter.
pub(crate) struct Counter {
    address: Option<SocketAddr>,
    /// Two halves: the active connections, and those to where the counter was before.
    connections: Vec<Connection>,
    /// Where the active half begins.
    active_start: usize,
}

/// What a line of the counter says; none where it can't be read.
fn parse_reply(line: &str) -> Option<CounterReply> {
    let mut words = line.split_ascii_whitespace();
    match (words.next(), words.next()) {
        (Some("ok"), Some(total)) => total
            .parse()
            .ok()
            .filter(|total: &f64| total.is_finite())
            .map(CounterReply::Total),
        (Some("busy" | "error" | "pong"), None) => Some(CounterReply::NotApplied),
        _ => None,
    }
}

/// The length of the first line with its end. A line that is too long can't be read, nor anything behind it: all of it
/// counts as one line then.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.iter().position(|byte| *byte == b'\n');
    match end {
        Some(end) => Some(end + 1),
        None if bytes.len() > MAX_REPLY_LINE => Some(bytes.len()),
        None => None,
    }
}

fn report_reply(reactor: &mut Reactor, name: CounterName, reply: CounterReply) {
    reactor.notify(Notification::CounterReply { name, reply });
}

impl Counter {
    /// Connects to the counter, if there is one.
    pub(crate) fn new(reactor: &mut Reactor, address: Option<SocketAddr>) -> Counter {
        let connections = (0..reactor.budget.counter * 2)
            .map(|_| Connection::default())
            .collect();
        let mut counter = Counter {
            address: None,
            connections,
            active_start: 0,
        };
        counter.move_to(reactor, address);
        counter
    }

    /// The counter is elsewhere from now on. Calls made before are still answered on the old connections.
    pub(crate) fn move_to(&mut self, reactor: &mut Reactor, address: Option<SocketAddr>) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.active_start = self.half() - self.active_start;
        for index in self.active_start..self.active_start + self.half() {
            self.disconnect(reactor, index);
            self.connect(reactor, index);
            self.retire(reactor, self.counterpart(index));
        }
    }

    fn half(&self) -> usize {
        self.connections.len() / 2
    }

    /// The index of the same connection in the other half.
    fn counterpart(&self, index: usize) -> usize {
        (index + self.half()) % self.connections.len()
    }

    fn is_active(&self, index: usize) -> bool {
        (self.active_start..self.active_start + self.half()).contains(&index)
    }

    /// An old connection that owes no reply any more is closed, and the replies on its successor are handled.
    fn retire(&mut self, reactor: &mut Reactor, index: usize) {
        if self.connections[index].owes_replies() || self.is_active(index) {
            return;
        }
        if let Some(stream) = std::mem::take(&mut self.connections[index]).stream {
            stream.close(reactor);
        }
        let successor = self.counterpart(index);
        if !self.handle_replies(reactor, successor) {
            self.disconnect(reactor, successor);
        }
    }

    fn connect(&mut self, reactor: &mut Reactor, index: usize) {
        let Some(address) = self.address else { return };
        let stream = BufferedStream::connect(reactor, address, Component::Counter, index).ok();
        self.connections[index] = Connection {
            stream,
            last_reply_at: reactor.now,
            ..Connection::default()
        };
    }

    /// Adds an amount to a number, which the counter keeps for `ttl` from its first call on.
    pub(crate) fn add(
        &mut self,
        reactor: &mut Reactor,
        name: CounterName,
        amount: f64,
        ttl: Duration,
    ) {
        let index = self.active_start + (name.0 % self.half() as u64) as usize;
        let timeout = reactor.settings.counter.timeout;
        self.ensure_connected(reactor, index, timeout);
        let connection = &mut self.connections[index];
        let Some(stream) = &mut connection.stream else {
            return report_reply(reactor, name, CounterReply::NotApplied);
        };
        let ttl_ms = ttl.as_millis().clamp(1, MAX_TTL_MS);
        connection.queued_bytes += stream.queue(reactor, |out| {
            let _ = write!(out, "incr {} {amount} {ttl_ms}\r\n", name.0);
        });
        let serial = reactor.next_serial();
        let deadline = reactor.set_deadline(
            reactor.now + timeout,
            Deadline::CounterCall {
                connection_index: index,
                serial,
            },
        );
        connection.pending_calls.push_back(PendingCall {
            serial,
            name: Some(name),
            queued_at: reactor.now,
            timeout: Some(deadline),
            end_offset: connection.queued_bytes,
        });
    }

    /// Connects anew where there is no connection, or one on which nothing has come for longer than a new one and a call on
    /// it would take: it may belong to a machine that is gone without a word.
    fn ensure_connected(&mut self, reactor: &mut Reactor, index: usize, timeout: Duration) {
        let patience = timeout + reactor.connect_timeout();
        if self.connections[index].is_silent(reactor.now, patience) {
            self.disconnect(reactor, index);
        }
        if self.connections[index].stream.is_none() {
            self.connect(reactor, index);
        }
    }

    /// A call's time is up: reported at once, as not applied where it was not even written.
    pub(crate) fn on_timeout(&mut self, reactor: &mut Reactor, index: usize, serial: Serial) {
        let connection = &mut self.connections[index];
        let written_bytes = connection.written_bytes();
        let Some(call) = connection
            .pending_calls
            .iter_mut()
            .find(|call| call.serial == serial)
        else {
            return;
        };
        if call.end_offset > written_bytes {
            return self.disconnect(reactor, index);
        }
        if let Some(name) = call.name.take() {
            report_reply(reactor, name, CounterReply::Unknown);
        }
        self.retire(reactor, index);
    }

    /// The poll tells of a connection.
    pub(crate) fn on_ready(&mut self, reactor: &mut Reactor, index: usize, readiness: Readiness) {
        let Some(stream) = self
            .connections
            .get_mut(index)
            .and_then(|connection| connection.stream.as_mut())
        else {
            return;
        };
        if readiness.is_writable() && (!stream.is_connected || stream.pending_bytes() > 0) {
            if stream.check_connected().is_err() {
                return self.disconnect(reactor, index);
            }
            self.flush(reactor, index);
        }
        if readiness.should_read() && self.read_replies(reactor, index) {
            self.on_ready(reactor, index, readiness);
        }
    }

    /// Reads and handles what has come. Returns whether more may have.
    fn read_replies(&mut self, reactor: &mut Reactor, index: usize) -> bool {
        let Some(stream) = &mut self.connections[index].stream else {
            return false;
        };
        stream.read_would_block = false;
        let is_open = stream.read(reactor, reactor.scratch.len());
        let may_have_more = !stream.read_would_block;
        if !self.handle_replies(reactor, index) || !is_open {
            self.disconnect(reactor, index);
            return false;
        }
        self.retire(reactor, index);
        may_have_more && self.can_read(reactor, index)
    }

    /// Whether a connection is there and its input has room.
    fn can_read(&self, reactor: &Reactor, index: usize) -> bool {
        self.connections[index]
            .stream
            .as_ref()
            .is_some_and(|stream| stream.input.len() < reactor.scratch.len())
    }

    /// Hands each reply that has come to the call that waits for it. Returns false if there is none that does, or a reply
    /// can't be read: it tells that its call was applied, and ends the connection. What the connection before it still owes
    /// comes first: the replies for a name keep their order.
    fn handle_replies(&mut self, reactor: &mut Reactor, index: usize) -> bool {
        if self.is_active(index) && self.connections[self.counterpart(index)].owes_replies() {
            return true;
        }
        let connection = &mut self.connections[index];
        let Some(stream) = &mut connection.stream else {
            return true;
        };
        let mut consumed = 0;
        while let Some(length) = line_length(&stream.input[consumed..]) {
            let line = &stream.input[consumed..consumed + length - 1];
            let text = std::str::from_utf8(line).unwrap_or("").trim_end();
            let reply = parse_reply(text);
            consumed += length;
            let Some(call) = connection.pending_calls.pop_front() else {
                return false;
            };
            if let Some(deadline) = call.timeout {
                reactor.cancel_deadline(deadline);
            }
            if let Some(name) = call.name {
                invariant!(
                    reactor,
                    text != "error",
                    "the counter knows the calls that it gets"
                );
                report_reply(reactor, name, reply.unwrap_or(CounterReply::Applied));
            }
            connection.last_reply_at = reactor.now;
            if reply.is_none() {
                return false;
            }
        }
        if consumed > 0 {
            stream.consume(reactor, consumed);
        }
        true
    }

    /// Writes what it can of a connection's calls.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, index: usize) {
        let Some(stream) = &mut self.connections[index].stream else {
            return;
        };
        if stream.flush(reactor).is_err() {
            self.disconnect(reactor, index);
        }
    }

    /// Ends a connection: what was not written was not applied, the rest may have been.
    fn disconnect(&mut self, reactor: &mut Reactor, index: usize) {
        let mut connection = std::mem::take(&mut self.connections[index]);
        let written_bytes = connection.written_bytes();
        for call in connection.pending_calls.drain(..) {
            if let Some(deadline) = call.timeout {
                reactor.cancel_deadline(deadline);
            }
            let reply = if call.end_offset > written_bytes {
                CounterReply::NotApplied
            } else {
                CounterReply::Unknown
            };
            if let Some(name) = call.name {
                report_reply(reactor, name, reply);
            }
        }
        if let Some(stream) = connection.stream {
            stream.close(reactor);
        }
        self.retire(reactor, index);
    }

    /// Once a second: a connection on which nothing waits is kept open by a ping, which costs nothing.
    pub(crate) fn ping_idle(&mut self, reactor: &mut Reactor) {
        for connection in &mut self.connections {
            let Some(stream) = connection
                .stream
                .as_mut()
                .filter(|stream| stream.is_connected)
            else {
                continue;
            };
            if !connection.pending_calls.is_empty() {
                continue;
            }
            connection.queued_bytes +=
                stream.queue(reactor, |out| out.extend_from_slice(b"ping\r\n"));
            connection.pending_calls.push_back(PendingCall {
                serial: reactor.next_serial(),
                name: None,
                queued_at: reactor.now,
                timeout: None,
                end_offset: connection.queued_bytes,
            });
        }
    }

    /// Whether no reply is owed but those whose timeouts were reported.
    pub(crate) fn owes_no_replies(&self) -> bool {
        !self.connections.iter().any(Connection::owes_replies)
    }
}

#[cfg(test)]
mod tests;
