//! Steps of the counter and of discovery.

use super::escaped_bytes;
use crate::gateway_scenario::stand_ins::{
    CounterMode, DiscoveryMode, EndpointState, ResponseEnd, ScriptedResponse,
};
use crate::step_arguments::{invalid, parse_value, Arguments, StepError};

/// The head of a response whose body consists of chunks.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a scenario has the counter do, or expects of its totals.
#[derive(Debug)]
pub(crate) enum CounterStep {
    /// Sets how the counter replies from now on.
    SetMode(CounterMode),
    /// The counter closes its connections.
    Disconnect,
    /// Waits until the total of the newest name is zero: all leases of the newest period are released.
    ExpectLeasesReleased,
}

impl CounterStep {
    /// Parses the words after `counter`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let mode = match arguments.word("mode of the counter")? {
            "replies" => CounterMode::Replying,
            "silent" => CounterMode::Silent,
            "rejects" => CounterMode::Rejecting,
            "malformed_once" => CounterMode::MalformedOnce,
            "disconnects" => return Ok(CounterStep::Disconnect),
            other => return Err(invalid("mode of the counter", other)),
        };
        Ok(CounterStep::SetMode(mode))
    }
}

/// What a scenario has discovery do, or expects of the calls that it receives.
#[derive(Debug)]
pub(crate) enum DiscoveryStep {
    /// Changes entries of the endpoint list, in this order.
    UpdateEndpoints(Vec<EndpointChange>),
    /// Sets how discovery responds to calls from now on.
    SetMode(DiscoveryMode),
    /// Discovery closes its connections.
    Disconnect,
    /// Discovery closes its connections and rejects this many of the next calls.
    RejectCalls { count: usize },
    /// Discovery sends no response to this many of the next calls.
    IgnoreCalls { count: usize },
    /// Discovery sends no response to this many of the next watches, which are calls that wait for changes.
    IgnoreWatches { count: usize },
    /// Discovery sends bytes in place of the response to the next call, and then ends the connection.
    ScriptResponse(ScriptedResponse),
    /// Waits until the gateway has abandoned this many calls, or discovery has closed this many connections, since the
    /// mode was set.
    ExpectAbandonedCalls { count: usize },
    /// Waits until discovery has received this many calls since the start of the scenario, and expects that none of
    /// them asked for the whole list.
    ExpectOnlyDeltaRequests { count: usize },
}

/// A change of an entry of discovery's list.
#[derive(Debug)]
pub(crate) struct EndpointChange {
    /// The app server's name in the scenario, which is also the endpoint's id.
    pub(crate) server: String,
    pub(crate) state: EndpointState,
    pub(crate) started_at: StartTime,
}

/// When the process of an app server started.
#[derive(Debug)]
pub(crate) enum StartTime {
    /// At this Unix time in milliseconds.
    UnixMilliseconds(u64),
    /// At the time at which the step is run.
    Now,
}

impl DiscoveryStep {
    /// Parses the words after `discovery`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let step = match arguments.word("action of discovery")? {
            "responds" => DiscoveryStep::SetMode(DiscoveryMode::Responding),
            "silent" => DiscoveryStep::SetMode(DiscoveryMode::Silent),
            "closes_every_connection" => DiscoveryStep::SetMode(DiscoveryMode::Closing),
            "disconnects" => DiscoveryStep::Disconnect,
            "rejects_calls" => DiscoveryStep::RejectCalls {
                count: arguments.value("count")?,
            },
            "ignores_calls" => DiscoveryStep::IgnoreCalls {
                count: arguments.value("count")?,
            },
            "ignores_watches" => DiscoveryStep::IgnoreWatches {
                count: arguments.value("count")?,
            },
            "sends_bytes" => DiscoveryStep::ScriptResponse(ScriptedResponse {
                bytes: escaped_bytes(arguments)?,
                end: ResponseEnd::Close,
            }),
            "sends_endless_chunks" => DiscoveryStep::ScriptResponse(ScriptedResponse {
                bytes: CHUNKED_HEAD.to_string(),
                end: ResponseEnd::EndlessChunks,
            }),
            "sends_bytes_and_resets" => DiscoveryStep::ScriptResponse(ScriptedResponse {
                bytes: escaped_bytes(arguments)?,
                end: ResponseEnd::Reset,
            }),
            other => return Err(invalid("action of discovery", other)),
        };
        Ok(step)
    }

    /// Parses the arguments of the step `verb`, which does not start with the word `discovery`. Returns `None` if it is
    /// not a step of discovery.
    pub(super) fn parse_unprefixed(
        verb: &str,
        arguments: &mut Arguments,
    ) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "update_endpoints" => DiscoveryStep::UpdateEndpoints(parse_changes(arguments)?),
            "abandoned_discovery_calls" => DiscoveryStep::ExpectAbandonedCalls {
                count: arguments.value("count")?,
            },
            "only_delta_requests" => DiscoveryStep::ExpectOnlyDeltaRequests {
                count: arguments.value("count")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_changes(arguments: &mut Arguments) -> Result<Vec<EndpointChange>, StepError> {
    let changes: Vec<EndpointChange> = arguments
        .words()
        .map(parse_change)
        .collect::<Result<_, _>>()?;
    if changes.is_empty() {
        return Err(StepError::Missing("change of an endpoint"));
    }
    Ok(changes)
}

/// Parses `NAME=STATE` or `NAME=STATE,started=TIME`, where the time is `now` or a Unix time such as `9ms`. Without a
/// time, the process started at Unix time 0.
fn parse_change(word: &str) -> Result<EndpointChange, StepError> {
    let invalid_change = || invalid("change of an endpoint", word);
    let (server, change) = word.split_once('=').ok_or_else(invalid_change)?;
    let (state, started_at) = match change.split_once(",started=") {
        None => (change, StartTime::UnixMilliseconds(0)),
        Some((state, "now")) => (state, StartTime::Now),
        Some((state, time)) => {
            let milliseconds = time.strip_suffix("ms").ok_or_else(invalid_change)?;
            let milliseconds = parse_value("start time in milliseconds", milliseconds)?;
            (state, StartTime::UnixMilliseconds(milliseconds))
        }
    };
    let state = match state {
        "active" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        other => return Err(invalid("state of an endpoint", other)),
    };
    Ok(EndpointChange {
        server: server.to_string(),
        state,
        started_at,
    })
}
