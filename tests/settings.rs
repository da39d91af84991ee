//! Plays random days under settings that miss figures or have absurd ones, and holds the module to what must be true
//! under any: it does not fall over, each API call gets one final answer in time and nothing is sent for it afterwards,
//! never two tries are out, and what may have run is repeated or refused only as its route permits.

mod named_settings;

use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::*;
use wellcrank::settings::*;

#[derive(Clone)]
struct Open {
    route: RouteName,
    until: Duration,
    out: Option<AttemptNumber>,
    tries: u32,
    /// When and in which cell the first try that may have run was sent; the one that is out may as well.
    ran: Option<(Duration, u64)>,
    sent: (Duration, u64),
}

#[derive(Default)]
struct Seen {
    now: Duration,
    settings: Settings,
    wakes: Vec<(Duration, u64)>,
    counts: Vec<CounterName>,
    open: BTreeMap<RequestId, Open>,
    /// Tries whose end is to be told, and whether their API call is over.
    out: Vec<(RequestId, AttemptNumber)>,
    servers: BTreeMap<EndpointId, (bool, u64)>,
}

#[derive(Clone, Default)]
struct Referee(Rc<RefCell<Seen>>);

impl Seen {
    fn effect(&self, open: &Open) -> Idempotency {
        self.settings.route(&open.route).idempotency
    }

    /// The final answer.
    fn answered(&mut self, call: &RequestId, harmless: bool) {
        let open = self
            .open
            .remove(call)
            .expect("one answer, to an open API call");
        assert!(self.now <= open.until, "answered in time");
        let may_have_run = open.ran.is_some() || open.out.is_some();
        let all = self.settings.route(&open.route).deduplication_scope == DeduplicationScope::All;
        let permitted = match self.effect(&open) {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => !may_have_run || all,
            Idempotency::NonIdempotent => !may_have_run,
        };
        assert!(
            permitted || !harmless,
            "told that it is harmless to come again"
        );
    }
}

impl Port for Referee {
    fn send(
        &mut self,
        call: &RequestId,
        server: &EndpointId,
        timeout: Duration,
        whole_by: Duration,
    ) {
        let seen = &mut *self.0.borrow_mut();
        let now = seen.now;
        let open = seen
            .open
            .get(call)
            .expect("nothing is sent for an API call that is over")
            .clone();
        assert!(open.out.is_none(), "one try out at a time");
        let (ready, cell) = *seen.servers.get(server).expect("a server of the list");
        assert!(ready, "a server that drains gets nothing new");
        assert!(
            now + timeout <= open.until && whole_by > now,
            "there is time left"
        );
        let memory = seen.settings.route(&open.route).deduplication_window;
        if let Some((at, first)) = open.ran {
            let lapses = at + memory;
            match seen.effect(&open) {
                Idempotency::Idempotent => (),
                Idempotency::Keyed => {
                    assert!(
                        now < lapses && whole_by <= lapses,
                        "a repeat that is remembered"
                    );
                    let all = seen.settings.route(&open.route).deduplication_scope
                        == DeduplicationScope::All;
                    assert!(all || first == cell, "a repeat where it is remembered");
                }
                Idempotency::NonIdempotent => panic!("what must not run twice is sent again"),
            }
        }
        let open = seen.open.get_mut(call).expect("looked up above");
        open.out = Some(AttemptNumber(open.tries));
        (open.tries, open.sent) = (open.tries + 1, (now, cell));
        seen.out.push((call.clone(), open.out.expect("just set")));
    }
    fn cancel(&mut self, _: &RequestId, _: AttemptNumber) {
        assert!(self.0.borrow().settings.limits.may_cancel);
    }
    fn reject(&mut self, call: &RequestId, retry_after: Duration) {
        assert!(retry_after <= Duration::from_secs(30));
        self.0.borrow_mut().answered(call, true);
    }
    fn fail(&mut self, call: &RequestId) {
        self.0.borrow_mut().answered(call, false);
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, keep: Duration) {
        assert!(add.is_finite() && add != 0.0 && keep > Duration::ZERO);
        self.0.borrow_mut().counts.push(name);
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.0.borrow_mut().wakes.push((at, token.0));
    }
    fn subscribe(&mut self, _: bool) {}
    fn probe(&mut self, _: &EndpointId) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: &EndpointId) {}
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
}

const PLANS: [&str; 3] = ["basic", "once", "plans"];
const ROUTES: [&str; 4] = ["read", "rate_ns", "routes", "cap"];

/// A figure, or none at all: missing ones read as nothing.
fn figure(rng: &mut WyRand, usual: f64) -> Option<f64> {
    let odd = [0.0, 1e-12, 1e-3, 1e4, 1e18, 1e300, -1.0];
    match rng.generate_range(0..10u32) {
        0 => None,
        1 | 2 => Some(odd[rng.generate_range(0..odd.len())]),
        _ => Some(usual * (0.2 + 2.0 * rng.generate::<f64>())),
    }
}

fn settings(rng: &mut WyRand) -> Settings {
    let mut settings = Settings::default();
    let mut put = |rng: &mut WyRand, name: String, usual: f64| {
        if let Some(figure) = figure(rng, usual) {
            named_settings::set(&mut settings, &name, &figure.to_string());
        }
    };
    for (name, usual) in [
        ("gateways", 3.0),
        ("gateway_index", 1.0),
        ("timer_resolution", 0.004),
        ("limits.max_attempts", 3.0),
        ("limits.connect_timeout", 0.25),
        ("limits.idle_timeout", 30.0),
        ("counter.timeout", 0.08),
        ("counter.max_request_units", 4.0),
        ("rules.slow_start_floor", 0.2),
        ("rules.slow_start_window", 10.0),
        ("rules.overload_factor", 3.0),
        ("rules.overload_window", 1.0),
        ("rules.drain_grace", 0.5),
    ] {
        put(rng, name.to_string(), usual);
    }
    for plan in PLANS {
        for (name, usual) in [
            ("rate", 4.0),
            ("burst", 8.0),
            ("concurrency_limit", 3.0),
            ("price", 1.0),
            ("ceiling_rate", 9.0),
            ("ceiling_burst", 9.0),
        ] {
            put(rng, format!("plans.{plan}.{name}"), usual);
        }
    }
    for route in ROUTES {
        for (name, usual) in [
            ("latency_target", 0.5),
            ("late_value_ratio", 0.2),
            ("value", 2.0),
            ("deduplication_window", 0.6),
            ("client_timeout", 2.0),
        ] {
            put(rng, format!("routes.{route}.{name}"), usual);
        }
    }
    for route in ROUTES {
        let repeat =
            ["idempotent", "keyed", "non_idempotent", "other"][rng.generate_range(0..4usize)];
        let group = ["all", "cell", "zone", ""][rng.generate_range(0..4usize)];
        named_settings::set(
            &mut settings,
            &format!("routes.{route}.idempotency"),
            repeat,
        );
        named_settings::set(
            &mut settings,
            &format!("routes.{route}.deduplication_scope"),
            group,
        );
    }
    for flag in ["counter.present", "limits.may_cancel"] {
        let on = rng.generate_range(0..4u32) > 0;
        named_settings::set(&mut settings, flag, &on.to_string());
    }
    settings
}

struct Day {
    seen: Referee,
    control: AdmissionController,
    rng: WyRand,
    calls: u32,
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut rng = WyRand::new_seed(seed);
        let settings = settings(&mut rng);
        let (seen, start) = (Referee::default(), Duration::from_secs(1_700_000_000));
        (seen.0.borrow_mut().now, seen.0.borrow_mut().settings) = (start, settings.clone());
        let control =
            AdmissionController::new(Rc::new(settings), seed, start, Box::new(seen.clone()));
        Day {
            seen,
            control,
            rng,
            calls: 0,
        }
    }

    /// Moves the clock, waking the gateway on the way.
    fn go_on(&mut self, by: Duration) {
        let until = self.seen.0.borrow().now + by;
        loop {
            let next = {
                let wakes = &mut self.seen.0.borrow_mut().wakes;
                let due = wakes
                    .iter()
                    .enumerate()
                    .filter(|(_, wake)| wake.0 <= until)
                    .min_by_key(|(_, wake)| **wake);
                due.map(|(place, _)| place)
                    .map(|place| wakes.swap_remove(place))
            };
            let Some((at, token)) = next else { break };
            self.tell_time(at);
            self.control.on_timer(TimerToken(token));
        }
        self.tell_time(until);
    }

    fn tell_time(&mut self, at: Duration) {
        let now = self.seen.0.borrow().now.max(at);
        self.seen.0.borrow_mut().now = now;
        self.control.set_time(now);
    }

    fn list(&mut self) {
        let (whole, now) = (
            self.rng.generate_range(0..2u32) == 0,
            self.seen.0.borrow().now,
        );
        let mut lines = Vec::new();
        for number in 0..self.rng.generate_range(1..6u32) {
            let phase = [
                EndpointState::Ready,
                EndpointState::Ready,
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ][self.rng.generate_range(0..5usize)];
            let started = [
                None,
                Some(now),
                Some(now - Duration::from_secs(5)),
                Some(now + Duration::from_secs(9)),
            ];
            // Zones are as cells here, so that a route's group is either.
            let cell = self.rng.generate_range(0..3u64);
            lines.push(Endpoint {
                id: format!("s{number}").as_str().into(),
                state: phase,
                started_at: started[self.rng.generate_range(0..4usize)].map(UnixTime),
                cell,
                zone: cell.to_string(),
                machine_type: String::new(),
                weight: [0.0, 1.0, 1e300, -3.0][self.rng.generate_range(0..4usize)],
            });
        }
        {
            let servers = &mut self.seen.0.borrow_mut().servers;
            if whole {
                servers.clear();
            }
            for line in &lines {
                servers.insert(
                    line.id.clone(),
                    (line.state == EndpointState::Ready, line.cell),
                );
            }
        }
        let time = UpdateTiming {
            unix_now: UnixTime(now),
            since_last_update: None,
        };
        let update = if whole {
            EndpointUpdate::Snapshot(lines)
        } else {
            EndpointUpdate::Delta(lines)
        };
        self.control.on_endpoint_update(time, update);
    }

    fn call(&mut self) {
        self.calls += 1;
        let rng = &mut self.rng;
        let call: RequestId = self.calls.to_string().as_str().into();
        let route: RouteName = ROUTES[rng.generate_range(0..4usize)].into();
        let now = self.seen.0.borrow().now;
        let until = now + Duration::from_millis([1, 50, 600, 3000][rng.generate_range(0..4usize)]);
        let open = Open {
            route: route.clone(),
            until,
            out: None,
            tries: 0,
            ran: None,
            sent: (now, 0),
        };
        self.seen.0.borrow_mut().open.insert(call.clone(), open);
        let arrival = Request {
            id: call,
            customer: ["ann", "bob"][rng.generate_range(0..2usize)].into(),
            plan: PLANS[rng.generate_range(0..3usize)].into(),
            route,
            units: [1e-3, 1.0, 3.0, 1e6][rng.generate_range(0..4usize)],
            deadline: until,
            first_gateway: rng.generate_range(0..3u32),
            gateway_count: rng.generate_range(1..300u32),
        };
        self.control.on_request(arrival);
    }

    fn counted(&mut self) {
        let next = {
            let counts = &mut self.seen.0.borrow_mut().counts;
            (!counts.is_empty()).then(|| counts.remove(0))
        };
        let Some(name) = next else { return };
        let total =
            [0.0, 1.0, 3.0, 5.0, -1e9, 1e18, 1e308, f64::MIN][self.rng.generate_range(0..8usize)];
        let counted = match self.rng.generate_range(0..8u32) {
            0 => CounterReply::Applied,
            1 => CounterReply::NotApplied,
            2 => CounterReply::Unknown,
            _ => CounterReply::Total(total),
        };
        self.control.on_counter_reply(name, counted);
    }

    fn ended(&mut self) {
        let place = self
            .rng
            .generate_range(0..self.seen.0.borrow().out.len().max(1));
        if place >= self.seen.0.borrow().out.len() {
            return;
        }
        let (call, number) = self.seen.0.borrow_mut().out.swap_remove(place);
        use AttemptOutcome::*;
        let all = [
            Success,
            ServerError,
            Rejected,
            TimedOut,
            ConnectFailed,
            Reset,
            Cancelled,
            NotSent,
        ];
        let outcome = all[self.rng.generate_range(0..all.len())];
        let mut closed = true;
        if let Some(open) = self.seen.0.borrow_mut().open.get_mut(&call) {
            open.out = None;
            if !matches!(outcome, Rejected | ConnectFailed | NotSent) {
                open.ran.get_or_insert(open.sent);
            }
            closed = false;
        }
        if outcome == Success {
            self.seen.0.borrow_mut().open.remove(&call);
            closed = true;
        }
        let settled = [None, Some(1.0), Some(1e6)][self.rng.generate_range(0..3usize)];
        let latency = Duration::from_millis(self.rng.generate_range(0..900u64));
        let load = BTreeMap::new();
        self.control.on_attempt_end(
            &call,
            number,
            AttemptResult {
                outcome,
                latency,
                request_closed: closed,
                settled_units: settled,
                load,
            },
        );
    }

    fn gone(&mut self) {
        let call = {
            let open = &mut self.seen.0.borrow_mut().open;
            let place = self.rng.generate_range(0..open.len().max(1));
            let call = open.keys().nth(place).cloned();
            call.inspect(|call| drop(open.remove(call)))
        };
        if let Some(call) = call {
            self.control.on_client_disconnect(&call);
        }
    }
}

#[test]
fn what_must_be_true_is_true_under_any_settings() {
    for seed in 0..1500 {
        let mut day = Day::new(seed);
        day.list();
        for _ in 0..250 {
            match day.rng.generate_range(0..12u32) {
                0 => day.list(),
                1..=4 => day.call(),
                5..=7 => day.counted(),
                8 | 9 => day.ended(),
                10 => day.gone(),
                _ => {
                    let by = [1, 20, 400, 2000][day.rng.generate_range(0..4usize)];
                    day.go_on(Duration::from_millis(by));
                }
            }
        }
        day.go_on(Duration::from_secs(4));
        let open = &day.seen.0.borrow().open;
        assert!(
            open.is_empty(),
            "day {seed}: never answered: {:?}",
            open.keys().collect::<Vec<_>>()
        );
    }
}
