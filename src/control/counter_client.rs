//! Calls on the shared counter. The client keeps the purpose of each unanswered call; [`RatePacer`] limits the rate of
//! calls and [`CircuitBreaker`] suspends them during an outage.

use super::circuit_breaker::CircuitBreaker;
use super::context::Context;
use super::counter_names::{lease_counter, window_counter};
use super::leases::{LeaseAcquisition, LeaseId, LEASE_TTL};
use super::rate_pacer::RatePacer;
use super::rate_quota::BlockAcquisition;
use crate::port::{CounterName, CounterReply, CustomerId};
use crate::settings::Settings;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The share of the tokens that a call must leave in reserve if it is not strictly needed.
const SPARE_CALL_RESERVE_RATIO: f64 = 0.7;

/// How long the counter keeps the value of a quota window, in windows.
const WINDOW_TTL_WINDOWS: u32 = 3;

/// The purpose of a call on the counter, which decides how its reply is handled.
pub(super) enum CallPurpose {
    /// Acquires a lease for an attempt of the customer.
    AcquireLease(CustomerId, LeaseAcquisition),
    /// Adds open leases of a customer to the value of a further period.
    RenewLeases(LeaseRenewal),
    /// Leases a block of units for the customer.
    LeaseBlock(CustomerId, BlockAcquisition),
    /// Subtracts leases or units that were added before. Nothing waits for the reply.
    Subtract,
}

/// Open leases that are added to the value of a further period.
pub(super) struct LeaseRenewal {
    /// The customer that holds the leases.
    pub(super) customer: CustomerId,
    /// The number of the period.
    pub(super) period: u64,
    /// The leases that are added.
    pub(super) leases: Vec<LeaseId>,
}

/// One call on the counter.
pub(super) struct CounterCall {
    name: CounterName,
    /// The amount to add in leases or units; negative to subtract.
    amount: f64,
    /// How long the counter keeps the value.
    ttl: Duration,
    purpose: CallPurpose,
}

impl CounterCall {
    /// Returns a call that adds `count` leases to the value of a customer and a lease period.
    pub(super) fn add_leases(
        customer: &CustomerId,
        period: u64,
        count: f64,
        purpose: CallPurpose,
    ) -> CounterCall {
        CounterCall {
            name: lease_counter(customer, period),
            amount: count,
            ttl: LEASE_TTL,
            purpose,
        }
    }

    /// Returns a call that adds units to the value of a customer and a quota window; `window` is the window's number.
    pub(super) fn add_units(
        customer: &CustomerId,
        window: u64,
        length: Duration,
        units: f64,
        purpose: CallPurpose,
    ) -> CounterCall {
        CounterCall {
            name: window_counter(customer, window),
            amount: units,
            ttl: length * WINDOW_TTL_WINDOWS,
            purpose,
        }
    }
}

/// A call that has not been answered yet.
struct PendingCall {
    called_at: Duration,
    purpose: CallPurpose,
}

/// This gateway's client of the shared counter.
pub(super) struct CounterClient {
    /// The calls that have not been answered yet, by name, the oldest first.
    pending: BTreeMap<CounterName, VecDeque<PendingCall>>,
    /// Limits the rate of calls.
    pub(super) pacer: RatePacer,
    circuit: CircuitBreaker,
}

impl CounterClient {
    /// Creates the client of a gateway that starts at `now`.
    pub(super) fn new(settings: &Settings, now: Duration) -> CounterClient {
        CounterClient {
            pending: BTreeMap::new(),
            pacer: RatePacer::new(settings, now),
            circuit: CircuitBreaker::new(settings.counter.present),
        }
    }

    /// Sets whether there is a counter, and closes the circuit breaker if so.
    pub(super) fn set_present(&mut self, has_counter: bool) {
        self.circuit = CircuitBreaker::new(has_counter);
    }

    /// Returns whether calls are suspended.
    pub(super) fn is_circuit_open(&self, now: Duration) -> bool {
        self.circuit.is_open(now)
    }

    /// Returns whether a call that must leave this share of the tokens in reserve may be made; see
    /// [`RatePacer::reserve_ratio`]. While calls are scarce, the reserve leaves them to valuable requests, and other
    /// requests are decided by this gateway's share of the quotas. The pacer is asked even if the circuit breaker is open,
    /// because that refills its tokens.
    pub(super) fn may_call(&mut self, now: Duration, reserve_ratio: f64) -> bool {
        let is_allowed = self.pacer.allows(now, reserve_ratio);
        !self.is_circuit_open(now) && is_allowed
    }

    /// Returns whether a call that is not strictly needed may be made; if not, calls are scarce.
    pub(super) fn has_spare_calls(&mut self, now: Duration) -> bool {
        self.may_call(now, SPARE_CALL_RESERVE_RATIO)
    }

    /// Makes a call. The adapter's reply must be passed to [`CounterClient::on_reply`].
    pub(super) fn call(&mut self, context: &mut Context, call: CounterCall) {
        self.pacer.record_call(context.now);
        let pending = PendingCall {
            called_at: context.now,
            purpose: call.purpose,
        };
        self.pending
            .entry(call.name)
            .or_default()
            .push_back(pending);
        context
            .port
            .add_to_counter(call.name, call.amount, call.ttl);
    }

    /// Handles the reply to the oldest unanswered call on a name and returns the purpose of the call, or `None` if no call
    /// on this name is unanswered.
    pub(super) fn on_reply(
        &mut self,
        context: &mut Context,
        name: CounterName,
        reply: CounterReply,
    ) -> Option<CallPurpose> {
        let now = context.now;
        let timeout = context.settings.counter.timeout;
        let calls = self.pending.get_mut(&name)?;
        let answered = calls.pop_front()?;
        if calls.is_empty() {
            self.pending.remove(&name);
        }
        if reply.is_applied() {
            let latency = now.saturating_sub(answered.called_at);
            self.pacer.record_success(latency, timeout);
        } else if self.pacer.record_error(now, timeout) {
            self.open_circuit(context, reply);
        }
        Some(answered.purpose)
    }

    fn open_circuit(&mut self, context: &mut Context, reply: CounterReply) {
        if let Some(open_for) = self.circuit.trip(context.now, reply) {
            let line = format!(
                "counter circuit breaker open for {open_for:?}: expected the call to be applied, got {reply:?}"
            );
            context.port.log(&line);
        }
    }
}
