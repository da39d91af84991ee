//! One connection of a client: the commands that it has sent and that wait for their answers, in their order.

use crate::invariants::invariant;
use crate::notification::Notification;
use crate::reactor::{Reactor, Serial};
use crate::requests::{request_id, OpenRequest, OpenRequests, RequestCommand, ResponseSlot};
use crate::resp::{self, ProtocolError};
use crate::stream::BufferedStream;
use std::collections::VecDeque;
use std::time::Duration;
use wellcrank::port::Request;

/// So long a connection may stay with nothing open: from then on it may be closed.
pub(crate) const MAX_IDLE: Duration = Duration::from_secs(2);

/// A client that has asked nothing yet is given no longer than this where another one wants its descriptor: of a crowd
/// that waits in the listener's queue each is owed an error or a close within 3 s.
const MAX_IDLE_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(100);

/// So many commands of one connection may wait for their answers: what comes behind them waits for those before it, whose
/// time does not count, and a flood does not fill the memory within a turn.
const MAX_PENDING_COMMANDS: usize = 1024;

/// Whether commands are taken from a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ClientState {
    /// Commands are taken as they come.
    Reading,
    /// Input is left where it is, since the client takes no answers or has too many commands that wait for theirs.
    Paused,
    /// Nothing more is taken, as what came is no RESP2 or the gateway is at its end. The connection is ended once all is
    /// answered.
    Closing,
    /// The client has ended its sending, and what has come whole is being taken, to be refused.
    TakingLastCommands,
    /// The client has ended its sending, and all that it sent was taken. It may have gone, so nothing more is begun for
    /// it; it may listen still, so what it has asked is answered before the connection ends.
    PeerClosed,
}

/// What a command left behind: its request, if it opened one, and its answer if that came before its turn.
pub(crate) struct PendingCommand {
    pub(crate) request: Option<Serial>,
    pub(crate) answer: Option<Vec<u8>>,
}

/// What a command is answered by beside itself.
#[derive(Clone, Copy)]
pub(crate) struct GatewayStatus {
    /// The gateway may say that it is ready.
    pub(crate) is_ready: bool,
    /// There is no room for further requests.
    pub(crate) is_full: bool,
}

/// One connection of a client.
pub(crate) struct Client {
    pub(crate) stream: BufferedStream,
    /// Tells the connection from others that had the same key before.
    pub(crate) connection: Serial,
    /// The number of the first pending command.
    first_number: u64,
    /// The commands that wait for their answers, in their order.
    pub(crate) pending_commands: VecDeque<PendingCommand>,
    /// When it was accepted, had a command begun or done, or took an answer last. Further pieces of a command do not
    /// count, so no client can draw one out.
    pub(crate) last_active: Duration,
    /// It has asked something that could be taken.
    pub(crate) has_asked: bool,
    state: ClientState,
}

impl Client {
    /// A connection that was accepted `now`.
    pub(crate) fn new(stream: BufferedStream, connection: Serial, now: Duration) -> Client {
        Client {
            stream,
            connection,
            first_number: 0,
            pending_commands: VecDeque::new(),
            last_active: now,
            has_asked: false,
            state: ClientState::Reading,
        }
    }

    /// Whether input is left where it is until the client has taken answers.
    pub(crate) fn is_paused(&self) -> bool {
        self.state == ClientState::Paused
    }

    /// Whether nothing more is taken, and the connection is ended once all is answered.
    pub(crate) fn is_closing(&self) -> bool {
        matches!(self.state, ClientState::Closing | ClientState::PeerClosed)
    }

    /// Whether the client has ended its sending, as far as it was noticed.
    pub(crate) fn has_peer_closed(&self) -> bool {
        matches!(
            self.state,
            ClientState::TakingLastCommands | ClientState::PeerClosed
        )
    }

    /// Takes commands again, for as long as the client is not behind.
    pub(crate) fn resume(&mut self) {
        if self.is_paused() {
            self.state = ClientState::Reading;
        }
    }

    /// Takes no further commands for now where the client is behind: it takes no answers, or has asked much and not been
    /// answered. Returns whether that is so. A client that has ended its sending is refused instead.
    pub(crate) fn pause_if_behind(&mut self) -> bool {
        let is_behind = self.stream.pending_bytes() > resp::MAX_MESSAGE
            || self.pending_commands.len() >= MAX_PENDING_COMMANDS;
        let pauses = is_behind && !self.has_peer_closed();
        if pauses {
            self.state = ClientState::Paused;
        }
        pauses
    }

    /// Takes no further commands: the connection is ended once all is answered.
    pub(crate) fn stop_reading(&mut self) {
        self.state = if self.has_peer_closed() {
            ClientState::PeerClosed
        } else {
            ClientState::Closing
        };
    }

    /// The client has ended its sending: what has come whole is taken still, if commands were taken at all.
    pub(crate) fn take_last_commands(&mut self) {
        self.state = if self.is_closing() {
            ClientState::PeerClosed
        } else {
            ClientState::TakingLastCommands
        };
    }

    /// Whether nothing that was taken waits for an answer.
    pub(crate) fn is_quiescent(&self) -> bool {
        self.pending_commands.is_empty() && self.stream.pending_bytes() == 0 && !self.is_paused()
    }

    /// Whether it is between two requests, as far as is seen: only then may a connection be closed. A client that has
    /// asked nothing yet may just be about to, and has as long as a connection may take to come up; so has the rest of a
    /// command, and of a known client's as long as a connection may stay idle.
    pub(crate) fn is_idle(&self, reactor: &Reactor) -> bool {
        self.is_idle_for(reactor, reactor.connect_timeout())
    }

    /// The same where another client wants its descriptor.
    pub(crate) fn is_evictable(&self, reactor: &Reactor) -> bool {
        let before_first_request = reactor.connect_timeout().min(MAX_IDLE_BEFORE_FIRST_REQUEST);
        self.is_idle_for(reactor, before_first_request)
    }

    fn is_idle_for(&self, reactor: &Reactor, before_first_request: Duration) -> bool {
        let min_idle = match (self.has_asked, self.stream.input.is_empty()) {
            (true, true) => Duration::ZERO,
            (true, false) => MAX_IDLE,
            (false, _) => before_first_request,
        };
        self.is_quiescent() && self.last_active + min_idle <= reactor.now
    }

    /// Whether it has nothing open for too long: it has asked nothing that could be taken or left a command unfinished,
    /// or connections are scarce.
    pub(crate) fn is_overdue(&self, now: Duration, are_connections_scarce: bool) -> bool {
        let is_between_requests = self.has_asked && self.stream.input.is_empty();
        self.is_quiescent()
            && self.last_active + MAX_IDLE <= now
            && (are_connections_scarce || !is_between_requests)
    }

    /// Whether it has taken none of its answers for longer than `patience`.
    pub(crate) fn is_stuck(&self, now: Duration, patience: Duration) -> bool {
        self.stream.pending_bytes() > 0 && self.last_active + patience < now
    }

    /// Whether a half command has waited for its rest since before `stalled_since`.
    pub(crate) fn has_stalled_command(&self, stalled_since: Duration) -> bool {
        self.is_quiescent() && !self.stream.input.is_empty() && self.last_active < stalled_since
    }

    /// Adds a command to those that wait for their answers; returns its number.
    fn push_command(&mut self) -> u64 {
        self.pending_commands.push_back(PendingCommand {
            request: None,
            answer: None,
        });
        self.first_number + self.pending_commands.len() as u64 - 1
    }

    /// After what is no RESP2 nothing can be read any more: an error in its turn, then the end.
    pub(crate) fn reject_input(&mut self, reactor: &mut Reactor, error: ProtocolError) {
        self.stop_reading();
        let number = self.push_command();
        let line = format!("-ERR Protocol error: {error}\r\n");
        self.respond(reactor, number, |out| {
            out.extend_from_slice(line.as_bytes())
        });
    }

    /// Handles one whole command.
    pub(crate) fn handle_command(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        bytes: &[u8],
        words: resp::Words,
        requests: &mut OpenRequests,
        gateway: GatewayStatus,
    ) {
        let slot = ResponseSlot {
            key,
            connection: self.connection,
            number: self.push_command(),
        };
        let line = if RequestCommand::is_named(bytes, &words) {
            match RequestCommand::parse(bytes, words, &reactor.settings, requests) {
                Ok(command) => {
                    return self.open_request(reactor, slot, command, requests, gateway.is_full);
                }
                Err(error) => format!("-ERR {error}\r\n"),
            }
        } else {
            let name = words.first().map_or(&[][..], |word| &bytes[word.clone()]);
            self.connection_command(name, gateway.is_ready).into()
        };
        self.respond(reactor, slot.number, |out| {
            out.extend_from_slice(line.as_bytes());
        });
    }

    /// The answer to a command that opens no request.
    fn connection_command(&mut self, name: &[u8], is_ready: bool) -> &'static str {
        match name.to_ascii_uppercase().as_slice() {
            b"PING" if is_ready => {
                self.has_asked = true;
                "+PONG\r\n"
            }
            b"PING" => "-ERR no server list yet\r\n",
            b"CLIENT" | b"SELECT" => "+OK\r\n",
            _ => "-ERR unknown command\r\n",
        }
    }

    /// Opens the request of the command that was pushed last.
    fn open_request(
        &mut self,
        reactor: &mut Reactor,
        slot: ResponseSlot,
        command: RequestCommand,
        requests: &mut OpenRequests,
        is_full: bool,
    ) {
        let serial = reactor.next_serial();
        let deadline = reactor.now + command.timeout;
        let request = Request {
            id: request_id(serial),
            customer: command.customer.clone(),
            plan: command.plan.clone(),
            route: command.route.clone(),
            units: command.units,
            deadline,
            first_gateway: command.first_gateway,
            gateway_count: command.gateway_count,
        };
        self.has_asked = true;
        let pending = self.pending_commands.back_mut();
        pending.expect("pushed for this command").request = Some(serial);
        reactor.add_buffered_bytes(command.size());
        requests.insert(serial, OpenRequest::new(command, deadline, slot));
        let notification = if is_full || self.has_peer_closed() {
            Notification::RejectUnadmitted(request.id)
        } else {
            Notification::Request(request)
        };
        reactor.notify(notification);
    }

    /// Answers a command: queues the answer if all before it are answered, else keeps it until then.
    pub(crate) fn respond(
        &mut self,
        reactor: &mut Reactor,
        number: u64,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let index = number.wrapping_sub(self.first_number) as usize;
        invariant!(
            reactor,
            index < self.pending_commands.len(),
            "an answer goes to a command that waits for it"
        );
        if index > 0 {
            return self.keep_answer(reactor, index, write);
        }
        self.stream.queue(reactor, write);
        self.finish_first_command();
        while let Some(answer) = self
            .pending_commands
            .front_mut()
            .and_then(|command| command.answer.take())
        {
            reactor.release_buffered_bytes(answer.len());
            self.stream
                .queue(reactor, |out| out.extend_from_slice(&answer));
            self.finish_first_command();
        }
    }

    fn finish_first_command(&mut self) {
        self.pending_commands.pop_front();
        self.first_number += 1;
    }

    /// Keeps an answer whose turn has not come.
    fn keep_answer(
        &mut self,
        reactor: &mut Reactor,
        index: usize,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let Some(command) = self.pending_commands.get_mut(index) else {
            return;
        };
        invariant!(reactor, command.answer.is_none(), "one answer to a command");
        let mut answer = Vec::new();
        write(&mut answer);
        reactor.add_buffered_bytes(answer.len());
        command.answer = Some(answer);
    }
}
