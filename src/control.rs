//! The decisions of one gateway.
//!
//! An adapter makes an [`AdmissionController`] with the settings, a seed and a [`Port`], then before each event tells it
//! the time ([`AdmissionController::set_time`]) and hands the event over (`on_request`, `on_counter_reply`,
//! `on_attempt_end` and so on). The controller acts through the port; [`crate::port`] describes both sides of it.
//!
//! A request goes through these steps: a concurrency lease is acquired on the counter, its units are reserved, an
//! attempt is sent, and the attempt's end leads to the final answer or to a further attempt. What a step waits for is a
//! typed record: a `CallPurpose` for a reply of the counter, an `InFlightAttempt` for the end of an attempt, a `Timer`.
//! The controller keeps the course of a request and joins the parts, each of which owns its state:
//!
//! | module | what it decides or keeps |
//! | --- | --- |
//! | `requests` | records of open requests and of attempts |
//! | `customer_quotas` | what each customer may do: `customers`, `leases`, `rate_quota`, `ceiling`, with `token_bucket`, `observed_bucket` and `unit_reports` |
//! | `counter_client` | calls on the counter, with `rate_pacer`, `circuit_breaker` and `counter_names` |
//! | `load_balancer` | what is known of endpoints: `endpoints`, `failure_rate`, `latency`, `machine_types`, `throughput` |
//! | `endpoint_picker` | which endpoint an attempt goes to; `slow_start` what one may be sent that has just started |
//! | `concurrency_limit`, `load_shedding` | how many attempts may be in flight, and which requests are refused in overload |
//! | `retries`, `retry_after` | whether a further attempt is safe; when a rejected client is told to come again |
//! | `timers`, `context` | what is due when; what every part is given |

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
use customer_quotas::{CustomerQuotas, GrantedLease, LeaseDenial, LeaseOutcome, Resumption};
use leases::LeasePurpose;
use load_balancer::LoadBalancer;
use load_shedding::LoadShedder;
use nanorand::{Rng, WyRand};
use rate_quota::{Reservation, WaitingRequest};
use requests::{InFlightAttempt, OpenRequest};
use retries::{EffectGuard, RetryBudget};
use retry_after::DEFAULT_RETRY_AFTER;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use timers::{Timer, TimerQueue};

/// The interval of the one periodic timer.
const TICK: Duration = Duration::from_millis(50);

/// How long after a failure of discovery the endpoint list is asked for again.
const RESUBSCRIBE_AFTER: Duration = Duration::from_millis(500);

/// The last moment to answer a request lies so many timer resolutions before its deadline.
const TIMER_SLACK_RESOLUTIONS: u32 = 2;

/// The decisions of one gateway.
pub struct AdmissionController {
    context: Context,
    rng: WyRand,
    started_at: Duration,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts whose end is awaited, also where their request has its final answer.
    attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    quotas: CustomerQuotas,
    balancer: LoadBalancer,
    shedder: LoadShedder,
    retry_budget: RetryBudget,
    timers: TimerQueue,
}

/// Where an attempt is to be sent.
struct AttemptTarget {
    endpoint: EndpointId,
    /// It must have gone out whole by then, so that it has no second effect; [`Duration::MAX`]: at any time.
    send_by: Duration,
}

impl AdmissionController {
    /// A controller that knows no endpoint yet. `seed` is for random numbers, another one at each start; `now` is the
    /// adapter's clock.
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
        controller.set_tick();
        if controller.context.settings.discovery == DiscoveryMode::Subscribe {
            controller.context.port.subscribe(true);
        }
        controller
    }

    /// Other settings from now on. Requests that are open keep the terms that they came with; what is leased, reserved
    /// or out stays counted where it was counted.
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

    /// Tells the time before each event.
    pub fn set_time(&mut self, now: Duration) {
        self.context.now = now;
    }

    /// A request has come in. It gets its one final answer by its deadline.
    pub fn on_request(&mut self, request: Request) {
        let id = request.id.clone();
        let customer = request.customer.clone();
        let last_moment = request
            .deadline
            .saturating_sub(self.timer_slack())
            .max(self.context.now);
        let quota_is_spent = self.quotas.record_request(&self.context, &request);
        self.retry_budget.record_request();
        self.open_request(request);
        if quota_is_spent {
            return self.respond(&id, self.until_quota_refills(&customer));
        }
        if self.should_shed(&id) {
            return self.respond(&id, DEFAULT_RETRY_AFTER);
        }
        // What is refused at once needs no timer, which would wake a gateway in vain.
        self.set_timer(last_moment, Timer::RequestDeadline(id.clone()));
        self.acquire_lease(&id, LeasePurpose::FirstAttempt);
    }

    /// A request was taken by the adapter and is not to be let in: nothing of it has run.
    pub fn reject_unadmitted(&mut self, request: &RequestId) {
        self.context.port.reject(request, DEFAULT_RETRY_AFTER);
    }

    /// A request's time is up sooner than its deadline: it gets its final answer now.
    pub fn expire_request(&mut self, request: &RequestId) {
        self.respond(request, DEFAULT_RETRY_AFTER);
    }

    /// The client of a request has left.
    pub fn on_client_disconnect(&mut self, request: &RequestId) {
        self.close_request(request);
    }

    /// The answer to a request has begun to stream: the attempt belongs to the client, and no time limit runs on.
    pub fn on_response_started(&mut self, request: &RequestId) {
        self.requests.remove(request);
    }

    /// The counter has answered the oldest call on a name.
    pub fn on_counter_reply(&mut self, name: CounterName, reply: CounterReply) {
        match self.quotas.on_counter_reply(&mut self.context, name, reply) {
            Some(Resumption::Lease {
                request,
                customer,
                purpose,
                outcome,
            }) => self.on_lease_outcome(&request, &customer, purpose, outcome),
            Some(Resumption::Block {
                customer,
                granted,
                waiting,
            }) => self.resume_waiting(&customer, granted, waiting),
            None => (),
        }
    }

    /// A block was granted or not: the requests that have waited for it go on.
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

    /// An attempt has ended: what it tells is recorded, its lease is released, its units are settled, and the request
    /// gets its final answer or a further attempt.
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

    /// Discovery has news of the endpoints.
    pub fn on_endpoint_update(&mut self, timing: UpdateTiming, update: EndpointUpdate) {
        self.balancer
            .on_endpoint_update(&self.context, timing, update);
    }

    /// A call for the endpoint list failed or the subscription broke: it is asked for again.
    pub fn on_discovery_failure(&mut self) {
        self.set_timer(self.context.now + RESUBSCRIBE_AFTER, Timer::Resubscribe);
    }

    /// A timer that the controller has set fires.
    pub fn on_timer(&mut self, token: TimerToken) {
        if token == TICK_TIMER {
            self.on_tick();
        }
        while let Some(timer) = self.timers.pop_due(self.context.now) {
            match timer {
                Timer::RequestDeadline(request) => self.respond(&request, DEFAULT_RETRY_AFTER),
                Timer::Resubscribe => self.context.port.subscribe(true),
            }
        }
    }

    /// Periodic work: at each tick and once a second.
    fn on_tick(&mut self) {
        self.set_tick();
        self.quotas.renew_leases(&mut self.context);
        let now = self.context.now;
        // Work that is done once a second is done on the first tick of the second.
        let is_first_of_second = u128::from(now.subsec_millis()) < TICK.as_millis();
        if is_first_of_second {
            self.balancer.on_second(&self.context);
            self.quotas.forget_idle_customers(now);
        }
    }

    fn set_tick(&mut self) {
        let next_tick = self.context.now + TICK;
        self.context.port.set_timer(TICK_TIMER, next_tick);
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.timers.schedule(at, timer);
        self.context.port.set_timer(QUEUE_TIMER, at);
    }

    /// What a step may take beyond the time that it was reckoned with.
    fn timer_slack(&self) -> Duration {
        self.context.settings.timer_resolution * TIMER_SLACK_RESOLUTIONS
    }

    /// Keeps a request that has come in, with the terms of its route as they are now.
    fn open_request(&mut self, request: Request) {
        let now = self.context.now;
        let route = self.context.settings.route(&request.route).clone();
        let is_uncounted = self.quotas.is_circuit_open(now);
        let id = request.id.clone();
        let open = OpenRequest::new(request, route, now, is_uncounted);
        self.requests.insert(id, open);
    }

    /// Whether a request is shed. A random part of one attempt counts as in flight beside the others, so that a gateway
    /// with a limit of a few attempts sheds in proportion.
    fn should_shed(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        let value = self.context.settings.value_of(&open.request);
        let baseline = self.balancer.baseline_latency(&open.request.route);
        let priority = load_shedding::priority(value, baseline);
        let limiter = self.balancer.limiter();
        let use_ratio = (limiter.in_flight() + self.rng.generate::<f64>()) / limiter.limit();
        let is_shed = self.shedder.should_shed(priority, use_ratio);
        self.shedder.record_priority(priority);
        is_shed
    }

    /// The first step of an attempt: its concurrency lease.
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

    /// A first attempt is charged only once it has its lease; a further one was charged with the first.
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

    /// The second step of a first attempt: its units.
    fn reserve_units(&mut self, id: &RequestId, customer: &CustomerId, lease: GrantedLease) {
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

    /// A request's units could not be reserved.
    fn reject_unreserved(&mut self, id: &RequestId, customer: &CustomerId, lease: GrantedLease) {
        self.quotas
            .release_lease(&mut self.context, customer, lease);
        self.respond(id, self.until_quota_refills(customer));
    }

    /// The last step of an attempt, and the one place that every attempt passes: the rules on final answers, effects,
    /// drains, slow starts and ceilings are kept here.
    fn send_attempt(&mut self, id: &RequestId, customer: &CustomerId, lease: GrantedLease) {
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

    /// Where a request's next attempt goes, if it may be sent at all.
    fn choose_target(&mut self, id: &RequestId) -> Option<AttemptTarget> {
        let open = self.requests.get(id)?;
        let has_time = !open.remaining_time(self.context.now).is_zero();
        if !has_time || open.in_flight.is_some() {
            return None;
        }
        let guard = EffectGuard::of(open, self.timer_slack());
        let send_by = guard.send_by;
        // Random numbers that were drawn for an attempt that is not sent are drawn again for the next.
        let mut rng = self.rng.clone();
        let endpoint = self.balancer.pick(&self.context, &mut rng, open, &guard)?;
        if !self.passes_ceiling(id) {
            return None;
        }
        self.rng = rng;
        Some(AttemptTarget { endpoint, send_by })
    }

    /// Whether a request may go on under the hard ceiling of its plan: its first attempt takes its units from it.
    fn passes_ceiling(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        open.attempts > 0
            || self.quotas.try_pass_ceiling(
                &self.context,
                &open.request,
                open.is_uncounted,
                self.started_at,
            )
    }

    /// An attempt can't be sent: its lease is released, units that were never used go back, and the request ends.
    fn abandon_attempt(&mut self, id: &RequestId, customer: &CustomerId, lease: GrantedLease) {
        self.quotas
            .release_lease(&mut self.context, customer, lease);
        if let Some(open) = self.requests.get(id).filter(|open| open.attempts == 0) {
            self.quotas
                .settle_units(customer, -open.request.units, open.is_uncounted);
        }
        self.respond(id, DEFAULT_RETRY_AFTER);
    }

    /// Sends an attempt for which everything was decided.
    fn start_attempt(&mut self, id: &RequestId, target: &AttemptTarget, lease: GrantedLease) {
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
            units_spent_before: open.units_spent,
        };
        self.attempts.insert((id.clone(), number), attempt);
    }

    /// Settles the units of an attempt that has ended: a guess against the true units, and those of a request that has
    /// closed meanwhile and of which nothing came to an endpoint.
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
            Some(open) => open.units_spent |= was_delivered,
            None if !was_delivered && !attempt.units_spent_before => {
                self.quotas
                    .settle_units(&attempt.customer, -attempt.units, attempt.is_uncounted)
            }
            None => (),
        }
    }

    /// An attempt is over: its request gets its final answer, or a further attempt as far as its route permits.
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

    /// A request is over: an attempt in flight is cancelled. Where none was delivered to an endpoint, its units are given back.
    fn close_request(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(id)?;
        match open.in_flight {
            Some(number) if self.context.settings.limits.may_cancel => {
                self.context.port.cancel(id, number);
            }
            None if open.attempts > 0 && !open.units_spent => {
                let units = open.request.units;
                self.quotas
                    .settle_units(&open.request.customer, -units, open.is_uncounted);
            }
            _ => (),
        }
        Some(open)
    }

    /// The one final answer: rejected, with advice when to come again, where it is harmless to do so; else failed.
    fn respond(&mut self, id: &RequestId, retry_after: Duration) {
        let Some(open) = self.close_request(id) else {
            return;
        };
        if retries::is_harmless_to_repeat(&open) {
            let advice = retry_after::clamped(retry_after);
            self.context.port.reject(id, advice);
        } else {
            self.context.port.fail(id);
        }
    }

    /// What a client is advised to wait whose customer has reached its cap.
    fn until_lease_is_free(&self, id: &RequestId, denial: &LeaseDenial) -> Duration {
        let baseline = self
            .requests
            .get(id)
            .and_then(|open| self.balancer.baseline_latency(&open.request.route));
        retry_after::until_lease_is_free(baseline, denial.excess_attempts)
    }

    /// What a client is advised to wait whose customer has spent its quota.
    fn until_quota_refills(&self, customer: &CustomerId) -> Duration {
        let rejected_until = self.quotas.rejected_until(customer);
        retry_after::until_quota_refills(rejected_until, self.context.now)
    }
}
