//! The port of a controller under test. It records the controller's actions, to be compared with those that a scenario
//! expects.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken, QUEUE_TIMER,
};

/// An action that the controller has requested from its adapter.
#[derive(Debug)]
pub(crate) enum Action {
    /// Start an attempt.
    Send(SentAttempt),
    /// Cancel an attempt.
    Cancel { request: String, attempt: u32 },
    /// Reject a request, which the client may safely retry.
    Reject(Rejection),
    /// Fail a request.
    Fail { request: String },
    /// Add an amount to a value on the shared counter.
    AddToCounter { name: u64, amount: f64 },
    /// Start or end the subscription to endpoint updates. No scenario expects this action.
    #[allow(
        dead_code,
        reason = "the field is printed when the action fails a scenario"
    )]
    Subscribe { active: bool },
}

/// An attempt that the controller has started.
#[derive(Debug)]
pub(crate) struct SentAttempt {
    /// The request's id.
    pub(crate) request: String,
    /// The endpoint's id.
    pub(crate) endpoint: String,
    /// The time by which the command must be sent completely, or `None` without a limit.
    pub(crate) send_by: Option<Duration>,
}

/// The answer to a client that it may safely retry its request.
#[derive(Debug)]
pub(crate) struct Rejection {
    /// The request's id.
    pub(crate) request: String,
    /// The time after which the client may retry.
    pub(crate) retry_after: Duration,
}

/// The recorded actions and timers that have not been consumed yet.
#[derive(Default)]
struct Recording {
    actions: VecDeque<Action>,
    /// The time at which each timer fires, and its token.
    timers: Vec<(Duration, u64)>,
    /// The amounts added to each counter name without a reply so far, the oldest first.
    unanswered_adds: BTreeMap<u64, VecDeque<f64>>,
}

/// Records the controller's actions. Clones share one recording, because the controller owns its port.
#[derive(Clone, Default)]
pub(crate) struct Recorder(Rc<RefCell<Recording>>);

impl Recorder {
    /// Removes and returns the oldest recorded action.
    pub(crate) fn next_action(&self) -> Option<Action> {
        self.0.borrow_mut().actions.pop_front()
    }

    /// Returns whether there is an action that has not been consumed yet.
    pub(crate) fn has_action(&self) -> bool {
        !self.0.borrow().actions.is_empty()
    }

    /// Panics if there is an action that has not been consumed yet.
    pub(crate) fn assert_no_action(&self) {
        let actions = &self.0.borrow().actions;
        assert!(
            actions.is_empty(),
            "expected no further action, got {actions:?}"
        );
    }

    /// Removes and returns the timer that fires first, if that is by the given time.
    pub(crate) fn take_due_timer(&self, now: Duration) -> Option<(Duration, TimerToken)> {
        let timers = &mut self.0.borrow_mut().timers;
        let first = timers
            .iter()
            .filter(|timer| timer.0 <= now)
            .min()
            .copied()?;
        timers.retain(|timer| *timer != first);
        Some((first.0, TimerToken(first.1)))
    }

    /// Returns whether a timer other than the periodic one is set.
    pub(crate) fn has_queue_timer(&self) -> bool {
        let timers = &self.0.borrow().timers;
        timers.iter().any(|timer| timer.1 == QUEUE_TIMER.0)
    }

    /// Removes and returns the oldest amount that was added to a counter name and has no reply yet.
    pub(crate) fn take_unanswered_add(&self, name: CounterName) -> Option<f64> {
        let adds = &mut self.0.borrow_mut().unanswered_adds;
        adds.get_mut(&name.0)?.pop_front()
    }

    fn record(&self, action: Action) {
        self.0.borrow_mut().actions.push_back(action);
    }
}

impl Port for Recorder {
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        _timeout: Duration,
        send_by: Duration,
    ) {
        self.record(Action::Send(SentAttempt {
            request: request.0.to_string(),
            endpoint: endpoint.0.to_string(),
            send_by: Some(send_by).filter(|send_by| *send_by != Duration::MAX),
        }));
    }

    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        self.record(Action::Cancel {
            request: request.0.to_string(),
            attempt: attempt.0,
        });
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        self.record(Action::Reject(Rejection {
            request: request.0.to_string(),
            retry_after,
        }));
    }

    fn fail(&mut self, request: &RequestId) {
        self.record(Action::Fail {
            request: request.0.to_string(),
        });
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, _ttl: Duration) {
        self.record(Action::AddToCounter {
            name: name.0,
            amount,
        });
        let adds = &mut self.0.borrow_mut().unanswered_adds;
        adds.entry(name.0).or_default().push_back(amount);
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.0.borrow_mut().timers.push((at, token.0));
    }

    fn subscribe(&mut self, active: bool) {
        self.record(Action::Subscribe { active });
    }

    fn probe(&mut self, _: &EndpointId) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: &EndpointId) {}
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
}
