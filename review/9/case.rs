//! Case 9: clients that stop in the middle of a long request hold the memory for long requests; those of usual clients are
//! not read in time.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the gateway, within "32 to 192 MB" and "256 to 1,024 descriptors".
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;

/// The bad clients, "by hundreds".
const BAD_CLIENTS: u32 = 640;

/// The body that a bad client announces, and the part of it that it sends.
const ANNOUNCED_BYTES: usize = 60_000;
const SENT_BYTES: usize = 6_000;

/// The body of a usual client's request.
const BODY_BYTES: usize = 6_000;

/// How long a bad client may be left with neither error nor close.
const OWED_WITHIN: Duration = Duration::from_secs(3);

/// How long a usual client waits: half of the client timeout of finish-post.
const TIMEOUT_MS: u64 = 600;

/// Half a second after its time a request is lost; every time limit is 50 ms longer on sockets.
const LOST_AFTER: Duration = Duration::from_millis(TIMEOUT_MS + 550);

/// How long the usual clients ask, and how often.
const PLAY: Duration = Duration::from_secs(15);
const ASK_EVERY: Duration = Duration::from_millis(100);

/// What came of all requests of the usual clients.
#[derive(Default)]
struct Sums {
    served: u32,
    refused: u32,
    failed: u32,
    /// The gateway closed the connection with nothing read; allowed, the client sends again on a new one.
    shut: u32,
    lost: u32,
}

/// One bad client: a part of a long request, and then it stays until the gateway ends the connection; again on a new one.
fn stop_half_way(listen: SocketAddr, stop: &Flag, rounds: &Count, overdue: &Count) {
    let whole = submit(0x99, 0xbad0_0000, "c=finish-post,t=full,d=1000,units=1,spread=2,first=0", &[b'x'; ANNOUNCED_BYTES]);
    let part = &whole[..whole.len() - 2 - (ANNOUNCED_BYTES - SENT_BYTES)];
    let mut bytes = [0; 4096];
    while !stop.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(listen) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let connected = Instant::now();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let _ = stream.write_all(part);
        while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
        rounds.fetch_add(1, SeqCst);
        if connected.elapsed() > OWED_WITHIN {
            overdue.fetch_add(1, SeqCst);
        }
    }
}

/// One request of a usual client on a new connection. If the gateway ends the connection unread, it is sent once more on
/// a new one.
fn ask_on_new_connection(listen: SocketAddr) -> (u64, Outcome) {
    let id = next_id();
    let request = submit(0x77, id, &format!("c=finish-post,t=full,d={TIMEOUT_MS},units=1,spread=2,first=0"), &[b'y'; BODY_BYTES]);
    let start = Instant::now();
    let mut outcome = Outcome::Closed(Duration::ZERO);
    for _ in 0..2 {
        let Ok(mut stream) = TcpStream::connect(listen) else { break };
        outcome = ask(&mut stream, &request, Duration::from_secs(5).saturating_sub(start.elapsed()));
        if !matches!(outcome, Outcome::Closed(_)) {
            break;
        }
    }
    (id, outcome)
}

fn play(record: &Arc<Record>) -> i32 {
    let ran = Arc::default();
    let servers: Vec<u16> = (0..4).map(|_| app_server(Duration::from_millis(60), Arc::clone(&ran))).collect();
    let targets: Vec<String> = servers.iter().enumerate().map(|(n, port)| target(&format!("s-{n}"), *port, "active")).collect();
    let targets = targets.join(",");
    let discovery = Discovery::start(targets.clone());
    let folder = Folder::new();
    let listen = address(free_port());
    // The route of the brief of sapporo-results in place of issue-ref.
    let settings = settings(2, 0, WIDE_PLAN)
        .replace("\"deadline_ns\": 2000000000", "\"deadline_ns\": 1200000000")
        .replace("\"target_ns\": 500000000", "\"target_ns\": 400000000")
        .replace("issue-ref", "finish-post");
    let text = config("n0", listen, discovery.port, counter(), MEMORY_MB, SOCKETS, &targets, &settings);
    let mut gateway = Gateway::start(&folder, "n0", listen, &text);
    if !gateway.wait_ready() {
        record.say("the gateway was not ready");
        return COULD_NOT_RUN;
    }
    record.line("gateway ready");
    let stop = flag();
    let (rounds, overdue) = (count(), count());
    if trouble() {
        record.line(format!("{BAD_CLIENTS} bad clients begin: {SENT_BYTES} of {ANNOUNCED_BYTES} bytes of a body, and they stay"));
        for _ in 0..BAD_CLIENTS {
            let (stop, rounds, overdue) = (stop.clone(), rounds.clone(), overdue.clone());
            thread::spawn(move || stop_half_way(listen, &stop, &rounds, &overdue));
        }
    }
    thread::sleep(Duration::from_millis(1000));
    let start = Instant::now();
    let mut asked = Vec::new();
    while start.elapsed() < PLAY {
        let record = record.clone();
        asked.push(thread::spawn(move || {
            let (id, outcome) = ask_on_new_connection(listen);
            record.line(format!("{id:x}: {outcome:?}"));
            outcome
        }));
        thread::sleep(ASK_EVERY);
    }
    let mut sums = Sums::default();
    for thread in asked {
        match thread.join().expect("a usual client has not panicked") {
            Outcome::Answered(_, after) if after > LOST_AFTER => sums.lost += 1,
            Outcome::Answered(text, _) if text.starts_with('$') => sums.served += 1,
            Outcome::Answered(text, _) if text.starts_with("-BUSY") => sums.refused += 1,
            Outcome::Answered(..) => sums.failed += 1,
            Outcome::Closed(_) => sums.shut += 1,
            Outcome::Silence(_) => sums.lost += 1,
        }
    }
    stop.store(true, SeqCst);
    let Sums { served, refused, failed, shut, lost } = sums;
    record.say(format!(
        "usual requests (d={TIMEOUT_MS} ms): served {served}, refused {refused}, failed {failed}, shut unread {shut}, \
         not answered {} ms after their last byte {lost}",
        LOST_AFTER.as_millis()
    ));
    record.say(format!(
        "bad clients: {} connections ended by the gateway, {} of them after more than 3 s (backlog included)",
        rounds.load(SeqCst), overdue.load(SeqCst)
    ));
    if gateway.has_ended().is_some() || lost > 0 {
        BROKEN
    } else if served == 0 {
        COULD_NOT_RUN
    } else {
        HELD
    }
}

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.say(match code {
        HELD => "held: every request was answered in time",
        BROKEN => "BROKEN: requests were not answered in time",
        _ => "could not run",
    });
    record.write();
    std::process::exit(code);
}
