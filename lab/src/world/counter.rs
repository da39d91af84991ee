//! The shared counter: shards by name, a queue in each, and what may be wrong with it. Two may exist at once,
//! each with counts of its own.

use crate::events::CounterCallId;
use crate::experiment::CounterConfig;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// A counter keeps a name for no longer than this.
const MAX_TIME_TO_LIVE: Duration = Duration::from_secs(60);
/// After so many calls on a shard its expired names are dropped: not at each call, as that would be slow.
const CALLS_BETWEEN_SWEEPS: u64 = 20_000;
/// The counter that all gateways use unless a fault assigns them another one.
const PRIMARY: usize = 0;
/// The counter that a fault assigns.
const SECONDARY: usize = 1;

/// How a counter behaves.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum CounterMode {
    /// As it should.
    Answering,
    /// Answers nothing.
    Silent,
    /// Turns every call away.
    Busy,
    /// Closes the connection of every call.
    Resetting,
    /// Takes this many times as long.
    Slow(f64),
}

/// What the counter answers, or does.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum CounterResponse {
    /// The name's total after the call.
    Total(f64),
    /// Turned away, not applied.
    Busy,
    /// Closes the connection on which the call came.
    Reset,
}

/// A call on the counter.
#[derive(Clone, Copy, Debug)]
pub(super) struct CounterCall {
    counter: usize,
    name: u64,
    amount: f64,
    time_to_live: Duration,
}

/// When a call is done, or how it is answered at once.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum CallOutcome {
    /// It is applied and answered then.
    DoneAt(Duration),
    /// It is answered now and not applied.
    Immediate(CounterResponse),
    /// It is never answered.
    NoAnswer,
}

/// The total of one name.
struct Count {
    total: f64,
    expires_at: Duration,
}

#[derive(Default)]
struct Shard {
    /// When all that waits is done.
    free_at: Duration,
    counts: FxHashMap<u64, Count>,
    call_count: u64,
}

/// One counter.
struct Counter {
    mode: CounterMode,
    shards: Vec<Shard>,
}

impl Counter {
    fn new(shard_count: usize) -> Counter {
        Counter {
            mode: CounterMode::Answering,
            shards: (0..shard_count).map(|_| Shard::default()).collect(),
        }
    }

    fn shard(&mut self, name: u64) -> &mut Shard {
        let shard = (name % self.shards.len() as u64) as usize;
        &mut self.shards[shard]
    }

    /// A call has come: it waits for its turn in its shard.
    fn enqueue(&mut self, now: Duration, call: &CounterCall, terms: &CounterConfig) -> CallOutcome {
        let slowdown = match self.mode {
            CounterMode::Silent => return CallOutcome::NoAnswer,
            CounterMode::Busy => return CallOutcome::Immediate(CounterResponse::Busy),
            CounterMode::Resetting => return CallOutcome::Immediate(CounterResponse::Reset),
            CounterMode::Slow(factor) => factor,
            CounterMode::Answering => 1.0,
        };
        let seconds_per_call = terms.shards as f64 / terms.capacity * slowdown;
        let shard = self.shard(call.name);
        let waiting_calls = shard.free_at.saturating_sub(now).as_secs_f64() / seconds_per_call;
        if waiting_calls >= terms.queue_capacity as f64 {
            return CallOutcome::Immediate(CounterResponse::Busy);
        }
        shard.free_at = shard.free_at.max(now) + Duration::from_secs_f64(seconds_per_call);
        let latency = super::span::milliseconds(terms.latency_ms);
        CallOutcome::DoneAt(shard.free_at + latency.mul_f64(slowdown))
    }

    /// A call has its turn: it is applied, also where nobody waits for the total any more.
    fn apply(&mut self, now: Duration, call: &CounterCall) -> f64 {
        let shard = self.shard(call.name);
        shard.call_count += 1;
        if shard.call_count.is_multiple_of(CALLS_BETWEEN_SWEEPS) {
            shard.counts.retain(|_, count| count.expires_at > now);
        }
        let new_count = || Count {
            total: 0.0,
            expires_at: now + call.time_to_live,
        };
        let count = shard.counts.entry(call.name).or_insert_with(new_count);
        if count.expires_at <= now {
            *count = new_count();
        }
        count.total += call.amount;
        count.total
    }

    fn clear(&mut self) {
        for shard in &mut self.shards {
            shard.counts.clear();
        }
    }
}

/// The counters, the calls that wait in them, and which gateway uses which.
pub(super) struct CounterService {
    terms: CounterConfig,
    counters: [Counter; 2],
    /// The counter of each gateway.
    assigned: Vec<usize>,
    waiting: BTreeMap<CounterCallId, CounterCall>,
    last_id: u32,
}

impl CounterService {
    /// Empty counters; all gateways use the first.
    pub(super) fn new(terms: &CounterConfig, gateway_count: usize) -> CounterService {
        CounterService {
            terms: terms.clone(),
            counters: [Counter::new(terms.shards), Counter::new(terms.shards)],
            assigned: vec![PRIMARY; gateway_count],
            waiting: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// A gateway's call has come.
    pub(super) fn on_call(
        &mut self,
        now: Duration,
        gateway: usize,
        name: u64,
        amount: f64,
        time_to_live: Duration,
    ) -> (CounterCallId, CallOutcome) {
        self.last_id += 1;
        let id = CounterCallId(self.last_id);
        let call = CounterCall {
            counter: self.assigned[gateway],
            name,
            amount,
            time_to_live: time_to_live.min(MAX_TIME_TO_LIVE),
        };
        let outcome = self.counters[call.counter].enqueue(now, &call, &self.terms);
        if let CallOutcome::DoneAt(_) = outcome {
            self.waiting.insert(id, call);
        }
        (id, outcome)
    }

    /// A call has had its turn: its answer, unless the counter has fallen silent meanwhile.
    pub(super) fn finish_call(
        &mut self,
        now: Duration,
        id: CounterCallId,
    ) -> Option<CounterResponse> {
        let call = self.waiting.remove(&id)?;
        let counter = &mut self.counters[call.counter];
        if counter.mode == CounterMode::Silent {
            return None;
        }
        Some(CounterResponse::Total(counter.apply(now, &call)))
    }

    /// The first counter behaves so from now on.
    pub(super) fn set_primary_mode(&mut self, mode: CounterMode) {
        self.counters[PRIMARY].mode = mode;
    }

    /// The first counter loses all counts.
    pub(super) fn clear_primary(&mut self) {
        self.counters[PRIMARY].clear();
    }

    /// A second counter starts empty.
    pub(super) fn start_secondary(&mut self) {
        self.counters[SECONDARY] = Counter::new(self.terms.shards);
    }

    /// A gateway uses the second counter from now on.
    pub(super) fn assign_secondary(&mut self, gateway: usize) {
        self.assigned[gateway] = SECONDARY;
    }

    /// All gateways use the first counter again; returns those that did not.
    pub(super) fn assign_primary_to_all(&mut self) -> Vec<usize> {
        let mut moved = Vec::new();
        for (gateway, counter) in self.assigned.iter_mut().enumerate() {
            if *counter != PRIMARY {
                *counter = PRIMARY;
                moved.push(gateway);
            }
        }
        moved
    }
}

#[cfg(test)]
mod tests;
