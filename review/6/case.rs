//! Case 6: clients that send the same again as soon as it is turned away take the gateway over its memory.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the gateway: the lowest of "32 to 192 MB" and "256 to 1,024 descriptors".
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;

/// How long the case plays.
const PLAY: Duration = Duration::from_secs(20);

/// The bad clients: connections, and the commands that each sends at once.
const BAD_CONNECTIONS: u64 = 20;
const COMMANDS_AT_ONCE: u64 = 100;

/// The client timeout of submit-track.
const TIMEOUT_MS: u32 = 5000;

/// The plan of the bad clients' customer, as `enterprise` and `event-club` of the briefs: no quota on the rate, so many
/// attempts out at once.
const OPEN_PLAN: &str = r#"{"name": "enterprise", "refill": 0.0, "store_size": 0.0, "parallel": 3, "value_factor": 1.6,
 "never_over_rate": 0.0, "cap_depth": 0.0, "hard_slack": 0.0, "excess_cost": 1.0, "extra_worth": 0.0}"#;

/// One bad client: a hundred valid commands of one customer at once, and the same again as soon as they are answered. It
/// reads all that it is sent.
fn send_again(listen: std::net::SocketAddr, client: u64, stop: &Flag, answers: &Count, refusals: &Count) {
    let parameters = format!("c=submit-track,t=enterprise,d={TIMEOUT_MS},k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0");
    let mut commands = Vec::new();
    for number in 0..COMMANDS_AT_ONCE {
        commands.extend(submit(0x99, 0xbad0_0000_0000 + (client << 16) + number, &parameters, b"BODY"));
    }
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let mut bytes = vec![0; 65536];
    while !stop.load(SeqCst) {
        if stream.write_all(&commands).is_err() {
            return;
        }
        let mut buffer = Vec::new();
        let mut answered = 0;
        while answered < COMMANDS_AT_ONCE {
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
                _ => return,
            }
            while !buffer.is_empty() {
                let Some(answer) = take_answer(&mut buffer) else { break };
                answered += 1;
                answers.fetch_add(1, SeqCst);
                if answer.starts_with(b"-BUSY") {
                    refusals.fetch_add(1, SeqCst);
                }
            }
        }
    }
}

fn play(record: &Arc<Record>) -> i32 {
    let ran = Arc::default();
    let servers: Vec<u16> = (0..4).map(|_| app_server(Duration::from_millis(80), Arc::clone(&ran))).collect();
    let targets: Vec<String> = servers.iter().enumerate().map(|(n, port)| target(&format!("s-{n}"), *port, "active")).collect();
    let targets = targets.join(",");
    let discovery = Discovery::start(targets.clone());
    let folder = Folder::new();
    let listen = address(free_port());
    let plans = format!("{WIDE_PLAN}, {OPEN_PLAN}");
    let text = config("n0", listen, discovery.port, counter(), MEMORY_MB, SOCKETS, &targets, &settings(2, 0, &plans));
    let mut gateway = Gateway::start(&folder, "n0", listen, &text);
    if !gateway.wait_ready() {
        record.say("the gateway was not ready");
        return COULD_NOT_RUN;
    }
    record.say(format!("gateway ready, limit {MEMORY_MB} MB, holds {} KiB", gateway.memory_kib()));
    let stop = flag();
    let (answers, refusals, served, unserved) = (count(), count(), count(), count());
    if trouble() {
        record.line(format!("{BAD_CONNECTIONS} bad clients begin, {COMMANDS_AT_ONCE} commands at once each, d={TIMEOUT_MS}"));
        for client in 0..BAD_CONNECTIONS {
            let (stop, answers, refusals) = (stop.clone(), answers.clone(), refusals.clone());
            thread::spawn(move || send_again(listen, client, &stop, &answers, &refusals));
        }
    }
    // A usual client, which keeps its connection and asks ten times a second.
    let usual = {
        let (stop, served, unserved, record) = (stop.clone(), served.clone(), unserved.clone(), record.clone());
        thread::spawn(move || {
            let mut connection = TcpStream::connect(listen).ok();
            while !stop.load(SeqCst) {
                let parameters = "c=preview,t=full,d=4000,units=1,spread=2,first=0";
                let outcome = match &mut connection {
                    Some(stream) => ask(stream, &query(0x77, next_id(), parameters), Duration::from_millis(4550)),
                    None => Outcome::Closed(Duration::ZERO),
                };
                let is_served = matches!(&outcome, Outcome::Answered(text, _) if text.starts_with('$'));
                if is_served { &served } else { &unserved }.fetch_add(1, SeqCst);
                if !matches!(outcome, Outcome::Answered(..)) {
                    record.line(format!("usual client: {outcome:?}"));
                    connection = TcpStream::connect(listen).ok();
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    let start = Instant::now();
    let mut most = 0;
    let mut code = HELD;
    let mut next_line = 1;
    while start.elapsed() < PLAY {
        thread::sleep(Duration::from_millis(20));
        if let Some(status) = gateway.has_ended() {
            record.say(format!("the gateway has ended by itself: {status}"));
            code = BROKEN;
            break;
        }
        let held = gateway.memory_kib();
        most = most.max(held);
        if start.elapsed().as_secs() >= next_line {
            next_line += 1;
            record.line(format!(
                "gateway holds {held} KiB; bad clients' answers {} of these -BUSY {}; usual client served {} other {}",
                answers.load(SeqCst), refusals.load(SeqCst), served.load(SeqCst), unserved.load(SeqCst)
            ));
        }
        // The platform: over memory_mb the edge node is killed.
        if held > u64::from(MEMORY_MB) * 1024 {
            record.say(format!("the gateway holds {held} KiB, over its limit of {MEMORY_MB} MB: the platform kills it"));
            gateway.signal("KILL");
            thread::sleep(Duration::from_millis(500));
            code = BROKEN;
            break;
        }
    }
    stop.store(true, SeqCst);
    let _ = usual.join();
    record.say(format!(
        "most {most} KiB; bad clients' answers {} of these -BUSY {}; usual client served {} other {}",
        answers.load(SeqCst), refusals.load(SeqCst), served.load(SeqCst), unserved.load(SeqCst)
    ));
    if code == HELD && served.load(SeqCst) == 0 {
        return COULD_NOT_RUN;
    }
    code
}

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.say(match code {
        HELD => "held: the gateway stayed within its memory",
        BROKEN => "BROKEN: the gateway went over its memory and was killed",
        _ => "could not run",
    });
    record.write();
    std::process::exit(code);
}
