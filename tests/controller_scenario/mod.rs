//! Runs the steps of a scenario against a controller and compares its actions with the expected ones.

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
/// The step by which the clock advances while a scenario waits for an action.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// A controller under test, its clock and its recorded actions.
#[derive(Default)]
pub(crate) struct ControllerScenario {
    settings: Settings,
    recorder: Recorder,
    /// Created when the clock is set for the first time.
    controller: Option<AdmissionController>,
    now: Duration,
    /// The time at which the latest attempt of each request was sent.
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
            Step::ExpectNoTimer => assert!(
                !self.recorder.has_queue_timer(),
                "expected no timer but the periodic one"
            ),
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
        self.controller
            .as_mut()
            .expect("expected a step `at` before this one")
    }

    /// Applies the settings of a file, which has one name and value per line.
    fn use_settings(&mut self, file: &str) {
        let path = format!("tests/scenarios/{file}.set");
        let text = std::fs::read_to_string(path).expect("expected a readable settings file");
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(' ').expect("expected a name and a value");
            named_settings::set(&mut self.settings, name, value.trim());
        }
    }

    /// Advances the clock to `time` and fires the timers that are due by then. Creates the controller at the first call.
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
        // The scenarios use one clock for all purposes.
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

    /// Replies to the oldest unanswered addition to a value on the counter. Subtractions before it are answered with a total
    /// of 0 first.
    fn reply_from_counter(&mut self, label: &str, reply: CounterReply) {
        let name = *self
            .counter_names
            .get(label)
            .unwrap_or_else(|| panic!("expected an earlier `> add {label}`, found none"));
        let name = CounterName(name);
        loop {
            let amount = self.recorder.take_unanswered_add(name).unwrap_or_else(|| {
                panic!("expected an unanswered addition to {label}, found none")
            });
            if amount >= 0.0 {
                break;
            }
            self.controller()
                .on_counter_reply(name, CounterReply::Total(0.0));
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
        let action = self
            .recorder
            .next_action()
            .unwrap_or_else(|| panic!("expected {expected:?}, but the controller did nothing"));
        if let Action::Send(attempt) = &action {
            self.sent_at.insert(attempt.request.clone(), self.now);
        }
        assert!(
            self.is_as_expected(&action, expected),
            "expected {expected:?}, got {action:?}"
        );
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
            ) => self.label_matches(label, *name) && expected_amount.matches(*amount),
            _ => false,
        }
    }

    /// Returns whether the label is bound to the counter name. A new label is bound to the name first, unless another
    /// label is bound to it already.
    fn label_matches(&mut self, label: &str, name: u64) -> bool {
        let has_label = self.counter_names.values().any(|bound| *bound == name);
        if !has_label && !self.counter_names.contains_key(label) {
            self.counter_names.insert(label.to_string(), name);
        }
        self.counter_names.get(label) == Some(&name)
    }
}
