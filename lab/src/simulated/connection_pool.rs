//! The connections of one simulated gateway to servers, with the rules of the edge node: the most recently used idle
//! connection is reused first, and a full pool closes the connection that has been idle for the longest time.

use crate::events::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The open connections of a gateway: their number, and the idle ones by server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// The time of the last use of each idle connection, by server, in ascending order.
    idle: BTreeMap<ServerId, Vec<Duration>>,
    /// The number of open connections, including idle ones.
    open_count: usize,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to a server. Returns false if there is none.
    pub(super) fn take_idle(&mut self, server: ServerId) -> bool {
        self.idle.get_mut(&server).and_then(Vec::pop).is_some()
    }

    /// Returns a connection to the pool after an attempt has used it.
    pub(super) fn put_idle(&mut self, server: ServerId, now: Duration) {
        self.idle.entry(server).or_default().push(now);
    }

    /// Counts a new connection.
    pub(super) fn open(&mut self) {
        self.open_count += 1;
    }

    /// Counts the close of a connection that was in use.
    pub(super) fn close_used(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Whether `limit` or more connections are open, so that no further one may be opened.
    pub(super) fn is_full(&self, limit: usize) -> bool {
        self.open_count >= limit
    }

    /// Closes the connection that has been idle for the longest time. Returns its server, or `None` if no connection is
    /// idle.
    pub(super) fn evict_oldest_idle(&mut self) -> Option<ServerId> {
        let oldest = self
            .idle
            .iter()
            .filter_map(|(server, idle)| Some((*idle.first()?, *server)));
        let (_, server) = oldest.min()?;
        self.idle.get_mut(&server)?.remove(0);
        self.open_count -= 1;
        Some(server)
    }

    /// Closes the connections that have been idle for at least `max_idle`. Returns the server of each.
    pub(super) fn close_stale(&mut self, now: Duration, max_idle: Duration) -> Vec<ServerId> {
        let mut closed = Vec::new();
        for (server, idle) in &mut self.idle {
            let stale = idle
                .iter()
                .take_while(|last_used| **last_used + max_idle <= now)
                .count();
            idle.drain(..stale);
            self.open_count -= stale;
            closed.extend(std::iter::repeat_n(*server, stale));
        }
        closed
    }

    /// Drops all idle connections to a server. Returns their number.
    pub(super) fn drop_idle_to(&mut self, server: ServerId) -> usize {
        let count = self.idle.remove(&server).map_or(0, |idle| idle.len());
        self.open_count = self.open_count.saturating_sub(count);
        count
    }

    /// The servers of the idle connections, with one entry per connection.
    pub(super) fn idle_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.idle
            .iter()
            .flat_map(|(server, idle)| std::iter::repeat_n(*server, idle.len()))
    }
}

#[cfg(test)]
mod tests;
