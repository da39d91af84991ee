//! The rule checker: judges the five rules from what the emulated platform observed of the gateways.
//!
//! It shares no code with the program and knows nothing of how that decides. This holds also where both need
//! the same thing, such as the token bucket of a ceiling: a fault of the program's must not hide itself from
//! its checker. A violation names rule, time, request and gateway.

use crate::events::{
    AttemptEnd, AttemptId, ClientOutcome, ClientRequestId, Rule, RuleViolation, ServerId,
};
use crate::experiment::{DeduplicationScope, Experiment, Idempotency, RouteConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The timeout that a gateway advertises to a server may exceed what the client has left by so much: the
/// command's way from the gateway takes time.
const ADVERTISED_TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// An attempt may arrive so long after its client has closed its connection.
const CLIENT_GONE_SLACK: Duration = Duration::from_millis(100);
/// So many violations are kept; the rest are counted.
const MAX_VIOLATIONS: usize = 200;

/// An attempt as its server saw it.
struct ObservedAttempt {
    id: AttemptId,
    server: ServerId,
    arrived_at: Duration,
    end: Option<AttemptEnd>,
}

impl ObservedAttempt {
    fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// Whether its effect may have happened: all but a rejected one.
    fn may_have_run(&self) -> bool {
        self.end != Some(AttemptEnd::Rejected)
    }
}

/// A request that a gateway has accepted.
pub(crate) struct AcceptedRequest {
    /// The request.
    pub(crate) id: ClientRequestId,
    /// The gateway that accepted it.
    pub(crate) gateway: usize,
    /// Index of its route.
    pub(crate) route: usize,
    /// Index of its account.
    pub(crate) account: u32,
    /// Units that it asks for.
    pub(crate) units: f64,
    /// When the gateway accepted it.
    pub(crate) accepted_at: Duration,
    /// When its client timeout ends.
    pub(crate) deadline: Duration,
}

/// What is known of an accepted request.
struct ObservedRequest {
    request: AcceptedRequest,
    /// When its client closed its connection.
    client_gone_at: Option<Duration>,
    attempts: Vec<ObservedAttempt>,
    answered_at: Option<Duration>,
    /// The client has gone or the gateway was killed: no answer is owed any more.
    excused: bool,
}

/// The token bucket of a customer's hard ceiling.
struct CeilingBucket {
    units_left: f64,
    filled_at: Duration,
}

/// Where a server stands.
#[derive(Clone, Copy, Default)]
struct ServerLocation {
    cell: u64,
    zone: usize,
}

/// A violation found while a record was borrowed.
type Finding = (Rule, String);

/// Observes a run and collects the rules that it breaks.
pub(crate) struct RuleChecker {
    experiment: Experiment,
    /// How much later than a rule's figure is still in time, for what is on its way.
    slack: Duration,
    requests: BTreeMap<ClientRequestId, ObservedRequest>,
    /// Requests without an answer, by gateway.
    unanswered: Vec<BTreeSet<ClientRequestId>>,
    /// Since when a gateway knows that a server drains or is removed.
    draining_since: BTreeMap<(usize, ServerId), Duration>,
    locations: BTreeMap<ServerId, ServerLocation>,
    ceilings: BTreeMap<u32, CeilingBucket>,
    plans: BTreeMap<u32, usize>,
    /// Attempts that were in flight when another one came, and by when they have to end.
    overlaps: BTreeMap<(ClientRequestId, AttemptId), Duration>,
    violations: Vec<RuleViolation>,
    violation_count: u64,
}

impl RuleChecker {
    /// `slack`: how much later than a rule's figure is still in time, for what is on its way.
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
            overlaps: BTreeMap::new(),
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// How many rules were broken, those that were not kept included.
    pub(crate) fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// The first violations, in the order in which they were found.
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
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(RuleViolation {
                rule,
                at_seconds: now.as_secs_f64(),
                request: request.map(|id| id.0),
                gateway,
                description,
            });
        }
    }

    /// There is a new server.
    pub(crate) fn add_server(&mut self, server: ServerId, cell: u64, zone: usize) {
        self.locations.insert(server, ServerLocation { cell, zone });
    }

    /// There is a new account, under this plan.
    pub(crate) fn add_account(&mut self, account: u32, plan: usize) {
        self.plans.insert(account, plan);
    }

    /// A gateway was notified of a server's state, at the moment when that was written to it.
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

    /// A gateway that starts knows nothing of what its earlier process was notified of.
    pub(crate) fn on_gateway_started(&mut self, gateway: usize) {
        self.draining_since
            .retain(|(notified, _), _| *notified != gateway);
    }

    /// A gateway is killed after it was told to stop: all that it accepted before has its answer by now.
    pub(crate) fn on_gateway_stopped(&mut self, now: Duration, gateway: usize) {
        let overdue: Vec<(ClientRequestId, Duration)> = self.unanswered[gateway]
            .iter()
            .map(|id| (*id, self.requests[id].request.accepted_at))
            .filter(|(_, accepted_at)| *accepted_at + self.slack < now)
            .collect();
        for (id, accepted_at) in overdue {
            let waited = now - accepted_at;
            let description = format!("unanswered at the kill, {waited:?} after it was accepted");
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
        self.on_gateway_killed(gateway);
    }

    /// A gateway was killed: nothing is owed for what it held.
    pub(crate) fn on_gateway_killed(&mut self, gateway: usize) {
        for id in std::mem::take(&mut self.unanswered[gateway]) {
            if let Some(observed) = self.requests.get_mut(&id) {
                observed.excused = true;
            }
        }
    }

    /// A gateway has accepted a request: from now on it owes an answer.
    pub(crate) fn on_request_accepted(&mut self, request: AcceptedRequest) {
        let id = request.id;
        self.unanswered[request.gateway].insert(id);
        let observed = ObservedRequest {
            request,
            client_gone_at: None,
            attempts: Vec::new(),
            answered_at: None,
            excused: false,
        };
        self.requests.insert(id, observed);
    }

    /// No process took the request after all.
    pub(crate) fn on_request_not_accepted(&mut self, id: ClientRequestId) {
        if let Some(observed) = self.requests.get_mut(&id) {
            observed.excused = true;
            self.unanswered[observed.request.gateway].remove(&id);
        }
    }

    /// The client has closed its connection.
    pub(crate) fn on_client_gone(&mut self, now: Duration, id: ClientRequestId) {
        if let Some(observed) = self.requests.get_mut(&id) {
            observed.excused = true;
            observed.client_gone_at = Some(now);
            self.unanswered[observed.request.gateway].remove(&id);
        }
    }

    /// An attempt says how long the gateway waits: no longer than the client does.
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
            let description = format!("a server was told that {timeout:?} are left, of {left:?}");
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
    }

    /// An attempt has reached a server whole.
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
        findings.extend(self.find_unsafe_repeat(now, observed, server));
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
            self.overlaps.insert((id, earlier.id), now + self.slack);
        }
        observed.attempts.push(ObservedAttempt {
            id: attempt,
            server,
            arrived_at: now,
            end: None,
        });
    }

    /// Rule `Drains`: no attempt later than the grace period after the gateway knew.
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
                "sent to server {} {elapsed:?} after being notified that it leaves",
                server.0
            );
            self.record_violation(Rule::Drains, now, Some(id), Some(gateway), description);
        }
    }

    /// Rule `OneAnswer`: no attempt after the final answer or after the client has gone.
    fn find_late_attempt(&self, now: Duration, observed: &ObservedRequest) -> Vec<Finding> {
        let mut findings = Vec::new();
        if let Some(answered_at) = observed.answered_at {
            if now > answered_at + self.slack {
                let late = now - answered_at;
                let description = format!("an attempt {late:?} after the final answer");
                findings.push((Rule::OneAnswer, description));
            }
        }
        if let Some(gone_at) = observed.client_gone_at {
            if now > gone_at + CLIENT_GONE_SLACK + self.slack {
                let late = now - gone_at;
                let description = format!("an attempt {late:?} after its client had gone");
                findings.push((Rule::OneAnswer, description));
            }
        }
        findings
    }

    /// Rule `NoEffectTwice`: after an attempt that may have run another one needs a route that bears it.
    fn find_unsafe_repeat(
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
            "sent again after an attempt at server {} that may have run",
            earlier.server.0
        );
        Some((Rule::NoEffectTwice, description))
    }

    fn location(&self, server: ServerId) -> ServerLocation {
        self.locations.get(&server).copied().unwrap_or_default()
    }

    /// Whether a server drops the repeat of an earlier attempt: in time, and in the same scope.
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
        let present_location = self.location(server);
        let in_scope = match route.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Cell => earlier_location.cell == present_location.cell,
            DeduplicationScope::Zone => earlier_location.zone == present_location.zone,
        };
        in_window && in_scope
    }

    /// Rule `Ceilings`: each first attempt takes its units from the ceiling of its customer. The slack is a
    /// share of the ceiling or one of the largest requests, whichever is more.
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
        let depth = (plan.ceiling_burst * tolerance).max(plan.ceiling_burst + largest_request);
        let rate = plan.ceiling_rate * tolerance;
        let bucket = self.ceilings.entry(account).or_insert(CeilingBucket {
            units_left: depth,
            filled_at: now,
        });
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.units_left = (bucket.units_left + elapsed * rate).min(depth) - units;
        bucket.filled_at = now;
        if bucket.units_left < 0.0 {
            let description = format!(
                "account {account} of plan {} is {:.1} units past its ceiling",
                plan.name, -bucket.units_left
            );
            bucket.units_left = 0.0;
            self.record_violation(Rule::Ceilings, now, Some(id), Some(gateway), description);
        }
    }

    /// An attempt is no longer in flight.
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
        if let Some(latest) = self.overlaps.remove(&(id, attempt)) {
            if now > latest {
                self.record_overlap(now, id, Some(gateway));
            }
        }
    }

    fn record_overlap(&mut self, now: Duration, id: ClientRequestId, gateway: Option<usize>) {
        let description = "two attempts in flight at once".to_string();
        self.record_violation(Rule::NoEffectTwice, now, Some(id), gateway, description);
    }

    /// A client has an answer, or the end of its connection.
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
            findings.push((Rule::OneAnswer, "a second final answer".into()));
        } else if observed.excused {
            return;
        }
        let deadline = observed.request.deadline;
        if now > deadline + self.slack {
            let late = now - deadline;
            let description = format!("answered {late:?} after the client timeout");
            findings.push((Rule::OneAnswer, description));
        }
        let route = &self.experiment.routes[observed.request.route];
        findings.extend(find_wrong_answer(observed, route, outcome));
        for (rule, description) in findings {
            self.record_violation(rule, now, Some(id), Some(gateway), description);
        }
    }

    /// The client timeout of a request is over, slack and all.
    pub(crate) fn on_deadline(&mut self, now: Duration, id: ClientRequestId) {
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let gateway = observed.request.gateway;
        let owed = observed.answered_at.is_none() && !observed.excused;
        // From here on only attempts that are still in flight can matter.
        observed.excused = true;
        observed.answered_at.get_or_insert(now);
        if owed {
            self.unanswered[gateway].remove(&id);
            let description = "no final answer by the client timeout".to_string();
            self.record_violation(Rule::OneAnswer, now, Some(id), Some(gateway), description);
        }
    }

    /// A server that was warming up was overloaded by gateways that knew of its start.
    pub(crate) fn on_server_overload(&mut self, now: Duration, server: ServerId) {
        let description = format!(
            "server {}, still warming up, was overloaded by all gateways together",
            server.0
        );
        self.record_violation(Rule::ColdServers, now, None, None, description);
    }

    /// The run is over: attempts that overlap still are judged.
    pub(crate) fn finish(&mut self, now: Duration) {
        for ((id, _), latest) in std::mem::take(&mut self.overlaps) {
            if now > latest {
                let observed = self.requests.get(&id);
                let gateway = observed.map(|observed| observed.request.gateway);
                self.record_overlap(now, id, gateway);
            }
        }
    }

    /// Requests whose client timeout ended before this moment are forgotten, so that a long run does not fill
    /// the memory.
    pub(crate) fn forget_before(&mut self, moment: Duration) {
        while let Some(entry) = self.requests.first_entry() {
            if entry.get().request.deadline >= moment {
                return;
            }
            entry.remove();
        }
    }
}

/// What is wrong with an answer itself.
fn find_wrong_answer(
    observed: &ObservedRequest,
    route: &RouteConfig,
    outcome: ClientOutcome,
) -> Option<Finding> {
    match outcome {
        ClientOutcome::Served { correct: false } => Some((
            Rule::OneAnswer,
            "served with what no server made for it".into(),
        )),
        ClientOutcome::Disconnected => Some((
            Rule::OneAnswer,
            "the connection ended with no answer".into(),
        )),
        ClientOutcome::Rejected if !is_safe_to_resend(observed, route) => Some((
            Rule::NoEffectTwice,
            "rejected as safe to send again though an attempt may have run".into(),
        )),
        _ => None,
    }
}

/// Whether the client may send its request again: what it sends is a new request, with the same idempotency
/// key.
fn is_safe_to_resend(observed: &ObservedRequest, route: &RouteConfig) -> bool {
    let may_have_run = observed.attempts.iter().any(ObservedAttempt::may_have_run);
    match route.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => !may_have_run || route.deduplication_scope == DeduplicationScope::All,
        Idempotency::NonIdempotent => !may_have_run,
    }
}

#[cfg(test)]
mod tests;
