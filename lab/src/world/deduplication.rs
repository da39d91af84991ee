//! Idempotency keys that servers know: a repeat within the deduplication window and scope is not executed again.

use super::server::Server;
use crate::experiment::DeduplicationScope;
use std::collections::BTreeMap;
use std::time::Duration;

/// A key within the scope in which servers know it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScopedKey {
    scope: u64,
    key: u64,
}

/// When keys were first executed.
#[derive(Default)]
pub(super) struct DeduplicationTable {
    executed_at: BTreeMap<ScopedKey, Duration>,
}

/// The number of a server's scope; 0 is the scope of all servers.
fn scope_of(server: &Server, group: DeduplicationScope) -> u64 {
    match group {
        DeduplicationScope::All => 0,
        DeduplicationScope::Cell => 1 + server.cell,
        DeduplicationScope::Zone => 1 + server.zone as u64,
    }
}

impl DeduplicationTable {
    /// Whether a key is a repeat at this server; if it is not, the server knows it from now on.
    pub(super) fn is_repeat(
        &mut self,
        now: Duration,
        server: &Server,
        group: DeduplicationScope,
        key: u64,
        window: Duration,
    ) -> bool {
        let scope = scope_of(server, group);
        let key = ScopedKey { scope, key };
        let known = self.executed_at.get(&key);
        if known.is_some_and(|executed_at| *executed_at + window >= now) {
            return true;
        }
        self.executed_at.insert(key, now);
        false
    }

    /// Forgets the keys that are older than the longest window.
    pub(super) fn forget_expired(&mut self, now: Duration, longest_window: Duration) {
        self.executed_at
            .retain(|_, executed_at| *executed_at + longest_window >= now);
    }
}
