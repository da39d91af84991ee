//! The port of a controller under test: checks with each action that the rules are kept.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, CounterName, Endpoint, EndpointId, EndpointState, Port,
    RequestId, RouteName, TimerToken,
};
use wellcrank::settings::{DeduplicationScope, Idempotency, Settings};

/// The longest span after which a client is told to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// When an attempt was sent, and to an endpoint of which cell.
#[derive(Clone, Copy)]
struct SentAttempt {
    sent_at: Duration,
    cell: u64,
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    route: RouteName,
    deadline: Duration,
    /// The attempt that is out.
    attempt_out: Option<AttemptNumber>,
    /// How many attempts there have been.
    attempts: u32,
    /// The first attempt that may have run, not counting the one that is out.
    first_run: Option<SentAttempt>,
    latest: SentAttempt,
}

/// What the rules have to be checked against.
#[derive(Default)]
pub(super) struct RunState {
    pub(super) now: Duration,
    settings: Settings,
    /// When each timer fires, and its token.
    timers: Vec<(Duration, u64)>,
    /// The adds without a reply, oldest first.
    pub(super) unanswered_adds: Vec<CounterName>,
    pub(super) open_requests: BTreeMap<RequestId, OpenRequest>,
    /// The attempts whose end has not been reported, also of requests that have their final answer.
    pub(super) attempts_out: Vec<(RequestId, AttemptNumber)>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
}

/// What discovery said last of an endpoint.
#[derive(Clone, Copy)]
struct KnownEndpoint {
    is_ready: bool,
    cell: u64,
}

impl RunState {
    /// A request that comes in now.
    pub(super) fn open_request(&mut self, id: RequestId, route: RouteName, deadline: Duration) {
        let request = OpenRequest {
            route,
            deadline,
            attempt_out: None,
            attempts: 0,
            first_run: None,
            latest: SentAttempt {
                sent_at: self.now,
                cell: 0,
            },
        };
        self.open_requests.insert(id, request);
    }

    /// Takes an update of the endpoint list; with `is_snapshot`, what it does not name is gone.
    pub(super) fn update_endpoints(&mut self, endpoints: &[Endpoint], is_snapshot: bool) {
        if is_snapshot {
            self.endpoints.clear();
        }
        for endpoint in endpoints {
            let known = KnownEndpoint {
                is_ready: endpoint.state == EndpointState::Ready,
                cell: endpoint.cell,
            };
            self.endpoints.insert(endpoint.id.clone(), known);
        }
    }

    /// Takes the end of an attempt; says whether its request has its final answer.
    pub(super) fn end_attempt(&mut self, request: &RequestId, outcome: AttemptOutcome) -> bool {
        if outcome == AttemptOutcome::Success {
            self.open_requests.remove(request);
            return true;
        }
        let Some(open) = self.open_requests.get_mut(request) else {
            return true;
        };
        open.attempt_out = None;
        let can_not_have_run = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if !can_not_have_run {
            open.first_run.get_or_insert(open.latest);
        }
        false
    }

    /// Takes the timer that fires first, if it does so by the given time.
    pub(super) fn take_due_timer(&mut self, now: Duration) -> Option<(Duration, TimerToken)> {
        let due = self.timers.iter().enumerate();
        let (index, _) = due
            .filter(|(_, timer)| timer.0 <= now)
            .min_by_key(|(_, timer)| **timer)?;
        let (fires_at, token) = self.timers.swap_remove(index);
        Some((fires_at, TimerToken(token)))
    }

    fn check_send(
        &self,
        open: &OpenRequest,
        endpoint: KnownEndpoint,
        timeout: Duration,
        send_by: Duration,
    ) {
        assert!(open.attempt_out.is_none(), "one attempt out at a time");
        assert!(
            endpoint.is_ready,
            "an endpoint that drains gets nothing new"
        );
        assert!(
            self.now + timeout <= open.deadline && send_by > self.now,
            "there is time left"
        );
        if let Some(first_run) = open.first_run {
            self.check_repeat(&open.route, first_run, endpoint, send_by);
        }
    }

    /// Checks a send of a request that may have run before.
    fn check_repeat(
        &self,
        route: &RouteName,
        first_run: SentAttempt,
        endpoint: KnownEndpoint,
        send_by: Duration,
    ) {
        let route = self.settings.route(route);
        match route.idempotency {
            Idempotency::Idempotent => (),
            Idempotency::Keyed => {
                let forgotten_at = first_run.sent_at + route.deduplication_window;
                assert!(
                    self.now < forgotten_at && send_by <= forgotten_at,
                    "a repeat while the key is remembered"
                );
                let is_known_everywhere = route.deduplication_scope == DeduplicationScope::All;
                assert!(
                    is_known_everywhere || first_run.cell == endpoint.cell,
                    "a repeat where the key is remembered"
                );
            }
            Idempotency::NonIdempotent => panic!("what must not run twice is sent again"),
        }
    }

    fn record_send(&mut self, request: &RequestId, endpoint: KnownEndpoint) {
        let sent_at = self.now;
        let open = self.open_requests.get_mut(request).expect("checked before");
        let attempt = AttemptNumber(open.attempts);
        open.attempt_out = Some(attempt);
        open.attempts += 1;
        open.latest = SentAttempt {
            sent_at,
            cell: endpoint.cell,
        };
        self.attempts_out.push((request.clone(), attempt));
    }

    /// Takes a final answer. A rejection promises that it is harmless to ask again.
    fn close_request(&mut self, request: &RequestId, is_rejection: bool) {
        let open = self
            .open_requests
            .remove(request)
            .expect("one final answer, to an open request");
        assert!(self.now <= open.deadline, "answered in time");
        let may_have_run = open.first_run.is_some() || open.attempt_out.is_some();
        let route = self.settings.route(&open.route);
        let is_harmless = match route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                !may_have_run || route.deduplication_scope == DeduplicationScope::All
            }
            Idempotency::NonIdempotent => !may_have_run,
        };
        assert!(
            is_harmless || !is_rejection,
            "rejected though it may have run"
        );
    }
}

/// Checks the controller's actions. Clones share one state, as the controller owns its port.
#[derive(Clone)]
pub(super) struct RuleChecker(Rc<RefCell<RunState>>);

impl RuleChecker {
    /// A checker of a run under these settings that begins now.
    pub(super) fn new(settings: Settings, now: Duration) -> Self {
        let state = RunState {
            now,
            settings,
            ..RunState::default()
        };
        RuleChecker(Rc::new(RefCell::new(state)))
    }

    /// The state, to look at.
    pub(super) fn state(&self) -> Ref<'_, RunState> {
        self.0.borrow()
    }

    /// The state, to change.
    pub(super) fn state_mut(&self) -> RefMut<'_, RunState> {
        self.0.borrow_mut()
    }
}

impl Port for RuleChecker {
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        send_by: Duration,
    ) {
        let mut state = self.state_mut();
        let open = state
            .open_requests
            .get(request)
            .expect("nothing is sent for a request that has its final answer");
        let endpoint = *state
            .endpoints
            .get(endpoint)
            .expect("an endpoint of the list");
        state.check_send(open, endpoint, timeout, send_by);
        state.record_send(request, endpoint);
    }

    fn cancel(&mut self, _: &RequestId, _: AttemptNumber) {
        assert!(self.state().settings.limits.may_cancel);
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        assert!(retry_after <= MAX_RETRY_AFTER);
        self.state_mut().close_request(request, true);
    }

    fn fail(&mut self, request: &RequestId) {
        self.state_mut().close_request(request, false);
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        assert!(amount.is_finite() && amount != 0.0 && ttl > Duration::ZERO);
        self.state_mut().unanswered_adds.push(name);
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.state_mut().timers.push((at, token.0));
    }

    fn subscribe(&mut self, _: bool) {}
    fn probe(&mut self, _: &EndpointId) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: &EndpointId) {}
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
}
