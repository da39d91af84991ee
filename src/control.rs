//! All decisions of one gateway. A carrier makes a `Control` with the settings, a seed and the time, then hands it
//! events through its public functions: `listed`, `arrived`, `counted`, `ended`, `gone`, `woken`. Control answers
//! through the `Port` it is handed; both sides of that interface are described in `port.rs`.
//!
//! An API call goes arrived -> afford (is the rate quota known to be spent?) -> hold (add 1 on the counter) ->
//! charge (units from a block) -> send -> ended -> retry or answer. Each step leaves a closure (`Next`) that is
//! handed the step's result.

use crate::port::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
/// Hold lifetime: the period of a holds' name.
const PERIOD: Duration = ms(3000);
/// How long before the period's edge open holds are added to the next name.
const RENEW_AHEAD: Duration = ms(200);
/// How long the counter is left alone after it erred or lagged.
const SKIP: Duration = ms(15_000);
/// Advice: this much per call ahead, at most so much.
const ADVICE: (Duration, Duration) = (ms(5000), ms(30_000));
/// The one periodic timer.
const TICK: Duration = ms(50);
/// A block is what recent demand asks for in this share of a window.
const BLOCK_SHARE: f64 = 0.25;
/// Distrust halves in this time.
const DISTRUST_HALF: f64 = 4.0;
/// A further try is paid from this share of the API calls taken.
const TRY_SHARE: f64 = 0.2;
/// A try that may be repeated is given this share of what is left to the latency target.
const TRY_PATIENCE: f64 = 0.6;

const TICK_TOKEN: WakeToken = WakeToken(1);
const DUE_TOKEN: WakeToken = WakeToken(2);

/// What a step leaves behind.
type Next<R> = Box<dyn FnOnce(&mut Control, &mut dyn Port, R)>;

/// What became of asking for a hold.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Hold {
    Counted(u64),
    Uncounted,
    Full(f64),
}

struct Call {
    customer: CustomerId,
    plan: PlanName,
    route: RouteName,
    units: f64,
    born: Duration,
    until: Duration,
    tries: u32,
    out: Option<(TryNumber, ServerId)>,
    /// When and where the first try that may have run was sent.
    ran: Option<(Duration, ServerId)>,
}

struct Server {
    listed: Listed,
    open: u32,
    /// Latency against the route's usual one, as a moving mean, and when it was last moved.
    pace: f64,
    distrust: f64,
    faded: Duration,
}

#[derive(Default)]
struct Account {
    spread: f64,
    /// Open holds, each with the periods in whose names it is counted.
    holds: BTreeMap<u64, Vec<u64>>,
    /// The period for whose name the open holds were last added.
    renewed: u64,
    /// Units in hand, the window they were last taken in, what was seen of that window and of the one before.
    block: f64,
    window: u64,
    total: f64,
    debt: f64,
    /// Recent demand in units a second.
    demand: f64,
    asked: Duration,
    waiting: Vec<Next<bool>>,
    refused_until: Duration,
    /// The even split used in silence: units left and when they were last counted.
    share: Option<(f64, Duration)>,
}

pub struct Control {
    facts: Facts,
    rng: WyRand,
    now: Duration,
    started: Duration,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    accounts: BTreeMap<CustomerId, Account>,
    counts: BTreeMap<CounterName, VecDeque<Next<Counted>>>,
    tries: BTreeMap<(CallId, TryNumber), Next<Ended>>,
    due: BTreeMap<(Duration, u64), Next<()>>,
    next_id: u64,
    next_tick: Duration,
    next_due: Duration,
    skip_until: Duration,
    /// Usual latency of each route, in seconds.
    usual: BTreeMap<RouteName, f64>,
    try_budget: f64,
}

impl Control {
    pub fn new(facts: Facts, seed: u64, now: Duration, port: &mut dyn Port) -> Self {
        let mut control = Control {
            facts,
            rng: WyRand::new_seed(seed),
            now,
            started: now,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
            tries: BTreeMap::new(),
            due: BTreeMap::new(),
            next_id: 0,
            next_tick: now + TICK,
            next_due: Duration::MAX,
            skip_until: Duration::ZERO,
            usual: BTreeMap::new(),
            try_budget: 3.0,
        };
        port.wake(TICK_TOKEN, control.next_tick);
        if control.text("registry_mode") == "subscribe" {
            port.subscribe(true);
        }
        if !control.flag("counter.present") {
            control.skip_until = Duration::MAX;
        }
        control
    }

    // ---- settings, picked where they are needed ----

    fn number(&self, name: &str) -> f64 {
        match self.facts.get(name) {
            Some(Fact::Number(n)) => *n,
            _ => 0.0,
        }
    }

    fn text(&self, name: &str) -> &str {
        match self.facts.get(name) {
            Some(Fact::Text(text)) => text,
            _ => "",
        }
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.facts.get(name), Some(Fact::Flag(true)))
    }

    fn plan(&self, plan: &PlanName, what: &str) -> f64 {
        self.number(&format!("plans.{}.{what}", plan.0))
    }

    fn route(&self, route: &RouteName, what: &str) -> f64 {
        self.number(&format!("routes.{}.{what}", route.0))
    }

    fn repeat(&self, route: &RouteName) -> &str {
        self.text(&format!("routes.{}.repeat", route.0))
    }

    /// The cap on upstream tries out at once; a plan that states none is counted under a generous one: all that
    /// its burst and its rate can put out within the longest latency target.
    fn cap(&self, plan: &PlanName) -> f64 {
        let stated = self.plan(plan, "cap");
        if stated > 0.0 {
            return stated;
        }
        (self.plan(plan, "burst") + self.plan(plan, "rate") * 2.0).max(4.0).ceil()
    }

    // ---- events ----

    /// News of the server list: the whole of it, or changes only.
    pub fn listed(&mut self, now: Duration, whole: bool, lines: Vec<Listed>) {
        self.now = now;
        if whole {
            self.servers.retain(|id, _| lines.iter().any(|line| line.server == *id));
        }
        for line in lines {
            let fresh = Server { listed: line.clone(), open: 0, pace: 1.0, distrust: 0.0, faded: now };
            match self.servers.get_mut(&line.server) {
                _ if line.phase == Phase::Gone => drop(self.servers.remove(&line.server)),
                Some(known) if known.listed.started == line.started => known.listed = line,
                Some(known) => *known = Server { open: known.open, ..fresh },
                None => drop(self.servers.insert(line.server.clone(), fresh)),
            }
        }
    }

    pub fn arrived(&mut self, now: Duration, port: &mut dyn Port, arrival: Arrival) {
        self.now = now;
        let account = self.accounts.entry(arrival.customer.clone()).or_default();
        account.spread = f64::from(arrival.spread.max(1));
        let idle = (now - account.asked.min(now)).as_secs_f64();
        account.demand = account.demand * (-idle / 2.0).exp() + arrival.units / 2.0;
        account.asked = now;
        self.try_budget = (self.try_budget + TRY_SHARE).min(10.0);
        let call = arrival.call.clone();
        let first = Call {
            customer: arrival.customer,
            plan: arrival.plan,
            route: arrival.route,
            units: arrival.units,
            born: now,
            until: arrival.until,
            tries: 0,
            out: None,
            ran: None,
        };
        self.calls.insert(call.clone(), first);
        let last = arrival.until.saturating_sub(self.span("resolution") * 2).max(now);
        let timed = call.clone();
        self.at(port, last, Box::new(move |control, port, ()| control.answer(port, &timed)));
        if self.accounts[&self.calls[&call].customer].refused_until > now {
            return self.answer(port, &call);
        }
        let asked = call.clone();
        let held = move |control: &mut Control, port: &mut dyn Port, hold| control.held(port, asked, hold);
        self.hold(port, &call, Box::new(held));
    }

    /// The first try's hold was counted, skipped or refused.
    fn held(&mut self, port: &mut dyn Port, call: CallId, hold: Hold) {
        if let Hold::Full(_) = hold {
            return self.answer(port, &call);
        }
        let paid = call.clone();
        let charged = move |control: &mut Control, port: &mut dyn Port, enough: bool| {
            if enough {
                control.send(port, paid, hold);
            } else {
                control.release(port, &paid, hold);
                control.answer(port, &paid);
            }
        };
        self.charge(port, &call, hold == Hold::Uncounted, Box::new(charged));
    }

    pub fn counted(&mut self, now: Duration, port: &mut dyn Port, name: CounterName, counted: Counted) {
        self.now = now;
        if !matches!(counted, Counted::Total(_)) {
            self.skip_until = self.skip_until.max(now + SKIP);
        }
        let Some(line) = self.counts.get_mut(&name) else {
            return;
        };
        let next = line.pop_front();
        if line.is_empty() {
            self.counts.remove(&name);
        }
        if let Some(next) = next {
            next(self, port, counted);
        }
    }

    pub fn ended(
        &mut self,
        now: Duration,
        port: &mut dyn Port,
        call: &CallId,
        number: TryNumber,
        end: Ended,
    ) {
        self.now = now;
        if let Some(next) = self.tries.remove(&(call.clone(), number)) {
            next(self, port, end);
        }
    }

    /// The client has left.
    pub fn gone(&mut self, now: Duration, port: &mut dyn Port, call: &CallId) {
        self.now = now;
        if let Some(left) = self.calls.remove(call) {
            if let Some((number, _)) = left.out {
                self.cancel(port, call, number);
            }
        }
    }

    /// The answer has begun to stream: the try belongs to the client, and no time limit runs on.
    pub fn streaming(&mut self, now: Duration, call: &CallId) {
        self.now = now;
        self.calls.remove(call);
    }

    pub fn probed(&mut self, now: Duration, _: &ServerId, _: Outcome, _: &BTreeMap<String, f64>) {
        self.now = now;
    }

    /// A call for the server list failed or the subscription broke: it is asked for again.
    pub fn list_failed(&mut self, now: Duration, port: &mut dyn Port) {
        self.now = now;
        self.at(port, now + ms(500), Box::new(|_, port, ()| port.subscribe(true)));
    }

    pub fn woken(&mut self, now: Duration, port: &mut dyn Port, token: WakeToken) {
        self.now = now;
        if token == TICK_TOKEN && now >= self.next_tick {
            self.next_tick = now + TICK;
            port.wake(TICK_TOKEN, self.next_tick);
            self.renew(port);
        }
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            entry.remove()(self, port, ());
        }
        if let Some((at, _)) = self.due.keys().next() {
            if token == DUE_TOKEN || *at < self.next_due {
                self.next_due = *at;
                port.wake(DUE_TOKEN, *at);
            }
        } else if token == DUE_TOKEN {
            self.next_due = Duration::MAX;
        }
    }

    fn at(&mut self, port: &mut dyn Port, when: Duration, next: Next<()>) {
        self.next_id += 1;
        self.due.insert((when, self.next_id), next);
        if when < self.next_due {
            self.next_due = when;
            port.wake(DUE_TOKEN, when);
        }
    }

    fn span(&self, name: &str) -> Duration {
        Duration::from_secs_f64(self.number(name).max(0.0))
    }

    // ---- the counter ----

    fn name(&self, customer: &CustomerId, kind: u8, number: u64) -> CounterName {
        let mut hash = Fnv(0xcbf2_9ce4_8422_2325);
        (&*customer.0, kind, number).hash(&mut hash);
        CounterName(hash.finish() >> 1)
    }

    fn add(&mut self, port: &mut dyn Port, name: CounterName, add: f64, keep: Duration, next: Next<Counted>) {
        self.counts.entry(name).or_default().push_back(next);
        port.count(name, add, keep);
    }

    fn skipping(&self) -> bool {
        self.now < self.skip_until
    }

    // ---- holds: the customer's tries out at once ----

    fn period(&self) -> u64 {
        (self.now.as_nanos() / PERIOD.as_nanos()) as u64
    }

    fn add_hold(
        &mut self,
        port: &mut dyn Port,
        customer: &CustomerId,
        period: u64,
        by: f64,
        next: Next<Counted>,
    ) {
        let name = self.name(customer, 0, period);
        self.add(port, name, by, PERIOD * 2, next);
    }

    /// Step 2: adds one and waits for the total. The hold is kept by the account until it is released.
    fn hold(&mut self, port: &mut dyn Port, call: &CallId, next: Next<Hold>) {
        if self.skipping() {
            return next(self, port, Hold::Uncounted);
        }
        let (customer, cap) = {
            let asked = &self.calls[call];
            (asked.customer.clone(), self.cap(&asked.plan))
        };
        let period = self.period();
        self.next_id += 1;
        let id = self.next_id;
        let owner = customer.clone();
        let told = move |control: &mut Control, port: &mut dyn Port, counted| match counted {
            Counted::Total(total) if total > cap => {
                control.add_hold(port, &owner, period, -1.0, Box::new(|_, _, _| ()));
                next(control, port, Hold::Full(total - cap));
            }
            Counted::Total(_) => {
                let account = control.accounts.entry(owner.clone()).or_default();
                account.holds.insert(id, vec![period]);
                let renewed = account.renewed.max(control.period());
                if renewed > period {
                    control.count_in(port, &owner, renewed, vec![id]);
                }
                next(control, port, Hold::Counted(id));
            }
            _ => next(control, port, Hold::Uncounted),
        };
        self.add_hold(port, &customer, period, 1.0, Box::new(told));
    }

    /// Adds holds to a further period's name; those that ended before the answer are taken off again.
    fn count_in(&mut self, port: &mut dyn Port, customer: &CustomerId, period: u64, ids: Vec<u64>) {
        let (owner, sum) = (customer.clone(), ids.len() as f64);
        let told = move |control: &mut Control, port: &mut dyn Port, counted| {
            if !matches!(counted, Counted::Total(_)) {
                return;
            }
            let account = control.accounts.entry(owner.clone()).or_default();
            let mut over = 0.0;
            for id in ids {
                match account.holds.get_mut(&id) {
                    Some(periods) => periods.push(period),
                    None => over += 1.0,
                }
            }
            if over > 0.0 {
                control.add_hold(port, &owner, period, -over, Box::new(|_, _, _| ()));
            }
        };
        self.add_hold(port, customer, period, sum, Box::new(told));
    }

    /// Step 4: before the period's edge the open holds go into the next name, once.
    fn renew(&mut self, port: &mut dyn Port) {
        let next = ((self.now + RENEW_AHEAD).as_nanos() / PERIOD.as_nanos()) as u64;
        if self.skipping() || next == self.period() {
            return;
        }
        let mut open = Vec::new();
        for (customer, account) in self.accounts.iter_mut().filter(|(_, account)| account.renewed < next) {
            account.renewed = next;
            if !account.holds.is_empty() {
                open.push((customer.clone(), account.holds.keys().copied().collect()));
            }
        }
        for (customer, ids) in open {
            self.count_in(port, &customer, next, ids);
        }
    }

    /// Step 3: any end takes one off every live name in which the hold was counted.
    fn release(&mut self, port: &mut dyn Port, call: &CallId, hold: Hold) {
        if let Some(customer) = self.calls.get(call).map(|call| call.customer.clone()) {
            self.release_for(port, &customer, hold);
        }
    }

    fn release_for(&mut self, port: &mut dyn Port, customer: &CustomerId, hold: Hold) {
        let Hold::Counted(id) = hold else { return };
        let now = self.period();
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let periods = account.holds.remove(&id).unwrap_or_default();
        if self.skipping() {
            return;
        }
        for period in periods.into_iter().filter(|period| *period >= now) {
            self.add_hold(port, customer, period, -1.0, Box::new(|_, _, _| ()));
        }
    }

    // ---- the rate quota ----

    /// Takes the call's units from the block in hand, from a new block, or in silence from the even split.
    fn charge(&mut self, port: &mut dyn Port, call: &CallId, silent: bool, next: Next<bool>) {
        let Some(asked) = self.calls.get(call) else {
            return next(self, port, false);
        };
        let (customer, plan, units) = (asked.customer.clone(), asked.plan.clone(), asked.units);
        let (rate, burst) = (self.plan(&plan, "rate"), self.plan(&plan, "burst"));
        if rate <= 0.0 {
            return next(self, port, true);
        }
        let (now, skipping) = (self.now, silent || self.skipping());
        let started = self.started;
        let hard = self.plan(&plan, "ceiling_rate") > 0.0;
        let account = self.accounts.entry(customer.clone()).or_default();
        if account.block >= units {
            account.block -= units;
            return next(self, port, true);
        }
        if skipping {
            let spread = account.spread;
            let full = burst / spread;
            let fresh = if hard { (0.0, started) } else { (full, now) };
            let (left, since) = account.share.unwrap_or(fresh);
            let left = (left + (now - since).as_secs_f64() * rate / spread).min(full.max(units));
            let enough = left >= units;
            account.share = Some((if enough { left - units } else { left }, now));
            return next(self, port, enough);
        }
        account.share = None;
        let again = call.clone();
        let mut next = Some(next);
        account.waiting.push(Box::new(move |control, port, more| {
            let next = next.take().expect("called once");
            if more {
                control.charge(port, &again, false, next);
            } else {
                next(control, port, false);
            }
        }));
        if account.waiting.len() == 1 {
            self.take(port, &customer, &plan, units);
        }
    }

    /// One add to the window's name takes a block; what does not fit goes back.
    fn take(&mut self, port: &mut dyn Port, customer: &CustomerId, plan: &PlanName, units: f64) {
        let (rate, burst) = (self.plan(plan, "rate"), self.plan(plan, "burst"));
        let length = burst / rate;
        let window = (self.now.as_secs_f64() / length) as u64;
        let keep = Duration::from_secs_f64(length * 3.0);
        let account = self.accounts.entry(customer.clone()).or_default();
        let (name_of, owner, terms) = (customer.clone(), customer.clone(), plan.clone());
        if account.window != window {
            // The store's debt at the window's start: what the last window took beyond its refill.
            let debt = if account.window + 1 == window { account.debt } else { 0.0 };
            (account.window, account.total) = (window, 0.0);
            let told = move |control: &mut Control, port: &mut dyn Port, counted| {
                let account = control.accounts.entry(owner.clone()).or_default();
                if let Counted::Total(total) = counted {
                    account.debt = (debt + total - burst).clamp(0.0, burst);
                }
                control.take(port, &owner, &terms, units);
            };
            let name = self.name(&name_of, 1, window.wrapping_sub(1));
            return self.add(port, name, 0.0, keep, Box::new(told));
        }
        let first = account.total == 0.0;
        let size = if first { burst / account.spread } else { account.demand * length * BLOCK_SHARE };
        let size = (size.min(burst / account.spread) - account.block).max(units - account.block).ceil();
        let name = self.name(customer, 1, window);
        let told = move |control: &mut Control, port: &mut dyn Port, counted| {
            let since = (control.now.as_secs_f64() - window as f64 * length).clamp(0.0, length);
            let account = control.accounts.entry(owner.clone()).or_default();
            let mut enough = false;
            if let Counted::Total(total) = counted {
                let allowed = burst + rate * since - account.debt;
                let back = (total - allowed).ceil().clamp(0.0, size);
                account.total = total - back;
                account.block += size - back;
                enough = account.block >= units;
                if !enough {
                    let short = (units - account.block) / rate;
                    account.refused_until = control.now + Duration::from_secs_f64(short.clamp(0.02, 0.25));
                }
                if back > 0.0 {
                    control.add(port, name, -back, keep, Box::new(|_, _, _| ()));
                }
            }
            let unknown = !matches!(counted, Counted::Total(_));
            let account = control.accounts.entry(owner.clone()).or_default();
            for next in std::mem::take(&mut account.waiting) {
                next(control, port, enough || unknown);
            }
        };
        self.add(port, name, size, keep, Box::new(told));
    }

    // ---- sending ----

    /// How much of its full work a server can do by now, by its age.
    fn warmth(&self, server: &Server) -> f64 {
        let (from, span) = (self.number("rules.cold_from"), self.number("rules.cold"));
        match server.listed.started {
            Some(start) if span > 0.0 => {
                let age = (self.now - start.min(self.now)).as_secs_f64();
                (from + (1.0 - from) * age / span).min(1.0)
            }
            _ => 1.0,
        }
    }

    fn cost(&self, server: &Server) -> f64 {
        let faded = (self.now - server.faded.min(self.now)).as_secs_f64();
        let distrust = server.distrust * 0.5f64.powf(faded / DISTRUST_HALF);
        (f64::from(server.open) + 1.0) * server.pace * (1.0 + distrust)
            / (server.listed.weight.max(0.1) * self.warmth(server))
    }

    /// Draws two of the allowed servers and takes the one the node's own counts favour.
    fn choose(&mut self, allowed: &[ServerId]) -> ServerId {
        let one = self.rng.generate_range(0..allowed.len());
        let two = self.rng.generate_range(0..allowed.len().max(2) - 1);
        let two = if two >= one { (two + 1).min(allowed.len() - 1) } else { two };
        let (one, two) = (&allowed[one], &allowed[two]);
        if self.cost(&self.servers[one]) <= self.cost(&self.servers[two]) {
            one.clone()
        } else {
            two.clone()
        }
    }

    /// The one place every upstream try passes: the rules on answers, effects, drains and cold servers.
    fn send(&mut self, port: &mut dyn Port, call: CallId, hold: Hold) {
        let Some(asked) = self.calls.get(&call) else {
            return;
        };
        let (customer, route) = (asked.customer.clone(), asked.route.clone());
        let left = asked.until.saturating_sub(self.now);
        let repeat = self.repeat(&route);
        let group = self.text(&format!("routes.{}.group", route.0));
        let in_group = |server: &Server| match (&asked.ran, repeat) {
            (None, _) | (_, "idempotent") => true,
            (Some((when, first)), "tokened") => {
                let memory = Duration::from_secs_f64(self.route(&route, "memory_span"));
                let same = self.servers.get(first).is_some_and(|first| match group {
                    "all" => true,
                    "zone" => first.listed.zone == server.listed.zone,
                    _ => first.listed.cell == server.listed.cell,
                });
                same && *when + memory > self.now + self.span("resolution")
            }
            _ => false,
        };
        let last = asked.out.as_ref().map(|(_, server)| server.clone());
        let mut allowed: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| server.listed.phase == Phase::Ready && in_group(server))
            .map(|server| server.listed.server.clone())
            .collect();
        if allowed.len() > 1 {
            allowed.retain(|server| Some(server) != last.as_ref());
        }
        if allowed.is_empty() || left.is_zero() {
            self.release_for(port, &customer, hold);
            return self.answer(port, &call);
        }
        let server = self.choose(&allowed);
        let timeout = self.patience(&call, left);
        let now = self.now;
        self.servers.get_mut(&server).expect("chosen from the list").open += 1;
        let asked = self.calls.get_mut(&call).expect("looked up above");
        let number = TryNumber(asked.tries);
        asked.tries += 1;
        asked.out = Some((number, server.clone()));
        port.send(&call, &server, timeout);
        let (key, at) = ((call.clone(), number), server);
        let over = move |control: &mut Control, port: &mut dyn Port, end: Ended| {
            control.judge(&at, &route, &end);
            control.release_for(port, &customer, hold);
            control.over(port, &call, &customer, at, now, end);
        };
        self.tries.insert(key, Box::new(over));
    }

    /// How long a try may take: a route that may be repeated leaves time for another try within the target.
    fn patience(&self, call: &CallId, left: Duration) -> Duration {
        let asked = &self.calls[call];
        let target = self.route(&asked.route, "latency_target");
        let to_target = (target - (self.now - asked.born).as_secs_f64()).max(0.0);
        if self.repeat(&asked.route) == "non-idempotent" || to_target < target * 0.3 {
            return left;
        }
        left.min(Duration::from_secs_f64(to_target * TRY_PATIENCE))
    }

    /// Moves the server's pace and distrust by how a try ended.
    fn judge(&mut self, server: &ServerId, route: &RouteName, end: &Ended) {
        let took = end.latency.as_secs_f64();
        let usual = self.usual.entry(route.clone()).or_insert(took.max(0.001));
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.open = server.open.saturating_sub(1);
        let faded = (self.now - server.faded.min(self.now)).as_secs_f64();
        server.distrust *= 0.5f64.powf(faded / DISTRUST_HALF);
        server.faded = self.now;
        match end.outcome {
            Outcome::Proxied => {
                let ratio = (took / *usual).clamp(0.2, 10.0);
                *usual += (took - *usual) * 0.02;
                server.pace += (ratio - server.pace) * 0.1;
            }
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken => server.distrust += 2.0,
            Outcome::ServerError | Outcome::TurnedAway => server.distrust += 0.5,
            Outcome::Cancelled | Outcome::NotSent => (),
        }
    }

    /// A try is over: the API call is answered, or a further try is made as far as its route permits.
    fn over(
        &mut self,
        port: &mut dyn Port,
        call: &CallId,
        customer: &CustomerId,
        server: ServerId,
        sent: Duration,
        end: Ended,
    ) {
        let Some(asked) = self.calls.get_mut(call) else {
            return;
        };
        let unrun = [Outcome::TurnedAway, Outcome::NoConnection, Outcome::NotSent].contains(&end.outcome);
        if let Some(true_units) = end.settled {
            let off = true_units - asked.units;
            self.accounts.entry(customer.clone()).or_default().block -= off;
        }
        if end.closed {
            self.calls.remove(call);
            return;
        }
        asked.out = Some((TryNumber(u32::MAX), server.clone()));
        if !unrun && asked.ran.is_none() {
            asked.ran = Some((sent, server));
        }
        let (tries, ran, route) = (asked.tries, asked.ran.is_some(), asked.route.clone());
        let again = tries < self.number("limits.max_attempts") as u32
            && self.try_budget >= 1.0
            && !(ran && self.repeat(&route) == "non-idempotent");
        if !again {
            return self.answer(port, call);
        }
        self.try_budget -= 1.0;
        let retried = call.clone();
        let held = move |control: &mut Control, port: &mut dyn Port, hold| match hold {
            Hold::Full(_) => control.answer(port, &retried),
            hold => control.send(port, retried, hold),
        };
        self.hold(port, call, Box::new(held));
    }

    fn cancel(&mut self, port: &mut dyn Port, call: &CallId, number: TryNumber) {
        if self.flag("limits.cancelling") && self.tries.contains_key(&(call.clone(), number)) {
            port.cancel(call, number);
        }
    }

    /// The one final answer. Rate-limited where it is harmless to come again, else errored.
    fn answer(&mut self, port: &mut dyn Port, call: &CallId) {
        let Some(asked) = self.calls.remove(call) else {
            return;
        };
        if let Some((number, server)) = &asked.out {
            self.cancel(port, call, *number);
            let out = self.tries.contains_key(&(call.clone(), *number));
            if out || asked.ran.is_some() {
                let group = self.text(&format!("routes.{}.group", asked.route.0));
                let harmless = match self.repeat(&asked.route) {
                    "idempotent" => true,
                    "tokened" => group == "all",
                    _ => false,
                };
                let _ = server;
                if !harmless || out {
                    return port.error(call);
                }
            }
        }
        port.rate_limit(call, ADVICE.0.min(ADVICE.1));
    }
}

/// A fixed hash for counter names: every gateway must come to the same one.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
