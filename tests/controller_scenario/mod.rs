//! Runs the steps of a scenario against a controller whose port is a recorder.

mod recorder;
mod step;

use crate::named_settings;
use crate::scenario_runner::Scenario;
use crate::step_arguments::StepError;
use recorder::{Action, Recorder};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use step::{ExpectedAction, RequestArguments, Step};
use wellcrank::control::AdmissionController;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, AttemptResult, CounterName, CounterReply, EndpointUpdate,
    Request, UnixTime, UpdateTiming,
};
use wellcrank::settings::Settings;

/// The seed of every controller under test.
const SEED: u64 = 7;
/// How far the clock moves at a time while a scenario waits for an action.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// A controller under test, its clock and what the scenario knows of it.
#[derive(Default)]
pub(crate) struct ControllerScenario {
    settings: Settings,
    recorder: Recorder,
    /// Started when the clock is set for the first time.
    controller: Option<AdmissionController>,
    now: Duration,
    /// When the latest attempt of each request was sent.
    sent_at: BTreeMap<String, Duration>,
    /// The counter names to which the labels of the scenario are bound.
    counter_names: BTreeMap<String, u64>,
}

impl Scenario for ControllerScenario {
    type Step = Step;
    type ParseError = StepError;

    fn new(_name: &str) -> Self {
        Self::default()
    }

    fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
        line.split(';').map(Step::parse).collect()
    }

    fn run_step(&mut self, step: &Step) {
        if let Step::Expect(expected) = step {
            return self.expect_action(expected);
        }
        self.recorder.assert_no_action();
        match step {
            Step::UseSettings { file } => self.use_settings(file),
            Step::SetSetting { name, value } => {
                named_settings::set(&mut self.settings, name, value);
            }
            Step::Reconfigure => {
                let settings = Rc::new(self.settings.clone());
                self.controller().reconfigure(settings);
            }
            Step::AdvanceTo(time) => self.advance_to(*time),
            Step::AdvanceUntilAction => self.advance_until_action(),
            Step::ExpectNoTimer => assert!(!self.recorder.has_due_timer(), "a timer is set"),
            Step::UpdateEndpoints(update) => self.update_endpoints(update.clone()),
            Step::Request(arguments) => self.request(arguments),
            Step::ReplyFromCounter { label, reply } => self.reply_from_counter(label, *reply),
            Step::EndAttempt {
                request,
                attempt,
                outcome,
                settled_units,
            } => self.end_attempt(request, *attempt, *outcome, *settled_units),
            Step::Disconnect { request } => {
                let request = request.as_str().into();
                self.controller().on_client_disconnect(&request);
            }
            Step::Expect(_) => unreachable!("handled above"),
        }
    }

    fn finish(&mut self) {
        self.recorder.assert_no_action();
    }
}

impl ControllerScenario {
    fn controller(&mut self) -> &mut AdmissionController {
        self.controller.as_mut().expect("'at' comes first")
    }

    /// Sets every setting of a file, one name and value a line.
    fn use_settings(&mut self, file: &str) {
        let path = format!("tests/scenarios/{file}.set");
        let text = std::fs::read_to_string(path).expect("a settings file");
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(' ').expect("a name and a value");
            named_settings::set(&mut self.settings, name, value.trim());
        }
    }

    /// Moves the clock, firing the timers on the way.
    fn advance_to(&mut self, time: Duration) {
        let settings = &self.settings;
        let recorder = &self.recorder;
        let controller = self.controller.get_or_insert_with(|| {
            let settings = Rc::new(settings.clone());
            AdmissionController::new(settings, SEED, time, Box::new(recorder.clone()))
        });
        while let Some((fires_at, token)) = recorder.take_due_timer(time) {
            controller.set_time(fires_at);
            controller.on_timer(token);
        }
        self.now = time;
        controller.set_time(time);
    }

    fn advance_until_action(&mut self) {
        while !self.recorder.has_action() {
            self.advance_to(self.now + WAIT_STEP);
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        // In the scenarios all clocks are one.
        let timing = UpdateTiming {
            unix_now: UnixTime(self.now),
            since_last_update: None,
        };
        self.controller().on_endpoint_update(timing, update);
    }

    fn request(&mut self, arguments: &RequestArguments) {
        let request = Request {
            id: arguments.request.as_str().into(),
            customer: arguments.customer.as_str().into(),
            plan: arguments.plan.as_str().into(),
            route: arguments.route.as_str().into(),
            units: arguments.units.unwrap_or(1.0),
            deadline: self.now + arguments.timeout,
            first_gateway: 0,
            gateway_count: 2,
        };
        self.controller().on_request(request);
    }

    /// Replies to the oldest open add on a number. Before it, what was taken off the number is replied to.
    fn reply_from_counter(&mut self, label: &str, reply: CounterReply) {
        let name = *self
            .counter_names
            .get(label)
            .unwrap_or_else(|| panic!("label {label} was not seen yet"));
        let name = CounterName(name);
        loop {
            let amount = self
                .recorder
                .take_unanswered_add(name)
                .expect("an add on this number without a reply");
            if amount >= 0.0 {
                break;
            }
            let total = CounterReply::Total(0.0);
            self.controller().on_counter_reply(name, total);
        }
        self.controller().on_counter_reply(name, reply);
    }

    fn end_attempt(
        &mut self,
        request: &str,
        attempt: u32,
        outcome: AttemptOutcome,
        settled_units: Option<f64>,
    ) {
        let sent_at = self.sent_at.get(request).copied().unwrap_or(self.now);
        let result = AttemptResult {
            outcome,
            latency: self.now - sent_at,
            request_closed: outcome == AttemptOutcome::Success,
            settled_units,
            load: BTreeMap::new(),
        };
        let request = request.into();
        self.controller()
            .on_attempt_end(&request, AttemptNumber(attempt), result);
    }

    /// Compares the controller's next action with the expected one.
    fn expect_action(&mut self, expected: &ExpectedAction) {
        let action = self.recorder.next_action().expect("nothing was done");
        if let Action::Send(attempt) = &action {
            self.sent_at.insert(attempt.request.clone(), self.now);
        }
        assert!(self.is_as_expected(&action, expected), "got: {action:?}");
    }

    fn is_as_expected(&mut self, action: &Action, expected: &ExpectedAction) -> bool {
        match (action, expected) {
            (Action::Send(attempt), ExpectedAction::Send(expected)) => expected.matches(attempt),
            (
                Action::Cancel { request, attempt },
                ExpectedAction::Cancel {
                    request: expected_request,
                    attempt: expected_attempt,
                },
            ) => request == expected_request && attempt == expected_attempt,
            (Action::Reject(rejection), ExpectedAction::Reject(expected)) => {
                expected.matches(rejection)
            }
            (Action::Fail { request }, ExpectedAction::Fail { request: expected }) => {
                request == expected
            }
            (
                Action::AddToCounter { name, amount },
                ExpectedAction::AddToCounter {
                    label,
                    amount: expected_amount,
                },
            ) => self.is_bound(label, *name) && expected_amount.matches(*amount),
            _ => false,
        }
    }

    /// Whether the label is bound to the counter name. A new label is bound to the name that it meets, unless another
    /// one is already.
    fn is_bound(&mut self, label: &str, name: u64) -> bool {
        let is_taken = self.counter_names.values().any(|bound| *bound == name);
        if !is_taken && !self.counter_names.contains_key(label) {
            self.counter_names.insert(label.to_string(), name);
        }
        self.counter_names.get(label) == Some(&name)
    }
}
