//! Lingering close of client connections. Once all answers are written, the gateway shuts down the sending direction,
//! then reads and discards input until the client closes the connection too. Closing at once while unread bytes have
//! arrived would reset the connection, and the client could lose the last answer. Commands that arrive after the
//! sending direction is shut down are not served, since their answers could no longer be sent.
//!
//! Trade-off: the descriptor stays in use for up to `MAX_LINGER` longer. The oldest lingering connections are closed
//! when new client connections need their descriptors.

use crate::component::Component;
use crate::reactor::Reactor;
use crate::stream::BufferedStream;
use slab::Slab;
use std::time::Duration;

/// A connection lingers for the connect timeout, but at least this long.
const MIN_LINGER: Duration = Duration::from_millis(200);

/// A connection lingers for the connect timeout, but at most this long.
const MAX_LINGER: Duration = Duration::from_secs(1);

/// How many bytes of further input are discarded before the connection is closed at once.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// How many of these bytes are discarded in one event loop iteration, so that hundreds of clients that go on sending don't
/// hold up the others.
const MAX_DISCARDED_BYTES_PER_ITERATION: usize = 64 << 10;

/// A connection whose sending direction is shut down.
struct LingeringConnection {
    stream: BufferedStream,
    /// When the connection is closed at the latest, on the gateway's monotonic clock.
    deadline: Duration,
    /// How many more bytes are read and discarded.
    remaining_discard_bytes: usize,
}

/// All connections whose sending direction is shut down.
#[derive(Default)]
pub(crate) struct LingeringConnections {
    connections: Slab<LingeringConnection>,
}

impl LingeringConnections {
    /// The number of lingering connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Starts the lingering close of a connection on which all output is written. If its sending direction can't be shut
    /// down, the connection is closed at once.
    pub(crate) fn close_gracefully(&mut self, reactor: &mut Reactor, mut stream: BufferedStream) {
        let key = self.connections.vacant_key();
        if stream
            .shut_down_sending(reactor, Component::Lingering, key)
            .is_err()
        {
            return stream.close(reactor);
        }
        let linger = reactor.connect_timeout().clamp(MIN_LINGER, MAX_LINGER);
        self.connections.insert(LingeringConnection {
            stream,
            deadline: reactor.now + linger,
            remaining_discard_bytes: MAX_DISCARDED_BYTES,
        });
        self.discard_input(reactor, key);
    }

    /// Reads and discards input of a connection, the rest of it in later iterations. Closes the connection once the client
    /// has closed it, it has failed or too many bytes have arrived.
    pub(crate) fn discard_input(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let allowed = connection
            .remaining_discard_bytes
            .min(MAX_DISCARDED_BYTES_PER_ITERATION);
        let mut allowed_left = allowed;
        let is_open = connection.stream.discard_input(reactor, &mut allowed_left);
        connection.remaining_discard_bytes -= allowed - allowed_left;
        if allowed_left == 0 && connection.remaining_discard_bytes > 0 {
            reactor.defer_read(Component::Lingering.token(key));
        } else if !is_open {
            self.close(reactor, key);
        }
    }

    /// Closes the connections whose deadline has passed; called at each tick. Returns whether any were closed.
    pub(crate) fn close_expired(&mut self, reactor: &mut Reactor) -> bool {
        let expired: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.deadline <= reactor.now)
            .map(|(key, _)| key)
            .collect();
        for key in &expired {
            self.close(reactor, *key);
        }
        !expired.is_empty()
    }

    /// Closes the connection with the earliest deadline, to free its descriptor. Returns whether there was one.
    pub(crate) fn evict_oldest(&mut self, reactor: &mut Reactor) -> bool {
        let oldest = self
            .connections
            .iter()
            .min_by_key(|(_, connection)| connection.deadline)
            .map(|(key, _)| key);
        if let Some(key) = oldest {
            self.close(reactor, key);
        }
        oldest.is_some()
    }

    fn close(&mut self, reactor: &mut Reactor, key: usize) {
        self.connections.remove(key).stream.close(reactor);
    }
}

#[cfg(test)]
mod tests;
