//! Calls on the shared counter: what each reply is awaited for, how often calls are made ([`RatePacer`]) and when none
//! is made ([`CircuitBreaker`]).

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

/// The part of the tokens that a call leaves in reserve which can be done without.
const SPARE_CALL_RESERVE: f64 = 0.7;

/// The counter keeps the name of a window for so many windows.
const WINDOW_TTL_WINDOWS: u32 = 3;

/// What a call on the counter was made for, and what its reply is handed on to.
pub(super) enum CallPurpose {
    /// A customer's lease is acquired.
    AcquireLease(CustomerId, LeaseAcquisition),
    /// Open leases of a customer are added to a further period's name.
    RenewLeases(LeaseRenewal),
    /// A block of units is leased for a customer.
    LeaseBlock(CustomerId, BlockAcquisition),
    /// What was added before is taken off; nothing waits for the reply.
    GiveBack,
}

/// Open leases that are added to a further period's name.
pub(super) struct LeaseRenewal {
    /// Whose leases.
    pub(super) customer: CustomerId,
    /// Into which period.
    pub(super) period: u64,
    /// Which of them.
    pub(super) leases: Vec<LeaseId>,
}

/// One call on the counter.
pub(super) struct CounterCall {
    /// The number that is added to.
    name: CounterName,
    /// What is added, below zero to take off.
    amount: f64,
    /// How long the counter keeps the name.
    ttl: Duration,
    purpose: CallPurpose,
}

impl CounterCall {
    /// Adds so many leases of a customer to the name of a period.
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

    /// Adds units of a customer to the name of a window of that number and length.
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

/// A call that is not answered yet.
struct PendingCall {
    called_at: Duration,
    purpose: CallPurpose,
}

/// The gateway's side of the shared counter.
pub(super) struct CounterClient {
    /// Calls that are not answered yet, in their order for each name.
    pending: BTreeMap<CounterName, VecDeque<PendingCall>>,
    /// How often calls are made.
    pub(super) pacer: RatePacer,
    circuit: CircuitBreaker,
}

impl CounterClient {
    /// The client at the gateway's start.
    pub(super) fn new(settings: &Settings, now: Duration) -> CounterClient {
        CounterClient {
            pending: BTreeMap::new(),
            pacer: RatePacer::new(settings, now),
            circuit: CircuitBreaker::new(settings.counter.present),
        }
    }

    /// New settings say whether there is a counter.
    pub(super) fn set_present(&mut self, has_counter: bool) {
        self.circuit = CircuitBreaker::new(has_counter);
    }

    /// Whether the counter must not be called.
    pub(super) fn is_circuit_open(&self, now: Duration) -> bool {
        self.circuit.is_open(now)
    }

    /// Whether a call may be made that leaves that part of the tokens in reserve ([`RatePacer::reserve_ratio`]). Where
    /// calls are scarce, valuable requests are so decided by the counter, the others by this gateway's share of the
    /// quotas. The pacer is asked in any case, since that refills its tokens.
    pub(super) fn may_call(&mut self, now: Duration, reserve_ratio: f64) -> bool {
        let is_allowed = self.pacer.allows(now, reserve_ratio);
        !self.is_circuit_open(now) && is_allowed
    }

    /// Whether calls are plenty enough for one that can be done without.
    pub(super) fn has_spare_calls(&mut self, now: Duration) -> bool {
        self.may_call(now, SPARE_CALL_RESERVE)
    }

    /// Makes a call; its reply comes to [`CounterClient::on_reply`].
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

    /// The oldest call on a name was answered: gives what it was made for.
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
            self.trip_circuit(context, reply);
        }
        Some(answered.purpose)
    }

    fn trip_circuit(&mut self, context: &mut Context, reply: CounterReply) {
        if let Some(open_for) = self.circuit.trip(context.now, reply) {
            let line = format!("counter circuit open for {open_for:?}: {reply:?}");
            context.port.log(&line);
        }
    }
}
