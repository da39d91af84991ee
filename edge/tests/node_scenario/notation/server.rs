//! Steps about app servers.

use super::escaped_bytes;
use crate::step_arguments::{invalid, parse_value, Arguments, StepError};

/// A step about one app server, or about requests that have come to one.
#[derive(Debug)]
pub(crate) enum ServerStep {
    /// App servers start, each at a new address.
    Start { servers: Vec<String> },
    /// An app server starts to which no connection comes up.
    StartFull { server: String },
    /// Connections come up at such a server from now on.
    AcceptConnections { server: String },
    /// An app server refuses connections from now on.
    CloseListener { server: String },
    /// A connection of the node to a server is coming up.
    ExpectConnecting { server: String },
    /// A connection to a server has ended with no command on it.
    ExpectUnusedConnectionClosed { server: String },
    /// A request comes to a server; none: to any.
    ExpectRequest {
        server: Option<String>,
        request: String,
    },
    /// A request has come to a server already.
    ExpectRequestNow { server: String, request: String },
    /// No request has come that no step has expected.
    ExpectNoRequest,
    /// The command of a request says that no more milliseconds than these are left.
    ExpectRemainingAtMost { request: String, milliseconds: u64 },
    /// The server answers a request.
    Respond { request: String, reply: ServerReply },
    /// The server writes bytes where a request came.
    SendBytes { request: String, bytes: String },
    /// The server ends the connection on which a request came.
    Disconnect { request: String },
    /// The node has ended the connection on which a request came.
    ExpectConnectionClosed { request: String },
    /// Two requests came on the same connection.
    ExpectSameConnection { first: String, second: String },
    /// Two requests came on different connections.
    ExpectDifferentConnections { first: String, second: String },
}

/// An answer of an app server.
#[derive(Debug)]
pub(crate) enum ServerReply {
    /// A value, with the figures that the server reports, if any.
    Value {
        value: String,
        figures: Option<String>,
    },
    /// A line.
    Line(String),
}

impl ServerReply {
    /// The bytes of the answer.
    pub(crate) fn to_resp(&self) -> String {
        match self {
            ServerReply::Line(line) => format!("{line}\r\n"),
            ServerReply::Value { value, figures } => {
                let figures = match figures {
                    None => "$-1".to_string(),
                    Some(figures) => format!("${}\r\n{figures}", figures.len()),
                };
                format!("*3\r\n${}\r\n{value}\r\n{figures}\r\n$-1\r\n", value.len())
            }
        }
    }

    /// `$value [figures]`, where `$x*9` is a value repeated, or a line of one word.
    fn parse(arguments: &mut Arguments) -> Result<Self, StepError> {
        let word = arguments.word("reply")?;
        let Some(value) = word.strip_prefix('$') else {
            return Ok(ServerReply::Line(word.to_string()));
        };
        let value = match value.split_once('*') {
            None => value.to_string(),
            Some((part, times)) => part.repeat(parse_value("repetition of a value", times)?),
        };
        let figures = arguments.optional_value("figures")?;
        Ok(ServerReply::Value { value, figures })
    }
}

impl ServerStep {
    /// Reads a step that begins with this word, if it is about app servers.
    pub(super) fn parse(verb: &str, arguments: &mut Arguments) -> Result<Option<Self>, StepError> {
        if verb == "server" {
            return parse_start(arguments).map(Some);
        }
        if let Some(step) = Self::parse_connection_step(verb, arguments)? {
            return Ok(Some(step));
        }
        Self::parse_request_step(verb, arguments)
    }

    /// Reads a step about the connections to a server.
    fn parse_connection_step(
        verb: &str,
        arguments: &mut Arguments,
    ) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "server_with_full_queue" => ServerStep::StartFull {
                server: arguments.value("server")?,
            },
            "server_accepts" => ServerStep::AcceptConnections {
                server: arguments.value("server")?,
            },
            "server_refuses" => ServerStep::CloseListener {
                server: arguments.value("server")?,
            },
            "connecting_to" => ServerStep::ExpectConnecting {
                server: arguments.value("server")?,
            },
            "unused_connection_closed" => ServerStep::ExpectUnusedConnectionClosed {
                server: arguments.value("server")?,
            },
            "same_connection" => ServerStep::ExpectSameConnection {
                first: arguments.value("request")?,
                second: arguments.value("request")?,
            },
            "different_connections" => ServerStep::ExpectDifferentConnections {
                first: arguments.value("request")?,
                second: arguments.value("request")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }

    /// Reads a step about a request that comes to a server.
    fn parse_request_step(
        verb: &str,
        arguments: &mut Arguments,
    ) -> Result<Option<Self>, StepError> {
        let step = match verb {
            "server_receives" => ServerStep::ExpectRequest {
                server: Some(arguments.value("server")?).filter(|server| server != "*"),
                request: arguments.value("request")?,
            },
            "server_receives_now" => ServerStep::ExpectRequestNow {
                server: arguments.value("server")?,
                request: arguments.value("request")?,
            },
            "no_server_request" => ServerStep::ExpectNoRequest,
            "remaining_time_at_most" => ServerStep::ExpectRemainingAtMost {
                request: arguments.value("request")?,
                milliseconds: arguments.value("milliseconds")?,
            },
            "server_responds" => ServerStep::Respond {
                request: arguments.value("request")?,
                reply: ServerReply::parse(arguments)?,
            },
            "server_sends_bytes" => ServerStep::SendBytes {
                request: arguments.value("request")?,
                bytes: escaped_bytes(arguments)?,
            },
            "server_disconnects" => ServerStep::Disconnect {
                request: arguments.value("request")?,
            },
            "server_connection_closed" => ServerStep::ExpectConnectionClosed {
                request: arguments.value("request")?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_start(arguments: &mut Arguments) -> Result<ServerStep, StepError> {
    let servers: Vec<String> = arguments.words().map(str::to_string).collect();
    if servers.is_empty() {
        return Err(invalid("list of servers", ""));
    }
    Ok(ServerStep::Start { servers })
}
