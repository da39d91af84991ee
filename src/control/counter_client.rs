//! Calls on the shared counter: what each reply is awaited for, how often calls are made ([`RatePacer`]) and when the
//! counter is left alone ([`CircuitBreaker`]).

use super::circuit_breaker::CircuitBreaker;
use super::context::Context;
use super::leases::{LeaseAcquisition, LeaseId};
use super::quota::BlockAcquisition;
use super::rate_pacer::RatePacer;
use crate::port::{CounterName, CounterReply, CustomerId};
use crate::settings::Settings;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How cheap a call may be that can be done without: it is made while at least this part of the tokens is there.
const DISPENSABLE: f64 = 0.7;

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
    pub(super) name: CounterName,
    /// What is added, below zero to take off.
    pub(super) amount: f64,
    /// How long the counter keeps the name.
    pub(super) ttl: Duration,
    /// What for.
    pub(super) purpose: CallPurpose,
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

    /// Whether the counter is left alone.
    pub(super) fn is_circuit_open(&self, now: Duration) -> bool {
        self.circuit.is_open(now)
    }

    /// Whether a call may be made for what is so cheap, from 0 (dear) to 1. Where calls are scarce, the dear requests
    /// are so judged by the counter, the others by this gateway's share of the quotas.
    pub(super) fn may_call(&mut self, now: Duration, cheapness: f64) -> bool {
        let allowed = self.pacer.allows(now, cheapness);
        !self.is_circuit_open(now) && allowed
    }

    /// Whether a call may be made that can be done without.
    pub(super) fn has_spare_calls(&mut self, now: Duration) -> bool {
        self.may_call(now, DISPENSABLE)
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
        let latency = now.saturating_sub(answered.called_at);
        let is_down = self
            .pacer
            .record_reply(now, latency, timeout, reply.is_applied());
        if is_down {
            if let Some(open_for) = self.circuit.trip(now, reply) {
                let line = format!("counter circuit open for {open_for:?}: {reply:?}");
                context.port.log(&line);
            }
        }
        Some(answered.purpose)
    }
}
