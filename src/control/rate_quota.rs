//! The rate quota of a customer: blocks of units that are leased from the shared counter, and a local quota that is used
//! when the counter can't be called.
//!
//! Time is divided into windows with a length of burst divided by rate, and the counter keeps one value for each customer
//! and window. One addition to that value leases a block of units, whose size follows recent demand. All gateways draw
//! from one token bucket for the customer; its level is estimated from the totals that the counter returns.

use super::counter_names::Interval;
use super::leases::{LeaseId, LOW_DEMAND_RATIO};
use super::observed_bucket::ObservedBucket;
use super::token_bucket::{Refill, TokenBucket};
use crate::port::{CounterReply, RequestId};
use crate::settings::Plan;
use std::time::Duration;

/// The minimum length of a window, in seconds; shorter ones in the settings are extended.
const MIN_WINDOW_SECONDS: f64 = 0.1;

/// The maximum length of a window, in seconds; longer ones in the settings are shortened.
const MAX_WINDOW_SECONDS: f64 = 1e6;

/// The window length of a plan without a rate, in seconds. Demand is averaged over this time.
const DEFAULT_WINDOW_SECONDS: f64 = 1.0;

/// While calls on the counter are scarce, a block covers the demand of this many windows.
pub(super) const SCARCE_BLOCK_WINDOWS: f64 = 0.5;

/// The shortest time for which a customer is rejected until its bucket has refilled, in seconds.
const MIN_REJECTION_SECONDS: f64 = 0.01;

/// The longest time for which a customer is rejected until its bucket has refilled, in windows.
const MAX_REJECTION_WINDOWS: f64 = 0.5;

/// The terms of a plan's rate quota.
#[derive(Clone, Copy)]
pub(super) struct RateTerms {
    /// The rate in units per second; 0 means that there is no rate quota.
    pub(super) rate: f64,
    /// The capacity of the customer's bucket in units.
    pub(super) burst: f64,
    /// The length of a window in seconds: burst divided by rate, within bounds.
    pub(super) window_seconds: f64,
    /// Whether the plan has a hard ceiling, which must never be exceeded. Usage that is not known is then assumed to be the
    /// whole quota.
    pub(super) has_ceiling: bool,
}

impl RateTerms {
    pub(super) fn of(plan: &Plan) -> RateTerms {
        let window_seconds = if plan.rate > 0.0 {
            (plan.burst / plan.rate).clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS)
        } else {
            DEFAULT_WINDOW_SECONDS
        };
        RateTerms {
            rate: plan.rate,
            burst: plan.burst,
            window_seconds,
            has_ceiling: plan.ceiling_rate > 0.0,
        }
    }

    /// Returns the refill of the bucket that all gateways share.
    fn refill(&self) -> Refill {
        Refill {
            rate: self.rate,
            capacity: self.burst,
        }
    }

    pub(super) fn window_length(&self) -> Duration {
        Duration::from_secs_f64(self.window_seconds)
    }
}

/// A request that waits for a block of units while it holds its lease.
pub(super) struct WaitingRequest {
    /// The request's id.
    pub(super) request: RequestId,
    /// The request's lease, or `None` if the plan has no concurrency limit.
    pub(super) lease: Option<LeaseId>,
}

/// The result of reserving a request's units.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Reservation {
    /// The units are reserved from a block that the counter counts, or the plan has no rate quota.
    Counted,
    /// The request may be sent without the counter counting its units: the local quota holds them, or the customer's demand
    /// is low.
    Uncounted,
    /// The counter can't be called and the local quota does not hold the units.
    Denied,
    /// The units are not reserved yet: a block must be leased from the counter first.
    AwaitsBlock,
}

/// Whether the counter may be called to lease units for a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum CounterAccess {
    /// No: the circuit breaker is open, or the request's value is too low for one of the few calls.
    Unavailable,
    /// Yes, but calls are scarce: only for units that the local quota does not hold.
    Scarce,
    /// Yes.
    Available,
}

/// The units that a request needs and the recent demand of its customer.
#[derive(Clone, Copy)]
pub(super) struct UnitDemand {
    /// The units of the request.
    pub(super) units: f64,
    /// The customer's recent demand at this gateway, this request included, in units per second.
    pub(super) local_demand: f64,
    /// The customer's estimated recent demand at all its gateways without this request, in units per second.
    pub(super) previous_total_demand: f64,
    /// The number of gateways that receive the customer's requests.
    pub(super) gateway_count: f64,
}

/// A block that is being leased.
pub(super) struct BlockAcquisition {
    /// The units of the request that caused the call.
    pub(super) request_units: f64,
    /// The size of the block in units.
    pub(super) size: f64,
    /// Units that are added in the same call to account for units that were used without being reported.
    pub(super) unreported_units: f64,
    /// The terms at the time of the call.
    pub(super) terms: RateTerms,
    /// The window in which the block is counted.
    pub(super) window: Interval,
}

/// The decision on a block after the counter's reply.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct BlockDecision {
    /// Whether the waiting requests may proceed; otherwise they are rejected.
    pub(super) granted: bool,
    /// Units that must be subtracted from the counter again.
    pub(super) returned_units: f64,
    /// Units of a block that was not granted and that stay on the counter. They account for unreported units.
    pub(super) units_left_on_counter: f64,
}

/// The state of the calls on the counter when the reply about a block arrives.
#[derive(Clone, Copy)]
pub(super) struct CallBudget {
    /// Whether a call can be spared to return units.
    pub(super) has_spare_calls: bool,
    /// Whether at least half of the recent requests are larger than the even share of their customer's quota.
    pub(super) quotas_are_small: bool,
}

/// The rate quota of one customer at this gateway.
#[derive(Default)]
pub(super) struct RateQuota {
    /// Units that were leased from the counter and not used yet. Negative after a settlement above the reserved units.
    leased_units: f64,
    bucket: ObservedBucket,
    /// Requests that wait for a block, in the order in which they came. The first one has caused the call.
    waiting: Vec<WaitingRequest>,
    rejected_until: Duration,
    /// This gateway's even share of the quota, for use while the counter can't be called. `None` until the first request
    /// under a rate quota.
    local_quota: Option<TokenBucket>,
}

impl RateQuota {
    /// Returns the time until which the customer's requests are rejected without a call on the counter.
    pub(super) fn rejected_until(&self) -> Duration {
        self.rejected_until
    }

    /// Returns whether the last known total of a window is at least `units`.
    pub(super) fn window_total_reaches(&self, window: u64, units: f64) -> bool {
        self.bucket.total_reaches(window, units)
    }

    /// Reserves a request's units from the units already leased. If they do not suffice, requires a new block, or uses the
    /// local quota if the counter can't be called or if calls are scarce. Counted units are taken from the local quota
    /// too, so that a later outage of the counter does not permit an additional burst at this gateway.
    pub(super) fn reserve(
        &mut self,
        now: Duration,
        terms: &RateTerms,
        demand: UnitDemand,
        access: CounterAccess,
    ) -> Reservation {
        if terms.rate <= 0.0 {
            return Reservation::Counted;
        }
        let units = demand.units;
        let even_share = terms.burst / demand.gateway_count;
        let start_units = if terms.has_ceiling { 0.0 } else { even_share };
        let refill = Refill {
            rate: terms.rate / demand.gateway_count,
            capacity: even_share.max(units),
        };
        let local_quota = self
            .local_quota
            .get_or_insert_with(|| TokenBucket::new(start_units, now));
        let fits_locally = local_quota.try_take(now, refill, units);
        if self.leased_units >= units {
            if !fits_locally {
                local_quota.clear();
            }
            self.leased_units -= units;
            return Reservation::Counted;
        }
        let is_decided_locally = match access {
            CounterAccess::Unavailable => true,
            CounterAccess::Scarce => fits_locally,
            CounterAccess::Available => false,
        };
        if !is_decided_locally {
            local_quota.refund(if fits_locally { units } else { 0.0 });
            return Reservation::AwaitsBlock;
        }
        // With many gateways the even share may be less than one unit. Customers of low demand may exceed it, because
        // otherwise none of their requests could pass.
        let has_low_demand =
            !terms.has_ceiling && demand.previous_total_demand < terms.rate * LOW_DEMAND_RATIO;
        if fits_locally || has_low_demand {
            Reservation::Uncounted
        } else {
            Reservation::Denied
        }
    }

    /// Adds a request to those that wait for a block. Returns whether it is the first one and the block must be leased.
    pub(super) fn wait_for_block(&mut self, request: WaitingRequest) -> bool {
        self.waiting.push(request);
        self.waiting.len() == 1
    }

    /// Whether requests wait for a block.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes and returns the requests that wait for a block.
    pub(super) fn take_waiting(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// Returns the size of the block to lease for a request, in whole units. It is the recent demand of one window, limited
    /// to this gateway's even share of the burst; the first block is the even share. While calls are scarce, it is the
    /// demand of half a window. It covers at least the request, and units that are already leased are deducted.
    pub(super) fn block_size(
        &self,
        terms: &RateTerms,
        demand: UnitDemand,
        has_spare_calls: bool,
    ) -> f64 {
        let window_demand = demand.local_demand * terms.window_length().as_secs_f64();
        let even_share = terms.burst / demand.gateway_count;
        let wanted = if !has_spare_calls {
            window_demand * SCARCE_BLOCK_WINDOWS
        } else if self.bucket.has_entered_window() {
            even_share.min(window_demand)
        } else {
            even_share
        };
        (wanted.max(demand.units) - self.leased_units).ceil()
    }

    /// Enters a window of the counter. If the previous window was not observed, the customer's bucket is assumed to be
    /// full, or empty under a hard ceiling.
    pub(super) fn enter_window(&mut self, now: Duration, window: u64, terms: &RateTerms) {
        let assumed_level = if terms.has_ceiling { 0.0 } else { terms.burst };
        self.bucket
            .enter_window(window, terms.window_length(), assumed_level, now);
    }

    /// Decides on a block after the counter's reply. Units that the customer's bucket does not hold are returned to the
    /// counter if a call can be spared. If the block is not known to have been added, the waiting requests proceed without
    /// it and reserve their units again.
    pub(super) fn on_block_reply(
        &mut self,
        now: Duration,
        block: &BlockAcquisition,
        reply: CounterReply,
        calls: CallBudget,
    ) -> BlockDecision {
        let Some(total) = reply.total_or(self.bucket.total() + block.size + block.unreported_units)
        else {
            return BlockDecision {
                granted: true,
                returned_units: 0.0,
                units_left_on_counter: 0.0,
            };
        };
        let total_before = total - block.size - block.unreported_units;
        self.bucket
            .update_from_total(total_before, now, block.terms.refill());
        let available = self.bucket.level().floor().clamp(0.0, block.size);
        let granted = self.leased_units + available >= block.request_units;
        let taken = if granted { available } else { 0.0 };
        let returned_units = if calls.has_spare_calls {
            block.size - taken
        } else {
            0.0
        };
        self.leased_units += taken;
        self.bucket.take(taken, total - returned_units);
        if !granted {
            self.rejected_until = self.rejection_end(now, block, calls);
        }
        let units_left_on_counter = if granted {
            0.0
        } else {
            block.size + block.unreported_units - returned_units
        };
        BlockDecision {
            granted,
            returned_units,
            units_left_on_counter,
        }
    }

    /// Returns the time until which a customer is rejected whose bucket does not hold the units: until the bucket has
    /// refilled, but for no more than half a window. If calls are scarce and the quotas are small (see [`CallBudget`]), until
    /// the end of the window.
    fn rejection_end(
        &self,
        now: Duration,
        block: &BlockAcquisition,
        calls: CallBudget,
    ) -> Duration {
        let window = block.terms.window_length();
        if !calls.has_spare_calls && calls.quotas_are_small {
            return block.window.starts_at + window;
        }
        let missing = block.request_units - self.leased_units - self.bucket.level();
        let wait = (missing / block.terms.rate).clamp(
            MIN_REJECTION_SECONDS,
            window.as_secs_f64() * MAX_REJECTION_WINDOWS,
        );
        now + Duration::from_secs_f64(wait)
    }

    /// Charges additional units to the local quota if the request was uncounted, otherwise to the leased units. A negative
    /// number is a refund.
    pub(super) fn settle(&mut self, units: f64, is_uncounted: bool) {
        match self.local_quota.as_mut().filter(|_| is_uncounted) {
            Some(local_quota) => local_quota.take_unchecked(units),
            None => self.leased_units -= units,
        }
    }
}

#[cfg(test)]
mod tests;
