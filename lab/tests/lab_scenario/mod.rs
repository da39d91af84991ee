//! The state of a laboratory scenario: an experiment, and the results of its last run.

mod step;

use crate::scenario_runner::Scenario;
use crate::step_arguments::StepError;
use step::{Assignment, Comparison, Run, Step};
use wellcrank_lab::events::{Rule, RuleViolation};
use wellcrank_lab::experiment::{Experiment, Variant};
use wellcrank_lab::metrics::Results;
use wellcrank_lab::simulated::{self, RunOptions};

/// The experiment of a scenario that names none.
const DEFAULT_EXPERIMENT: &str = "title = \"default\"\nseconds = 10.0";

/// Largest number of violations in the failure message of a run that was expected to be sound.
const MAX_SHOWN_VIOLATIONS: usize = 5;

/// A finished run with its results.
struct FinishedRun {
    run: Run,
    results: Results,
}

/// The experiment of a scenario, and its last run.
pub(crate) struct LabScenario {
    experiment: Experiment,
    variant: Variant,
    last_run: Option<FinishedRun>,
    /// The error text of the last invalid experiment.
    parse_error: String,
}

impl Scenario for LabScenario {
    type Step = Step;
    type ParseError = StepError;

    fn new(_name: &str) -> Self {
        LabScenario {
            experiment: Experiment::parse("default", DEFAULT_EXPERIMENT).expect("an experiment"),
            variant: Variant::default(),
            last_run: None,
            parse_error: String::new(),
        }
    }

    fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
        Ok(vec![Step::parse(line)?])
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::UseExperiment { name } => {
                let path = format!("experiments/{name}.toml");
                self.experiment = Experiment::load(&path).expect("an experiment");
            }
            Step::SetField(assignment) => self.set_field(assignment),
            Step::AddFault(fault) => {
                self.experiment.faults.push(*fault.clone());
                assert_eq!(self.experiment.problems(), []);
            }
            Step::OverrideSetting(assignment) => {
                self.variant.settings_overrides = toml_table(assignment);
            }
            Step::Run(run) => {
                let results = self.run_experiment(*run);
                self.last_run = Some(FinishedRun { run: *run, results });
            }
            Step::ExpectSound => self.expect_sound(),
            Step::ExpectViolation(rule) => self.expect_violation(*rule),
            Step::ExpectReproducible => self.expect_reproducible(),
            Step::ExpectFigure {
                name,
                comparison,
                bound,
            } => self.expect_figure(name, *comparison, *bound),
            Step::ParseInvalid { text } => {
                let error = Experiment::parse("file", text).expect_err("the experiment is valid");
                self.parse_error = error.to_string();
            }
            Step::ExpectProblem { position, text } => self.expect_problem(position, text),
        }
    }
}

impl LabScenario {
    fn set_field(&mut self, assignment: &Assignment) {
        let variant = Variant {
            changes: toml_table(assignment),
            ..Variant::default()
        };
        let changed = self.experiment.with_variant(&variant);
        self.experiment = changed.expect("a valid experiment");
    }

    fn run_experiment(&self, run: Run) -> Results {
        let options = RunOptions {
            defect: run.defect,
            ..RunOptions::default()
        };
        let results =
            simulated::run_experiment(&self.experiment, &self.variant, run.seed, &options);
        results.expect("a run")
    }

    fn last_run(&self) -> &FinishedRun {
        self.last_run.as_ref().expect("no step 'run' before")
    }

    fn expect_sound(&self) {
        let results = &self.last_run().results;
        let violations = &results.violations;
        let shown = &violations[..violations.len().min(MAX_SHOWN_VIOLATIONS)];
        assert!(results.sound(), "{shown:?} {:?}", results.crashes);
    }

    fn expect_violation(&self, rule: Rule) {
        let results = &self.last_run().results;
        assert!(results.violation_count > 0, "no rule was broken");
        let other = results
            .violations
            .iter()
            .find(|violation| violation.rule != rule);
        assert!(other.is_none(), "{other:?}");
        let unnamed = results.violations.iter().find(|found| !is_named(found));
        assert!(unnamed.is_none(), "names no time or request: {unnamed:?}");
    }

    fn expect_reproducible(&self) {
        let FinishedRun { run, results } = self.last_run();
        assert_eq!(to_json(results), to_json(&self.run_experiment(*run)));
    }

    fn expect_figure(&self, name: &str, comparison: Comparison, bound: f64) {
        let results = &self.last_run().results;
        let totals = serde_json::to_value(&results.totals).expect("JSON");
        let count = totals[name].as_f64();
        let value = results.figure(name).or(count).expect("a figure");
        let is_met = match comparison {
            Comparison::Above => value > bound,
            Comparison::Below => value < bound,
        };
        assert!(is_met, "{name} is {value}");
    }

    fn expect_problem(&self, position: &str, text: &str) {
        let prefix = format!("file:{position}: ");
        let is_found = self
            .parse_error
            .lines()
            .any(|line| line.starts_with(&prefix) && line.contains(text));
        assert!(is_found, "{}", self.parse_error);
    }
}

fn to_json(results: &Results) -> String {
    serde_json::to_string(results).expect("JSON")
}

/// Whether a violation names its time and its request. An overload of a server is not caused by a single request, so
/// that it names none.
fn is_named(violation: &RuleViolation) -> bool {
    let names_request = violation.request.is_some() || violation.rule == Rule::ColdServers;
    violation.at_seconds > 0.0 && names_request
}

/// A TOML table that holds one value at a path.
fn toml_table(Assignment { path, value }: &Assignment) -> toml::Table {
    let is_number = value.parse::<f64>().is_ok();
    let is_bool = value == "true" || value == "false";
    let toml_value = if is_number || is_bool || value.starts_with('[') {
        value.clone()
    } else {
        format!("{value:?}")
    };
    toml::from_str(&format!("{path} = {toml_value}")).expect("a path and a value")
}
