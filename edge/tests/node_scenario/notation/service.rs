//! Steps about the counter and discovery.

use super::escaped_bytes;
use crate::node_scenario::stand_ins::{CounterMode, DiscoveryMode, EndpointState, ScriptedAnswer};
use crate::step_arguments::{invalid, parse_value, Arguments, StepError};

/// A step about the counter.
#[derive(Debug)]
pub(crate) enum CounterStep {
    /// How the counter replies from now on.
    SetMode(CounterMode),
    /// The counter breaks its connections.
    Disconnect,
    /// In time, all leases counted under the newest name are taken off again.
    ExpectLeasesReleased,
}

impl CounterStep {
    /// Reads what follows the word `counter`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let mode = match arguments.word("mode of the counter")? {
            "answers" => CounterMode::Answering,
            "silent" => CounterMode::Silent,
            "rejects" => CounterMode::Rejecting,
            "malformed" => CounterMode::Malformed,
            "disconnects" => return Ok(CounterStep::Disconnect),
            other => return Err(invalid("mode of the counter", other)),
        };
        Ok(CounterStep::SetMode(mode))
    }
}

/// A step about discovery.
#[derive(Debug)]
pub(crate) enum DiscoveryStep {
    /// Entries of the list change.
    ChangeEndpoints(Vec<EndpointChange>),
    /// How discovery takes calls from now on.
    SetMode(DiscoveryMode),
    /// Discovery breaks its connections.
    Disconnect,
    /// Discovery breaks its connections and rejects so many of the next calls.
    RejectCalls { count: usize },
    /// Discovery never answers so many of the next calls.
    IgnoreCalls { count: usize },
    /// Discovery never answers so many of the next calls that wait for changes.
    IgnoreWatches { count: usize },
    /// Discovery answers the next call with bytes, and ends the connection.
    ScriptAnswer(ScriptedAnswer),
    /// Since the mode was set, the node has abandoned so many calls, or so many connections were closed on it.
    ExpectAbandonedCalls { count: usize },
    /// So many calls have come, none of them for the whole list.
    ExpectDeltaRequests { count: usize },
}

/// An entry of discovery's list that changes.
#[derive(Debug)]
pub(crate) struct EndpointChange {
    /// Which app server.
    pub(crate) server: String,
    /// What discovery says of it.
    pub(crate) state: EndpointState,
    /// When it started.
    pub(crate) started_at: StartTime,
}

/// When an app server started.
#[derive(Debug)]
pub(crate) enum StartTime {
    /// At this time, in milliseconds of Unix time.
    UnixMilliseconds(u64),
    /// Just now.
    Now,
}

impl DiscoveryStep {
    /// Reads what follows the word `discovery`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let step = match arguments.word("action of discovery")? {
            "answers" => DiscoveryStep::SetMode(DiscoveryMode::Answering),
            "silent" => DiscoveryStep::SetMode(DiscoveryMode::Silent),
            "closes" => DiscoveryStep::SetMode(DiscoveryMode::Closing),
            "disconnects" => DiscoveryStep::Disconnect,
            "rejects" => DiscoveryStep::RejectCalls {
                count: arguments.value("count")?,
            },
            "ignores" => DiscoveryStep::IgnoreCalls {
                count: arguments.value("count")?,
            },
            "ignores_watches" => DiscoveryStep::IgnoreWatches {
                count: arguments.value("count")?,
            },
            "sends" => DiscoveryStep::ScriptAnswer(ScriptedAnswer {
                bytes: escaped_bytes(arguments)?,
                resets: false,
            }),
            "sends_and_resets" => DiscoveryStep::ScriptAnswer(ScriptedAnswer {
                bytes: escaped_bytes(arguments)?,
                resets: true,
            }),
            other => return Err(invalid("action of discovery", other)),
        };
        Ok(step)
    }

    /// Reads a step that begins with this word, if it is about discovery's list or the calls on discovery.
    pub(super) fn parse_expectation(
        verb: &str,
        arguments: &mut Arguments,
    ) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "endpoints" => DiscoveryStep::ChangeEndpoints(parse_changes(arguments)?),
            "abandoned_discovery_calls" => DiscoveryStep::ExpectAbandonedCalls {
                count: arguments.value("count")?,
            },
            "delta_requests" => DiscoveryStep::ExpectDeltaRequests {
                count: arguments.value("count")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_changes(arguments: &mut Arguments) -> Result<Vec<EndpointChange>, StepError> {
    match arguments.word("kind of change")? {
        "changed" => arguments.words().map(parse_change).collect(),
        other => Err(invalid("kind of change", other)),
    }
}

/// `NAME[!|-]` or `NAME@STARTED`.
fn parse_change(word: &str) -> Result<EndpointChange, StepError> {
    let state = match word.chars().last() {
        Some('!') => EndpointState::Leaving,
        Some('-') => EndpointState::Left,
        _ => EndpointState::Active,
    };
    let entry = word.trim_end_matches(['!', '-']);
    let (server, started_at) = match entry.split_once('@') {
        None => (entry, StartTime::UnixMilliseconds(0)),
        Some((server, "now")) => (server, StartTime::Now),
        Some((server, started_at)) => {
            let milliseconds = parse_value("start of a server", started_at)?;
            (server, StartTime::UnixMilliseconds(milliseconds))
        }
    };
    Ok(EndpointChange {
        server: server.to_string(),
        state,
        started_at,
    })
}
