//! Plays every scenario in `lab/tests/scenarios`. A scenario is a text file of steps, one a line:
//!
//! ```text
//! experiment calm                 the file of that name in lab/experiments; else a usual day of 10 s
//! set fleet.gateways 2            lays a value over it; a list's element goes by its name
//! trouble servers-slow at 2 for 5 share 0.3 factor 4 route preview   one more trouble
//! told contracts.premiere.never_over_rate 0    the program is told this in place of the truth
//! play 3 [FAULT]                  plays that seed in simulated time; a fault alters the program: loses-answers,
//!                                 sends-twice, sends-again, hears-no-changes, likes-the-cold, forgets-units
//! sound                           no rule was broken, nothing crashed
//! breaks drains                   a rule was broken, and no other one was
//! again                           plays the same once more: the results are the same to the byte
//! figure served above 0.5         one of the figures, or a count of the day such as 'requests'
//! read TEXT                       reads this as an experiment ('\n' parts lines) ...
//! complains 2:1 unknown field     ... which is refused there, for this
//! ```
//!
//! The engine on loopback is played by the scenarios of the command, in `tool/tests`.

#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;

use scenario_runner::Scenario;
use std::convert::Infallible;
use wellcrank_lab::events::Rule;
use wellcrank_lab::experiment::{Experiment, Fault, Variant};
use wellcrank_lab::metrics::Results;
use wellcrank_lab::simulated::{self, InjectedDefect};

#[derive(Default)]
struct Stage {
    experiment: Option<Experiment>,
    variant: Variant,
    played: Option<(String, Results)>,
    complaint: String,
}

/// A table that holds one value at a path.
fn at(path: &str, value: &str) -> toml::Table {
    let text = if value.parse::<f64>().is_ok()
        || ["true", "false"].contains(&value)
        || value.starts_with('[')
    {
        value.to_string()
    } else {
        format!("{value:?}")
    };
    toml::from_str(&format!("{path} = {text}")).expect("a path and a value")
}

fn defect(name: &str) -> InjectedDefect {
    match name {
        "loses-answers" => InjectedDefect::LosesAnswers(40),
        "sends-twice" => InjectedDefect::DuplicatesAttempts,
        "sends-again" => InjectedDefect::RetriesUnsafely,
        "hears-no-changes" => InjectedDefect::IgnoresEndpointUpdates,
        "likes-the-cold" => InjectedDefect::PrefersNewestServer,
        "forgets-units" => InjectedDefect::UndercountsUnits,
        other => panic!("no such fault: {other}"),
    }
}

fn rule(name: &str) -> Rule {
    serde_json::from_value(name.into()).expect("a rule")
}

impl Stage {
    fn experiment(&mut self) -> &mut Experiment {
        self.experiment.get_or_insert_with(|| {
            Experiment::parse("usual", "title = \"usual\"\nseconds = 10.0").expect("a usual day")
        })
    }

    fn play(&mut self, seed: &str, altered: Option<&str>) -> Results {
        let terms = simulated::RunOptions {
            defect: altered.map(defect),
            ..Default::default()
        };
        let (seed, variant) = (seed.parse().expect("a seed"), self.variant.clone());
        simulated::play(self.experiment(), &variant, seed, &terms).expect("a day")
    }

    fn results(&self) -> &Results {
        &self.played.as_ref().expect("'play' comes first").1
    }

    fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["experiment", name] => {
                let path = format!("experiments/{name}.toml");
                self.experiment = Some(Experiment::load(&path).expect("an experiment"));
            }
            ["set", path, ref value @ ..] => {
                let change = Variant {
                    changes: at(path, &value.join(" ")),
                    ..Variant::default()
                };
                *self.experiment() = self.experiment().with_variant(&change).expect("it fits");
            }
            ["trouble", kind, ref terms @ ..] => {
                let field = |pair: &[&str]| match pair[1].parse::<f64>() {
                    _ if pair[0] == "zone" => format!("zone = {}", pair[1]),
                    Ok(number) => format!("{} = {number:?}", pair[0]),
                    Err(_) if pair[0] == "empty" => format!("empty = {}", pair[1]),
                    Err(_) => format!("{} = {:?}", pair[0], pair[1]),
                };
                let fields: Vec<String> = terms.chunks(2).map(field).collect();
                let text = format!("kind = {kind:?}\n{}", fields.join("\n"));
                let trouble: Fault = toml::from_str(&text).expect("a trouble");
                self.experiment().faults.push(trouble);
                assert_eq!(self.experiment().problems(), []);
            }
            ["told", path, value] => self.variant.settings_overrides = at(path, value),
            ["play", seed, ref altered @ ..] => {
                let results = self.play(seed, altered.first().copied());
                self.played = Some((line.to_string(), results));
            }
            ["again"] => {
                let (how, first) = self.played.clone().expect("'play' comes first");
                let words: Vec<&str> = how.split_whitespace().collect();
                let second = self.play(words[1], words.get(2).copied());
                let bytes = |it: &Results| serde_json::to_string(it).expect("results");
                assert_eq!(bytes(&first), bytes(&second));
            }
            ["sound"] => {
                let it = self.results();
                assert!(
                    it.sound(),
                    "{:?} {:?}",
                    &it.violations[..it.violations.len().min(5)],
                    it.crashes
                );
            }
            ["breaks", name] => {
                let it = self.results();
                assert!(it.violation_count > 0, "nothing was broken");
                let other = it
                    .violations
                    .iter()
                    .find(|broken| broken.rule != rule(name));
                assert!(other.is_none(), "{}", other.expect("found"));
                let named = it.violations.iter().all(|broken| broken.at_seconds > 0.0);
                let called = it
                    .violations
                    .iter()
                    .all(|it| it.request.is_some() || it.rule == Rule::ColdServers);
                assert!(named && called, "a broken rule names its time and API call");
            }
            ["figure", ref name @ .., how @ ("above" | "below"), bound] => {
                let (name, bound) = (name.join(" "), bound.parse::<f64>().expect("a number"));
                let it = self.results();
                let counts = serde_json::to_value(&it.totals).expect("counts");
                let found = it.figure(&name);
                let value = found.or(counts[&name].as_f64()).expect("a figure");
                assert!(
                    if how == "above" {
                        value > bound
                    } else {
                        value < bound
                    },
                    "it is {value}"
                );
            }
            ["read", ..] => {
                let text = line
                    .strip_prefix("read ")
                    .unwrap_or_default()
                    .replace("\\n", "\n");
                let complaint = Experiment::parse("file", &text).expect_err("it is wrong");
                self.complaint = complaint.to_string();
            }
            ["complains", ..] => {
                let wanted = line.strip_prefix("complains ").unwrap_or_default();
                let (place, what) = wanted.split_once(' ').expect("a place and a complaint");
                let found = self
                    .complaint
                    .lines()
                    .any(|it| it.starts_with(&format!("file:{place}: ")) && it.contains(what));
                assert!(found, "{}", self.complaint);
            }
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
        Ok(vec![line.to_string()])
    }

    fn run_step(&mut self, step: &String) {
        self.step(step);
    }
}

#[test]
fn every_scenario() {
    scenario_runner::run_all::<Stage>();
}
