//! The calls on the shared counter in a simulated run.

use super::event::Event;
use super::gateway::{CounterCall, CounterCallKey};
use super::run::SimulatedRun;
use crate::decision_engine::GatewayEvent;
use crate::error::LabError;
use crate::world::counter::CounterResponse;
use std::time::Duration;
use wellcrank::port::{CounterName, CounterReply};

impl SimulatedRun<'_> {
    /// Schedules the arrival of a gateway's call at the counter, and its timeout.
    pub(super) fn call_counter(
        &mut self,
        gateway: usize,
        name: CounterName,
        amount: f64,
        ttl: Duration,
    ) {
        let number = self.gateways[gateway].add_counter_call(CounterCall { name, amount, ttl });
        let call = CounterCallKey {
            gateway: self.incarnation(gateway),
            number,
        };
        let timeout = Duration::from_secs_f64(self.world.experiment.counter.timeout_ms / 1e3);
        let arrival = self.now + self.world.in_zone_delay();
        self.schedule(arrival, Event::CounterCallArrival(call));
        self.schedule(self.now + timeout, Event::CounterTimeout(call));
    }

    pub(super) fn on_counter_call_arrival(&mut self, key: CounterCallKey) -> Result<(), LabError> {
        let now = self.now;
        let open = self
            .gateway(key.gateway)
            .and_then(|gateway| gateway.counter_calls.get(&key.number));
        let Some(call) = open else {
            return Ok(());
        };
        let (name, amount, ttl) = (call.name.0, call.amount, call.ttl);
        let mut actions = Vec::new();
        let gateway = key.gateway.gateway;
        let id = self
            .world
            .on_counter_call(now, gateway, name, amount, ttl, &mut actions);
        self.counter_calls.insert(id, key);
        self.perform_world_actions(actions)
    }

    /// Schedules the arrival of the counter's reply at the gateway.
    pub(super) fn schedule_counter_reply(&mut self, call: CounterCallKey, reply: CounterResponse) {
        let arrival = self.now + self.world.in_zone_delay();
        self.schedule(arrival, Event::CounterReply { call, reply });
    }

    pub(super) fn on_counter_reply(
        &mut self,
        call: CounterCallKey,
        reply: CounterResponse,
    ) -> Result<(), LabError> {
        let reply = match reply {
            CounterResponse::Total(total) => CounterReply::Total(total),
            CounterResponse::Busy => CounterReply::NotApplied,
            CounterResponse::Reset => CounterReply::Unknown,
        };
        self.end_counter_call(call, reply)
    }

    pub(super) fn on_counter_timeout(&mut self, call: CounterCallKey) -> Result<(), LabError> {
        self.end_counter_call(call, CounterReply::Unknown)
    }

    /// Reports the result of a call to the controller, unless the call has already ended.
    fn end_counter_call(
        &mut self,
        key: CounterCallKey,
        reply: CounterReply,
    ) -> Result<(), LabError> {
        let open = self
            .gateway(key.gateway)
            .and_then(|gateway| gateway.counter_calls.remove(&key.number));
        let Some(call) = open else {
            return Ok(());
        };
        let name = call.name;
        self.deliver(
            key.gateway.gateway,
            GatewayEvent::CounterReply { name, reply },
        )
    }
}
