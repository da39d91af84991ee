//! The rate quota of a customer: blocks of units that are leased from the counter, and the local quota that stands in
//! where the counter can't be asked.
//!
//! One add to the name of the customer and the current window (burst over rate long) leases a block of units, sized by
//! recent demand. The customer's token bucket, which all gateways share, is followed from the totals.

use super::leases::{LeaseId, LOW_DEMAND_RATIO};
use super::token_bucket::TokenBucket;
use crate::port::{CounterName, CounterReply, RequestId};
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

/// How much of what was reported and not reported to the counter stays after each block.
const REPORT_DECAY: f64 = 0.95;

/// An add stands for at most so many unreported units to each of its own.
const MAX_UNREPORTED_RATIO: f64 = 10.0;

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
    /// From the block in hand.
    FromBlock,
    /// The counter was not asked: by the local quota, if that allowed it.
    Uncounted { allowed: bool },
    /// There is no such quota.
    Unlimited,
    /// Not yet: a block has to be leased.
    NeedsBlock,
}

/// What a customer asks for, as the reservation of its units needs it.
#[derive(Clone, Copy)]
pub(super) struct UnitDemand {
    /// The units of the request.
    pub(super) units: f64,
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
    /// The window's name on the counter.
    pub(super) counter: CounterName,
    /// When the window began.
    pub(super) window_starts_at: Duration,
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
    /// Calls can be spared: what overshot goes back.
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
        self.bucket.window == window && self.bucket.total >= units
    }

    /// Reserves a request's units from the block in hand or, where the counter can't be asked (`is_silent`) or calls on
    /// it are scarce and the local quota suffices, from the local quota. Counted sends draw on the local quota too, so
    /// that an outage gives no new burst here.
    pub(super) fn reserve(
        &mut self,
        now: Duration,
        terms: &RateTerms,
        demand: UnitDemand,
        is_silent: bool,
        calls_are_scarce: bool,
    ) -> Reservation {
        if terms.rate <= 0.0 {
            return Reservation::Unlimited;
        }
        let units = demand.units;
        let even_split = terms.burst / demand.gateway_count;
        let start_units = if terms.has_ceiling { 0.0 } else { even_split };
        let local_quota = self
            .local_quota
            .get_or_insert_with(|| TokenBucket::new(start_units, now));
        let local_rate = terms.rate / demand.gateway_count;
        let fits = local_quota.try_take(now, local_rate, even_split.max(units), units);
        if self.leased_units >= units {
            if !fits {
                local_quota.clear();
            }
            self.leased_units -= units;
            return Reservation::FromBlock;
        }
        if is_silent || (fits && calls_are_scarce) {
            // A split over many gateways may be under a unit: who asked for little before this request passes.
            let asks_little = !terms.has_ceiling && demand.before < terms.rate * LOW_DEMAND_RATIO;
            return Reservation::Uncounted {
                allowed: fits || asks_little,
            };
        }
        local_quota.give_back(if fits { units } else { 0.0 });
        Reservation::NeedsBlock
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

    /// Enters a window and sizes the block to lease in it: a window's recent demand (`recent_demand`, in units), but no
    /// more than the even split, which is also the first block; while calls are scarce, half a window's demand.
    pub(super) fn size_block(
        &mut self,
        now: Duration,
        window: u64,
        terms: &RateTerms,
        demand: UnitDemand,
        recent_demand: f64,
        has_spare_calls: bool,
    ) -> f64 {
        let was_followed = self.bucket.window > 0;
        // A bucket that was not followed is taken to be full, or empty under a hard ceiling.
        let assumed_level = if terms.has_ceiling { 0.0 } else { terms.burst };
        self.bucket
            .enter_window(window, terms.window_length(), assumed_level, now);
        let even_split = terms.burst / demand.gateway_count;
        let usual = if was_followed {
            even_split.min(recent_demand)
        } else {
            even_split
        };
        let wanted = if has_spare_calls {
            usual
        } else {
            recent_demand * SCARCE_BLOCK_WINDOWS
        };
        (wanted.max(demand.units) - self.leased_units).ceil()
    }

    /// The reply about a block: what the bucket can't give goes back, and the requests that wait are told. Without a
    /// reply they go on, and find the counter silent.
    pub(super) fn on_block_reply(
        &mut self,
        now: Duration,
        block: &BlockAcquisition,
        reply: CounterReply,
        calls: CallBudget,
    ) -> BlockDecision {
        let reported = block.size + block.unreported;
        let Some(total) = reply.total_or(self.bucket.total + block.size + block.unreported) else {
            return BlockDecision {
                granted: true,
                give_back: 0.0,
                left_on_counter: 0.0,
            };
        };
        self.bucket.follow(
            total - block.size - block.unreported,
            now,
            block.terms.rate,
            block.terms.burst,
        );
        let available = self.bucket.level.floor().clamp(0.0, block.size);
        let granted = self.leased_units + available >= block.units;
        let taken = if granted { available } else { 0.0 };
        let give_back = if calls.has_spare_calls {
            block.size - taken
        } else {
            0.0
        };
        self.leased_units += taken;
        self.bucket.level -= taken;
        self.bucket.total = total - give_back;
        if granted {
            return BlockDecision {
                granted,
                give_back,
                left_on_counter: 0.0,
            };
        }
        self.rejected_until = self.rejection_end(now, block, calls);
        BlockDecision {
            granted,
            give_back,
            left_on_counter: reported - give_back,
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
            return block.window_starts_at + window;
        }
        let missing = block.units - self.leased_units - self.bucket.level;
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

/// A customer's token bucket as the totals on the counter show it: they tell what all gateways took.
#[derive(Default)]
struct ObservedBucket {
    /// Units in the bucket.
    level: f64,
    /// The window that was entered last, 0: none.
    window: u64,
    /// The length of that window.
    length: Duration,
    /// The total that was seen last in its name.
    total: f64,
    /// When the level was last moved.
    updated_at: Duration,
}

impl ObservedBucket {
    /// Enters the window of that number and length. A bucket that was followed through the last one goes on, also where
    /// new settings have changed the length; one that was not is taken to hold `assumed_level`.
    fn enter_window(&mut self, window: u64, length: Duration, assumed_level: f64, now: Duration) {
        if self.window == window && self.length == length {
            return;
        }
        let length_changed = self.length != length && now < self.updated_at + self.length;
        let was_followed = self.window + 1 == window || (length_changed && self.window > 0);
        if !was_followed {
            self.level = assumed_level;
            self.updated_at = now;
        }
        self.window = window;
        self.length = length;
        self.total = 0.0;
    }

    /// Refills at the rate, and gives what the total shows taken since the last look.
    fn follow(&mut self, total: f64, now: Duration, rate: f64, burst: f64) {
        let refill = now.saturating_sub(self.updated_at).as_secs_f64() * rate;
        self.level = (self.level + refill - (total - self.total)).min(burst);
        self.total = total;
        self.updated_at = now;
    }
}

/// Units of late that were reported to the counter, and sent without a report, over all customers.
#[derive(Default)]
pub(super) struct UnitReports {
    reported: f64,
    unreported: f64,
}

impl UnitReports {
    /// Units were sent without a report.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.unreported += units;
    }

    /// Units that were reported and not used stand for unreported ones.
    pub(super) fn offset_unreported(&mut self, units: f64) {
        self.unreported = (self.unreported - units).max(0.0);
    }

    /// A block of `size` is reported; gives the units that are to be reported beside it. Where calls are scarce, an add
    /// also stands for what this gateway sent without one. Trade-off: it is charged to this customer, whoever they went to.
    pub(super) fn report_block(&mut self, size: f64, has_spare_calls: bool) -> f64 {
        let ratio = (self.unreported / self.reported.max(1.0)).min(MAX_UNREPORTED_RATIO);
        let beside = if has_spare_calls {
            0.0
        } else {
            (size * ratio).round()
        };
        self.reported = self.reported * REPORT_DECAY + size;
        self.unreported *= REPORT_DECAY;
        beside
    }
}
