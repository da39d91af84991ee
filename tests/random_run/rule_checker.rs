//! The port of the controller under test. It checks each action of the controller against the rules.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, CounterName, Endpoint, EndpointId, EndpointState, Port,
    RequestId, RouteName, TimerToken,
};
use wellcrank::settings::{DeduplicationScope, Idempotency, Settings};

/// The longest delay after which a client may be told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// When an attempt was sent, and the cell of its endpoint.
#[derive(Clone, Copy)]
struct SentAttempt {
    sent_at: Duration,
    cell: u64,
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    route: RouteName,
    deadline: Duration,
    /// The attempt in flight.
    in_flight: Option<AttemptNumber>,
    /// The number of attempts that were sent.
    attempts: u32,
    /// The first attempt that may have run, not counting the attempt in flight.
    first_execution: Option<SentAttempt>,
    /// The latest attempt. Before the first one is sent it has no meaning.
    latest: SentAttempt,
}

/// The state of the run against which the rules are checked.
#[derive(Default)]
pub(super) struct RunState {
    pub(super) now: Duration,
    settings: Settings,
    /// The pending timers: when each fires, and its token.
    timers: Vec<(Duration, u64)>,
    /// The names of the counter calls without a reply, oldest first.
    pub(super) unanswered_counter_calls: Vec<CounterName>,
    pub(super) open_requests: BTreeMap<RequestId, OpenRequest>,
    /// The attempts whose end has not been reported, including those of requests that have their final answer.
    pub(super) attempts_in_flight: Vec<(RequestId, AttemptNumber)>,
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
}

/// The latest state of an endpoint in the updates from discovery.
#[derive(Clone, Copy)]
struct ListedEndpoint {
    is_ready: bool,
    cell: u64,
}

impl RunState {
    /// Adds a request that is received now.
    pub(super) fn open_request(&mut self, id: RequestId, route: RouteName, deadline: Duration) {
        let request = OpenRequest {
            route,
            deadline,
            in_flight: None,
            attempts: 0,
            first_execution: None,
            latest: SentAttempt {
                sent_at: self.now,
                cell: 0,
            },
        };
        self.open_requests.insert(id, request);
    }

    /// Applies an update of the endpoint list. A snapshot removes the endpoints that it does not contain.
    pub(super) fn update_endpoints(&mut self, endpoints: &[Endpoint], is_snapshot: bool) {
        if is_snapshot {
            self.endpoints.clear();
        }
        for endpoint in endpoints {
            let known = ListedEndpoint {
                is_ready: endpoint.state == EndpointState::Ready,
                cell: endpoint.cell,
            };
            self.endpoints.insert(endpoint.id.clone(), known);
        }
    }

    /// Records the end of an attempt. Returns whether its request is closed.
    pub(super) fn end_attempt(&mut self, request: &RequestId, outcome: AttemptOutcome) -> bool {
        if outcome == AttemptOutcome::Success {
            self.open_requests.remove(request);
            return true;
        }
        let Some(open) = self.open_requests.get_mut(request) else {
            return true;
        };
        open.in_flight = None;
        let did_not_run = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if !did_not_run {
            open.first_execution.get_or_insert(open.latest);
        }
        false
    }

    /// Removes and returns the timer that fires first, if it is due by `now`.
    pub(super) fn take_due_timer(&mut self, now: Duration) -> Option<(Duration, TimerToken)> {
        let timers = self.timers.iter().enumerate();
        let (index, _) = timers
            .filter(|(_, timer)| timer.0 <= now)
            .min_by_key(|(_, timer)| **timer)?;
        let (fires_at, token) = self.timers.swap_remove(index);
        Some((fires_at, TimerToken(token)))
    }

    /// Checks that an attempt may be sent to this endpoint now.
    fn check_send(
        &self,
        open: &OpenRequest,
        endpoint: ListedEndpoint,
        timeout: Duration,
        send_by: Duration,
    ) {
        assert!(
            open.in_flight.is_none(),
            "a second attempt was sent while {:?} was in flight",
            open.in_flight
        );
        assert!(
            endpoint.is_ready,
            "an attempt was sent to an endpoint that is draining or removed"
        );
        assert!(
            self.now + timeout <= open.deadline && send_by > self.now,
            "an attempt was sent at {:?} with timeout {timeout:?} and send_by {send_by:?}, but the deadline is {:?}",
            self.now,
            open.deadline
        );
        if let Some(first_execution) = open.first_execution {
            self.check_repeat(&open.route, first_execution, endpoint, send_by);
        }
    }

    /// Checks an attempt of a request that may have run before.
    fn check_repeat(
        &self,
        route: &RouteName,
        first_execution: SentAttempt,
        endpoint: ListedEndpoint,
        send_by: Duration,
    ) {
        let route = self.settings.route(route);
        match route.idempotency {
            Idempotency::Idempotent => (),
            Idempotency::Keyed => {
                let window_end = first_execution.sent_at + route.deduplication_window;
                assert!(
                    self.now < window_end && send_by <= window_end,
                    "a repeat was sent at {:?} with send_by {send_by:?}, but the deduplication window ends at {window_end:?}",
                    self.now
                );
                let all_endpoints_recognise_key =
                    route.deduplication_scope == DeduplicationScope::All;
                assert!(
                    all_endpoints_recognise_key || first_execution.cell == endpoint.cell,
                    "a repeat was sent to cell {}, but the deduplication key is known in cell {}",
                    endpoint.cell,
                    first_execution.cell
                );
            }
            Idempotency::NonIdempotent => {
                panic!("a non-idempotent request that may have run was sent again")
            }
        }
    }

    /// Records that an attempt was sent to this endpoint.
    fn record_send(&mut self, request: &RequestId, endpoint: ListedEndpoint) {
        let sent_at = self.now;
        let open = self
            .open_requests
            .get_mut(request)
            .expect("checked in `send`");
        let attempt = AttemptNumber(open.attempts);
        open.in_flight = Some(attempt);
        open.attempts += 1;
        open.latest = SentAttempt {
            sent_at,
            cell: endpoint.cell,
        };
        self.attempts_in_flight.push((request.clone(), attempt));
    }

    /// Records a final answer and checks that it is the only one and not late. A rejection tells the client that a
    /// retry is safe, so a request that may have run may be rejected only if its route makes a repeat harmless.
    fn close_request(&mut self, request: &RequestId, is_rejection: bool) {
        let open = self
            .open_requests
            .remove(request)
            .expect("a final answer must be to an open request");
        assert!(
            self.now <= open.deadline,
            "the final answer came at {:?}, after the deadline {:?}",
            self.now,
            open.deadline
        );
        let may_have_run = open.first_execution.is_some() || open.in_flight.is_some();
        let route = self.settings.route(&open.route);
        let is_retry_safe = match route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                !may_have_run || route.deduplication_scope == DeduplicationScope::All
            }
            Idempotency::NonIdempotent => !may_have_run,
        };
        assert!(
            is_retry_safe || !is_rejection,
            "a request that may have run was rejected, but its route does not make a retry safe"
        );
    }
}

/// Checks the controller's actions. All clones share one state, because the controller owns its port.
#[derive(Clone)]
pub(super) struct RuleChecker(Rc<RefCell<RunState>>);

impl RuleChecker {
    /// Creates the checker of a run that starts at `now` with these settings.
    pub(super) fn new(settings: Settings, now: Duration) -> Self {
        let state = RunState {
            now,
            settings,
            ..RunState::default()
        };
        RuleChecker(Rc::new(RefCell::new(state)))
    }

    /// Borrows the state for reading.
    pub(super) fn state(&self) -> Ref<'_, RunState> {
        self.0.borrow()
    }

    /// Borrows the state for changes.
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
            .expect("an attempt must be for a request without a final answer");
        let endpoint = *state
            .endpoints
            .get(endpoint)
            .expect("an attempt must be to a listed endpoint");
        state.check_send(open, endpoint, timeout, send_by);
        state.record_send(request, endpoint);
    }

    fn cancel(&mut self, _: &RequestId, _: AttemptNumber) {
        assert!(
            self.state().settings.limits.may_cancel,
            "an attempt was cancelled, but the settings do not permit that"
        );
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        assert!(
            retry_after <= MAX_RETRY_AFTER,
            "a client was told to retry after {retry_after:?}, more than {MAX_RETRY_AFTER:?}"
        );
        self.state_mut().close_request(request, true);
    }

    fn fail(&mut self, request: &RequestId) {
        self.state_mut().close_request(request, false);
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        assert!(
            amount.is_finite() && amount != 0.0 && ttl > Duration::ZERO,
            "added {amount} to the counter for {ttl:?}; expected a finite amount other than 0 and a duration above 0"
        );
        self.state_mut().unanswered_counter_calls.push(name);
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
