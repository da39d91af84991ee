//! The controllers of another build, in a process of its own that speaks the simulator's wire: JSON lines over
//! pipes, in batches of all that happens at one moment.

use super::{DecisionEngine, DecisionEngineError, GatewayAction, GatewayEvent, IssuedAction};
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, AttemptResult, CounterName, CounterReply, Endpoint,
    EndpointState, EndpointUpdate, Request, RequestId, TimerToken,
};

/// The line that ends a batch; the other build answers it with its actions and a `finished`.
const END_OF_BATCH: &str = "{\"event_type\":\"eob\"}\n";

/// The other build and what has been exchanged with it.
pub struct ExternalEngine {
    program: String,
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    /// Lines of the moment `batch_time` that are not sent yet.
    batch: String,
    batch_time: Option<Duration>,
    actions: Vec<IssuedAction>,
}

impl ExternalEngine {
    /// Starts a build's adapter to the simulator.
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

    /// Adds an event to the batch of its moment; the batch of an earlier moment is sent first.
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

    /// Sends the batch, and reads the actions that answer it.
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

fn nanoseconds(span: Duration) -> u64 {
    span.as_nanos() as u64
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

/// An action on the simulator's wire; none where the simulated run needs none.
fn decode_action(line: &Value) -> Option<GatewayAction> {
    let text = |field: &str| line[field].as_str().unwrap_or_default();
    let integer = |field: &str| line[field].as_u64().unwrap_or(0);
    let span = |field: &str| Duration::from_nanos(integer(field));
    let request = RequestId::from(text("txn"));
    Some(match text("event_type") {
        "transmit" => GatewayAction::Send {
            request,
            endpoint: text("server").into(),
            timeout: span("timeout_ns"),
        },
        "undo_send" => GatewayAction::Cancel {
            request,
            attempt: AttemptNumber(integer("attempt") as u32),
        },
        "turn_away" => GatewayAction::Reject {
            request,
            retry_after: span("backoff_ns"),
        },
        "give_up" => GatewayAction::Fail { request },
        "bump" => GatewayAction::AddToCounter {
            name: CounterName(integer("name")),
            amount: line["step"].as_f64().unwrap_or(0.0),
            ttl: span("expire_in_ns"),
        },
        "defer" => GatewayAction::SetTimer {
            token: TimerToken(integer("token")),
            at: span("due_at_ns"),
        },
        "post" => GatewayAction::SendToPeer {
            peer: line["recipient"].as_u64().map(|peer| peer as u32),
            body: decode_hex(text("body")),
        },
        _ => return None,
    })
}

/// The bytes of a text of hexadecimal digits; pairs that are none are left out.
fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .filter_map(|index| u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok())
        .collect()
}
