//! Clients: accounts under plans, spread unevenly over gateways; what they ask, when they come again. Arrivals
//! wait for nobody's answer.

use super::token_bucket::TokenBucket;
use crate::experiment::Experiment;
use nanorand::{Rng, WyRand};
use std::time::Duration;

pub struct Account {
    pub name: u64,
    pub plan: usize,
    pub first: usize,
    pub spread: usize,
    /// API calls a second, before any trouble.
    pub calls: f64,
    /// By how much its busiest gateway has moved on.
    pub moved: usize,
    /// Whether its clients come when they are told to.
    pub heeds: bool,
    /// What it may ask, and what was sent on for it: the truth that no gateway sees.
    pub entitled: TokenBucket,
    pub sent: TokenBucket,
    /// Upstream tries out at once.
    pub out: f64,
}

/// What a client wants, whatever number of times it asks for it.
pub struct Operation {
    pub account: u32,
    pub route: usize,
    pub units: f64,
    pub true_units: f64,
    /// Seconds of a core of speed 1.
    pub work: f64,
    pub key: u64,
    pub retries: u32,
    /// It fitted its quota when it first came.
    pub inside: bool,
    /// It was sent on within the quota.
    pub within: bool,
    pub done: bool,
    pub earned: bool,
}

/// Surges and their like, as factors on arrivals.
#[derive(Default)]
pub struct Pressure {
    pub surges: Vec<Surge>,
    pub patience: f64,
    pub heedless: f64,
}

/// More API calls of all plans, or of one, for a while; all at once, or growing up to the factor.
pub struct Surge {
    pub plan: Option<usize>,
    pub from: Duration,
    pub to: Duration,
    pub factor: f64,
    pub grows: bool,
}

impl Surge {
    fn at(&self, plan: usize, now: Duration) -> f64 {
        if self.plan.is_some_and(|it| it != plan) || now < self.from || now >= self.to {
            return 1.0;
        }
        if !self.grows {
            return self.factor;
        }
        let done = (now - self.from).as_secs_f64() / (self.to - self.from).as_secs_f64();
        1.0 + (self.factor - 1.0) * done
    }
}

pub struct Clients {
    pub accounts: Vec<Account>,
    pub operations: Vec<Operation>,
    pub pressure: Pressure,
    /// Cumulative API calls a second by account.
    weights: Vec<f64>,
    routes: Vec<f64>,
    peak: f64,
    arrivals: WyRand,
    work: WyRand,
    shift_every: f64,
    gateways: usize,
    units_top: u32,
    settles: bool,
}

fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    shares
        .scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        })
        .collect()
}

fn pick(weights: &[f64], rng: &mut WyRand) -> usize {
    let all = weights.last().copied().unwrap_or(0.0);
    let at = rng.generate::<f64>() * all;
    weights
        .partition_point(|sum| *sum <= at)
        .min(weights.len().saturating_sub(1))
}

impl Clients {
    pub fn new(terms: &Experiment, seed: u64) -> Clients {
        let mut rng = WyRand::new_seed(seed ^ 0x61);
        let load = &terms.load;
        let all: f64 = terms.plans.iter().map(|plan| plan.share).sum();
        let units = f64::from(1 + load.units_top) / 2.0;
        let mut accounts = Vec::new();
        for (place, plan) in terms.plans.iter().enumerate() {
            let wanted = load.calls * plan.share / all.max(1e-9);
            // Without a rate an account asks about twice a second.
            let usual = if plan.rate > 0.0 {
                plan.rate * load.use_usual / units
            } else {
                2.0
            };
            let count = (wanted / usual)
                .ceil()
                .max(if wanted > 0.0 { 1.0 } else { 0.0 });
            let mut drawn: Vec<f64> = (0..count as usize)
                .map(|_| 0.3 + 1.4 * rng.generate::<f64>())
                .collect();
            let sum: f64 = drawn.iter().sum();
            drawn.iter_mut().for_each(|share| *share *= wanted / sum);
            for calls in drawn {
                let greedy = plan.rate > 0.0 && rng.generate::<f64>() < load.greedy_share;
                let calls = if greedy {
                    plan.rate * load.greedy_factor / units
                } else {
                    calls
                };
                accounts.push(Clients::account(terms, place, calls, &mut rng));
            }
        }
        let weights = cumulative(accounts.iter().map(|account| account.calls));
        Clients {
            weights,
            accounts,
            operations: Vec::new(),
            pressure: Pressure {
                surges: Vec::new(),
                patience: 1.0,
                heedless: 0.0,
            },
            routes: cumulative(terms.routes.iter().map(|route| route.share)),
            peak: 1.0,
            arrivals: WyRand::new_seed(seed ^ 0xa1),
            work: WyRand::new_seed(seed ^ 0x3b),
            shift_every: load.shift_every,
            gateways: terms.fleet.gateways,
            units_top: load.units_top,
            settles: load.settles,
        }
    }

    fn account(terms: &Experiment, plan: usize, calls: f64, rng: &mut WyRand) -> Account {
        let it = &terms.plans[plan];
        Account {
            // Names have 33 bits on the wire.
            name: rng.generate::<u64>() >> 31,
            plan,
            first: rng.generate_range(0..terms.fleet.gateways),
            spread: terms.load.spread.min(terms.fleet.gateways),
            calls,
            moved: rng.generate_range(0..16usize),
            heeds: rng.generate::<f64>() < terms.load.heeds,
            entitled: TokenBucket::full(it.rate, it.burst),
            sent: TokenBucket::full(it.rate, it.burst),
            out: 0.0,
        }
    }

    /// An account that comes once.
    pub fn stranger(&mut self, terms: &Experiment, plan: usize) -> usize {
        let mut rng = WyRand::new_seed(self.arrivals.generate());
        self.accounts
            .push(Clients::account(terms, plan, 0.0, &mut rng));
        self.accounts.len() - 1
    }

    /// A surge that will be; known from the start, so that arrivals are drawn for the highest load there is.
    pub fn expect(&mut self, surge: Surge) {
        self.peak *= surge.factor.max(1.0);
        self.pressure.surges.push(surge);
    }

    /// When the next API call may come; whether one does is for `arrives`.
    pub fn next(&mut self, now: Duration) -> Option<Duration> {
        let rate = self.weights.last().copied().unwrap_or(0.0) * self.peak;
        let draw = 1.0 - self.arrivals.generate::<f64>();
        (rate > 0.0).then(|| now + Duration::from_secs_f64(-draw.ln() / rate))
    }

    /// The account that asks now, if one does.
    pub fn arrives(&mut self, now: Duration) -> Option<usize> {
        let account = pick(&self.weights, &mut self.arrivals);
        let plan = self.accounts[account].plan;
        let factor: f64 = self
            .pressure
            .surges
            .iter()
            .map(|surge| surge.at(plan, now))
            .product();
        (self.arrivals.generate::<f64>() * self.peak < factor).then_some(account)
    }

    /// Something new that an account wants.
    pub fn want(&mut self, now: Duration, account: usize, terms: &Experiment) -> usize {
        let route = pick(&self.routes, &mut self.work);
        let units = f64::from(self.work.generate_range(1..=self.units_top));
        self.wants(now, account, route, units, terms)
    }

    pub fn wants(
        &mut self,
        now: Duration,
        account: usize,
        route: usize,
        units: f64,
        terms: &Experiment,
    ) -> usize {
        let (size, off) = (self.work.generate::<f64>(), self.work.generate::<f64>());
        let mean = f64::from(1 + self.units_top) / 2.0;
        let work = terms.routes[route].work_ms / 1e3 * (0.4 + 1.2 * size) * units / mean;
        let true_units = if self.settles {
            (units * (0.6 + 0.8 * off)).round().max(1.0)
        } else {
            units
        };
        let top = f64::from(self.units_top);
        let inside = self.accounts[account]
            .entitled
            .pay(now, true_units.min(top));
        self.operations.push(Operation {
            account: account as u32,
            route,
            units,
            true_units: true_units.min(top),
            work,
            key: self.work.generate(),
            retries: 0,
            inside,
            within: false,
            done: false,
            earned: false,
        });
        self.operations.len() - 1
    }

    /// The gateways of an account in the order in which it would use them for its next API call: half of its
    /// calls go to the busiest, half of the rest to the next, and so on.
    pub fn order(&mut self, account: usize, now: Duration) -> Vec<usize> {
        let it = &self.accounts[account];
        let turns = if self.shift_every > 0.0 {
            now.as_secs_f64() / self.shift_every
        } else {
            0.0
        };
        let busiest = it.moved + turns as usize;
        let mut start = 0;
        while start + 1 < it.spread && self.arrivals.generate::<f64>() < 0.5 {
            start += 1;
        }
        (0..it.spread)
            .map(|step| (it.first + (busiest + start + step) % it.spread) % self.gateways)
            .collect()
    }
}
