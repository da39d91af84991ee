//! What decides at the gateways of a simulated day: the decisions themselves, in this process, or those of
//! another build, asked over the simulator's wire. Either is handed what happened and says what it does.

use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::*;

/// Something that happened at a gateway.
pub enum GatewayEvent {
    Start { settings: Value, seed: u64 },
    Killed,
    EndpointUpdate(EndpointUpdate),
    Arrived(Request),
    Ended(RequestId, AttemptNumber, AttemptResult),
    Counted(CounterName, CounterReply),
    Gone(RequestId),
    Woken(TimerToken),
}

/// Something that a gateway does.
#[derive(Clone, Debug)]
pub enum GatewayAction {
    Send(RequestId, EndpointId, Duration),
    Cancel(RequestId, AttemptNumber),
    Limit(RequestId, Duration),
    Error(RequestId),
    Count(CounterName, f64, Duration),
    Wake(TimerToken, Duration),
    Tell(Option<u32>, Vec<u8>),
}

pub trait DecisionEngine {
    /// Something has happened at a gateway.
    fn deliver(&mut self, now: Duration, gateway: usize, event: GatewayEvent)
        -> Result<(), String>;
    /// All that has been done since, in its order.
    fn actions(&mut self) -> Result<Vec<(usize, GatewayAction)>, String>;
}

// ---- in this process ----

type ActionLog = Rc<RefCell<Vec<(usize, GatewayAction)>>>;

struct EnginePort {
    gateway: usize,
    log: ActionLog,
}

impl EnginePort {
    fn record(&mut self, action: GatewayAction) {
        self.log.borrow_mut().push((self.gateway, action));
    }
}

impl Port for EnginePort {
    fn send(&mut self, call: &RequestId, server: &EndpointId, timeout: Duration, _: Duration) {
        self.record(GatewayAction::Send(call.clone(), server.clone(), timeout));
    }
    fn cancel(&mut self, call: &RequestId, number: AttemptNumber) {
        self.record(GatewayAction::Cancel(call.clone(), number));
    }
    fn reject(&mut self, call: &RequestId, retry_after: Duration) {
        self.record(GatewayAction::Limit(call.clone(), retry_after));
    }
    fn fail(&mut self, call: &RequestId) {
        self.record(GatewayAction::Error(call.clone()));
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, keep: Duration) {
        self.record(GatewayAction::Count(name, add, keep));
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.record(GatewayAction::Wake(token, at));
    }
    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        self.record(GatewayAction::Tell(peer, body.to_vec()));
    }
    // The world needs none of these: it tells the list by itself, and the decisions send no probes.
    fn probe(&mut self, _: &EndpointId) {}
    fn subscribe(&mut self, _: bool) {}
    fn refetch_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: &EndpointId) {}
    fn log(&mut self, _: &str) {}
}

#[derive(Default)]
pub struct InProcess {
    controls: BTreeMap<usize, AdmissionController>,
    log: ActionLog,
}

impl DecisionEngine for InProcess {
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), String> {
        let event = match event {
            GatewayEvent::Start { settings, seed } => {
                let settings =
                    wellcrank_settings::decode(&settings).map_err(|error| error.to_string())?;
                let port = EnginePort {
                    gateway,
                    log: self.log.clone(),
                };
                self.controls.insert(
                    gateway,
                    AdmissionController::new(Rc::new(settings), seed, now, Box::new(port)),
                );
                return Ok(());
            }
            GatewayEvent::Killed => {
                self.controls.remove(&gateway);
                return Ok(());
            }
            event => event,
        };
        let Some(control) = self.controls.get_mut(&gateway) else {
            return Ok(());
        };
        control.set_time(now);
        match event {
            GatewayEvent::EndpointUpdate(update) => control.on_endpoint_update(
                UpdateTiming {
                    unix_now: UnixTime(now),
                    since_last_update: None,
                },
                update,
            ),
            GatewayEvent::Arrived(arrival) => control.on_request(arrival),
            GatewayEvent::Ended(call, number, end) => control.on_attempt_end(&call, number, end),
            GatewayEvent::Counted(name, counted) => control.on_counter_reply(name, counted),
            GatewayEvent::Gone(call) => control.on_client_disconnect(&call),
            GatewayEvent::Woken(token) => control.on_timer(token),
            GatewayEvent::Start { .. } | GatewayEvent::Killed => (),
        }
        Ok(())
    }

    fn actions(&mut self) -> Result<Vec<(usize, GatewayAction)>, String> {
        Ok(std::mem::take(&mut *self.log.borrow_mut()))
    }
}

// ---- another build, over the simulator's wire ----

pub struct ExternalEngine {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    batch: String,
    at: Option<Duration>,
    actions: Vec<(usize, GatewayAction)>,
}

fn nanos(span: Duration) -> u64 {
    span.as_nanos() as u64
}

impl ExternalEngine {
    pub fn start(program: &str) -> Result<ExternalEngine, String> {
        let child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|error| format!("{program}: {error}"))?;
        let input = child.stdin.take().ok_or("no input to the other build")?;
        let output = BufReader::new(child.stdout.take().ok_or("no output of the other build")?);
        Ok(ExternalEngine {
            child,
            input,
            output,
            batch: String::new(),
            at: None,
            actions: Vec::new(),
        })
    }

    fn event(&mut self, now: Duration, event: Value) -> Result<(), String> {
        if self.at != Some(now) {
            self.flush()?;
            self.at = Some(now);
            self.batch.push_str(&format!(
                "{}\n",
                json!({"event_type": "frame", "wall_ns": nanos(now)})
            ));
        }
        self.batch.push_str(&format!("{event}\n"));
        Ok(())
    }

    /// Sends what has been collected, and reads what is done about it.
    fn flush(&mut self) -> Result<(), String> {
        if self.batch.is_empty() {
            return Ok(());
        }
        self.batch.push_str("{\"event_type\":\"eob\"}\n");
        let sent = self
            .input
            .write_all(self.batch.as_bytes())
            .and_then(|()| self.input.flush());
        sent.map_err(|error| format!("the other build takes nothing more: {error}"))?;
        self.batch.clear();
        self.at = None;
        loop {
            let mut line = String::new();
            let read = self
                .output
                .read_line(&mut line)
                .map_err(|error| error.to_string())?;
            if read == 0 {
                return Err("the other build has ended".into());
            }
            let said: Value =
                serde_json::from_str(&line).map_err(|error| format!("the other build: {error}"))?;
            if said["event_type"] == "finished" {
                return Ok(());
            }
            let gateway = said["i"].as_u64().unwrap_or(0) as usize;
            if let Some(action) = action(&said) {
                self.actions.push((gateway, action));
            }
        }
    }
}

/// An action on the simulator's wire; none where the world needs none.
fn action(said: &Value) -> Option<GatewayAction> {
    let text = |name: &str| said[name].as_str().unwrap_or_default();
    let span = |name: &str| Duration::from_nanos(said[name].as_u64().unwrap_or(0));
    let call = || RequestId::from(text("txn"));
    Some(match text("event_type") {
        "transmit" => GatewayAction::Send(call(), text("server").into(), span("timeout_ns")),
        "undo_send" => GatewayAction::Cancel(
            call(),
            AttemptNumber(said["attempt"].as_u64().unwrap_or(0) as u32),
        ),
        "turn_away" => GatewayAction::Limit(call(), span("backoff_ns")),
        "give_up" => GatewayAction::Error(call()),
        "bump" => {
            let name = CounterName(said["name"].as_u64().unwrap_or(0));
            GatewayAction::Count(
                name,
                said["step"].as_f64().unwrap_or(0.0),
                span("expire_in_ns"),
            )
        }
        "defer" => GatewayAction::Wake(
            TimerToken(said["token"].as_u64().unwrap_or(0)),
            span("due_at_ns"),
        ),
        "post" => {
            let body = text("body");
            let bytes = (0..body.len() / 2)
                .filter_map(|at| u8::from_str_radix(&body[at * 2..at * 2 + 2], 16).ok());
            GatewayAction::Tell(
                said["recipient"].as_u64().map(|peer| peer as u32),
                bytes.collect(),
            )
        }
        _ => return None,
    })
}

impl DecisionEngine for ExternalEngine {
    fn deliver(
        &mut self,
        now: Duration,
        gateway: usize,
        event: GatewayEvent,
    ) -> Result<(), String> {
        let event = match event {
            GatewayEvent::Start { settings, seed } => {
                json!({"event_type": "open_instance", "i": gateway, "config": settings, "salt": seed})
            }
            GatewayEvent::Killed => json!({"event_type": "crash_now", "i": gateway}),
            GatewayEvent::EndpointUpdate(update) => {
                let (whole, lines) = match update {
                    EndpointUpdate::Snapshot(lines) => (true, lines),
                    EndpointUpdate::Delta(lines) => (false, lines),
                };
                let lines: Vec<Value> = lines.iter().map(|line| json!({
                    "server": &*line.id.0, "pod": line.cell, "region_part": line.zone, "hw": line.machine_type,
                    "weight": line.weight, "since_ns": line.started_at.map_or(0, |at| nanos(at.0)),
                    "phase": match line.state { EndpointState::Ready => "IN", EndpointState::Draining => "LAME", EndpointState::Removed => "OUT" },
                })).collect();
                json!({"event_type": "fleet", "i": gateway, "scope": if whole { "F" } else { "D" }, "lines": lines})
            }
            GatewayEvent::Arrived(it) => json!({
                "event_type": "inbound", "i": gateway, "txn": &*it.id.0, "holder": &*it.customer.0,
                "plan": &*it.plan.0, "qos": &*it.route.0, "size_units": it.units,
                "valid_until_ns": nanos(it.deadline), "from_no": it.first_gateway, "spread": it.gateway_count,
            }),
            GatewayEvent::Ended(call, number, end) => json!({
                "event_type": "report_back", "i": gateway, "txn": &*call.0, "attempt": number.0,
                "lag_ns": nanos(end.latency), "closed": end.request_closed, "settled": end.settled_units, "pressure": end.load,
                "disposition": match end.outcome {
                    AttemptOutcome::Success => "S",
                    AttemptOutcome::ServerError => "E",
                    AttemptOutcome::Rejected => "F",
                    AttemptOutcome::TimedOut => "T",
                    AttemptOutcome::ConnectFailed => "C",
                    AttemptOutcome::Reset => "R",
                    AttemptOutcome::Cancelled => "X",
                    AttemptOutcome::NotSent => "N",
                },
            }),
            GatewayEvent::Counted(name, counted) => {
                let (how, total) = match counted {
                    CounterReply::Total(total) => ("S", Some(total)),
                    CounterReply::Applied | CounterReply::Unknown => ("T", None),
                    CounterReply::NotApplied => ("F", None),
                };
                json!({"event_type": "tallied", "i": gateway, "name": name.0, "disposition": how, "total": total})
            }
            GatewayEvent::Gone(call) => {
                json!({"event_type": "vanished", "i": gateway, "txn": &*call.0})
            }
            GatewayEvent::Woken(token) => {
                json!({"event_type": "wake", "i": gateway, "token": token.0})
            }
        };
        self.event(now, event)
    }

    fn actions(&mut self) -> Result<Vec<(usize, GatewayAction)>, String> {
        self.flush()?;
        Ok(std::mem::take(&mut self.actions))
    }
}

impl Drop for ExternalEngine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
