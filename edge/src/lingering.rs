//! The end of a connection that the gateway ends itself. What it was answered has gone out; sending is shut down, which
//! the other side sees as the end, and what still comes is read and dropped until that side ends too. To close at once
//! over bytes that have come and were not read would reset the connection, and take the last answer along; to serve
//! what crossed the end would answer into a connection that is shut.
//!
//! Harm: a connection holds its descriptor for a while longer. It counts as the clients' own, and goes first where one
//! is wanted.

use crate::reactor::{Reactor, Side};
use crate::stream::BufferedStream;
use slab::Slab;
use std::time::Duration;

/// The other side's end is waited for as long as a connection may take to come up, within these.
const LEAST: Duration = Duration::from_millis(200);
const MOST: Duration = Duration::from_secs(1);
/// And no more than this is read of what it still sends.
const BYTES: usize = 1 << 20;

struct Ending {
    stream: BufferedStream,
    until: Duration,
    bytes: usize,
}

#[derive(Default)]
pub struct Lingering {
    connections: Slab<Ending>,
}

impl Lingering {
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Ends a connection on which all is written: the one way in which the gateway ends one that a client holds.
    pub fn end(&mut self, reactor: &mut Reactor, mut stream: BufferedStream) {
        let key = self.connections.vacant_key();
        if stream
            .shut_down_sending(reactor, Side::Lingering, key)
            .is_err()
        {
            return stream.close(reactor);
        }
        let wait = reactor.connect_timeout().clamp(LEAST, MOST);
        self.connections.insert(Ending {
            stream,
            until: reactor.now + wait,
            bytes: BYTES,
        });
        self.ready(reactor, key);
    }

    /// Reads and drops what has come.
    pub fn ready(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(ending) = self.connections.get_mut(key) else {
            return;
        };
        if !ending.stream.discard_input(reactor, &mut ending.bytes) {
            self.close(reactor, key);
        }
    }

    /// At each tick: who has not ended by now is waited for no longer. Says whether any went.
    pub fn sweep(&mut self, reactor: &mut Reactor) -> bool {
        let over = self
            .connections
            .iter()
            .filter(|(_, ending)| ending.until <= reactor.now);
        let over: Vec<usize> = over.map(|(key, _)| key).collect();
        for key in &over {
            self.close(reactor, *key);
        }
        !over.is_empty()
    }

    /// A descriptor is wanted: the one that has been ending for longest goes. Says whether there was one.
    pub fn give_up(&mut self, reactor: &mut Reactor) -> bool {
        let longest = self
            .connections
            .iter()
            .min_by_key(|(_, ending)| ending.until);
        let longest = longest.map(|(key, _)| key);
        longest.map(|key| self.close(reactor, key)).is_some()
    }

    fn close(&mut self, reactor: &mut Reactor, key: usize) {
        self.connections.remove(key).stream.close(reactor);
    }
}
