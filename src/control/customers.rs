//! The state that a gateway keeps for each customer: demand, leases, rate quota and hard ceiling.

use super::ceiling::Ceiling;
use super::leases::{CustomerLeases, GatewayPlace};
use super::rate_quota::{RateQuota, RateTerms, UnitDemand};
use crate::port::{CustomerId, Request};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of a customer without open leases is removed after this time without a request.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How many customers have their state kept if the adapter sets no limit.
const DEFAULT_MAX_CUSTOMERS: usize = 16_384;

/// Once the limit is reached, this share of the customers is removed at once, so that the search for them is rare.
const REMOVED_SHARE: usize = 4;

/// From this many requests on, a customer has come again, and is removed only after those that have come once.
const RETURNING_REQUESTS: u64 = 2;

/// The time constant with which rejections are forgotten, in seconds.
const REJECTION_MEMORY_SECONDS: f64 = 1.0;

/// A customer with more recent rejections than this floods the gateway.
const MAX_RECENT_REJECTIONS: f64 = 200.0;

/// The state of one customer at this gateway.
#[derive(Default)]
pub(super) struct Customer {
    /// The position of this gateway among those that receive the customer's requests.
    pub(super) place: GatewayPlace,
    /// Recent demand at this gateway in units per second; decays with a time constant of one quota window.
    pub(super) demand: f64,
    last_request_at: Duration,
    /// The number of requests that were recorded.
    requests: u64,
    /// Recent requests that were rejected at this gateway; decays with a time constant of [`REJECTION_MEMORY_SECONDS`].
    rejections: f64,
    last_rejection_at: Duration,
    /// The number of requests without a final answer.
    pub(super) open_requests: usize,
    /// The leases of attempts in flight from this gateway.
    pub(super) leases: CustomerLeases,
    /// The rate quota of the customer's plan.
    pub(super) quota: RateQuota,
    /// The hard ceiling of the customer's plan.
    pub(super) ceiling: Ceiling,
}

impl Customer {
    /// Records a request that this gateway has received. `gateway_rank` is the index of this gateway among those that
    /// receive the customer's requests, `window_seconds` the length of a quota window.
    pub(super) fn record_request(
        &mut self,
        now: Duration,
        request: &Request,
        gateway_rank: f64,
        window_seconds: f64,
    ) {
        self.place = GatewayPlace {
            rank: gateway_rank,
            gateway_count: f64::from(request.gateway_count.max(1)),
        };
        let idle_seconds = now.saturating_sub(self.last_request_at).as_secs_f64();
        self.demand =
            self.demand * (-idle_seconds / window_seconds).exp() + request.units / window_seconds;
        self.last_request_at = now;
        self.requests += 1;
    }

    /// Records that a request was rejected.
    pub(super) fn record_rejection(&mut self, now: Duration) {
        self.rejections = self.recent_rejections(now) + 1.0;
        self.last_rejection_at = now;
    }

    fn recent_rejections(&self, now: Duration) -> f64 {
        let seconds = now.saturating_sub(self.last_rejection_at).as_secs_f64();
        self.rejections * (-seconds / REJECTION_MEMORY_SECONDS).exp()
    }

    /// Whether the customer sends again at once what was rejected, instead of waiting as the rejections tell it.
    pub(super) fn is_flooding(&self, now: Duration) -> bool {
        self.recent_rejections(now) > MAX_RECENT_REJECTIONS
    }

    /// Whether something that is under way needs the state.
    fn is_in_use(&self) -> bool {
        self.open_requests > 0 || !self.leases.is_empty() || self.quota.has_waiting()
    }

    /// The order in which customers are removed: those that have come once first, then by the time of the latest request.
    fn removal_order(&self) -> (bool, Duration) {
        (self.requests >= RETURNING_REQUESTS, self.last_request_at)
    }

    /// Returns an estimate of the customer's demand at all its gateways without the latest request, which asked for `units`,
    /// in units per second. It assumes that the demand is the same at each gateway.
    pub(super) fn total_demand_without(&self, units: f64, window_seconds: f64) -> f64 {
        (self.demand - units / window_seconds) * self.place.gateway_count
    }

    /// Returns the demand for a request of this many units, which is already included in [`Customer::demand`].
    pub(super) fn unit_demand(&self, units: f64, terms: &RateTerms) -> UnitDemand {
        UnitDemand {
            units,
            local_demand: self.demand,
            previous_total_demand: self.total_demand_without(units, terms.window_seconds),
            gateway_count: self.place.gateway_count,
        }
    }
}

/// The state of all customers, by id. Anybody may send requests under ever new names, so their number is limited.
pub(super) struct CustomerTable {
    by_id: BTreeMap<CustomerId, Customer>,
    max_len: usize,
}

impl Default for CustomerTable {
    fn default() -> Self {
        CustomerTable {
            by_id: BTreeMap::new(),
            max_len: DEFAULT_MAX_CUSTOMERS,
        }
    }
}

impl CustomerTable {
    /// Returns the state of a customer, or `None` if it has none.
    pub(super) fn get(&self, id: &CustomerId) -> Option<&Customer> {
        self.by_id.get(id)
    }

    /// The number of customers.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Limits the number of customers, apart from those with open requests or leases.
    pub(super) fn set_max_len(&mut self, max_len: usize) {
        self.max_len = max_len;
    }

    /// Returns the state of a customer and creates it if necessary. Other customers are removed for it if the limit is
    /// reached.
    pub(super) fn get_or_insert(&mut self, id: &CustomerId) -> &mut Customer {
        if self.by_id.len() >= self.max_len && !self.by_id.contains_key(id) {
            self.remove_unused();
        }
        self.by_id.entry(id.clone()).or_default()
    }

    /// Removes a share of the customers of which nothing is under way, in their [`Customer::removal_order`].
    fn remove_unused(&mut self) {
        let mut unused: Vec<_> = self
            .by_id
            .iter()
            .filter(|(_, customer)| !customer.is_in_use())
            .map(|(id, customer)| (customer.removal_order(), id.clone()))
            .collect();
        let removed = self.by_id.len().div_ceil(REMOVED_SHARE).min(unused.len());
        if removed < unused.len() {
            unused.select_nth_unstable(removed);
        }
        for (_, id) in unused.drain(..removed) {
            self.by_id.remove(&id);
        }
    }

    /// Returns the state of a customer, or `None` if it has none.
    pub(super) fn get_mut(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.by_id.get_mut(id)
    }

    /// Records that a request of a customer is no longer open.
    pub(super) fn on_request_closed(&mut self, id: &CustomerId) {
        if let Some(customer) = self.by_id.get_mut(id) {
            customer.open_requests = customer.open_requests.saturating_sub(1);
        }
    }

    /// Returns the ids of the customers that hold leases, in ascending order.
    pub(super) fn lease_holders(&self) -> Vec<CustomerId> {
        self.by_id
            .iter()
            .filter(|(_, customer)| !customer.leases.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Removes the customers that have sent no request for [`FORGET_AFTER`] and of which nothing is under way.
    pub(super) fn forget_idle(&mut self, now: Duration) {
        self.by_id.retain(|_, customer| {
            customer.is_in_use() || now < customer.last_request_at + FORGET_AFTER
        });
    }
}

#[cfg(test)]
mod tests;
