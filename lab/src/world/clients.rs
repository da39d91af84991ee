//! Clients: accounts under plans, spread unevenly over the gateways, what they want and when. Arrivals wait for
//! nobody's answer.

use super::token_bucket::TokenBucket;
use crate::experiment::{Experiment, PlanConfig};
use nanorand::{Rng, WyRand};
use std::ops::Range;
use std::time::Duration;

/// Requests a second of the usual account under a plan without a rate.
const REQUESTS_WITHOUT_RATE: f64 = 2.0;
/// Account names have 33 bits on the wire: so many of 64 are dropped.
const UNUSED_NAME_BITS: u32 = 31;

/// A customer's account.
pub(crate) struct Account {
    /// Its name on the wire.
    pub(crate) name: u64,
    /// Index of its plan.
    pub(crate) plan: usize,
    /// The first of its gateways.
    pub(crate) first_gateway: usize,
    /// How many gateways it comes through, from the first on.
    pub(crate) gateway_count: usize,
    /// By how many gateways its busiest one has moved on.
    pub(super) busiest_offset: usize,
    /// Whether its clients wait for as long as a rejection says.
    pub(super) honors_retry_after: bool,
    /// The true meter of what has reached servers for it, which no gateway sees.
    pub(super) quota: TokenBucket,
    /// Attempts in flight for it.
    pub(super) in_flight: f64,
    /// Requests a second, before any fault.
    request_rate: f64,
    /// What it may want, whether or not that is forwarded.
    entitlement: TokenBucket,
}

impl Account {
    fn new(experiment: &Experiment, plan: usize, request_rate: f64, rng: &mut WyRand) -> Account {
        let terms = &experiment.plans[plan];
        let gateways = experiment.fleet.gateways;
        // The order of the draws is part of what a seed means.
        let name = rng.generate::<u64>() >> UNUSED_NAME_BITS;
        let first_gateway = rng.generate_range(0..gateways);
        let busiest_offset = rng.generate_range(0..16usize);
        let honors_retry_after = rng.generate::<f64>() < experiment.load.retry_after_compliance;
        Account {
            name,
            plan,
            first_gateway,
            gateway_count: experiment.load.gateways_per_account.min(gateways),
            busiest_offset,
            honors_retry_after,
            quota: TokenBucket::full(terms.rate, terms.burst),
            in_flight: 0.0,
            request_rate,
            entitlement: TokenBucket::full(terms.rate, terms.burst),
        }
    }

    /// Whether so many units would fit its quota, and its concurrency limit, if it has one, leaves an attempt.
    pub(super) fn has_room(&mut self, now: Duration, units: f64, limit: f64) -> bool {
        self.quota.holds(now, units) && (limit <= 0.0 || self.in_flight < limit)
    }

    /// Whether so many units would fit its quota, and half of its burst and concurrency limit is unused.
    pub(super) fn has_half_room(&mut self, now: Duration, units: f64, limit: f64) -> bool {
        let half_burst = self.quota.depth() / 2.0;
        self.quota.holds(now, units.max(half_burst))
            && (limit <= 0.0 || self.in_flight < limit / 2.0)
    }
}

/// What a client wants done, however many requests it sends for it.
pub(crate) struct Operation {
    /// Index of its account.
    pub(crate) account: u32,
    /// Index of its route.
    pub(crate) route: usize,
    /// Units that its requests ask for.
    pub(crate) units: f64,
    /// Units that it truly takes.
    pub(super) true_units: f64,
    /// Seconds of a core of speed 1.
    pub(super) work: f64,
    /// Its idempotency key.
    pub(crate) key: u64,
    /// Retries that its client has made or scheduled.
    pub(crate) retries: u32,
    /// It fitted its account's quota when it was first wanted.
    pub(super) entitled: bool,
    /// Its latest request to be forwarded was within the quota.
    pub(super) within_quota: bool,
    /// It was answered with a value.
    pub(super) done: bool,
}

/// More requests of all plans, or of one, for a while.
pub(super) struct Surge {
    /// Index of the plan; none: all of them.
    pub(super) plan: Option<usize>,
    /// From when to when.
    pub(super) span: Range<Duration>,
    /// So many times the requests.
    pub(super) factor: f64,
    /// The factor grows from 1 over the span, and does not hold from its start.
    pub(super) grows: bool,
}

impl Surge {
    fn factor_at(&self, plan: usize, now: Duration) -> f64 {
        let concerned = self.plan.is_none_or(|surging| surging == plan);
        if !concerned || !self.span.contains(&now) {
            return 1.0;
        }
        if !self.grows {
            return self.factor;
        }
        let elapsed = (now - self.span.start).as_secs_f64();
        let length = (self.span.end - self.span.start).as_secs_f64();
        1.0 + (self.factor - 1.0) * (elapsed / length)
    }
}

/// A time in which accounts arrive that were never seen before.
pub(super) struct AccountScan {
    /// From when to when.
    pub(super) span: Range<Duration>,
    /// Share of the requests that come from them.
    pub(super) share: f64,
}

/// All accounts, their operations, and what faults make of their behaviour.
pub(super) struct Clients {
    /// Accounts by their index.
    pub(super) accounts: Vec<Account>,
    /// Operations by their id.
    pub(super) operations: Vec<Operation>,
    /// Part of its time that a client waits at least; 1: all clients wait for all of it.
    pub(super) patience: f64,
    /// Share of the clients that ignore for how long a rejection asks them to wait.
    pub(super) ignoring_share: f64,
    surges: Vec<Surge>,
    scans: Vec<AccountScan>,
    /// Requests a second, summed up over the accounts in their order.
    cumulative_rates: Vec<f64>,
    /// Shares of the routes, summed up in their order.
    cumulative_route_shares: Vec<f64>,
    /// The product of all surges: arrivals are drawn for it, and thinned out.
    peak_factor: f64,
    arrival_rng: WyRand,
    work_rng: WyRand,
    /// Seconds after which the busiest gateway of an account moves on; 0: never.
    shift_seconds: f64,
    gateway_count: usize,
    max_units: u32,
    /// True units differ from those that requests ask for.
    settles_units: bool,
}

/// Running sums.
fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums = Vec::new();
    for share in shares {
        sum += share;
        sums.push(sum);
    }
    sums
}

/// Draws an index by cumulative weights.
fn draw_index(cumulative_weights: &[f64], rng: &mut WyRand) -> usize {
    let total = cumulative_weights.last().copied().unwrap_or(0.0);
    let drawn = rng.generate::<f64>() * total;
    cumulative_weights
        .partition_point(|sum| *sum <= drawn)
        .min(cumulative_weights.len().saturating_sub(1))
}

/// Mean units of a request: they are drawn from 1 to the largest.
fn mean_units(max_units: u32) -> f64 {
    f64::from(1 + max_units) / 2.0
}

/// Requests a second of each account under a plan.
fn draw_account_rates(experiment: &Experiment, plan: &PlanConfig, rng: &mut WyRand) -> Vec<f64> {
    let load = &experiment.load;
    let all_shares: f64 = experiment.plans.iter().map(|each| each.share).sum();
    let plan_rate = load.request_rate * plan.share / all_shares.max(1e-9);
    let usual_rate = if plan.rate > 0.0 {
        plan.rate * load.typical_utilization / mean_units(load.max_units)
    } else {
        REQUESTS_WITHOUT_RATE
    };
    let least = if plan_rate > 0.0 { 1.0 } else { 0.0 };
    let count = (plan_rate / usual_rate).ceil().max(least) as usize;
    let drawn: Vec<f64> = (0..count)
        .map(|_| 0.3 + 1.4 * rng.generate::<f64>())
        .collect();
    let sum: f64 = drawn.iter().sum();
    let scale = plan_rate / sum;
    drawn.into_iter().map(|share| share * scale).collect()
}

fn draw_accounts(experiment: &Experiment, rng: &mut WyRand) -> Vec<Account> {
    let load = &experiment.load;
    let mut accounts = Vec::new();
    for (index, plan) in experiment.plans.iter().enumerate() {
        for usual_rate in draw_account_rates(experiment, plan, rng) {
            let greedy = plan.rate > 0.0 && rng.generate::<f64>() < load.greedy_share;
            let rate = if greedy {
                plan.rate * load.greedy_factor / mean_units(load.max_units)
            } else {
                usual_rate
            };
            accounts.push(Account::new(experiment, index, rate, rng));
        }
    }
    accounts
}

impl Clients {
    /// The accounts of an experiment, as a seed draws them.
    pub(super) fn new(experiment: &Experiment, seed: u64) -> Clients {
        let mut account_rng = WyRand::new_seed(seed ^ 0x61);
        let accounts = draw_accounts(experiment, &mut account_rng);
        let load = &experiment.load;
        Clients {
            cumulative_rates: cumulative(accounts.iter().map(|account| account.request_rate)),
            accounts,
            operations: Vec::new(),
            patience: 1.0,
            ignoring_share: 0.0,
            surges: Vec::new(),
            scans: Vec::new(),
            cumulative_route_shares: cumulative(experiment.routes.iter().map(|it| it.share)),
            peak_factor: 1.0,
            arrival_rng: WyRand::new_seed(seed ^ 0xa1),
            work_rng: WyRand::new_seed(seed ^ 0x3b),
            shift_seconds: load.shift_interval,
            gateway_count: experiment.fleet.gateways,
            max_units: load.max_units,
            settles_units: load.settles_units,
        }
    }

    /// Adds an account that was never seen before; returns its index.
    pub(super) fn add_new_account(&mut self, experiment: &Experiment, plan: usize) -> usize {
        let mut rng = WyRand::new_seed(self.arrival_rng.generate());
        let account = Account::new(experiment, plan, 0.0, &mut rng);
        self.accounts.push(account);
        self.accounts.len() - 1
    }

    /// A surge that will be; known from the start, so that arrivals are drawn for the highest load there is.
    pub(super) fn expect_surge(&mut self, surge: Surge) {
        self.peak_factor *= surge.factor.max(1.0);
        self.surges.push(surge);
    }

    /// A time in which new accounts arrive.
    pub(super) fn expect_scan(&mut self, scan: AccountScan) {
        self.scans.push(scan);
    }

    /// Share of the requests that come from new accounts, if there are any now.
    pub(super) fn scan_share(&self, now: Duration) -> Option<f64> {
        let scan = self.scans.iter().find(|scan| scan.span.contains(&now))?;
        Some(scan.share)
    }

    /// When the next operation may arrive; whether one does is for [`Clients::draw_arrival`].
    pub(super) fn draw_next_arrival(&mut self, now: Duration) -> Option<Duration> {
        let rate = self.cumulative_rates.last().copied().unwrap_or(0.0) * self.peak_factor;
        let drawn = 1.0 - self.arrival_rng.generate::<f64>();
        (rate > 0.0).then(|| now + Duration::from_secs_f64(-drawn.ln() / rate))
    }

    /// The account whose operation arrives now, if one does.
    pub(super) fn draw_arrival(&mut self, now: Duration) -> Option<usize> {
        let account = draw_index(&self.cumulative_rates, &mut self.arrival_rng);
        let plan = self.accounts[account].plan;
        let surges = self.surges.iter();
        let factor: f64 = surges.map(|surge| surge.factor_at(plan, now)).product();
        (self.arrival_rng.generate::<f64>() * self.peak_factor < factor).then_some(account)
    }

    /// A new operation of an account, of a drawn route and size; returns its index.
    pub(super) fn draw_operation(
        &mut self,
        now: Duration,
        account: usize,
        experiment: &Experiment,
    ) -> usize {
        let route = draw_index(&self.cumulative_route_shares, &mut self.work_rng);
        let units = f64::from(self.work_rng.generate_range(1..=self.max_units));
        self.add_operation(now, account, route, units, experiment)
    }

    /// A new operation of an account; returns its index.
    pub(super) fn add_operation(
        &mut self,
        now: Duration,
        account: usize,
        route: usize,
        units: f64,
        experiment: &Experiment,
    ) -> usize {
        let drawn_size = self.work_rng.generate::<f64>();
        let drawn_error = self.work_rng.generate::<f64>();
        let route_work = experiment.routes[route].work_ms / 1e3;
        let work = route_work * (0.4 + 1.2 * drawn_size) * units / mean_units(self.max_units);
        let true_units = if self.settles_units {
            (units * (0.6 + 0.8 * drawn_error)).round().max(1.0)
        } else {
            units
        };
        let true_units = true_units.min(f64::from(self.max_units));
        let entitled = self.accounts[account].entitlement.take(now, true_units);
        self.operations.push(Operation {
            account: account as u32,
            route,
            units,
            true_units,
            work,
            key: self.work_rng.generate(),
            retries: 0,
            entitled,
            within_quota: false,
            done: false,
        });
        self.operations.len() - 1
    }

    /// The gateways of an account in the order in which it would use them for its next request: half of its
    /// requests go to the busiest, half of the rest to the next, and so on.
    pub(super) fn draw_gateway_order(&mut self, account: usize, now: Duration) -> Vec<usize> {
        let account = &self.accounts[account];
        let shifts = if self.shift_seconds > 0.0 {
            (now.as_secs_f64() / self.shift_seconds) as usize
        } else {
            0
        };
        let busiest = account.busiest_offset + shifts;
        let count = account.gateway_count;
        let mut preferred = 0;
        while preferred + 1 < count && self.arrival_rng.generate::<f64>() < 0.5 {
            preferred += 1;
        }
        let start = busiest + preferred;
        (0..count)
            .map(|step| {
                let offset = (start + step) % count;
                (account.first_gateway + offset) % self.gateway_count
            })
            .collect()
    }
}
