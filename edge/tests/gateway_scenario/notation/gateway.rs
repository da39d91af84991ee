//! Steps of the gateway's process, its configuration and its system calls.

use super::{named_value, optional_named_value};
use crate::fault_injection::SystemCall;
use crate::gateway_scenario::gateway::ResourceLimits;
use crate::step_arguments::{invalid, Arguments, StepError};
use std::time::Duration;

/// The shortest time after SIGTERM at which the platform sends SIGKILL, with the client timeouts of `settings.json`:
/// 3 s, the longest client timeout that the platform takes into account, and 0.7 s.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3700);

/// What a scenario does to the gateway's process, configuration or system calls, or expects of the gateway.
#[derive(Debug)]
pub(crate) enum GatewayStep {
    /// Sets the resource limits in the configuration.
    SetLimits(ResourceLimits),
    /// Sets the number of descriptors that the system grants the process.
    SetDescriptorLimit { limit: u32 },
    /// Changes a setting in the configuration that is written next.
    SetSetting {
        name: String,
        value: serde_json::Value,
    },
    /// Keeps the current endpoint list for all configurations that are written from now on.
    PinKnownEndpoints,
    /// Writes the configuration and starts the gateway.
    Start,
    /// Waits until the gateway answers a ping with `+PONG`, which means that it is ready.
    ExpectReady,
    /// Sends a ping and expects `+PONG`, so that the gateway has processed all earlier events.
    Synchronize,
    /// Suspends the process with SIGSTOP.
    Pause,
    /// Resumes the process with SIGCONT.
    Resume,
    /// Writes the configuration with the current settings and sends SIGHUP.
    Reload,
    /// Writes a malformed configuration and sends SIGHUP.
    ReloadMalformedConfiguration,
    /// Moves the counter and discovery to new addresses, sends SIGHUP, and breaks the connections to the old addresses
    /// once the gateway has connected to the new ones.
    MoveCounterAndDiscovery,
    /// Sends SIGTERM.
    Terminate,
    /// Sends SIGKILL after a delay.
    Kill { delay: Duration },
    /// Waits until the process has exited by itself, and expects the exit status of success.
    ExpectExit,
    /// Expects that the process has never held more memory than its limit.
    ExpectMemoryWithinLimit,
    /// Waits for the drain grace of the settings and the tolerance of its rule.
    WaitDrainGrace,
    /// Waits until the gateway's log contains a text. With `must_not_wait`, fails if it does not contain it yet.
    ExpectLogged { text: String, must_not_wait: bool },
    /// Prepares fault injection for the system calls of the gateway that is started next.
    InjectFaults,
    /// Makes the next `count` calls of a system call fail.
    FailCalls {
        call: SystemCall,
        error_number: i32,
        count: i64,
    },
    /// Sets the gateway's wall clock this many seconds ahead, or behind if negative.
    SetWallClockOffset { seconds: i64 },
    /// Limits each read and write to this many bytes.
    LimitTransfers { max_bytes: i64 },
    /// Delays the gateway's next write by this many milliseconds.
    StallWrite { milliseconds: i64 },
}

impl GatewayStep {
    /// Parses the arguments of the step `verb`. Returns `None` if it is not a step of the gateway.
    pub(super) fn parse(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "start_gateway" => GatewayStep::Start,
            "gateway_ready" => GatewayStep::ExpectReady,
            "synchronize" => GatewayStep::Synchronize,
            "pause_gateway" => GatewayStep::Pause,
            "resume_gateway" => GatewayStep::Resume,
            "reload" => GatewayStep::Reload,
            "reload_malformed_configuration" => GatewayStep::ReloadMalformedConfiguration,
            "move_counter_and_discovery" => GatewayStep::MoveCounterAndDiscovery,
            "sigterm" => GatewayStep::Terminate,
            "sigkill" => GatewayStep::Kill {
                delay: parse_kill_delay(arguments)?,
            },
            "gateway_exited" => GatewayStep::ExpectExit,
            "memory_within_limit" => GatewayStep::ExpectMemoryWithinLimit,
            "wait_drain_grace" => GatewayStep::WaitDrainGrace,
            "logged" | "logged_now" => GatewayStep::ExpectLogged {
                text: arguments.text("text")?.to_string(),
                must_not_wait: verb == "logged_now",
            },
            _ => return Self::parse_environment(verb, arguments),
        };
        Ok(Some(step))
    }

    /// Parses the arguments of a step of the gateway's configuration or its system calls.
    fn parse_environment(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "limits" => GatewayStep::SetLimits(ResourceLimits {
                memory_mb: named_value(arguments, "memory_mb")?,
                sockets: named_value(arguments, "sockets")?,
            }),
            "descriptor_limit" => GatewayStep::SetDescriptorLimit {
                limit: arguments.value("number of descriptors")?,
            },
            "setting" => GatewayStep::SetSetting {
                name: arguments.value("name of a setting")?,
                value: arguments.value("JSON value")?,
            },
            "pin_known_endpoints" => GatewayStep::PinKnownEndpoints,
            "inject_faults" => GatewayStep::InjectFaults,
            "fail_calls" => GatewayStep::FailCalls {
                call: arguments.value("system call")?,
                error_number: parse_error_number(arguments)?,
                count: arguments.value("count")?,
            },
            "wall_clock_offset_seconds" => GatewayStep::SetWallClockOffset {
                seconds: arguments.value("seconds")?,
            },
            "limit_transfer_bytes" => GatewayStep::LimitTransfers {
                max_bytes: arguments.value("number of bytes")?,
            },
            "stall_write_ms" => GatewayStep::StallWrite {
                milliseconds: arguments.value("milliseconds")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_kill_delay(arguments: &mut Arguments) -> Result<Duration, StepError> {
    let delay_ms: Option<u64> = optional_named_value(arguments, "after_ms")?;
    Ok(delay_ms.map_or(MIN_KILL_DELAY, Duration::from_millis))
}

/// Parses the name of an `errno` value.
fn parse_error_number(arguments: &mut Arguments) -> Result<i32, StepError> {
    let number = match arguments.word("errno name")? {
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
        other => return Err(invalid("errno name", other)),
    };
    Ok(number)
}
