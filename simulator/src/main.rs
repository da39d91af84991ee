//! The decisions on the simulator's wire: decodes events, puts them in our words, hosts one `AdmissionController` each
//! instance, and writes its actions. Decides nothing; instances share nothing.

use serde_json::{json, Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::*;

/// One event's fields, with plain complaints about what is missing.
struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn maybe(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }
    fn need<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        let value = self
            .maybe(name)
            .ok_or_else(|| format!("field '{name}' is missing"))?;
        read(value).ok_or_else(|| format!("field '{name}' has a wrong value: {value}"))
    }
    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.need(name, Value::as_str)
    }
    fn whole(&self, name: &str) -> Result<u64, String> {
        self.need(name, Value::as_u64)
    }
    fn number(&self, name: &str) -> Result<f64, String> {
        self.need(name, Value::as_f64)
    }
    fn time(&self, name: &str) -> Result<Duration, String> {
        self.whole(name).map(Duration::from_nanos)
    }
    fn outcome(&self) -> Result<AttemptOutcome, String> {
        self.need("disposition", |code| {
            Some(match code.as_str()? {
                "S" => AttemptOutcome::Success,
                "E" => AttemptOutcome::ServerError,
                "F" => AttemptOutcome::Rejected,
                "T" => AttemptOutcome::TimedOut,
                "C" => AttemptOutcome::ConnectFailed,
                "R" => AttemptOutcome::Reset,
                "X" => AttemptOutcome::Cancelled,
                "N" => AttemptOutcome::NotSent,
                _ => return None,
            })
        })
    }
    fn counted(&self) -> Result<CounterReply, String> {
        match self.text("disposition")? {
            "S" => self.number("total").map(CounterReply::Total),
            "F" | "C" => Ok(CounterReply::NotApplied),
            "T" => Ok(CounterReply::Unknown),
            other => Err(format!(
                "field 'disposition' has a wrong value: \"{other}\""
            )),
        }
    }
    fn load(&self) -> BTreeMap<String, f64> {
        let pairs = self
            .maybe("pressure")
            .and_then(Value::as_object)
            .into_iter()
            .flatten();
        pairs
            .filter_map(|(name, value)| Some((name.clone(), value.as_f64()?)))
            .collect()
    }
    fn lines(&self) -> Result<Vec<Endpoint>, String> {
        let entries = self.need("lines", Value::as_array)?;
        entries
            .iter()
            .map(|entry| line(&Fields(entry.as_object().ok_or("an entry is no object")?)))
            .collect()
    }
}

fn line(entry: &Fields) -> Result<Endpoint, String> {
    Ok(Endpoint {
        id: entry.text("server")?.into(),
        state: match entry.text("phase")? {
            "IN" => EndpointState::Ready,
            "LAME" => EndpointState::Draining,
            "OUT" => EndpointState::Removed,
            other => return Err(format!("field 'phase' has a wrong value: \"{other}\"")),
        },
        started_at: entry
            .time("since_ns")
            .ok()
            .filter(|since| !since.is_zero())
            .map(UnixTime),
        cell: entry.whole("pod").unwrap_or(0),
        zone: entry.text("region_part").unwrap_or("").to_string(),
        machine_type: entry.text("hw").unwrap_or("").to_string(),
        weight: entry.number("weight").unwrap_or(1.0),
    })
}

/// Writes one instance's actions to the reply that all share.
struct Reply {
    instance: u64,
    out: Rc<RefCell<String>>,
}

impl Reply {
    fn act(&mut self, kind: &str, mut fields: Value) {
        fields["event_type"] = kind.into();
        fields["i"] = self.instance.into();
        let mut out = self.out.borrow_mut();
        out.push_str(&fields.to_string());
        out.push('\n');
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX >> 1)
}

impl Port for Reply {
    fn send(&mut self, call: &RequestId, server: &EndpointId, timeout: Duration, _: Duration) {
        self.act(
            "transmit",
            json!({"txn": &*call.0, "server": &*server.0, "timeout_ns": nanos(timeout)}),
        );
    }
    fn cancel(&mut self, call: &RequestId, number: AttemptNumber) {
        self.act("undo_send", json!({"txn": &*call.0, "attempt": number.0}));
    }
    fn reject(&mut self, call: &RequestId, retry_after: Duration) {
        self.act(
            "turn_away",
            json!({"txn": &*call.0, "backoff_ns": nanos(retry_after)}),
        );
    }
    fn fail(&mut self, call: &RequestId) {
        self.act("give_up", json!({"txn": &*call.0}));
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, keep: Duration) {
        self.act(
            "bump",
            json!({"name": name.0, "step": add, "expire_in_ns": nanos(keep)}),
        );
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.act("defer", json!({"token": token.0, "due_at_ns": nanos(at)}));
    }
    fn probe(&mut self, server: &EndpointId) {
        self.act("probe", json!({"server": &*server.0}));
    }
    fn subscribe(&mut self, on: bool) {
        self.act("subscribe", json!({"active": on}));
    }
    fn refetch_endpoints(&mut self) {
        self.act("refresh", json!({}));
    }
    fn close_idle_connections(&mut self, server: &EndpointId) {
        self.act("let_go", json!({"server": &*server.0}));
    }
    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        let recipient = peer.map_or(json!("all"), |peer| json!(peer));
        let hex: String = body.iter().map(|byte| format!("{byte:02x}")).collect();
        self.act("post", json!({"recipient": recipient, "body": hex}));
    }
    fn log(&mut self, text: &str) {
        self.act("say_log", json!({"reason_text": text}));
    }
}

/// Hands one event to its instance. Unknown events and events for unknown instances have no effect.
fn event(
    hosted: &mut BTreeMap<u64, AdmissionController>,
    now: Duration,
    kind: &str,
    fields: &Fields,
    out: &Rc<RefCell<String>>,
) -> Result<(), String> {
    let instance = match fields.maybe("i") {
        Some(_) => fields.whole("i")?,
        None => return Ok(()),
    };
    match kind {
        "open_instance" => {
            let config = fields.need("config", |it| it.is_object().then_some(it))?;
            let settings = wellcrank_settings::decode(config).map_err(|error| error.to_string())?;
            let port = Reply {
                instance,
                out: out.clone(),
            };
            hosted.insert(
                instance,
                AdmissionController::new(
                    Rc::new(settings),
                    fields.whole("salt")?,
                    now,
                    Box::new(port),
                ),
            );
            return Ok(());
        }
        "crash_now" => {
            hosted.remove(&instance);
            return Ok(());
        }
        _ => (),
    }
    let Some(control) = hosted.get_mut(&instance) else {
        return Ok(());
    };
    control.set_time(now);
    match kind {
        "fleet" => match fields.text("scope")? {
            "X" => control.on_discovery_failure(),
            scope @ ("D" | "F" | "C") => {
                let time = UpdateTiming {
                    unix_now: UnixTime(now),
                    since_last_update: None,
                };
                let lines = fields.lines()?;
                let update = if scope == "D" {
                    EndpointUpdate::Delta(lines)
                } else {
                    EndpointUpdate::Snapshot(lines)
                };
                control.on_endpoint_update(time, update)
            }
            other => return Err(format!("field 'scope' has a wrong value: \"{other}\"")),
        },
        "inbound" => {
            let arrival = Request {
                id: fields.text("txn")?.into(),
                customer: fields.text("holder").unwrap_or("").into(),
                plan: fields.text("plan").unwrap_or("").into(),
                route: fields.text("qos")?.into(),
                units: fields.number("size_units").unwrap_or(1.0),
                deadline: fields.time("valid_until_ns")?,
                first_gateway: fields.number("from_no").unwrap_or(0.0) as u32,
                gateway_count: fields.number("spread").unwrap_or(1.0) as u32,
            };
            control.on_request(arrival);
        }
        "report_back" => {
            let end = AttemptResult {
                outcome: fields.outcome()?,
                latency: fields.time("lag_ns")?,
                request_closed: fields.need("closed", Value::as_bool)?,
                settled_units: fields.number("settled").ok().filter(|units| *units > 0.0),
                load: fields.load(),
            };
            let number = AttemptNumber(fields.whole("attempt")? as u32);
            control.on_attempt_end(&fields.text("txn")?.into(), number, end);
        }
        "first_byte" => control.on_response_started(&fields.text("txn")?.into()),
        "vanished" => control.on_client_disconnect(&fields.text("txn")?.into()),
        "wake" => control.on_timer(TimerToken(fields.whole("token")?)),
        "tallied" => {
            control.on_counter_reply(CounterName(fields.whole("name")?), fields.counted()?);
        }
        // AdmissionController sends no probes and no messages to peers, so their answers say nothing to it.
        _ => (),
    }
    Ok(())
}

fn serve() -> Result<(), String> {
    let mut hosted = BTreeMap::new();
    let mut now = Duration::ZERO;
    let reply = Rc::new(RefCell::new(String::new()));
    let mut output = std::io::stdout().lock();
    for (place, text) in std::io::stdin().lock().lines().enumerate() {
        let complain = |what: String| format!("line {}: {what}", place + 1);
        let text = text.map_err(|error| complain(error.to_string()))?;
        let value: Value =
            serde_json::from_str(&text).map_err(|error| complain(error.to_string()))?;
        let fields = Fields(
            value
                .as_object()
                .ok_or_else(|| complain("not an object".into()))?,
        );
        match fields.text("event_type").map_err(complain)? {
            "frame" => now = fields.time("wall_ns").map_err(complain)?,
            "eob" => {
                reply
                    .borrow_mut()
                    .push_str("{\"event_type\":\"finished\"}\n");
                let sent = output
                    .write_all(reply.borrow().as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|error| format!("cannot write a reply: {error}"))?;
                reply.borrow_mut().clear();
            }
            kind => event(&mut hosted, now, kind, &fields, &reply).map_err(complain)?,
        }
    }
    Ok(())
}

fn main() {
    if let Err(complaint) = serve() {
        eprintln!("wellcrank-simulator: {complaint}");
        std::process::exit(1);
    }
}
