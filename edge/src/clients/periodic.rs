//! The periodic work on the connections of clients: closes those that are overdue or have stalled, and those that are idle
//! while the gateway drains.

use super::{count_answers, Clients};
use crate::client::{Client, MAX_IDLE};
use crate::reactor::Reactor;
use crate::requests::OpenRequests;
use crate::resp::{ProtocolError, MAX_MESSAGE_BYTES};

impl Clients {
    /// Called at each tick. Closes connections whose clients have sent no request, or have left a command incomplete,
    /// for `MAX_IDLE`; the latter get a protocol error first. While more than half of the budget for client connections
    /// is in use, connections that have been idle between two requests for `MAX_IDLE` are closed too.
    pub(crate) fn close_overdue(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        // While accepting is paused, it is tried again: some connections may have been idle long enough by now to be
        // replaced.
        self.may_resume_accept |= self.lingering.close_expired(reactor) || self.is_accept_paused;
        for (_, client) in &mut self.connections {
            // Registering may have failed when the connection was accepted.
            let _ = client.stream.register(reactor);
        }
        let now = reactor.now;
        let are_scarce = self.connections.len() * 2 > reactor.budget.clients;
        for key in self.keys_where(|client| client.is_overdue(now, are_scarce)) {
            self.read_unreported_input(reactor, key, requests);
            let Some(client) = self
                .connections
                .get_mut(key)
                .filter(|client| client.is_overdue(now, are_scarce))
            else {
                continue;
            };
            if client.stream.input.is_empty() {
                self.close_gracefully(reactor, key, requests);
            } else {
                client.reject_input(reactor, ProtocolError::CommandTooSlow);
            }
        }
        self.drop_stalled_commands(reactor);
    }

    /// Drops incomplete commands that have stalled, the largest first, one for each connection that waits for a permit, and
    /// further ones above the share of a connection while there is no memory for another request.
    fn drop_stalled_commands(&mut self, reactor: &mut Reactor) {
        let mut dropped = 0;
        while dropped < self.memory.waiting()
            && self.drop_largest_stalled_command(reactor, |client| client.memory.holds_permit())
        {
            dropped += 1;
        }
        let share_bytes = self.memory.share_bytes();
        while !reactor.memory.allows_request(MAX_MESSAGE_BYTES)
            && self.drop_largest_stalled_command(reactor, |client| {
                client.stream.input.len() >= share_bytes
            })
        {
            dropped += 1;
        }
        if dropped > 0 {
            slog::warn!(reactor.log, "large commands wait for memory: dropped the largest incomplete commands";
                "dropped" => dropped, "waiting" => self.memory.waiting());
        }
    }

    /// Drops the largest incomplete command that has stalled on a connection that satisfies a condition, if there is one:
    /// its client gets an error, and its connection is closed after that. Returns whether there was one.
    fn drop_largest_stalled_command(
        &mut self,
        reactor: &mut Reactor,
        condition: impl Fn(&Client) -> bool,
    ) -> bool {
        let Some(key) = self.largest_stalled_command(reactor, condition) else {
            return false;
        };
        let client = &mut self.connections[key];
        client.reject_input(reactor, ProtocolError::CommandStalled);
        let input_length = client.stream.input.len();
        client.stream.consume(reactor, input_length);
        self.memory.release_unneeded_permit(&mut client.memory, 0);
        count_answers(reactor, &mut self.memory, client);
        true
    }

    /// Called once a second. Closes connections that have accepted nothing of their answers for longer than any client
    /// waits. While the buffered bytes exceed the budget, closes the connections with the largest incomplete commands.
    /// Schedules another try for paused connections and for accepting.
    pub(crate) fn close_stalled(&mut self, reactor: &mut Reactor, requests: &mut OpenRequests) {
        let now = reactor.now;
        // No client waits longer than this for an answer.
        let write_timeout = reactor.settings.max_client_timeout().max(MAX_IDLE);
        for key in self.keys_where(|client| client.is_write_stalled(now, write_timeout)) {
            self.close(reactor, key, requests);
        }
        while reactor.memory.held() > reactor.budget.bytes {
            let held = reactor.memory.held();
            if !self.drop_largest_stalled_command(reactor, |_| true) {
                break;
            }
            slog::warn!(reactor.log,
                "buffered bytes exceed the budget: closing the connection with the largest incomplete command";
                "held" => held);
        }
        self.resumable = self.keys_where(Client::is_paused);
        self.may_resume_accept = true;
    }

    /// The key of the connection with the largest incomplete command, among those that satisfy a condition and whose last
    /// activity is longer ago than the connect timeout.
    fn largest_stalled_command(
        &self,
        reactor: &Reactor,
        condition: impl Fn(&Client) -> bool,
    ) -> Option<usize> {
        let stalled_since = reactor.now.saturating_sub(reactor.connect_timeout());
        self.connections
            .iter()
            .filter(|(_, client)| client.has_stalled_command(stalled_since) && condition(client))
            .max_by_key(|(_, client)| client.stream.input.len())
            .map(|(key, _)| key)
    }

    /// Called at each tick while the gateway drains. Closes idle connections, unless input has just arrived on them.
    pub(crate) fn close_idle_connections(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) {
        for key in self.keys_where(|client| client.is_idle(reactor)) {
            if self.connections.contains(key) && self.is_idle_after_reading(reactor, key, requests)
            {
                self.close_gracefully(reactor, key, requests);
            }
        }
    }

    /// Called when the gateway must answer all requests. Handles the complete commands that have arrived by now, rejects
    /// incomplete ones, reads nothing further, and closes each connection after its last answer.
    pub(crate) fn close_after_last_answers(
        &mut self,
        reactor: &mut Reactor,
        requests: &mut OpenRequests,
    ) {
        for key in self.keys_where(|client| !client.is_closing()) {
            if self.connections.contains(key) {
                self.read_unreported_input(reactor, key, requests);
            }
            if let Some(client) = self.connections.get_mut(key) {
                if client.has_incomplete_command() {
                    client.reject_input(reactor, ProtocolError::CommandBeforeShutdown);
                } else if !client.is_paused() && !client.awaits_turn {
                    client.stop_reading();
                }
            }
        }
        for key in self.keys_where(|client| client.is_closing() && client.is_quiescent()) {
            self.close_gracefully(reactor, key, requests);
        }
    }

    /// The keys of the connections that satisfy a condition.
    fn keys_where(&self, condition: impl Fn(&Client) -> bool) -> Vec<usize> {
        self.connections
            .iter()
            .filter(|(_, client)| condition(client))
            .map(|(key, _)| key)
            .collect()
    }
}
