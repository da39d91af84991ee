//! Reads and handles the input of clients, by turns.

use super::turn::{InputState, Turn};
use super::{count_answers, is_full, Clients};
use crate::client::GatewayStatus;
use crate::component::Component;
use crate::notification::Notification;
use crate::reactor::Reactor;
use crate::readiness::Readiness;
use crate::requests::OpenRequests;
use crate::resp::{self, ProtocolError, MAX_MESSAGE_BYTES};

impl Clients {
    /// Handles a readiness event of a connection.
    pub(crate) fn on_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
        requests: &mut OpenRequests,
    ) {
        if readiness.is_broken() {
            return self.close(reactor, key, requests);
        }
        // The end of the input may be far behind commands that are not read yet.
        if readiness.has_peer_stopped_sending() {
            self.expire_open_requests(reactor, key, requests);
        }
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        client.stream.read_would_block = false;
        if readiness.should_read() {
            client.on_input_reported(reactor.polled_at);
        }
        if client.stream.pending_bytes() > 0 {
            self.flush(reactor, key, requests);
        }
        self.take_turn(reactor, key, requests);
    }

    /// Gives a connection the turn that it has waited for since an earlier iteration.
    pub(crate) fn take_deferred_turn(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) {
        if let Some(client) = self.connections.get_mut(key) {
            client.awaits_turn = false;
            self.take_turn(reactor, key, requests);
        }
    }

    /// Gives a connection its turn, unless it waits for one already. Once the commands of this iteration are used up, the
    /// turn comes in the next one.
    fn take_turn(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let Some(client) = self.connections.get(key) else {
            return;
        };
        if client.awaits_turn {
            return;
        }
        let is_closing = client.is_closing();
        if self.iteration_budget.is_used_up() {
            return self.defer_turn(reactor, key);
        }
        if is_closing {
            return self.discard_input(reactor, key, requests);
        }
        self.read_commands(reactor, key, requests);
    }

    /// Reads and discards what has arrived on a connection that is closed after its last answer, as much as a turn allows.
    /// Otherwise the end of the client's sending would go unnoticed behind it.
    fn discard_input(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let client = &mut self.connections[key];
        if client.has_input_ended {
            return;
        }
        let mut bytes_left = MAX_MESSAGE_BYTES;
        let is_open = client.stream.discard_input(reactor, &mut bytes_left);
        let turn = self.iteration_budget.begin_turn();
        self.iteration_budget.end_turn(&turn);
        if bytes_left == 0 {
            self.defer_turn(reactor, key);
        } else if !is_open {
            client.has_input_ended = true;
            self.expire_open_requests(reactor, key, requests);
        }
    }

    /// Puts the next turn of a connection off to the next iteration.
    pub(super) fn defer_turn(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(client) = self.connections.get_mut(key) {
            client.awaits_turn = true;
            reactor.defer_read(Component::Client.token(key));
        }
    }

    /// Reads and handles input of a connection that the poll has not reported yet.
    pub(super) fn read_unreported_input(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) {
        self.connections[key].stream.read_would_block = false;
        self.read_commands(reactor, key, requests);
    }

    /// Handles input that the poll has not reported yet. Returns whether the connection is still open and idle
    /// afterwards.
    pub(super) fn is_idle_after_reading(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) -> bool {
        self.read_unreported_input(reactor, key, requests);
        self.connections
            .get(key)
            .is_some_and(|client| client.is_idle(reactor))
    }

    /// Gives a connection its turn: handles buffered commands and reads more input, until the socket has none left, the
    /// connection is paused or closing, or the turn is over. In the last case the next turn comes in the next iteration.
    fn read_commands(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let mut turn = self.iteration_budget.begin_turn();
        let state = self.read_in_turn(reactor, key, requests, &mut turn);
        self.iteration_budget.end_turn(&turn);
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        count_answers(reactor, &mut self.memory, client);
        let is_input_unwanted = client.is_closing() && !client.stream.read_would_block;
        if state == InputState::TurnIsOver || is_input_unwanted {
            self.defer_turn(reactor, key);
        }
    }

    /// Handles buffered commands and reads more input. Returns why it has stopped; [`InputState::NeedsMoreBytes`] if the
    /// socket has no input left for now.
    fn read_in_turn(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
        turn: &mut Turn,
    ) -> InputState {
        loop {
            let state = self.handle_commands(reactor, key, requests, turn);
            if state != InputState::NeedsMoreBytes {
                return state;
            }
            let client = &mut self.connections[key];
            if client.has_input_ended {
                self.finish_input(reactor, key, requests);
                return InputState::Stopped;
            }
            if client.stream.read_would_block {
                return InputState::NeedsMoreBytes;
            }
            if !turn.allows_read() {
                return InputState::TurnIsOver;
            }
            let length_before = client.stream.input.len();
            let Some(limit) = self.max_input_bytes(reactor, key) else {
                return InputState::NeedsPermit;
            };
            let reading = &mut self.connections[key];
            let is_open = reading.stream.read(reactor, limit);
            let received = reading.stream.input.len() - length_before;
            reading.on_input_read(reactor.now, received);
            turn.count_bytes(received);
            if length_before == 0 && received > 0 {
                reading.last_active = reactor.now;
            }
            if !is_open {
                self.on_read_end(reactor, key, requests);
            }
        }
    }

    /// Up to how many bytes of input a connection may buffer now; `None` if it has to wait for a permit. A command whose
    /// rest is in the socket never waits: it is handled at once, and its memory is free again or counted for its request.
    fn max_input_bytes(&mut self, reactor: &Reactor, key: usize) -> Option<usize> {
        let client = &mut self.connections[key];
        let input_bytes = client.stream.input.len();
        let share_bytes = self.memory.share_bytes();
        if input_bytes < share_bytes {
            return Some(share_bytes);
        }
        let missing_bytes = resp::missing_bytes(&client.stream.input);
        if let Some(missing) = missing_bytes.filter(|missing| client.has_unread(*missing)) {
            self.memory.stop_waiting(key, &mut client.memory);
            return Some(input_bytes + missing);
        }
        let headroom = reactor.memory.headroom();
        self.memory
            .acquire_permit(key, &mut client.memory, input_bytes, headroom)
            .then_some(MAX_MESSAGE_BYTES)
    }

    /// Handles the end of a connection's input: the connection failed, or the client has stopped sending.
    fn on_read_end(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let client = &mut self.connections[key];
        if client.stream.has_failed {
            return self.close(reactor, key, requests);
        }
        client.has_input_ended = true;
        self.expire_open_requests(reactor, key, requests);
    }

    /// Called once all commands are handled of a client that has stopped sending. Closes the connection after the last
    /// answer.
    fn finish_input(&mut self, reactor: &mut Reactor, key: usize, requests: &mut OpenRequests) {
        let client = &mut self.connections[key];
        client.stop_reading();
        if client.is_quiescent() {
            self.close_gracefully(reactor, key, requests);
        }
    }

    /// Handles complete commands in the input buffer, as many as the turn allows. Returns why no more are handled.
    fn handle_commands(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
        turn: &mut Turn,
    ) -> InputState {
        let answer_limit = self.memory.answer_limit();
        let Some(client) = self.connections.get_mut(key) else {
            return InputState::Stopped;
        };
        client.resume();
        let input = std::mem::take(&mut client.stream.input);
        let mut consumed = 0;
        while !client.is_closing() && consumed < input.len() && turn.allows_command() {
            let bytes = &input[consumed..];
            match resp::parse_command(bytes) {
                // An incomplete command may still grow up to the maximum size.
                Ok(None) if bytes.len() < MAX_MESSAGE_BYTES => break,
                Ok(None) => client.reject_input(reactor, ProtocolError::CommandTooLong),
                Err(error) => client.reject_input(reactor, error),
                Ok(Some((words, length))) => {
                    if client.pause_if_behind(answer_limit) {
                        break;
                    }
                    // A request beyond the limits is rejected at once: if it waited for others to end, its client's
                    // timeout could pass.
                    let gateway = GatewayStatus {
                        is_ready: self.is_ready,
                        is_full: is_full(reactor, requests),
                    };
                    reactor.count_client_command();
                    let command = &bytes[..length];
                    client.handle_command(reactor, key, command, words, requests, gateway);
                    consumed += length;
                    turn.count_command();
                    client.last_active = reactor.now;
                }
            }
        }
        // Nothing of the input is used any more once the connection is closing.
        if client.is_closing() {
            consumed = input.len();
        }
        client.stream.input = input;
        client.stream.consume(reactor, consumed);
        let input_bytes = client.stream.input.len();
        self.memory
            .release_unneeded_permit(&mut client.memory, input_bytes);
        if client.is_closing() || client.is_paused() {
            InputState::Stopped
        } else if !turn.allows_command() {
            InputState::TurnIsOver
        } else {
            InputState::NeedsMoreBytes
        }
    }

    /// Called when a client has stopped sending. It may be gone, so its open requests are answered now instead of being
    /// attempted further, and requests that are still to be read are rejected. It may still read its answers.
    fn expire_open_requests(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        requests: &mut OpenRequests,
    ) {
        let Some(client) = self.connections.get_mut(key) else {
            return;
        };
        client.has_stopped_sending = true;
        for request in client.open_requests() {
            if let Some(request) = requests.mark_client_left(request) {
                reactor.metrics.disconnected += 1;
                reactor.notify(Notification::ExpireRequest(request));
            }
        }
    }

    /// Has a connection that waits for a permit read further in the next iteration.
    pub(super) fn grant_permit(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(client) = self
            .connections
            .get_mut(key)
            .filter(|client| client.memory.awaits_permit())
        else {
            return;
        };
        self.memory.grant_permit(&mut client.memory);
        self.defer_turn(reactor, key);
    }
}
