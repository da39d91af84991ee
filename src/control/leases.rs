//! Concurrency leases, which enforce the limit on a customer's upstream attempts in flight.
//!
//! Time is divided into periods, and the shared counter keeps one value for each customer and period. Acquiring a lease
//! adds one to the value of the current period. Shortly before a period ends, the open leases are added to the value of
//! the next one. The counter drops values after [`LEASE_TTL`], so the leases of a crashed gateway expire.

use crate::port::{CounterReply, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The length of a period. A lease that is not renewed into the next period is no longer counted.
pub(super) const LEASE_PERIOD: Duration = Duration::from_secs(3);

/// How long before the end of a period the open leases are renewed.
pub(super) const RENEWAL_LEAD_TIME: Duration = Duration::from_millis(100);

/// How long the counter keeps the value of a period: two periods.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(6);

/// A customer's demand is low if it is below this share of the concurrency limit or of the rate. Such a customer is
/// assumed to have unused quota.
pub(super) const LOW_DEMAND_RATIO: f64 = 0.2;

/// The position of this gateway among the gateways that receive a customer's requests.
#[derive(Clone, Copy, Default)]
pub(super) struct GatewayPlace {
    /// The index of this gateway among them, from 0.
    pub(super) rank: f64,
    /// The number of these gateways.
    pub(super) gateway_count: f64,
}

/// Identifies a lease of this gateway. Ids are assigned in ascending order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct LeaseId(pub(super) u64);

/// The attempt for which a lease is acquired.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum LeasePurpose {
    /// The first attempt. The request's units are reserved once it has the lease.
    FirstAttempt,
    /// A further attempt. The request's units were reserved for the first one.
    Retry,
}

/// A lease that is being acquired, with the terms under which it is decided.
pub(super) struct LeaseAcquisition {
    /// The request that needs the lease.
    pub(super) request: RequestId,
    /// The attempt that needs the lease.
    pub(super) purpose: LeasePurpose,
    /// The id of the lease if it is granted.
    pub(super) lease: LeaseId,
    /// The number of the period in which the lease is counted.
    pub(super) period: u64,
    /// The limit on the customer's attempts in flight.
    pub(super) limit: f64,
    /// The units of the request.
    pub(super) units: f64,
    /// The length of the customer's quota window, in seconds.
    pub(super) window_seconds: f64,
    /// The time for which a unit of demand is in flight, in seconds: the route's baseline latency divided by the units of
    /// the request. 0 if the baseline latency is not known.
    pub(super) seconds_per_unit: f64,
    /// Whether the counter is not called in order to save a call: the units known to be used in this window are too few
    /// to reach the limit.
    pub(super) skips_counter: bool,
}

impl LeaseAcquisition {
    /// Returns the number of attempts that this gateway may have in flight while the counter is not available. This is the
    /// gateway's share of the limit, and at least one for a customer of low demand. `demand_before` is the customer's
    /// demand before this request, over all its gateways, in units per second.
    pub(super) fn local_limit(
        &self,
        place: GatewayPlace,
        demand_before: f64,
        current_period: u64,
    ) -> f64 {
        let share = local_share(self.limit, place, current_period);
        let has_low_demand = demand_before * self.seconds_per_unit < self.limit * LOW_DEMAND_RATIO;
        share.max(if has_low_demand { 1.0 } else { 0.0 })
    }
}

/// The decision on an acquisition.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum LeaseDecision {
    /// The lease is held. `renew_into` is a later period into which leases were renewed in the meantime, or which has
    /// begun; the lease must be counted there too.
    Granted { renew_into: Option<u64> },
    /// The limit is reached; `excess_attempts` is the number of attempts by which it would be exceeded, this attempt
    /// included. If `was_counted`, the counter has added the lease and it must be subtracted again.
    Denied {
        excess_attempts: f64,
        was_counted: bool,
    },
}

/// The leases of one customer at this gateway.
#[derive(Default)]
pub(super) struct CustomerLeases {
    /// The periods in which each open lease is counted. The list is empty if the counter does not count the lease.
    periods: BTreeMap<LeaseId, Vec<u64>>,
    /// The number of the period into which leases were last renewed.
    renewed_into: u64,
}

impl CustomerLeases {
    pub(super) fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    /// Decides on an acquisition after the counter's reply, or with [`CounterReply::NotApplied`] if the counter was not
    /// called. If the counter is not known to have added the lease, this gateway's own attempts are limited to
    /// `local_limit`, because otherwise every attempt would be admitted during an outage; if the call was skipped, they
    /// are limited to the whole concurrency limit. Trade-off: a customer that uses its gateways unevenly is rejected at
    /// the busy one.
    pub(super) fn on_acquire_reply(
        &mut self,
        acquisition: &LeaseAcquisition,
        reply: CounterReply,
        current_period: u64,
        local_limit: f64,
    ) -> LeaseDecision {
        match reply {
            CounterReply::Total(total) if total > acquisition.limit => LeaseDecision::Denied {
                excess_attempts: total - acquisition.limit,
                was_counted: true,
            },
            CounterReply::Total(_) | CounterReply::Applied => {
                self.periods
                    .insert(acquisition.lease, vec![acquisition.period]);
                let renewed_into = self.renewed_into.max(current_period);
                LeaseDecision::Granted {
                    renew_into: (renewed_into > acquisition.period).then_some(renewed_into),
                }
            }
            CounterReply::NotApplied | CounterReply::Unknown => {
                let limit = if acquisition.skips_counter {
                    acquisition.limit
                } else {
                    local_limit
                };
                if self.periods.len() as f64 >= limit {
                    return LeaseDecision::Denied {
                        excess_attempts: 1.0,
                        was_counted: false,
                    };
                }
                self.periods.insert(acquisition.lease, Vec::new());
                LeaseDecision::Granted { renew_into: None }
            }
        }
    }

    /// Starts the renewal into a period and returns the leases that are not counted in it yet. Once this has returned any,
    /// further calls for the period return nothing.
    pub(super) fn start_renewal(&mut self, period: u64) -> Vec<LeaseId> {
        if self.renewed_into >= period {
            return Vec::new();
        }
        let missing: Vec<LeaseId> = self
            .periods
            .iter()
            .filter(|(_, periods)| !periods.contains(&period))
            .map(|(lease, _)| *lease)
            .collect();
        if !missing.is_empty() {
            self.renewed_into = period;
        }
        missing
    }

    /// Records that leases were added to the value of a period. Returns the number of those that have ended in the
    /// meantime and must be subtracted again.
    pub(super) fn on_renewed(&mut self, leases: &[LeaseId], period: u64) -> usize {
        let mut ended = 0;
        for lease in leases {
            match self.periods.get_mut(lease) {
                Some(periods) => periods.push(period),
                None => ended += 1,
            }
        }
        ended
    }

    /// Ends a lease and returns the periods in which it is counted; it must be subtracted from these and no others.
    pub(super) fn release(&mut self, lease: LeaseId) -> Vec<u64> {
        self.periods.remove(&lease).unwrap_or_default()
    }
}

/// Returns a gateway's share of a customer's limit. The shares of all gateways add up to the limit; the remainder of the
/// division rotates among the gateways from period to period.
fn local_share(limit: f64, place: GatewayPlace, period: u64) -> f64 {
    let position = (place.rank + period as f64) % place.gateway_count;
    let remainder = limit % place.gateway_count;
    let extra = if position < remainder { 1.0 } else { 0.0 };
    (limit / place.gateway_count).floor() + extra
}

#[cfg(test)]
mod tests;
