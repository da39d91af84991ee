//! Concurrency leases: the cap on a customer's upstream attempts in flight at once.
//!
//! A lease is an addition of one to the counter name of the customer and the current period. Names expire by themselves,
//! so leases of a crashed gateway do too; open leases are renewed into the next period's name before the edge.

use crate::port::{CounterReply, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The length of a period, after which a lease that was not renewed has expired.
pub(super) const LEASE_PERIOD: Duration = Duration::from_secs(3);

/// So long before the period's edge open leases are renewed into the next name.
pub(super) const RENEW_AHEAD: Duration = Duration::from_millis(100);

/// How long the counter keeps a period's name.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(6);

/// Who asks for less than this share of its cap or rate has left its quota alone.
pub(super) const LOW_DEMAND_RATIO: f64 = 0.2;

/// A gateway's place among the gateways that a customer's requests come through.
#[derive(Clone, Copy, Default)]
pub(super) struct GatewayPlace {
    /// Its number among them, from 0.
    pub(super) rank: f64,
    /// How many they are.
    pub(super) count: f64,
}

/// One lease of this gateway.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct LeaseId(pub(super) u64);

/// What a lease is acquired for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum LeasePurpose {
    /// The first attempt: the request is charged once it has the lease.
    FirstAttempt,
    /// A further attempt, whose units are charged already.
    Retry,
}

/// A lease that is being acquired.
pub(super) struct LeaseAcquisition {
    /// For which request.
    pub(super) request: RequestId,
    /// For which of its attempts.
    pub(super) purpose: LeasePurpose,
    /// The lease that is granted in the end.
    pub(super) lease: LeaseId,
    /// The period in whose name it is counted.
    pub(super) period: u64,
    /// The customer's cap on attempts in flight at once.
    pub(super) limit: f64,
    /// The units of the request.
    pub(super) units: f64,
    /// The length of the customer's quota window, in seconds.
    pub(super) window: f64,
    /// How long a unit of demand is in flight, in seconds: the route's baseline latency for each unit.
    pub(super) seconds_per_unit: f64,
    /// The counter is not asked, to save a call, as the units that were seen can't fill the cap.
    pub(super) skips_counter: bool,
}

impl LeaseAcquisition {
    /// How many attempts this gateway may have in flight where the counter gives no total: its part of the cap, and at
    /// least one for a customer of low demand before this request (`demand_before`, in units a second over all
    /// gateways).
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

/// What became of an acquisition.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum LeaseDecision {
    /// The lease is held. Where leases were renewed into a later period meanwhile, it has to be added there too.
    Granted { renew_into: Option<u64> },
    /// The cap is full, by so many attempts. Where the reply had counted the lease, it has to be taken off again.
    Denied { ahead: f64, was_counted: bool },
}

/// The leases of one customer at this gateway.
#[derive(Default)]
pub(super) struct CustomerLeases {
    /// The open leases, each with the periods in whose names it is counted; none: uncounted.
    periods: BTreeMap<LeaseId, Vec<u64>>,
    /// The period into which leases were last renewed.
    renewed_into: u64,
}

impl CustomerLeases {
    /// Whether no lease is open.
    pub(super) fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    /// The reply to an acquisition, or [`CounterReply::NotApplied`] where the counter was not asked. Without a total
    /// the gateway's own attempts stay within `local_limit`, else an outage would admit all; where the call was saved,
    /// within the cap. Trade-off: a customer that uses its gateways unevenly is rejected at the busy one.
    pub(super) fn on_acquire_reply(
        &mut self,
        acquisition: &LeaseAcquisition,
        reply: CounterReply,
        current_period: u64,
        local_limit: f64,
    ) -> LeaseDecision {
        match reply {
            CounterReply::Total(total) if total > acquisition.limit => LeaseDecision::Denied {
                ahead: total - acquisition.limit,
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
                        ahead: 1.0,
                        was_counted: false,
                    };
                }
                self.periods.insert(acquisition.lease, Vec::new());
                LeaseDecision::Granted { renew_into: None }
            }
        }
    }

    /// Begins the renewal into a period, once: gives the leases that are not counted in its name yet.
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

    /// Leases were added to a period's name: gives how many of them have ended since and have to be taken off again.
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

    /// Ends a lease: gives the periods in whose names it was counted (it is taken off those, and off no other).
    pub(super) fn release(&mut self, lease: LeaseId) -> Vec<u64> {
        self.periods.remove(&lease).unwrap_or_default()
    }
}

/// A gateway's part of a customer's cap: the parts of all gateways sum to the cap, and the remainder goes round by
/// period.
fn local_share(limit: f64, place: GatewayPlace, period: u64) -> f64 {
    let turn = (place.rank + period as f64) % place.count;
    let remainder = limit % place.count;
    let extra = if turn < remainder { 1.0 } else { 0.0 };
    (limit / place.count).floor() + extra
}

#[cfg(test)]
mod tests;
