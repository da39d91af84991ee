//! The shared counter: parts split by name, a queue in each, and what may be wrong with it. Several may exist
//! at once, each with counts of its own.

use rustc_hash::FxHashMap;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Answers,
    Silent,
    Busy,
    Reset,
    Slow(f64),
}

/// What the counter says, or does.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CounterResponse {
    Total(f64),
    Busy,
    /// Closes the connection on which the call came.
    Reset,
}

pub struct Terms {
    pub parts: usize,
    pub bears: f64,
    pub latency: Duration,
    pub queue: usize,
}

#[derive(Default)]
struct Part {
    /// When all that waits is done.
    free: Duration,
    counts: FxHashMap<u64, (f64, Duration)>,
    calls: u64,
}

pub struct Counter {
    pub mode: Mode,
    parts: Vec<Part>,
}

/// A call on the counter; none of its fields change.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub gateway: usize,
    pub counter: usize,
    pub name: u64,
    pub add: f64,
    pub keep: Duration,
}

/// When a call has had its turn; or what it is told at once.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Turn {
    At(Duration),
    Now(CounterResponse),
    Never,
}

impl Counter {
    pub fn new(terms: &Terms) -> Counter {
        Counter {
            mode: Mode::Answers,
            parts: (0..terms.parts).map(|_| Part::default()).collect(),
        }
    }

    fn part(&mut self, name: u64) -> &mut Part {
        let place = (name % self.parts.len() as u64) as usize;
        &mut self.parts[place]
    }

    pub fn take(&mut self, now: Duration, call: &Call, terms: &Terms) -> Turn {
        let slower = match self.mode {
            Mode::Silent => return Turn::Never,
            Mode::Busy => return Turn::Now(CounterResponse::Busy),
            Mode::Reset => return Turn::Now(CounterResponse::Reset),
            Mode::Slow(factor) => factor,
            Mode::Answers => 1.0,
        };
        let each = terms.parts as f64 / terms.bears * slower;
        let part = self.part(call.name);
        let waits = part.free.saturating_sub(now).as_secs_f64() / each;
        if waits >= terms.queue as f64 {
            return Turn::Now(CounterResponse::Busy);
        }
        part.free = part.free.max(now) + Duration::from_secs_f64(each);
        Turn::At(part.free + terms.latency.mul_f64(slower))
    }

    /// A call has its turn: it is added, also where nobody waits for the total any more.
    pub fn add(&mut self, now: Duration, call: &Call) -> f64 {
        let part = self.part(call.name);
        part.calls += 1;
        // Names whose life is over go now and then, not at each call.
        if part.calls.is_multiple_of(20_000) {
            part.counts.retain(|_, (_, until)| *until > now);
        }
        let entry = part
            .counts
            .entry(call.name)
            .or_insert((0.0, now + call.keep));
        if entry.1 <= now {
            *entry = (0.0, now + call.keep);
        }
        entry.0 += call.add;
        entry.0
    }

    pub fn empty(&mut self) {
        self.parts.iter_mut().for_each(|part| part.counts.clear());
    }
}

#[cfg(test)]
mod tests;
