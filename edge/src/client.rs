//! One connection of a client: its state, and the commands that wait for their answers, in the order in which they were
//! sent.

use crate::clients::MemoryUse;
use crate::invariants::invariant;
use crate::notification::Notification;
use crate::reactor::{Reactor, Serial};
use crate::requests::{request_id, AnswerSlot, OpenRequest, OpenRequests, RequestCommand};
use crate::resp::{self, ProtocolError};
use crate::stream::BufferedStream;
use std::collections::VecDeque;
use std::time::Duration;
use wellcrank::port::Request;

/// How long a connection may stay without an open request before it may be closed.
pub(crate) const MAX_IDLE: Duration = Duration::from_secs(2);

/// How long a client may take to send its first request while other clients wait for a descriptor. Each client in the
/// listener's backlog must get an error or a close within 3 s.
const MAX_IDLE_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(100);

/// How long a client may take between two parts of a request while other clients wait for a descriptor.
const MAX_STALL_WHILE_SCARCE: Duration = Duration::from_millis(150);

/// How many commands of one connection may wait for their answers. Further ones stay unread, and their timeouts do not
/// start before they are read. The limit keeps a flood of commands from filling the memory within one event loop
/// iteration.
const MAX_PENDING_COMMANDS: usize = 1024;

/// The bytes that the allocator adds to a kept answer, at most.
const ALLOCATION_OVERHEAD_BYTES: usize = 24;

/// A queue of pending commands with a larger capacity than this is freed once it is empty.
const MAX_RETAINED_COMMANDS: usize = 16;

/// Whether commands are read from a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ClientState {
    /// Commands are handled as they arrive.
    Reading,
    /// No input is handled, because the client does not read its answers or has too many commands waiting for theirs.
    Paused,
    /// No further commands are handled, because the input was not valid RESP2 or has ended, or because the gateway must
    /// answer all requests. The connection is closed once all commands are answered.
    Closing,
}

/// A command that waits for its answer, or for the answers of the commands before it.
pub(crate) struct PendingCommand {
    /// The request that the command opened, if any.
    pub(crate) request: Option<Serial>,
    /// The answer, if it is known and commands before this one are not answered yet.
    pub(crate) answer: Option<Box<[u8]>>,
}

/// The state of the gateway that decides, besides the command itself, how a command is answered.
#[derive(Clone, Copy)]
pub(crate) struct GatewayStatus {
    /// Whether PING is answered with PONG.
    pub(crate) is_ready: bool,
    /// Whether further requests must be rejected for want of memory or because too many are open.
    pub(crate) is_full: bool,
}

/// One connection of a client.
pub(crate) struct Client {
    pub(crate) stream: BufferedStream,
    /// Distinguishes the connection from earlier ones with the same key.
    pub(crate) connection: Serial,
    /// The number of the first pending command. The commands of a connection are numbered from 0.
    first_pending_number: u64,
    /// The commands that wait for their answers, in the order in which they were sent.
    pub(crate) pending_commands: VecDeque<PendingCommand>,
    /// The bytes that the kept answers of pending commands take.
    kept_answer_bytes: usize,
    /// What was counted for the memory of pending commands and their kept answers.
    counted_pending: usize,
    /// When bytes last arrived on the connection, as far as the gateway knows, or it was accepted; on the gateway's
    /// monotonic clock.
    pub(crate) last_received: Duration,
    /// When the poll last reported input that was not read completely since.
    pub(crate) unread_since: Option<Duration>,
    /// When the bytes arrived that were read last.
    input_arrived_at: Duration,
    /// When the connection was accepted, the first bytes of a command arrived, a command was complete or a part of an
    /// answer was written, whichever was last; on the gateway's monotonic clock. Further parts of an incomplete command
    /// do not count, so a client cannot keep the connection by sending one slowly.
    pub(crate) last_active: Duration,
    /// Whether the client has sent a valid request, or a PING that was answered with PONG.
    pub(crate) has_sent_request: bool,
    /// Whether the client is known to have stopped sending. What it sent before may still be unread.
    pub(crate) has_stopped_sending: bool,
    /// Whether all that the client has sent is read.
    pub(crate) has_input_ended: bool,
    /// Whether the connection has used up its turn in this event loop iteration and is read again in the next one.
    pub(crate) awaits_turn: bool,
    /// What was counted for the memory of the connection.
    pub(crate) memory: MemoryUse,
    state: ClientState,
}

impl Client {
    /// A connection that was accepted at `now`.
    pub(crate) fn new(stream: BufferedStream, connection: Serial, now: Duration) -> Client {
        Client {
            stream,
            connection,
            first_pending_number: 0,
            pending_commands: VecDeque::new(),
            kept_answer_bytes: 0,
            counted_pending: 0,
            last_received: now,
            unread_since: None,
            input_arrived_at: now,
            last_active: now,
            has_sent_request: false,
            has_stopped_sending: false,
            has_input_ended: false,
            awaits_turn: false,
            memory: MemoryUse::default(),
            state: ClientState::Reading,
        }
    }

    /// Whether no input is handled until the client has read answers or has fewer commands waiting.
    pub(crate) fn is_paused(&self) -> bool {
        self.state == ClientState::Paused
    }

    /// Whether no further commands are handled, and the connection is closed once all are answered.
    pub(crate) fn is_closing(&self) -> bool {
        self.state == ClientState::Closing
    }

    /// Resumes handling commands, if the connection is paused.
    pub(crate) fn resume(&mut self) {
        if self.is_paused() {
            self.state = ClientState::Reading;
        }
    }

    /// Pauses the connection if too many bytes of answers are unwritten, too many commands wait for their answers, or its
    /// answers and pending commands take more than `answer_limit` bytes. Returns whether it was paused.
    pub(crate) fn pause_if_behind(&mut self, answer_limit: usize) -> bool {
        let is_behind = self.stream.pending_bytes() > resp::MAX_MESSAGE_BYTES
            || self.pending_commands.len() >= MAX_PENDING_COMMANDS
            || self.answer_bytes() > answer_limit;
        if is_behind {
            self.state = ClientState::Paused;
        }
        is_behind
    }

    /// Stops handling commands. The connection is closed once all commands are answered.
    pub(crate) fn stop_reading(&mut self) {
        self.state = ClientState::Closing;
    }

    /// The bytes that unwritten answers and pending commands take.
    fn answer_bytes(&self) -> usize {
        let pending_command_bytes = self.pending_commands.len() * size_of::<PendingCommand>();
        self.stream.pending_bytes() + self.kept_answer_bytes + pending_command_bytes
    }

    /// The bytes that the memory for answers and pending commands takes.
    pub(crate) fn answer_memory_bytes(&self) -> usize {
        self.stream.output_capacity() + self.pending_memory_bytes()
    }

    /// The bytes that the memory for pending commands and their kept answers takes.
    fn pending_memory_bytes(&self) -> usize {
        self.kept_answer_bytes + self.pending_commands.capacity() * size_of::<PendingCommand>()
    }

    /// Counts the memory that pending commands and their kept answers take now.
    pub(crate) fn count_pending(&mut self, reactor: &mut Reactor) {
        let bytes = self.pending_memory_bytes();
        reactor.memory.update(&mut self.counted_pending, bytes);
    }

    /// Counts the memory of pending commands as freed.
    pub(crate) fn uncount_pending(&mut self, reactor: &mut Reactor) {
        reactor.memory.update(&mut self.counted_pending, 0);
    }

    /// The requests whose commands wait for their answers, or for the answers of the commands before them.
    pub(crate) fn open_requests(&self) -> impl Iterator<Item = Serial> + '_ {
        self.pending_commands
            .iter()
            .filter_map(|command| command.request)
    }

    /// Whether input is left that the gateway reads or handles later.
    fn has_input_left(&self) -> bool {
        let is_deferred = self.awaits_turn || self.memory.awaits_permit();
        self.is_paused() || (is_deferred && !self.is_closing())
    }

    /// Records that the poll has reported input.
    pub(crate) fn on_input_reported(&mut self, now: Duration) {
        self.last_received = now;
        self.unread_since = Some(now);
    }

    /// Records a read of `count` bytes. They arrived when the poll reported them, which may be long ago if the connection
    /// had to wait for its turn or for memory; if the poll has not reported them yet, they arrived just now.
    pub(crate) fn on_input_read(&mut self, now: Duration, count: usize) {
        if count > 0 {
            self.input_arrived_at = self.unread_since.unwrap_or(now);
            self.last_received = self.last_received.max(self.input_arrived_at);
        }
        if self.stream.read_would_block {
            self.unread_since = None;
        }
    }

    /// Whether at least this many bytes wait in the socket to be read.
    pub(crate) fn has_unread(&self, bytes: usize) -> bool {
        bytes <= self.stream.unread_bytes()
    }

    /// Whether all commands are answered, all answers are written and no input is left for later.
    pub(crate) fn is_quiescent(&self) -> bool {
        let has_input_left = self.has_input_left();
        self.pending_commands.is_empty() && self.stream.pending_bytes() == 0 && !has_input_left
    }

    /// Whether the connection is between two requests, as far as the gateway can see, and may therefore be closed while
    /// the gateway drains. A client that has sent nothing yet has the connect timeout to begin its first request. One that
    /// has begun a request is not idle: it gets its answer, or an error once it has taken too long.
    pub(crate) fn is_idle(&self, reactor: &Reactor) -> bool {
        let min_idle = if self.has_sent_request {
            Duration::ZERO
        } else {
            reactor.connect_timeout()
        };
        self.is_quiescent()
            && self.stream.input.is_empty()
            && self.last_active + min_idle <= reactor.now
    }

    /// Whether the connection may be closed to free its descriptor for another client: it is between two requests, or its
    /// client takes too long to begin the first one or to go on with one.
    pub(crate) fn is_evictable(&self, reactor: &Reactor) -> bool {
        if !self.stream.input.is_empty() {
            return self.has_only_incomplete_command()
                && self.last_received + MAX_STALL_WHILE_SCARCE <= reactor.now;
        }
        let min_idle = if self.has_sent_request {
            Duration::ZERO
        } else {
            reactor.connect_timeout().min(MAX_IDLE_BEFORE_FIRST_REQUEST)
        };
        self.is_quiescent() && self.last_active + min_idle <= reactor.now
    }

    /// Whether nothing but an incomplete command is left to handle.
    fn has_only_incomplete_command(&self) -> bool {
        let has_open_commands =
            !self.pending_commands.is_empty() || self.stream.pending_bytes() > 0;
        self.has_incomplete_command() && !has_open_commands
    }

    /// Whether a part of a command was read and handled as far as possible, and its rest has not arrived. A connection that
    /// waits for a permit is among them: it waits only while the rest is not in the socket.
    pub(crate) fn has_incomplete_command(&self) -> bool {
        let is_handled = !self.is_paused() && !self.awaits_turn && !self.is_closing();
        !self.stream.input.is_empty() && is_handled
    }

    /// Whether the connection has had no open request for `MAX_IDLE` and should be closed. A connection between two
    /// requests should be closed only while connections are scarce; one without any valid request, or with an
    /// incomplete command, always.
    pub(crate) fn is_overdue(&self, now: Duration, are_connections_scarce: bool) -> bool {
        let is_between_requests = self.has_sent_request && self.stream.input.is_empty();
        let is_idle = self.is_quiescent() || self.has_only_incomplete_command();
        is_idle
            && self.last_active + MAX_IDLE <= now
            && (are_connections_scarce || !is_between_requests)
    }

    /// Whether answers are pending and no part of them could be written for longer than `write_timeout`.
    pub(crate) fn is_write_stalled(&self, now: Duration, write_timeout: Duration) -> bool {
        self.stream.pending_bytes() > 0 && self.last_active + write_timeout < now
    }

    /// Whether an incomplete command has waited for its remaining bytes since before `stalled_since`.
    pub(crate) fn has_stalled_command(&self, stalled_since: Duration) -> bool {
        self.has_incomplete_command() && self.last_received < stalled_since
    }

    /// Adds a command to those that wait for their answers. Returns its number on this connection.
    fn push_command(&mut self) -> u64 {
        self.pending_commands.push_back(PendingCommand {
            request: None,
            answer: None,
        });
        self.first_pending_number + self.pending_commands.len() as u64 - 1
    }

    /// Rejects input that is not valid RESP2, after which no further command can be found, or an incomplete command: queues
    /// an error line behind the answers of the commands before it, and closes the connection after that.
    pub(crate) fn reject_input(&mut self, reactor: &mut Reactor, error: ProtocolError) {
        self.stop_reading();
        let number = self.push_command();
        let line = format!("-ERR Protocol error: {error}\r\n");
        self.respond(reactor, number, |out| {
            out.extend_from_slice(line.as_bytes())
        });
    }

    /// Handles one complete command: opens its request, or answers it directly. `bytes` holds the command and `words`
    /// the positions of its words; `key` is the connection's key.
    pub(crate) fn handle_command(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        bytes: &[u8],
        words: resp::Words,
        requests: &mut OpenRequests,
        gateway: GatewayStatus,
    ) {
        let slot = AnswerSlot {
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
            self.answer_connection_command(name, gateway.is_ready)
                .into()
        };
        self.respond(reactor, slot.number, |out| {
            out.extend_from_slice(line.as_bytes());
        });
    }

    /// The answer to a command that opens no request, such as PING.
    fn answer_connection_command(&mut self, name: &[u8], is_ready: bool) -> &'static str {
        match name.to_ascii_uppercase().as_slice() {
            b"PING" if is_ready => {
                self.has_sent_request = true;
                "+PONG\r\n"
            }
            b"PING" => "-ERR gateway not ready: no endpoint list received from discovery yet\r\n",
            b"CLIENT" | b"SELECT" => "+OK\r\n",
            _ => "-ERR unknown command: expected SVC.QUERY, SVC.SUBMIT, PING, CLIENT or SELECT\r\n",
        }
    }

    /// Opens the request of the command that was pushed last, and queues it for the controller. With `is_full`, once the
    /// client has stopped sending, or while the gateway must answer all requests, the controller is to reject it.
    fn open_request(
        &mut self,
        reactor: &mut Reactor,
        slot: AnswerSlot,
        mut command: RequestCommand,
        requests: &mut OpenRequests,
        is_full: bool,
    ) {
        let serial = reactor.next_serial();
        // The client's time runs from the arrival of its last byte, wherever the command has waited since.
        let deadline = self.input_arrived_at + command.timeout;
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
        self.has_sent_request = true;
        let pending = self.pending_commands.back_mut();
        pending.expect("pushed for this command").request = Some(serial);
        let is_rejected = is_full
            || self.has_stopped_sending
            || reactor.must_answer_now()
            || !reactor.memory.allows_request(command.size());
        if is_rejected {
            command.discard_bytes();
        } else {
            reactor.memory.add_request(command.size());
        }
        let open = OpenRequest::new(command, deadline, slot, !is_rejected);
        requests.insert(serial, open);
        let notification = if is_rejected {
            Notification::RejectUnadmitted(request.id)
        } else {
            Notification::Request(request)
        };
        reactor.notify(notification);
    }

    /// Answers the command with this number. The answer is queued for writing if all commands before it are answered,
    /// and kept until then otherwise.
    pub(crate) fn respond(
        &mut self,
        reactor: &mut Reactor,
        number: u64,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let index = number.wrapping_sub(self.first_pending_number) as usize;
        invariant!(
            reactor,
            index < self.pending_commands.len(),
            "every answer belongs to a command that waits for one"
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
            self.kept_answer_bytes -= answer.len() + ALLOCATION_OVERHEAD_BYTES;
            self.stream
                .queue(reactor, |out| out.extend_from_slice(&answer));
            self.finish_first_command();
        }
    }

    /// Removes the first pending command, whose answer is queued for writing.
    fn finish_first_command(&mut self) {
        self.pending_commands.pop_front();
        self.first_pending_number += 1;
        let is_oversized = self.pending_commands.capacity() > MAX_RETAINED_COMMANDS;
        if self.pending_commands.is_empty() && is_oversized {
            self.pending_commands = VecDeque::new();
        }
    }

    /// Keeps an answer until the commands before it are answered. `index` is the command's position among the pending
    /// ones.
    fn keep_answer(
        &mut self,
        reactor: &mut Reactor,
        index: usize,
        write: impl FnOnce(&mut Vec<u8>),
    ) {
        let Some(command) = self.pending_commands.get_mut(index) else {
            return;
        };
        invariant!(
            reactor,
            command.answer.is_none(),
            "a command is answered only once"
        );
        let mut answer = Vec::new();
        write(&mut answer);
        self.kept_answer_bytes += answer.len() + ALLOCATION_OVERHEAD_BYTES;
        command.answer = Some(answer.into());
    }
}

#[cfg(test)]
mod tests;
