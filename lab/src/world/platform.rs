//! The parts of the world around requests: the network, counter calls, notifications of endpoint changes, and the
//! starts and ends of gateway processes.

use super::counter::CallOutcome;
use super::endpoint_list::{EndpointChange, Notification};
use super::gateways::GatewayState;
use super::server::ListingState;
use super::world_event::WorldEvent;
use super::{Action, ResponseDelay, World};
use crate::events::{CounterCallId, ServerId};
use std::ops::Range;
use std::time::Duration;

impl World {
    // ---- the network ----

    /// Returns the one-way network delay within a zone.
    pub(crate) fn in_zone_delay(&self) -> Duration {
        self.network.in_zone_delay()
    }

    /// Returns the network delay that the world adds to a response: the round trip, or zero where the engine adds it.
    pub(super) fn round_trip_delay(&self, one_way: Duration) -> Duration {
        match self.response_delay {
            ResponseDelay::AddedByEngine => Duration::ZERO,
            ResponseDelay::AddedByWorld => one_way * 2,
        }
    }

    /// Handles a datagram from one gateway to another. Returns the delay after which it arrives, or `None` if it is
    /// lost.
    pub(crate) fn on_datagram(
        &mut self,
        now: Duration,
        from: usize,
        to: usize,
    ) -> Option<Duration> {
        self.metrics.second_at(now).datagrams += 1;
        let receiver_is_up = self.gateways.state(to) != GatewayState::Down;
        self.network
            .send_datagram(now, from, to, receiver_is_up, &mut self.rng)
    }

    // ---- the counter ----

    /// Handles a gateway's call on the counter, and returns the call's id.
    pub(crate) fn on_counter_call(
        &mut self,
        now: Duration,
        gateway: usize,
        name: u64,
        amount: f64,
        time_to_live: Duration,
        actions: &mut Vec<Action>,
    ) -> CounterCallId {
        self.metrics.second_at(now).counter_calls += 1;
        let (id, outcome) = self
            .counters
            .on_call(now, gateway, name, amount, time_to_live);
        match outcome {
            CallOutcome::DoneAt(done_at) => {
                let due = done_at + self.round_trip_delay(self.in_zone_delay());
                self.event_queue
                    .schedule(due, WorldEvent::CounterCallDone(id));
            }
            CallOutcome::Immediate(response) => {
                actions.push(Action::SendCounterResponse(id, response));
            }
            CallOutcome::NoAnswer => (),
        }
        id
    }

    /// Handles the end of a call on the counter.
    pub(super) fn on_counter_call_done(
        &mut self,
        now: Duration,
        id: CounterCallId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(response) = self.counters.finish_call(now, id) {
            actions.push(Action::SendCounterResponse(id, response));
        }
    }

    // ---- the endpoint list ----

    /// Appends a server's new state to the endpoint list, and schedules the notification of each gateway.
    pub(super) fn change_endpoint(&mut self, now: Duration, server: ServerId, state: ListingState) {
        let started_at = self.server(server).started_at;
        let change = self.endpoint_list.append(EndpointChange {
            server,
            state,
            started_at,
        });
        self.server_mut(server).record_listed_start(change);
        self.endpoint_list.schedule_notifications(
            now,
            change,
            &mut self.rng,
            &mut self.event_queue,
        );
    }

    /// Notifies a gateway of a change, unless discovery is silent, the gateway knows it already or is down.
    pub(super) fn on_notification_due(
        &mut self,
        now: Duration,
        gateway: usize,
        change: usize,
        actions: &mut Vec<Action>,
    ) {
        match self.endpoint_list.on_notification_due(now, gateway, change) {
            Notification::Postponed(due) => {
                let event = WorldEvent::NotificationDue { gateway, change };
                self.event_queue.schedule(due, event);
            }
            Notification::AlreadyKnown => (),
            Notification::Notified { change_count } => {
                if self.gateways.state(gateway) != GatewayState::Down {
                    actions.push(Action::NotifyGateway {
                        gateway,
                        change_count,
                    });
                }
            }
        }
    }

    /// Returns the number of changes of the endpoint list that a gateway was notified of.
    pub(crate) fn notified_change_count(&self, gateway: usize) -> usize {
        self.endpoint_list.notified_change_count(gateway)
    }

    /// Returns the changes of the endpoint list with these numbers.
    pub(crate) fn endpoint_changes(&self, numbers: Range<usize>) -> Vec<EndpointChange> {
        self.endpoint_list.changes(numbers).to_vec()
    }

    /// Returns the endpoint list after its first `change_count` changes, without removed servers.
    pub(crate) fn endpoint_list_after(&self, change_count: usize) -> Vec<EndpointChange> {
        self.endpoint_list.list_after(change_count)
    }

    /// Records that changes of the endpoint list were written to a gateway.
    pub(crate) fn on_gateway_notified(
        &mut self,
        now: Duration,
        gateway: usize,
        changes: &[EndpointChange],
    ) {
        for change in changes {
            let ready = change.state == ListingState::Active;
            self.rule_checker
                .on_gateway_notified(now, gateway, change.server, ready);
        }
    }

    // ---- gateways ----

    /// Returns the state of a gateway.
    pub(crate) fn gateway_state(&self, gateway: usize) -> GatewayState {
        self.gateways.state(gateway)
    }

    /// Returns whether a gateway has been ready for at least `span`, or since the start of the run.
    pub(crate) fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        self.gateways.is_ready_for(now, gateway, span)
    }

    /// Returns whether clients still open connections to a gateway, which ends a while after it was told to stop.
    pub(crate) fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        self.gateways.accepts_connections(now, gateway)
    }

    /// Sets the number of client connections to a gateway without an open request.
    pub(crate) fn set_idle_connections(&mut self, gateway: usize, count: usize) {
        self.gateways.set_idle_connections(gateway, count);
    }

    /// Records that a gateway is ready to serve requests.
    pub(crate) fn on_gateway_ready(&mut self, now: Duration, gateway: usize) {
        self.gateways.set_state(now, gateway, GatewayState::Ready);
    }

    /// Records that a gateway's process has ended by itself. The rule checker still expects answers to the requests
    /// that it had accepted.
    pub(crate) fn on_gateway_exit(&mut self, now: Duration, gateway: usize) {
        if self.gateways.state(gateway) != GatewayState::Down {
            self.gateways.set_down(now, gateway, false);
        }
    }

    /// Returns whether the platform killed a gateway's process. Its unanswered requests then need no answer.
    pub(crate) fn was_killed(&self, gateway: usize) -> bool {
        self.gateways.was_killed(gateway)
    }

    /// Kills a gateway. One that was told to stop must have answered its requests.
    pub(super) fn on_gateway_kill(
        &mut self,
        now: Duration,
        gateway: usize,
        actions: &mut Vec<Action>,
    ) {
        let was_stopping = self.gateways.state(gateway) == GatewayState::Stopping;
        self.gateways.set_down(now, gateway, true);
        if was_stopping {
            self.rule_checker.on_gateway_stopped(now, gateway);
        } else {
            self.rule_checker.on_gateway_killed(gateway);
        }
        actions.push(Action::KillGateway(gateway));
    }

    /// Starts a gateway's process.
    pub(super) fn on_gateway_start(
        &mut self,
        now: Duration,
        gateway: usize,
        actions: &mut Vec<Action>,
    ) {
        self.gateways
            .set_state(now, gateway, GatewayState::Starting);
        self.rule_checker.on_gateway_started(gateway);
        actions.push(Action::StartGateway(gateway));
    }
}
