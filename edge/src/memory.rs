//! The account of all memory that grows with what clients, endpoints and services send. Whatever grows is counted here by
//! what the allocator holds for it, and asks here whether the limit allows it to grow.

use crate::budget::Budget;
use crate::resp::MAX_VALUE_BYTES;

/// What the records of an open request take besides its command: the controller's, its timer, its lease and its id.
const REQUEST_RECORD_BYTES: usize = 512;

/// What an open request may still take: the value that an endpoint sends for it, on its way to the client, or before that
/// the copy of its command that is being written.
const RESPONSE_RESERVE_BYTES: usize = MAX_VALUE_BYTES;

/// A request with a command of at most this size is small: any command without a body.
const MAX_SMALL_COMMAND_BYTES: usize = 4096;

/// The memory in use and the limit, in bytes. The sums stop at zero: if a counting error made one wrap around, the memory
/// would count as full for ever.
pub(crate) struct MemoryAccount {
    limit: usize,
    /// The part of the limit that only small requests may use, so that large ones don't keep them out.
    small_request_share: usize,
    /// What buffers, queues and the commands of open requests take, except for the buffers of connections to endpoints.
    held: usize,
    /// What the buffers of connections to endpoints take.
    held_by_upstream: usize,
    /// What open requests may take in buffers of connections to endpoints, and after that for their answers.
    reserved: usize,
}

impl MemoryAccount {
    /// An account of a budget, without anything in use.
    pub(crate) fn new(budget: &Budget) -> MemoryAccount {
        MemoryAccount {
            limit: budget.bytes + budget.small_request_bytes,
            small_request_share: budget.small_request_bytes,
            held: 0,
            held_by_upstream: 0,
            reserved: 0,
        }
    }

    /// What is in use.
    pub(crate) fn held(&self) -> usize {
        self.held + self.held_by_upstream
    }

    /// How much small requests may add without exceeding the limit, if each open request takes all that is reserved for it.
    fn total_headroom(&self) -> usize {
        let upstream = self.reserved.max(self.held_by_upstream);
        self.limit.saturating_sub(self.held + upstream)
    }

    /// How much large commands and requests may add.
    pub(crate) fn headroom(&self) -> usize {
        self.total_headroom()
            .saturating_sub(self.small_request_share)
    }

    /// Whether a request with a command of this size may be opened.
    pub(crate) fn allows_request(&self, command_bytes: usize) -> bool {
        let headroom = if command_bytes <= MAX_SMALL_COMMAND_BYTES {
            self.total_headroom()
        } else {
            self.headroom()
        };
        command_bytes + REQUEST_RECORD_BYTES + RESPONSE_RESERVE_BYTES <= headroom
    }

    /// Counts an open request with a command of this size.
    pub(crate) fn add_request(&mut self, command_bytes: usize) {
        self.held += command_bytes + REQUEST_RECORD_BYTES;
        self.reserved += RESPONSE_RESERVE_BYTES;
    }

    /// Subtracts a request that was counted with a command of this size.
    pub(crate) fn remove_request(&mut self, command_bytes: usize) {
        self.held = self
            .held
            .saturating_sub(command_bytes + REQUEST_RECORD_BYTES);
        self.reserved = self.reserved.saturating_sub(RESPONSE_RESERVE_BYTES);
    }

    /// Counts that something takes `bytes` now. `counted` is what was counted for it before, and is updated.
    pub(crate) fn update(&mut self, counted: &mut usize, bytes: usize) {
        self.held = self.held.saturating_sub(*counted) + bytes;
        *counted = bytes;
    }

    /// As [`MemoryAccount::update`], for a buffer of a connection to an endpoint.
    pub(crate) fn update_upstream(&mut self, counted: &mut usize, bytes: usize) {
        self.held_by_upstream = self.held_by_upstream.saturating_sub(*counted) + bytes;
        *counted = bytes;
    }
}

#[cfg(test)]
mod tests;
