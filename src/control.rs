//! All decisions of one gateway. A carrier makes a `Control` with the settings, a seed and a `Port`, then
//! before each event tells it the time and hands the event over: `listed`, `arrived`, `counted`, `ended`,
//! `gone`, `woken` and so on. Control acts through the `Port`; `port.rs` describes both sides of it.
//!
//! An API call goes arrived -> hold (add 1 on the counter) -> charge (units from a block) -> send -> over ->
//! another hold or the answer. Each step leaves a closure (`Next`) that is handed the step's result.

use crate::port::*;
use crate::state::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wellcrank_fleet::{ramp::*, subset};

const PERIOD: Duration = ms(3000); // hold lifetime: the period of a holds' name
const RENEW_AHEAD: Duration = ms(100); // so long before the period's edge the holds are renewed
const SKIP: Duration = ms(15_000); // the counter is left alone: it fell silent
const CROWDED_SKIP: Duration = ms(3000); // the same: it turned a call away
const THIN: f64 = 0.5; // from this share of customers with less than a call of even split on, calls are paced
const START_PACE: f64 = 900.0; // calls a second to start with, over all gateways
const LEAST_PACE: f64 = 0.5; // and the least, of one gateway
const SPEED_UP: f64 = 0.2; // what a prompt answer adds to them
const PROMPT: f64 = 0.7; // an answer within this share of the counter's time limit is prompt
const ERRORS: u32 = 3; // so many in a row, each after a slowing, are an outage
const SPARE: f64 = 0.7; // with this share of the calls in hand, what can be done without is done
const SHORTEST: f64 = 0.1; // a window, in seconds, whatever the settings say
const LONGEST: f64 = 1e6;
const AHEAD: f64 = 0.5; // of a window: a block's recent demand while calls are scarce
const RETRY_AFTER: Duration = ms(5000); // advice to a client where nothing better is known
const LEAST_RETRY_AFTER: Duration = ms(50);
const LONGEST_RETRY_AFTER: Duration = ms(30_000);
const TICK: Duration = ms(50); // the one periodic timer
const CALM: f64 = 0.5; // who asks for less than this share of its rate has left its store alone
const SHED_FROM: f64 = 0.6; // share of the room in use from which little worth for the work is refused
const FORGET: Duration = ms(60_000); // a customer not heard of for so long
const LOSS_HALF: f64 = 8.0; // seconds after which a loss counts half
const SERVER_PRIOR: f64 = 2.0; // tries by which a server's losses lean on the route's
const ROUTE_PRIOR: f64 = 5.0; // tries by which a route's losses lean on none
const ERROR_LOSS: f64 = 0.25; // an answered error, against an answer that never came
const SUSPECT: (f64, f64) = (2.0, 0.05); // losses over this multiple of the route's, and this share more
const DRAWS: u32 = 6; // of servers, before the list is looked through
const ROOM: f64 = 16.0; // tries open at a server to start with, over all gateways
const QUICK: f64 = 0.25; // share of the latency target within which an answer is quick
const ROUND: f64 = 5.0; // so many answers are a round, in a smaller room all of it
const COLD_SHARE: f64 = 0.4; // of a cold server's budget: permits of two windows may arrive half a window late
const TRY_SHARE: f64 = 0.2; // further tries paid by an API call taken
const NO_HOLD: u64 = 0; // stands for the hold of a try whose plan has no cap; ids of holds are above

pub struct Control {
    facts: Facts,
    port: Box<dyn Port>,
    rng: WyRand,
    now: Duration,
    started: Duration,
    servers: BTreeMap<ServerId, Server>,
    /// All servers as they stand on the ring, and the part of them that this gateway uses.
    ids: Vec<ServerId>,
    own: Vec<ServerId>,
    calls: BTreeMap<CallId, Call>,
    accounts: BTreeMap<CustomerId, Account>,
    /// What waits: for answers of the counter, for ends of upstream tries, for a time.
    counts: BTreeMap<CounterName, VecDeque<(Duration, Next<Counted>)>>,
    tries: BTreeMap<(CallId, TryNumber), Next<Ended>>,
    due: BTreeMap<(Duration, u64), Next<()>>,
    next_id: u64,
    skip_until: Duration,
    /// What the counter is seen to bear, and what the servers are.
    bears: Bears,
    fleet: Fleet,
    /// Usual latency of each route, in seconds.
    usual: BTreeMap<RouteName, f64>,
    /// Losses of each route at all servers.
    losses: BTreeMap<RouteName, LossRate>,
    /// Pace of each kind of machine, as one server is seen too seldom: latency against the route's usual.
    kinds: BTreeMap<String, f64>,
}

impl Control {
    pub fn new(facts: Facts, seed: u64, now: Duration, port: Box<dyn Port>) -> Self {
        let mut control = Control {
            skip_until: if facts.flag("counter.present") { Duration::ZERO } else { Duration::MAX },
            facts,
            port,
            rng: WyRand::new_seed(seed),
            now,
            started: now,
            servers: BTreeMap::new(),
            ids: Vec::new(),
            own: Vec::new(),
            calls: BTreeMap::new(),
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
            tries: BTreeMap::new(),
            due: BTreeMap::new(),
            next_id: 0,
            bears: Bears { quick_to: f64::INFINITY, thin: THIN, filled: now, ..Bears::default() },
            fleet: Fleet { further: 3.0, room: f64::INFINITY, pace: f64::INFINITY, ..Fleet::default() },
            usual: BTreeMap::new(),
            losses: BTreeMap::new(),
            kinds: BTreeMap::new(),
        };
        control.bears.pace = START_PACE / control.gateways();
        control.port.wake(TICK_TOKEN, now + TICK);
        if control.facts.text("registry_mode") == "subscribe" {
            control.port.subscribe(true);
        }
        control
    }

    fn gateways(&self) -> f64 {
        self.facts.number("gateways").max(1.0)
    }

    /// The cap on a customer's upstream tries out at once; a plan may state none.
    fn cap(&self, plan: &PlanName) -> Option<f64> {
        Some(self.facts.plan(plan, "cap")).filter(|cap| *cap > 0.0)
    }

    /// A plan's rate and burst, and the length of its windows in seconds.
    fn terms(&self, plan: &PlanName) -> (f64, f64, f64) {
        let (rate, burst) = (self.facts.plan(plan, "rate"), self.facts.plan(plan, "burst"));
        (rate, burst, if rate > 0.0 { (burst / rate).clamp(SHORTEST, LONGEST) } else { 1.0 })
    }

    pub fn tell_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// News of the server list: the whole of it, or changes only.
    pub fn listed(&mut self, whole: bool, lines: Vec<Listed>) {
        if whole {
            let told: BTreeSet<&ServerId> = lines.iter().map(|line| &line.server).collect();
            self.servers.retain(|id, _| told.contains(id));
        }
        for listed in lines {
            let (id, known) = (listed.server.clone(), self.servers.remove(&listed.server));
            let server = match known {
                _ if listed.phase == Phase::Gone => continue,
                Some(known) if known.listed.started == listed.started => Server { listed, ..known },
                known => {
                    let salt = subset::place(&id.0) ^ listed.started.map_or(0, |at| at.as_millis() as u64);
                    let ramp = Ramp::new(self.facts.number("index") as u32, salt, self.now);
                    Server::fresh(listed, known.map_or(0, |known| known.open), ramp)
                }
            };
            self.servers.insert(id, server);
        }
        self.ids = self.servers.keys().cloned().collect();
        self.ids.sort_by_cached_key(|id| subset::place(&id.0));
        self.choose();
    }

    /// The servers that this gateway uses: all that it can keep connections to warm and learn of, or a part.
    /// Harm: what befalls many servers of one gateway's part befalls it more; the others are then drawn too.
    fn choose(&mut self) {
        let (idle, open) = (self.facts.number("limits.idle_close"), self.fleet.open);
        let each = (self.fleet.room / self.own.len().max(1) as f64).min(ROOM);
        let width = subset::Width { tries: self.fleet.pace, idle, open, each }.of(self.ids.len());
        let width = if idle > 0.0 { width } else { self.ids.len() };
        let (index, all) = (self.facts.number("index") as u32, self.gateways() as u32);
        let window = subset::window(self.ids.len(), index, all, width);
        self.own = window.map(|place| self.ids[place].clone()).collect();
        let warm = self.own.iter().filter(|id| self.warmth(&self.servers[*id]) >= 1.0).count();
        self.fleet.warm = warm as f64;
    }

    /// A call for the server list failed or the subscription broke: it is asked for again.
    pub fn list_failed(&mut self) {
        self.at(self.now + ms(500), Box::new(|c, ()| c.port.subscribe(true)));
    }

    pub fn arrived(&mut self, arrival: Arrival) {
        let now = self.now;
        let (rate, burst, window) = self.terms(&arrival.plan);
        let rank = (self.facts.number("index") - f64::from(arrival.first)).rem_euclid(self.gateways());
        let account = self.accounts.entry(arrival.customer.clone()).or_default();
        let spread = f64::from(arrival.spread.max(1));
        (account.spread, account.rank) = (spread, rank);
        let idle = now.saturating_sub(account.asked).as_secs_f64();
        account.demand = account.demand * (-idle / window).exp() + arrival.units / window;
        account.asked = now;
        let spent = account.refused_until > now;
        let cap = self.cap(&arrival.plan).unwrap_or(f64::INFINITY);
        let part = if rate > 0.0 { burst } else { cap } / spread;
        self.bears.thin += (f64::from(u8::from(part < arrival.units)) - self.bears.thin) * 0.02;
        self.bears.value += (self.value(&arrival) - self.bears.value) * 0.05;
        self.fleet.further = (self.fleet.further + TRY_SHARE).min(10.0);
        let (call, timed, customer) = (arrival.call.clone(), arrival.call.clone(), arrival.customer.clone());
        let last = arrival.until.saturating_sub(self.leeway()).max(now);
        self.calls.insert(call.clone(), Call::new(arrival, now, self.skipping()));
        if spent {
            return self.answer(&call, self.until_refill(&customer));
        }
        if self.crowded(&call) {
            return self.answer(&call, RETRY_AFTER);
        }
        // Its last moment. What is refused at once needs none, and would wake a gateway in vain.
        self.at(last, Box::new(move |c, ()| c.answer(&timed, RETRY_AFTER)));
        self.hold(&call.clone(), Box::new(move |c, hold| c.held(call, customer, hold)));
    }

    /// The first try's hold was taken or refused: only now units are charged.
    fn held(&mut self, call: CallId, customer: CustomerId, hold: Result<u64, f64>) {
        let held = match hold {
            Ok(held) => held,
            Err(ahead) => return self.answer(&call, self.until_free(&call, ahead)),
        };
        let paid = call.clone();
        let charged = move |c: &mut Control, enough| {
            if enough {
                return c.send(paid, customer, held);
            }
            c.release(&customer, held);
            c.answer(&paid, c.until_refill(&customer));
        };
        self.charge(&call, Box::new(charged));
    }

    pub fn counted(&mut self, name: CounterName, counted: Counted) {
        let Some(line) = self.counts.get_mut(&name) else { return };
        let Some((asked, next)) = line.pop_front() else { return };
        if line.is_empty() {
            self.counts.remove(&name);
        }
        self.feel(self.now.saturating_sub(asked), counted);
        next(self, counted);
    }

    pub fn ended(&mut self, call: &CallId, number: TryNumber, end: Ended) {
        if let Some(next) = self.tries.remove(&(call.clone(), number)) {
            next(self, end);
        }
    }

    pub fn gone(&mut self, call: &CallId) {
        self.finish(call);
    }

    /// Its time is up sooner than it was told: it is answered now.
    pub fn expired(&mut self, call: &CallId) {
        self.answer(call, RETRY_AFTER);
    }

    /// The answer has begun to stream: the try belongs to the client, and no time limit runs on.
    pub fn streaming(&mut self, call: &CallId) {
        self.calls.remove(call);
    }

    pub fn woken(&mut self, token: WakeToken) {
        let now = self.now;
        if token == TICK_TOKEN {
            self.port.wake(TICK_TOKEN, now + TICK);
            self.renew();
            if now.subsec_millis() < 50 {
                let (sends, pace) = (std::mem::take(&mut self.fleet.sends), self.fleet.pace);
                self.fleet.pace = if pace.is_finite() { pace + (sends - pace) * 0.1 } else { sends };
                self.choose();
                self.accounts.retain(|_, known| !known.holds.is_empty() || now < known.asked + FORGET);
            }
        }
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            entry.remove()(self, ());
        }
    }

    fn at(&mut self, when: Duration, next: Next<()>) {
        self.next_id += 1;
        self.due.insert((when, self.next_id), next);
        self.port.wake(DUE_TOKEN, when);
    }

    /// A customer's number of a stretch of time, 2 and up, and when that began. Its edges fall at a time
    /// of its own, so that not all gateways renew all customers at one instant.
    fn stretch(&self, customer: &CustomerId, length: Duration, at: Duration) -> (u64, Duration) {
        let length = length.as_nanos() as u64;
        let shift = fixed_hash(&customer.0, 0, 0) % length;
        let number = (at.as_nanos() as u64 + shift) / length;
        (number + 2, Duration::from_nanos((number * length).saturating_sub(shift)))
    }

    fn skipping(&self) -> bool {
        self.now < self.skip_until
    }

    /// Step 6. An error has the counter skipped. Where this gateway makes a call in two time limits or more,
    /// and so may crowd it, or the even split gives most customers less than a call, an error slows its calls
    /// below what it made of late and prompt answers speed them up: gateways share what the counter bears.
    /// Errors in a row are an outage. Harm: slow for one, it is used less; an outage is known a second later.
    fn feel(&mut self, took: Duration, counted: Counted) {
        let limit = self.facts.span("counter.counter_timeout");
        let good = counted.total_or(0.0).is_some();
        let (now, bears) = (self.now, &mut self.bears);
        let crowded = bears.thin >= THIN || bears.calling * limit.as_secs_f64() > 0.5;
        bears.errors = if good { 0 } else { bears.errors };
        if good && took < limit.mul_f64(PROMPT) {
            bears.pace += if bears.pace < bears.quick_to { 1.0 } else { SPEED_UP.max(bears.pace * 0.01) };
            bears.pace = bears.pace.min(bears.calling * 2.0 + 4.0);
        } else if !good && crowded && now >= bears.slowed + limit * 4 {
            let made = bears.pace.min(bears.calling);
            (bears.errors, bears.in_hand) = (bears.errors + 1, bears.in_hand.min(0.0));
            (bears.pace, bears.quick_to, bears.slowed) = ((made * 0.6).max(LEAST_PACE), made * 0.5, now);
        }
        if !good && now >= self.skip_until && (bears.errors >= ERRORS || !crowded) {
            let skip = if counted == Counted::NotAdded { CROWDED_SKIP } else { SKIP };
            self.port.log(&format!("counter skipped for {skip:?}: {counted:?}"));
            self.skip_until = now + skip;
        }
    }

    /// Whether the counter may be called: at the pace it bears, one call in hand is enough for what is dear
    /// (0 and below), all that can be in hand are wanted for what matters least (1). Where calls are scarce,
    /// the dear API calls are so judged by the counter, the others by this gateway's share.
    fn may_call(&mut self, cheap: f64) -> bool {
        let most = self.fill();
        let enough = self.bears.in_hand >= 1.0 + (most - 1.0) * cheap.clamp(0.0, 1.0);
        !self.skipping() && (self.bears.thin < THIN && self.bears.quick_to.is_infinite() || enough)
    }

    /// In hand there can be what half a second allows, and a few at least.
    fn fill(&mut self) -> f64 {
        let most = f64::max(self.bears.pace * 0.5, 4.0);
        self.bears.fill(self.now, most);
        most
    }

    fn cheap(&self, arrival: &Arrival, calls: f64) -> f64 {
        1.0 - self.value(arrival) * calls / self.bears.value.max(1e-9)
    }

    fn value(&self, arrival: &Arrival) -> f64 {
        let price = self.facts.plan(&arrival.plan, "price");
        self.facts.route(&arrival.route, "billed_value") * price * arrival.units
    }

    fn add(&mut self, name: CounterName, add: f64, keep: Duration, next: Next<Counted>) {
        self.fill();
        (self.bears.in_hand, self.bears.calling) = (self.bears.in_hand - 1.0, self.bears.calling + 1.0);
        self.counts.entry(name).or_default().push_back((self.now, next));
        self.port.count(name, add, keep);
    }

    // ---- holds: the customer's tries out at once ----

    fn add_hold(&mut self, customer: &CustomerId, period: u64, by: f64, next: Next<Counted>) {
        self.add(CounterName(fixed_hash(&customer.0, 1, period)), by, PERIOD * 2, next);
    }

    /// Step 2: adds one and waits for the total. The hold is kept by the account until it is released;
    /// refused, the result tells how many calls are ahead. In silence a gateway's own tries stay in its
    /// share of the cap, as its units do: an outage would else admit all. Harm: an uneven customer is
    /// refused at its busy gateway. A plan without a cap has nothing to hold its customers under.
    fn hold(&mut self, call: &CallId, next: Next<Result<u64, f64>>) {
        let arrival = &self.calls[call].arrival;
        let Some(cap) = self.cap(&arrival.plan) else { return next(self, Ok(NO_HOLD)) };
        let customer = arrival.customer.clone();
        let (rate, _, window) = self.terms(&arrival.plan);
        let units = arrival.units;
        // How long a unit of demand is out: the route's usual latency.
        let each = self.usual.get(&arrival.route).copied().unwrap_or(0.0) / units.max(1.0);
        let cheap = self.cheap(arrival, 1.0);
        let (owner, period) = (customer.clone(), self.stretch(&customer, PERIOD, self.now).0);
        self.next_id += 1;
        let id = self.next_id;
        // Calls being scarce in a thin fleet, a cap goes uncounted until the units seen in this window could
        // fill it: two calls for a hold leave none to ask for the units. Harm: others' tries under a cap are
        // seen late.
        let fills = |known: &Account| {
            let this = self.stretch(&customer, Duration::from_secs_f64(window), self.now).0;
            known.window == this && known.total >= cap
        };
        let asks = self.bears.thin < THIN || self.accounts.get(&customer).is_some_and(fills);
        let unasked = rate > 0.0 && !asks && !self.skipping() && !self.may_call(SPARE);
        let silent = unasked || !self.may_call(cheap);
        let told = move |c: &mut Control, counted| {
            let now = c.stretch(&owner, PERIOD, c.now).0;
            let account = c.accounts.entry(owner.clone()).or_default();
            let (spread, turn) = (account.spread, (account.rank + now as f64) % account.spread);
            let share = (cap / spread).floor() + if turn < cap % spread { 1.0 } else { 0.0 };
            let before = (account.demand - units / window) * spread;
            let share = share.max(if before * each < cap * CALM { 1.0 } else { 0.0 });
            match counted {
                Counted::Total(total) if total > cap => {
                    c.add_hold(&owner, period, -1.0, Box::new(|_, _| ()));
                    return next(c, Err(total - cap));
                }
                Counted::Total(_) | Counted::Added => {
                    account.holds.insert(id, vec![period]);
                    let renewed = account.renewed.max(now);
                    if renewed > period {
                        c.count_in(&owner, renewed, vec![id]);
                    }
                }
                _ if account.holds.len() as f64 >= if unasked { cap } else { share } => {
                    return next(c, Err(1.0));
                }
                _ => drop(account.holds.insert(id, Vec::new())),
            }
            next(c, Ok(id));
        };
        if silent {
            return told(self, Counted::NotAdded);
        }
        self.add_hold(&customer, period, 1.0, Box::new(told));
    }

    /// Adds holds to a further period's name; those that ended before the answer are taken off again.
    fn count_in(&mut self, customer: &CustomerId, period: u64, ids: Vec<u64>) {
        let (owner, sum) = (customer.clone(), ids.len() as f64);
        let told = move |c: &mut Control, counted: Counted| {
            let account = c.accounts.entry(owner.clone()).or_default();
            let mut over = 0.0;
            for id in ids.into_iter().filter(|_| counted.total_or(0.0).is_some()) {
                match account.holds.get_mut(&id) {
                    Some(periods) => periods.push(period),
                    None => over += 1.0,
                }
            }
            if over > 0.0 {
                c.add_hold(&owner, period, -over, Box::new(|_, _| ()));
            }
        };
        self.add_hold(customer, period, sum, Box::new(told));
    }

    /// Step 4: before the period's edge the open holds go into the next name, once, uncounted ones too.
    fn renew(&mut self) {
        let holders = self.accounts.iter().filter(|(_, account)| !account.holds.is_empty());
        let holders: Vec<CustomerId> = holders.map(|(customer, _)| customer.clone()).collect();
        for customer in if self.may_call(SPARE) { holders } else { Vec::new() } {
            let next = self.stretch(&customer, PERIOD, self.now + RENEW_AHEAD).0;
            let account = self.accounts.get_mut(&customer).expect("listed above");
            let missing = account.holds.iter().filter(|hold| !hold.1.contains(&next));
            let ids: Vec<u64> = missing.map(|hold| *hold.0).collect();
            if account.renewed < next && !ids.is_empty() {
                account.renewed = next;
                self.count_in(&customer, next, ids);
            }
        }
    }

    /// Step 3: any end takes one off every live name in which the hold was counted, and off no other.
    fn release(&mut self, customer: &CustomerId, hold: u64) {
        let (now, silent) = (self.stretch(customer, PERIOD, self.now).0, self.skipping());
        let account = self.accounts.entry(customer.clone()).or_default();
        let periods = account.holds.remove(&hold).unwrap_or_default();
        for period in periods.into_iter().filter(|period| *period >= now && !silent) {
            self.add_hold(customer, period, -1.0, Box::new(|_, _| ()));
        }
    }

    // ---- the rate quota ----

    /// Takes the call's units from the block in hand, from a new block, or in silence from the even split.
    fn charge(&mut self, call: &CallId, next: Next<bool>) {
        let Some(Call { arrival, .. }) = self.calls.get(call) else { return next(self, false) };
        let (customer, plan, units) = (arrival.customer.clone(), arrival.plan.clone(), arrival.units);
        let (rate, burst, window) = self.terms(&plan);
        let recent = self.accounts.get(&customer).map_or(0.0, |account| account.demand);
        let cheap = self.cheap(arrival, (recent * window * AHEAD / units).max(1.0));
        let (now, scarce, silent) = (self.now, !self.may_call(SPARE), !self.may_call(cheap));
        // Never to be passed: such a customer's share starts empty and no calm one passes beyond it.
        let hard = self.facts.plan(&plan, "ceiling_rate") > 0.0;
        let account = self.accounts.entry(customer.clone()).or_default();
        if rate <= 0.0 {
            return next(self, true);
        }
        let full = burst / account.spread;
        let share = account.share.get_or_insert(TokenBucket { left: if hard { 0.0 } else { full }, at: now });
        let enough = share.pay(now, rate / account.spread, full.max(units), units);
        if account.block >= units {
            share.left = if enough { share.left } else { 0.0 };
            account.block -= units;
            return next(self, true);
        }
        if silent || (enough && scarce) {
            // A split over many gateways may be under a unit: who was calm before this call passes.
            let before = (account.demand - units / window) * account.spread;
            let enough = enough || (!hard && before < rate * CALM);
            self.calls.get_mut(call).expect("looked up above").unsure = true;
            self.bears.unsaid += if enough { units } else { 0.0 };
            return next(self, enough);
        }
        let again = call.clone();
        share.left += if enough { units } else { 0.0 };
        account.waiting.push(Box::new(move |c, more| match more {
            true => c.charge(&again, next),
            false => next(c, false),
        }));
        if account.waiting.len() == 1 {
            self.take(&customer, &plan, units);
        }
    }

    /// One add to the window's name takes a block; what the store cannot give goes back. The store is
    /// followed from the totals: they tell what all gateways took since.
    fn take(&mut self, customer: &CustomerId, plan: &PlanName, units: f64) {
        let plenty = self.may_call(SPARE);
        let (rate, burst, window) = self.terms(plan);
        let length = Duration::from_secs_f64(window);
        let (window, start) = self.stretch(customer, length, self.now);
        let (this, keep) = (CounterName(fixed_hash(&customer.0, 2, window)), length * 3);
        let owner = customer.clone();
        let account = self.accounts.entry(customer.clone()).or_default();
        let known = account.window > 0;
        if account.window != window {
            // A store followed through the last window goes on; one that was not is taken to be full.
            if account.window + 1 != window {
                (account.store, account.seen) = (burst, self.now);
            }
            (account.window, account.total) = (window, 0.0);
        }
        let (split, recent) = (burst / account.spread, account.demand * length.as_secs_f64());
        let usual = if known { split.min(recent) } else { split };
        let wanted = if plenty { usual } else { recent * AHEAD };
        let size = (wanted.max(units) - account.block).ceil();
        // Calls being scarce, an add also stands for what this gateway sent without one.
        let bears = &mut self.bears;
        let share = (bears.unsaid / bears.said.max(1.0)).min(10.0);
        let extra = if plenty { 0.0 } else { (size * share).round() };
        (bears.said, bears.unsaid) = (bears.said * 0.95 + size, bears.unsaid * 0.95);
        let told = move |c: &mut Control, counted: Counted| {
            let (now, thin, plenty) = (c.now, c.bears.thin >= THIN, c.may_call(SPARE));
            let account = c.accounts.entry(owner.clone()).or_default();
            let (mut more, mut back) = (true, 0.0);
            if let Some(total) = counted.total_or(account.total + size + extra) {
                account.follow(total - size - extra, now, rate, burst);
                let fits = account.store.floor().clamp(0.0, size);
                more = account.block + fits >= units;
                let fits = if more { fits } else { 0.0 };
                back = if plenty { size - fits } else { 0.0 };
                account.block += fits;
                account.store -= fits;
                account.total = total - back;
                if !more {
                    // What a refused add leaves there stands for units that were sent without a word.
                    c.bears.unsaid = (c.bears.unsaid - (size + extra - back)).max(0.0);
                    let short = (units - account.block - account.store) / rate;
                    let wait = Duration::from_secs_f64(short.clamp(0.01, length.as_secs_f64() * 0.5));
                    account.refused_until = if plenty || !thin { now + wait } else { start + length };
                }
            }
            if back > 0.0 {
                c.add(this, -back, keep, Box::new(|_, _| ()));
            }
            c.go_on(&owner, more);
        };
        self.add(this, size + extra, keep, Box::new(told));
    }

    /// Those that waited for a block are told whether it was given; silent, they turn to the even split.
    fn go_on(&mut self, customer: &CustomerId, more: bool) {
        for next in std::mem::take(&mut self.accounts.entry(customer.clone()).or_default().waiting) {
            next(self, more);
        }
    }

    /// How much of its full work a server can do by now, by its age.
    fn warmth(&self, server: &Server) -> f64 {
        let Some(start) = server.listed.started else { return 1.0 };
        let (from, span) = (self.facts.number("rules.cold_from"), self.facts.number("rules.cold").max(1e-9));
        (from + (1.0 - from) * self.now.saturating_sub(start).as_secs_f64() / span).min(1.0)
    }

    /// This gateway's share of what a cold server may be sent by all; none for a warm one, or without such a
    /// rule. A warm one bears what warm ones were seen to do, and one API call after another of the usual
    /// length at the least. Harm: before it has seen any, a gateway sends cold servers next to nothing.
    fn share(&self, server: &Server) -> Option<Share> {
        let (warmth, over) = (self.warmth(server), self.facts.span("rules.overload_for"));
        let multiple = self.facts.number("rules.fall_multiple");
        let users = self.gateways() * self.own.len() as f64 / self.ids.len().max(1) as f64;
        let usual = self.usual.values().sum::<f64>() / self.usual.len() as f64;
        let seen = self.fleet.done.0 / self.fleet.warm.max(1.0) * users;
        let bears = seen.max(1.0 / if usual > 0.0 { usual } else { 1.0 });
        let share = || Share::of(bears * warmth * multiple * COLD_SHARE, users, over);
        (warmth < 1.0 && multiple > 0.0 && !over.is_zero()).then(share)
    }

    /// Room for one more: the gateway's own limit, and for a cold server its share of the rule's budget.
    fn has_room(&self, server: &Server) -> bool {
        let fair = self.fleet.room / self.own.len().max(1) as f64 * self.warmth(server);
        let permitted = self.share(server).is_none_or(|share| server.ramp.permits_one(self.now, share));
        permitted && f64::from(server.open) < fair.max(1.0)
    }

    /// In overload what is worth least for its work goes first, before it costs counter calls. Load is the
    /// tries open against the room for them; worth is measured against its recent mean. Chance carries what
    /// is less than a try: one a gateway would jam servers that hundreds of gateways share.
    fn crowded(&mut self, call: &CallId) -> bool {
        let arrival = &self.calls[call].arrival;
        let value = self.value(arrival) / self.usual.get(&arrival.route).copied().unwrap_or(1.0).max(0.001);
        let used = (self.fleet.open + self.rng.generate::<f64>()) / self.fleet.room;
        let bar = (used - SHED_FROM) / (1.0 - SHED_FROM) * self.fleet.worth;
        self.fleet.worth += (value - self.fleet.worth) * 0.02;
        value < bar
    }

    /// The share of a route's tries that is lost anywhere.
    fn route_loss(&self, route: &RouteName) -> f64 {
        self.losses.get(route).map_or(0.0, |known| known.estimate(self.now, 0.0, ROUTE_PRIOR))
    }

    /// The share of the route's tries that this server is likely to lose. It is kept for each route, as a server
    /// may leave one unanswered and serve the others, and leans on what the route loses anywhere: where many
    /// servers are struck, one that is not known yet is less trusted than one that answers.
    fn loss(&self, server: &Server, route: &RouteName, anywhere: f64) -> f64 {
        let known = server.losses.get(route);
        known.map_or(anywhere, |known| known.estimate(self.now, anywhere, SERVER_PRIOR))
    }

    /// Load against ability; a loss costs all that a queue can cost and more.
    fn cost(&self, server: &Server, loss: f64) -> f64 {
        let able = server.listed.weight.max(0.1) * self.warmth(server);
        let kind = self.kinds.get(&server.listed.kind).copied().unwrap_or(1.0);
        let load = (f64::from(server.open) + 1.0) * kind * server.pace / able;
        load / (1.0 - loss.min(0.95)).powi(3)
    }

    /// Draws two servers that are able, looking through the whole list only where a few draws find fewer, and
    /// takes the one the node's own counts favour. With nothing open at both, as in a gateway of many, they
    /// say little: it goes by chance, in proportion, else all gateways crowd what looks a little better.
    fn draw(
        &self,
        rng: &mut WyRand,
        able: &dyn Fn(&Server) -> bool,
        last: Option<&ServerId>,
        route: &RouteName,
    ) -> Option<ServerId> {
        let (some, fits) =
            (!self.own.is_empty(), |id: &&ServerId| Some(*id) != last && able(&self.servers[*id]));
        let drawn = (0..DRAWS).filter(|_| some).map(|_| &self.own[rng.generate_range(0..self.own.len())]);
        let mut found: Vec<&ServerId> = drawn.filter(fits).collect();
        found.dedup();
        if found.len() < 2 {
            found = self.own.iter().filter(fits).collect();
            // Cold servers are shared out among those whose part they are.
            let others = |id: &&ServerId| self.warmth(&self.servers[*id]) >= 1.0 && fits(id);
            found = if found.is_empty() { self.ids.iter().filter(others).collect() } else { found };
            rng.shuffle(&mut found);
        }
        let anywhere = self.route_loss(route);
        let loss = |id: &ServerId| self.loss(&self.servers[id], route, anywhere);
        found.sort_by_key(|id| loss(id) > anywhere * SUSPECT.0 + SUSPECT.1);
        found.truncate(2);
        let again = || last.filter(|id| self.servers.get(*id).is_some_and(able));
        let [one, two] = found[..] else { return found.pop().or_else(again).cloned() };
        let cost = |id: &ServerId| self.cost(&self.servers[id], loss(id));
        let (first, second) = (cost(one), cost(two));
        let alike = self.servers[one].open + self.servers[two].open == 0;
        let chance = if alike { rng.generate::<f64>() } else { 0.5 };
        Some(if first * chance <= second * (1.0 - chance) { one } else { two }.clone())
    }

    /// The one place every upstream try passes: the rules on answers, effects, drains and cold servers.
    fn send(&mut self, call: CallId, customer: CustomerId, hold: u64) {
        let mut rng = self.rng.clone();
        let Some(asked) = self.calls.get(&call) else { return self.release(&customer, hold) };
        let (route, units) = (asked.arrival.route.clone(), asked.arrival.units);
        let left = self.patience(asked);
        let (repeat, group) = (self.facts.said(&route, "repeat"), self.facts.said(&route, "group"));
        let memory = self.facts.route_span(&route, "memory_span");
        // A repeat has to reach a server that knows the first by its token while that is remembered.
        let (whole_by, first) = match (&asked.ran, repeat) {
            (None, _) | (_, "idempotent") => (Duration::MAX, None),
            (Some(ran), "tokened") => ((ran.at + memory).saturating_sub(self.leeway()), Some(ran)),
            _ => (Duration::ZERO, None),
        };
        let harmless = |server: &Server| match (first, group) {
            _ if whole_by <= self.now => false,
            (None, _) | (_, "all") => true,
            (Some(ran), "zone") => ran.zone == server.listed.zone,
            (Some(ran), _) => ran.cell == server.listed.cell,
        };
        let able = |at: &Server| at.listed.phase == Phase::Ready && harmless(at) && self.has_room(at);
        let drawn = self.draw(&mut rng, &able, asked.last.as_ref(), &route);
        let (first, unsure, plan) = (asked.tries == 0, asked.unsure, asked.arrival.plan.clone());
        let barred = drawn.is_none() || left.is_zero() || asked.out.is_some();
        if barred || (first && !self.under_ceiling(&customer, &plan, units, unsure)) {
            self.release(&customer, hold);
            self.settle(&customer, if first { -units } else { 0.0 }, unsure);
            return self.answer(&call, RETRY_AFTER);
        }
        let (now, at) = (self.now, drawn.expect("else barred"));
        let share = self.share(&self.servers[&at]);
        // What is permitted now is not to arrive with later ones.
        let soon = share.map_or(Duration::MAX, |share| now + share.lapse / 2);
        let whole_by = whole_by.min(soon);
        let server = self.servers.get_mut(&at).expect("chosen from the list");
        self.rng = rng;
        let sent = Sent { at: now, zone: server.listed.zone.clone(), cell: server.listed.cell };
        (server.open, self.fleet.open) = (server.open + 1, self.fleet.open + 1.0);
        self.fleet.sends += 1.0;
        share.into_iter().for_each(|share| server.ramp.sent(now, share));
        let asked = self.calls.get_mut(&call).expect("looked up above");
        let (number, taken) = (TryNumber(asked.tries), asked.taken);
        (asked.tries, asked.out, asked.last) = (asked.tries + 1, Some(number), Some(at.clone()));
        self.port.send(&call, &at, left, whole_by);
        let key = (call.clone(), number);
        let over = move |c: &mut Control, end: Ended| {
            c.note_loss(&at, &route, &end);
            c.judge(&at, &route, &end);
            c.release(&customer, hold);
            c.settle(&customer, end.settled.map_or(0.0, |settled| settled - units), unsure);
            let came = !matches!(end.outcome, Outcome::NoConnection | Outcome::NotSent);
            match c.calls.get_mut(&call) {
                Some(asked) => asked.taken |= came,
                None if !came && !taken => c.settle(&customer, -units, unsure),
                None => (),
            }
            c.over(&call, sent, end);
        };
        self.tries.insert(key, Box::new(over));
    }

    /// A hard ceiling, kept by this gateway alone: its token bucket fills at the ceiling's rate, empty at a
    /// start since an earlier life may have spent it; a send without the counter's word counts for all gateways.
    fn under_ceiling(&mut self, customer: &CustomerId, plan: &PlanName, units: f64, unsure: bool) -> bool {
        let (rate, depth) = (self.facts.plan(plan, "ceiling_rate"), self.facts.plan(plan, "ceiling_burst"));
        let (now, start) = (self.now, TokenBucket { left: 0.0, at: self.started });
        let account = self.accounts.entry(customer.clone()).or_default();
        let price = if unsure { units * account.spread } else { units };
        rate <= 0.0 || account.ceiling.get_or_insert(start).pay(now, rate, depth, price)
    }

    /// How long an answer is still worth something.
    fn patience(&self, asked: &Call) -> Duration {
        let target = self.facts.route_span(&asked.arrival.route, "latency_target");
        // A target that is not stated is none.
        let late = self.facts.route(&asked.arrival.route, "late_worth") > 0.0 || target.is_zero();
        let until = asked.arrival.until.min(if late { Duration::MAX } else { asked.born + target });
        until.saturating_sub(self.now)
    }

    /// Moves the server's pace, distrust and room by how a try ended.
    fn judge(&mut self, server: &ServerId, route: &RouteName, end: &Ended) {
        let (took, now) = (end.latency.as_secs_f64(), self.now);
        let quick = took < self.facts.route(route, "latency_target") * QUICK;
        let grow = 1.0 / self.gateways();
        let all = self.servers.len() as f64;
        let fleet = &mut self.fleet;
        fleet.room = if fleet.room.is_finite() { fleet.room } else { ROOM * all * grow };
        // As in a window of tries: one round of answers moves the room by one whole step.
        let step = (ROUND / fleet.room).min(1.0);
        match end.outcome {
            Outcome::Proxied if quick && fleet.open > fleet.room * 0.6 => fleet.room += all * grow * step,
            Outcome::Proxied if quick => (),
            Outcome::ServerError | Outcome::Cancelled | Outcome::NotSent => (),
            _ => fleet.room *= 1.0 - 0.15 * step,
        }
        (fleet.open, fleet.room) = (fleet.open - 1.0, fleet.room.max(all * grow));
        let warm = self.servers.get(server).is_some_and(|server| self.warmth(server) >= 1.0);
        let usual = self.usual.entry(route.clone()).or_insert(took.max(0.001));
        let Some(server) = self.servers.get_mut(server) else { return };
        server.open = server.open.saturating_sub(1);
        if matches!(end.outcome, Outcome::Proxied | Outcome::TimedOut) {
            let (kind, pace) = (self.kinds.entry(server.listed.kind.clone()).or_insert(1.0), took / *usual);
            server.pace += ((pace / *kind).clamp(0.2, 10.0) - server.pace) * 0.1;
            *kind += (pace.clamp(0.2, 10.0) - *kind) * 0.05;
        }
        if end.outcome == Outcome::Proxied {
            // Its lower third, so that queues do not make quick routes look like much work.
            *usual *= if took > *usual { 1.01 } else { 0.98 };
            if warm {
                let faded = (-now.saturating_sub(self.fleet.done.1).as_secs_f64() / 10.0).exp();
                self.fleet.done = (self.fleet.done.0 * faded + 0.1, now);
            }
        }
    }

    /// A try was lost, or was not; what comes after the latency target is worth little or nothing. A server that
    /// can't be reached is so for every route.
    fn note_loss(&mut self, server: &ServerId, route: &RouteName, end: &Ended) {
        let target = self.facts.route_span(route, "latency_target");
        let lost = match end.outcome {
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Proxied if !target.is_zero() && end.latency > target => 1.0,
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken => 1.0,
            Outcome::ServerError => ERROR_LOSS,
            Outcome::Proxied | Outcome::TurnedAway => 0.0,
        };
        let now = self.now;
        self.losses.entry(route.clone()).or_insert_with(|| LossRate::new(LOSS_HALF)).add(now, lost);
        let Some(server) = self.servers.get_mut(server) else { return };
        server.losses.entry(route.clone()).or_insert_with(|| LossRate::new(LOSS_HALF)).add(now, lost);
        if matches!(end.outcome, Outcome::NoConnection | Outcome::Broken) {
            server.losses.values_mut().for_each(|known| known.add(now, lost));
        }
    }

    /// A guess is settled, and a call not sent gets its units back, against block or share.
    fn settle(&mut self, customer: &CustomerId, off: f64, unsure: bool) {
        let account = self.accounts.entry(customer.clone()).or_default();
        match account.share.as_mut().filter(|_| unsure) {
            Some(share) => share.left -= off,
            None => account.block -= off,
        }
    }

    /// A try is over: the API call is answered, or a further try is made as far as its route permits.
    fn over(&mut self, call: &CallId, sent: Sent, end: Ended) {
        let Some(asked) = self.calls.get_mut(call) else { return };
        asked.out = None;
        if end.closed {
            return drop(self.finish(call));
        }
        if !matches!(end.outcome, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent) {
            asked.ran.get_or_insert(sent);
        }
        let (tries, once) = (asked.tries, asked.ran.is_some());
        let (customer, route) = (asked.arrival.customer.clone(), asked.arrival.route.clone());
        let barred = once && !matches!(self.facts.said(&route, "repeat"), "idempotent" | "tokened");
        let late = self.patience(&self.calls[call]) < ms(50);
        let tried = f64::from(tries) >= self.facts.number("limits.max_attempts");
        if late || barred || tried || self.fleet.further < 1.0 {
            return self.answer(call, RETRY_AFTER);
        }
        self.fleet.further -= 1.0;
        let again = call.clone();
        let held = move |c: &mut Control, hold| match hold {
            Err(ahead) => c.answer(&again, c.until_free(&again, ahead)),
            Ok(hold) => c.send(again, customer, hold),
        };
        self.hold(call, Box::new(held));
    }

    /// The API call is over: a try that is out is given up. Where none has come to a server, its units go back.
    fn finish(&mut self, call: &CallId) -> Option<Call> {
        let asked = self.calls.remove(call)?;
        match asked.out {
            Some(number) if self.facts.flag("limits.cancelling") => self.port.cancel(call, number),
            None if asked.tries > 0 && !asked.taken => {
                self.settle(&asked.arrival.customer, -asked.arrival.units, asked.unsure);
            }
            _ => (),
        }
        Some(asked)
    }

    /// What a step may take beyond what it was reckoned with: the last moment lies so far ahead.
    fn leeway(&self) -> Duration {
        self.facts.span("resolution") * 2
    }

    /// Advice under a full cap: the calls ahead take the route's usual latency each. Where that is not known yet,
    /// as the design has it.
    fn until_free(&self, call: &CallId, ahead: f64) -> Duration {
        let route = self.calls.get(call).map(|asked| &asked.arrival.route);
        let usual = route.and_then(|route| self.usual.get(route)).copied().map(seconds);
        usual.unwrap_or(RETRY_AFTER).mul_f64(ahead.clamp(1.0, 99.0))
    }

    /// Advice to a customer whose store can't hold the units yet: when it will, as far as the totals have told.
    fn until_refill(&self, customer: &CustomerId) -> Duration {
        let until = self.accounts.get(customer).map_or(Duration::ZERO, |account| account.refused_until);
        if until > self.now {
            until - self.now
        } else {
            RETRY_AFTER
        }
    }

    /// The one final answer. Rate-limited where it is harmless to come again, else errored.
    fn answer(&mut self, call: &CallId, retry_after: Duration) {
        let Some(asked) = self.finish(call) else { return };
        let route = &asked.arrival.route;
        let harmless = match self.facts.said(route, "repeat") {
            "idempotent" => true,
            "tokened" if self.facts.said(route, "group") == "all" => true,
            _ => asked.out.is_none() && asked.ran.is_none(),
        };
        match harmless {
            true => self.port.rate_limit(call, retry_after.clamp(LEAST_RETRY_AFTER, LONGEST_RETRY_AFTER)),
            false => self.port.error(call),
        }
    }
}
