//! Upstream attempts: how they arrive at servers, are executed, answered and abandoned.

use super::server::{Admission, Health, LoadReport, Task};
use super::span::seconds;
use super::world_event::WorldEvent;
use super::{Action, ServerResponse, World};
use crate::events::{AttemptEnd, AttemptId, ClientRequestId, ServerId};
use nanorand::Rng;
use std::time::Duration;

/// The number of different malformed responses, see [`ServerResponse::Malformed`].
const MALFORMED_RESPONSE_KINDS: u32 = 6;

/// An attempt that arrives at a server.
#[derive(Clone, Copy)]
pub(crate) struct AttemptArrival {
    /// The index of the gateway that sent it.
    pub(crate) gateway: usize,
    /// The server that received it.
    pub(crate) server: ServerId,
    /// The request that it is sent for.
    pub(crate) request: ClientRequestId,
    /// Whether it is the first attempt on its connection. Then its work includes the handshake.
    pub(crate) fresh_connection: bool,
}

/// The state of an attempt that has arrived at a server.
pub(crate) struct Attempt {
    /// The request that it is sent for.
    pub(crate) request: ClientRequestId,
    /// The server that received it.
    pub(crate) server: ServerId,
    /// The index of the gateway that sent it.
    gateway: usize,
    /// The server's incarnation at the arrival. A later incarnation does not know the attempt.
    server_incarnation: u32,
    /// Whether the attempt was answered, rejected or abandoned.
    ended: bool,
    /// The server's response, from the moment when it is drawn.
    response: Option<ServerResponse>,
}

impl World {
    /// Returns whether a server refuses new connections. A silent server accepts them but never answers.
    pub(crate) fn refuses_connections(&self, server: ServerId) -> bool {
        self.server(server).refuses_connections()
    }

    /// Records that a gateway has opened a connection to a server.
    pub(crate) fn on_connect(&mut self, now: Duration, server: ServerId) {
        self.metrics.second_at(now).new_connections += 1;
        self.server_mut(server).connections += 1;
    }

    /// Records that a connection of a gateway to a server has ended.
    pub(crate) fn on_disconnect(&mut self, server: ServerId) {
        let server = self.server_mut(server);
        server.connections = server.connections.saturating_sub(1);
    }

    /// Returns whether a network partition separates a gateway from a server.
    fn is_partitioned(&self, now: Duration, gateway: usize, server: ServerId) -> bool {
        self.network
            .is_partitioned(now, gateway, self.server(server).zone)
    }

    /// Handles an attempt that a server has received completely, and returns the attempt's id.
    pub(crate) fn on_attempt_arrival(
        &mut self,
        now: Duration,
        arrival: AttemptArrival,
        actions: &mut Vec<Action>,
    ) -> AttemptId {
        let id = self.add_attempt(now, arrival);
        self.charge_attempt(now, arrival.request);
        if self.is_processed(now, arrival) {
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

    /// Counts an attempt as in flight for its account. The first attempt of a request also takes units from the quota.
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
            self.clients.operations[operation].forwarded_within_quota = within_quota;
        }
    }

    /// Takes an operation's units from the platform's own meter of the account's quota, and returns whether they were
    /// left. Otherwise the units and their cost are recorded as over quota.
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

    /// Returns whether the server processes an attempt. It ignores it if it is silent, is separated from the gateway by
    /// a partition or leaves the route unanswered.
    fn is_processed(&self, now: Duration, arrival: AttemptArrival) -> bool {
        let server = self.server(arrival.server);
        let route = self.operation_of(arrival.request).route;
        server.health != Health::Silent
            && !self.is_partitioned(now, arrival.gateway, arrival.server)
            && !server.unanswered_routes.contains(&route)
    }

    /// Rejects an attempt, answers it as a repeat of an executed one, or executes it.
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
            // A repeat is not executed again. It gets the value of the first execution.
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

    /// Returns whether the servers of the deduplication scope know the idempotency key of an attempt. If not, they
    /// remember it from now on.
    fn is_repeat(&mut self, now: Duration, arrival: AttemptArrival) -> bool {
        let operation = self.operation_of(arrival.request);
        let route = &self.experiment.routes[operation.route];
        if route.deduplication_window <= 0.0 {
            return false;
        }
        let key = operation.key;
        let scope = route.deduplication_scope;
        let window = seconds(route.deduplication_window);
        let server = &self.servers[arrival.server.0 as usize];
        self.deduplication
            .is_repeat(now, server, scope, key, window)
    }

    fn task_of(&self, id: AttemptId, arrival: AttemptArrival) -> Task {
        let handshake_seconds = if arrival.fresh_connection {
            self.experiment.fleet.handshake_ms / 1e3
        } else {
            0.0
        };
        let notified = self.notified_change_count(arrival.gateway);
        Task {
            attempt: id,
            work: self.operation_of(arrival.request).work + handshake_seconds,
            start_known: self.server(arrival.server).is_start_known(notified),
        }
    }

    /// Handles a server that was overloaded while warming up: its process ends and never starts again.
    fn on_server_overload(&mut self, now: Duration, server: ServerId, actions: &mut Vec<Action>) {
        if self.server(server).was_overloaded_by_informed_gateways() {
            self.rule_checker.on_server_overload(now, server);
        }
        self.server_mut(server).crash(Health::Overloaded);
        actions.push(Action::StopServer(server));
    }

    /// Handles an attempt that the gateway has cancelled, or whose connection was closed.
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
        let is_running = self.server_mut(server).cancel_queued(id);
        if !is_running || self.experiment.fleet.cancels_work {
            self.finish_task(now, server, id);
        }
    }

    /// Removes an attempt from a server's cores and starts the next one in the queue, if there is one.
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

    /// Handles the end of an attempt's execution: draws the response and schedules it.
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

    /// Draws the response to an executed attempt. A success also settles the units in the account's quota.
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
            return ServerResponse::Malformed(
                self.rng.generate::<u32>() % MALFORMED_RESPONSE_KINDS,
            );
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

    /// Schedules a server's response. It is due at once where the engine adds the network delay, otherwise after the
    /// round trip.
    fn schedule_response(&mut self, now: Duration, id: AttemptId, response: ServerResponse) {
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.response = Some(response);
        let gateway = attempt.gateway;
        let server = attempt.server;
        let delay = self.round_trip_delay(self.one_way_delay(gateway, server));
        self.event_queue
            .schedule(now + delay, WorldEvent::ResponseDue(id));
    }

    /// Sends a server's response, unless the attempt has ended or a network partition prevents it.
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
        if attempt.ended || self.is_partitioned(now, attempt.gateway, attempt.server) {
            return;
        }
        let end = match response {
            ServerResponse::Busy => AttemptEnd::Rejected,
            _ => AttemptEnd::Answered,
        };
        self.end_attempt(now, id, end);
        actions.push(Action::SendResponse(id, response));
    }

    /// Answers a load probe. Returns `None` if probes are not allowed or the server is not up.
    pub(crate) fn on_load_probe(&mut self, now: Duration, server: ServerId) -> Option<LoadReport> {
        let interval = seconds(self.experiment.fleet.load_report_interval);
        if !self.experiment.fleet.load_probes || self.server(server).health != Health::Up {
            return None;
        }
        Some(self.server_mut(server).load_report(now, interval))
    }

    /// Returns the one-way network delay between a gateway and a server.
    pub(crate) fn one_way_delay(&self, gateway: usize, server: ServerId) -> Duration {
        self.network
            .one_way_delay(gateway, self.server(server).zone)
    }
}
