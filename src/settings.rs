//! A deployment's settings as the decisions read them. Adapters decode them from their own formats; what is missing
//! has a default that asks nothing: no limit, no rule, no quota.

use crate::port::{PlanName, Request, RouteName};
use std::collections::BTreeMap;
use std::time::Duration;

/// All settings of one gateway.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Settings {
    /// This gateway's number among all, from 0.
    pub gateway_index: u32,
    /// How many gateways there are, as stated; [`Settings::gateway_count`] is never zero.
    pub gateways: u32,
    /// Events come at most this often.
    pub timer_resolution: Duration,
    /// How endpoint updates come.
    pub discovery: DiscoveryMode,
    /// What the deployment permits.
    pub limits: Limits,
    /// Figures of the rules on drains and slow starts.
    pub rules: Rules,
    /// The shared counter.
    pub counter: CounterSettings,
    /// The plans by name.
    pub plans: BTreeMap<PlanName, Plan>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, Route>,
}

impl Settings {
    /// The plan of that name; one that is not stated has no quota and no price.
    pub fn plan(&self, name: &PlanName) -> &Plan {
        self.plans.get(name).unwrap_or(&UNKNOWN_PLAN)
    }

    /// The route of that name; one that is not stated is worth nothing and is never retried.
    pub fn route(&self, name: &RouteName) -> &Route {
        self.routes.get(name).unwrap_or(&UNKNOWN_ROUTE)
    }

    /// What a request is worth: the value of its route, times the price of its plan, times its units.
    pub fn value_of(&self, request: &Request) -> f64 {
        let price = self.plan(&request.plan).price;
        self.route(&request.route).value * price * request.units
    }

    /// How many gateways share the quotas, the endpoints and the counter: this one at the least.
    pub fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.max(1))
    }

    /// The longest that a client of any route waits.
    pub fn longest_timeout(&self) -> Duration {
        self.routes
            .values()
            .map(|route| route.client_timeout)
            .max()
            .unwrap_or_default()
    }
}

/// How endpoint updates come.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Unasked.
    #[default]
    Push,
    /// To those who have subscribed.
    Subscribe,
}

/// What the deployment permits.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Limits {
    /// Upstream attempts of one request; 0: no further one after the first.
    pub max_attempts: u32,
    /// Requests that may be open; 0: no limit.
    pub max_open_requests: u32,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this.
    pub idle_timeout: Duration,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Clients are told when to come again.
    pub sends_retry_after: bool,
    /// Gateways may send each other messages.
    pub peer_messages: bool,
}

/// Figures of the rules on drains and slow starts.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Rules {
    /// The share of its capacity at which an endpoint starts, or more.
    pub slow_start_floor: f64,
    /// How long after its start an endpoint has its full capacity at the latest.
    pub slow_start_window: Duration,
    /// An endpoint in slow start falls over when it is sent this multiple of its present capacity; 0: there is no
    /// such rule.
    pub overload_factor: f64,
    /// For how long it has to be sent that much.
    pub overload_window: Duration,
    /// Sends to a draining endpoint may go on for this long after the gateway was notified.
    pub drain_grace: Duration,
    /// The endpoint list is to be asked for at least this often.
    pub list_refresh_interval: Duration,
}

/// The shared counter.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct CounterSettings {
    /// Whether there is one.
    pub present: bool,
    /// A call without an answer by then has failed.
    pub timeout: Duration,
    /// The most units of a request; 0: not stated.
    pub max_request_units: f64,
}

/// A plan: quotas that hold for each of its customers over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second at which a customer's token bucket refills; 0: no such quota.
    pub rate: f64,
    /// Units that the bucket holds.
    pub burst: f64,
    /// Upstream attempts in flight at once; 0: no such quota.
    pub concurrency_limit: f64,
    /// Factor on the value of a route.
    pub price: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units that the ceiling's bucket holds.
    pub ceiling_burst: f64,
}

/// What holds for a plan that is not stated: no quota and no price.
const UNKNOWN_PLAN: Plan = Plan {
    rate: 0.0,
    burst: 0.0,
    concurrency_limit: 0.0,
    price: 0.0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
};

impl Default for Plan {
    fn default() -> Self {
        UNKNOWN_PLAN
    }
}

/// A route: what its requests are worth and how they may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Whether a request may be sent again once it may have run.
    pub idempotency: Idempotency,
    /// Which endpoints recognise a repeated request by its key.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do, from the first attempt that may have run.
    pub deduplication_window: Duration,
    /// An answer within this is worth all; zero: not stated.
    pub latency_target: Duration,
    /// How long a client waits; zero: not stated.
    pub client_timeout: Duration,
    /// What an answer within the target is worth for each unit, before the plan's price.
    pub value: f64,
    /// The share of the value that an answer past the target is worth.
    pub late_value_ratio: f64,
}

/// What holds for a route that is not stated: worth nothing and never retried.
const UNKNOWN_ROUTE: Route = Route {
    idempotency: Idempotency::NonIdempotent,
    deduplication_scope: DeduplicationScope::Cell,
    deduplication_window: Duration::ZERO,
    latency_target: Duration::ZERO,
    client_timeout: Duration::ZERO,
    value: 0.0,
    late_value_ratio: 0.0,
};

impl Default for Route {
    fn default() -> Self {
        UNKNOWN_ROUTE
    }
}

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries a key by which the endpoints of one scope drop its repeats.
    Keyed,
    /// It must never run twice.
    #[default]
    NonIdempotent,
}

/// The endpoints that share what they know of keys.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    #[default]
    Cell,
}
