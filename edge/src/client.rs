//! One connection of a client: the commands that it has sent and that wait for their answers, in their order.

use crate::must;
use crate::reactor::{Notification, Reactor, Serial};
use crate::requests::{request_id, OpenRequest, OpenRequests, RequestCommand, ResponseSlot};
use crate::resp;
use crate::stream::BufferedStream;
use std::collections::VecDeque;
use std::time::Duration;
use wellcrank::port::*;

/// So long a connection may stand with nothing open: from then on it may be closed.
pub const IDLE: Duration = Duration::from_secs(2);

/// A client that has asked nothing yet is given no longer than this where another one wants its descriptor: of a crowd that
/// waits in the listener's queue each is owed an error or a close within 3 s.
const ABOUT_TO_ASK: Duration = Duration::from_millis(100);

/// What a command left behind: which API call it is, if any, and its answer if that came before its turn.
pub struct Slot {
    pub request: Option<Serial>,
    pub answer: Option<Vec<u8>>,
}

pub struct Client {
    pub stream: BufferedStream,
    pub connection: Serial,
    /// Number of the first slot.
    pub first: u64,
    pub slots: VecDeque<Slot>,
    /// Since when it has been as it is: accepted, begun or done with a command, taking an answer. Further
    /// pieces of a command do not count, so no client can draw one out.
    pub used: Duration,
    /// Has asked something that could be taken.
    pub known: bool,
    /// Input was left where it is, for want of room.
    pub held_up: bool,
    /// Nothing more is read, as what came is no RESP2 or the gateway is at its end: ended once all is answered.
    pub closing: bool,
    /// The client has ended its sending. It may have gone, so nothing more is begun for it; it may listen still, so what
    /// it has asked is answered before the connection ends.
    pub half_closed: bool,
}

impl Client {
    /// A connection that was accepted `now`.
    pub fn new(stream: BufferedStream, connection: Serial, now: Duration) -> Client {
        Client {
            stream,
            connection,
            first: 0,
            slots: VecDeque::new(),
            used: now,
            known: false,
            held_up: false,
            closing: false,
            half_closed: false,
        }
    }

    /// Nothing that was taken waits for an answer.
    pub fn quiet(&self) -> bool {
        self.slots.is_empty() && self.stream.pending_bytes() == 0 && !self.held_up
    }

    /// Between two requests, as far as is seen: only then may a connection be closed. A client that has asked
    /// nothing yet may just be about to, and has as long as a connection may take to come up; so has the rest
    /// of a command, and of a known client's as long as a connection may stand idle.
    pub fn idle(&self, reactor: &Reactor) -> bool {
        self.idle_for(reactor, reactor.connect_timeout())
    }

    /// The same where another client wants its descriptor.
    pub fn makes_room(&self, reactor: &Reactor) -> bool {
        self.idle_for(reactor, reactor.connect_timeout().min(ABOUT_TO_ASK))
    }

    fn idle_for(&self, reactor: &Reactor, about_to_ask: Duration) -> bool {
        let wait = match (self.known, self.stream.input.is_empty()) {
            (true, true) => Duration::ZERO,
            (true, false) => IDLE,
            _ => about_to_ask,
        };
        self.quiet() && self.used + wait <= reactor.now
    }

    /// A new command's place in the order; says its number.
    fn slot(&mut self) -> u64 {
        self.slots.push_back(Slot {
            request: None,
            answer: None,
        });
        self.first + self.slots.len() as u64 - 1
    }

    /// After what is no RESP2 nothing can be read any more: an error in its turn, then the end.
    pub fn malformed(&mut self, reactor: &mut Reactor, why: &str) {
        self.closing = true;
        let number = self.slot();
        self.answer(reactor, number, |out| {
            out.extend_from_slice(format!("-ERR Protocol error: {why}\r\n").as_bytes());
        });
    }

    /// One whole command.
    pub fn command(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        bytes: &[u8],
        words: resp::Words,
        requests: &mut OpenRequests,
        (ready, full): (bool, bool),
    ) {
        let number = self.slot();
        let word = |place: usize| {
            words
                .get(place)
                .map_or(&[][..], |word| &bytes[word.clone()])
        };
        let said = match word(0).to_ascii_uppercase().as_slice() {
            _ if RequestCommand::is_named(bytes, &words) => {
                match RequestCommand::parse(bytes, words, &reactor.settings, requests) {
                    Ok(command) => {
                        return self.call(reactor, (key, number), command, requests, full)
                    }
                    Err(why) => format!("-ERR {why}\r\n"),
                }
            }
            b"PING" if ready => {
                self.known = true;
                "+PONG\r\n".into()
            }
            b"PING" => "-ERR no server list yet\r\n".into(),
            b"CLIENT" | b"SELECT" => "+OK\r\n".into(),
            _ => "-ERR unknown command\r\n".into(),
        };
        self.answer(reactor, number, |out| {
            out.extend_from_slice(said.as_bytes())
        });
    }

    fn call(
        &mut self,
        reactor: &mut Reactor,
        (key, number): (usize, u64),
        command: RequestCommand,
        requests: &mut OpenRequests,
        full: bool,
    ) {
        let serial = reactor.serial();
        let until = reactor.now + command.timeout;
        let arrival = Request {
            id: request_id(serial),
            customer: command.customer.clone(),
            plan: command.plan.clone(),
            route: command.route.clone(),
            units: command.units,
            deadline: until,
            first_gateway: command.first_gateway,
            gateway_count: command.gateway_count,
        };
        self.known = true;
        let slot = ResponseSlot {
            key,
            connection: self.connection,
            number,
        };
        self.slots
            .back_mut()
            .expect("pushed for this command")
            .request = Some(serial);
        reactor.held += command.size();
        requests.insert(serial, OpenRequest::new(command, until, slot));
        reactor
            .notifications
            .push_back(match full || self.half_closed {
                true => Notification::Refused(arrival.id),
                false => Notification::Arrived(arrival),
            });
    }

    pub fn answer(&mut self, reactor: &mut Reactor, number: u64, write: impl FnOnce(&mut Vec<u8>)) {
        let place = number.wrapping_sub(self.first) as usize;
        must!(
            reactor,
            place < self.slots.len(),
            "an answer goes to a command that waits for it"
        );
        if place > 0 {
            let Some(slot) = self.slots.get_mut(place) else {
                return;
            };
            must!(reactor, slot.answer.is_none(), "one answer to a command");
            let mut answer = Vec::new();
            write(&mut answer);
            reactor.held += answer.len();
            slot.answer = Some(answer);
            return;
        }
        self.stream.queue(reactor, write);
        self.slots.pop_front();
        self.first += 1;
        while let Some(answer) = self.slots.front_mut().and_then(|slot| slot.answer.take()) {
            reactor.freed(answer.len());
            self.stream
                .queue(reactor, |out| out.extend_from_slice(&answer));
            self.slots.pop_front();
            self.first += 1;
        }
    }
}
