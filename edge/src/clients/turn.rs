//! How much of one event loop iteration the connections of clients may take, so that a client that sends without a pause
//! keeps the gateway from nothing else.

use crate::resp::MAX_MESSAGE_BYTES;

/// How many commands of one connection are handled in one turn. What is left waits for its turn in the next event loop
/// iteration, behind the turns of other connections.
const MAX_COMMANDS_PER_TURN: usize = 32;

/// A turn ends after a read once this many bytes were read in it.
const MAX_BYTES_PER_TURN: usize = MAX_MESSAGE_BYTES;

/// How many commands of all connections are handled in one event loop iteration. The other connections have their turn in
/// the next one, after the poll, so that other sockets and the deadlines are not delayed by the number of clients.
const MAX_COMMANDS_PER_ITERATION: usize = 1024;

/// The commands that the connections of clients may still have handled in the current event loop iteration.
pub(super) struct IterationBudget {
    commands_left: usize,
}

impl IterationBudget {
    /// The budget of a new iteration.
    pub(super) fn new() -> IterationBudget {
        IterationBudget {
            commands_left: MAX_COMMANDS_PER_ITERATION,
        }
    }

    /// Whether further turns should wait for the next iteration.
    pub(super) fn is_used_up(&self) -> bool {
        self.commands_left == 0
    }

    /// Returns a turn of one command at least, also if the budget is used up.
    pub(super) fn begin_turn(&self) -> Turn {
        let max_commands = self.commands_left.clamp(1, MAX_COMMANDS_PER_TURN);
        Turn {
            max_commands,
            commands_left: max_commands,
            bytes_left: MAX_BYTES_PER_TURN,
        }
    }

    /// Subtracts what a turn has used. One without any command counts as one command, for the read.
    pub(super) fn end_turn(&mut self, turn: &Turn) {
        let used = (turn.max_commands - turn.commands_left).max(1);
        self.commands_left = self.commands_left.saturating_sub(used);
    }
}

/// What a connection may still read and have handled in its present turn.
pub(super) struct Turn {
    max_commands: usize,
    commands_left: usize,
    bytes_left: usize,
}

impl Turn {
    /// Whether another command may be handled.
    pub(super) fn allows_command(&self) -> bool {
        self.commands_left > 0
    }

    /// Whether the socket may be read again.
    pub(super) fn allows_read(&self) -> bool {
        self.bytes_left > 0
    }

    /// Counts a command that was handled.
    pub(super) fn count_command(&mut self) {
        self.commands_left = self.commands_left.saturating_sub(1);
    }

    /// Counts bytes that were read.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
    }
}

/// Why no more commands of a connection's buffered input are handled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum InputState {
    /// All complete commands are handled.
    NeedsMoreBytes,
    /// The turn is over.
    TurnIsOver,
    /// An incomplete command needs a permit for its remaining bytes.
    NeedsPermit,
    /// The connection is paused, closing or closed.
    Stopped,
}

#[cfg(test)]
mod tests;
