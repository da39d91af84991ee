//! Runs the controllers of another build in a child process, through the protocol of its simulator adapter: JSON
//! lines over pipes, in batches of the events that have the same time.

use super::{DecisionEngine, DecisionEngineError, GatewayAction, GatewayEvent, IssuedAction};
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, AttemptResult, CounterName, CounterReply, Endpoint,
    EndpointState, EndpointUpdate, Request, RequestId, TimerToken,
};

/// The line that ends a batch. The child process replies with its actions, followed by a `finished` line.
const END_OF_BATCH: &str = "{\"event_type\":\"eob\"}\n";

/// The child process that runs another build's controllers, and the messages exchanged with it.
pub struct ExternalEngine {
    program: String,
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    /// Lines of the events at `batch_time` that have not been sent yet.
    batch: String,
    batch_time: Option<Duration>,
    actions: Vec<IssuedAction>,
}

impl ExternalEngine {
    /// Starts the simulator adapter of another build. `program` is the path of its executable.
    ///
    /// Fails if the process or its pipes can't be created.
    pub fn start(program: &str) -> Result<ExternalEngine, DecisionEngineError> {
        let start_error = |source| DecisionEngineError::Start {
            program: program.to_string(),
            source,
        };
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(start_error)?;
        let missing_pipe = || start_error(io::ErrorKind::BrokenPipe.into());
        let input = child.stdin.take().ok_or_else(missing_pipe)?;
        let output = child.stdout.take().ok_or_else(missing_pipe)?;
        Ok(ExternalEngine {
            program: program.to_string(),
            child,
            input,
            output: BufReader::new(output),
            batch: String::new(),
            batch_time: None,
            actions: Vec::new(),
        })
    }

    fn pipe_error(&self, source: io::Error) -> DecisionEngineError {
        DecisionEngineError::Pipe {
            program: self.program.clone(),
            source,
        }
    }

    /// Adds an event to the current batch. If that batch has another time, it is sent first and a new one begins.
    fn push_event(&mut self, now: Duration, event: &Value) -> Result<(), DecisionEngineError> {
        if self.batch_time != Some(now) {
            self.exchange_batch()?;
            self.batch_time = Some(now);
            let frame = json!({"event_type": "frame", "wall_ns": nanoseconds(now)});
            self.batch.push_str(&format!("{frame}\n"));
        }
        self.batch.push_str(&format!("{event}\n"));
        Ok(())
    }

    /// Sends the current batch, unless it is empty, and reads the actions that the child process replies with.
    fn exchange_batch(&mut self) -> Result<(), DecisionEngineError> {
        if self.batch.is_empty() {
            return Ok(());
        }
        self.batch.push_str(END_OF_BATCH);
        let sent = self.input.write_all(self.batch.as_bytes());
        sent.and_then(|()| self.input.flush())
            .map_err(|source| self.pipe_error(source))?;
        self.batch.clear();
        self.batch_time = None;
        loop {
            let line = self.read_line()?;
            if line["event_type"] == "finished" {
                return Ok(());
            }
            let gateway = line["i"].as_u64().unwrap_or(0) as usize;
            if let Some(action) = decode_action(&line) {
                self.actions.push(IssuedAction { gateway, action });
            }
        }
    }

    fn read_line(&mut self) -> Result<Value, DecisionEngineError> {
        let mut line = String::new();
        let length = self.output.read_line(&mut line);
        if length.map_err(|source| self.pipe_error(source))? == 0 {
            return Err(self.pipe_error(io::ErrorKind::UnexpectedEof.into()));
        }
        serde_json::from_str(&line).map_err(|source| DecisionEngineError::Line {
            program: self.program.clone(),
            line: line.trim_end().to_string(),
            source,
        })
    }
}

impl DecisionEngine for ExternalEngine {
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), DecisionEngineError> {
        self.push_event(now, &encode_event(gateway, event))
    }

    fn take_actions(&mut self) -> Result<Vec<IssuedAction>, DecisionEngineError> {
        self.exchange_batch()?;
        Ok(std::mem::take(&mut self.actions))
    }
}

impl Drop for ExternalEngine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}

fn encode_event(gateway: usize, event: GatewayEvent) -> Value {
    match event {
        GatewayEvent::Start { settings, seed } => {
            json!({"event_type": "open_instance", "i": gateway, "config": settings, "salt": seed})
        }
        GatewayEvent::Kill => json!({"event_type": "crash_now", "i": gateway}),
        GatewayEvent::EndpointUpdate(update) => encode_endpoint_update(gateway, &update),
        GatewayEvent::Request(request) => encode_request(gateway, &request),
        GatewayEvent::AttemptEnd {
            request,
            attempt,
            result,
        } => encode_attempt_end(gateway, &request, attempt, &result),
        GatewayEvent::CounterReply { name, reply } => encode_counter_reply(gateway, name, reply),
        GatewayEvent::ClientDisconnect(request) => {
            json!({"event_type": "vanished", "i": gateway, "txn": &*request.0})
        }
        GatewayEvent::Timer(token) => {
            json!({"event_type": "wake", "i": gateway, "token": token.0})
        }
    }
}

fn encode_endpoint_update(gateway: usize, update: &EndpointUpdate) -> Value {
    let (scope, endpoints) = match update {
        EndpointUpdate::Snapshot(endpoints) => ("F", endpoints),
        EndpointUpdate::Delta(endpoints) => ("D", endpoints),
    };
    let lines: Vec<Value> = endpoints.iter().map(encode_endpoint).collect();
    json!({"event_type": "fleet", "i": gateway, "scope": scope, "lines": lines})
}

fn encode_endpoint(endpoint: &Endpoint) -> Value {
    let phase = match endpoint.state {
        EndpointState::Ready => "IN",
        EndpointState::Draining => "LAME",
        EndpointState::Removed => "OUT",
    };
    json!({
        "server": &*endpoint.id.0, "pod": endpoint.cell, "region_part": endpoint.zone,
        "hw": endpoint.machine_type, "weight": endpoint.weight,
        "since_ns": endpoint.started_at.map_or(0, |started_at| nanoseconds(started_at.0)),
        "phase": phase,
    })
}

fn encode_request(gateway: usize, request: &Request) -> Value {
    json!({
        "event_type": "inbound", "i": gateway, "txn": &*request.id.0, "holder": &*request.customer.0,
        "plan": &*request.plan.0, "qos": &*request.route.0, "size_units": request.units,
        "valid_until_ns": nanoseconds(request.deadline), "from_no": request.first_gateway,
        "spread": request.gateway_count,
    })
}

fn encode_attempt_end(
    gateway: usize,
    request: &RequestId,
    attempt: AttemptNumber,
    result: &AttemptResult,
) -> Value {
    let disposition = match result.outcome {
        AttemptOutcome::Success => "S",
        AttemptOutcome::ServerError => "E",
        AttemptOutcome::Rejected => "F",
        AttemptOutcome::TimedOut => "T",
        AttemptOutcome::ConnectFailed => "C",
        AttemptOutcome::Reset => "R",
        AttemptOutcome::Cancelled => "X",
        AttemptOutcome::NotSent => "N",
    };
    json!({
        "event_type": "report_back", "i": gateway, "txn": &*request.0, "attempt": attempt.0,
        "lag_ns": nanoseconds(result.latency), "closed": result.request_closed,
        "settled": result.settled_units, "pressure": result.load, "disposition": disposition,
    })
}

fn encode_counter_reply(gateway: usize, name: CounterName, reply: CounterReply) -> Value {
    let (disposition, total) = match reply {
        CounterReply::Total(total) => ("S", Some(total)),
        CounterReply::Applied | CounterReply::Unknown => ("T", None),
        CounterReply::NotApplied => ("F", None),
    };
    json!({
        "event_type": "tallied", "i": gateway, "name": name.0, "disposition": disposition, "total": total,
    })
}

/// Decodes an action from a line of the simulator protocol. Returns `None` for actions that simulated runs ignore.
fn decode_action(line: &Value) -> Option<GatewayAction> {
    let text = |field: &str| line[field].as_str().unwrap_or_default();
    let integer = |field: &str| line[field].as_u64().unwrap_or(0);
    let duration = |field: &str| Duration::from_nanos(integer(field));
    let request = RequestId::from(text("txn"));
    Some(match text("event_type") {
        "transmit" => GatewayAction::Send {
            request,
            endpoint: text("server").into(),
            timeout: duration("timeout_ns"),
        },
        "undo_send" => GatewayAction::Cancel {
            request,
            attempt: AttemptNumber(integer("attempt") as u32),
        },
        "turn_away" => GatewayAction::Reject {
            request,
            retry_after: duration("backoff_ns"),
        },
        "give_up" => GatewayAction::Fail { request },
        "bump" => GatewayAction::AddToCounter {
            name: CounterName(integer("name")),
            amount: line["step"].as_f64().unwrap_or(0.0),
            ttl: duration("expire_in_ns"),
        },
        "defer" => GatewayAction::SetTimer {
            token: TimerToken(integer("token")),
            at: duration("due_at_ns"),
        },
        "post" => GatewayAction::SendToPeer {
            peer: line["recipient"].as_u64().map(|peer| peer as u32),
            body: decode_hex(text("body")),
        },
        _ => return None,
    })
}

/// Decodes a text of hexadecimal digits into bytes. Pairs that are not hexadecimal are skipped.
fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .filter_map(|index| u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok())
        .collect()
}
