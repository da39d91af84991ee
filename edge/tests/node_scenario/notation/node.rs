//! Steps about the process of the node, its configuration and its system calls.

use crate::fault_injection::SystemCall;
use crate::node_scenario::node::ResourceLimits;
use crate::step_arguments::{invalid, Arguments, StepError};
use std::time::Duration;

/// How long after SIGTERM the platform kills at the earliest, with the timeouts of the usual settings.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// A step about the node.
#[derive(Debug)]
pub(crate) enum NodeStep {
    /// What the node's configuration says that it may use.
    SetLimits(ResourceLimits),
    /// How many descriptors the system gives the node.
    SetDescriptorLimit { limit: u32 },
    /// A setting in the configuration that is written next.
    SetSetting {
        name: String,
        value: serde_json::Value,
    },
    /// The configuration will hold the endpoint list as it is now.
    PinKnownEndpoints,
    /// The node starts.
    Start,
    /// In time, the node answers that it serves.
    ExpectReady,
    /// The node has met all that happened before.
    Synchronize,
    /// The process stands still.
    Pause,
    /// The process goes on.
    Resume,
    /// The configuration is written with the settings as they are by now, and SIGHUP is sent.
    Reload,
    /// The configuration can't be read, and SIGHUP is sent.
    ReloadMalformed,
    /// The counter and discovery move, SIGHUP is sent, and the old ones are cut off once the node has come.
    MoveServices,
    /// SIGTERM.
    Terminate,
    /// SIGKILL after a span.
    Kill { after: Duration },
    /// The node has ended by itself and well.
    ExpectExit,
    /// As long as sends may go on after a drain was told, and the rule's slack.
    WaitDrainGrace,
    /// The node's log holds a text; with `is_there`, already.
    ExpectLogged { text: String, is_there: bool },
    /// The node will start with system calls that can be made to fail.
    InjectFaults,
    /// So many of the node's next calls fail.
    FailCalls {
        call: SystemCall,
        error_number: i32,
        count: i64,
    },
    /// The node's wall clock is so many seconds off.
    StepClock { seconds: i64 },
    /// One read or write moves no more than so many bytes.
    LimitTransfers { bytes: i64 },
    /// The node's next write stands still for so many milliseconds.
    StallWrite { milliseconds: i64 },
}

impl NodeStep {
    /// Reads a step that begins with this word, if it is about the node.
    pub(super) fn parse(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "start_node" => NodeStep::Start,
            "node_ready" => NodeStep::ExpectReady,
            "synchronize" => NodeStep::Synchronize,
            "pause_node" => NodeStep::Pause,
            "resume_node" => NodeStep::Resume,
            "reload" => NodeStep::Reload,
            "reload_malformed" => NodeStep::ReloadMalformed,
            "move_services" => NodeStep::MoveServices,
            "sigterm" => NodeStep::Terminate,
            "sigkill" => NodeStep::Kill {
                after: parse_kill_delay(arguments)?,
            },
            "node_exited" => NodeStep::ExpectExit,
            "wait_drain_grace" => NodeStep::WaitDrainGrace,
            "logged" | "logged_now" => NodeStep::ExpectLogged {
                text: arguments.text("text")?.to_string(),
                is_there: verb == "logged_now",
            },
            _ => return Self::parse_environment(verb, arguments),
        };
        Ok(Some(step))
    }

    /// Reads a step about the node's configuration or its system calls.
    fn parse_environment(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "limits" => NodeStep::SetLimits(ResourceLimits {
                memory_mb: arguments.value("memory in MB")?,
                sockets: arguments.value("number of sockets")?,
            }),
            "descriptor_limit" => NodeStep::SetDescriptorLimit {
                limit: arguments.value("number of descriptors")?,
            },
            "setting" => NodeStep::SetSetting {
                name: arguments.value("name of a setting")?,
                value: arguments.value("value in JSON")?,
            },
            "pin_known_endpoints" => NodeStep::PinKnownEndpoints,
            "inject_faults" => NodeStep::InjectFaults,
            "fail_calls" => NodeStep::FailCalls {
                call: arguments.value("call")?,
                error_number: parse_error_number(arguments)?,
                count: arguments.value("count")?,
            },
            "step_clock" => NodeStep::StepClock {
                seconds: arguments.value("seconds")?,
            },
            "limit_transfers" => NodeStep::LimitTransfers {
                bytes: arguments.value("bytes")?,
            },
            "stall_write" => NodeStep::StallWrite {
                milliseconds: arguments.value("milliseconds")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_kill_delay(arguments: &mut Arguments) -> Result<Duration, StepError> {
    let delay: Option<u64> = arguments.optional_value("milliseconds")?;
    Ok(delay.map_or(EARLIEST_KILL, Duration::from_millis))
}

fn parse_error_number(arguments: &mut Arguments) -> Result<i32, StepError> {
    let number = match arguments.word("error")? {
        "ECONNABORTED" => libc::ECONNABORTED,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "EINTR" => libc::EINTR,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        other => return Err(invalid("error", other)),
    };
    Ok(number)
}
