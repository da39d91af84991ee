//! Case 2: hundreds of clients stop in the middle of a long request and stay. The platform kills what goes over its memory.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// "By hundreds". The gateway has room for 664 clients with 1024 descriptors.
const STUCK_CLIENTS: usize = 600;
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 32;
/// A value holds 64 KiB at most; of a request with such a body the client sends this much.
const BODY_BYTES: usize = 65_536;
const SENT_BYTES: usize = 65_000;
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
            Action::Answer(ms(60), value_answer(&received.id()))
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
    let mut stuck = Vec::new();
    for id in 1..=USUAL_REQUESTS {
        if id == USUAL_REQUESTS / 2 && has_trouble() {
            stuck = connect_stuck_clients(&record, listen);
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
    drop(stuck);
    drop(gateway);
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
        thread::sleep(ms(5));
    });
    platform
}

/// Clients that send most of one `issue-ref` with a long body, and stay.
fn connect_stuck_clients(record: &Record, listen: SocketAddr) -> Vec<TcpStream> {
    let mut bytes = b"*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000b4d65521\r\n$16\r\n00000000000f0001\r\n".to_vec();
    let list = "c=issue-ref,t=full,d=2000,units=1,spread=1,first=0";
    bytes.extend(format!("${}\r\n{list}\r\n${BODY_BYTES}\r\n", list.len()).into_bytes());
    bytes.resize(SENT_BYTES, b'x');
    let mut clients = Vec::new();
    for _ in 0..STUCK_CLIENTS {
        let Ok(mut stream) = TcpStream::connect(listen) else { break };
        // A write can fail only once the gateway has been killed.
        let _ = stream.write_all(&bytes);
        clients.push(stream);
    }
    record.line(&format!("{} clients have sent {SENT_BYTES} bytes of a longer request, and stay", clients.len()));
    clients
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
