//! What a gateway knows of each customer: its demand, its leases, its quota and its ceiling.

use super::ceiling::Ceiling;
use super::leases::{CustomerLeases, GatewayPlace};
use super::rate_quota::{RateQuota, RateTerms, UnitDemand};
use crate::port::{CustomerId, Request};
use std::collections::BTreeMap;
use std::time::Duration;

/// A customer that has not been heard of for so long, and has nothing open, is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// One customer, as this gateway sees it.
#[derive(Default)]
pub(super) struct Customer {
    /// This gateway's place among those that the customer's requests come through.
    pub(super) place: GatewayPlace,
    /// Recent demand here, in units a second.
    pub(super) demand: f64,
    last_request_at: Duration,
    /// Leases of attempts in flight through this gateway.
    pub(super) leases: CustomerLeases,
    /// The rate quota.
    pub(super) quota: RateQuota,
    /// What a hard ceiling leaves to this gateway.
    pub(super) ceiling: Ceiling,
}

impl Customer {
    /// A request came in, under a quota with windows of so many seconds.
    pub(super) fn record_request(
        &mut self,
        now: Duration,
        request: &Request,
        gateway_rank: f64,
        window: f64,
    ) {
        self.place = GatewayPlace {
            rank: gateway_rank,
            count: f64::from(request.gateway_count.max(1)),
        };
        let idle = now.saturating_sub(self.last_request_at).as_secs_f64();
        self.demand = self.demand * (-idle / window).exp() + request.units / window;
        self.last_request_at = now;
    }

    /// The customer's demand over all its gateways without a request of so many units, if they ask alike; in units a
    /// second.
    pub(super) fn demand_without(&self, units: f64, window: f64) -> f64 {
        (self.demand - units / window) * self.place.count
    }

    /// What a request of so many units adds to.
    pub(super) fn unit_demand(&self, units: f64, terms: &RateTerms) -> UnitDemand {
        UnitDemand {
            units,
            here: self.demand,
            before: self.demand_without(units, terms.window),
            gateway_count: self.place.count,
        }
    }
}

/// The customers by id.
#[derive(Default)]
pub(super) struct CustomerTable {
    by_id: BTreeMap<CustomerId, Customer>,
}

impl CustomerTable {
    /// A customer, if it is known.
    pub(super) fn get(&self, id: &CustomerId) -> Option<&Customer> {
        self.by_id.get(id)
    }

    /// A customer; one that is not known begins with nothing.
    pub(super) fn get_or_insert(&mut self, id: &CustomerId) -> &mut Customer {
        self.by_id.entry(id.clone()).or_default()
    }

    /// The customers that hold leases.
    pub(super) fn lease_holders(&self) -> Vec<CustomerId> {
        self.by_id
            .iter()
            .filter(|(_, customer)| !customer.leases.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Forgets the customers that have not been heard of for long and hold no lease.
    pub(super) fn forget_idle(&mut self, now: Duration) {
        self.by_id.retain(|_, customer| {
            !customer.leases.is_empty() || now < customer.last_request_at + FORGET_AFTER
        });
    }
}

#[cfg(test)]
mod tests;
