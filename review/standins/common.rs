//! Stand-ins for the review: the record, a gateway process, discovery, the counter, app servers and clients. Only the
//! standard library is used. Every address is a loopback address on a free port.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(pid: i32, signal: i32) {
    // SAFETY: kill(2) has no memory effects.
    unsafe { kill(pid, signal) };
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Whether the disruption takes place: the variable `TROUBLE` is not `0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt`, with the milliseconds since the start of the case on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let now = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The folder, the command and the record of a case, from the arguments that `run.sh` passes.
pub struct Case {
    pub folder: PathBuf,
    pub run: String,
    pub root: PathBuf,
    pub record: Record,
}

impl Case {
    /// Arguments: the repository's root, the temporary folder, the path of the record and the deploy file's `run`.
    pub fn from_args() -> Case {
        let args: Vec<String> = std::env::args().collect();
        if args.len() != 5 {
            eprintln!("expected: ROOT TMP RECORD RUN");
            std::process::exit(NOT_RUN);
        }
        let record = Record::create(Path::new(&args[3])).unwrap_or_else(|error| {
            eprintln!("cannot write the record: {error}");
            std::process::exit(NOT_RUN);
        });
        Case {
            folder: PathBuf::from(&args[2]),
            run: args[4].clone(),
            root: PathBuf::from(&args[1]),
            record,
        }
    }
}

pub fn not_run(record: &Record, why: &str) -> ! {
    record.say(&format!("not run: {why}"));
    finish(NOT_RUN)
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and exits.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        send_signal(pid, SIGKILL);
    }
    std::process::exit(code)
}

/// Ends the case after a time, so that it never runs for longer than the issue allows.
pub fn limit_time(record: &Record, limit: Duration) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        not_run(&record, "the case took too long");
    });
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free loopback port")
}

// ---------------------------------------------------------------------------------------------------------- gateway

/// One gateway process. It is killed when this is dropped.
pub struct Gateway {
    child: Child,
    pub pid: i32,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    record: Record,
}

impl Gateway {
    /// Starts a gateway with this configuration by the deploy file's `run`.
    pub fn start(case: &Case, name: &str, address: SocketAddr, config: &str) -> Gateway {
        let path = case.folder.join(format!("{name}.json"));
        fs::write(&path, config).expect("the configuration is written");
        let log = case.folder.join(format!("{name}.log"));
        let file = File::create(&log).expect("the log is created");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&case.run)
            .current_dir(&case.root)
            .env("BALANCER_CONFIG", &path)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a handle"))
            .stderr(file)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => not_run(&case.record, &format!("cannot start a gateway: {error}")),
        };
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(pid);
        // For `run.sh`, should this program be ended from outside.
        let _ = fs::write(case.folder.join(format!("{name}.pid")), pid.to_string());
        case.record.line(&format!("gateway {name} started at {address}"));
        Gateway { child, pid, address, config: path, log, record: case.record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
        self.record.line(&format!("signal {signal} to the gateway"));
    }

    /// The anonymous memory that the process holds, in kB; without files, code and what the kernel holds for sockets.
    pub fn anonymous_kb(&self) -> u64 {
        anonymous_kb(self.pid)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `PING` is answered with `+PONG`. Returns false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address) {
                let _ = client.send(&command(&["PING"]));
                if client.read_reply(ms(300)).is_ok_and(|reply| reply.starts_with(b"+PONG")) {
                    self.record.line("gateway ready");
                    return true;
                }
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn copy_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().take(200) {
            self.record.line(&format!("gateway's log: {line}"));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let mut started = STARTED.lock().unwrap();
        let _ = self.child.kill();
        let _ = self.child.wait();
        started.retain(|pid| *pid != self.pid);
    }
}

/// The anonymous memory of a process in kB, or 0 if it has ended.
pub fn anonymous_kb(pid: i32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// The configuration file of a gateway.
pub struct Config<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: &'a str,
    pub settings: &'a str,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let counter = self
            .counter
            .map_or(String::new(), |address| format!("\"counter\":\"{address}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{counter}\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        )
    }
}

// -------------------------------------------------------------------------------------------------------- discovery

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    /// By uid: the revision of the last change, and the entry.
    entries: BTreeMap<String, (u64, String)>,
    is_down: bool,
    /// Counts the returns after an outage. A call that came before the latest one stays unanswered.
    returns: u64,
    calls: u64,
}

/// The agent of discovery on the gateway's machine.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let discovery = Discovery {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: Arc::default(),
            record: record.clone(),
        };
        discovery.listen_again()
    }

    /// Listens at a further address; the list is the same.
    pub fn listen_again(&self) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("its address");
        let discovery = Discovery { address, ..self.clone() };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let one = serving.clone();
                thread::spawn(move || one.serve(stream));
            }
        });
        discovery
    }

    pub fn enter(&self, uid: &str, address: SocketAddr, state: &str, boot_ms: u128) {
        let entry = format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"rvk-hall-1\",\"model\":\"type-a\",\
             \"pod_group\":0,\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{boot_ms}}}"
        );
        let mut list = self.state.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        list.entries.insert(uid.to_string(), (revision, entry));
        drop(list);
        self.record.line(&format!("discovery: {uid} is {state} at {address}, rev {revision}"));
    }

    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        state.returns += u64::from(!is_down);
        drop(state);
        self.record.line(if is_down { "discovery is down" } else { "discovery is back" });
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<&str> = state.entries.values().map(|(_, text)| text.as_str()).collect();
        format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", state.revision, entries.join(","))
    }

    fn changes(&self, after: u64) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<&str> = state
            .entries
            .values()
            .filter(|(revision, _)| *revision > after)
            .map(|(_, text)| text.as_str())
            .collect();
        format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}", state.revision, entries.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let mut output = stream.try_clone().expect("a handle");
        let mut input = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if input.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let (is_down, returns) = {
                let mut state = self.state.lock().unwrap();
                state.calls += 1;
                (state.is_down, state.returns)
            };
            let path = first.split(' ').nth(1).unwrap_or("").to_string();
            self.record.line(&format!("discovery: call {path}{}", if is_down { ", unanswered" } else { "" }));
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = path.split_once(&format!("{name}="))?;
                rest.split('&').next()?.parse().ok()
            };
            let body = match number("after") {
                None if is_down => return hold(&mut input),
                None => self.list(),
                Some(after) => {
                    let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
                    loop {
                        let state = self.state.lock().unwrap();
                        if state.is_down || state.returns != returns {
                            drop(state);
                            // A call that has fallen silent stays so; the gateway has to open it anew.
                            return hold(&mut input);
                        }
                        if state.revision > after || Instant::now() >= until {
                            break;
                        }
                        drop(state);
                        thread::sleep(ms(2));
                    }
                    self.changes(after)
                }
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Keeps a connection open until the other side ends it.
fn hold(input: &mut BufReader<TcpStream>) {
    let mut sink = [0; 1024];
    while input.read(&mut sink).unwrap_or(0) > 0 {}
}

// ---------------------------------------------------------------------------------------------------------- counter

/// The shared counter: adds amounts to numbers by name.
pub fn start_counter() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("its address");
    let numbers: Arc<Mutex<BTreeMap<String, (f64, Instant)>>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let numbers = numbers.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut output = stream.try_clone().expect("a handle");
                let mut input = BufReader::new(stream);
                let mut line = String::new();
                while input.read_line(&mut line).unwrap_or(0) > 0 {
                    let words: Vec<&str> = line.split_whitespace().collect();
                    let answer = match words[..] {
                        ["ping"] => "pong\r\n".to_string(),
                        ["incr", name, amount, life] => {
                            let amount: f64 = amount.parse().unwrap_or(0.0);
                            let life = ms(life.parse::<u64>().unwrap_or(1).min(60_000));
                            let now = Instant::now();
                            let mut numbers = numbers.lock().unwrap();
                            let entry = numbers.entry(name.to_string()).or_insert((0.0, now + life));
                            if entry.1 <= now {
                                *entry = (0.0, now + life);
                            }
                            entry.0 += amount;
                            format!("ok {}\r\n", entry.0)
                        }
                        _ => "error\r\n".to_string(),
                    };
                    if output.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

// ------------------------------------------------------------------------------------------------------ app servers

/// A request as an app server has received it.
pub struct Received {
    pub server: String,
    pub words: Vec<Vec<u8>>,
    /// When its last byte came.
    pub at: Instant,
}

impl Received {
    pub fn id(&self) -> String {
        self.words.get(2).map_or(String::new(), |word| String::from_utf8_lossy(word).into())
    }
}

/// What an app server does with a request.
pub enum Action {
    /// It sends these bytes after a time, unless the gateway has ended the connection.
    Answer(Duration, Vec<u8>),
    /// It never answers, and keeps the connection until the gateway ends it.
    Hang,
    /// It resets or closes the connection after a time.
    Close(Duration),
}

/// The answer that serves a request with this value.
pub fn value_answer(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
}

/// Starts an app server. `decide` is called for each request.
pub fn start_app_server(
    name: &str,
    decide: impl Fn(&Received) -> Action + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("its address");
    let decide = Arc::new(decide);
    let name = name.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (decide, name) = (decide.clone(), name.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut output = stream.try_clone().expect("a handle");
                let mut input = BufReader::new(stream);
                while let Some(words) = read_command(&mut input) {
                    let received = Received { server: name.clone(), words, at: Instant::now() };
                    match decide(&received) {
                        Action::Answer(delay, bytes) => {
                            thread::sleep(delay);
                            if output.write_all(&bytes).is_err() {
                                return;
                            }
                        }
                        Action::Hang => return hold(&mut input),
                        Action::Close(delay) => return thread::sleep(delay),
                    }
                }
            });
        }
    });
    address
}

fn read_line(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line).ok().filter(|count| *count > 0)?;
    line.ends_with(b"\r\n").then(|| line[..line.len() - 2].to_vec())
}

fn length(line: &[u8], first: u8) -> Option<usize> {
    let (kind, digits) = line.split_first()?;
    (*kind == first).then_some(())?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

pub fn read_command(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = length(&read_line(input)?, b'*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let size = length(&read_line(input)?, b'$')?;
        let mut word = vec![0; size + 2];
        input.read_exact(&mut word).ok()?;
        word.truncate(size);
        words.push(word);
    }
    Some(words)
}

// ---------------------------------------------------------------------------------------------------------- clients

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// A request of a client, as `PROTOCOL.md` has it.
pub fn request(class: &str, plan: &str, id: u64, wait_ms: u64) -> Vec<u8> {
    let customer = "00000000b4d65521";
    let id = format!("{id:016x}");
    let set = "units=1,spread=1,first=0";
    match class {
        "preview" => command(&["SVC.QUERY", customer, &id, &format!("c={class},t={plan},d={wait_ms},{set}")]),
        "submit-track" => command(&[
            "SVC.SUBMIT", customer, &id, &format!("c={class},t={plan},d={wait_ms},k={id},{set}"), "BODY",
        ]),
        _ => command(&["SVC.SUBMIT", customer, &id, &format!("c={class},t={plan},d={wait_ms},{set}"), "BODY"]),
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, input })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer: a line, or a bulk string with its value. An empty answer is the end of the connection.
    pub fn read_reply(&mut self, limit: Duration) -> io::Result<Vec<u8>> {
        self.stream.set_read_timeout(Some(limit.max(ms(1))))?;
        let mut reply = Vec::new();
        self.input.read_until(b'\n', &mut reply)?;
        if reply.first() == Some(&b'$') {
            let size: i64 = String::from_utf8_lossy(&reply[1..]).trim().parse().unwrap_or(-1);
            if size >= 0 {
                let mut value = vec![0; size as usize + 2];
                self.input.read_exact(&mut value)?;
                reply.extend_from_slice(&value);
            }
        }
        Ok(reply)
    }
}

pub fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end().replace("\r\n", " ")
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Settings like those of a small `textun-rvk`: the example of the wire page, with these deviations as JSON text.
pub fn textun_settings(contracts: &str) -> String {
    format!(
        "{{\"balancers\":1,\"index\":0,\"registry_mode\":\"automatic\",\"resolution_ns\":4000000,\
        \"ceilings\":{{\"cancelling\":true,\"connect_timeout_ns\":250000000,\"idle_close_ns\":30000000000,\
        \"max_attempts\":6,\"max_open\":20844,\"max_retry_after_ns\":1000000000,\"may_duplicate\":false,\
        \"may_probe\":true,\"multiplex\":32,\"peers\":false,\"retry_after\":true}},\
        \"classes\":[\
        {{\"credit\":1.0,\"deadline_ns\":4000000000,\"group\":\"all\",\"late_worth\":0.1,\"memory_span_ns\":5000000000,\
        \"name\":\"preview\",\"repeat\":\"repeatable\",\"streaming\":false,\"target_ns\":1200000000}},\
        {{\"credit\":5.0,\"deadline_ns\":5000000000,\"group\":\"all\",\"late_worth\":0.1,\"memory_span_ns\":10000000000,\
        \"name\":\"submit-track\",\"repeat\":\"by_key\",\"streaming\":false,\"target_ns\":1200000000}},\
        {{\"credit\":2.0,\"deadline_ns\":2000000000,\"group\":\"all\",\"late_worth\":0.2,\"memory_span_ns\":5000000000,\
        \"name\":\"issue-ref\",\"repeat\":\"once\",\"streaming\":false,\"target_ns\":500000000}}],\
        \"clients\":{{\"marks_retry\":false}},\"contracts\":[{contracts}],\
        \"family_info\":{{\"counter_price\":0.02,\"counter_timeout_ns\":80000000,\"inbox_per_s\":60.0,\"meter_ns\":0,\
        \"post_paid\":true,\"shared_counter\":true,\"units_top\":4}},\
        \"reporting\":{{\"how\":\"on_probe\",\"names\":[\"busy_reqs\",\"pending\"]}},\
        \"rules\":{{\"answer_slack_ns\":16000000,\"ask_within_ns\":10000000000,\"cold_from\":0.19,\
        \"cold_ns\":18000000000,\"fall_multiple\":4.0,\"overload_for_ns\":1000000000,\
        \"stop_sending_within_ns\":500000000}},\
        \"weight_kind\":\"nominal\",\"zones\":[\"rvk-hall-1\"],\"my_zone\":\"rvk-hall-1\"}}"
    )
}

/// The plan `full` of the wire page's example.
pub const PLAN_FULL: &str = "{\"cap_depth\":0.0,\"excess_cost\":1.0,\"extra_worth\":0.0,\"hard_slack\":0.0,\
    \"name\":\"full\",\"never_over_rate\":0.0,\"parallel\":0,\"refill\":35.0,\"store_size\":64.0,\"value_factor\":1.4}";
