//! The steps of the laboratory's scenarios, and their parser. `lab/tests/scenarios.rs` describes the notation.

use crate::step_arguments::{invalid, Arguments, StepError};
use wellcrank_lab::events::Rule;
use wellcrank_lab::experiment::Fault;
use wellcrank_lab::simulated::InjectedDefect;

/// With the defect `loses-answers`, one answer of this many is lost.
const LOST_ANSWER_INTERVAL: u64 = 40;

/// One step of a scenario.
#[derive(Debug)]
pub(crate) enum Step {
    /// Loads an experiment from `lab/experiments`.
    UseExperiment { name: String },
    /// Changes a field of the experiment.
    SetField(Assignment),
    /// Adds a fault to the experiment.
    AddFault(Box<Fault>),
    /// Overrides a setting of the gateways.
    OverrideSetting(Assignment),
    /// Runs the experiment in simulated time.
    Run(Run),
    /// Expects that the run broke no rule.
    ExpectSound,
    /// Expects that the run broke this rule and no other.
    ExpectViolation(Rule),
    /// Expects identical results from another run with the same seed and defect.
    ExpectReproducible,
    /// Expects a figure, or a total count, above or below a bound.
    ExpectFigure {
        name: String,
        comparison: Comparison,
        bound: f64,
    },
    /// Parses an experiment that has to be refused.
    ParseInvalid { text: String },
    /// Expects that the refusal names this position and text.
    ExpectProblem { position: String, text: String },
}

/// A path of names, separated by dots, and the value to be set there.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub(crate) path: String,
    pub(crate) value: String,
}

/// The seed of a run, and the defect that is injected into the gateways, if any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) seed: u64,
    pub(crate) defect: Option<InjectedDefect>,
}

/// The side of its bound on which a figure is expected.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Comparison {
    Above,
    Below,
}

impl Step {
    /// Parses one line of a scenario.
    pub(crate) fn parse(line: &str) -> Result<Step, StepError> {
        let mut arguments = Arguments::new(line);
        let step = match arguments.word("step")? {
            "experiment" => Step::UseExperiment {
                name: arguments.word("experiment")?.to_string(),
            },
            "set" => Step::SetField(parse_assignment(&mut arguments)?),
            "fault" => Step::AddFault(Box::new(parse_fault(&mut arguments)?)),
            "override" => Step::OverrideSetting(parse_assignment(&mut arguments)?),
            "run" => Step::Run(Run {
                seed: arguments.value("seed")?,
                defect: arguments.optional_word().map(parse_defect).transpose()?,
            }),
            "expect" => parse_expectation(&mut arguments)?,
            "parse" => Step::ParseInvalid {
                text: arguments.text("text")?.replace("\\n", "\n"),
            },
            other => return Err(StepError::UnknownStep(other.to_string())),
        };
        arguments.end()?;
        Ok(step)
    }
}

fn parse_expectation(arguments: &mut Arguments) -> Result<Step, StepError> {
    Ok(match arguments.word("expectation")? {
        "sound" => Step::ExpectSound,
        "violation" => Step::ExpectViolation(parse_rule(arguments.word("rule")?)?),
        "reproducible" => Step::ExpectReproducible,
        "figure" => parse_figure(arguments)?,
        "problem" => Step::ExpectProblem {
            position: arguments.word("position")?.to_string(),
            text: arguments.text("text")?.to_string(),
        },
        other => return Err(invalid("expectation", other)),
    })
}

/// Parses the name of a figure, which may have several words, the comparison and the bound.
fn parse_figure(arguments: &mut Arguments) -> Result<Step, StepError> {
    let mut words: Vec<&str> = arguments.words().collect();
    let bound = words.pop().ok_or(StepError::Missing("bound"))?;
    let comparison = match words.pop().ok_or(StepError::Missing("comparison"))? {
        "above" => Comparison::Above,
        "below" => Comparison::Below,
        other => return Err(invalid("comparison", other)),
    };
    Ok(Step::ExpectFigure {
        name: words.join(" "),
        comparison,
        bound: crate::step_arguments::parse_value("bound", bound)?,
    })
}

fn parse_assignment(arguments: &mut Arguments) -> Result<Assignment, StepError> {
    Ok(Assignment {
        path: arguments.word("path")?.to_string(),
        value: arguments.text("value")?.to_string(),
    })
}

/// Parses the kind of a fault and its fields, which are pairs of name and value.
fn parse_fault(arguments: &mut Arguments) -> Result<Fault, StepError> {
    let kind = arguments.word("kind of fault")?;
    let mut text = format!("kind = {kind:?}\n");
    while let Some(name) = arguments.optional_word() {
        let value = arguments.word("value of a field")?;
        text.push_str(&format!("{name} = {}\n", fault_value(name, value)));
    }
    toml::from_str(&text).map_err(|_| invalid("fault", &text))
}

/// A field's value as TOML. TOML distinguishes integers, floating-point numbers and strings.
fn fault_value(name: &str, value: &str) -> String {
    match value.parse::<f64>() {
        _ if name == "zone" || name == "empty" => value.to_string(),
        Ok(number) => format!("{number:?}"),
        Err(_) => format!("{value:?}"),
    }
}

fn parse_defect(name: &str) -> Result<InjectedDefect, StepError> {
    Ok(match name {
        "loses-answers" => InjectedDefect::LosesAnswers(LOST_ANSWER_INTERVAL),
        "duplicates-attempts" => InjectedDefect::DuplicatesAttempts,
        "retries-unsafely" => InjectedDefect::RetriesUnsafely,
        "ignores-endpoint-updates" => InjectedDefect::IgnoresEndpointUpdates,
        "prefers-newest-server" => InjectedDefect::PrefersNewestServer,
        "undercounts-units" => InjectedDefect::UndercountsUnits,
        other => return Err(invalid("defect", other)),
    })
}

fn parse_rule(name: &str) -> Result<Rule, StepError> {
    serde_json::from_value(name.into()).map_err(|_| invalid("rule", name))
}
