//! The idempotency keys that servers remember. An attempt with a known key is not executed again within the
//! deduplication window and scope.

use super::server::Server;
use crate::experiment::DeduplicationScope;
use std::collections::BTreeMap;
use std::time::Duration;

/// An idempotency key together with the scope in which servers remember it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScopedKey {
    scope_id: u64,
    key: u64,
}

/// When the attempt with each key was executed.
#[derive(Default)]
pub(super) struct DeduplicationTable {
    executed_at: BTreeMap<ScopedKey, Duration>,
}

/// Returns the id of the deduplication scope that a server belongs to; 0 is the scope of all servers.
fn scope_id(server: &Server, scope: DeduplicationScope) -> u64 {
    match scope {
        DeduplicationScope::All => 0,
        DeduplicationScope::Cell => 1 + server.cell,
        DeduplicationScope::Zone => 1 + server.zone as u64,
    }
}

impl DeduplicationTable {
    /// Returns whether the key is known in the server's scope. If it is not, the scope remembers it from now on.
    pub(super) fn is_repeat(
        &mut self,
        now: Duration,
        server: &Server,
        scope: DeduplicationScope,
        key: u64,
        window: Duration,
    ) -> bool {
        let scope_id = scope_id(server, scope);
        let key = ScopedKey { scope_id, key };
        let known = self.executed_at.get(&key);
        if known.is_some_and(|executed_at| *executed_at + window >= now) {
            return true;
        }
        self.executed_at.insert(key, now);
        false
    }

    /// Removes the keys that are older than the longest deduplication window of all routes.
    pub(super) fn forget_expired(&mut self, now: Duration, longest_window: Duration) {
        self.executed_at
            .retain(|_, executed_at| *executed_at + longest_window >= now);
    }
}
