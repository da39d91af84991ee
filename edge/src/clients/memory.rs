//! The memory that the connections of clients take for their input and their answers. Each connection may take its share
//! of the budget for either, so that a small command never waits for other clients. What exceeds the shares is limited for
//! all connections together: a command that is larger than the share needs one of a limited number of permits and room in
//! the account of all memory, and while all answers together exceed their pool, a connection whose answers exceed its
//! share is paused. A connection that finds no room is read no further until there is some; nothing is rejected for it.

use crate::budget::Budget;
use crate::resp::MAX_MESSAGE_BYTES;
use std::collections::VecDeque;

/// What was counted for one connection.
#[derive(Default)]
pub(crate) struct MemoryUse {
    /// What the answers took when they were last counted, in bytes.
    answer_bytes: usize,
    /// Whether a command that is larger than the share may be buffered.
    holds_permit: bool,
    /// Whether the connection is read no further because its command needs a permit.
    awaits_permit: bool,
}

impl MemoryUse {
    /// Whether a command that is larger than the share may be buffered.
    pub(crate) fn holds_permit(&self) -> bool {
        self.holds_permit
    }

    /// Whether the connection is read no further because its command needs a permit.
    pub(crate) fn awaits_permit(&self) -> bool {
        self.awaits_permit
    }
}

/// The memory of all connections of clients.
pub(super) struct ClientMemory {
    /// How many bytes each connection may take for its input, and as many for its answers.
    share_bytes: usize,
    /// How many connections may buffer a command that is larger than the share.
    max_permits: usize,
    /// How many bytes all answers may take before none may exceed its share.
    answer_pool_bytes: usize,
    /// The sum of what was last counted for the answers of each connection, in bytes.
    answer_bytes: usize,
    /// How many connections have a permit.
    permits_in_use: usize,
    /// The keys of the connections that wait for a permit, the one that has waited longest first.
    waiting: VecDeque<usize>,
}

impl ClientMemory {
    /// Divides a budget: each permit allows a command of the maximum size.
    pub(super) fn new(budget: &Budget) -> ClientMemory {
        ClientMemory {
            share_bytes: budget.client_share_bytes.min(MAX_MESSAGE_BYTES),
            max_permits: (budget.large_command_bytes / MAX_MESSAGE_BYTES).max(1),
            answer_pool_bytes: budget.answer_pool_bytes,
            answer_bytes: 0,
            permits_in_use: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Counts what the answers of a connection take now, in place of what they took before.
    pub(super) fn update_answers(&mut self, connection: &mut MemoryUse, bytes: usize) {
        self.answer_bytes = self.answer_bytes - connection.answer_bytes + bytes;
        connection.answer_bytes = bytes;
    }

    /// How many bytes of answers a connection may hold before it is paused; `usize::MAX` while there is room.
    pub(super) fn answer_limit(&self) -> usize {
        if self.answer_bytes <= self.answer_pool_bytes {
            usize::MAX
        } else {
            self.share_bytes
        }
    }

    /// How many bytes of input each connection may buffer without a permit.
    pub(super) fn share_bytes(&self) -> usize {
        self.share_bytes
    }

    /// Takes a permit for a connection whose incomplete command has reached the share and holds `input_bytes`, if one is
    /// left and `headroom` bytes are enough for the rest. Otherwise the connection with this key waits, without a permit.
    /// Returns whether it has a permit.
    pub(super) fn acquire_permit(
        &mut self,
        key: usize,
        connection: &mut MemoryUse,
        input_bytes: usize,
        headroom: usize,
    ) -> bool {
        let has_room = MAX_MESSAGE_BYTES <= input_bytes + headroom;
        if !connection.holds_permit && has_room && self.permits_in_use < self.max_permits {
            connection.holds_permit = true;
            self.permits_in_use += 1;
        }
        if connection.holds_permit && has_room {
            self.stop_waiting(key, connection);
            return true;
        }
        self.release_permit(connection);
        if !connection.awaits_permit {
            connection.awaits_permit = true;
            self.waiting.push_back(key);
        }
        false
    }

    /// Takes a connection that is read on out of those that wait for a permit, if it is among them.
    pub(super) fn stop_waiting(&mut self, key: usize, connection: &mut MemoryUse) {
        if std::mem::take(&mut connection.awaits_permit) {
            self.waiting.retain(|waiting| *waiting != key);
        }
    }

    fn release_permit(&mut self, connection: &mut MemoryUse) {
        if std::mem::take(&mut connection.holds_permit) {
            self.permits_in_use -= 1;
        }
    }

    /// Returns a connection's permit, if it has one and no more than its share of input is left.
    pub(super) fn release_unneeded_permit(
        &mut self,
        connection: &mut MemoryUse,
        input_bytes: usize,
    ) {
        if input_bytes < self.share_bytes {
            self.release_permit(connection);
        }
    }

    /// How many connections wait for a permit.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the key of the connection that has waited longest for a permit, if there is a permit for it and `headroom`
    /// bytes are enough for a command.
    pub(super) fn next_waiting(&mut self, headroom: usize) -> Option<usize> {
        if self.permits_in_use < self.max_permits && headroom >= MAX_MESSAGE_BYTES {
            self.waiting.pop_front()
        } else {
            None
        }
    }

    /// Gives a permit to a connection that [`ClientMemory::next_waiting`] has returned.
    pub(super) fn grant_permit(&mut self, connection: &mut MemoryUse) {
        connection.awaits_permit = false;
        connection.holds_permit = true;
        self.permits_in_use += 1;
    }

    /// Subtracts what was counted for a connection that is removed.
    pub(super) fn remove(&mut self, key: usize, connection: &mut MemoryUse) {
        self.update_answers(connection, 0);
        self.release_unneeded_permit(connection, 0);
        self.stop_waiting(key, connection);
    }
}

#[cfg(test)]
mod tests;
