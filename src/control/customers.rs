//! The state that a gateway keeps for each customer: demand, leases, rate quota and hard ceiling.

use super::ceiling::Ceiling;
use super::leases::{CustomerLeases, GatewayPlace};
use super::rate_quota::{RateQuota, RateTerms, UnitDemand};
use crate::port::{CustomerId, Request};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of a customer without open leases is removed after this time without a request.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The state of one customer at this gateway.
#[derive(Default)]
pub(super) struct Customer {
    /// The position of this gateway among those that receive the customer's requests.
    pub(super) place: GatewayPlace,
    /// Recent demand at this gateway in units per second; decays with a time constant of one quota window.
    pub(super) demand: f64,
    last_request_at: Duration,
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

/// The state of all customers, by id.
#[derive(Default)]
pub(super) struct CustomerTable {
    by_id: BTreeMap<CustomerId, Customer>,
}

impl CustomerTable {
    /// Returns the state of a customer, or `None` if it has none.
    pub(super) fn get(&self, id: &CustomerId) -> Option<&Customer> {
        self.by_id.get(id)
    }

    /// Returns the state of a customer and creates it if necessary.
    pub(super) fn get_or_insert(&mut self, id: &CustomerId) -> &mut Customer {
        self.by_id.entry(id.clone()).or_default()
    }

    /// Returns the ids of the customers that hold leases, in ascending order.
    pub(super) fn lease_holders(&self) -> Vec<CustomerId> {
        self.by_id
            .iter()
            .filter(|(_, customer)| !customer.leases.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Removes the customers that have sent no request for [`FORGET_AFTER`] and hold no lease.
    pub(super) fn forget_idle(&mut self, now: Duration) {
        self.by_id.retain(|_, customer| {
            !customer.leases.is_empty() || now < customer.last_request_at + FORGET_AFTER
        });
    }
}

#[cfg(test)]
mod tests;
