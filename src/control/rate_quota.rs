//! The rate quota of a customer: blocks of units that are leased from the counter, and the local quota that stands in
//! where the counter can't be asked.
//!
//! One add to the name of the customer and the current window (burst over rate long) leases a block of units, sized by
//! recent demand. The customer's token bucket, which all gateways share, is followed from the totals.

use super::counter_names::Interval;
use super::leases::{LeaseId, LOW_DEMAND_RATIO};
use super::observed_bucket::ObservedBucket;
use super::token_bucket::{Refill, TokenBucket};
use crate::port::{CounterReply, RequestId};
use crate::settings::Plan;
use std::time::Duration;

/// The shortest window, in seconds, whatever the settings say.
const MIN_WINDOW: f64 = 0.1;

/// The longest window, in seconds, whatever the settings say.
const MAX_WINDOW: f64 = 1e6;

/// The window of a plan without a rate, in seconds: demand is measured by it.
const DEFAULT_WINDOW: f64 = 1.0;

/// The part of a window whose recent demand makes a block while calls on the counter are scarce.
pub(super) const SCARCE_BLOCK_WINDOWS: f64 = 0.5;

/// The least rejection of a customer whose bucket can't hold the units yet, in seconds.
const MIN_REJECTION: f64 = 0.01;

/// The longest such rejection, as a part of the window.
const MAX_REJECTION_WINDOWS: f64 = 0.5;

/// The terms of a plan's rate quota.
#[derive(Clone, Copy)]
pub(super) struct RateTerms {
    /// Units a second; 0: no such quota.
    pub(super) rate: f64,
    /// Units that the customer's bucket holds.
    pub(super) burst: f64,
    /// The length of a window in seconds: burst over rate.
    pub(super) window: f64,
    /// The plan has a hard ceiling, which is never to be passed: what is not known is taken to be spent.
    pub(super) has_ceiling: bool,
}

impl RateTerms {
    /// The terms of a plan.
    pub(super) fn of(plan: &Plan) -> RateTerms {
        let window = if plan.rate > 0.0 {
            (plan.burst / plan.rate).clamp(MIN_WINDOW, MAX_WINDOW)
        } else {
            DEFAULT_WINDOW
        };
        RateTerms {
            rate: plan.rate,
            burst: plan.burst,
            window,
            has_ceiling: plan.ceiling_rate > 0.0,
        }
    }

    /// How the customer's bucket refills over all gateways.
    fn refill(&self) -> Refill {
        Refill {
            rate: self.rate,
            capacity: self.burst,
        }
    }

    /// The length of a window.
    pub(super) fn window_length(&self) -> Duration {
        Duration::from_secs_f64(self.window)
    }
}

/// A request that waits for a block, with the lease that it holds.
pub(super) struct WaitingRequest {
    /// Which request.
    pub(super) request: RequestId,
    /// Its lease; none where the plan has no cap.
    pub(super) lease: Option<LeaseId>,
}

/// How a request's units were reserved.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Reservation {
    /// From a block that the counter counts, or under a plan without a rate quota.
    Counted,
    /// From the local quota: the counter does not count them.
    Uncounted,
    /// The counter could not be asked and the local quota is spent.
    Denied,
    /// Not yet: a block has to be leased from the counter.
    AwaitsBlock,
}

/// Whether the counter can be asked for the units of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum CounterAccess {
    /// It can't: it is down, or the request is worth too little for one of few calls.
    Unavailable,
    /// It can, but calls are few: only for what the local quota can't give.
    Scarce,
    /// It can.
    Available,
}

/// What a customer asks for, as the reservation of its units needs it.
#[derive(Clone, Copy)]
pub(super) struct UnitDemand {
    /// The units of the request.
    pub(super) units: f64,
    /// The customer's recent demand at this gateway, in units a second.
    pub(super) here: f64,
    /// The customer's recent demand without this request, over all its gateways, in units a second.
    pub(super) before: f64,
    /// How many gateways the customer comes through.
    pub(super) gateway_count: f64,
}

/// A block that is being leased.
pub(super) struct BlockAcquisition {
    /// The units of the request that it was leased for.
    pub(super) units: f64,
    /// The units of the block.
    pub(super) size: f64,
    /// Units beside them that stand for what was sent without a report.
    pub(super) unreported: f64,
    /// The terms under which it was leased.
    pub(super) terms: RateTerms,
    /// The window in whose name it is counted.
    pub(super) window: Interval,
}

/// What a reply about a block leads to.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct BlockDecision {
    /// The requests that wait may go on; else they are rejected.
    pub(super) granted: bool,
    /// Units that go back to the counter.
    pub(super) give_back: f64,
    /// Units left on the counter by a block that was not granted: they stand for unreported ones.
    pub(super) left_on_counter: f64,
}

/// How calls on the counter stand when a reply about a block comes.
#[derive(Clone, Copy)]
pub(super) struct CallBudget {
    /// Calls are plenty enough to give units back.
    pub(super) has_spare_calls: bool,
    /// Most customers' even split is less than a request.
    pub(super) quotas_are_small: bool,
}

/// The rate quota of one customer at this gateway.
#[derive(Default)]
pub(super) struct RateQuota {
    /// Units in hand, leased from a window's name.
    leased_units: f64,
    bucket: ObservedBucket,
    /// Requests that wait for a block; the first of them has asked for it.
    waiting: Vec<WaitingRequest>,
    rejected_until: Duration,
    /// The even split of the quota over the customer's gateways, used where the counter can't be asked.
    local_quota: Option<TokenBucket>,
}

impl RateQuota {
    /// Until when the customer's requests are rejected at once.
    pub(super) fn rejected_until(&self) -> Duration {
        self.rejected_until
    }

    /// Whether the units that were seen in that window reach `units`.
    pub(super) fn has_seen(&self, window: u64, units: f64) -> bool {
        self.bucket.has_seen(window, units)
    }

    /// Reserves a request's units from the block in hand, or from the local quota where the counter can't be asked or
    /// is better not asked. Counted units are taken from the local quota too, so that an outage gives no new burst here.
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
        let even_split = terms.burst / demand.gateway_count;
        let start_units = if terms.has_ceiling { 0.0 } else { even_split };
        let refill = Refill {
            rate: terms.rate / demand.gateway_count,
            capacity: even_split.max(units),
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
            local_quota.give_back(if fits_locally { units } else { 0.0 });
            return Reservation::AwaitsBlock;
        }
        // The even split over many gateways may be less than a unit, so a customer of low demand passes beyond it.
        let has_low_demand = !terms.has_ceiling && demand.before < terms.rate * LOW_DEMAND_RATIO;
        if fits_locally || has_low_demand {
            Reservation::Uncounted
        } else {
            Reservation::Denied
        }
    }

    /// Has a request wait for a block; says whether it is the first one, which leases it.
    pub(super) fn wait_for_block(&mut self, request: WaitingRequest) -> bool {
        self.waiting.push(request);
        self.waiting.len() == 1
    }

    /// Those that have waited for a block.
    pub(super) fn take_waiting(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// The units of a block that is to be leased for a request: a window's recent demand, but no more than the even
    /// split, which is also the first block; while calls are scarce, half a window's demand. Units in hand count.
    pub(super) fn block_size(
        &self,
        terms: &RateTerms,
        demand: UnitDemand,
        has_spare_calls: bool,
    ) -> f64 {
        let window_demand = demand.here * terms.window_length().as_secs_f64();
        let even_split = terms.burst / demand.gateway_count;
        let wanted = if !has_spare_calls {
            window_demand * SCARCE_BLOCK_WINDOWS
        } else if self.bucket.is_followed() {
            even_split.min(window_demand)
        } else {
            even_split
        };
        (wanted.max(demand.units) - self.leased_units).ceil()
    }

    /// Follows the customer's bucket into the window of that number. A bucket that was not followed through the last one
    /// is taken to be full, or empty under a hard ceiling.
    pub(super) fn enter_window(&mut self, now: Duration, window: u64, terms: &RateTerms) {
        let assumed_level = if terms.has_ceiling { 0.0 } else { terms.burst };
        self.bucket
            .enter_window(window, terms.window_length(), assumed_level, now);
    }

    /// The reply about a block: units that the customer's bucket can't give go back. Without a reply the waiting requests
    /// go on, and find that the counter can't be asked.
    pub(super) fn on_block_reply(
        &mut self,
        now: Duration,
        block: &BlockAcquisition,
        reply: CounterReply,
        calls: CallBudget,
    ) -> BlockDecision {
        let Some(total) = reply.total_or(self.bucket.total() + block.size + block.unreported)
        else {
            return BlockDecision {
                granted: true,
                give_back: 0.0,
                left_on_counter: 0.0,
            };
        };
        let total_before = total - block.size - block.unreported;
        self.bucket.follow(total_before, now, block.terms.refill());
        let available = self.bucket.level().floor().clamp(0.0, block.size);
        let granted = self.leased_units + available >= block.units;
        let taken = if granted { available } else { 0.0 };
        let give_back = if calls.has_spare_calls {
            block.size - taken
        } else {
            0.0
        };
        self.leased_units += taken;
        self.bucket.take(taken, total - give_back);
        if !granted {
            self.rejected_until = self.rejection_end(now, block, calls);
        }
        let left_on_counter = if granted {
            0.0
        } else {
            block.size + block.unreported - give_back
        };
        BlockDecision {
            granted,
            give_back,
            left_on_counter,
        }
    }

    /// Until when a customer is rejected whose bucket can't hold the units yet: until it does, half a window at most;
    /// where calls are scarce and the split is less than a request, until the window's end.
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
        let missing = block.units - self.leased_units - self.bucket.level();
        let wait = (missing / block.terms.rate)
            .clamp(MIN_REJECTION, window.as_secs_f64() * MAX_REJECTION_WINDOWS);
        now + Duration::from_secs_f64(wait)
    }

    /// Charges `units` more (below zero: gives them back), against what the request was charged to.
    pub(super) fn settle(&mut self, units: f64, is_uncounted: bool) {
        match self.local_quota.as_mut().filter(|_| is_uncounted) {
            Some(local_quota) => local_quota.take_unchecked(units),
            None => self.leased_units -= units,
        }
    }
}

#[cfg(test)]
mod tests;
