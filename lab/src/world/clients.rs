//! The emulated clients: accounts with plans, spread unevenly over the gateways, and the operations that they request.
//! The load is open-loop: operations arrive whether or not earlier ones have been answered.

use super::token_bucket::TokenBucket;
use crate::experiment::{Experiment, PlanConfig};
use nanorand::{Rng, WyRand};
use std::ops::Range;
use std::time::Duration;

/// The mean request rate of an account whose plan has no rate, in requests per second.
const UNLIMITED_PLAN_REQUESTS_PER_SECOND: f64 = 2.0;
/// The number of bits of a 64-bit random number that are dropped for an account name, which has 33 bits on the wire.
const UNUSED_NAME_BITS: u32 = 31;

/// A customer's account: its quota, and the gateways that its requests are spread over.
pub(crate) struct Account {
    /// Its name on the wire.
    pub(crate) name: u64,
    /// The index of its plan in the experiment.
    pub(crate) plan: usize,
    /// The index of the first gateway that receives its requests.
    pub(crate) first_gateway: usize,
    /// The number of consecutive gateways that receive its requests, starting from `first_gateway`.
    pub(crate) gateway_count: usize,
    /// The offset of the gateway that receives most of its requests, counted from `first_gateway` modulo
    /// `gateway_count`. Faults increase it.
    pub(super) busiest_offset: usize,
    /// Whether its clients wait for the retry-after time of a rejection.
    pub(super) honors_retry_after: bool,
    /// The platform's own meter of the quota, from which requests take units once they reach a server. No gateway sees
    /// it.
    pub(super) quota: TokenBucket,
    /// The number of its attempts in flight.
    pub(super) in_flight: f64,
    /// Requests per second, without faults.
    request_rate: f64,
    /// A second meter of the quota, from which all requested operations take units, whether or not they are forwarded.
    requested_quota: TokenBucket,
}

impl Account {
    fn new(experiment: &Experiment, plan: usize, request_rate: f64, rng: &mut WyRand) -> Account {
        let plan_config = &experiment.plans[plan];
        let gateways = experiment.fleet.gateways;
        // The results of a seed depend on the order of the draws.
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
            quota: TokenBucket::full(plan_config.rate, plan_config.burst),
            in_flight: 0.0,
            request_rate,
            requested_quota: TokenBucket::full(plan_config.rate, plan_config.burst),
        }
    }

    /// Returns whether `units` are left of its quota and another attempt is within its concurrency limit (0: no limit).
    pub(super) fn has_room(&mut self, now: Duration, units: f64, limit: f64) -> bool {
        self.quota.holds(now, units) && (limit <= 0.0 || self.in_flight < limit)
    }

    /// Returns whether `units` are left of its quota, and at least half of its burst and more than half of its
    /// concurrency limit (0: no limit) are unused.
    pub(super) fn has_half_room(&mut self, now: Duration, units: f64, limit: f64) -> bool {
        let half_burst = self.quota.depth() / 2.0;
        self.quota.holds(now, units.max(half_burst))
            && (limit <= 0.0 || self.in_flight < limit / 2.0)
    }
}

/// An operation that a client wants done. The client may send several requests for it.
pub(crate) struct Operation {
    /// The index of its account.
    pub(crate) account: u32,
    /// The index of its route in the experiment.
    pub(crate) route: usize,
    /// The units that its requests state.
    pub(crate) units: f64,
    /// The units that it actually takes.
    pub(super) true_units: f64,
    /// The work at a server, in seconds on a core of speed 1.
    pub(super) work: f64,
    /// Its idempotency key.
    pub(crate) key: u64,
    /// The number of retries that its client has sent or scheduled.
    pub(crate) retries: u32,
    /// Whether it was within its account's quota when it was first requested.
    pub(super) requested_within_quota: bool,
    /// Whether its latest forwarded request was within the quota.
    pub(super) forwarded_within_quota: bool,
    /// Whether it was answered with a value.
    pub(super) done: bool,
}

/// A period in which all plans, or one of them, send more requests.
pub(super) struct Surge {
    /// The index of the plan; `None` means all plans.
    pub(super) plan: Option<usize>,
    /// The start and the end of the period.
    pub(super) span: Range<Duration>,
    /// The factor on the request rate.
    pub(super) factor: f64,
    /// Whether the factor grows linearly from 1 over the period; otherwise it applies from the start.
    pub(super) grows: bool,
}

impl Surge {
    fn factor_at(&self, plan: usize, now: Duration) -> f64 {
        let is_affected = self.plan.is_none_or(|affected| affected == plan);
        if !is_affected || !self.span.contains(&now) {
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

/// A period in which requests arrive from accounts that were never seen before.
pub(super) struct AccountScan {
    /// The start and the end of the period.
    pub(super) span: Range<Duration>,
    /// The share of the requests that come from new accounts.
    pub(super) share: f64,
}

/// All accounts and operations, and the faults that change the clients' behaviour.
pub(super) struct Clients {
    /// Accounts, by their index.
    pub(super) accounts: Vec<Account>,
    /// Operations, by their id.
    pub(super) operations: Vec<Operation>,
    /// The factor of a fault on the smallest share of the client timeout that clients wait; 1 without a fault.
    pub(super) patience_factor: f64,
    /// The share of retries for which clients ignore the retry-after time because of a fault.
    pub(super) ignored_retry_after_share: f64,
    surges: Vec<Surge>,
    scans: Vec<AccountScan>,
    /// The running sums of the accounts' request rates, in requests per second.
    cumulative_rates: Vec<f64>,
    /// The running sums of the routes' shares.
    cumulative_route_shares: Vec<f64>,
    /// The product of all surge factors above 1. Arrivals are drawn for this highest rate and then thinned to the
    /// current one.
    peak_factor: f64,
    /// Draws arrivals, the choice of gateways and new accounts.
    arrival_rng: WyRand,
    /// Draws the properties of operations.
    work_rng: WyRand,
    /// The interval at which the busiest gateway of every account moves on by one, in seconds; 0 means never.
    shift_interval_seconds: f64,
    gateway_count: usize,
    max_units: u32,
    /// Whether the units that an operation takes differ from those that its requests state.
    settles_units: bool,
}

/// Returns the running sums.
fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums = Vec::new();
    for share in shares {
        sum += share;
        sums.push(sum);
    }
    sums
}

/// Draws an index with probabilities given by cumulative weights.
fn draw_index(cumulative_weights: &[f64], rng: &mut WyRand) -> usize {
    let total = cumulative_weights.last().copied().unwrap_or(0.0);
    let drawn = rng.generate::<f64>() * total;
    cumulative_weights
        .partition_point(|sum| *sum <= drawn)
        .min(cumulative_weights.len().saturating_sub(1))
}

/// Returns the mean units of a request. Units are drawn uniformly from 1 to `max_units`.
fn mean_units(max_units: u32) -> f64 {
    f64::from(1 + max_units) / 2.0
}

/// Draws the request rate of each account under a plan, in requests per second. The rates add up to the plan's share of
/// the load.
fn draw_account_rates(experiment: &Experiment, plan: &PlanConfig, rng: &mut WyRand) -> Vec<f64> {
    let load = &experiment.load;
    let share_sum: f64 = experiment.plans.iter().map(|each| each.share).sum();
    let plan_rate = load.request_rate * plan.share / share_sum.max(1e-9);
    let typical_rate = if plan.rate > 0.0 {
        plan.rate * load.typical_utilization / mean_units(load.max_units)
    } else {
        UNLIMITED_PLAN_REQUESTS_PER_SECOND
    };
    let min_count = if plan_rate > 0.0 { 1.0 } else { 0.0 };
    let count = (plan_rate / typical_rate).ceil().max(min_count) as usize;
    // Relative rates, uniform from 0.3 to 1.7.
    let relative_rates: Vec<f64> = (0..count)
        .map(|_| 0.3 + 1.4 * rng.generate::<f64>())
        .collect();
    let sum: f64 = relative_rates.iter().sum();
    let scale = plan_rate / sum;
    relative_rates
        .into_iter()
        .map(|relative| relative * scale)
        .collect()
}

/// Draws the accounts of all plans. A share of those with a rate is greedy and exceeds its quota.
fn draw_accounts(experiment: &Experiment, rng: &mut WyRand) -> Vec<Account> {
    let load = &experiment.load;
    let mut accounts = Vec::new();
    for (index, plan) in experiment.plans.iter().enumerate() {
        for drawn_rate in draw_account_rates(experiment, plan, rng) {
            let greedy = plan.rate > 0.0 && rng.generate::<f64>() < load.greedy_share;
            let rate = if greedy {
                plan.rate * load.greedy_factor / mean_units(load.max_units)
            } else {
                drawn_rate
            };
            accounts.push(Account::new(experiment, index, rate, rng));
        }
    }
    accounts
}

impl Clients {
    /// Creates the clients of an experiment with the random draws of `seed`.
    pub(super) fn new(experiment: &Experiment, seed: u64) -> Clients {
        let mut account_rng = WyRand::new_seed(seed ^ 0x61);
        let accounts = draw_accounts(experiment, &mut account_rng);
        let load = &experiment.load;
        Clients {
            cumulative_rates: cumulative(accounts.iter().map(|account| account.request_rate)),
            accounts,
            operations: Vec::new(),
            patience_factor: 1.0,
            ignored_retry_after_share: 0.0,
            surges: Vec::new(),
            scans: Vec::new(),
            cumulative_route_shares: cumulative(experiment.routes.iter().map(|it| it.share)),
            peak_factor: 1.0,
            arrival_rng: WyRand::new_seed(seed ^ 0xa1),
            work_rng: WyRand::new_seed(seed ^ 0x3b),
            shift_interval_seconds: load.shift_interval,
            gateway_count: experiment.fleet.gateways,
            max_units: load.max_units,
            settles_units: load.settles_units,
        }
    }

    /// Adds an account during the run, which has no request rate of its own, and returns its index.
    pub(super) fn add_new_account(&mut self, experiment: &Experiment, plan: usize) -> usize {
        let mut rng = WyRand::new_seed(self.arrival_rng.generate());
        let account = Account::new(experiment, plan, 0.0, &mut rng);
        self.accounts.push(account);
        self.accounts.len() - 1
    }

    /// Adds a surge. All surges must be added before the first arrival is drawn, because arrivals are drawn for the
    /// highest possible rate.
    pub(super) fn add_surge(&mut self, surge: Surge) {
        self.peak_factor *= surge.factor.max(1.0);
        self.surges.push(surge);
    }

    /// Adds a period in which requests arrive from new accounts.
    pub(super) fn add_scan(&mut self, scan: AccountScan) {
        self.scans.push(scan);
    }

    /// Returns the share of the requests that come from new accounts, or `None` outside of such periods.
    pub(super) fn scan_share(&self, now: Duration) -> Option<f64> {
        let scan = self.scans.iter().find(|scan| scan.span.contains(&now))?;
        Some(scan.share)
    }

    /// Draws when the next operation may arrive. [`Clients::draw_arrival`] then decides whether it does. Returns `None`
    /// if no account has a request rate.
    pub(super) fn draw_next_arrival(&mut self, now: Duration) -> Option<Duration> {
        let rate = self.cumulative_rates.last().copied().unwrap_or(0.0) * self.peak_factor;
        let drawn = 1.0 - self.arrival_rng.generate::<f64>();
        (rate > 0.0).then(|| now + Duration::from_secs_f64(-drawn.ln() / rate))
    }

    /// Draws the account whose operation arrives now, or `None` if this arrival is thinned out.
    pub(super) fn draw_arrival(&mut self, now: Duration) -> Option<usize> {
        let account = draw_index(&self.cumulative_rates, &mut self.arrival_rng);
        let plan = self.accounts[account].plan;
        let surges = self.surges.iter();
        let factor: f64 = surges.map(|surge| surge.factor_at(plan, now)).product();
        (self.arrival_rng.generate::<f64>() * self.peak_factor < factor).then_some(account)
    }

    /// Adds a new operation of an account with a drawn route and drawn units, and returns its index.
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

    /// Adds a new operation of an account that states `units`, and returns its index.
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
        // The work varies uniformly from 0.4 to 1.6 of what the route and the stated units take on average. The units
        // taken vary uniformly from 0.6 to 1.4 of the stated ones, before they are rounded and limited.
        let work = route_work * (0.4 + 1.2 * drawn_size) * units / mean_units(self.max_units);
        let true_units = if self.settles_units {
            (units * (0.6 + 0.8 * drawn_error)).round().max(1.0)
        } else {
            units
        };
        let true_units = true_units.min(f64::from(self.max_units));
        let requested_within_quota = self.accounts[account].requested_quota.take(now, true_units);
        self.operations.push(Operation {
            account: account as u32,
            route,
            units,
            true_units,
            work,
            key: self.work_rng.generate(),
            retries: 0,
            requested_within_quota,
            forwarded_within_quota: false,
            done: false,
        });
        self.operations.len() - 1
    }

    /// Draws the order in which an account prefers its gateways for its next request. Half of its requests prefer its
    /// busiest gateway, half of the others the next one, and so on; the last one gets the rest.
    pub(super) fn draw_gateway_order(&mut self, account: usize, now: Duration) -> Vec<usize> {
        let account = &self.accounts[account];
        let shifts = if self.shift_interval_seconds > 0.0 {
            (now.as_secs_f64() / self.shift_interval_seconds) as usize
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
