//! What the cases of the second review share: free ports, the gateway started by the deploy file's command, stand-ins
//! for app servers, the counter and discovery, RESP2 messages, and the record. Standard library only. Every address is a
//! loopback address.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the case plays its disruption (`TROUBLE=0` plays the same without it).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record: what was sent, answered and run, each line with the milliseconds since the start.
pub struct Record {
    lines: Mutex<Vec<String>>,
    start: Instant,
    path: PathBuf,
}

impl Record {
    pub fn new() -> Arc<Record> {
        let folder = std::env::var("CASE_FOLDER").expect("CASE_FOLDER is set by run.sh");
        Arc::new(Record {
            lines: Mutex::new(Vec::new()),
            start: Instant::now(),
            path: PathBuf::from(folder).join("record.txt"),
        })
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{ms:>6} ms  {}", text.as_ref()));
    }
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
    pub fn write(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        std::fs::write(&self.path, text).expect("the record can be written");
    }
}

/// A port of 127.0.0.1 that was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// The temporary folder that the script made; the script removes it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        Folder(PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP is set by run.sh")))
    }
}

/// One gateway as a process of its own, started by the command `run` of deploy/balancer.toml.
pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    /// Holds the process's id as long as it may run, so that the script ends it if this program is ended early.
    pid_file: PathBuf,
}

impl Gateway {
    pub fn start(folder: &Folder, name: &str, listen: SocketAddr, config: &str) -> Gateway {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("run from the repository's root");
        let line = deploy.lines().find(|line| line.starts_with("run")).expect("the deploy file has run");
        let command = line.split('"').nth(1).expect("run is a string").to_string();
        let path = folder.0.join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.0.join(format!("{name}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the gateway can be started");
        let pid_file = folder.0.join(format!("{name}.pid"));
        std::fs::write(&pid_file, child.id().to_string()).unwrap();
        Gateway { child, listen, config: path, pid_file }
    }

    /// Waits until PING is answered with PONG.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, Duration::from_millis(300)) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
                let mut answer = [0; 7];
                if stream.read_exact(&mut answer).is_ok() && &answer == b"+PONG\r\n" {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.pid().to_string()).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The memory that the process holds now, in KiB, as the system tells it; without the pages of its program file.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("RssAnon: 0 kB");
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

/// A command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Takes one whole command off the front of a buffer.
pub fn take_command(buffer: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn line(buffer: &[u8], at: usize) -> Option<(&[u8], usize)> {
        let end = buffer[at..].windows(2).position(|pair| pair == b"\r\n")?;
        Some((&buffer[at..at + end], at + end + 2))
    }
    let (header, mut next) = line(buffer, 0)?;
    let count: usize = std::str::from_utf8(&header[1..]).ok()?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (header, start) = line(buffer, next)?;
        let length: usize = std::str::from_utf8(&header[1..]).ok()?.parse().ok()?;
        if buffer.len() < start + length + 2 {
            return None;
        }
        words.push(buffer[start..start + length].to_vec());
        next = start + length + 2;
    }
    buffer.drain(..next);
    Some(words)
}

/// Takes one whole answer of a gateway off the front of a buffer: an error line, a status line or a bulk string.
pub fn take_answer(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buffer.windows(2).position(|pair| pair == b"\r\n")? + 2;
    let whole = if buffer[0] == b'$' {
        let length: usize = std::str::from_utf8(&buffer[1..end - 2]).ok()?.parse().ok()?;
        end + length + 2
    } else {
        end
    };
    if buffer.len() < whole {
        return None;
    }
    Some(buffer.drain(..whole).collect())
}

/// A server on a port of its own: `serve` runs in a thread for each connection.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    port
}

/// The calls a second that the counter takes; the briefs have 580 to 2,100.
const COUNTER_CALLS_PER_S: f64 = 1000.0;

/// The calls that the counter takes at once.
const COUNTER_LINE: f64 = 50.0;

/// The shared counter: numbers by name. It takes so many calls a second and turns further ones away.
pub fn counter() -> u16 {
    type Names = Mutex<std::collections::HashMap<String, (f64, Instant)>>;
    let names: Arc<Names> = Arc::default();
    let room = Arc::new(Mutex::new((COUNTER_LINE, Instant::now())));
    listen(move |mut stream| {
        let mut buffer = Vec::new();
        let mut bytes = [0; 65536];
        loop {
            let Ok(count) = stream.read(&mut bytes) else { return };
            if count == 0 {
                return;
            }
            buffer.extend_from_slice(&bytes[..count]);
            let mut out = String::new();
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                let words: Vec<&str> = text.split_whitespace().collect();
                match words[..] {
                    ["ping"] => out.push_str("pong\r\n"),
                    ["incr", name, amount, life] => {
                        let mut line = room.lock().unwrap();
                        let now = Instant::now();
                        let gained = (now - line.1).as_secs_f64() * COUNTER_CALLS_PER_S;
                        *line = ((line.0 + gained).min(COUNTER_LINE), now);
                        if line.0 < 1.0 {
                            out.push_str("busy\r\n");
                            continue;
                        }
                        line.0 -= 1.0;
                        let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else {
                            out.push_str("error\r\n");
                            continue;
                        };
                        let mut names = names.lock().unwrap();
                        let now = Instant::now();
                        let fresh = (0.0, now + Duration::from_millis(life.min(60_000)));
                        let entry = names.entry(name.to_string()).or_insert(fresh);
                        if entry.1 <= now {
                            *entry = fresh;
                        }
                        entry.0 += amount;
                        out.push_str(&format!("ok {}\r\n", entry.0));
                    }
                    _ => out.push_str("error\r\n"),
                }
            }
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Discovery's agent: the whole list, and watches that are answered when the list changes or their wait is over.
pub struct Discovery {
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    pub port: u16,
}

impl Discovery {
    /// `targets`: the entries of the list as JSON, separated by commas.
    pub fn start(targets: String) -> Discovery {
        let state = Arc::new((Mutex::new((41, targets)), Condvar::new()));
        let shared = state.clone();
        let port = listen(move |stream| Discovery::serve(stream, &shared));
        Discovery { state, port }
    }

    /// Replaces the list; everybody is told the whole of it.
    pub fn set(&self, targets: String) {
        let mut state = self.state.0.lock().unwrap();
        state.0 += 1;
        state.1 = targets;
        self.state.1.notify_all();
    }

    fn serve(mut stream: TcpStream, shared: &(Mutex<(u64, String)>, Condvar)) {
        let mut buffer = Vec::new();
        let mut bytes = [0; 4096];
        loop {
            while let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let number = |name: &str| -> Option<u64> {
                    let rest = head.split(name).nth(1)?;
                    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
                };
                let after = number("after=");
                let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0).min(60_000));
                let state = shared.0.lock().unwrap();
                let (state, _) = shared
                    .1
                    .wait_timeout_while(state, wait, |state| after.is_some_and(|after| after >= state.0))
                    .unwrap();
                let is_newer = after.map_or(true, |after| after < state.0);
                let body = if is_newer {
                    format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", state.0, state.1)
                } else {
                    format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", state.0)
                };
                drop(state);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
                _ => return,
            }
        }
    }
}

/// The entry of an app server that has run for long.
pub fn target(uid: &str, port: u16, state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:{port}\",\"az\":\"rvk-hall-1\",\"model\":\"type-a\",\
         \"pod_group\":0,\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
    )
}

/// A sound app server: each command is run for `work` and answered with a value that names the request. `ran` counts how
/// often each request ran.
pub fn app_server(work: Duration, ran: Arc<Mutex<std::collections::HashMap<String, u32>>>) -> u16 {
    listen(move |mut stream| {
        let mut buffer = Vec::new();
        let mut bytes = [0; 65536];
        loop {
            while let Some(words) = take_command(&mut buffer) {
                let name = String::from_utf8_lossy(&words[0]).into_owned();
                let answer = match name.as_str() {
                    "PING" => b"+PONG\r\n".to_vec(),
                    "SVC.QUERY" | "SVC.SUBMIT" => {
                        let id = String::from_utf8_lossy(&words[2]).into_owned();
                        *ran.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
                        thread::sleep(work);
                        let value = format!("value of {id}");
                        format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
                    }
                    _ => b"-ERR unknown\r\n".to_vec(),
                };
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
                _ => return,
            }
        }
    })
}

/// The settings of a small deployment, after the brief of textun-rvk. `plans`: the list of contracts as JSON.
pub fn settings(gateways: u32, index: u32, plans: &str) -> String {
    format!(
        r#"{{"balancers": {gateways}, "index": {index}, "registry_mode": "automatic", "resolution_ns": 4000000,
 "kind_of_service": "gate", "stage": 0, "tiers": ["render-fleet"], "zones": ["rvk-hall-1"], "my_zone": "rvk-hall-1",
 "flavors": ["type-a", "type-b"], "weight_kind": "nominal", "clients": {{"marks_retry": false}},
 "ceilings": {{"cancelling": true, "connect_timeout_ns": 250000000, "idle_close_ns": 30000000000, "max_attempts": 6,
  "max_open": 20844, "max_retry_after_ns": 1000000000, "may_duplicate": false, "may_probe": true, "multiplex": 32,
  "peers": false, "retry_after": true}},
 "classes": [
  {{"credit": 1.0, "deadline_ns": 4000000000, "group": "all", "late_worth": 0.2, "memory_span_ns": 10000000000,
   "name": "preview", "repeat": "repeatable", "streaming": false, "target_ns": 1200000000}},
  {{"credit": 5.0, "deadline_ns": 5000000000, "group": "all", "late_worth": 0.2, "memory_span_ns": 10000000000,
   "name": "submit-track", "repeat": "by_key", "streaming": false, "target_ns": 1200000000}},
  {{"credit": 2.0, "deadline_ns": 2000000000, "group": "all", "late_worth": 0.2, "memory_span_ns": 10000000000,
   "name": "issue-ref", "repeat": "once", "streaming": false, "target_ns": 500000000}}],
 "contracts": [{plans}],
 "family_info": {{"counter_price": 0.02, "counter_timeout_ns": 80000000, "post_paid": false, "shared_counter": true,
  "units_top": 4}},
 "reporting": {{"how": "off", "names": []}},
 "rules": {{"answer_slack_ns": 16000000, "ask_within_ns": 10000000000, "cold_from": 0.19, "cold_ns": 18000000000,
  "fall_multiple": 4.0, "overload_for_ns": 1000000000, "stop_sending_within_ns": 500000000}}}}"#
    )
}

/// A plan without limits that matter here.
pub const WIDE_PLAN: &str = r#"{"name": "full", "refill": 3000.0, "store_size": 6000.0, "parallel": 0, "value_factor": 1.4,
 "never_over_rate": 0.0, "cap_depth": 0.0, "hard_slack": 0.0, "excess_cost": 1.0, "extra_worth": 0.0}"#;

/// The configuration of a gateway.
pub fn config(name: &str, listen: SocketAddr, discovery: u16, counter: u16, memory_mb: u32, sockets: u32, targets: &str, settings: &str) -> String {
    format!(
        r#"{{"name": "{name}", "listen": "{listen}", "discovery": "127.0.0.1:{discovery}", "seed": "8c1f30d27a5be964",
 "limits": {{"cores": 1.0, "memory_mb": {memory_mb}, "sockets": {sockets}}}, "counter": "127.0.0.1:{counter}",
 "peers": [], "known": {{"rev": 41, "all": true, "targets": [{targets}]}},
 "settings": {settings}}}"#
    )
}

/// A request on the idempotent route.
pub fn query(customer: u64, id: u64, parameters: &str) -> Vec<u8> {
    command(&[b"SVC.QUERY", format!("{customer:016x}").as_bytes(), format!("{id:016x}").as_bytes(), parameters.as_bytes()])
}

/// A request on one of the other routes.
pub fn submit(customer: u64, id: u64, parameters: &str, body: &[u8]) -> Vec<u8> {
    command(&[b"SVC.SUBMIT", format!("{customer:016x}").as_bytes(), format!("{id:016x}").as_bytes(), parameters.as_bytes(), body])
}

/// What came of one request of a usual client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer, and how long after the request's last byte it came.
    Answered(String, Duration),
    /// The gateway ended the connection with nothing on it, that long after the request's last byte.
    Closed(Duration),
    /// Nothing came until the client stopped looking.
    Silence(Duration),
}

/// Sends one request on a connection and waits for its answer, for `patience` at most.
pub fn ask(stream: &mut TcpStream, request: &[u8], patience: Duration) -> Outcome {
    let mut buffer = Vec::new();
    let mut bytes = [0; 65536];
    if stream.write_all(request).is_err() {
        return Outcome::Closed(Duration::ZERO);
    }
    let sent = Instant::now();
    loop {
        let left = patience.saturating_sub(sent.elapsed());
        if left.is_zero() {
            return Outcome::Silence(sent.elapsed());
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut bytes) {
            Ok(0) => return Outcome::Closed(sent.elapsed()),
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => (),
            Err(_) => return Outcome::Closed(sent.elapsed()),
        }
        if let Some(answer) = take_answer(&mut buffer) {
            return Outcome::Answered(String::from_utf8_lossy(&answer).trim_end().replace("\r\n", " "), sent.elapsed());
        }
    }
}

pub type Flag = Arc<AtomicBool>;
pub type Count = Arc<AtomicU64>;

pub fn flag() -> Flag {
    Arc::new(AtomicBool::new(false))
}

pub fn count() -> Count {
    Arc::new(AtomicU64::new(0))
}

pub static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

/// A request id that was not used before.
pub fn next_id() -> u64 {
    0x1000_0000 + NEXT_ID.fetch_add(1, SeqCst) as u64
}
