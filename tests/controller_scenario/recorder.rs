//! The port of a controller under test: records what the controller does, to be compared with what a scenario expects.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken, QUEUE_TIMER,
};

/// One thing that the controller has asked of its adapter.
#[derive(Debug)]
pub(crate) enum Action {
    /// To begin an attempt.
    Send(SentAttempt),
    /// To give an attempt up.
    Cancel { request: String, attempt: u32 },
    /// To answer that it is harmless to ask again.
    Reject(Rejection),
    /// To answer that the request has failed.
    Fail { request: String },
    /// To add to a number on the shared counter.
    AddToCounter { name: u64, amount: f64 },
    /// To begin or end the subscription to endpoint updates. No scenario expects it.
    #[allow(
        dead_code,
        reason = "its field is printed where the action is not expected"
    )]
    Subscribe { active: bool },
}

/// An attempt that the controller began.
#[derive(Debug)]
pub(crate) struct SentAttempt {
    /// Of which request.
    pub(crate) request: String,
    /// To which endpoint.
    pub(crate) endpoint: String,
    /// By when the command must have gone out whole, if it must.
    pub(crate) send_by: Option<Duration>,
}

/// The answer to a client that it is harmless to ask again.
#[derive(Debug)]
pub(crate) struct Rejection {
    /// Which request is rejected.
    pub(crate) request: String,
    /// After how long the client may ask again.
    pub(crate) retry_after: Duration,
}

/// What has been recorded and not been consumed yet.
#[derive(Default)]
struct Recording {
    actions: VecDeque<Action>,
    /// When each timer fires, and its token.
    timers: Vec<(Duration, u64)>,
    /// The amounts added to each number on the counter for which no reply has come, oldest first.
    unanswered_adds: BTreeMap<u64, VecDeque<f64>>,
}

/// Records the controller's actions. Clones share one recording, as the controller owns its port.
#[derive(Clone, Default)]
pub(crate) struct Recorder(Rc<RefCell<Recording>>);

impl Recorder {
    /// The oldest action that has not been consumed yet.
    pub(crate) fn next_action(&self) -> Option<Action> {
        self.0.borrow_mut().actions.pop_front()
    }

    /// Whether an action has been recorded that has not been consumed yet.
    pub(crate) fn has_action(&self) -> bool {
        !self.0.borrow().actions.is_empty()
    }

    /// Panics where an action has been recorded that has not been consumed yet.
    pub(crate) fn assert_no_action(&self) {
        let actions = &self.0.borrow().actions;
        assert!(actions.is_empty(), "not expected: {actions:?}");
    }

    /// Takes the timer that fires first, if it does so by the given time.
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

    /// Whether a timer other than the periodic one is set.
    pub(crate) fn has_due_timer(&self) -> bool {
        let timers = &self.0.borrow().timers;
        timers.iter().any(|timer| timer.1 == QUEUE_TIMER.0)
    }

    /// Takes the oldest amount that was added to a number on the counter and has no reply yet.
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
