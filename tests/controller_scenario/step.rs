//! The steps of the controller's scenarios and their parser. `tests/scenarios.rs` describes the notation.

use super::recorder::{Rejection, SentAttempt};
use crate::step_arguments::{invalid, parse_value, Arguments, StepError};
use std::time::Duration;
use wellcrank::port::{
    AttemptOutcome, CounterReply, Endpoint, EndpointState, EndpointUpdate, UnixTime,
};

/// One step of a scenario.
#[derive(Debug)]
pub(crate) enum Step {
    /// Applies the settings of a file.
    UseSettings { file: String },
    /// Changes one setting.
    SetSetting { name: String, value: String },
    /// Gives the current settings to the controller.
    Reconfigure,
    /// Advances the clock to a time.
    AdvanceTo(Duration),
    /// Advances the clock until the controller does something.
    AdvanceUntilAction,
    /// Expects that no timer but the periodic one is set.
    ExpectNoTimer,
    /// Discovery sends an update of the endpoint list.
    UpdateEndpoints(EndpointUpdate),
    /// A request arrives.
    Request(RequestArguments),
    /// The counter replies to the oldest unanswered addition to the value with this label.
    ReplyFromCounter { label: String, reply: CounterReply },
    /// An attempt ends.
    EndAttempt {
        request: String,
        attempt: u32,
        outcome: AttemptOutcome,
        settled_units: Option<f64>,
    },
    /// The client of a request disconnects.
    Disconnect { request: String },
    /// Expects this action as the controller's next one.
    Expect(ExpectedAction),
}

/// The arguments of a step `request`.
#[derive(Debug)]
pub(crate) struct RequestArguments {
    /// The request's id.
    pub(crate) request: String,
    /// The customer that sent it.
    pub(crate) customer: String,
    /// The customer's plan.
    pub(crate) plan: String,
    /// The requested route.
    pub(crate) route: String,
    /// The client's timeout.
    pub(crate) timeout: Duration,
    /// The request's units, or `None` for 1.
    pub(crate) units: Option<f64>,
}

/// A value that a scenario expects, or `*` for any.
#[derive(Debug)]
pub(crate) enum Expected<T> {
    Any,
    /// This value only.
    Exactly(T),
}

impl Expected<String> {
    /// Returns whether a text is as expected.
    pub(crate) fn matches(&self, actual: &str) -> bool {
        match self {
            Expected::Any => true,
            Expected::Exactly(expected) => expected == actual,
        }
    }
}

impl Expected<f64> {
    /// Returns whether a number is as expected; compares all bits.
    pub(crate) fn matches(&self, actual: f64) -> bool {
        match self {
            Expected::Any => true,
            Expected::Exactly(expected) => expected.total_cmp(&actual).is_eq(),
        }
    }
}

/// An attempt that a scenario expects to be started.
#[derive(Debug)]
pub(crate) struct ExpectedAttempt {
    request: String,
    endpoint: Expected<String>,
    /// The time in seconds by which it must be sent, or `None` without a limit.
    send_by: Option<f64>,
}

impl ExpectedAttempt {
    /// Returns whether an attempt is as expected.
    pub(crate) fn matches(&self, attempt: &SentAttempt) -> bool {
        let send_by = attempt.send_by.map(|send_by| send_by.as_secs_f64());
        self.request == attempt.request
            && self.endpoint.matches(&attempt.endpoint)
            && self.send_by == send_by
    }
}

/// A rejection that a scenario expects.
#[derive(Debug)]
pub(crate) struct ExpectedRejection {
    request: String,
    /// The time in seconds after which the client may retry.
    retry_after: Expected<f64>,
}

impl ExpectedRejection {
    /// Returns whether a rejection is as expected.
    pub(crate) fn matches(&self, rejection: &Rejection) -> bool {
        self.request == rejection.request
            && self
                .retry_after
                .matches(rejection.retry_after.as_secs_f64())
    }
}

/// An action that a scenario expects.
#[derive(Debug)]
pub(crate) enum ExpectedAction {
    /// An attempt is started.
    Send(ExpectedAttempt),
    /// An attempt is cancelled.
    Cancel { request: String, attempt: u32 },
    /// A request is rejected.
    Reject(ExpectedRejection),
    /// A request fails.
    Fail { request: String },
    /// An amount is added to the value on the counter to which the label is bound.
    AddToCounter {
        label: String,
        amount: Expected<f64>,
    },
}

impl Step {
    /// Parses one step.
    pub(crate) fn parse(text: &str) -> Result<Step, StepError> {
        let mut arguments = Arguments::new(text);
        let verb = arguments.word("step")?;
        let step = match verb {
            "use" => Step::UseSettings {
                file: arguments.value("settings file")?,
            },
            "set" => Step::SetSetting {
                name: arguments.value("setting name")?,
                value: arguments.value("value")?,
            },
            "reconfigure" => Step::Reconfigure,
            "at" => Step::AdvanceTo(parse_seconds("time", arguments.word("time")?)?),
            "wait" => Step::AdvanceUntilAction,
            "no_timer" => Step::ExpectNoTimer,
            "endpoints" => Step::UpdateEndpoints(parse_update(&mut arguments)?),
            "request" => Step::Request(RequestArguments::parse(&mut arguments)?),
            "reply" => Step::ReplyFromCounter {
                label: arguments.value("label")?,
                reply: parse_reply(&mut arguments)?,
            },
            "attempt" => Step::EndAttempt {
                request: arguments.value("request")?,
                attempt: arguments.value("attempt number")?,
                outcome: parse_outcome(arguments.word("outcome")?)?,
                settled_units: arguments.optional_value("settled units")?,
            },
            "disconnect" => Step::Disconnect {
                request: arguments.value("request")?,
            },
            ">" => Step::Expect(ExpectedAction::parse(&mut arguments)?),
            other => return Err(StepError::UnknownStep(other.to_string())),
        };
        arguments.end()?;
        Ok(step)
    }
}

impl RequestArguments {
    fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        Ok(RequestArguments {
            request: arguments.value("request")?,
            customer: arguments.value("customer")?,
            plan: arguments.value("plan")?,
            route: arguments.value("route")?,
            timeout: parse_seconds("timeout", arguments.word("timeout")?)?,
            units: arguments.optional_value("units")?,
        })
    }
}

impl ExpectedAction {
    fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let action = match arguments.word("action")? {
            "send" => ExpectedAction::Send(ExpectedAttempt {
                request: arguments.value("request")?,
                endpoint: parse_expected("endpoint", arguments)?,
                send_by: parse_send_by(arguments)?,
            }),
            "cancel" => ExpectedAction::Cancel {
                request: arguments.value("request")?,
                attempt: arguments.value("attempt number")?,
            },
            "reject" => ExpectedAction::Reject(ExpectedRejection {
                request: arguments.value("request")?,
                retry_after: parse_expected("retry-after", arguments)?,
            }),
            "fail" => ExpectedAction::Fail {
                request: arguments.value("request")?,
            },
            "add" => ExpectedAction::AddToCounter {
                label: arguments.value("label")?,
                amount: parse_expected("amount", arguments)?,
            },
            other => return Err(invalid("action", other)),
        };
        Ok(action)
    }
}

/// Parses a duration or a time in seconds.
fn parse_seconds(argument: &'static str, word: &str) -> Result<Duration, StepError> {
    let seconds = parse_value(argument, word)?;
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid(argument, word))
}

fn parse_expected<T: std::str::FromStr>(
    argument: &'static str,
    arguments: &mut Arguments,
) -> Result<Expected<T>, StepError> {
    match arguments.word(argument)? {
        "*" => Ok(Expected::Any),
        word => parse_value(argument, word).map(Expected::Exactly),
    }
}

/// Parses the optional words `by SECOND`, the time by which an attempt must be sent.
fn parse_send_by(arguments: &mut Arguments) -> Result<Option<f64>, StepError> {
    match arguments.optional_word() {
        None => Ok(None),
        Some("by") => arguments.value("time").map(Some),
        Some(other) => Err(StepError::Unexpected(other.to_string())),
    }
}

fn parse_reply(arguments: &mut Arguments) -> Result<CounterReply, StepError> {
    match arguments.word("reply")? {
        "total" => arguments.value("total").map(CounterReply::Total),
        "applied" => Ok(CounterReply::Applied),
        "not_applied" => Ok(CounterReply::NotApplied),
        "unknown" => Ok(CounterReply::Unknown),
        other => Err(invalid("reply", other)),
    }
}

fn parse_outcome(word: &str) -> Result<AttemptOutcome, StepError> {
    match word {
        "success" => Ok(AttemptOutcome::Success),
        "server_error" => Ok(AttemptOutcome::ServerError),
        "rejected" => Ok(AttemptOutcome::Rejected),
        "timed_out" => Ok(AttemptOutcome::TimedOut),
        "connect_failed" => Ok(AttemptOutcome::ConnectFailed),
        "reset" => Ok(AttemptOutcome::Reset),
        "not_sent" => Ok(AttemptOutcome::NotSent),
        other => Err(invalid("outcome", other)),
    }
}

/// Parses the complete list of endpoints, or after the word `changed` only those that have changed.
fn parse_update(arguments: &mut Arguments) -> Result<EndpointUpdate, StepError> {
    let words: Vec<&str> = arguments.words().collect();
    let (is_delta, words) = match words[..] {
        ["changed", ref changed @ ..] => (true, changed),
        ref all => (false, all),
    };
    let endpoints = words
        .iter()
        .map(|word| parse_endpoint(word))
        .collect::<Result<Vec<Endpoint>, StepError>>()?;
    if is_delta {
        return Ok(EndpointUpdate::Delta(endpoints));
    }
    Ok(EndpointUpdate::Snapshot(endpoints))
}

/// Parses `NAME[/CELL][~MACHINE_TYPE][@START_SECOND][!|-]`; `!` marks a draining endpoint and `-` a removed one.
fn parse_endpoint(word: &str) -> Result<Endpoint, StepError> {
    let state = match word.chars().last() {
        Some('!') => EndpointState::Draining,
        Some('-') => EndpointState::Removed,
        _ => EndpointState::Ready,
    };
    let entry = word.trim_end_matches(['!', '-']);
    let (entry, started_at) = match entry.split_once('@') {
        Some((entry, started_at)) => (
            entry,
            Some(parse_seconds("start time of an endpoint", started_at)?),
        ),
        None => (entry, None),
    };
    let (entry, machine_type) = entry.split_once('~').unwrap_or((entry, ""));
    let (name, cell) = entry.split_once('/').unwrap_or((entry, "0"));
    Ok(Endpoint {
        id: name.into(),
        state,
        started_at: started_at.map(UnixTime),
        cell: parse_value("cell", cell)?,
        zone: String::new(),
        machine_type: machine_type.to_string(),
        weight: 1.0,
    })
}
