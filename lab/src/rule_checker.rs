//! The rule checker: checks the five rules of [`Rule`] against what the emulated platform observed of the gateways.
//!
//! It shares no code with the gateway and does not know how the gateway decides, even where both need the same
//! logic, such as the token bucket of a ceiling. Otherwise a defect in shared code would also hide itself from the
//! checker. Each violation states the rule, the time and, where they apply, the request and the gateway.

use crate::events::{
    AttemptEnd, AttemptId, ClientOutcome, ClientRequestId, Rule, RuleViolation, ServerId,
};
use crate::experiment::{DeduplicationScope, Experiment, Idempotency, RouteConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How far the timeout that a gateway advertises to a server may exceed the client's remaining time, because the
/// command takes time to reach the server.
const ADVERTISED_TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// How long after a client has closed its connection an attempt for its request may still arrive at a server.
const CLIENT_DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// How many violations are stored. Further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 200;

/// An attempt as its server observed it.
struct ObservedAttempt {
    id: AttemptId,
    server: ServerId,
    arrived_at: Duration,
    /// How the attempt ended; `None` while it is in flight.
    end: Option<AttemptEnd>,
}

impl ObservedAttempt {
    fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// Returns whether the server may have run the attempt. Only a rejected attempt has certainly not run.
    fn may_have_run(&self) -> bool {
        self.end != Some(AttemptEnd::Rejected)
    }
}

/// A request that a gateway has accepted.
pub(crate) struct AcceptedRequest {
    /// The request's id.
    pub(crate) id: ClientRequestId,
    /// The index of the gateway that accepted it.
    pub(crate) gateway: usize,
    /// The index of its route in the experiment.
    pub(crate) route: usize,
    /// The index of the account that sent it.
    pub(crate) account: u32,
    /// The units that it states.
    pub(crate) units: f64,
    /// When the gateway accepted it.
    pub(crate) accepted_at: Duration,
    /// When the client timeout ends.
    pub(crate) deadline: Duration,
}

/// What has been observed of an accepted request.
struct ObservedRequest {
    request: AcceptedRequest,
    /// When the client closed its connection, if it did.
    client_disconnected_at: Option<Duration>,
    attempts: Vec<ObservedAttempt>,
    /// When the final answer arrived. Requests without one count as answered once the client timeout is over.
    answered_at: Option<Duration>,
    /// Whether the request needs no final answer any more: the client closed its connection, the gateway was killed
    /// or did not accept the request after all, or the client timeout is over.
    needs_no_answer: bool,
}

/// The token bucket that tracks a customer's hard ceiling.
struct CeilingBucket {
    units_left: f64,
    /// When `units_left` was last updated.
    refilled_at: Duration,
}

/// The cell and the zone of a server.
#[derive(Clone, Copy, Default)]
struct ServerLocation {
    cell: u64,
    zone: usize,
}

/// The rule and the description of a violation. It is recorded after the borrow of the request's entry has ended.
type Finding = (Rule, String);

/// Observes a run and collects the violations of the rules.
pub(crate) struct RuleChecker {
    experiment: Experiment,
    /// How far a limit in time may be exceeded, because events take time to reach the observer.
    slack: Duration,
    requests: BTreeMap<ClientRequestId, ObservedRequest>,
    /// The requests that need a final answer and have none yet, by the gateway's index.
    unanswered: Vec<BTreeSet<ClientRequestId>>,
    /// When a gateway was first notified that a server is draining or removed, by gateway and server.
    draining_since: BTreeMap<(usize, ServerId), Duration>,
    locations: BTreeMap<ServerId, ServerLocation>,
    /// The token buckets of the customers' ceilings, by the account's index.
    ceilings: BTreeMap<u32, CeilingBucket>,
    /// The index of each account's plan, by the account's index.
    plans: BTreeMap<u32, usize>,
    /// By when an attempt has to end that was still in flight when a later attempt for its request arrived.
    overlap_deadlines: BTreeMap<(ClientRequestId, AttemptId), Duration>,
    /// The first [`MAX_STORED_VIOLATIONS`] violations.
    violations: Vec<RuleViolation>,
    /// The number of all violations.
    violation_count: u64,
}

impl RuleChecker {
    /// Creates a checker for a run of `experiment`. `slack` is how far a limit in time may be exceeded, because events
    /// take time to reach the observer.
    pub(crate) fn new(experiment: &Experiment, slack: Duration) -> RuleChecker {
        RuleChecker {
            experiment: experiment.clone(),
            slack,
            requests: BTreeMap::new(),
            unanswered: vec![BTreeSet::new(); experiment.fleet.gateways],
            draining_since: BTreeMap::new(),
            locations: BTreeMap::new(),
            ceilings: BTreeMap::new(),
            plans: BTreeMap::new(),
            overlap_deadlines: BTreeMap::new(),
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Returns the number of violations, including those that were not stored.
    pub(crate) fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// Removes and returns the stored violations, in the order in which they were found.
    pub(crate) fn take_violations(&mut self) -> Vec<RuleViolation> {
        std::mem::take(&mut self.violations)
    }

    fn record_violation(
        &mut self,
        rule: Rule,
        now: Duration,
        request: Option<ClientRequestId>,
        gateway: Option<usize>,
        description: String,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            self.violations.push(RuleViolation {
                rule,
                at_seconds: now.as_secs_f64(),
                request: request.map(|id| id.0),
                gateway,
                description,
            });
        }
    }

    /// Registers a new server and its location.
    pub(crate) fn add_server(&mut self, server: ServerId, cell: u64, zone: usize) {
        self.locations.insert(server, ServerLocation { cell, zone });
    }

    /// Registers a new account and the index of its plan.
    pub(crate) fn add_account(&mut self, account: u32, plan: usize) {
        self.plans.insert(account, plan);
    }

    /// Records that a server's state was written to a gateway; `ready` is false for a draining or removed server.
    pub(crate) fn on_gateway_notified(
        &mut self,
        now: Duration,
        gateway: usize,
        server: ServerId,
        ready: bool,
    ) {
        if ready {
            self.draining_since.remove(&(gateway, server));
        } else {
            self.draining_since.entry((gateway, server)).or_insert(now);
        }
    }

    /// Forgets the notifications of a gateway that starts: its new process knows nothing of them.
    pub(crate) fn on_gateway_started(&mut self, gateway: usize) {
        self.draining_since
            .retain(|(notified, _), _| *notified != gateway);
    }

    /// Handles the kill of a gateway that was told to stop before. Every request that it had accepted more than the
    /// slack before the kill must have its final answer.
    pub(crate) fn on_gateway_stopped(&mut self, now: Duration, gateway: usize) {
        let overdue: Vec<(ClientRequestId, Duration)> = self.unanswered[gateway]
            .iter()
            .map(|id| (*id, self.requests[id].request.accepted_at))
            .filter(|(_, accepted_at)| *accepted_at + self.slack < now)
            .collect();
        for (id, accepted_at) in overdue {
            let waited = now - accepted_at;
            let description = format!(
                "not answered when the stopping gateway was killed, {waited:?} after it was accepted"
            );
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
        self.on_gateway_killed(gateway);
    }

    /// Handles the kill of a gateway: its unanswered requests need no answer any more.
    pub(crate) fn on_gateway_killed(&mut self, gateway: usize) {
        for id in std::mem::take(&mut self.unanswered[gateway]) {
            if let Some(observed) = self.requests.get_mut(&id) {
                observed.needs_no_answer = true;
            }
        }
    }

    /// Records that a gateway has accepted a request, which from now on needs a final answer from it.
    pub(crate) fn on_request_accepted(&mut self, request: AcceptedRequest) {
        let id = request.id;
        self.unanswered[request.gateway].insert(id);
        let observed = ObservedRequest {
            request,
            client_disconnected_at: None,
            attempts: Vec::new(),
            answered_at: None,
            needs_no_answer: false,
        };
        self.requests.insert(id, observed);
    }

    /// Records that no gateway accepted the request, or that its gateway was killed: it needs no answer.
    pub(crate) fn on_request_not_accepted(&mut self, id: ClientRequestId) {
        if let Some(observed) = self.requests.get_mut(&id) {
            observed.needs_no_answer = true;
            self.unanswered[observed.request.gateway].remove(&id);
        }
    }

    /// Records that the client has closed its connection, after which the request needs no answer.
    pub(crate) fn on_client_disconnect(&mut self, now: Duration, id: ClientRequestId) {
        if let Some(observed) = self.requests.get_mut(&id) {
            observed.needs_no_answer = true;
            observed.client_disconnected_at = Some(now);
            self.unanswered[observed.request.gateway].remove(&id);
        }
    }

    /// Checks the timeout that a gateway has advertised to a server: it must not exceed the client's remaining time.
    pub(crate) fn on_advertised_timeout(
        &mut self,
        now: Duration,
        id: ClientRequestId,
        gateway: usize,
        timeout: Duration,
    ) {
        let Some(observed) = self.requests.get(&id) else {
            return;
        };
        let left = observed.request.deadline.saturating_sub(now);
        if timeout > left + ADVERTISED_TIMEOUT_SLACK + self.slack {
            let description = format!(
                "advertised a timeout of {timeout:?} to a server, but the client waits only {left:?} more"
            );
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
    }

    /// Checks and records an attempt that a server has received completely.
    pub(crate) fn on_attempt_arrival(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        id: ClientRequestId,
        gateway: usize,
        server: ServerId,
    ) {
        self.check_draining(now, id, gateway, server);
        let Some(observed) = self.requests.get(&id) else {
            return;
        };
        let first = observed.attempts.is_empty();
        let mut findings = self.find_late_attempt(now, observed);
        findings.extend(self.find_unsafe_retry(now, observed, server));
        self.record_attempt(now, attempt, id, server);
        for (rule, description) in findings {
            self.record_violation(rule, now, Some(id), Some(gateway), description);
        }
        if first {
            self.check_ceiling(now, id, gateway);
        }
    }

    fn record_attempt(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        id: ClientRequestId,
        server: ServerId,
    ) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        for earlier in observed.attempts.iter().filter(|it| it.is_in_flight()) {
            self.overlap_deadlines
                .insert((id, earlier.id), now + self.slack);
        }
        observed.attempts.push(ObservedAttempt {
            id: attempt,
            server,
            arrived_at: now,
            end: None,
        });
    }

    /// Rule `Drains`: no attempt arrives later than the drain grace after the gateway was notified that the server is
    /// draining or removed.
    fn check_draining(
        &mut self,
        now: Duration,
        id: ClientRequestId,
        gateway: usize,
        server: ServerId,
    ) {
        let Some(since) = self.draining_since.get(&(gateway, server)) else {
            return;
        };
        let elapsed = now.saturating_sub(*since);
        let grace = Duration::from_secs_f64(self.experiment.fleet.drain_grace);
        if elapsed > grace + self.slack {
            let description = format!(
                "attempt at server {} {elapsed:?} after the gateway was notified that the server is draining \
                 or removed, expected at most {grace:?}",
                server.0
            );
            self.record_violation(Rule::Drains, now, Some(id), Some(gateway), description);
        }
    }

    /// Rule `OneAnswer`: no attempt arrives after the final answer, or after the client has closed its connection.
    fn find_late_attempt(&self, now: Duration, observed: &ObservedRequest) -> Vec<Finding> {
        let mut findings = Vec::new();
        if let Some(answered_at) = observed.answered_at {
            if now > answered_at + self.slack {
                let late = now - answered_at;
                let description = format!("an attempt arrived {late:?} after the final answer");
                findings.push((Rule::OneAnswer, description));
            }
        }
        if let Some(disconnected_at) = observed.client_disconnected_at {
            if now > disconnected_at + CLIENT_DISCONNECT_SLACK + self.slack {
                let late = now - disconnected_at;
                let description = format!(
                    "an attempt arrived {late:?} after the client had closed its connection"
                );
                findings.push((Rule::OneAnswer, description));
            }
        }
        findings
    }

    /// Rule `NoEffectTwice`: after an attempt that may have run, another one is allowed only if the route is idempotent
    /// or the second server deduplicates it.
    fn find_unsafe_retry(
        &self,
        now: Duration,
        observed: &ObservedRequest,
        server: ServerId,
    ) -> Option<Finding> {
        let earlier = observed.attempts.iter().find(|it| it.may_have_run())?;
        let route = &self.experiment.routes[observed.request.route];
        let safe = match route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => self.is_deduplicated(now, route, earlier, server),
            Idempotency::NonIdempotent => false,
        };
        if safe {
            return None;
        }
        let description = format!(
            "another attempt after an attempt at server {} that may have run",
            earlier.server.0
        );
        Some((Rule::NoEffectTwice, description))
    }

    fn location(&self, server: ServerId) -> ServerLocation {
        self.locations.get(&server).copied().unwrap_or_default()
    }

    /// Returns whether `server` recognizes an attempt as a repeat of `earlier`: it must arrive within the deduplication
    /// window, and both servers must be in the same deduplication scope.
    fn is_deduplicated(
        &self,
        now: Duration,
        route: &RouteConfig,
        earlier: &ObservedAttempt,
        server: ServerId,
    ) -> bool {
        let window = Duration::from_secs_f64(route.deduplication_window);
        let in_window = earlier.arrived_at + window + self.slack >= now;
        let earlier_location = self.location(earlier.server);
        let current_location = self.location(server);
        let in_scope = match route.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Cell => earlier_location.cell == current_location.cell,
            DeduplicationScope::Zone => earlier_location.zone == current_location.zone,
        };
        in_window && in_scope
    }

    /// Rule `Ceilings`: the first attempt of each request takes the request's units from the token bucket of its
    /// customer's ceiling. The plan's slack raises the rate and the burst by a share; the burst is raised by at least
    /// the units of one largest request.
    fn check_ceiling(&mut self, now: Duration, id: ClientRequestId, gateway: usize) {
        let Some(observed) = self.requests.get(&id) else {
            return;
        };
        let account = observed.request.account;
        let units = observed.request.units;
        let Some(plan) = self.plans.get(&account) else {
            return;
        };
        let plan = &self.experiment.plans[*plan];
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let tolerance = 1.0 + plan.ceiling_slack;
        let largest_request = f64::from(self.experiment.load.max_units);
        let max_units_held =
            (plan.ceiling_burst * tolerance).max(plan.ceiling_burst + largest_request);
        let rate = plan.ceiling_rate * tolerance;
        let bucket = self.ceilings.entry(account).or_insert(CeilingBucket {
            units_left: max_units_held,
            refilled_at: now,
        });
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.units_left = (bucket.units_left + elapsed * rate).min(max_units_held) - units;
        bucket.refilled_at = now;
        if bucket.units_left < 0.0 {
            let description = format!(
                "account {account} of plan {} exceeded its hard ceiling by {:.1} units",
                plan.name, -bucket.units_left
            );
            bucket.units_left = 0.0;
            self.record_violation(Rule::Ceilings, now, Some(id), Some(gateway), description);
        }
    }

    /// Records that an attempt is no longer in flight, and checks how long it overlapped with a later one.
    pub(crate) fn on_attempt_end(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        id: ClientRequestId,
        end: AttemptEnd,
    ) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let gateway = observed.request.gateway;
        if let Some(ended) = observed.attempts.iter_mut().find(|it| it.id == attempt) {
            ended.end.get_or_insert(end);
        }
        if let Some(latest) = self.overlap_deadlines.remove(&(id, attempt)) {
            if now > latest {
                self.record_overlap(now, id, Some(gateway));
            }
        }
    }

    fn record_overlap(&mut self, now: Duration, id: ClientRequestId, gateway: Option<usize>) {
        let description = format!(
            "two attempts in flight at once for more than {:?}",
            self.slack
        );
        self.record_violation(Rule::NoEffectTwice, now, Some(id), gateway, description);
    }

    /// Checks the outcome of a request that its client received: a final answer or the end of the connection.
    pub(crate) fn on_final_answer(
        &mut self,
        now: Duration,
        id: ClientRequestId,
        outcome: ClientOutcome,
    ) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let gateway = observed.request.gateway;
        self.unanswered[gateway].remove(&id);
        let mut findings: Vec<Finding> = Vec::new();
        if observed.answered_at.replace(now).is_some() {
            findings.push((Rule::OneAnswer, "a second final answer arrived".into()));
        } else if observed.needs_no_answer {
            return;
        }
        let deadline = observed.request.deadline;
        if now > deadline + self.slack {
            let late = now - deadline;
            let description = format!("the final answer arrived {late:?} after the client timeout");
            findings.push((Rule::OneAnswer, description));
        }
        let route = &self.experiment.routes[observed.request.route];
        findings.extend(find_wrong_answer(observed, route, outcome));
        for (rule, description) in findings {
            self.record_violation(rule, now, Some(id), Some(gateway), description);
        }
    }

    /// Checks that a request has its final answer. Called when the client timeout and the slack are over.
    pub(crate) fn on_deadline(&mut self, now: Duration, id: ClientRequestId) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let gateway = observed.request.gateway;
        let is_overdue = observed.answered_at.is_none() && !observed.needs_no_answer;
        // The request counts as answered from here on: a later attempt or final answer is a violation.
        observed.needs_no_answer = true;
        observed.answered_at.get_or_insert(now);
        if is_overdue {
            self.unanswered[gateway].remove(&id);
            let description = "no final answer by the client timeout".to_string();
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
    }

    /// Records that a server was overloaded while it warmed up, mostly by gateways that knew of its start.
    pub(crate) fn on_server_overload(&mut self, now: Duration, server: ServerId) {
        let description = format!(
            "server {} was overloaded while warming up, mostly by gateways that knew of its start",
            server.0
        );
        self.record_violation(Rule::ColdServers, now, None, None, description);
    }

    /// Checks the attempts that still overlap with later ones at the end of the run.
    pub(crate) fn finish(&mut self, now: Duration) {
        for ((id, _), latest) in std::mem::take(&mut self.overlap_deadlines) {
            if now > latest {
                let observed = self.requests.get(&id);
                let gateway = observed.map(|observed| observed.request.gateway);
                self.record_overlap(now, id, gateway);
            }
        }
    }

    /// Removes requests, oldest first, up to the first one whose client timeout ends at `moment` or later. This bounds
    /// the memory that a long run needs.
    pub(crate) fn forget_before(&mut self, moment: Duration) {
        while let Some(entry) = self.requests.first_entry() {
            if entry.get().request.deadline >= moment {
                return;
            }
            entry.remove();
        }
    }
}

/// Returns the violation, if any, that the content of an answer is by itself.
fn find_wrong_answer(
    observed: &ObservedRequest,
    route: &RouteConfig,
    outcome: ClientOutcome,
) -> Option<Finding> {
    match outcome {
        ClientOutcome::Served { correct: false } => Some((
            Rule::OneAnswer,
            "served with a value that no server returned for this request".into(),
        )),
        ClientOutcome::Disconnected => Some((
            Rule::OneAnswer,
            "the connection was closed before a complete answer".into(),
        )),
        ClientOutcome::Rejected if !is_safe_to_retry(observed, route) => Some((
            Rule::NoEffectTwice,
            "rejected as safe to retry although an attempt may have run".into(),
        )),
        _ => None,
    }
}

/// Returns whether the client may retry. Its retry is a new request with the same idempotency key, which may reach
/// any server, so a keyed request is only safe if all servers share one deduplication scope.
fn is_safe_to_retry(observed: &ObservedRequest, route: &RouteConfig) -> bool {
    let may_have_run = observed.attempts.iter().any(ObservedAttempt::may_have_run);
    match route.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => !may_have_run || route.deduplication_scope == DeduplicationScope::All,
        Idempotency::NonIdempotent => !may_have_run,
    }
}

#[cfg(test)]
mod tests;
