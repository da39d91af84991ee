//! The ids of requests that must not run twice and whose clients left after an attempt may have run. A client that comes
//! again under such an id, which it does not know the outcome of, gets an error instead of a second execution.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How long an id is kept.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// How many ids are kept at most. Beyond that, the oldest is forgotten.
const MAX_IDS: usize = 8192;

/// The ids, with the time at which each was inserted.
#[derive(Default)]
pub(super) struct DepartedIds {
    ids: BTreeSet<u64>,
    /// The oldest first.
    by_age: VecDeque<(Duration, u64)>,
}

impl DepartedIds {
    /// Whether an id is kept.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Keeps an id from `now` on.
    pub(super) fn insert(&mut self, id: u64, now: Duration) {
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back((now, id));
        if self.ids.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Forgets the ids that were kept for long enough.
    pub(super) fn forget_expired(&mut self, now: Duration) {
        while self
            .by_age
            .front()
            .is_some_and(|(inserted_at, _)| *inserted_at + KEPT_FOR <= now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
