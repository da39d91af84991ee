//! The steps of the node's scenarios, and how they are read. `edge/tests/scenarios.rs` describes the notation.

mod client;
mod node;
mod server;
mod service;

pub(crate) use client::ClientStep;
pub(crate) use node::NodeStep;
pub(crate) use server::ServerStep;
pub(crate) use service::{CounterStep, DiscoveryStep, EndpointChange, StartTime};

use crate::step_arguments::{Arguments, StepError};
use std::time::Duration;

/// One step of a scenario.
#[derive(Debug)]
pub(crate) enum Step {
    /// About the process of the node.
    Node(NodeStep),
    /// About an app server.
    Server(ServerStep),
    /// About a client.
    Client(ClientStep),
    /// About the counter.
    Counter(CounterStep),
    /// About discovery.
    Discovery(DiscoveryStep),
    /// Time passes.
    Wait(Duration),
}

/// Reads a line: one step, or with `repeat` several, as often as it says.
pub(crate) fn parse_line(line: &str) -> Result<Vec<Step>, StepError> {
    let mut arguments = Arguments::new(line);
    if arguments.word("step")? != "repeat" {
        return Ok(vec![Step::parse(line)?]);
    }
    let count: usize = arguments.value("count")?;
    let template = arguments.text("steps to repeat")?;
    let mut steps = Vec::new();
    for round in 0..count {
        let round_steps = template.replace('%', &round.to_string());
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
            "wait" => Step::Wait(milliseconds(&mut arguments)?),
            _ => Self::parse_other(verb, &mut arguments)?,
        };
        arguments.end()?;
        Ok(step)
    }

    fn parse_other(verb: &str, arguments: &mut Arguments) -> Result<Step, StepError> {
        if let Some(step) = NodeStep::parse(verb, arguments)? {
            return Ok(Step::Node(step));
        }
        if let Some(step) = ServerStep::parse(verb, arguments)? {
            return Ok(Step::Server(step));
        }
        if let Some(step) = ClientStep::parse(verb, arguments)? {
            return Ok(Step::Client(step));
        }
        if let Some(step) = DiscoveryStep::parse_expectation(verb, arguments)? {
            return Ok(Step::Discovery(step));
        }
        if verb == "leases_released" {
            return Ok(Step::Counter(CounterStep::ExpectLeasesReleased));
        }
        Err(StepError::UnknownStep(verb.to_string()))
    }
}

/// A span in milliseconds.
fn milliseconds(arguments: &mut Arguments) -> Result<Duration, StepError> {
    arguments.value("milliseconds").map(Duration::from_millis)
}

/// The rest of a step as bytes: `\r` and `\n` stand for the ends of lines.
fn escaped_bytes(arguments: &mut Arguments) -> Result<String, StepError> {
    let text = arguments.text("bytes")?;
    Ok(text.replace("\\r", "\r").replace("\\n", "\n"))
}
