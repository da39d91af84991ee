//! Enforces the quotas of the customers' plans through the shared counter: the concurrency limit, by leases, and the rate
//! quota. A decision that needs the counter's reply is returned by [`CustomerQuotas::on_counter_reply`].

use super::context::Context;
use super::counter_client::{CallPurpose, CounterCall, CounterClient, LeaseRenewal};
use super::counter_names::interval_at;
use super::customers::CustomerTable;
use super::leases::{
    LeaseAcquisition, LeaseDecision, LeaseId, LeasePurpose, LEASE_PERIOD, RENEWAL_LEAD_TIME,
};
use super::rate_quota::{
    BlockAcquisition, CallBudget, CounterAccess, RateTerms, Reservation, WaitingRequest,
    SCARCE_BLOCK_WINDOWS,
};
use super::unit_reports::UnitReports;
use super::TICK_INTERVAL;
use crate::port::{CounterName, CounterReply, CustomerId, Request, RequestId};
use crate::settings::{Plan, Settings};
use std::task::Poll;
use std::time::Duration;

/// The lease of an attempt (`None` if the plan has no concurrency limit), or why it was denied.
pub(super) type LeaseOutcome = Result<Option<LeaseId>, LeaseDenial>;

/// A lease was denied because the customer's attempts in flight have reached the concurrency limit.
pub(super) struct LeaseDenial {
    /// The number of attempts by which the limit would be exceeded, this attempt included. This many attempts must
    /// end before this one can start.
    pub(super) excess_attempts: f64,
}

/// A decision on a request or on a customer's waiting requests that needed the counter's reply.
pub(super) enum QuotaDecision {
    /// The lease of a request's next attempt was granted or denied.
    Lease {
        request: RequestId,
        customer: CustomerId,
        purpose: LeasePurpose,
        outcome: LeaseOutcome,
    },
    /// The block of units for which requests of a customer have been waiting was granted or denied.
    Block {
        customer: CustomerId,
        /// If true, the requests try to reserve their units again; otherwise they are rejected.
        granted: bool,
        /// The requests that have been waiting, in the order in which they came.
        waiting: Vec<WaitingRequest>,
    },
}

/// The leases and the rate quotas of all customers at this gateway.
pub(super) struct CustomerQuotas {
    customers: CustomerTable,
    counter: CounterClient,
    unit_reports: UnitReports,
    last_lease_id: LeaseId,
}

/// Returns the limit on a customer's attempts in flight, or `None` if the plan has no such limit.
fn concurrency_limit(plan: &Plan) -> Option<f64> {
    (plan.concurrency_limit > 0.0).then_some(plan.concurrency_limit)
}

/// Returns the number of a customer's lease period at a time of the adapter's clock.
fn lease_period_at(customer: &CustomerId, at: Duration) -> u64 {
    interval_at(customer, LEASE_PERIOD, at).number
}

impl CustomerQuotas {
    /// Creates the state of a gateway that has just started.
    pub(super) fn new(settings: &Settings, now: Duration) -> CustomerQuotas {
        CustomerQuotas {
            customers: CustomerTable::default(),
            counter: CounterClient::new(settings, now),
            unit_reports: UnitReports::default(),
            last_lease_id: LeaseId(0),
        }
    }

    /// Sets whether there is a shared counter, after a change of the settings.
    pub(super) fn set_counter_present(&mut self, is_present: bool) {
        self.counter.set_present(is_present);
    }

    /// Returns whether calls on the counter are suspended.
    pub(super) fn is_circuit_open(&self, now: Duration) -> bool {
        self.counter.is_circuit_open(now)
    }

    /// Records the demand of a new request. Returns whether the customer's quota is known to be exhausted, so that the
    /// request can be rejected without a call on the counter.
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
        customer.open_requests += 1;
        customer.record_request(context.now, request, gateway_rank, terms.window_seconds);
        let even_share = quota / customer.place.gateway_count;
        let has_small_quota = even_share < request.units;
        self.counter
            .pacer
            .record_request(has_small_quota, settings.value_of(request));
        customer.quota.rejected_until() > context.now
    }

    /// Records that a request of the customer has its final answer or was closed.
    pub(super) fn on_request_closed(&mut self, customer: &CustomerId) {
        self.customers.on_request_closed(customer);
    }

    /// Records that a request of the customer was rejected.
    pub(super) fn record_rejection(&mut self, customer: &CustomerId, now: Duration) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.record_rejection(now);
        }
    }

    /// Whether the customer floods the gateway with requests that are rejected.
    pub(super) fn is_flooding(&self, customer: &CustomerId, now: Duration) -> bool {
        self.customers
            .get(customer)
            .is_some_and(|known| known.is_flooding(now))
    }

    /// Limits the number of customers whose state is kept.
    pub(super) fn set_max_customers(&mut self, max_customers: usize) {
        self.customers.set_max_len(max_customers);
    }

    /// The number of customers whose state is kept.
    #[cfg(test)]
    pub(super) fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Whether the state of a customer is kept.
    #[cfg(test)]
    pub(super) fn knows(&self, customer: &CustomerId) -> bool {
        self.customers.get(customer).is_some()
    }

    /// Returns the time until which the customer's requests are rejected, or zero for an unknown customer.
    pub(super) fn rejected_until(&self, customer: &CustomerId) -> Duration {
        self.customers
            .get(customer)
            .map_or(Duration::ZERO, |known| known.quota.rejected_until())
    }

    /// Acquires a lease for a request's next attempt. Adds the lease to the counter and returns `Pending` until the total
    /// arrives, or decides at once if the counter is not called. `baseline_latency` is the route's baseline latency in
    /// seconds.
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
            window_seconds: terms.window_seconds,
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
        self.last_lease_id = LeaseId(self.last_lease_id.0 + 1);
        self.last_lease_id
    }

    /// Returns whether a lease is granted without the counter in order to save calls. This is done while quotas are small
    /// and calls are scarce, because the two calls for each lease would leave none for the rate quota. It ends when the
    /// units that the counter has shown for the current window reach the concurrency limit. Trade-off: attempts through
    /// other gateways are noticed late.
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
        let may_have_reached_limit = self
            .customers
            .get(customer)
            .is_some_and(|known| known.quota.window_total_reaches(window, limit));
        !may_have_reached_limit && !self.counter.has_spare_calls(now)
    }

    /// Grants or denies a lease according to the counter's reply. `reply` is [`CounterReply::NotApplied`] if the counter
    /// was not called.
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
            customer.total_demand_without(acquisition.units, acquisition.window_seconds),
            period,
        );
        let decision = customer
            .leases
            .on_acquire_reply(acquisition, reply, period, local_limit);
        match decision {
            LeaseDecision::Granted { renew_into } => {
                if let Some(later_period) = renew_into {
                    self.add_leases(context, customer_id, later_period, vec![acquisition.lease]);
                } else if lease_period_at(customer_id, context.now + TICK_INTERVAL) > period
                    && self.counter.has_spare_calls(context.now)
                {
                    // The next tick, which renews leases, may come after the end of the period.
                    self.renew_leases_of(context, customer_id);
                }
                Ok(Some(acquisition.lease))
            }
            LeaseDecision::Denied {
                excess_attempts,
                was_counted,
            } => {
                if was_counted {
                    self.subtract_leases(context, customer_id, acquisition.period, 1.0);
                }
                Err(LeaseDenial { excess_attempts })
            }
        }
    }

    /// Adds leases that are already held to the counter's value of a further period.
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

    /// Handles the reply to a renewal. Leases that have ended since the call are subtracted again.
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
            self.subtract_leases(context, &renewal.customer, renewal.period, ended as f64);
        }
    }

    fn subtract_leases(
        &mut self,
        context: &mut Context,
        customer: &CustomerId,
        period: u64,
        count: f64,
    ) {
        let call = CounterCall::add_leases(customer, period, -count, CallPurpose::Subtract);
        self.counter.call(context, call);
    }

    /// Adds the open leases to the counter's value of the next period, once, shortly before that period begins. Leases
    /// that were granted without the counter are included. The renewal is postponed while calls are scarce.
    pub(super) fn renew_leases(&mut self, context: &mut Context) {
        if !self.counter.has_spare_calls(context.now) {
            return;
        }
        for id in self.customers.lease_holders() {
            self.renew_leases_of(context, &id);
        }
    }

    /// Adds the open leases of a customer to the value of the period that has begun or begins soon, unless this was done
    /// already.
    fn renew_leases_of(&mut self, context: &mut Context, customer_id: &CustomerId) {
        let period = lease_period_at(customer_id, context.now + RENEWAL_LEAD_TIME);
        let customer = self.customers.get_or_insert(customer_id);
        let leases = customer.leases.start_renewal(period);
        if !leases.is_empty() {
            self.add_leases(context, customer_id, period, leases);
        }
    }

    /// Ends a lease: subtracts it from the value of each period in which it is counted, except periods that are over and
    /// no longer read.
    pub(super) fn release_lease(
        &mut self,
        context: &mut Context,
        customer_id: &CustomerId,
        lease: Option<LeaseId>,
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
                self.subtract_leases(context, customer_id, period, 1.0);
            }
        }
    }

    /// Reserves the units of a request that has its lease: from the units already leased, from a new block, or from the
    /// local quota.
    pub(super) fn reserve_units(
        &mut self,
        context: &mut Context,
        request: &Request,
        lease: Option<LeaseId>,
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

    /// Returns whether the counter may be called to lease units for a request. For a customer with frequent requests one
    /// block serves several of them, so the call is valued as that many requests.
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
            (demand * terms.window_seconds * SCARCE_BLOCK_WINDOWS / request.units).max(1.0);
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

    /// Calls the counter to lease a block of units. Units that the customer's bucket does not hold are returned when the
    /// reply arrives.
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
        let unreported_units = self.unit_reports.report_block(size, has_spare_calls);
        let block = BlockAcquisition {
            request_units: units,
            size,
            unreported_units,
            terms: *terms,
            window,
        };
        let purpose = CallPurpose::LeaseBlock(customer_id.clone(), block);
        let amount = size + unreported_units;
        let call = CounterCall::add_units(customer_id, window.number, length, amount, purpose);
        self.counter.call(context, call);
    }

    /// Handles the reply to a lease of a block: units beyond the quota are returned to the counter. Returns whether the
    /// block was granted.
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
                .offset_unreported(decision.units_left_on_counter);
        }
        if decision.returned_units > 0.0 {
            let call = CounterCall::add_units(
                customer_id,
                block.window.number,
                block.terms.window_length(),
                -decision.returned_units,
                CallPurpose::Subtract,
            );
            self.counter.call(context, call);
        }
        decision.granted
    }

    /// Handles the reply to the oldest unanswered call on a counter name. Returns the decision that was waiting for it, if
    /// any.
    pub(super) fn on_counter_reply(
        &mut self,
        context: &mut Context,
        name: CounterName,
        reply: CounterReply,
    ) -> Option<QuotaDecision> {
        match self.counter.on_reply(context, name, reply)? {
            CallPurpose::AcquireLease(customer, acquisition) => {
                let outcome = self.decide_lease(context, &customer, &acquisition, reply);
                Some(QuotaDecision::Lease {
                    request: acquisition.request,
                    customer,
                    purpose: acquisition.purpose,
                    outcome,
                })
            }
            CallPurpose::LeaseBlock(customer, block) => {
                let granted = self.on_block_reply(context, &customer, &block, reply);
                let waiting = self.customers.get_or_insert(&customer).quota.take_waiting();
                Some(QuotaDecision::Block {
                    customer,
                    granted,
                    waiting,
                })
            }
            CallPurpose::RenewLeases(renewal) => {
                self.on_renewal_reply(context, &renewal, reply);
                None
            }
            CallPurpose::Subtract => None,
        }
    }

    /// Charges additional units to the quota that the request was charged to; a negative number is a refund.
    pub(super) fn settle_units(&mut self, customer: &CustomerId, units: f64, is_uncounted: bool) {
        self.customers
            .get_or_insert(customer)
            .quota
            .settle(units, is_uncounted);
    }

    /// Takes a request's units from the hard ceiling of its plan and returns whether they were available, which they always
    /// are without a ceiling. The units of a request that the counter does not count are charged once for each of the
    /// customer's gateways, because the other gateways can't see them. `started_at` is the time at which the gateway
    /// started.
    pub(super) fn try_take_from_ceiling(
        &mut self,
        context: &Context,
        request: &Request,
        is_uncounted: bool,
        started_at: Duration,
    ) -> bool {
        let plan = context.settings.plan(&request.plan);
        let customer = self.customers.get_or_insert(&request.customer);
        let charged = if is_uncounted {
            request.units * customer.place.gateway_count
        } else {
            request.units
        };
        customer
            .ceiling
            .try_take(plan, charged, started_at, context.now)
    }

    /// Removes the state of customers that have been idle for a minute and hold no lease.
    pub(super) fn forget_idle_customers(&mut self, now: Duration) {
        self.customers.forget_idle(now);
    }
}
