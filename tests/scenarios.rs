//! Plays every scenario in `tests/scenarios`. A scenario is a text file of steps, one a line or parted by ';':
//!
//! ```text
//! use common                      settings from common.set, one "name value" a line
//! set plans.p.cap 2               one more setting
//! reconfigure                     the settings as they are by now hold from here on
//! at 0.5                          moves the clock, waking the gateway on the way; starts it the first time
//! list a b/7 c@0.4 d! e~k          the server list: a server, one of cell 7, one started at 0.4, one draining, one of
//!                                 machine kind k
//! change d-                       a change: d is gone
//! call r1 ann p get 2.5 [units]   an API call: id, customer, plan, route, client timeout in seconds
//! total H 1 | refused H | lost H  the counter answers the oldest open add on the name labelled H; before it
//!                                 what was given back there is answered too; 'unread H' tells no total
//! wait                            moves the clock in steps of 10 ms until something is done
//! end r1 0 proxied [units]        an upstream try ends: proxied error full silence unreachable reset unsent
//! gone r1                         the client has left
//! asleep                          nothing but the periodic timer is set
//! > count H +1                    expected, in order and complete: count, send, limit, error, cancel; 'send r1 a by 2'
//!                                 where the command must have gone out whole by then
//! ```
//!
//! A label is bound to a counter name where it is first seen; `send r1 *` takes any server.

mod named_settings;
mod scenario_runner;

use scenario_runner::Scenario;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::*;
use wellcrank::settings::Settings;

#[derive(Default)]
struct Seen {
    actions: Vec<String>,
    wakes: Vec<(Duration, u64)>,
    /// Amounts added to a name and not answered yet.
    asked: BTreeMap<u64, VecDeque<f64>>,
}

#[derive(Clone, Default)]
struct Recorder(Rc<RefCell<Seen>>);

impl Recorder {
    fn note(&self, text: String) {
        self.0.borrow_mut().actions.push(text);
    }
}

impl Port for Recorder {
    fn send(&mut self, call: &RequestId, server: &EndpointId, _: Duration, whole_by: Duration) {
        let by = match whole_by {
            Duration::MAX => String::new(),
            by => format!(" by {}", by.as_secs_f64()),
        };
        self.note(format!("send {} {}{by}", call.0, server.0));
    }
    fn cancel(&mut self, call: &RequestId, number: AttemptNumber) {
        self.note(format!("cancel {} {}", call.0, number.0));
    }
    fn reject(&mut self, call: &RequestId, retry_after: Duration) {
        self.note(format!("limit {} {}", call.0, retry_after.as_secs_f64()));
    }
    fn fail(&mut self, call: &RequestId) {
        self.note(format!("error {}", call.0));
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, _: Duration) {
        self.note(format!("count {} {add:+}", name.0));
        self.0
            .borrow_mut()
            .asked
            .entry(name.0)
            .or_default()
            .push_back(add);
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.0.borrow_mut().wakes.push((at, token.0));
    }
    fn subscribe(&mut self, on: bool) {
        self.note(format!("subscribe {on}"));
    }
    fn probe(&mut self, _: &EndpointId) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: &EndpointId) {}
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
}

#[derive(Default)]
struct Stage {
    settings: Settings,
    seen: Recorder,
    control: Option<AdmissionController>,
    now: Duration,
    sent: BTreeMap<String, Duration>,
    labels: BTreeMap<String, u64>,
}

fn number(word: &str) -> f64 {
    word.parse()
        .unwrap_or_else(|_| panic!("'{word}' is no number"))
}

fn server(word: &str) -> Endpoint {
    let name = word.trim_end_matches(['!', '-']);
    let (name, since) = name
        .split_once('@')
        .map_or((name, None), |(name, at)| (name, Some(number(at))));
    let (name, kind) = name.split_once('~').unwrap_or((name, ""));
    let (name, cell) = name.split_once('/').unwrap_or((name, "0"));
    let phase = match word.chars().last() {
        Some('!') => EndpointState::Draining,
        Some('-') => EndpointState::Removed,
        _ => EndpointState::Ready,
    };
    let started = since.map(|since| UnixTime(Duration::from_secs_f64(since)));
    Endpoint {
        id: name.into(),
        state: phase,
        started_at: started,
        cell: number(cell) as u64,
        zone: String::new(),
        machine_type: kind.to_string(),
        weight: 1.0,
    }
}

/// In the scenarios all clocks are one.
fn list_time(now: Duration) -> UpdateTiming {
    UpdateTiming {
        unix_now: UnixTime(now),
        since_last_update: None,
    }
}

impl Stage {
    fn go_to(&mut self, at: Duration) {
        let control = self.control.get_or_insert_with(|| {
            AdmissionController::new(
                Rc::new(self.settings.clone()),
                7,
                at,
                Box::new(self.seen.clone()),
            )
        });
        loop {
            let next = self
                .seen
                .0
                .borrow()
                .wakes
                .iter()
                .filter(|wake| wake.0 <= at)
                .min()
                .copied();
            let Some(wake) = next else { break };
            self.seen
                .0
                .borrow_mut()
                .wakes
                .retain(|other| *other != wake);
            control.set_time(wake.0);
            control.on_timer(TimerToken(wake.1));
        }
        self.now = at;
        control.set_time(at);
    }

    fn name(&mut self, label: &str) -> CounterName {
        CounterName(
            *self
                .labels
                .get(label)
                .unwrap_or_else(|| panic!("label {label} was not seen yet")),
        )
    }

    /// Compares an expected action with the next one seen; a new label takes the name it meets.
    fn expect(&mut self, wanted: &[&str]) {
        assert!(!self.seen.0.borrow().actions.is_empty(), "nothing was done");
        let got = self.seen.0.borrow_mut().actions.remove(0);
        let words: Vec<&str> = got.split(' ').collect();
        if let ["send", call, ..] = words[..] {
            self.sent.insert(call.to_string(), self.now);
        }
        if let (["count", label, _], ["count", name, _]) = (wanted, &words[..]) {
            let name: u64 = name.parse().expect("a name");
            if !self.labels.values().any(|known| *known == name) {
                self.labels.entry(label.to_string()).or_insert(name);
            }
            assert_eq!(
                self.labels.get(*label),
                Some(&name),
                "another name than {label}: {got}"
            );
        }
        let alike = |(wanted, got): (&&str, &&str)| {
            wanted == got || *wanted == "*" || self.labels.contains_key(*wanted)
        };
        assert!(
            wanted.len() == words.len() && wanted.iter().zip(&words).all(alike),
            "got: {got}"
        );
    }

    fn step(&mut self, words: &[&str]) {
        if let [">", wanted @ ..] = words {
            return self.expect(wanted);
        }
        assert!(
            self.seen.0.borrow().actions.is_empty(),
            "not expected: {:?}",
            self.seen.0.borrow().actions
        );
        match words {
            ["use", file] => {
                let path = format!("tests/scenarios/{file}.set");
                let text = std::fs::read_to_string(path).expect("a settings file");
                for line in text.lines().filter(|line| !line.is_empty()) {
                    let (name, value) = line.split_once(' ').expect("a name and a value");
                    named_settings::set(&mut self.settings, name, value.trim());
                }
                return;
            }
            ["set", name, value] => return named_settings::set(&mut self.settings, name, value),
            ["reconfigure"] => {
                let settings = self.settings.clone();
                let control = self.control.as_mut().expect("'at' comes first");
                return control.reconfigure(Rc::new(settings));
            }
            ["asleep"] => {
                let woken = self
                    .seen
                    .0
                    .borrow()
                    .wakes
                    .iter()
                    .any(|wake| wake.1 == DUE_TIMER.0);
                return assert!(!woken, "a wake is set");
            }
            ["wait"] => {
                while self.seen.0.borrow().actions.is_empty() {
                    self.go_to(self.now + Duration::from_millis(10));
                }
                return;
            }
            ["at", time] => return self.go_to(Duration::from_secs_f64(number(time))),
            _ => (),
        }
        let counter = match words {
            ["total" | "refused" | "lost" | "unread", label, ..] => Some(self.name(label)),
            _ => None,
        };
        let control = self.control.as_mut().expect("'at' comes first");
        match (words, counter) {
            (["list", servers @ ..], _) => control.on_endpoint_update(
                list_time(self.now),
                EndpointUpdate::Snapshot(servers.iter().map(|word| server(word)).collect()),
            ),
            (["change", servers @ ..], _) => control.on_endpoint_update(
                list_time(self.now),
                EndpointUpdate::Delta(servers.iter().map(|word| server(word)).collect()),
            ),
            (["call", call, customer, plan, route, timeout, units @ ..], _) => {
                control.on_request(Request {
                    id: (*call).into(),
                    customer: (*customer).into(),
                    plan: (*plan).into(),
                    route: (*route).into(),
                    units: units.first().map_or(1.0, |units| number(units)),
                    deadline: self.now + Duration::from_secs_f64(number(timeout)),
                    first_gateway: 0,
                    gateway_count: 2,
                })
            }
            ([how, _, total @ ..], Some(name)) => loop {
                let add = self
                    .seen
                    .0
                    .borrow_mut()
                    .asked
                    .get_mut(&name.0)
                    .and_then(VecDeque::pop_front);
                match add.expect("an open call on this name") {
                    given if given < 0.0 => {
                        control.on_counter_reply(name, CounterReply::Total(0.0))
                    }
                    _ if *how == "refused" => {
                        break control.on_counter_reply(name, CounterReply::NotApplied)
                    }
                    _ if *how == "unread" => {
                        break control.on_counter_reply(name, CounterReply::Applied)
                    }
                    _ if *how == "lost" => {
                        break control.on_counter_reply(name, CounterReply::Unknown)
                    }
                    _ => {
                        break control.on_counter_reply(name, CounterReply::Total(number(total[0])))
                    }
                }
            },
            (["end", call, attempt, how, settled @ ..], _) => {
                let outcome = match *how {
                    "proxied" => AttemptOutcome::Success,
                    "error" => AttemptOutcome::ServerError,
                    "full" => AttemptOutcome::Rejected,
                    "silence" => AttemptOutcome::TimedOut,
                    "unreachable" => AttemptOutcome::ConnectFailed,
                    "unsent" => AttemptOutcome::NotSent,
                    "reset" => AttemptOutcome::Reset,
                    other => panic!("no such end: {other}"),
                };
                let end = AttemptResult {
                    outcome,
                    latency: self.now - self.sent.get(*call).copied().unwrap_or(self.now),
                    request_closed: outcome == AttemptOutcome::Success,
                    settled_units: settled.first().map(|units| number(units)),
                    load: BTreeMap::new(),
                };
                control.on_attempt_end(&(*call).into(), AttemptNumber(number(attempt) as u32), end);
            }
            (["gone", call], _) => control.on_client_disconnect(&(*call).into()),
            _ => panic!("no such step"),
        }
    }
}

impl Scenario for Stage {
    type Step = String;
    type ParseError = Infallible;

    fn new(_: &str) -> Self {
        Self::default()
    }

    fn parse_line(line: &str) -> Result<Vec<String>, Infallible> {
        Ok(line.split(';').map(str::to_string).collect())
    }

    fn run_step(&mut self, step: &String) {
        self.step(&step.split_whitespace().collect::<Vec<&str>>());
    }

    fn finish(&mut self) {
        let actions = &self.seen.0.borrow().actions;
        assert!(actions.is_empty(), "left over: {actions:?}");
    }
}

#[test]
fn every_scenario() {
    scenario_runner::run_all::<Stage>();
}
