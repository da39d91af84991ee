//! What the world's network, counter, endpoint list and gateways do together: calls and notifications on their way,
//! and processes that start and end.

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

    /// One way between two ends in the same zone.
    pub(crate) fn in_zone_delay(&self) -> Duration {
        self.network.in_zone_delay()
    }

    /// What a response is later by for its way, where the engine does not add that itself.
    pub(super) fn round_trip_delay(&self, one_way: Duration) -> Duration {
        match self.response_delay {
            ResponseDelay::AddedByEngine => Duration::ZERO,
            ResponseDelay::AddedByWorld => one_way * 2,
        }
    }

    /// A datagram from one gateway to another: after how long it arrives, if it does.
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

    /// A gateway's call on the counter has come.
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

    /// The counter is done with a call.
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

    /// The list gives a server's state; each gateway is notified in its own time.
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

    /// Discovery is to notify a gateway of a change.
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

    /// How many changes of the list a gateway was notified of.
    pub(crate) fn notified_change_count(&self, gateway: usize) -> usize {
        self.endpoint_list.notified_change_count(gateway)
    }

    /// Changes of the list by their numbers.
    pub(crate) fn endpoint_changes(&self, numbers: Range<usize>) -> Vec<EndpointChange> {
        self.endpoint_list.changes(numbers).to_vec()
    }

    /// The list after so many changes: each server's latest line, but for those that were removed.
    pub(crate) fn endpoint_list_after(&self, change_count: usize) -> Vec<EndpointChange> {
        self.endpoint_list.list_after(change_count)
    }

    /// Changes were written to a gateway.
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

    /// The state of a gateway.
    pub(crate) fn gateway_state(&self, gateway: usize) -> GatewayState {
        self.gateways.state(gateway)
    }

    /// Whether a gateway has been ready for so long; one that was when the run began counts in any case.
    pub(crate) fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        self.gateways.is_ready_for(now, gateway, span)
    }

    /// Whether clients still open connections to a gateway.
    pub(crate) fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        self.gateways.accepts_connections(now, gateway)
    }

    /// So many connections of clients to a gateway have no request open on them.
    pub(crate) fn set_idle_connections(&mut self, gateway: usize, count: usize) {
        self.gateways.set_idle_connections(gateway, count);
    }

    /// A gateway serves from now on.
    pub(crate) fn on_gateway_ready(&mut self, now: Duration, gateway: usize) {
        self.gateways.set_state(now, gateway, GatewayState::Ready);
    }

    /// A gateway's process has ended by itself: what it had accepted and not answered is lost.
    pub(crate) fn on_gateway_exit(&mut self, now: Duration, gateway: usize) {
        if self.gateways.state(gateway) != GatewayState::Down {
            self.gateways.set_down(now, gateway, false);
        }
    }

    /// Whether a gateway's process was killed, which excuses what it had not answered.
    pub(crate) fn was_killed(&self, gateway: usize) -> bool {
        self.gateways.was_killed(gateway)
    }

    /// A gateway is killed.
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

    /// A gateway is started.
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
