//! Calls to the shared counter: a few connections, calls written one behind another, a name always on the
//! same one, so that its answers come in order. What comes after its time-out was told is matched off and
//! dropped. Where the counter moves, each line has a successor, which is heard once the old one owes no answer.

use crate::component::Component;
use crate::deadlines::{Deadline, DeadlineId};
use crate::invariants::invariant;
use crate::notification::Notification;
use crate::reactor::{Reactor, Serial};
use crate::readiness::Readiness;
use crate::stream::BufferedStream;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::*;

/// A call that was written, or will be when the turn ends; left behind for its answer.
struct Waiting {
    number: Serial,
    /// None for a ping, and once the decisions were told that time is up.
    name: Option<CounterName>,
    at: Duration,
    /// None for a ping.
    due: Option<DeadlineId>,
    /// How many bytes of this connection there are up to its last.
    end: usize,
}

#[derive(Default)]
struct Line {
    stream: Option<BufferedStream>,
    waiting: VecDeque<Waiting>,
    put: usize,
    /// When something came last.
    heard: Duration,
}

pub struct Counter {
    at: Option<SocketAddr>,
    /// Two halves: the lines in use, and those to where the counter was before.
    lines: Vec<Line>,
    /// Where the half in use begins.
    base: usize,
}

/// The longest line that the counter has to say.
const LINE: usize = 256;

/// What a line says; nothing where it can't be read.
fn answer(text: &str) -> Option<CounterReply> {
    let mut words = text.split_ascii_whitespace();
    match (words.next(), words.next()) {
        (Some("ok"), Some(total)) => total
            .parse()
            .ok()
            .filter(|total: &f64| total.is_finite())
            .map(CounterReply::Total),
        (Some("busy" | "error" | "pong"), None) => Some(CounterReply::NotApplied),
        _ => None,
    }
}

fn counted(reactor: &mut Reactor, name: CounterName, reply: CounterReply) {
    reactor.notify(Notification::CounterReply { name, reply });
}

impl Counter {
    pub fn new(reactor: &mut Reactor, at: Option<SocketAddr>) -> Counter {
        let lines = (0..reactor.budget.counter * 2)
            .map(|_| Line::default())
            .collect();
        let mut counter = Counter {
            at: None,
            lines,
            base: 0,
        };
        counter.move_to(reactor, at);
        counter
    }

    /// The counter is elsewhere from now on. What was asked before is still answered on the old lines.
    pub fn move_to(&mut self, reactor: &mut Reactor, at: Option<SocketAddr>) {
        if at == self.at {
            return;
        }
        (self.at, self.base) = (at, self.half() - self.base);
        for place in self.base..self.base + self.half() {
            self.end(reactor, place);
            self.connect(reactor, place);
            self.retire(reactor, self.twin(place));
        }
    }

    fn half(&self) -> usize {
        self.lines.len() / 2
    }

    /// The place of the same line in the other half.
    fn twin(&self, place: usize) -> usize {
        (place + self.half()) % self.lines.len()
    }

    fn in_use(&self, place: usize) -> bool {
        (self.base..self.base + self.half()).contains(&place)
    }

    /// An old line that owes no answer any more is closed, and its successor is heard.
    fn retire(&mut self, reactor: &mut Reactor, place: usize) {
        if self.lines[place].owes() || self.in_use(place) {
            return;
        }
        if let Some(stream) = std::mem::take(&mut self.lines[place]).stream {
            stream.close(reactor);
        }
        let next = self.twin(place);
        if !self.answered(reactor, next) {
            self.end(reactor, next);
        }
    }

    fn connect(&mut self, reactor: &mut Reactor, place: usize) {
        let Some(at) = self.at else { return };
        let stream = BufferedStream::connect(reactor, at, Component::Counter, place).ok();
        self.lines[place] = Line {
            stream,
            heard: reactor.now,
            ..Line::default()
        };
    }

    pub fn count(&mut self, reactor: &mut Reactor, name: CounterName, add: f64, keep: Duration) {
        let place = self.base + (name.0 % self.half() as u64) as usize;
        let limit = reactor.settings.counter.timeout;
        // A connection on which calls wait, and nothing has come for longer than a new one and a call on it
        // would take, may belong to a machine that is gone without a word.
        let patience = limit + reactor.connect_timeout();
        let line = &self.lines[place];
        let silent = line
            .waiting
            .front()
            .is_some_and(|call| call.at.max(line.heard) + patience < reactor.now);
        if silent {
            self.end(reactor, place);
        }
        if self.lines[place].stream.is_none() {
            self.connect(reactor, place);
        }
        let line = &mut self.lines[place];
        let Some(stream) = &mut line.stream else {
            return counted(reactor, name, CounterReply::NotApplied);
        };
        let keep = keep.as_millis().clamp(1, 60_000);
        line.put += stream.queue(reactor, |out| {
            drop(write!(out, "incr {} {add} {keep}\r\n", name.0))
        });
        let number = reactor.next_serial();
        let due = reactor.set_deadline(
            reactor.now + limit,
            Deadline::CounterCall {
                line: place,
                number,
            },
        );
        line.waiting.push_back(Waiting {
            number,
            name: Some(name),
            at: reactor.now,
            due: Some(due),
            end: line.put,
        });
    }

    /// A call's time is up: told at once, as not added where it was not even written.
    pub fn due(&mut self, reactor: &mut Reactor, place: usize, number: Serial) {
        let line = &mut self.lines[place];
        let written = line.written();
        let Some(call) = line.waiting.iter_mut().find(|call| call.number == number) else {
            return;
        };
        if call.end > written {
            return self.end(reactor, place);
        }
        if let Some(name) = call.name.take() {
            counted(reactor, name, CounterReply::Unknown);
        }
        self.retire(reactor, place);
    }

    pub fn ready(&mut self, reactor: &mut Reactor, place: usize, readiness: Readiness) {
        let Some(stream) = self
            .lines
            .get_mut(place)
            .and_then(|line| line.stream.as_mut())
        else {
            return;
        };
        if readiness.is_writable() && (!stream.is_connected || stream.pending_bytes() > 0) {
            if stream.check_connected().is_err() {
                return self.end(reactor, place);
            }
            self.flush(reactor, place);
        }
        let Some(stream) = &mut self.lines[place].stream else {
            return;
        };
        if readiness.should_read() {
            stream.read_would_block = false;
            let open = stream.read(reactor, reactor.scratch.len());
            let more = !stream.read_would_block;
            if !self.answered(reactor, place) || !open {
                return self.end(reactor, place);
            }
            self.retire(reactor, place);
            let room = |stream: &BufferedStream| stream.input.len() < reactor.scratch.len();
            if more && self.lines[place].stream.as_ref().is_some_and(room) {
                self.ready(reactor, place, readiness);
            }
        }
    }

    /// Hands each answer that has come to the call that waits for it. False if there is none that does, or an
    /// answer can't be read: it tells that its call was added, and ends the connection. What
    /// the line before it still owes comes first: the answers of a name keep their order.
    fn answered(&mut self, reactor: &mut Reactor, place: usize) -> bool {
        if self.in_use(place) && self.lines[self.twin(place)].owes() {
            return true;
        }
        let line = &mut self.lines[place];
        let Some(stream) = &mut line.stream else {
            return true;
        };
        let mut took = 0;
        loop {
            let rest = &stream.input[took..];
            let end = rest.iter().position(|byte| *byte == b'\n');
            // A line without end can't be read either, nor anything behind it.
            let Some(end) = end.or((rest.len() > LINE).then(|| rest.len() - 1)) else {
                break;
            };
            let text = std::str::from_utf8(&rest[..end]).unwrap_or("").trim_end();
            let said = answer(text);
            took += end + 1;
            let Some(call) = line.waiting.pop_front() else {
                return false;
            };
            if let Some(due) = call.due {
                reactor.cancel_deadline(due);
            }
            if let Some(name) = call.name {
                invariant!(
                    reactor,
                    text != "error",
                    "the counter knows the calls that it gets"
                );
                counted(reactor, name, said.unwrap_or(CounterReply::Applied));
            }
            line.heard = reactor.now;
            if said.is_none() {
                return false;
            }
        }
        if took > 0 {
            stream.consume(reactor, took);
        }
        true
    }

    pub fn flush(&mut self, reactor: &mut Reactor, place: usize) {
        let Some(stream) = &mut self.lines[place].stream else {
            return;
        };
        if stream.flush(reactor).is_err() {
            self.end(reactor, place);
        }
    }

    /// The connection is over: what was not written was not added, the rest may have been.
    fn end(&mut self, reactor: &mut Reactor, place: usize) {
        let mut line = std::mem::take(&mut self.lines[place]);
        let written = line.written();
        for call in line.waiting.drain(..) {
            if let Some(due) = call.due {
                reactor.cancel_deadline(due);
            }
            let how = if call.end > written {
                CounterReply::NotApplied
            } else {
                CounterReply::Unknown
            };
            if let Some(name) = call.name {
                counted(reactor, name, how);
            }
        }
        if let Some(stream) = line.stream {
            stream.close(reactor);
        }
        self.retire(reactor, place);
    }

    /// Once a second: a connection on which nothing waits is kept open by a ping, which costs nothing.
    pub fn sweep(&mut self, reactor: &mut Reactor) {
        for line in self.lines.iter_mut().filter(|line| line.waiting.is_empty()) {
            let Some(stream) = line.stream.as_mut().filter(|stream| stream.is_connected) else {
                continue;
            };
            line.put += stream.queue(reactor, |out| out.extend_from_slice(b"ping\r\n"));
            let number = reactor.next_serial();
            line.waiting.push_back(Waiting {
                number,
                name: None,
                at: reactor.now,
                due: None,
                end: line.put,
            });
        }
    }

    /// Nothing waits for the counter but what it was told in vain.
    pub fn quiet(&self) -> bool {
        self.lines.iter().all(|line| !line.owes())
    }
}

impl Line {
    /// A call waits whose answer the decisions were not told yet.
    fn owes(&self) -> bool {
        self.waiting.iter().any(|call| call.name.is_some())
    }

    fn written(&self) -> usize {
        self.put
            - self
                .stream
                .as_ref()
                .map_or(0, BufferedStream::pending_bytes)
    }
}
