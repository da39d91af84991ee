//! Case 1: bad clients send commands at full speed and read whatever they are sent. Usual clients ask meanwhile.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 3;
/// Hundreds of commands at once.
const COMMANDS_AT_ONCE: u64 = 500;
const TROUBLE_LENGTH: Duration = Duration::from_secs(12);
const USUAL_REQUESTS: u64 = 40;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(200);
/// A try is given up after 50 to 100% of the client timeout, which is 2 s for `issue-ref`.
const WAIT_MS: u64 = 1500;
/// Up to half a second after its time an answer only earns nothing; every time limit is 50 ms longer on sockets. The
/// rest is for this program's own lateness.
const SLACK: Duration = Duration::from_millis(500 + 50 + 200);

struct Outcome {
    id: u64,
    answer: Option<Vec<u8>>,
}

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
        sockets: 1024,
        memory_mb: 192,
        known: &discovery.list(),
        settings: &textun_settings(PLAN_FULL),
    };
    let mut gateway = Gateway::start(&case, "n0", listen, &config.json());
    if !gateway.wait_ready(Duration::from_secs(10)) {
        not_run(&record, "the gateway did not get ready");
    }
    thread::sleep(ms(1500));
    // The usual clients' connections are open and have been used before the trouble begins.
    let mut connections = Vec::new();
    for _ in 0..USUAL_REQUESTS {
        let Ok(mut client) = Client::connect(listen) else { not_run(&record, "cannot connect") };
        let _ = client.send(&command(&["PING"]));
        if !client.read_reply(ms(1000)).is_ok_and(|reply| reply.starts_with(b"+PONG")) {
            not_run(&record, "a usual client got no +PONG");
        }
        connections.push(client);
    }
    let error_lines = Arc::new(AtomicU64::new(0));
    let mut bad = Vec::new();
    if has_trouble() {
        for n in 0..BAD_CLIENTS {
            bad.push(start_bad_client(&record, listen, n, error_lines.clone()));
        }
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut usual = Vec::new();
    for (id, client) in (1..).zip(connections) {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        usual.push(thread::spawn(move || {
            let answer = ask(&record, client, id);
            outcomes.lock().unwrap().push(Outcome { id, answer });
        }));
        thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
    for thread in usual {
        let _ = thread.join();
    }
    for thread in bad {
        let _ = thread.join();
    }
    let is_running = gateway.is_running();
    gateway.copy_log();
    drop(gateway);
    let outcomes = outcomes.lock().unwrap();
    let lost: Vec<String> = outcomes
        .iter()
        .filter(|outcome| outcome.answer.is_none())
        .map(|outcome| format!("{:016x}", outcome.id))
        .collect();
    record.line(&format!("lost: {}", lost.join(" ")));
    record.say(&format!(
        "usual requests {}, lost (no answer half a second after their time) {}; error lines to bad clients {}; \
         gateway running at the end: {is_running}",
        outcomes.len(),
        lost.len(),
        error_lines.load(Ordering::Relaxed)
    ));
    finish(if lost.is_empty() && is_running { HELD } else { BROKEN });
}

/// Sends one request and waits for its answer until its time and the slack have passed.
fn ask(record: &Record, mut client: Client, id: u64) -> Option<Vec<u8>> {
    record.line(&format!("client sends {id:016x} issue-ref d={WAIT_MS}"));
    let until = Instant::now() + ms(WAIT_MS) + SLACK;
    if let Err(error) = client.send(&request("issue-ref", "full", id, WAIT_MS)) {
        record.line(&format!("client cannot send {id:016x}: {error}"));
        return None;
    }
    match client.read_reply(until.saturating_duration_since(Instant::now())) {
        Ok(answer) if !answer.is_empty() => {
            record.line(&format!("client got for {id:016x}: {}", printable(&answer)));
            Some(answer)
        }
        Ok(_) => {
            record.line(&format!("client got an end of the connection for {id:016x}"));
            None
        }
        Err(error) => {
            record.line(&format!("client got nothing for {id:016x}: {error}"));
            None
        }
    }
}

/// A client that sends requests of a class that does not exist, and reads its error lines.
fn start_bad_client(
    record: &Record,
    listen: SocketAddr,
    n: usize,
    error_lines: Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    let Ok(stream) = TcpStream::connect(listen) else { not_run(record, "a bad client cannot connect") };
    let mut input = stream.try_clone().expect("a handle");
    let mut output = stream;
    let record = record.clone();
    record.line(&format!("bad client {n} begins to send"));
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while let Ok(count) = input.read(&mut buffer) {
            if count == 0 {
                break;
            }
            let lines = buffer[..count].iter().filter(|byte| **byte == b'\n').count();
            error_lines.fetch_add(lines as u64, Ordering::Relaxed);
        }
    });
    thread::spawn(move || {
        let commands: Vec<u8> = (0..COMMANDS_AT_ONCE)
            .flat_map(|k| request("no-such-class", "full", (1 << 40) + k, 1000))
            .collect();
        let began = Instant::now();
        let mut times = 0u64;
        while began.elapsed() < TROUBLE_LENGTH && output.write_all(&commands).is_ok() {
            times += 1;
        }
        record.line(&format!("bad client {n} ends after {times} times {COMMANDS_AT_ONCE} commands"));
        let _ = output.shutdown(Shutdown::Both);
    })
}
