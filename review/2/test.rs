//! Case 2: hundreds of bad clients send hundreds of commands at once and half of a long one. The platform kills what goes
//! over its memory.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// "By hundreds". The gateway has room for 239 clients with 384 descriptors.
const BAD_CLIENTS: usize = 220;
const SOCKETS: usize = 384;
const MEMORY_MB: usize = 48;
/// "Hundreds of commands at once", behind one good request, each with units that are out of range.
const COMMANDS_AT_ONCE: u64 = 900;
/// A value holds 64 KiB at most; of a request with such a body each client sends the beginning.
const BODY_BYTES: usize = 65_536;
const HALF_BYTES: usize = 65_000;
const USUAL_REQUESTS: u64 = 20;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(100);
const WAIT_MS: u64 = 1500;
const SLACK: Duration = Duration::from_millis(500 + 50 + 200);

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    limit_time(&record, Duration::from_secs(100));
    let discovery = Discovery::start(&record);
    for n in 0..3 {
        let record = record.clone();
        let address = start_app_server(&format!("app{n}"), move |received| {
            record.line(&format!("{} runs {}", received.server, received.id()));
            Action::Answer(ms(150), value_answer(&received.id()))
        });
        discovery.enter(&format!("app{n}"), address, "active", 0);
    }
    let listen = free_address();
    let config = Config {
        name: "n0",
        listen,
        discovery: discovery.address,
        counter: Some(start_counter()),
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        known: &discovery.list(),
        settings: &textun_settings(PLAN_FULL),
    };
    let mut gateway = Gateway::start(&case, "n0", listen, &config.json());
    if !gateway.wait_ready(Duration::from_secs(10)) {
        not_run(&record, "the gateway did not get ready");
    }
    if gateway.anonymous_kb() == 0 {
        not_run(&record, "the memory of a process cannot be read here");
    }
    let platform = watch_memory(&record, gateway.pid);
    thread::sleep(ms(1500));
    let mut usual = Vec::new();
    let answered = Arc::new(AtomicU64::new(0));
    let mut bad = Vec::new();
    for id in 1..=USUAL_REQUESTS {
        if id == USUAL_REQUESTS / 2 && has_trouble() {
            bad = start_bad_clients(&record, listen);
        }
        let (record, answered) = (record.clone(), answered.clone());
        usual.push(thread::spawn(move || {
            if ask(&record, listen, id) {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }));
        thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
    for thread in usual {
        let _ = thread.join();
    }
    let was_killed = platform.was_killed.load(Ordering::Relaxed);
    let is_running = gateway.is_running();
    gateway.copy_log();
    drop(gateway);
    for thread in bad {
        let _ = thread.join();
    }
    record.say(&format!(
        "limit {MEMORY_MB} MB; most anonymous memory {} kB; killed for memory: {was_killed}; running at the end: \
         {is_running}; usual requests {USUAL_REQUESTS}, answered {}",
        platform.peak_kb.lock().unwrap(),
        answered.load(Ordering::Relaxed)
    ));
    finish(if is_running && !was_killed { HELD } else { BROKEN });
}

/// What the platform does about memory.
#[derive(Clone, Default)]
struct Platform {
    peak_kb: Arc<Mutex<u64>>,
    was_killed: Arc<AtomicBool>,
}

/// "Over `memory_mb` the edge node is killed." Only its anonymous memory is counted here.
fn watch_memory(record: &Record, pid: i32) -> Platform {
    let platform = Platform::default();
    let (watching, record) = (platform.clone(), record.clone());
    thread::spawn(move || loop {
        let held = anonymous_kb(pid);
        let mut peak = watching.peak_kb.lock().unwrap();
        if held > *peak + 1000 {
            record.line(&format!("the gateway holds {held} kB"));
        }
        *peak = held.max(*peak);
        drop(peak);
        if held > (MEMORY_MB as u64) << 10 {
            record.line(&format!("the gateway holds {held} kB, over {MEMORY_MB} MB: killed"));
            watching.was_killed.store(true, Ordering::Relaxed);
            send_signal(pid, SIGKILL);
            return;
        }
        thread::sleep(ms(2));
    });
    platform
}

/// Starts the bad clients. Each connects, sends one good request, its commands and the half of one more in one piece as
/// soon as all have connected, and reads whatever it is sent until the gateway ends the connection.
fn start_bad_clients(record: &Record, listen: SocketAddr) -> Vec<thread::JoinHandle<()>> {
    let mut bytes = Vec::new();
    for k in 0..COMMANDS_AT_ONCE {
        let id = format!("{:016x}", (1 << 40) + k);
        let list = "c=preview,t=full,d=1000,units=99,spread=1,first=0";
        bytes.extend(command(&["SVC.QUERY", "00000000b4d65521", &id, list]));
    }
    let half_begins = bytes.len();
    let list = "c=issue-ref,t=full,d=2000,units=1,spread=1,first=0";
    bytes.extend_from_slice(b"*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000b4d65521\r\n$16\r\n00000000000f0001\r\n");
    bytes.extend(format!("${}\r\n{list}\r\n${BODY_BYTES}\r\n", list.len()).into_bytes());
    bytes.resize(half_begins + HALF_BYTES, b'x');
    let connected = Arc::new(Barrier::new(BAD_CLIENTS));
    record.line(&format!(
        "{BAD_CLIENTS} bad clients connect; each sends a good request, {COMMANDS_AT_ONCE} bad ones and half of one \
         more, some {} bytes in all",
        bytes.len()
    ));
    (0..BAD_CLIENTS)
        .map(|n| {
            let connected = connected.clone();
            let list = "c=preview,t=full,d=3000,units=1,spread=1,first=0";
            let (customer, id) = (format!("{:016x}", 0x1000 + n), format!("{:016x}", (2u64 << 40) + n as u64));
            let mut all = command(&["SVC.QUERY", &customer, &id, list]);
            all.extend_from_slice(&bytes);
            thread::spawn(move || {
                let stream = TcpStream::connect(listen);
                connected.wait();
                let Ok(mut output) = stream else { return };
                let Ok(mut input) = output.try_clone() else { return };
                let reader = thread::spawn(move || {
                    let mut buffer = [0; 65_536];
                    while input.read(&mut buffer).is_ok_and(|count| count > 0) {}
                });
                // A write can fail only once the gateway has been killed.
                let _ = output.write_all(&all);
                let _ = reader.join();
            })
        })
        .collect()
}

/// Sends one request on a new connection. Returns whether it was answered.
fn ask(record: &Record, listen: SocketAddr, id: u64) -> bool {
    let until = Instant::now() + ms(WAIT_MS) + SLACK;
    record.line(&format!("client sends {id:016x} issue-ref d={WAIT_MS}"));
    let answer = Client::connect(listen).and_then(|mut client| {
        client.send(&request("issue-ref", "full", id, WAIT_MS))?;
        client.read_reply(until.saturating_duration_since(Instant::now()))
    });
    match answer {
        Ok(answer) if !answer.is_empty() => {
            record.line(&format!("client got for {id:016x}: {}", printable(&answer)));
            true
        }
        Ok(_) => {
            record.line(&format!("client got an end of the connection for {id:016x}"));
            false
        }
        Err(error) => {
            record.line(&format!("client got nothing for {id:016x}: {error}"));
            false
        }
    }
}
