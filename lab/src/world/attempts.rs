//! Attempts of gateways at servers: how they arrive, are executed, answered and given up.

use super::server::{Admission, Health, LoadReport, Task};
use super::span::seconds;
use super::world_event::WorldEvent;
use super::{Action, ServerResponse, World};
use crate::events::{AttemptEnd, AttemptId, ClientRequestId, ServerId};
use nanorand::Rng;
use std::time::Duration;

/// Kinds of bytes that cannot be parsed, see [`ServerResponse::Malformed`].
const MALFORMED_KINDS: u32 = 6;

/// An attempt as it reaches a server.
#[derive(Clone, Copy)]
pub(crate) struct AttemptArrival {
    /// The gateway that sent it.
    pub(crate) gateway: usize,
    /// The server that it reached.
    pub(crate) server: ServerId,
    /// The request that it serves.
    pub(crate) request: ClientRequestId,
    /// It is the first on its connection, whose handshake it waits for.
    pub(crate) fresh_connection: bool,
}

/// One attempt of a gateway at a server.
pub(crate) struct Attempt {
    /// The request that it serves.
    pub(crate) request: ClientRequestId,
    /// The server that it reached.
    pub(crate) server: ServerId,
    gateway: usize,
    /// The server's incarnation at that time; a later one knows nothing of it.
    server_incarnation: u32,
    ended: bool,
    response: Option<ServerResponse>,
}

impl World {
    /// Whether a new connection to a server is refused; one that is not may still be met by silence.
    pub(crate) fn refuses_connections(&self, server: ServerId) -> bool {
        self.server(server).refuses_connections()
    }

    /// A gateway has opened a connection to a server.
    pub(crate) fn on_connect(&mut self, now: Duration, server: ServerId) {
        self.metrics.second_at(now).new_connections += 1;
        self.server_mut(server).connections += 1;
    }

    /// A connection of a gateway to a server has ended.
    pub(crate) fn on_disconnect(&mut self, server: ServerId) {
        let server = self.server_mut(server);
        server.connections = server.connections.saturating_sub(1);
    }

    /// Whether a gateway and a server can hear each other.
    fn is_cut(&self, now: Duration, gateway: usize, server: ServerId) -> bool {
        self.network.is_cut(now, gateway, self.server(server).zone)
    }

    /// An attempt has come whole.
    pub(crate) fn on_attempt_arrival(
        &mut self,
        now: Duration,
        arrival: AttemptArrival,
        actions: &mut Vec<Action>,
    ) -> AttemptId {
        let id = self.add_attempt(now, arrival);
        self.charge_attempt(now, arrival.request);
        if self.is_heard(now, arrival) {
            self.execute_attempt(now, id, arrival, actions);
        }
        id
    }

    fn add_attempt(&mut self, now: Duration, arrival: AttemptArrival) -> AttemptId {
        let AttemptArrival {
            gateway,
            server,
            request,
            ..
        } = arrival;
        let id = AttemptId(self.attempts.len() as u32);
        self.attempts.push(Attempt {
            request,
            server,
            gateway,
            server_incarnation: self.server(server).incarnation,
            ended: false,
            response: None,
        });
        self.metrics.second_at(now).attempts += 1;
        self.rule_checker
            .on_attempt_arrival(now, id, request, gateway, server);
        id
    }

    /// Counts an attempt for its account; a request's first one takes the units from the quota.
    fn charge_attempt(&mut self, now: Duration, request: ClientRequestId) {
        let request = &mut self.requests[request.0 as usize];
        let first = !std::mem::replace(&mut request.forwarded, true);
        let scheduled_at = request.scheduled_at;
        let operation = request.operation.0 as usize;
        let account = self.clients.operations[operation].account as usize;
        self.clients.accounts[account].in_flight += 1.0;
        if first {
            let latency = now.saturating_sub(scheduled_at);
            self.metrics.record_first_attempt(now, latency);
            let within_quota = self.charge_quota(now, operation);
            self.clients.operations[operation].within_quota = within_quota;
        }
    }

    /// Takes an operation's units from its account's true quota; says whether they fitted.
    fn charge_quota(&mut self, now: Duration, operation: usize) -> bool {
        let operation = &self.clients.operations[operation];
        let units = operation.units;
        let account = &mut self.clients.accounts[operation.account as usize];
        let plan = &self.experiment.plans[account.plan];
        let fits = account.quota.take(now, units);
        let value = self.experiment.routes[operation.route].billed_value * plan.price * units;
        let second = self.metrics.second_at(now);
        second.forwarded_units += units;
        if !fits {
            second.over_quota_units += units;
            second.over_quota_cost += value * plan.over_quota_cost;
        }
        fits
    }

    /// Whether the server hears an attempt and would answer it.
    fn is_heard(&self, now: Duration, arrival: AttemptArrival) -> bool {
        let server = self.server(arrival.server);
        let route = self.operation_of(arrival.request).route;
        server.health != Health::Silent
            && !self.is_cut(now, arrival.gateway, arrival.server)
            && !server.muted_routes.contains(&route)
    }

    /// A server rejects an attempt, recognizes it as a repeat, or executes it.
    fn execute_attempt(
        &mut self,
        now: Duration,
        id: AttemptId,
        arrival: AttemptArrival,
        actions: &mut Vec<Action>,
    ) {
        if self.server(arrival.server).connections > self.experiment.fleet.max_connections {
            self.schedule_response(now, id, ServerResponse::Busy);
            return;
        }
        if self.is_repeat(now, arrival) {
            // It is not executed again, and answered with the value of the first execution.
            let response = ServerResponse::Success {
                units: None,
                load: None,
            };
            self.schedule_response(now, id, response);
            return;
        }
        let was_up = self.server(arrival.server).health == Health::Up;
        let task = self.task_of(id, arrival);
        match self.server_mut(arrival.server).admit_task(now, task) {
            Admission::Started(done_at) => {
                let done = WorldEvent::WorkDone(arrival.server, id);
                self.event_queue.schedule(done_at, done);
            }
            Admission::Queued => (),
            Admission::Rejected => self.schedule_response(now, id, ServerResponse::Busy),
        }
        if was_up && self.server(arrival.server).health == Health::Overloaded {
            self.on_server_overload(now, arrival.server, actions);
        }
    }

    /// Whether servers know the idempotency key of an attempt; they do from now on.
    fn is_repeat(&mut self, now: Duration, arrival: AttemptArrival) -> bool {
        let operation = self.operation_of(arrival.request);
        let route = &self.experiment.routes[operation.route];
        if route.deduplication_window <= 0.0 {
            return false;
        }
        let key = operation.key;
        let group = route.deduplication_scope;
        let window = seconds(route.deduplication_window);
        let server = &self.servers[arrival.server.0 as usize];
        self.deduplication
            .is_repeat(now, server, group, key, window)
    }

    fn task_of(&self, id: AttemptId, arrival: AttemptArrival) -> Task {
        let handshake = if arrival.fresh_connection {
            self.experiment.fleet.handshake_ms / 1e3
        } else {
            0.0
        };
        let notified = self.notified_change_count(arrival.gateway);
        Task {
            attempt: id,
            work: self.operation_of(arrival.request).work + handshake,
            start_known: self.server(arrival.server).is_start_known(notified),
        }
    }

    /// A server that was warming up is overloaded: its process ends for good.
    fn on_server_overload(&mut self, now: Duration, server: ServerId, actions: &mut Vec<Action>) {
        if self.server(server).was_overloaded_knowingly() {
            self.rule_checker.on_server_overload(now, server);
        }
        self.server_mut(server).crash(Health::Overloaded);
        actions.push(Action::StopServer(server));
    }

    /// The gateway has given an attempt up, or its connection has gone.
    pub(crate) fn on_attempt_abandoned(&mut self, now: Duration, id: AttemptId) {
        let attempt = self.attempt(id);
        if attempt.ended {
            return;
        }
        let server = attempt.server;
        let incarnation = attempt.server_incarnation;
        self.end_attempt(now, id, AttemptEnd::Abandoned);
        if self.server(server).incarnation != incarnation {
            return;
        }
        let runs = self.server_mut(server).cancel_queued(id);
        if !runs || self.experiment.fleet.cancels_work {
            self.finish_task(now, server, id);
        }
    }

    /// An attempt leaves a server's core, and the next one begins there.
    fn finish_task(&mut self, now: Duration, server: ServerId, id: AttemptId) {
        if let Some(next) = self.server_mut(server).finish_task(now, id) {
            let done = WorldEvent::WorkDone(server, next.attempt);
            self.event_queue.schedule(next.done_at, done);
        }
    }

    fn end_attempt(&mut self, now: Duration, id: AttemptId, end: AttemptEnd) {
        let attempt = &mut self.attempts[id.0 as usize];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let request = attempt.request;
        let account = self.operation_of(request).account as usize;
        self.clients.accounts[account].in_flight -= 1.0;
        self.rule_checker.on_attempt_end(now, id, request, end);
    }

    /// A server is done with an attempt's work.
    pub(super) fn on_work_done(&mut self, now: Duration, server: ServerId, id: AttemptId) {
        if self.attempt(id).server_incarnation != self.server(server).incarnation {
            return;
        }
        let interval = seconds(self.experiment.fleet.load_report_interval);
        let load = if interval.is_zero() {
            None
        } else {
            Some(self.server_mut(server).load_report(now, interval))
        };
        self.finish_task(now, server, id);
        if self.server(server).health == Health::Silent || self.attempt(id).ended {
            return;
        }
        let response = self.draw_response(now, server, id, load);
        self.schedule_response(now, id, response);
    }

    /// What a server answers to an attempt that it has executed.
    fn draw_response(
        &mut self,
        now: Duration,
        server: ServerId,
        id: AttemptId,
        load: Option<LoadReport>,
    ) -> ServerResponse {
        if self.rng.generate::<f64>() < self.server(server).failure_share {
            return ServerResponse::Failed;
        }
        if self.rng.generate::<f64>() < self.faults.malformed_share.at(now) {
            return ServerResponse::Malformed(self.rng.generate::<u32>() % MALFORMED_KINDS);
        }
        let operation = self.operation_of(self.attempt(id).request);
        let units = operation.true_units;
        let more_units = units - operation.units;
        let account = operation.account as usize;
        self.clients.accounts[account].quota.settle(now, more_units);
        ServerResponse::Success {
            units: self.experiment.load.settles_units.then_some(units),
            load,
        }
    }

    /// A server's response; where the engine adds no delay it takes effect after the way there and back.
    fn schedule_response(&mut self, now: Duration, id: AttemptId, response: ServerResponse) {
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.response = Some(response);
        let gateway = attempt.gateway;
        let server = attempt.server;
        let delay = self.round_trip_delay(self.one_way_delay(gateway, server));
        self.event_queue
            .schedule(now + delay, WorldEvent::ResponseDue(id));
    }

    /// A server's response leaves, unless the attempt has ended or a cut holds it back.
    pub(super) fn on_response_due(
        &mut self,
        now: Duration,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let attempt = self.attempt(id);
        let Some(response) = attempt.response else {
            return;
        };
        if attempt.ended || self.is_cut(now, attempt.gateway, attempt.server) {
            return;
        }
        let end = match response {
            ServerResponse::Busy => AttemptEnd::Rejected,
            _ => AttemptEnd::Answered,
        };
        self.end_attempt(now, id, end);
        actions.push(Action::SendResponse(id, response));
    }

    /// A probe of a server's load, where probes are allowed and it can answer.
    pub(crate) fn on_load_probe(&mut self, now: Duration, server: ServerId) -> Option<LoadReport> {
        let interval = seconds(self.experiment.fleet.load_report_interval);
        if !self.experiment.fleet.load_probes || self.server(server).health != Health::Up {
            return None;
        }
        Some(self.server_mut(server).load_report(now, interval))
    }

    /// One way between a gateway and a server.
    pub(crate) fn one_way_delay(&self, gateway: usize, server: ServerId) -> Duration {
        self.network
            .one_way_delay(gateway, self.server(server).zone)
    }
}
