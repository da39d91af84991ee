//! The client of the shared counter. It has a few connections, on which calls are pipelined. All calls for one name use
//! the same connection, so that their replies arrive in order. A reply that arrives after the timeout of its call was
//! reported is matched to that call and dropped. When the counter's address changes, each connection gets a successor,
//! whose replies are handled once every call on the old connection was reported to the controller.

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

/// If more bytes than this arrive without a line end, they count as one malformed reply.
const MAX_REPLY_LINE_BYTES: usize = 256;

/// The longest time to live of a value that a call may request, in milliseconds.
const MAX_TTL_MS: u128 = 60_000;

/// A call that was written or is queued to be written, without a reply so far.
struct PendingCall {
    serial: Serial,
    /// The name that the call is for; `None` for a ping, and after the call's timeout was reported to the controller.
    name: Option<CounterName>,
    queued_at: Duration,
    /// The deadline of the reply; `None` for a ping.
    timeout: Option<DeadlineId>,
    /// The number of bytes that were queued since the connection was opened, up to the end of this call.
    end_offset: usize,
}

/// One connection to the counter. If it has no stream, the next call opens it.
#[derive(Default)]
struct Connection {
    stream: Option<BufferedStream>,
    pending_calls: VecDeque<PendingCall>,
    /// The number of bytes queued since the connection was opened.
    queued_bytes: usize,
    /// When the latest reply arrived, or when the connection was opened if none has.
    last_reply_at: Duration,
}

impl Connection {
    /// Returns whether a call is pending whose result was not reported to the controller yet.
    fn has_unreported_calls(&self) -> bool {
        self.pending_calls.iter().any(|call| call.name.is_some())
    }

    /// Returns the number of bytes written to the socket since the connection was opened.
    fn written_bytes(&self) -> usize {
        let pending = self
            .stream
            .as_ref()
            .map_or(0, BufferedStream::pending_bytes);
        self.queued_bytes - pending
    }

    /// Returns whether a call has been pending for longer than `max_silence` without any reply on the connection.
    fn is_unresponsive(&self, now: Duration, max_silence: Duration) -> bool {
        self.pending_calls
            .front()
            .is_some_and(|call| call.queued_at.max(self.last_reply_at) + max_silence < now)
    }
}

/// The connections to the shared counter.
pub(crate) struct Counter {
    address: Option<SocketAddr>,
    /// One half holds the active connections, the other half those to the counter's previous address.
    connections: Vec<Connection>,
    /// The index at which the active half begins.
    active_start: usize,
}

/// Parses a reply line of the counter. Returns `None` if it is malformed.
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

/// Returns the length in bytes of the first line including its line end, or `None` if the line is incomplete. If it is
/// longer than [`MAX_REPLY_LINE_BYTES`] and has no end, nothing can be parsed, and all bytes count as one line.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.iter().position(|byte| *byte == b'\n');
    match end {
        Some(end) => Some(end + 1),
        None if bytes.len() > MAX_REPLY_LINE_BYTES => Some(bytes.len()),
        None => None,
    }
}

fn report_reply(reactor: &mut Reactor, name: CounterName, reply: CounterReply) {
    reactor.notify(Notification::CounterReply { name, reply });
}

impl Counter {
    /// Returns a client that is connected to the counter at `address`, or without connections if that is `None`.
    pub(crate) fn new(reactor: &mut Reactor, address: Option<SocketAddr>) -> Counter {
        let connections = (0..reactor.budget.counter * 2)
            .map(|_| Connection::default())
            .collect();
        let mut counter = Counter {
            address: None,
            connections,
            active_start: 0,
        };
        counter.set_address(reactor, address);
        counter
    }

    /// Sends calls to the counter at another address from now on. Replies to earlier calls are still read from the old
    /// connections.
    pub(crate) fn set_address(&mut self, reactor: &mut Reactor, address: Option<SocketAddr>) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.active_start = self.half_len() - self.active_start;
        for index in self.active_start..self.active_start + self.half_len() {
            self.disconnect(reactor, index);
            self.connect(reactor, index);
            self.close_if_superseded(reactor, self.counterpart(index));
        }
    }

    /// Returns the number of connections in each half.
    fn half_len(&self) -> usize {
        self.connections.len() / 2
    }

    /// Returns the index of the corresponding connection in the other half.
    fn counterpart(&self, index: usize) -> usize {
        (index + self.half_len()) % self.connections.len()
    }

    fn is_active(&self, index: usize) -> bool {
        (self.active_start..self.active_start + self.half_len()).contains(&index)
    }

    /// Closes a connection of the inactive half once it has no unreported calls, and handles the replies that its
    /// successor has received meanwhile. Does nothing to an active connection.
    fn close_if_superseded(&mut self, reactor: &mut Reactor, index: usize) {
        if self.connections[index].has_unreported_calls() || self.is_active(index) {
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

    /// Adds an amount to a value on the counter, which keeps the value for `ttl` from the first call with its name. If no
    /// connection can be opened, [`CounterReply::NotApplied`] is reported.
    pub(crate) fn add(
        &mut self,
        reactor: &mut Reactor,
        name: CounterName,
        amount: f64,
        ttl: Duration,
    ) {
        let index = self.active_start + (name.0 % self.half_len() as u64) as usize;
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

    /// Opens a connection if there is none. Replaces one without replies for longer than a new connection and a call on it
    /// may take together, since its machine may have failed without closing the connection.
    fn ensure_connected(&mut self, reactor: &mut Reactor, index: usize, timeout: Duration) {
        let max_silence = timeout + reactor.connect_timeout();
        if self.connections[index].is_unresponsive(reactor.now, max_silence) {
            self.disconnect(reactor, index);
        }
        if self.connections[index].stream.is_none() {
            self.connect(reactor, index);
        }
    }

    /// Handles the timeout of a call. A call that was written completely is reported as unknown, and its late reply will be
    /// dropped. Otherwise the connection is closed, which reports the call as not applied.
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
        self.close_if_superseded(reactor, index);
    }

    /// Handles a readiness event of a connection.
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

    /// Reads and handles replies, up to the size of the scratch buffer. Returns whether the socket may have more.
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
        self.close_if_superseded(reactor, index);
        may_have_more && self.can_read(reactor, index)
    }

    /// Returns whether the connection is open and its input buffer has room.
    fn can_read(&self, reactor: &Reactor, index: usize) -> bool {
        self.connections[index]
            .stream
            .as_ref()
            .is_some_and(|stream| stream.input.len() < reactor.scratch.len())
    }

    /// Matches each reply to the oldest pending call and reports it. Returns false if the connection must be closed: a reply
    /// has no pending call or is malformed. A malformed reply still means that its call was applied.
    ///
    /// While the connection to the previous address has unreported calls, nothing is handled here, so that the replies for
    /// one name are reported in the order of the calls.
    fn handle_replies(&mut self, reactor: &mut Reactor, index: usize) -> bool {
        if self.is_active(index) && self.connections[self.counterpart(index)].has_unreported_calls()
        {
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
                    "the counter does not reply with an error"
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

    /// Writes as many queued bytes of a connection as the socket takes.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, index: usize) {
        let Some(stream) = &mut self.connections[index].stream else {
            return;
        };
        if stream.flush(reactor).is_err() {
            self.disconnect(reactor, index);
        }
    }

    /// Closes a connection. Pending calls that were not written completely are reported as not applied, the others as
    /// unknown.
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
        self.close_if_superseded(reactor, index);
    }

    /// Sends a ping on each connection without pending calls, which keeps it open. Runs once a second. Unlike the calls
    /// that add to a value, pings have no price.
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

    /// Returns whether a call is pending on any connection whose result was not reported to the controller yet.
    pub(crate) fn has_unreported_calls(&self) -> bool {
        self.connections
            .iter()
            .any(Connection::has_unreported_calls)
    }
}

#[cfg(test)]
mod tests;
