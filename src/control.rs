//! The admission controller: the decisions of one gateway.
//!
//! An adapter creates an [`AdmissionController`] with the settings, a seed and a [`Port`]. Before each event it sets
//! the time ([`AdmissionController::set_time`]), then it passes the event (`on_request`, `on_counter_reply`,
//! `on_attempt_end` and so on). The controller acts through the port; [`crate::port`] describes both directions.
//!
//! A request goes through these steps: the controller acquires a concurrency lease on the shared counter, reserves the
//! request's units and sends an attempt. When the attempt ends, the request gets its final answer or a retry. A typed
//! record says what a step waits for: a `CallPurpose` for a reply of the counter, an `InFlightAttempt` for the end of
//! an attempt, a `Timer` for a time.
//!
//! The controller takes each request through these steps and connects the modules, each of which owns its state:
//!
//! | module | what it decides or stores |
//! | --- | --- |
//! | `requests` | the records of open requests and of attempts |
//! | `customer_quotas` | the quotas of each customer: `customers`, `leases`, `rate_quota`, `ceiling`, with `token_bucket`, `observed_bucket` and `unit_reports` |
//! | `counter_client` | the calls on the counter, with `rate_pacer`, `circuit_breaker` and `counter_names` |
//! | `load_balancer` | the state of the endpoints: `endpoints`, `failure_rate`, `latency`, `machine_types`, `throughput` |
//! | `endpoint_picker` | which endpoint an attempt is sent to |
//! | `slow_start` | how much may be sent to an endpoint that has just started |
//! | `concurrency_limit`, `load_shedding` | how many attempts this gateway may have in flight, and which requests are shed under overload |
//! | `retries`, `retry_after` | whether a retry is safe, and when a rejected client is told to retry |
//! | `timers`, `context` | the timer queue, and the settings, time and port that all modules use |

mod ceiling;
mod circuit_breaker;
mod concurrency_limit;
mod context;
mod counter_client;
mod counter_names;
mod customer_quotas;
mod customers;
mod endpoint_picker;
mod endpoints;
mod failure_rate;
mod latency;
mod leases;
mod load_balancer;
mod load_shedding;
mod machine_types;
mod observed_bucket;
mod rate_pacer;
mod rate_quota;
mod requests;
mod retries;
mod retry_after;
mod slow_start;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
mod throughput;
mod timers;
mod token_bucket;
mod unit_reports;

use crate::port::{
    AttemptNumber, AttemptResult, CounterName, CounterReply, CustomerId, EndpointId,
    EndpointUpdate, Port, Request, RequestId, TimerToken, UpdateTiming, QUEUE_TIMER, TICK_TIMER,
};
use crate::settings::{DiscoveryMode, Settings};
use context::Context;
use customer_quotas::{CustomerQuotas, LeaseDenial, LeaseOutcome, QuotaDecision};
use leases::{LeaseId, LeasePurpose};
use load_balancer::LoadBalancer;
use load_shedding::LoadShedder;
use nanorand::{Rng, WyRand};
use rate_quota::{Reservation, WaitingRequest};
use requests::{InFlightAttempt, OpenRequest};
use retries::{RepeatGuard, RetryBudget};
use retry_after::DEFAULT_RETRY_AFTER;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use timers::{Timer, TimerId, TimerQueue};

/// The interval of [`TICK_TIMER`], the only periodic timer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The delay after a discovery failure before the gateway subscribes again.
const RESUBSCRIBE_DELAY: Duration = Duration::from_millis(500);

/// The number of timer resolutions by which an event may be handled later than planned. A request is answered this much
/// before its deadline.
const TIMER_SLACK_RESOLUTIONS: u32 = 2;

/// Decides for one gateway which requests are admitted, and where and when their attempts are sent.
pub struct AdmissionController {
    context: Context,
    rng: WyRand,
    /// When the controller was created, on the adapter's clock.
    started_at: Duration,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts whose end has not been reported yet, including those of requests that already have their final answer.
    attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    quotas: CustomerQuotas,
    balancer: LoadBalancer,
    shedder: LoadShedder,
    retry_budget: RetryBudget,
    timers: TimerQueue,
}

/// The endpoint of the next attempt, and until when the attempt may be sent.
struct AttemptTarget {
    endpoint: EndpointId,
    /// The time by which the attempt must be sent completely, so that the request can't run twice; [`Duration::MAX`]
    /// means no limit.
    send_by: Duration,
}

impl AdmissionController {
    /// Creates a controller without endpoints. `seed` seeds its random numbers and should differ at each start; `now`
    /// is the current time on the adapter's clock.
    pub fn new(settings: Rc<Settings>, seed: u64, now: Duration, port: Box<dyn Port>) -> Self {
        let mut controller = AdmissionController {
            quotas: CustomerQuotas::new(&settings, now),
            context: Context {
                settings,
                now,
                port,
            },
            rng: WyRand::new_seed(seed),
            started_at: now,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            balancer: LoadBalancer::new(),
            shedder: LoadShedder::default(),
            retry_budget: RetryBudget::new(),
            timers: TimerQueue::default(),
        };
        controller.set_tick_timer();
        if controller.context.settings.discovery == DiscoveryMode::Subscribe {
            controller.context.port.subscribe(true);
        }
        controller
    }

    /// Replaces the settings. Open requests keep the route settings that they were received with. Leases, reserved
    /// units and attempts in flight stay counted where they were counted.
    pub fn reconfigure(&mut self, settings: Rc<Settings>) {
        let old = std::mem::replace(&mut self.context.settings, settings);
        let new = &self.context.settings;
        if old.counter.present != new.counter.present {
            self.quotas.set_counter_present(new.counter.present);
        }
        if old.discovery != new.discovery {
            self.context.port.subscribe(true);
        }
        self.balancer.refresh_subset(&self.context);
    }

    /// Limits the number of customers whose state is kept, apart from those with open requests or leases.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.quotas.set_max_customers(max_customers);
    }

    /// Sets the current time, on the adapter's clock. Must be called before each event.
    pub fn set_time(&mut self, now: Duration) {
        self.context.now = now;
    }

    /// Handles a new client request. It gets exactly one final answer, by its deadline.
    pub fn on_request(&mut self, request: Request) {
        let id = request.id.clone();
        let customer = request.customer.clone();
        let answer_by = request
            .deadline
            .saturating_sub(self.timer_slack())
            .max(self.context.now);
        let quota_is_exhausted = self.quotas.record_request(&self.context, &request);
        self.retry_budget.record_request();
        self.open_request(request);
        if quota_is_exhausted {
            return self.respond(&id, self.until_quota_refills(&customer));
        }
        if self.should_shed(&id) {
            return self.respond(&id, DEFAULT_RETRY_AFTER);
        }
        // Requests that are rejected at once need no timer, which would wake the gateway for nothing.
        let timer = self.set_timer(answer_by, Timer::RequestDeadline(id.clone()));
        if let Some(open) = self.requests.get_mut(&id) {
            open.deadline_timer = Some(timer);
        }
        self.acquire_lease(&id, LeasePurpose::FirstAttempt);
    }

    /// Rejects a request that the adapter has read but not passed to [`AdmissionController::on_request`], so that
    /// nothing of it has run.
    pub fn reject_unadmitted(&mut self, request: &RequestId) {
        self.context.port.reject(request, DEFAULT_RETRY_AFTER);
    }

    /// Gives an open request its final answer now, before its deadline.
    pub fn expire_request(&mut self, request: &RequestId) {
        self.respond(request, DEFAULT_RETRY_AFTER);
    }

    /// Handles the disconnection of a request's client: the request is closed without an answer.
    pub fn on_client_disconnect(&mut self, request: &RequestId) {
        self.close_request(request);
    }

    /// Handles the start of a streamed response. The controller forgets the request: it gets no other answer, and its
    /// deadline no longer applies. The attempt stays in flight until its end is reported.
    pub fn on_response_started(&mut self, request: &RequestId) {
        self.forget_request(request);
    }

    /// Handles the counter's reply to the oldest unanswered call with this name.
    pub fn on_counter_reply(&mut self, name: CounterName, reply: CounterReply) {
        match self.quotas.on_counter_reply(&mut self.context, name, reply) {
            Some(QuotaDecision::Lease {
                request,
                customer,
                purpose,
                outcome,
            }) => self.on_lease_outcome(&request, &customer, purpose, outcome),
            Some(QuotaDecision::Block {
                customer,
                granted,
                waiting,
            }) => self.resume_waiting(&customer, granted, waiting),
            None => (),
        }
    }

    /// Resumes the requests that waited for a block of units: reserves their units again if the block was granted,
    /// otherwise rejects them.
    fn resume_waiting(
        &mut self,
        customer: &CustomerId,
        granted: bool,
        waiting: Vec<WaitingRequest>,
    ) {
        for waiter in waiting {
            if granted {
                self.reserve_units(&waiter.request, customer, waiter.lease);
            } else {
                self.reject_unreserved(&waiter.request, customer, waiter.lease);
            }
        }
    }

    /// Handles the end of an attempt: records its result, releases its lease and settles its units. The request then
    /// gets its final answer or a retry.
    pub fn on_attempt_end(
        &mut self,
        request: &RequestId,
        number: AttemptNumber,
        result: AttemptResult,
    ) {
        let Some(attempt) = self.attempts.remove(&(request.clone(), number)) else {
            return;
        };
        self.balancer
            .on_attempt_end(&self.context, &attempt.endpoint, &attempt.route, &result);
        self.quotas
            .release_lease(&mut self.context, &attempt.customer, attempt.lease);
        self.settle_attempt(request, &attempt, &result);
        self.continue_request(request, attempt, &result);
    }

    /// Handles an update of the endpoint list from discovery.
    pub fn on_endpoint_update(&mut self, timing: UpdateTiming, update: EndpointUpdate) {
        self.balancer
            .on_endpoint_update(&self.context, timing, update);
    }

    /// Handles a failed request for the endpoint list or a broken subscription: the gateway subscribes again after a
    /// delay.
    pub fn on_discovery_failure(&mut self) {
        self.set_timer(self.context.now + RESUBSCRIBE_DELAY, Timer::Resubscribe);
    }

    /// Handles a timer of the controller that has fired.
    pub fn on_timer(&mut self, token: TimerToken) {
        if token == TICK_TIMER {
            self.on_tick();
        }
        self.timers.disarm(self.context.now);
        while let Some(timer) = self.timers.pop_due(self.context.now) {
            match timer {
                Timer::RequestDeadline(request) => self.respond(&request, DEFAULT_RETRY_AFTER),
                Timer::Resubscribe => self.context.port.subscribe(true),
            }
        }
        self.arm_queue_timer();
    }

    /// Does the work that is due at each tick, and the work that is due once per second.
    fn on_tick(&mut self) {
        self.set_tick_timer();
        self.quotas.renew_leases(&mut self.context);
        let now = self.context.now;
        let is_first_tick_of_second = u128::from(now.subsec_millis()) < TICK_INTERVAL.as_millis();
        if is_first_tick_of_second {
            self.balancer.on_second(&self.context);
            self.quotas.forget_idle_customers(now);
        }
    }

    fn set_tick_timer(&mut self) {
        let next_tick = self.context.now + TICK_INTERVAL;
        self.context.port.set_timer(TICK_TIMER, next_tick);
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) -> TimerId {
        let id = self.timers.schedule(at, timer);
        self.arm_queue_timer();
        id
    }

    /// Sets the adapter's timer for the earliest entry of the queue, unless it fires by then anyway.
    fn arm_queue_timer(&mut self) {
        if let Some(at) = self.timers.arm() {
            self.context.port.set_timer(QUEUE_TIMER, at);
        }
    }

    /// Returns how much later than planned an event may be handled.
    fn timer_slack(&self) -> Duration {
        self.context.settings.timer_resolution * TIMER_SLACK_RESOLUTIONS
    }

    /// Stores a new request with the current settings of its route.
    fn open_request(&mut self, request: Request) {
        let now = self.context.now;
        let route = self.context.settings.route(&request.route).clone();
        let is_uncounted = self.quotas.is_circuit_open(now);
        let id = request.id.clone();
        let open = OpenRequest::new(request, route, now, is_uncounted);
        self.requests.insert(id, open);
    }

    /// Returns whether a request is shed. A random fraction of one attempt is added to the attempts in flight: where
    /// the adaptive concurrency limit is only a few attempts, the share of requests that is shed then still grows
    /// gradually with the load. A customer that floods the gateway gets a part of the limit whatever its priority, and does
    /// not raise the priority that the others need.
    fn should_shed(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        let value = self.context.settings.value_of(&open.request);
        let baseline = self.balancer.baseline_latency(&open.request.route);
        let priority = load_shedding::priority(value, baseline);
        let limiter = self.balancer.limiter();
        let use_ratio = (limiter.in_flight() + self.rng.generate::<f64>()) / limiter.limit();
        if self
            .quotas
            .is_flooding(&open.request.customer, self.context.now)
        {
            return load_shedding::should_shed_flooding(use_ratio);
        }
        let is_shed = self.shedder.should_shed(priority, use_ratio);
        self.shedder.record_priority(priority);
        is_shed
    }

    /// Acquires the concurrency lease, the first step of an attempt.
    fn acquire_lease(&mut self, id: &RequestId, purpose: LeasePurpose) {
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let customer = open.request.customer.clone();
        let baseline = self.balancer.baseline_latency(&open.request.route);
        let outcome =
            self.quotas
                .acquire_lease(&mut self.context, &open.request, purpose, baseline);
        if let Poll::Ready(outcome) = outcome {
            self.on_lease_outcome(id, &customer, purpose, outcome);
        }
    }

    /// Continues an attempt with its lease, or ends the request if the lease was denied. The request's units are
    /// reserved once, after the first attempt has its lease.
    fn on_lease_outcome(
        &mut self,
        id: &RequestId,
        customer: &CustomerId,
        purpose: LeasePurpose,
        outcome: LeaseOutcome,
    ) {
        match (outcome, purpose) {
            (Ok(lease), LeasePurpose::FirstAttempt) => self.reserve_units(id, customer, lease),
            (Ok(lease), LeasePurpose::Retry) => self.send_attempt(id, customer, lease),
            (Err(denial), _) => self.respond(id, self.until_lease_is_free(id, &denial)),
        }
    }

    /// Reserves the units of a request, the second step of its first attempt.
    fn reserve_units(&mut self, id: &RequestId, customer: &CustomerId, lease: Option<LeaseId>) {
        let Some(open) = self.requests.get_mut(id) else {
            return self
                .quotas
                .release_lease(&mut self.context, customer, lease);
        };
        let reservation = self
            .quotas
            .reserve_units(&mut self.context, &open.request, lease);
        open.is_uncounted |= reservation == Reservation::Uncounted;
        match reservation {
            Reservation::Counted | Reservation::Uncounted => self.send_attempt(id, customer, lease),
            Reservation::Denied => self.reject_unreserved(id, customer, lease),
            Reservation::AwaitsBlock => (),
        }
    }

    /// Releases the lease and ends the request, because its units could not be reserved.
    fn reject_unreserved(&mut self, id: &RequestId, customer: &CustomerId, lease: Option<LeaseId>) {
        self.quotas
            .release_lease(&mut self.context, customer, lease);
        self.respond(id, self.until_quota_refills(customer));
    }

    /// Sends an attempt if the rules permit it, otherwise ends the request. All attempts pass through here, so this is
    /// where the rules on closed requests, repeated execution, draining endpoints, slow start and ceilings are
    /// enforced.
    fn send_attempt(&mut self, id: &RequestId, customer: &CustomerId, lease: Option<LeaseId>) {
        if !self.requests.contains_key(id) {
            return self
                .quotas
                .release_lease(&mut self.context, customer, lease);
        }
        match self.choose_target(id) {
            Some(target) => self.start_attempt(id, &target, lease),
            None => self.abandon_attempt(id, customer, lease),
        }
    }

    /// Chooses the endpoint of a request's next attempt, or returns `None` if no attempt may be sent.
    fn choose_target(&mut self, id: &RequestId) -> Option<AttemptTarget> {
        let open = self.requests.get(id)?;
        let has_time = !open.remaining_time(self.context.now).is_zero();
        if !has_time || open.in_flight.is_some() {
            return None;
        }
        let guard = RepeatGuard::of(open, self.timer_slack());
        let send_by = guard.send_by;
        // The generator advances only if the attempt may be sent.
        let mut rng = self.rng.clone();
        let endpoint = self.balancer.pick(&self.context, &mut rng, open, &guard)?;
        if !self.try_take_from_ceiling(id) {
            return None;
        }
        self.rng = rng;
        Some(AttemptTarget { endpoint, send_by })
    }

    /// Takes the request's units from the hard ceiling of its plan before the first attempt; retries take none. Returns
    /// whether the next attempt may be sent.
    fn try_take_from_ceiling(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        open.attempts > 0
            || self.quotas.try_take_from_ceiling(
                &self.context,
                &open.request,
                open.is_uncounted,
                self.started_at,
            )
    }

    /// Ends a request whose next attempt can't be sent: releases the attempt's lease and, if there was no earlier
    /// attempt, refunds the request's units.
    fn abandon_attempt(&mut self, id: &RequestId, customer: &CustomerId, lease: Option<LeaseId>) {
        self.quotas
            .release_lease(&mut self.context, customer, lease);
        if let Some(open) = self.requests.get(id).filter(|open| open.attempts == 0) {
            self.quotas
                .settle_units(customer, -open.request.units, open.is_uncounted);
        }
        self.respond(id, DEFAULT_RETRY_AFTER);
    }

    /// Sends an attempt that has its target and its lease.
    fn start_attempt(&mut self, id: &RequestId, target: &AttemptTarget, lease: Option<LeaseId>) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let Some(started) = self.balancer.start_attempt(&self.context, &target.endpoint) else {
            return;
        };
        let number = AttemptNumber(open.attempts);
        open.attempts += 1;
        open.in_flight = Some(number);
        open.last_endpoint = Some(target.endpoint.clone());
        let timeout = open.remaining_time(self.context.now);
        let send_by = target.send_by.min(started.send_by);
        self.context
            .port
            .send(id, &target.endpoint, timeout, send_by);
        let attempt = InFlightAttempt {
            endpoint: target.endpoint.clone(),
            sent: started.sent,
            route: open.request.route.clone(),
            customer: open.request.customer.clone(),
            lease,
            units: open.request.units,
            is_uncounted: open.is_uncounted,
            was_delivered_before: open.was_delivered,
        };
        self.attempts.insert((id.clone(), number), attempt);
    }

    /// Settles the units of an attempt that has ended. If the result states the units that the request took, the
    /// difference from the estimate is charged. If the request has closed meanwhile and none of its attempts was
    /// delivered to an endpoint, its units are refunded.
    fn settle_attempt(
        &mut self,
        id: &RequestId,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
    ) {
        if let Some(settled_units) = result.settled_units {
            let difference = settled_units - attempt.units;
            self.quotas
                .settle_units(&attempt.customer, difference, attempt.is_uncounted);
        }
        let was_delivered = retries::was_delivered(result.outcome);
        match self.requests.get_mut(id) {
            Some(open) => open.was_delivered |= was_delivered,
            None if !was_delivered && !attempt.was_delivered_before => {
                self.quotas
                    .settle_units(&attempt.customer, -attempt.units, attempt.is_uncounted)
            }
            None => (),
        }
    }

    /// Continues a request after the end of an attempt: with a retry if that is safe and the retry budget allows it,
    /// otherwise with the final answer.
    fn continue_request(
        &mut self,
        id: &RequestId,
        attempt: InFlightAttempt,
        result: &AttemptResult,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        open.in_flight = None;
        if result.request_closed {
            self.close_request(id);
            return;
        }
        if retries::may_have_run(result.outcome) {
            open.first_execution.get_or_insert(attempt.sent);
        }
        let max_attempts = self.context.settings.limits.max_attempts;
        let is_retryable = retries::is_retryable(open, self.context.now, max_attempts);
        if is_retryable && self.retry_budget.try_take() {
            self.acquire_lease(id, LeasePurpose::Retry);
        } else {
            self.respond(id, DEFAULT_RETRY_AFTER);
        }
    }

    /// Removes the record of a request and all that waits for its final answer.
    fn forget_request(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(id)?;
        if let Some(timer) = open.deadline_timer {
            self.timers.cancel(timer);
        }
        self.quotas.on_request_closed(&open.request.customer);
        Some(open)
    }

    /// Closes a request and returns its record. Cancels the attempt in flight if the deployment permits that. Refunds
    /// the request's units if attempts were started but none is in flight and none was delivered to an endpoint.
    fn close_request(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.forget_request(id)?;
        match open.in_flight {
            Some(number) if self.context.settings.limits.may_cancel => {
                self.context.port.cancel(id, number);
            }
            None if open.attempts > 0 && !open.was_delivered => {
                let units = open.request.units;
                self.quotas
                    .settle_units(&open.request.customer, -units, open.is_uncounted);
            }
            _ => (),
        }
        Some(open)
    }

    /// Gives a request its only final answer: a rejection that says when to retry if a retry by the client is safe,
    /// otherwise a failure.
    fn respond(&mut self, id: &RequestId, retry_after: Duration) {
        let Some(open) = self.close_request(id) else {
            return;
        };
        if retries::is_safe_for_client_to_retry(&open) {
            self.quotas
                .record_rejection(&open.request.customer, self.context.now);
            let retry_after = retry_after::clamp(retry_after);
            self.context.port.reject(id, retry_after);
        } else {
            self.context.port.fail(id);
        }
    }

    /// Returns the retry-after for a customer whose attempts in flight have reached the concurrency limit of its plan.
    fn until_lease_is_free(&self, id: &RequestId, denial: &LeaseDenial) -> Duration {
        let baseline = self
            .requests
            .get(id)
            .and_then(|open| self.balancer.baseline_latency(&open.request.route));
        retry_after::until_lease_is_free(baseline, denial.excess_attempts)
    }

    /// Returns the retry-after for a customer whose rate quota is exhausted.
    fn until_quota_refills(&self, customer: &CustomerId) -> Duration {
        let rejected_until = self.quotas.rejected_until(customer);
        retry_after::until_quota_refills(rejected_until, self.context.now)
    }
}
