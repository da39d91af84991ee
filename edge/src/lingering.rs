//! The end of a connection that the gateway ends itself. What it was answered has gone out; sending is shut down, which
//! the other side sees as the end, and what still comes is read and dropped until that side ends too. To close at once
//! over bytes that have come and were not read would reset the connection, and take the last answer along; to serve
//! what crossed the end would answer into a connection that is shut.
//!
//! Trade-off: a connection holds its descriptor for a while longer. It counts as the clients' own, and goes first where
//! one is wanted.

use crate::component::Component;
use crate::reactor::Reactor;
use crate::stream::BufferedStream;
use slab::Slab;
use std::time::Duration;

/// The other side's end is waited for as long as a connection may take to come up, within these bounds.
const MIN_LINGER: Duration = Duration::from_millis(200);
const MAX_LINGER: Duration = Duration::from_secs(1);

/// No more bytes than this are read of what the other side still sends.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// A connection whose sending is shut down.
struct LingeringConnection {
    stream: BufferedStream,
    /// Until when the other side's end is waited for.
    deadline: Duration,
    /// How many bytes more are read and dropped.
    allowance: usize,
}

/// All connections whose sending is shut down.
#[derive(Default)]
pub(crate) struct Lingering {
    connections: Slab<LingeringConnection>,
}

impl Lingering {
    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Ends a connection on which all is written: the one way in which the gateway ends one that a client holds.
    pub(crate) fn end_connection(&mut self, reactor: &mut Reactor, mut stream: BufferedStream) {
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
            allowance: MAX_DISCARDED_BYTES,
        });
        self.discard_input(reactor, key);
    }

    /// Reads and drops what has come.
    pub(crate) fn discard_input(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let is_open = connection
            .stream
            .discard_input(reactor, &mut connection.allowance);
        if !is_open {
            self.close(reactor, key);
        }
    }

    /// At each tick: who has not ended by now is waited for no longer. Returns whether any went.
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

    /// A descriptor is wanted: the one that has lingered for longest goes. Returns whether there was one.
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
