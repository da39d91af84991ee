//! What each customer may do, kept on the shared counter: concurrency leases and the rate quota. A decision that needs the
//! counter's reply comes back by [`CustomerQuotas::on_counter_reply`].

use super::context::Context;
use super::counter_client::{CallPurpose, CounterCall, CounterClient, LeaseRenewal};
use super::counter_names::interval_at;
use super::customers::CustomerTable;
use super::leases::{
    LeaseAcquisition, LeaseDecision, LeaseId, LeasePurpose, LEASE_PERIOD, RENEW_AHEAD,
};
use super::rate_quota::{
    BlockAcquisition, CallBudget, CounterAccess, RateTerms, Reservation, WaitingRequest,
    SCARCE_BLOCK_WINDOWS,
};
use super::unit_reports::UnitReports;
use crate::port::{CounterName, CounterReply, CustomerId, Request, RequestId};
use crate::settings::{Plan, Settings};
use std::task::Poll;
use std::time::Duration;

/// The lease of an attempt; none where the plan states no cap.
pub(super) type GrantedLease = Option<LeaseId>;

/// The lease of an attempt, or why it gets none.
pub(super) type LeaseOutcome = Result<GrantedLease, LeaseDenial>;

/// A lease was denied: the customer's attempts have reached the cap.
pub(super) struct LeaseDenial {
    /// Attempts beyond the cap, which are ahead of this one.
    pub(super) ahead: f64,
}

/// What a reply of the counter has decided.
pub(super) enum Resumption {
    /// The lease of a request.
    Lease {
        /// Which request.
        request: RequestId,
        /// Whose it is.
        customer: CustomerId,
        /// For which of its attempts.
        purpose: LeasePurpose,
        /// The lease, or why there is none.
        outcome: LeaseOutcome,
    },
    /// The block for which requests of a customer have waited.
    Block {
        /// Whose requests.
        customer: CustomerId,
        /// The block was granted: they may reserve their units again. Else they are rejected.
        granted: bool,
        /// Which requests.
        waiting: Vec<WaitingRequest>,
    },
}

/// The leases and quotas of all customers at this gateway.
pub(super) struct CustomerQuotas {
    customers: CustomerTable,
    counter: CounterClient,
    unit_reports: UnitReports,
    last_lease: LeaseId,
}

/// The cap on a customer's attempts in flight at once; a plan may state none.
fn concurrency_limit(plan: &Plan) -> Option<f64> {
    (plan.concurrency_limit > 0.0).then_some(plan.concurrency_limit)
}

/// The number of a customer's lease period at a moment.
fn lease_period_at(customer: &CustomerId, at: Duration) -> u64 {
    interval_at(customer, LEASE_PERIOD, at).number
}

impl CustomerQuotas {
    /// No customer is known yet.
    pub(super) fn new(settings: &Settings, now: Duration) -> CustomerQuotas {
        CustomerQuotas {
            customers: CustomerTable::default(),
            counter: CounterClient::new(settings, now),
            unit_reports: UnitReports::default(),
            last_lease: LeaseId(0),
        }
    }

    /// New settings say whether there is a counter.
    pub(super) fn set_counter_present(&mut self, is_present: bool) {
        self.counter.set_present(is_present);
    }

    /// Whether the counter must not be called.
    pub(super) fn is_circuit_open(&self, now: Duration) -> bool {
        self.counter.is_circuit_open(now)
    }

    /// Records what a request asks for; says whether its customer's quota is known to be spent.
    pub(super) fn record_request(&mut self, context: &Context, request: &Request) -> bool {
        let settings = &context.settings;
        let plan = settings.plan(&request.plan);
        let terms = RateTerms::of(plan);
        let first_gateway = f64::from(request.first_gateway);
        let gateway_rank = (f64::from(settings.gateway_index) - first_gateway)
            .rem_euclid(settings.gateway_count());
        let quota = if terms.rate > 0.0 {
            terms.burst
        } else {
            concurrency_limit(plan).unwrap_or(f64::INFINITY)
        };
        let customer = self.customers.get_or_insert(&request.customer);
        customer.record_request(context.now, request, gateway_rank, terms.window);
        let even_split = quota / customer.place.count;
        let has_small_quota = even_split < request.units;
        self.counter
            .pacer
            .record_request(has_small_quota, settings.value_of(request));
        customer.quota.rejected_until() > context.now
    }

    /// Until when a customer's requests are rejected, as far as that is known.
    pub(super) fn rejected_until(&self, customer: &CustomerId) -> Duration {
        self.customers
            .get(customer)
            .map_or(Duration::ZERO, |known| known.quota.rejected_until())
    }

    /// Acquires a lease for a request's next attempt: adds one on the counter and waits for the total, unless it is
    /// decided without the counter. `baseline_latency` is that of the route, in seconds.
    pub(super) fn acquire_lease(
        &mut self,
        context: &mut Context,
        request: &Request,
        purpose: LeasePurpose,
        baseline_latency: Option<f64>,
    ) -> Poll<LeaseOutcome> {
        let plan = context.settings.plan(&request.plan);
        let Some(limit) = concurrency_limit(plan) else {
            return Poll::Ready(Ok(None));
        };
        let now = context.now;
        let customer_id = &request.customer;
        let terms = RateTerms::of(plan);
        let value = context.settings.value_of(request);
        let reserve_ratio = self.counter.pacer.reserve_ratio(value, 1.0);
        let skips_counter = self.should_skip_counter(now, customer_id, &terms, limit);
        let may_call = !skips_counter && self.counter.may_call(now, reserve_ratio);
        let acquisition = LeaseAcquisition {
            request: request.id.clone(),
            purpose,
            lease: self.next_lease(),
            period: lease_period_at(customer_id, now),
            limit,
            units: request.units,
            window: terms.window,
            seconds_per_unit: baseline_latency.unwrap_or(0.0) / request.units.max(1.0),
            skips_counter,
        };
        if !may_call {
            let reply = CounterReply::NotApplied;
            return Poll::Ready(self.decide_lease(context, customer_id, &acquisition, reply));
        }
        let period = acquisition.period;
        let call_purpose = CallPurpose::AcquireLease(customer_id.clone(), acquisition);
        let call = CounterCall::add_leases(customer_id, period, 1.0, call_purpose);
        self.counter.call(context, call);
        Poll::Pending
    }

    fn next_lease(&mut self) -> LeaseId {
        self.last_lease = LeaseId(self.last_lease.0 + 1);
        self.last_lease
    }

    /// Whether a lease is left uncounted to save calls: where calls are scarce and quotas small, until the units seen in
    /// this window could fill the cap. Two calls for each lease would leave none to ask for the units. Trade-off:
    /// attempts of other gateways are seen late.
    fn should_skip_counter(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        terms: &RateTerms,
        limit: f64,
    ) -> bool {
        let may_skip = terms.rate > 0.0
            && self.counter.pacer.quotas_are_small()
            && !self.counter.is_circuit_open(now);
        if !may_skip {
            return false;
        }
        let window = interval_at(customer, terms.window_length(), now).number;
        let could_be_full = self
            .customers
            .get(customer)
            .is_some_and(|known| known.quota.has_seen(window, limit));
        !could_be_full && !self.counter.has_spare_calls(now)
    }

    /// Decides on a lease by the counter's reply, or by [`CounterReply::NotApplied`] where it was not asked.
    fn decide_lease(
        &mut self,
        context: &mut Context,
        customer_id: &CustomerId,
        acquisition: &LeaseAcquisition,
        reply: CounterReply,
    ) -> LeaseOutcome {
        let period = lease_period_at(customer_id, context.now);
        let customer = self.customers.get_or_insert(customer_id);
        let local_limit = acquisition.local_limit(
            customer.place,
            customer.demand_without(acquisition.units, acquisition.window),
            period,
        );
        let decision = customer
            .leases
            .on_acquire_reply(acquisition, reply, period, local_limit);
        match decision {
            LeaseDecision::Granted { renew_into } => {
                if let Some(later_period) = renew_into {
                    self.add_leases(context, customer_id, later_period, vec![acquisition.lease]);
                }
                Ok(Some(acquisition.lease))
            }
            LeaseDecision::Denied { ahead, was_counted } => {
                if was_counted {
                    self.take_off_leases(context, customer_id, acquisition.period, 1.0);
                }
                Err(LeaseDenial { ahead })
            }
        }
    }

    /// Counts leases in a further period too.
    fn add_leases(
        &mut self,
        context: &mut Context,
        customer: &CustomerId,
        period: u64,
        leases: Vec<LeaseId>,
    ) {
        let count = leases.len() as f64;
        let purpose = CallPurpose::RenewLeases(LeaseRenewal {
            customer: customer.clone(),
            period,
            leases,
        });
        let call = CounterCall::add_leases(customer, period, count, purpose);
        self.counter.call(context, call);
    }

    /// Leases were added to a further period's name; those that have ended since are taken off again.
    fn on_renewal_reply(
        &mut self,
        context: &mut Context,
        renewal: &LeaseRenewal,
        reply: CounterReply,
    ) {
        if !reply.is_applied() {
            return;
        }
        let customer = self.customers.get_or_insert(&renewal.customer);
        let ended = customer.leases.on_renewed(&renewal.leases, renewal.period);
        if ended > 0 {
            self.take_off_leases(context, &renewal.customer, renewal.period, ended as f64);
        }
    }

    fn take_off_leases(
        &mut self,
        context: &mut Context,
        customer: &CustomerId,
        period: u64,
        count: f64,
    ) {
        let call = CounterCall::add_leases(customer, period, -count, CallPurpose::GiveBack);
        self.counter.call(context, call);
    }

    /// Adds the open leases to the next period's name shortly before that period begins, once, uncounted ones too. Waits
    /// while calls are scarce.
    pub(super) fn renew_leases(&mut self, context: &mut Context) {
        if !self.counter.has_spare_calls(context.now) {
            return;
        }
        for id in self.customers.lease_holders() {
            let period = lease_period_at(&id, context.now + RENEW_AHEAD);
            let customer = self.customers.get_or_insert(&id);
            let leases = customer.leases.start_renewal(period);
            if !leases.is_empty() {
                self.add_leases(context, &id, period, leases);
            }
        }
    }

    /// Ends a lease: takes it off every name in which it was counted and that has not expired, and off no other.
    pub(super) fn release_lease(
        &mut self,
        context: &mut Context,
        customer_id: &CustomerId,
        lease: GrantedLease,
    ) {
        let Some(lease) = lease else {
            return;
        };
        let current_period = lease_period_at(customer_id, context.now);
        let customer = self.customers.get_or_insert(customer_id);
        let periods = customer.leases.release(lease);
        if self.counter.is_circuit_open(context.now) {
            return;
        }
        for period in periods {
            if period >= current_period {
                self.take_off_leases(context, customer_id, period, 1.0);
            }
        }
    }

    /// Reserves the units of a request that has its lease: from the block in hand, from a new block, or from the local
    /// quota.
    pub(super) fn reserve_units(
        &mut self,
        context: &mut Context,
        request: &Request,
        lease: GrantedLease,
    ) -> Reservation {
        let now = context.now;
        let terms = RateTerms::of(context.settings.plan(&request.plan));
        let access = self.counter_access(context, request, &terms);
        let customer = self.customers.get_or_insert(&request.customer);
        let demand = customer.unit_demand(request.units, &terms);
        let reservation = customer.quota.reserve(now, &terms, demand, access);
        if reservation == Reservation::Uncounted {
            self.unit_reports.add_unreported(request.units);
        }
        if reservation == Reservation::AwaitsBlock {
            let waiting = WaitingRequest {
                request: request.id.clone(),
                lease,
            };
            if customer.quota.wait_for_block(waiting) {
                self.lease_block(context, &request.customer, &terms, request.units);
            }
        }
        reservation
    }

    /// Whether the counter can be asked for the units of a request. One block pays for several requests of a customer
    /// that asks often, and is worth so much more.
    fn counter_access(
        &mut self,
        context: &Context,
        request: &Request,
        terms: &RateTerms,
    ) -> CounterAccess {
        let demand = self
            .customers
            .get(&request.customer)
            .map_or(0.0, |known| known.demand);
        let requests_per_block =
            (demand * terms.window * SCARCE_BLOCK_WINDOWS / request.units).max(1.0);
        let value = context.settings.value_of(request);
        let reserve_ratio = self.counter.pacer.reserve_ratio(value, requests_per_block);
        let has_spare_calls = self.counter.has_spare_calls(context.now);
        if !self.counter.may_call(context.now, reserve_ratio) {
            CounterAccess::Unavailable
        } else if has_spare_calls {
            CounterAccess::Available
        } else {
            CounterAccess::Scarce
        }
    }

    /// One add to the window's name leases a block; what the customer's bucket can't give goes back.
    fn lease_block(
        &mut self,
        context: &mut Context,
        customer_id: &CustomerId,
        terms: &RateTerms,
        units: f64,
    ) {
        let has_spare_calls = self.counter.has_spare_calls(context.now);
        let length = terms.window_length();
        let window = interval_at(customer_id, length, context.now);
        let customer = self.customers.get_or_insert(customer_id);
        let demand = customer.unit_demand(units, terms);
        let size = customer.quota.block_size(terms, demand, has_spare_calls);
        customer
            .quota
            .enter_window(context.now, window.number, terms);
        let unreported = self.unit_reports.report_block(size, has_spare_calls);
        let block = BlockAcquisition {
            units,
            size,
            unreported,
            terms: *terms,
            window,
        };
        let purpose = CallPurpose::LeaseBlock(customer_id.clone(), block);
        let amount = size + unreported;
        let call = CounterCall::add_units(customer_id, window.number, length, amount, purpose);
        self.counter.call(context, call);
    }

    /// The counter has replied about a block: units beyond the quota go back. Says whether the block was granted.
    fn on_block_reply(
        &mut self,
        context: &mut Context,
        customer_id: &CustomerId,
        block: &BlockAcquisition,
        reply: CounterReply,
    ) -> bool {
        let calls = CallBudget {
            quotas_are_small: self.counter.pacer.quotas_are_small(),
            has_spare_calls: self.counter.has_spare_calls(context.now),
        };
        let customer = self.customers.get_or_insert(customer_id);
        let decision = customer
            .quota
            .on_block_reply(context.now, block, reply, calls);
        if !decision.granted {
            self.unit_reports
                .offset_unreported(decision.left_on_counter);
        }
        if decision.give_back > 0.0 {
            let call = CounterCall::add_units(
                customer_id,
                block.window.number,
                block.terms.window_length(),
                -decision.give_back,
                CallPurpose::GiveBack,
            );
            self.counter.call(context, call);
        }
        decision.granted
    }

    /// The counter has answered the oldest call on a name: gives what is decided by it, if anything waits for it.
    pub(super) fn on_counter_reply(
        &mut self,
        context: &mut Context,
        name: CounterName,
        reply: CounterReply,
    ) -> Option<Resumption> {
        match self.counter.on_reply(context, name, reply)? {
            CallPurpose::AcquireLease(customer, acquisition) => {
                let outcome = self.decide_lease(context, &customer, &acquisition, reply);
                Some(Resumption::Lease {
                    request: acquisition.request,
                    customer,
                    purpose: acquisition.purpose,
                    outcome,
                })
            }
            CallPurpose::LeaseBlock(customer, block) => {
                let granted = self.on_block_reply(context, &customer, &block, reply);
                let waiting = self.customers.get_or_insert(&customer).quota.take_waiting();
                Some(Resumption::Block {
                    customer,
                    granted,
                    waiting,
                })
            }
            CallPurpose::RenewLeases(renewal) => {
                self.on_renewal_reply(context, &renewal, reply);
                None
            }
            CallPurpose::GiveBack => None,
        }
    }

    /// Charges `units` more (below zero: gives them back), against what the request was charged to.
    pub(super) fn settle_units(&mut self, customer: &CustomerId, units: f64, is_uncounted: bool) {
        self.customers
            .get_or_insert(customer)
            .quota
            .settle(units, is_uncounted);
    }

    /// Takes a request's units from the hard ceiling of its plan, if there is one; says whether they were there. A request
    /// that the counter does not count is charged for all of the customer's gateways. `started_at` is when the gateway
    /// started.
    pub(super) fn try_pass_ceiling(
        &mut self,
        context: &Context,
        request: &Request,
        is_uncounted: bool,
        started_at: Duration,
    ) -> bool {
        let plan = context.settings.plan(&request.plan);
        let customer = self.customers.get_or_insert(&request.customer);
        let charged = if is_uncounted {
            request.units * customer.place.count
        } else {
            request.units
        };
        customer
            .ceiling
            .try_take(plan, charged, started_at, context.now)
    }

    /// Forgets the customers that have not been heard of for long.
    pub(super) fn forget_idle_customers(&mut self, now: Duration) {
        self.customers.forget_idle(now);
    }
}
