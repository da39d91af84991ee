//! The steps of the gateway's scenarios and their parser. `edge/tests/scenarios.rs` describes the notation.

mod client;
mod gateway;
mod server;
mod service;

pub(crate) use client::ClientStep;
pub(crate) use gateway::GatewayStep;
pub(crate) use server::ServerStep;
pub(crate) use service::{CounterStep, DiscoveryStep, EndpointChange, StartTime};

use crate::step_arguments::{invalid, parse_value, Arguments, StepError};
use std::str::FromStr;
use std::time::Duration;

/// In the steps of `repeat`, stands for the number of the round, from 0.
const ROUND_PLACEHOLDER: &str = "{n}";

/// One step of a scenario.
#[derive(Debug)]
pub(crate) enum Step {
    Gateway(GatewayStep),
    Server(ServerStep),
    Client(ClientStep),
    Counter(CounterStep),
    Discovery(DiscoveryStep),
    /// Waits for a fixed time, whatever happens meanwhile.
    Wait(Duration),
}

/// Parses a line: one step, or the steps of all rounds of a `repeat`.
pub(crate) fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
    let mut arguments = Arguments::new(line);
    if arguments.word("step")? != "repeat" {
        return Ok(vec![Step::parse(line)?]);
    }
    let count: usize = arguments.value("count")?;
    let template = arguments.text("steps to repeat")?;
    let mut steps = Vec::new();
    for round in 0..count {
        let round_steps = template.replace(ROUND_PLACEHOLDER, &round.to_string());
        for step in round_steps.split(';') {
            steps.push(Step::parse(step.trim())?);
        }
    }
    Ok(steps)
}

impl Step {
    fn parse(text: &str) -> Result<Step, StepError> {
        let mut arguments = Arguments::new(text);
        let verb = arguments.word("step")?;
        let step = match verb {
            "counter" => Step::Counter(CounterStep::parse(&mut arguments)?),
            "discovery" => Step::Discovery(DiscoveryStep::parse(&mut arguments)?),
            "wait_ms" => Step::Wait(Duration::from_millis(arguments.value("milliseconds")?)),
            _ => Self::parse_other(verb, &mut arguments)?,
        };
        arguments.end()?;
        Ok(step)
    }

    fn parse_other(verb: &str, arguments: &mut Arguments) -> Result<Step, StepError> {
        if let Some(step) = GatewayStep::parse(verb, arguments)? {
            return Ok(Step::Gateway(step));
        }
        if let Some(step) = ServerStep::parse(verb, arguments)? {
            return Ok(Step::Server(step));
        }
        if let Some(step) = ClientStep::parse(verb, arguments)? {
            return Ok(Step::Client(step));
        }
        if let Some(step) = DiscoveryStep::parse_unprefixed(verb, arguments)? {
            return Ok(Step::Discovery(step));
        }
        if verb == "leases_released" {
            return Ok(Step::Counter(CounterStep::ExpectLeasesReleased));
        }
        Err(StepError::UnknownStep(verb.to_string()))
    }
}

/// Parses the next word, which is required, as `name=value`.
fn named_value<T: FromStr>(arguments: &mut Arguments, name: &'static str) -> Result<T, StepError> {
    optional_named_value(arguments, name)?.ok_or(StepError::Missing(name))
}

/// Parses the next word, if there is one, as `name=value`.
fn optional_named_value<T: FromStr>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, StepError> {
    let Some(word) = arguments.optional_word() else {
        return Ok(None);
    };
    match word.split_once('=') {
        Some((key, value)) if key == name => parse_value(name, value).map(Some),
        _ => Err(invalid(name, word)),
    }
}

/// Parses the rest of a step as bytes. `\r` and `\n` stand for CR and LF.
fn escaped_bytes(arguments: &mut Arguments) -> Result<String, StepError> {
    let text = arguments.text("bytes")?;
    Ok(text.replace("\\r", "\r").replace("\\n", "\n"))
}
