//! A run of a controller through random events.

mod rule_checker;
mod settings;

use nanorand::{Rng, WyRand};
use rule_checker::RuleChecker;
use settings::{random_settings, PLANS, ROUTES};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::{
    AttemptOutcome, AttemptResult, CounterReply, Endpoint, EndpointState, EndpointUpdate, Request,
    RequestId, RouteName, UnixTime, UpdateTiming,
};

/// The time at which a run starts, on the only clock of the run.
const START: Duration = Duration::from_secs(1_700_000_000);
/// The number of random events in a run.
const EVENT_COUNT: usize = 250;
/// How far the clock moves after the last event, so that all requests of the run pass their deadlines.
const FINAL_WAIT: Duration = Duration::from_secs(4);

/// The steps by which the clock moves, in milliseconds.
const CLOCK_STEPS_MS: [u64; 4] = [1, 20, 400, 2000];
/// The client timeouts, in milliseconds.
const CLIENT_TIMEOUTS_MS: [u64; 4] = [1, 50, 600, 3000];
const CUSTOMERS: [&str; 2] = ["ann", "bob"];
const UNITS: [f64; 4] = [1e-3, 1.0, 3.0, 1e6];
const SETTLED_UNITS: [Option<f64>; 3] = [None, Some(1.0), Some(1e6)];
const WEIGHTS: [f64; 4] = [0.0, 1.0, 1e300, -3.0];
const COUNTER_TOTALS: [f64; 8] = [0.0, 1.0, 3.0, 5.0, -1e9, 1e18, 1e308, f64::MIN];
/// Three of five are ready, so that most endpoints accept attempts.
const ENDPOINT_STATES: [EndpointState; 5] = [
    EndpointState::Ready,
    EndpointState::Ready,
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Removed,
];
const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::ServerError,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// Picks one of the values, all with the same probability.
fn pick<'a, T>(rng: &mut WyRand, values: &'a [T]) -> &'a T {
    &values[rng.generate_range(0..values.len())]
}

/// A controller under test, its port, which checks the rules, and the random generator of the events.
pub(crate) struct RandomRun {
    seed: u64,
    checker: RuleChecker,
    controller: AdmissionController,
    rng: WyRand,
    /// The number of requests so far; also the id of the latest.
    request_count: u32,
}

impl RandomRun {
    /// Creates the run whose settings and events are generated from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let settings = random_settings(&mut rng);
        let checker = RuleChecker::new(settings.clone(), START);
        let port = Box::new(checker.clone());
        let controller = AdmissionController::new(Rc::new(settings), seed, START, port);
        RandomRun {
            seed,
            checker,
            controller,
            rng,
            request_count: 0,
        }
    }

    /// Passes random events to the controller. Panics if a rule is broken or a request gets no final answer.
    pub(crate) fn run(mut self) {
        self.update_endpoints();
        for _ in 0..EVENT_COUNT {
            self.run_random_event();
        }
        self.advance(FINAL_WAIT);
        let seed = self.seed;
        let open = &self.checker.state().open_requests;
        let unanswered_requests: Vec<&RequestId> = open.keys().collect();
        assert!(
            unanswered_requests.is_empty(),
            "seed {seed}: requests without a final answer after the last deadline: {unanswered_requests:?}"
        );
    }

    fn run_random_event(&mut self) {
        match self.rng.generate_range(0..12u32) {
            0 => self.update_endpoints(),
            1..=4 => self.send_request(),
            5..=7 => self.reply_from_counter(),
            8 | 9 => self.end_attempt(),
            10 => self.disconnect_client(),
            _ => {
                let step = *pick(&mut self.rng, &CLOCK_STEPS_MS);
                self.advance(Duration::from_millis(step));
            }
        }
    }

    fn now(&self) -> Duration {
        self.checker.state().now
    }

    /// Moves the clock by `span` and fires the timers that become due, each at its time.
    fn advance(&mut self, span: Duration) {
        let end = self.now() + span;
        loop {
            let due = self.checker.state_mut().take_due_timer(end);
            let Some((fires_at, token)) = due else { break };
            self.set_time(fires_at);
            self.controller.on_timer(token);
        }
        self.set_time(end);
    }

    /// Sets the clock. It never goes back: a timer may have been set for a time that had passed already.
    fn set_time(&mut self, time: Duration) {
        let now = self.now().max(time);
        self.checker.state_mut().now = now;
        self.controller.set_time(now);
    }

    fn update_endpoints(&mut self) {
        let is_snapshot = self.rng.generate_range(0..2u32) == 0;
        let now = self.now();
        let count = self.rng.generate_range(1..6u32);
        let endpoints: Vec<Endpoint> = (0..count)
            .map(|number| random_endpoint(&mut self.rng, number, now))
            .collect();
        self.checker
            .state_mut()
            .update_endpoints(&endpoints, is_snapshot);
        let timing = UpdateTiming {
            unix_now: UnixTime(now),
            since_last_update: None,
        };
        let update = if is_snapshot {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        };
        self.controller.on_endpoint_update(timing, update);
    }

    fn send_request(&mut self) {
        self.request_count += 1;
        let rng = &mut self.rng;
        let id: RequestId = self.request_count.to_string().as_str().into();
        let route: RouteName = (*pick(rng, &ROUTES)).into();
        let timeout = Duration::from_millis(*pick(rng, &CLIENT_TIMEOUTS_MS));
        let deadline = self.checker.state().now + timeout;
        self.checker
            .state_mut()
            .open_request(id.clone(), route.clone(), deadline);
        let request = Request {
            id,
            customer: (*pick(rng, &CUSTOMERS)).into(),
            plan: (*pick(rng, &PLANS)).into(),
            route,
            units: *pick(rng, &UNITS),
            deadline,
            first_gateway: rng.generate_range(0..3u32),
            gateway_count: rng.generate_range(1..300u32),
        };
        self.controller.on_request(request);
    }

    /// Replies to the oldest unanswered call on the counter, if there is one.
    fn reply_from_counter(&mut self) {
        if self.checker.state().unanswered_counter_calls.is_empty() {
            return;
        }
        let name = self.checker.state_mut().unanswered_counter_calls.remove(0);
        let total = *pick(&mut self.rng, &COUNTER_TOTALS);
        let reply = match self.rng.generate_range(0..8u32) {
            0 => CounterReply::Applied,
            1 => CounterReply::NotApplied,
            2 => CounterReply::Unknown,
            _ => CounterReply::Total(total),
        };
        self.controller.on_counter_reply(name, reply);
    }

    /// Ends a random attempt in flight, if there is one.
    fn end_attempt(&mut self) {
        let count = self.checker.state().attempts_in_flight.len();
        let index = self.rng.generate_range(0..count.max(1));
        if count == 0 {
            return;
        }
        let (request, attempt) = self
            .checker
            .state_mut()
            .attempts_in_flight
            .swap_remove(index);
        let outcome = *pick(&mut self.rng, &OUTCOMES);
        let request_closed = self.checker.state_mut().end_attempt(&request, outcome);
        let result = AttemptResult {
            outcome,
            request_closed,
            settled_units: *pick(&mut self.rng, &SETTLED_UNITS),
            latency: Duration::from_millis(self.rng.generate_range(0..900u64)),
            load: BTreeMap::new(),
        };
        self.controller.on_attempt_end(&request, attempt, result);
    }

    /// Disconnects the client of a random open request, if there is one.
    fn disconnect_client(&mut self) {
        let count = self.checker.state().open_requests.len();
        let index = self.rng.generate_range(0..count.max(1));
        let request = self
            .checker
            .state()
            .open_requests
            .keys()
            .nth(index)
            .cloned();
        if let Some(request) = request {
            self.checker.state_mut().open_requests.remove(&request);
            self.controller.on_client_disconnect(&request);
        }
    }
}

fn random_endpoint(rng: &mut WyRand, number: u32, now: Duration) -> Endpoint {
    let start_times = [
        None,
        Some(now),
        Some(now - Duration::from_secs(5)),
        Some(now + Duration::from_secs(9)),
    ];
    let state = *pick(rng, &ENDPOINT_STATES);
    let cell = rng.generate_range(0..3u64);
    Endpoint {
        id: format!("s{number}").as_str().into(),
        state,
        started_at: pick(rng, &start_times).map(UnixTime),
        cell,
        // Each cell is a zone of its own, so that the rule checker need not distinguish the two deduplication scopes.
        zone: cell.to_string(),
        machine_type: String::new(),
        weight: *pick(rng, &WEIGHTS),
    }
}
