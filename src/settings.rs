//! The settings of a deployment that the admission controller reads. Adapters decode them from their own formats. A
//! limit, rule or quota that is missing does not apply, unless its field says otherwise.

use crate::port::{PlanName, Request, RouteName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The settings of one gateway.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Settings {
    /// The index of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// The number of gateways as configured, possibly 0. [`Settings::gateway_count`] returns at least 1.
    pub gateways: u32,
    /// The timer resolution of the deployment: the shortest interval at which events arrive.
    pub timer_resolution: Duration,
    /// How endpoint updates are delivered.
    pub discovery: DiscoveryMode,
    /// The limits and the permitted actions of the deployment.
    pub limits: Limits,
    /// The parameters of the rules on draining endpoints and on endpoints in slow start.
    pub rules: Rules,
    /// The settings of the shared counter.
    pub counter: CounterSettings,
    /// The plans, by name.
    pub plans: BTreeMap<PlanName, Plan>,
    /// The routes, by name.
    pub routes: BTreeMap<RouteName, Route>,
}

impl Settings {
    /// Returns the plan with this name. A plan that is not in the settings has no quota, and its price is 0.
    pub fn plan(&self, name: &PlanName) -> &Plan {
        self.plans.get(name).unwrap_or(&UNKNOWN_PLAN)
    }

    /// Returns the route with this name. Requests on a route that is not in the settings have no value and are treated
    /// as non-idempotent.
    pub fn route(&self, name: &RouteName) -> &Route {
        self.routes.get(name).unwrap_or(&UNKNOWN_ROUTE)
    }

    /// Returns the value of a request: the value of its route, times the price of its plan, times its units.
    pub fn value_of(&self, request: &Request) -> f64 {
        let price = self.plan(&request.plan).price;
        self.route(&request.route).value * price * request.units
    }

    /// Returns the number of gateways that share the quotas, the endpoints and the counter. It is at least 1.
    pub fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.max(1))
    }

    /// Returns the longest client timeout of all routes, or zero if there are no routes.
    pub fn max_client_timeout(&self) -> Duration {
        self.routes
            .values()
            .map(|route| route.client_timeout)
            .max()
            .unwrap_or_default()
    }
}

/// How endpoint updates are delivered.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes updates without a subscription.
    #[default]
    Push,
    /// Discovery sends updates only to gateways that have subscribed.
    Subscribe,
}

/// The limits and the permitted actions of a deployment.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of upstream attempts of one request; 0 permits only the first attempt, as 1 does.
    pub max_attempts: u32,
    /// The maximum number of open requests; 0 means no limit.
    pub max_open_requests: u32,
    /// The time within which a connection must be established.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether a rejection tells the client when to retry.
    pub sends_retry_after: bool,
    /// Whether gateways may send messages to each other.
    pub peer_messages: bool,
}

/// The parameters of the rules on draining endpoints and on endpoints in slow start.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Rules {
    /// The share of its full capacity that an endpoint has at least when it starts.
    pub slow_start_floor: f64,
    /// The time after its start by which an endpoint has its full capacity.
    pub slow_start_window: Duration,
    /// An endpoint in slow start fails when it is sent this multiple of its current capacity; 0 means that there is no
    /// such rule.
    pub overload_factor: f64,
    /// The time for which an endpoint in slow start must be sent `overload_factor` times its capacity to fail.
    pub overload_window: Duration,
    /// The time after the gateway was notified of a drain during which it may still send attempts to the endpoint.
    pub drain_grace: Duration,
    /// The longest interval between two requests for the endpoint list.
    pub list_refresh_interval: Duration,
}

/// The settings of the shared counter.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct CounterSettings {
    /// Whether the deployment has a shared counter.
    pub present: bool,
    /// The time after which a call without an answer has failed.
    pub timeout: Duration,
    /// The maximum number of units of a request; 0 means that none is configured.
    pub max_request_units: f64,
}

/// A plan: quotas that apply to each of its customers over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The refill rate of a customer's token bucket in units per second; 0 means that the plan has no rate quota.
    pub rate: f64,
    /// The capacity of the token bucket in units.
    pub burst: f64,
    /// The maximum number of a customer's upstream attempts in flight; 0 means that the plan has no concurrency limit.
    pub concurrency_limit: f64,
    /// The factor by which the value of a route is multiplied.
    pub price: f64,
    /// The refill rate of the hard ceiling's token bucket in units per second; 0 means that there is no ceiling.
    pub ceiling_rate: f64,
    /// The capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
}

/// Stands in for a plan that is not in the settings: it has no quota, and its price is 0.
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

/// A route: the value of its requests and how they may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Whether a request may be sent again after it may have run.
    pub idempotency: Idempotency,
    /// Which endpoints recognise a repeated request by its deduplication key.
    pub deduplication_scope: DeduplicationScope,
    /// How long endpoints recognise the key, from the first attempt that may have run.
    pub deduplication_window: Duration,
    /// The latency within which an answer has its full value; zero means that none is configured.
    pub latency_target: Duration,
    /// How long a client waits for the final answer; zero means that none is configured.
    pub client_timeout: Duration,
    /// The value per unit of an answer within the latency target, before it is multiplied by the plan's price.
    pub value: f64,
    /// The share of the value that an answer after the latency target still has.
    pub late_value_ratio: f64,
}

/// Stands in for a route that is not in the settings: its requests have no value and are non-idempotent.
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

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries a key by which the endpoints of one deduplication scope recognise and drop repeats.
    Keyed,
    /// The request must not run twice.
    #[default]
    NonIdempotent,
}

/// The set of endpoints that share their record of deduplication keys.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    #[default]
    Cell,
}
