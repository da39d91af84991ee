//! Case 7: clients that send hundreds of long requests at once, and half of one more, take the gateway over its memory.

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

/// The bad clients: connections, the commands that each sends at once, and the bytes of the body of each command.
const BAD_CONNECTIONS: u64 = 200;
const COMMANDS_AT_ONCE: u64 = 200;
const BODY_BYTES: usize = 65_000;

/// The part of one more command that a bad client sends behind them.
const HALF_BYTES: usize = 64_000;

/// The app servers, and the bytes of their values ("a value holds 64 KiB at most").
const APP_SERVERS: usize = 16;
const VALUE_BYTES: usize = 65_000;

/// An app server works so long, and pauses so long before the last bytes of its answer.
const WORK: Duration = Duration::from_millis(15);
const PIECE_PAUSE: Duration = Duration::from_millis(150);

/// A sound app server with long answers, in two pieces.
fn long_answers() -> u16 {
    listen(|mut stream| {
        let mut buffer = Vec::new();
        let mut bytes = vec![0; 65536];
        let answer = format!("*3\r\n${VALUE_BYTES}\r\n{}\r\n$-1\r\n$-1\r\n", "v".repeat(VALUE_BYTES));
        let (first, last) = answer.as_bytes().split_at(answer.len() - 60);
        loop {
            while take_command(&mut buffer).is_some() {
                thread::sleep(WORK);
                if stream.write_all(first).is_err() {
                    return;
                }
                thread::sleep(PIECE_PAUSE);
                if stream.write_all(last).is_err() {
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

/// One bad client: hundreds of valid long commands and a part of one more at once. It reads all that it is sent until the
/// gateway ends the connection or all are answered, and does the same on a new connection.
fn send_much(listen: std::net::SocketAddr, stop: &Flag, answers: &Count, refusals: &Count) {
    let command = || submit(0x99, next_id(), "c=issue-ref,t=full,d=2000,units=1,spread=1,first=0", &[b'x'; BODY_BYTES]);
    while !stop.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(listen) else { return };
        let Ok(mut sender) = stream.try_clone() else { return };
        let writer = thread::spawn(move || {
            for _ in 0..COMMANDS_AT_ONCE {
                if sender.write_all(&command()).is_err() {
                    return;
                }
            }
            let _ = sender.write_all(&command()[..HALF_BYTES]);
        });
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut buffer = Vec::new();
        let mut bytes = vec![0; 65536];
        let mut answered = 0;
        while answered < COMMANDS_AT_ONCE + 1 {
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
                _ => break,
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
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = writer.join();
    }
}

fn play(record: &Arc<Record>) -> i32 {
    let servers: Vec<u16> = (0..APP_SERVERS).map(|_| long_answers()).collect();
    let targets: Vec<String> = servers.iter().enumerate().map(|(n, port)| target(&format!("s-{n}"), *port, "active")).collect();
    let targets = targets.join(",");
    let discovery = Discovery::start(targets.clone());
    let folder = Folder::new();
    let listen = address(free_port());
    let text = config("n0", listen, discovery.port, counter(), MEMORY_MB, SOCKETS, &targets, &settings(1, 0, WIDE_PLAN));
    let mut gateway = Gateway::start(&folder, "n0", listen, &text);
    if !gateway.wait_ready() {
        record.say("the gateway was not ready");
        return COULD_NOT_RUN;
    }
    record.say(format!("gateway ready, limit {MEMORY_MB} MB, holds {} KiB", gateway.memory_kib()));
    let stop = flag();
    let (answers, refusals, served, unserved) = (count(), count(), count(), count());
    if trouble() {
        record.line(format!("{BAD_CONNECTIONS} bad clients begin, {COMMANDS_AT_ONCE} commands of {BODY_BYTES} bytes at once each"));
        for _ in 0..BAD_CONNECTIONS {
            let (stop, answers, refusals) = (stop.clone(), answers.clone(), refusals.clone());
            thread::spawn(move || send_much(listen, &stop, &answers, &refusals));
        }
    }
    // A usual client, which keeps its connection and asks ten times a second.
    let usual = {
        let (stop, served, unserved, record) = (stop.clone(), served.clone(), unserved.clone(), record.clone());
        thread::spawn(move || {
            let mut connection = TcpStream::connect(listen).ok();
            while !stop.load(SeqCst) {
                let parameters = "c=preview,t=full,d=4000,units=1,spread=1,first=0";
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
        thread::sleep(Duration::from_millis(3));
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
