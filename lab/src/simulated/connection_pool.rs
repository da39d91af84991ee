//! The connections of one simulated gateway to servers, with the edge node's rules: the one that was used last
//! is used first, and a full pool closes the one that has been idle for longest.

use crate::events::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts the connections of a gateway, and holds those that are idle.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// When each idle connection was last used, by server; the latest last.
    idle: BTreeMap<ServerId, Vec<Duration>>,
    /// Connections in all, idle ones included.
    open: usize,
}

impl ConnectionPool {
    /// Takes the idle connection to a server that was used last; false where there is none.
    pub(super) fn take_idle(&mut self, server: ServerId) -> bool {
        self.idle.get_mut(&server).and_then(Vec::pop).is_some()
    }

    /// Puts a connection back that an attempt has used until now.
    pub(super) fn put_idle(&mut self, server: ServerId, now: Duration) {
        self.idle.entry(server).or_default().push(now);
    }

    /// Counts a new connection.
    pub(super) fn open(&mut self) {
        self.open += 1;
    }

    /// Counts a connection as closed that was not idle.
    pub(super) fn close_used(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Whether no further connection may be opened beside `limit` ones.
    pub(super) fn is_full(&self, limit: usize) -> bool {
        self.open >= limit
    }

    /// Closes the connection that has been idle for longest; says to which server it led.
    pub(super) fn evict_oldest_idle(&mut self) -> Option<ServerId> {
        let oldest = self
            .idle
            .iter()
            .filter_map(|(server, idle)| Some((*idle.first()?, *server)));
        let (_, server) = oldest.min()?;
        self.idle.get_mut(&server)?.remove(0);
        self.open -= 1;
        Some(server)
    }

    /// Closes the connections that have been idle for `max_idle`; says for each to which server it led.
    pub(super) fn close_stale(&mut self, now: Duration, max_idle: Duration) -> Vec<ServerId> {
        let mut closed = Vec::new();
        for (server, idle) in &mut self.idle {
            let stale = idle
                .iter()
                .take_while(|last_used| **last_used + max_idle <= now)
                .count();
            idle.drain(..stale);
            self.open -= stale;
            closed.extend(std::iter::repeat_n(*server, stale));
        }
        closed
    }

    /// Drops all idle connections to a server; says how many there were.
    pub(super) fn drop_idle_to(&mut self, server: ServerId) -> usize {
        let count = self.idle.remove(&server).map_or(0, |idle| idle.len());
        self.open = self.open.saturating_sub(count);
        count
    }

    /// The servers that idle connections lead to, one entry a connection.
    pub(super) fn idle_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.idle
            .iter()
            .flat_map(|(server, idle)| std::iter::repeat_n(*server, idle.len()))
    }
}

#[cfg(test)]
mod tests;
