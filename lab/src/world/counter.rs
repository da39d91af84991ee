//! The emulated shared counter: shards by name, each with its queue, and faults. There are two counters with separate
//! counts, so that faults can move gateways to another one.

use crate::events::CounterCallId;
use crate::experiment::CounterConfig;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest time for which a counter keeps a name after the first call with it.
const MAX_TIME_TO_LIVE: Duration = Duration::from_secs(60);
/// Expired names of a shard are removed once per this number of calls. Removing them at each call would be slow.
const CALLS_BETWEEN_SWEEPS: u64 = 20_000;
/// The index of the counter that all gateways use unless a fault assigns them the other one.
const PRIMARY: usize = 0;
/// The index of the counter that a fault assigns to gateways.
const SECONDARY: usize = 1;

/// How a counter responds to calls.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum CounterMode {
    /// It applies and answers calls.
    Answering,
    /// It neither applies nor answers calls.
    Silent,
    /// It rejects every call.
    Busy,
    /// It closes the connection of every call.
    Resetting,
    /// It takes this many times as long for each call.
    Slow(f64),
}

/// The response to a call on the counter.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum CounterResponse {
    /// The call was applied. Holds the name's total after it.
    Total(f64),
    /// The call was rejected and not applied.
    Busy,
    /// The call was not applied, and its connection is closed.
    Reset,
}

/// A call that adds an amount to a name.
#[derive(Clone, Copy, Debug)]
pub(super) struct CounterCall {
    /// The index of the counter that the gateway used.
    counter: usize,
    name: u64,
    amount: f64,
    time_to_live: Duration,
}

/// What happens to a new call.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum CallOutcome {
    /// It is applied and answered at this time.
    DoneAt(Duration),
    /// It is answered at once and not applied.
    Immediate(CounterResponse),
    /// It is neither applied nor answered.
    NoAnswer,
}

/// The sum of the amounts that were added to one name, until the name expires.
struct Count {
    total: f64,
    expires_at: Duration,
}

#[derive(Default)]
struct Shard {
    /// When all calls that wait in the queue will be finished.
    free_at: Duration,
    counts: FxHashMap<u64, Count>,
    /// The number of calls applied so far.
    call_count: u64,
}

/// One of the two counters, with the mode that a fault has set and its shards.
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

    /// Adds a call to the queue of its shard, unless the mode or a full queue prevents it.
    fn enqueue(
        &mut self,
        now: Duration,
        call: &CounterCall,
        config: &CounterConfig,
    ) -> CallOutcome {
        let slowdown = match self.mode {
            CounterMode::Silent => return CallOutcome::NoAnswer,
            CounterMode::Busy => return CallOutcome::Immediate(CounterResponse::Busy),
            CounterMode::Resetting => return CallOutcome::Immediate(CounterResponse::Reset),
            CounterMode::Slow(factor) => factor,
            CounterMode::Answering => 1.0,
        };
        let seconds_per_call = config.shards as f64 / config.capacity * slowdown;
        let shard = self.shard(call.name);
        let waiting_calls = shard.free_at.saturating_sub(now).as_secs_f64() / seconds_per_call;
        if waiting_calls >= config.queue_capacity as f64 {
            return CallOutcome::Immediate(CounterResponse::Busy);
        }
        shard.free_at = shard.free_at.max(now) + Duration::from_secs_f64(seconds_per_call);
        let latency = super::span::milliseconds(config.latency_ms);
        CallOutcome::DoneAt(shard.free_at + latency.mul_f64(slowdown))
    }

    /// Applies a call and returns the name's total. A call is applied even if its gateway no longer waits for it.
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

/// The two counters, their pending calls, and the assignment of gateways to counters.
pub(super) struct CounterService {
    config: CounterConfig,
    counters: [Counter; 2],
    /// The index of the counter that each gateway uses, by the gateway's index.
    assigned: Vec<usize>,
    /// The calls that are not finished yet.
    pending_calls: BTreeMap<CounterCallId, CounterCall>,
    last_id: u32,
}

impl CounterService {
    /// Creates two empty counters. All gateways use the primary one.
    pub(super) fn new(config: &CounterConfig, gateway_count: usize) -> CounterService {
        CounterService {
            config: config.clone(),
            counters: [Counter::new(config.shards), Counter::new(config.shards)],
            assigned: vec![PRIMARY; gateway_count],
            pending_calls: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Handles a gateway's call, and returns its id and what happens to it.
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
        let outcome = self.counters[call.counter].enqueue(now, &call, &self.config);
        if let CallOutcome::DoneAt(_) = outcome {
            self.pending_calls.insert(id, call);
        }
        (id, outcome)
    }

    /// Applies a call that is due, and returns the response. Returns `None`, without applying it, if the counter has
    /// become silent since the call arrived.
    pub(super) fn finish_call(
        &mut self,
        now: Duration,
        id: CounterCallId,
    ) -> Option<CounterResponse> {
        let call = self.pending_calls.remove(&id)?;
        let counter = &mut self.counters[call.counter];
        if counter.mode == CounterMode::Silent {
            return None;
        }
        Some(CounterResponse::Total(counter.apply(now, &call)))
    }

    /// Changes the mode of the primary counter.
    pub(super) fn set_primary_mode(&mut self, mode: CounterMode) {
        self.counters[PRIMARY].mode = mode;
    }

    /// Removes all counts of the primary counter.
    pub(super) fn clear_primary(&mut self) {
        self.counters[PRIMARY].clear();
    }

    /// Replaces the secondary counter by an empty one.
    pub(super) fn start_secondary(&mut self) {
        self.counters[SECONDARY] = Counter::new(self.config.shards);
    }

    /// Makes a gateway use the secondary counter.
    pub(super) fn assign_secondary(&mut self, gateway: usize) {
        self.assigned[gateway] = SECONDARY;
    }

    /// Makes all gateways use the primary counter, and returns those that did not use it before.
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
