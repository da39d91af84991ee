//! A deployment's settings as the decisions read them. Adapters decode them from their own formats; what is missing
//! has a default that asks nothing: no limit, no rule, no quota.

use crate::port::{PlanName, RouteName};
use std::collections::BTreeMap;
use std::time::Duration;

/// All settings of one gateway.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Settings {
    /// This gateway's number among all, from 0.
    pub index: u32,
    /// How many gateways there are.
    pub gateways: u32,
    /// Events come at most this often.
    pub resolution: Duration,
    pub discovery: DiscoveryMode,
    pub limits: Limits,
    pub rules: Rules,
    pub counter: CounterSettings,
    pub plans: BTreeMap<PlanName, Plan>,
    pub routes: BTreeMap<RouteName, Route>,
}

/// How changes of the server list come.
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
    /// Tries of one API call; 0: no further one after the first.
    pub max_attempts: u32,
    /// API calls that may be open; 0: no limit.
    pub max_open: u32,
    pub connect_timeout: Duration,
    /// An idle connection is closed after this.
    pub idle_close: Duration,
    /// A try that is out may be called off.
    pub cancelling: bool,
    /// Clients are told when to come again.
    pub retry_after: bool,
    /// Gateways may send each other messages.
    pub peers: bool,
}

/// Figures of the rules on drains and cold servers.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Rules {
    /// A server starts at this share of its capacity or more.
    pub cold_from: f64,
    /// And is warm no later than this.
    pub cold: Duration,
    /// A cold server falls over when it is sent this multiple of its capacity; 0: there is no such rule.
    pub fall_multiple: f64,
    /// For this long.
    pub overload_for: Duration,
    /// Sends to a draining server may go on for this long after the gateway was told.
    pub stop_sending_within: Duration,
    /// The list is to be asked for at least this often.
    pub ask_within: Duration,
}

/// The shared counter.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct CounterSettings {
    pub present: bool,
    /// A call without an answer by then has failed.
    pub timeout: Duration,
    /// The most units of an API call; 0: not stated.
    pub most_units: f64,
}

/// A plan: quotas that hold for each of its customers over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second at which a customer's store refills; 0: no such quota.
    pub rate: f64,
    /// Units that the store holds.
    pub burst: f64,
    /// Upstream tries out at once; 0: no such quota.
    pub cap: f64,
    /// What multiplies the billed value.
    pub price: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
}

/// A route: what its API calls are worth and how they may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub repeat: Repeat,
    /// Which servers know a repeated call by its token.
    pub group: Group,
    /// For how long they do, from the first try that may have run.
    pub memory_span: Duration,
    /// An answer within this is worth all; zero: not stated.
    pub latency_target: Duration,
    /// How long a client waits; zero: not stated.
    pub client_timeout: Duration,
    pub billed_value: f64,
    /// The share of the billed value that a late answer is worth.
    pub late_worth: f64,
}

/// Whether an API call may be sent again once it may have run.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// At servers that know it by its token.
    Tokened,
    #[default]
    NonIdempotent,
}

/// Servers that share what they know of tokens.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    #[default]
    Cell,
}

const NO_PLAN: Plan = Plan {
    rate: 0.0,
    burst: 0.0,
    cap: 0.0,
    price: 0.0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
};

const NO_ROUTE: Route = Route {
    repeat: Repeat::NonIdempotent,
    group: Group::Cell,
    memory_span: Duration::ZERO,
    latency_target: Duration::ZERO,
    client_timeout: Duration::ZERO,
    billed_value: 0.0,
    late_worth: 0.0,
};

impl Default for Plan {
    fn default() -> Self {
        NO_PLAN
    }
}

impl Default for Route {
    fn default() -> Self {
        NO_ROUTE
    }
}

impl Settings {
    /// The plan of that name; one that is not stated has no quota and no price.
    pub fn plan(&self, name: &PlanName) -> &Plan {
        self.plans.get(name).unwrap_or(&NO_PLAN)
    }

    /// The route of that name; one that is not stated is worth nothing and is never repeated.
    pub fn route(&self, name: &RouteName) -> &Route {
        self.routes.get(name).unwrap_or(&NO_ROUTE)
    }

    /// How many gateways share the quotas, the servers and the counter: this one at the least.
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
