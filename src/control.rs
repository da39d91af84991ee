//! The decisions of one gateway. A carrier makes a [`AdmissionController`] with the settings, a seed and a [`Port`], then before
//! each event tells it the time and hands the event over: `listed`, `arrived`, `counted`, `ended`, `gone`, `woken` and
//! so on. AdmissionController acts through the port; `port.rs` describes both sides of it.
//!
//! An API call goes arrived -> hold (add 1 on the counter) -> charge (units from a block) -> send -> over -> another
//! hold or the answer. Each step leaves a continuation ([`Next`]) that is handed the step's result. This file keeps
//! these and the state; what is decided stands in the files below it.

mod admission;
mod attempts;
mod counter_pacing;
mod holds;
mod quota;
mod server_choice;
mod server_health;

use crate::port::*;
use crate::settings::*;
use crate::state::*;
use attempts::RETRY_AFTER;
use counter_pacing::{SPARE, THIN};
use holds::CALM;
use nanorand::{Rng, WyRand};
use server_health::ROOM;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wellcrank_fleet::{slow_start::*, subset};

pub struct AdmissionController {
    settings: Rc<Settings>,
    port: Box<dyn Port>,
    rng: WyRand,
    now: Duration,
    started: Duration,
    servers: BTreeMap<EndpointId, Server>,
    /// Servers that the list has left out, and since when.
    departed: BTreeMap<EndpointId, Departed>,
    /// All servers as they stand on the ring, and the part of them that this gateway uses.
    ids: Vec<EndpointId>,
    own: Vec<EndpointId>,
    calls: BTreeMap<RequestId, Call>,
    accounts: BTreeMap<CustomerId, Account>,
    /// What waits: for answers of the counter, for ends of upstream tries, for a time.
    counts: BTreeMap<CounterName, VecDeque<(Duration, Next<CounterReply>)>>,
    tries: BTreeMap<(RequestId, AttemptNumber), Next<AttemptResult>>,
    due: BTreeMap<(Duration, u64), Next<()>>,
    next_id: u64,
    skip_until: Duration,
    /// What the counter is seen to bear, and what the servers are.
    bears: Bears,
    fleet: Fleet,
    /// Usual latency of each route.
    usual: BTreeMap<RouteName, UsualLatency>,
    /// Losses of each route at all servers.
    losses: BTreeMap<RouteName, LossRate>,
    /// Pace of each kind of machine, as one server is seen too seldom: latency against the route's usual.
    kinds: BTreeMap<String, f64>,
}

impl AdmissionController {
    pub fn new(settings: Rc<Settings>, seed: u64, now: Duration, port: Box<dyn Port>) -> Self {
        let mut control = AdmissionController {
            skip_until: if settings.counter.present {
                Duration::ZERO
            } else {
                Duration::MAX
            },
            bears: counter_pacing::at_start(&settings, now),
            fleet: server_health::at_start(),
            settings,
            port,
            rng: WyRand::new_seed(seed),
            now,
            started: now,
            servers: BTreeMap::new(),
            departed: BTreeMap::new(),
            ids: Vec::new(),
            own: Vec::new(),
            calls: BTreeMap::new(),
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
            tries: BTreeMap::new(),
            due: BTreeMap::new(),
            next_id: 0,
            usual: BTreeMap::new(),
            losses: BTreeMap::new(),
            kinds: BTreeMap::new(),
        };
        control.set_tick();
        if control.settings.discovery == DiscoveryMode::Subscribe {
            control.port.subscribe(true);
        }
        control
    }

    /// Other settings from now on. API calls that are open keep the terms that they came with; what is held, taken or
    /// out stays counted where it was counted.
    pub fn reconfigure(&mut self, settings: Rc<Settings>) {
        let old = std::mem::replace(&mut self.settings, settings);
        if old.counter.present != self.settings.counter.present {
            self.skip_until = if old.counter.present {
                Duration::MAX
            } else {
                Duration::ZERO
            };
        }
        if old.discovery != self.settings.discovery {
            self.port.subscribe(true);
        }
        self.choose();
    }

    fn gateways(&self) -> f64 {
        self.settings.gateway_count()
    }

    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn on_counter_reply(&mut self, name: CounterName, counted: CounterReply) {
        let Some(line) = self.counts.get_mut(&name) else {
            return;
        };
        let Some((asked, next)) = line.pop_front() else {
            return;
        };
        if line.is_empty() {
            self.counts.remove(&name);
        }
        self.feel(self.now.saturating_sub(asked), counted);
        next(self, counted);
    }

    pub fn on_attempt_end(&mut self, call: &RequestId, number: AttemptNumber, end: AttemptResult) {
        if let Some(next) = self.tries.remove(&(call.clone(), number)) {
            next(self, end);
        }
    }

    pub fn on_client_disconnect(&mut self, call: &RequestId) {
        self.finish(call);
    }

    /// The answer has begun to stream: the try belongs to the client, and no time limit runs on.
    pub fn on_response_started(&mut self, call: &RequestId) {
        self.calls.remove(call);
    }

    pub fn on_timer(&mut self, token: TimerToken) {
        if token == TICK_TIMER {
            self.tick();
        }
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            entry.remove()(self, ());
        }
    }

    /// Continues at that time.
    fn at(&mut self, when: Duration, next: Next<()>) {
        self.next_id += 1;
        self.due.insert((when, self.next_id), next);
        self.port.set_timer(DUE_TIMER, when);
    }

    /// A customer's number of a stretch of time, 2 and up, and when that began. Its edges fall at a time
    /// of its own, so that not all gateways renew all customers at one instant.
    fn stretch(&self, customer: &CustomerId, length: Duration, at: Duration) -> (u64, Duration) {
        let length = length.as_nanos() as u64;
        let shift = fixed_hash(&customer.0, 0, 0) % length;
        let number = (at.as_nanos() as u64 + shift) / length;
        (
            number + 2,
            Duration::from_nanos((number * length).saturating_sub(shift)),
        )
    }
}
