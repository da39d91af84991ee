//! Client requests: how they arrive, which gateway receives them, how they end and when they are retried.

use super::gateways::GatewayState;
use super::span::seconds;
use super::world_event::WorldEvent;
use super::{Action, World};
use crate::events::{ClientOutcome, ClientRequestId, OperationId};
use crate::record::RecordedRequest;
use crate::rule_checker::AcceptedRequest;
use nanorand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that a client sends.
pub(crate) struct ClientRequest {
    /// The operation that it is sent for.
    pub(crate) operation: OperationId,
    /// The index of the gateway that the load balancer routed it to.
    pub(crate) gateway: usize,
    /// When it was scheduled to be sent. Latencies are measured from this time.
    pub(crate) scheduled_at: Duration,
    /// When the client timeout ends.
    pub(crate) deadline: Duration,
    /// Whether the client has its answer or no longer waits for it.
    pub(crate) closed: bool,
    /// Whether at least one attempt for it has reached a server.
    pub(super) forwarded: bool,
}

/// Recorded requests that are replayed in place of drawn arrivals.
pub(super) struct Replay {
    requests: Vec<RecordedRequest>,
    /// The index of the account that replays each recorded account, by the recorded account's name.
    accounts: BTreeMap<u64, usize>,
}

impl Replay {
    /// Creates a replay of the requests of a recording. If it is empty, arrivals are drawn.
    pub(super) fn new(requests: Vec<RecordedRequest>) -> Replay {
        Replay {
            requests,
            accounts: BTreeMap::new(),
        }
    }
}

impl World {
    /// Schedules the first drawn arrival, or all recorded ones.
    pub(super) fn schedule_arrivals(&mut self) {
        if self.replay.requests.is_empty() {
            self.schedule_next_arrival(Duration::ZERO);
        }
        for (index, recorded) in self.replay.requests.iter().enumerate() {
            let arrival = WorldEvent::ReplayedArrival(index);
            self.event_queue.schedule(recorded.at, arrival);
        }
    }

    fn schedule_next_arrival(&mut self, now: Duration) {
        if let Some(next) = self.clients.draw_next_arrival(now) {
            if next < self.length {
                self.event_queue.schedule(next, WorldEvent::Arrival);
            }
        }
    }

    /// Handles a drawn arrival, unless it is thinned out, and schedules the next one.
    pub(super) fn on_arrival(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(known_account) = self.clients.draw_arrival(now) {
            let account = self.draw_new_account(now, known_account);
            let operation = self.clients.draw_operation(now, account, &self.experiment);
            self.begin_operation(now, operation, actions);
        }
        self.schedule_next_arrival(now);
    }

    /// Returns the drawn account or, during a period with new accounts and with their share as the probability, a new
    /// account of the same plan.
    fn draw_new_account(&mut self, now: Duration, known_account: usize) -> usize {
        let Some(share) = self.clients.scan_share(now) else {
            return known_account;
        };
        if self.rng.generate::<f64>() >= share {
            return known_account;
        }
        let plan = self.clients.accounts[known_account].plan;
        self.add_account(plan)
    }

    fn add_account(&mut self, plan: usize) -> usize {
        let account = self.clients.add_new_account(&self.experiment, plan);
        self.rule_checker.add_account(account as u32, plan);
        account
    }

    /// Handles the arrival of a recorded request. It is ignored if the experiment does not have its route or plan.
    pub(super) fn on_replayed_arrival(
        &mut self,
        now: Duration,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let recorded = self.replay.requests[index].clone();
        let Some(route) = self.experiment.route_index(&recorded.route) else {
            return;
        };
        let Some(plan) = self.experiment.plan_index(&recorded.plan) else {
            return;
        };
        let account = self.replayed_account(recorded.account, plan);
        let max_units = f64::from(self.experiment.load.max_units);
        let units = recorded.units.clamp(1.0, max_units);
        let operation = self
            .clients
            .add_operation(now, account, route, units, &self.experiment);
        self.begin_operation(now, operation, actions);
    }

    /// Returns the account that replays the recorded account of this name. It is added at its first request.
    fn replayed_account(&mut self, name: u64, plan: usize) -> usize {
        if let Some(account) = self.replay.accounts.get(&name) {
            return *account;
        }
        let account = self.add_account(plan);
        self.clients.accounts[account].name = name;
        self.replay.accounts.insert(name, account);
        account
    }

    /// Returns the value of an answer to an operation: the route's billed value times the plan's price times the units.
    fn operation_value(&self, operation: usize) -> f64 {
        let operation = &self.clients.operations[operation];
        let plan = self.clients.accounts[operation.account as usize].plan;
        let price = self.experiment.plans[plan].price;
        self.experiment.routes[operation.route].billed_value * price * operation.units
    }

    /// Sends the first request for an operation. If the operation is within the quota, it counts as requested value.
    fn begin_operation(&mut self, now: Duration, operation: usize, actions: &mut Vec<Action>) {
        if self.clients.operations[operation].requested_within_quota {
            self.metrics.second_at(now).requested_value += self.operation_value(operation);
        }
        self.send_request(now, OperationId(operation as u32), actions);
    }

    /// Sends a request for an operation to the gateway that the load balancer routes it to. Sends none if the operation
    /// is done, or after the time for which clients send requests.
    pub(super) fn send_request(
        &mut self,
        now: Duration,
        operation: OperationId,
        actions: &mut Vec<Action>,
    ) {
        let state = self.operation(operation);
        let account = state.account as usize;
        let route = state.route;
        if state.done || now >= self.length {
            return;
        }
        self.metrics.second_at(now).requests += 1;
        let Some(gateway) = self.route_request(now, account) else {
            self.metrics.second_at(now).unreachable += 1;
            self.schedule_retry(now, operation, None);
            return;
        };
        let timeout = seconds(self.experiment.routes[route].client_timeout);
        let id = ClientRequestId(self.requests.len() as u32);
        self.requests.push(ClientRequest {
            operation,
            gateway,
            scheduled_at: now,
            deadline: now + timeout,
            closed: false,
            forwarded: false,
        });
        self.schedule_request_end(now, id, timeout);
        actions.push(Action::SendRequest(id));
    }

    /// Returns the gateway that a request of an account is routed to. Returns `None` if that gateway is down and the
    /// load balancer has not detected it yet, or if there is no gateway to route to.
    fn route_request(&mut self, now: Duration, account: usize) -> Option<usize> {
        let failure_detection_delay = seconds(self.experiment.load.front_detection_delay);
        let order = self.clients.draw_gateway_order(account, now);
        let gateway = order.into_iter().find(|gateway| {
            self.gateways
                .is_routed_to(now, *gateway, failure_detection_delay)
        })?;
        (self.gateways.state(gateway) != GatewayState::Down).then_some(gateway)
    }

    /// Draws how long the client of a new request waits, and schedules when it gives up and when its timeout is over.
    fn schedule_request_end(&mut self, now: Duration, id: ClientRequestId, timeout: Duration) {
        // Shares of the client timeout.
        let min_wait = self.experiment.load.patience * self.clients.patience_factor;
        let wait = min_wait + (1.0 - min_wait) * self.rng.generate::<f64>();
        if wait < 1.0 {
            let gives_up_at = now + timeout.mul_f64(wait);
            self.event_queue
                .schedule(gives_up_at, WorldEvent::ClientGivesUp(id));
        }
        let timeout_over = now + timeout + self.slack;
        self.event_queue
            .schedule(timeout_over, WorldEvent::ClientTimeout(id));
    }

    /// Records that the gateway has accepted a request, which from now on needs a final answer.
    pub(crate) fn on_request_accepted(&mut self, now: Duration, id: ClientRequestId) {
        let request = self.request(id);
        let operation = self.operation(request.operation);
        let accepted = AcceptedRequest {
            id,
            gateway: request.gateway,
            route: operation.route,
            account: operation.account,
            units: operation.units,
            accepted_at: now,
            deadline: request.deadline,
        };
        self.rule_checker.on_request_accepted(accepted);
    }

    /// Handles a request that no gateway has accepted, because the process ended before or while it was written, or
    /// that was open at a gateway that was killed.
    pub(crate) fn on_request_not_accepted(&mut self, now: Duration, id: ClientRequestId) {
        self.rule_checker.on_request_not_accepted(id);
        if let Some(operation) = self.close_request(id) {
            self.metrics.second_at(now).unreachable += 1;
            self.schedule_retry(now, operation, None);
        }
    }

    /// Marks a request as closed. Returns its operation, or `None` if it was already closed.
    fn close_request(&mut self, id: ClientRequestId) -> Option<OperationId> {
        let request = &mut self.requests[id.0 as usize];
        let was_closed = std::mem::replace(&mut request.closed, true);
        (!was_closed).then_some(request.operation)
    }

    /// Schedules a retry of an operation, unless it is done or has no retries left. The client waits for `retry_after`
    /// if it honors it, otherwise for a random time around its own retry delay.
    fn schedule_retry(
        &mut self,
        now: Duration,
        operation: OperationId,
        retry_after: Option<Duration>,
    ) {
        let load = &self.experiment.load;
        let state = &mut self.clients.operations[operation.0 as usize];
        if state.retries >= load.max_retries || state.done {
            return;
        }
        state.retries += 1;
        let account = &self.clients.accounts[state.account as usize];
        let honors_retry_after = account.honors_retry_after
            && self.rng.generate::<f64>() >= self.clients.ignored_retry_after_share;
        let own_wait = seconds(load.retry_delay).mul_f64(0.5 + self.rng.generate::<f64>());
        let wait = match retry_after {
            Some(retry_after) if honors_retry_after => retry_after,
            _ => own_wait,
        };
        self.event_queue
            .schedule(now + wait, WorldEvent::ClientRetry(operation));
    }

    /// Handles a client that gives up and closes its connection before its timeout.
    pub(super) fn on_client_gives_up(
        &mut self,
        now: Duration,
        id: ClientRequestId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(operation) = self.close_request(id) {
            self.rule_checker.on_client_disconnect(now, id);
            self.metrics.second_at(now).unanswered += 1;
            actions.push(Action::CloseClient(id));
            self.schedule_retry(now, operation, None);
        }
    }

    /// Handles the end of the client timeout of a request.
    pub(super) fn on_client_timeout(&mut self, now: Duration, id: ClientRequestId) {
        self.rule_checker.on_deadline(now, id);
        if let Some(operation) = self.close_request(id) {
            self.metrics.second_at(now).unanswered += 1;
            self.schedule_retry(now, operation, None);
        }
    }

    /// Handles the final answer of a request, or the end of its connection. `retry_after` is the wait that a rejection
    /// asks for.
    pub(crate) fn on_final_answer(
        &mut self,
        now: Duration,
        id: ClientRequestId,
        outcome: ClientOutcome,
        retry_after: Option<Duration>,
    ) {
        self.rule_checker.on_final_answer(now, id, outcome);
        let Some(operation) = self.close_request(id) else {
            return;
        };
        let scheduled_at = self.request(id).scheduled_at;
        let latency = now.saturating_sub(scheduled_at);
        match outcome {
            ClientOutcome::Served { .. } => {
                self.metrics.record_success(now, latency);
                self.finish_operation(operation, scheduled_at, latency);
            }
            ClientOutcome::Rejected => {
                self.metrics.record_rejection(now, latency);
                self.record_room_at_rejection(now, operation);
                self.schedule_retry(now, operation, retry_after);
            }
            ClientOutcome::Failed | ClientOutcome::Disconnected => {
                self.metrics.record_failure(now, latency);
                self.schedule_retry(now, operation, None);
            }
        }
    }

    /// Marks an operation as done. If it was forwarded within the quota, its value counts once, in the second for which
    /// the answered request was scheduled; late answers count only in part.
    fn finish_operation(
        &mut self,
        operation: OperationId,
        scheduled_at: Duration,
        latency: Duration,
    ) {
        let index = operation.0 as usize;
        let finished = &self.clients.operations[index];
        let route = &self.experiment.routes[finished.route];
        let value_share = if latency <= seconds(route.latency_target) {
            1.0
        } else {
            route.late_value_ratio
        };
        if finished.forwarded_within_quota && !finished.done {
            let value = self.operation_value(index);
            self.metrics.second_at(scheduled_at).value_in_time += value * value_share;
        }
        self.clients.operations[index].done = true;
    }

    /// Records whether the customer's quota and concurrency limit would have allowed a request that was rejected.
    fn record_room_at_rejection(&mut self, now: Duration, operation: OperationId) {
        let rejected = &self.clients.operations[operation.0 as usize];
        let units = rejected.units;
        let account = &mut self.clients.accounts[rejected.account as usize];
        let limit = self.experiment.plans[account.plan].concurrency_limit;
        let has_room = account.has_room(now, units, limit);
        let has_half_room = account.has_half_room(now, units, limit);
        let second = self.metrics.second_at(now);
        second.rejected_within_quota += u64::from(has_room);
        second.rejected_with_half_quota += u64::from(has_half_room);
    }
}
