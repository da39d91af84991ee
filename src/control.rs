//! All decisions of one gateway. A carrier makes a `Control` with the settings, a seed and a `Port`, then
//! before each event tells it the time and hands the event over: `listed`, `arrived`, `counted`, `ended`,
//! `gone`, `woken` and so on. Control acts through the `Port`; `port.rs` describes both sides of it.
//!
//! An API call goes arrived -> hold (add 1 on the counter) -> charge (units from a block) -> send -> over ->
//! another hold or the answer. Each step leaves a closure (`Next`) that is handed the step's result.

use crate::port::*;
use crate::state::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Hold lifetime, the period of a holds' name, and how long before its edge the holds are renewed.
const PERIOD: Duration = ms(3000);
const RENEW_AHEAD: Duration = ms(100);
/// How long the counter is left alone after it fell silent, and after it turned a call away.
const SKIP: Duration = ms(15_000);
const CROWDED_SKIP: Duration = ms(3000);
/// Answers of the counter within this share of its time limit are prompt; how fast prompt answers speed the
/// calls up; the least calls a second; how many errors in a row are an outage.
const PROMPT: f64 = 0.25;
const SPEED_UP: f64 = 0.03;
const LEAST_PACE: f64 = 0.5;
const ERRORS: u32 = 3;
/// Advice: this much per call ahead, at most so much.
const ADVICE: Duration = ms(5000);
const LONGEST_ADVICE: Duration = ms(30_000);
const TICK: Duration = ms(50); // the one periodic timer
/// A customer asking for less than this share of its rate is taken to have left its store alone.
const CALM: f64 = 0.5;
/// From this share of the room in use on, API calls of little worth for their work are refused.
const SHED_FROM: f64 = 0.6;
/// A customer not heard of for this long is forgotten.
const FORGET: Duration = ms(60_000);
/// Distrust halves in this many seconds.
const DISTRUST_HALF: f64 = 4.0;
/// Tries open at a server to start with, over all gateways; the share of the latency target for answers.
const ROOM: f64 = 16.0;
const QUICK: f64 = 0.25;
/// The part of a cold server's budget that is used.
const COLD_SHARE: f64 = 0.4;
/// A further try is paid from this share of the API calls taken.
const TRY_SHARE: f64 = 0.2;

pub struct Control {
    facts: Facts,
    port: Box<dyn Port>,
    rng: WyRand,
    now: Duration,
    started: Duration,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    accounts: BTreeMap<CustomerId, Account>,
    /// What waits: for answers of the counter, for ends of upstream tries, for a time.
    counts: BTreeMap<CounterName, VecDeque<(Duration, Next<Counted>)>>,
    tries: BTreeMap<(CallId, TryNumber), Next<Ended>>,
    due: BTreeMap<(Duration, u64), Next<()>>,
    next_id: u64,
    next_tick: Duration,
    next_due: Duration,
    skip_until: Duration,
    /// What the counter bears: calls a second allowed to this gateway, how many are in hand, when that was
    /// last moved and cut, calls a second made, errors in a row.
    pace: f64,
    in_hand: f64,
    paced: Duration,
    slowed: Duration,
    calling: f64,
    errors: u32,
    /// Units of each plan counted on the counter, and sent without.
    told: BTreeMap<PlanName, (f64, f64)>,
    /// Usual latency of each route, in seconds.
    usual: BTreeMap<RouteName, f64>,
    /// Mean worth for work of recent API calls.
    worth: f64,
    value: f64,
    try_budget: f64,
    /// Answers a second from warm servers, fading over ten seconds, and when it was last faded.
    done: (f64, Duration),
}

impl Control {
    pub fn new(facts: Facts, seed: u64, now: Duration, port: Box<dyn Port>) -> Self {
        let mut control = Control {
            facts,
            port,
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
            pace: f64::INFINITY,
            in_hand: f64::INFINITY,
            paced: now,
            slowed: now,
            calling: 0.0,
            errors: 0,
            told: BTreeMap::new(),
            usual: BTreeMap::new(),
            worth: 0.0,
            value: 0.0,
            try_budget: 3.0,
            done: (0.0, now),
        };
        control.port.wake(TICK_TOKEN, control.next_tick);
        if control.facts.text("registry_mode") == "subscribe" {
            control.port.subscribe(true);
        }
        if !control.facts.flag("counter.present") {
            control.skip_until = Duration::MAX;
        }
        control
    }

    // ---- settings, picked where they are needed ----

    fn plan(&self, plan: &PlanName, what: &str) -> f64 {
        self.facts.number(&format!("plans.{}.{what}", plan.0))
    }

    fn route(&self, route: &RouteName, what: &str) -> f64 {
        self.facts.number(&format!("routes.{}.{what}", route.0))
    }

    fn said(&self, route: &RouteName, what: &str) -> &str {
        self.facts.text(&format!("routes.{}.{what}", route.0))
    }

    fn gateways(&self) -> f64 {
        self.facts.number("gateways").max(1.0)
    }

    /// The cap on upstream tries out at once; a plan that states none is counted under a generous one: all
    /// that its burst and two seconds of its rate could put out.
    fn cap(&self, plan: &PlanName) -> f64 {
        let (stated, burst, rate) =
            (self.plan(plan, "cap"), self.plan(plan, "burst"), self.plan(plan, "rate"));
        Some(stated).filter(|cap| *cap > 0.0).unwrap_or((burst + rate * 2.0).max(4.0).ceil())
    }

    // ---- events, each after the time was told ----

    pub fn tell_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// News of the server list: the whole of it, or changes only.
    pub fn listed(&mut self, whole: bool, lines: Vec<Listed>) {
        let now = self.now;
        if whole {
            self.servers.retain(|id, _| lines.iter().any(|line| line.server == *id));
        }
        for listed in lines {
            let (id, known) = (listed.server.clone(), self.servers.remove(&listed.server));
            let server = match known {
                _ if listed.phase == Phase::Gone => continue,
                Some(known) if known.listed.started == listed.started => Server { listed, ..known },
                known => Server {
                    listed,
                    open: known.map_or(0, |known| known.open),
                    pace: 1.0,
                    distrust: 0.0,
                    faded: now,
                    room: ROOM / self.gateways(),
                    cut: now,
                    sent: VecDeque::new(),
                },
            };
            self.servers.insert(id, server);
        }
    }

    /// A call for the server list failed or the subscription broke: it is asked for again.
    pub fn list_failed(&mut self) {
        self.at(self.now + ms(500), Box::new(|c, ()| c.port.subscribe(true)));
    }

    pub fn arrived(&mut self, arrival: Arrival) {
        let now = self.now;
        let (rate, burst) = (self.plan(&arrival.plan, "rate"), self.plan(&arrival.plan, "burst"));
        let rank = (self.facts.number("index") - f64::from(arrival.first)).rem_euclid(self.gateways());
        let account = self.accounts.entry(arrival.customer.clone()).or_default();
        (account.spread, account.rank) = (f64::from(arrival.spread.max(1)), rank);
        let window = if rate > 0.0 { burst / rate } else { 1.0 };
        let idle = now.saturating_sub(account.asked).as_secs_f64();
        account.demand = account.demand * (-idle / window).exp() + arrival.units / window;
        account.asked = now;
        let spent = account.refused_until > now;
        let value = self.value(&arrival);
        self.value += (value - self.value) * 0.05;
        self.try_budget = (self.try_budget + TRY_SHARE).min(10.0);
        let (call, timed) = (arrival.call.clone(), arrival.call.clone());
        let last = arrival.until.saturating_sub(self.facts.span("resolution") * 2).max(now);
        let fresh = Call { arrival, born: now, tries: 0, out: None, last: None, ran: None };
        self.calls.insert(call.clone(), fresh);
        self.at(last, Box::new(move |c, ()| c.answer(&timed, 1.0)));
        if spent || self.crowded(&call) {
            return self.answer(&call, 1.0);
        }
        let (asked, customer) = (call.clone(), self.calls[&call].arrival.customer.clone());
        self.hold(&call, Box::new(move |c, hold| c.held(asked, customer, hold)));
    }

    /// The first try's hold was taken or refused: only now units are charged.
    fn held(&mut self, call: CallId, customer: CustomerId, hold: Result<u64, f64>) {
        let hold = match hold {
            Ok(hold) => hold,
            Err(ahead) => return self.answer(&call, ahead),
        };
        let paid = call.clone();
        let charged = move |c: &mut Control, enough| match enough {
            true => c.send(paid, customer, hold),
            false => {
                c.release(&customer, hold);
                c.answer(&paid, 1.0);
            }
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
        if let Some(left) = self.calls.remove(call) {
            self.cancel(call, &left);
        }
    }

    /// The answer has begun to stream: the try belongs to the client, and no time limit runs on.
    pub fn streaming(&mut self, call: &CallId) {
        self.calls.remove(call);
    }

    pub fn woken(&mut self, token: WakeToken) {
        let now = self.now;
        if token == TICK_TOKEN && now >= self.next_tick {
            self.next_tick = now + TICK;
            self.port.wake(TICK_TOKEN, self.next_tick);
            self.renew();
            self.accounts.retain(|_, account| !account.holds.is_empty() || now < account.asked + FORGET);
        }
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            entry.remove()(self, ());
        }
        let next = self.due.keys().next().map_or(Duration::MAX, |(at, _)| *at);
        if token == DUE_TOKEN || next < self.next_due {
            self.next_due = next;
            if next < Duration::MAX {
                self.port.wake(DUE_TOKEN, next);
            }
        }
    }

    fn at(&mut self, when: Duration, next: Next<()>) {
        self.next_id += 1;
        self.due.insert((when, self.next_id), next);
        if when < self.next_due {
            self.next_due = when;
            self.port.wake(DUE_TOKEN, when);
        }
    }

    // ---- the counter ----

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

    /// Step 6, and what comes before it. A late answer or an error slows this gateway's calls to below what
    /// it made of late, good answers speed them up again; so many gateways share what the counter bears,
    /// without being told. Errors in a row are an outage: the counter is skipped. Harm: a counter slow for
    /// one gateway only is used less than it could be.
    fn feel(&mut self, took: Duration, counted: Counted) {
        let limit = self.facts.span("counter.counter_timeout");
        let good = matches!(counted, Counted::Total(_));
        self.errors = if good { 0 } else { self.errors + 1 };
        if good && took < limit.mul_f64(PROMPT) {
            self.pace *= 1.0 + SPEED_UP;
        } else if self.now >= self.slowed {
            self.refill();
            self.pace = (self.pace.min(self.calling) * if good { 0.9 } else { 0.6 }).max(LEAST_PACE);
            self.slowed = self.now + limit;
        }
        if self.errors >= ERRORS {
            let skip = if counted == Counted::NotAdded { CROWDED_SKIP } else { SKIP };
            if self.now >= self.skip_until {
                self.port.log(&format!("counter skipped for {skip:?}: {counted:?}"));
            }
            self.skip_until = self.skip_until.max(self.now + skip);
        }
    }

    /// Fades the measure of calls made and fills the calls in hand; returns the most there can be.
    fn refill(&mut self) -> f64 {
        let span = self.now.saturating_sub(self.paced).as_secs_f64();
        let most = f64::max(self.pace * 0.5, 4.0);
        self.calling *= (-span).exp();
        self.in_hand = (self.in_hand + span * self.pace).min(most);
        self.paced = self.now;
        most
    }

    /// Whether a call for an API call of this value may be made: the dearer it is, the fewer need to be in hand.
    fn afford(&mut self, value: f64) -> bool {
        let most = self.refill();
        let need = 1.0 + (most - 1.0) * (1.0 - value / self.value.max(1e-9)).clamp(0.0, 1.0);
        !self.skipping() && (self.pace.is_infinite() || self.in_hand >= need)
    }

    /// Whether calls that could be done without may be made.
    fn plenty(&mut self) -> bool {
        let most = self.refill();
        !self.skipping() && (self.pace.is_infinite() || self.in_hand >= most * 0.75)
    }

    fn value(&self, arrival: &Arrival) -> f64 {
        let price = self.plan(&arrival.plan, "price");
        self.route(&arrival.route, "billed_value") * price * arrival.units
    }

    fn add(&mut self, name: CounterName, add: f64, keep: Duration, next: Next<Counted>) {
        self.refill();
        self.in_hand -= 1.0;
        self.calling += 1.0;
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
    /// refused at its busy gateway.
    fn hold(&mut self, call: &CallId, next: Next<Result<u64, f64>>) {
        let arrival = &self.calls[call].arrival;
        let (customer, cap) = (arrival.customer.clone(), self.cap(&arrival.plan));
        // How long a unit of demand is out: the route's usual latency.
        let (value, rated, stated) =
            (self.value(arrival), self.plan(&arrival.plan, "rate") > 0.0, self.plan(&arrival.plan, "cap") > 0.0);
        let plan = arrival.plan.clone();
        let units = arrival.units;
        let window = if rated { self.plan(&plan, "burst") / self.plan(&plan, "rate") } else { 1.0 };
        let each = self.usual.get(&arrival.route).copied().unwrap_or(0.0) / arrival.units.max(1.0);
        let (owner, period) = (customer.clone(), self.stretch(&customer, PERIOD, self.now).0);
        self.next_id += 1;
        let id = self.next_id;
        let plenty = self.plenty();
        // Crowded, the units' name alone is asked where there is one, the holds' where not.
        let unasked = rated && !plenty && !self.skipping() && (self.afford(value) || !stated);
        let silent = unasked || !(plenty || self.afford(value));
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
                Counted::Total(_) => {
                    account.holds.insert(id, vec![period]);
                    let renewed = account.renewed.max(now);
                    if renewed > period {
                        c.count_in(&owner, renewed, vec![id]);
                    }
                }
                _ if unasked => drop(account.holds.insert(id, Vec::new())),
                _ if account.holds.len() as f64 >= share => return next(c, Err(1.0)),
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
        let told = move |c: &mut Control, counted| {
            let Counted::Total(_) = counted else { return };
            let account = c.accounts.entry(owner.clone()).or_default();
            let mut over = 0.0;
            for id in ids {
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
        for customer in if self.plenty() { holders } else { Vec::new() } {
            let next = self.stretch(&customer, PERIOD, self.now + RENEW_AHEAD).0;
            let account = self.accounts.get_mut(&customer).expect("listed above");
            let missing = account.holds.iter().filter(|(_, periods)| !periods.contains(&next));
            let ids: Vec<u64> = missing.map(|(id, _)| *id).collect();
            if account.renewed < next && !ids.is_empty() {
                account.renewed = next;
                self.count_in(&customer, next, ids);
            }
        }
    }

    /// Step 3: any end takes one off every live name in which the hold was counted, and off no other.
    fn release(&mut self, customer: &CustomerId, hold: u64) {
        let now = self.stretch(customer, PERIOD, self.now).0;
        let account = self.accounts.entry(customer.clone()).or_default();
        let periods = account.holds.remove(&hold).unwrap_or_default();
        for period in periods.into_iter().filter(|period| *period >= now) {
            if !self.skipping() {
                self.add_hold(customer, period, -1.0, Box::new(|_, _| ()));
            }
        }
    }

    // ---- the rate quota ----

    /// Takes the call's units from the block in hand, from a new block, or in silence from the even split.
    fn charge(&mut self, call: &CallId, next: Next<bool>) {
        let Some(Call { arrival, .. }) = self.calls.get(call) else { return next(self, false) };
        let (customer, plan, units) = (arrival.customer.clone(), arrival.plan.clone(), arrival.units);
        let (rate, burst) = (self.plan(&plan, "rate"), self.plan(&plan, "burst"));
        let value = self.value(arrival);
        let (now, silent) = (self.now, !self.afford(value));
        // The share starts from the followed store; one never followed starts empty under a hard ceiling.
        let hard = self.plan(&plan, "ceiling_rate") > 0.0;
        let account = self.accounts.entry(customer.clone()).or_default();
        if rate <= 0.0 || account.block >= units {
            account.block -= if rate > 0.0 { units } else { 0.0 };
            return next(self, true);
        }
        if silent {
            let full = burst / account.spread;
            let store = account.store + now.saturating_sub(account.seen).as_secs_f64() * rate;
            let known = (store / account.spread).clamp(0.0, full);
            let left = match (account.known, hard) {
                (true, _) => known,
                (false, true) => 0.0,
                (false, false) => full,
            };
            let share = account.share.get_or_insert(Purse { left, at: now });
            let enough = share.pay(now, rate / account.spread, full.max(units), units);
            // A split over many gateways may be under a unit: who was calm before this call passes.
            let before = (account.demand - units * rate / burst) * account.spread;
            let enough = enough || (!hard && before < rate * CALM);
            self.told.entry(plan).or_default().1 += if enough { units } else { 0.0 };
            return next(self, enough);
        }
        let again = call.clone();
        account.waiting.push(Box::new(move |c, more| match more {
            true => c.charge(&again, next),
            false => next(c, false),
        }));
        if account.waiting.len() == 1 {
            self.take(&customer, &plan, units);
        }
    }

    /// One add to the window's name takes a block; what the store cannot give goes back. The store is
    /// followed from the totals: they tell what all gateways took since. A new window reads the last.
    fn take(&mut self, customer: &CustomerId, plan: &PlanName, units: f64) {
        if self.skipping() {
            return self.go_on(customer, true);
        }
        let plenty = self.plenty();
        let (rate, burst) = (self.plan(plan, "rate"), self.plan(plan, "burst"));
        let length = Duration::from_secs_f64(burst / rate);
        let (window, start) = self.stretch(customer, length, self.now);
        let name = |window| CounterName(fixed_hash(&customer.0, 2, window));
        let (this, last, keep) = (name(window), name(window - 1), length * 3);
        let (owner, terms) = (customer.clone(), plan.clone());
        let account = self.accounts.entry(customer.clone()).or_default();
        let silence = account.share.take();
        if account.window != window {
            if account.window + 1 != window {
                let seen = if plenty { start.saturating_sub(length) } else { self.now };
                (account.store, account.total, account.seen) = (burst, 0.0, seen);
            }
            if let Some(share) = silence.filter(|_| plenty) {
                // What was left of the share in silence tells what the store may hold, if all fared alike.
                (account.store, account.seen) = ((share.left * account.spread).min(burst), share.at);
            }
            account.window = window;
            let calm = account.demand * account.spread < rate * CALM;
            let told = move |c: &mut Control, counted| {
                let account = c.accounts.entry(owner.clone()).or_default();
                let total = if let Counted::Total(total) = counted { total } else { account.total };
                account.follow(total, start.max(account.seen), rate, burst);
                account.total = 0.0;
                c.take(&owner, &terms, units);
            };
            return match calm || !plenty {
                true => told(self, Counted::NotAdded),
                false => self.add(last, 0.0, keep, Box::new(told)),
            };
        }
        let split = burst / account.spread;
        let wanted = if account.known { split.min(account.demand * length.as_secs_f64()) } else { split };
        account.known = true;
        let size = (wanted.max(units) - account.block).ceil();
        let entry = self.told.entry(plan.clone()).or_default();
        let extra = (size * entry.1 / entry.0.max(1.0)).min(size * 10.0).round();
        *entry = (entry.0 * 0.95 + size, entry.1 * 0.95);
        let extra = if plenty { 0.0 } else { extra };
        let told = move |c: &mut Control, counted| {
            let (now, plenty) = (c.now, c.plenty());
            let account = c.accounts.entry(owner.clone()).or_default();
            let (mut more, mut back) = (true, 0.0);
            if let Counted::Total(total) = counted {
                account.follow(total - size, now, rate, burst);
                let fits = account.store.floor().clamp(0.0, size);
                more = account.block + fits >= units;
                let fits = if more { fits } else { 0.0 };
                back = if plenty { size - fits } else { 0.0 };
                account.block += fits;
                account.store -= fits;
                account.total = total - back;
                if !more {
                    let short = (units - account.block - account.store) / rate;
                    account.refused_until =
                        now + Duration::from_secs_f64(short.clamp(0.01, length.as_secs_f64() * 0.5));
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

    // ---- sending ----

    /// How much of its full work a server can do by now, by its age.
    fn warmth(&self, server: &Server) -> f64 {
        let (from, span) = (self.facts.number("rules.cold_from"), self.facts.number("rules.cold"));
        let Some(start) = server.listed.started.filter(|_| span > 0.0) else { return 1.0 };
        (from + (1.0 - from) * self.now.saturating_sub(start).as_secs_f64() / span).min(1.0)
    }

    /// Room for one more: the gateway's own limit, and for a cold server its part of the rule's budget.
    fn has_room(&self, server: &Server) -> bool {
        let warmth = self.warmth(server);
        if warmth < 1.0 {
            let warm =
                self.servers.values().filter(|server| self.warmth(server) >= 1.0).count().max(1) as f64;
            let over = self.facts.span("rules.overload_for");
            let recent = server.sent.iter().filter(|at| **at + over > self.now).count() as f64;
            let usual = self.done.0 / warm * over.as_secs_f64();
            if recent >= (usual * warmth * self.facts.number("rules.fall_multiple") * COLD_SHARE).max(1.0) {
                return false;
            }
        }
        f64::from(server.open) < (server.room * warmth).max(1.0)
    }

    /// In overload what is worth least for its work goes first, before it costs counter calls. Load is the
    /// tries open against the room for them; worth is measured against its recent mean.
    fn crowded(&mut self, call: &CallId) -> bool {
        let arrival = &self.calls[call].arrival;
        let value = self.route(&arrival.route, "billed_value") * self.plan(&arrival.plan, "price");
        let value = value * arrival.units / self.usual.get(&arrival.route).copied().unwrap_or(1.0).max(0.001);
        let (mut open, mut room) = (0.0, 0.0);
        for server in self.servers.values().filter(|server| server.listed.phase == Phase::Ready) {
            open += f64::from(server.open);
            room += server.room * self.warmth(server);
        }
        let bar = (open / f64::max(room, 0.1) - SHED_FROM) / (1.0 - SHED_FROM) * self.worth;
        self.worth += (value - self.worth) * 0.02;
        value < bar
    }

    fn cost(&self, server: &ServerId) -> f64 {
        let server = &self.servers[server];
        let distrust = server.distrust_at(self.now, DISTRUST_HALF);
        let able = server.listed.weight.max(0.1) * self.warmth(server);
        (f64::from(server.open) + 1.0) * server.pace * (1.0 + distrust) / able
    }

    /// Draws two of the allowed servers and takes the one the node's own counts favour.
    fn choose(&mut self, allowed: &[ServerId]) -> ServerId {
        let one = self.rng.generate_range(0..allowed.len());
        let two = (one + self.rng.generate_range(1..allowed.len().max(2))) % allowed.len();
        let (one, two) = (&allowed[one], &allowed[two]);
        let better = if self.cost(one) <= self.cost(two) { one } else { two };
        better.clone()
    }

    /// The one place every upstream try passes: the rules on answers, effects, drains and cold servers.
    fn send(&mut self, call: CallId, customer: CustomerId, hold: u64) {
        let Some(asked) = self.calls.get(&call) else { return self.release(&customer, hold) };
        let (route, units) = (asked.arrival.route.clone(), asked.arrival.units);
        let left = self.patience(asked);
        let (repeat, group) = (self.said(&route, "repeat"), self.said(&route, "group"));
        let memory = Duration::from_secs_f64(self.route(&route, "memory_span"));
        let harmless = |server: &Server| match (&asked.ran, repeat) {
            (None, _) | (_, "idempotent") => true,
            (Some((when, first)), "tokened") if *when + memory > self.now + self.facts.span("resolution") => {
                group == "all"
                    || self.servers.get(first).is_some_and(|first| match group {
                        "zone" => first.listed.zone == server.listed.zone,
                        _ => first.listed.cell == server.listed.cell,
                    })
            }
            _ => false,
        };
        let able = |server: &&Server| {
            server.listed.phase == Phase::Ready && harmless(server) && self.has_room(server)
        };
        let mut allowed: Vec<ServerId> =
            self.servers.values().filter(able).map(|server| server.listed.server.clone()).collect();
        if allowed.len() > 1 {
            allowed.retain(|server| Some(server) != asked.last.as_ref());
        }
        let first = asked.tries == 0;
        let plan = asked.arrival.plan.clone();
        let barred = allowed.is_empty() || left.is_zero() || asked.out.is_some();
        if barred || (first && !self.under_ceiling(&customer, &plan, units)) {
            self.release(&customer, hold);
            self.settle(&customer, if first { -units } else { 0.0 });
            return self.answer(&call, 1.0);
        }
        let at = self.choose(&allowed);
        let now = self.now;
        let server = self.servers.get_mut(&at).expect("chosen from the list");
        server.open += 1;
        server.sent.push_back(now);
        server.sent.drain(..server.sent.len().saturating_sub(64));
        let asked = self.calls.get_mut(&call).expect("looked up above");
        let number = TryNumber(asked.tries);
        (asked.tries, asked.out, asked.last) = (asked.tries + 1, Some(number), Some(at.clone()));
        self.port.send(&call, &at, left);
        let key = (call.clone(), number);
        let over = move |c: &mut Control, end: Ended| {
            c.judge(&at, &route, &end);
            c.release(&customer, hold);
            c.settle(&customer, end.settled.map_or(0.0, |settled| settled - units));
            c.over(&call, (now, at), end);
        };
        self.tries.insert(key, Box::new(over));
    }

    /// A hard ceiling, kept by this gateway alone: its purse fills at the ceiling's rate, empty at a start
    /// since an earlier life may have spent it; in silence a send counts for all gateways.
    fn under_ceiling(&mut self, customer: &CustomerId, plan: &PlanName, units: f64) -> bool {
        let (rate, depth) = (self.plan(plan, "ceiling_rate"), self.plan(plan, "ceiling_burst"));
        let (now, started, silent) = (self.now, self.started, self.skipping());
        let account = self.accounts.entry(customer.clone()).or_default();
        let price = if silent { units * account.spread } else { units };
        rate <= 0.0
            || account.ceiling.get_or_insert(Purse { left: 0.0, at: started }).pay(now, rate, depth, price)
    }

    /// How long an answer is still worth something.
    fn patience(&self, asked: &Call) -> Duration {
        let target = Duration::from_secs_f64(self.route(&asked.arrival.route, "latency_target"));
        let worthless = self.route(&asked.arrival.route, "late_worth") <= 0.0;
        let until =
            if worthless { asked.arrival.until.min(asked.born + target) } else { asked.arrival.until };
        until.saturating_sub(self.now)
    }

    /// Moves the server's pace, distrust and room by how a try ended.
    fn judge(&mut self, server: &ServerId, route: &RouteName, end: &Ended) {
        let (took, now) = (end.latency.as_secs_f64(), self.now);
        let quick = took < self.route(route, "latency_target") * QUICK;
        let grow = 1.0 / self.gateways();
        let warm = self.servers.get(server).is_some_and(|server| self.warmth(server) >= 1.0);
        let usual = self.usual.entry(route.clone()).or_insert(took.max(0.001));
        let Some(server) = self.servers.get_mut(server) else { return };
        let busy = f64::from(server.open) > server.room * 0.6;
        server.open = server.open.saturating_sub(1);
        (server.distrust, server.faded) = (server.distrust_at(now, DISTRUST_HALF), now);
        let mut cut = 1.0;
        match end.outcome {
            Outcome::Proxied => {
                server.pace += ((took / *usual).clamp(0.2, 10.0) - server.pace) * 0.1;
                // Its lower third, so that queues do not make quick routes look like much work.
                *usual *= if took > *usual { 1.01 } else { 0.98 };
                if warm {
                    let faded = (-now.saturating_sub(self.done.1).as_secs_f64() / 10.0).exp();
                    self.done = (self.done.0 * faded + 0.1, now);
                }
                match quick {
                    true if busy => server.room += grow,
                    true => (),
                    false => cut = 0.9,
                }
            }
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken => {
                server.distrust += 2.0;
                cut = 0.7;
            }
            Outcome::ServerError => server.distrust += 0.5,
            Outcome::TurnedAway => cut = 0.7,
            Outcome::Cancelled | Outcome::NotSent => (),
        }
        if cut < 1.0 && now >= server.cut {
            server.room = (server.room * cut).max(grow);
            server.cut = now + ms(100);
        }
    }

    /// A guess is settled, and a call not sent gets its units back, against block or share.
    fn settle(&mut self, customer: &CustomerId, off: f64) {
        let account = self.accounts.entry(customer.clone()).or_default();
        match &mut account.share {
            Some(share) => share.left -= off,
            None => account.block -= off,
        }
    }

    /// A try is over: the API call is answered, or a further try is made as far as its route permits.
    fn over(&mut self, call: &CallId, sent: (Duration, ServerId), end: Ended) {
        if end.closed {
            self.calls.remove(call);
        }
        let Some(asked) = self.calls.get_mut(call) else { return };
        asked.out = None;
        if !matches!(end.outcome, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent) {
            asked.ran.get_or_insert(sent);
        }
        let (tries, once) = (asked.tries, asked.ran.is_some());
        let (customer, route) = (asked.arrival.customer.clone(), asked.arrival.route.clone());
        let barred = once && self.said(&route, "repeat") == "non-idempotent";
        let late = self.patience(&self.calls[call]) < ms(50);
        if late
            || barred
            || f64::from(tries) >= self.facts.number("limits.max_attempts")
            || self.try_budget < 1.0
        {
            return self.answer(call, 1.0);
        }
        self.try_budget -= 1.0;
        let again = call.clone();
        let held = move |c: &mut Control, hold| match hold {
            Err(ahead) => c.answer(&again, ahead),
            Ok(hold) => c.send(again, customer, hold),
        };
        self.hold(call, Box::new(held));
    }

    fn cancel(&mut self, call: &CallId, asked: &Call) {
        if let Some(number) = asked.out.filter(|_| self.facts.flag("limits.cancelling")) {
            self.port.cancel(call, number);
        }
    }

    /// The one final answer. Rate-limited where it is harmless to come again, else errored.
    fn answer(&mut self, call: &CallId, ahead: f64) {
        let Some(asked) = self.calls.remove(call) else { return };
        self.cancel(call, &asked);
        let route = &asked.arrival.route;
        let ran = asked.out.is_some() || asked.ran.is_some();
        match self.said(route, "repeat") {
            "tokened" if ran && self.said(route, "group") != "all" => self.port.error(call),
            "non-idempotent" if ran => self.port.error(call),
            _ => self.port.rate_limit(call, ADVICE.mul_f64(ahead.max(1.0)).min(LONGEST_ADVICE)),
        }
    }
}
