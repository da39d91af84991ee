//! Case 8: a gateway that is told to end cuts requests that clients are still writing, with no answer.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A slow client writes its request in so many pieces, with a pause before each but the first.
const PIECES: usize = 4;
const PAUSE: Duration = Duration::from_millis(130);

/// How long a client waits: the client timeout of preview.
const TIMEOUT_MS: u64 = 4000;

/// A new connection comes this often: up to 0.35 s after SIGTERM ("for 0.2 to 0.4 s new connections keep coming").
const CONNECT_EVERY: Duration = Duration::from_millis(50);
const BEFORE_SIGTERM: Duration = Duration::from_secs(2);
const AFTER_SIGTERM: Duration = Duration::from_millis(350);

/// SIGKILL comes no sooner than the longest deadline (3 s where it is longer) and 0.7 s more after SIGTERM.
const SIGKILL_AFTER: Duration = Duration::from_millis(3700);

/// What came of one request.
#[derive(Clone, Debug, PartialEq)]
enum End {
    /// A whole answer on the first or the second connection.
    Answered(String),
    /// The connection could not be made, or was reset or ended before the request's last byte was written.
    NotTaken(&'static str),
    /// The request was written whole on both connections, and both were ended with no answer.
    Lost(Duration),
}

enum Try {
    Answered(String),
    NotTaken(&'static str),
    /// All was written; the connection ended with no answer, or nothing came in time.
    Unanswered(Duration),
}

/// Writes one request slowly and waits for its answer.
fn write_slowly(listen: SocketAddr, request: &[u8]) -> Try {
    let Ok(mut stream) = TcpStream::connect(listen) else {
        return Try::NotTaken("refused");
    };
    let _ = stream.set_nodelay(true);
    let length = request.len().div_ceil(PIECES);
    for (number, piece) in request.chunks(length).enumerate() {
        if number > 0 {
            thread::sleep(PAUSE);
        }
        if stream.write_all(piece).is_err() {
            return Try::NotTaken("reset while writing");
        }
    }
    match ask_written(&mut stream, Duration::from_millis(TIMEOUT_MS + 550)) {
        Ok(answer) => Try::Answered(answer),
        Err(after) => Try::Unanswered(after),
    }
}

/// Waits for the answer to a request that is written.
fn ask_written(stream: &mut TcpStream, patience: Duration) -> Result<String, Duration> {
    let written = Instant::now();
    let _ = stream.set_read_timeout(Some(patience));
    let mut buffer = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
            _ => return Err(written.elapsed()),
        }
        if let Some(answer) = take_answer(&mut buffer) {
            return Ok(String::from_utf8_lossy(&answer).trim_end().replace("\r\n", " "));
        }
    }
}

/// One slow client: one request on a new connection, and once more on another one if that was ended.
fn slow_client(listen: SocketAddr, record: &Record, sigterm: Option<Instant>, start: Instant) -> End {
    let id = next_id();
    let request = query(0x77, id, &format!("c=preview,t=full,d={TIMEOUT_MS},units=1,spread=2,first=0"));
    let _ = sigterm;
    let mut last = Duration::ZERO;
    for number in 0..2 {
        let began = start.elapsed().as_millis();
        match write_slowly(listen, &request) {
            Try::Answered(answer) => return End::Answered(answer),
            Try::NotTaken(why) if number == 0 => {
                record.line(format!("{id:x}: connection of {began} ms: {why}"));
            }
            Try::NotTaken(why) => return End::NotTaken(why),
            Try::Unanswered(after) => {
                record.line(format!("{id:x}: connection of {began} ms: written whole, ended with no answer {after:?} later"));
                last = after;
            }
        }
    }
    End::Lost(last)
}

fn play(record: &Arc<Record>) -> i32 {
    let ran = Arc::default();
    let servers: Vec<u16> = (0..4).map(|_| app_server(Duration::from_millis(60), Arc::clone(&ran))).collect();
    let targets: Vec<String> = servers.iter().enumerate().map(|(n, port)| target(&format!("s-{n}"), *port, "active")).collect();
    let targets = targets.join(",");
    let discovery = Discovery::start(targets.clone());
    let folder = Folder::new();
    let listen = address(free_port());
    let text = config("n0", listen, discovery.port, counter(), 32, 256, &targets, &settings(2, 0, WIDE_PLAN));
    let mut gateway = Gateway::start(&folder, "n0", listen, &text);
    if !gateway.wait_ready() {
        record.say("the gateway was not ready");
        return COULD_NOT_RUN;
    }
    let start = Instant::now();
    record.line("gateway ready");
    let mut told_at = None;
    let mut clients = Vec::new();
    while start.elapsed() < BEFORE_SIGTERM + AFTER_SIGTERM {
        if told_at.is_none() && start.elapsed() >= BEFORE_SIGTERM {
            told_at = Some(Instant::now());
            if trouble() {
                record.line("SIGTERM");
                gateway.signal("TERM");
            }
        }
        let shared = record.clone();
        clients.push(thread::spawn(move || slow_client(listen, &shared, told_at, start)));
        thread::sleep(CONNECT_EVERY);
    }
    let told_at = told_at.expect("SIGTERM's time has come");
    while told_at.elapsed() < SIGKILL_AFTER && gateway.has_ended().is_none() {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(match gateway.has_ended() {
        Some(status) => format!("the gateway has ended {:?} after SIGTERM: {status}", told_at.elapsed()),
        None => "the gateway runs on".to_string(),
    });
    let ends: Vec<End> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let lost = ends.iter().filter(|end| matches!(end, End::Lost(_))).count();
    let answered = ends.iter().filter(|end| matches!(end, End::Answered(_))).count();
    let served = ends.iter().filter(|end| matches!(end, End::Answered(text) if text.starts_with('$'))).count();
    record.say(format!(
        "slow requests {}: answered {answered} (served {served}), lost {lost}, others {}",
        ends.len(), ends.len() - answered - lost
    ));
    if lost > 0 {
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
        HELD => "held: every request that was written whole was answered",
        BROKEN => "BROKEN: requests that were written whole were not answered, on two connections each",
        _ => "could not run",
    });
    record.write();
    std::process::exit(code);
}
