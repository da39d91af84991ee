//! Steps about clients.

use super::escaped_bytes;
use crate::node_scenario::stand_ins::{Received, RequestArguments};
use crate::step_arguments::{Arguments, StepError};

/// A step about one client, or about many at once.
#[derive(Debug)]
pub(crate) enum ClientStep {
    /// A client connects.
    Connect { client: String },
    /// So many clients connect at once and leave.
    ConnectBurst { count: usize },
    /// A client sends a request.
    Request {
        client: String,
        request: RequestArguments,
    },
    /// A client sends bytes.
    SendBytes { client: String, bytes: String },
    /// A client sends so many KiB of no command.
    SendKib { client: String, kib: usize },
    /// A client receives this next; with `is_there`, it has come already.
    Receive {
        client: String,
        expected: ExpectedReply,
        is_there: bool,
    },
    /// The node has not reset a client's connection.
    ExpectNotReset { client: String },
    /// A client ends its sending and goes on receiving.
    ShutDownSending { client: String },
    /// A client closes its connection.
    Disconnect { client: String },
}

/// What a client is to receive.
#[derive(Debug)]
pub(crate) enum ExpectedReply {
    /// The end of the connection.
    Closed,
    /// A reset of the connection.
    Reset,
    /// This line, or `$` and this value.
    Exactly(String),
    /// A line or value that begins so.
    StartsWith(String),
}

impl ExpectedReply {
    fn parse(text: &str) -> Self {
        match text {
            "closed" => ExpectedReply::Closed,
            "reset" => ExpectedReply::Reset,
            text => match text.strip_suffix('*') {
                Some(start) => ExpectedReply::StartsWith(start.to_string()),
                None => ExpectedReply::Exactly(text.to_string()),
            },
        }
    }

    /// Whether this is what came.
    pub(crate) fn matches(&self, received: &Received) -> bool {
        match (self, received) {
            (ExpectedReply::Closed, Received::Closed) => true,
            (ExpectedReply::Reset, Received::Reset) => true,
            (ExpectedReply::Exactly(text), Received::Line(_) | Received::Value(_)) => {
                *text == received.to_string()
            }
            (ExpectedReply::StartsWith(start), Received::Line(_) | Received::Value(_)) => {
                received.to_string().starts_with(start)
            }
            _ => false,
        }
    }
}

impl ClientStep {
    /// Reads a step that begins with this word, if it is about clients.
    pub(super) fn parse(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "connect_burst" => ClientStep::ConnectBurst {
                count: arguments.value("count")?,
            },
            "connect" => ClientStep::Connect {
                client: arguments.value("client")?,
            },
            "request" => ClientStep::Request {
                client: arguments.value("client")?,
                request: parse_request(arguments)?,
            },
            "send_bytes" => ClientStep::SendBytes {
                client: arguments.value("client")?,
                bytes: escaped_bytes(arguments)?,
            },
            "send_kib" => ClientStep::SendKib {
                client: arguments.value("client")?,
                kib: arguments.value("KiB")?,
            },
            "receive" | "receive_now" => ClientStep::Receive {
                client: arguments.value("client")?,
                expected: ExpectedReply::parse(arguments.text("reply")?),
                is_there: verb == "receive_now",
            },
            "not_reset" => ClientStep::ExpectNotReset {
                client: arguments.value("client")?,
            },
            "shut_down_sending" => ClientStep::ShutDownSending {
                client: arguments.value("client")?,
            },
            "disconnect" => ClientStep::Disconnect {
                client: arguments.value("client")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_request(arguments: &mut Arguments) -> Result<RequestArguments, StepError> {
    Ok(RequestArguments {
        request: arguments.value("request")?,
        route: arguments.value("route")?,
        plan: arguments.value("plan")?,
        timeout_ms: arguments.value("timeout")?,
        body_size: arguments.optional_value("size of the body")?,
    })
}
