//! Follows the list of app servers over HTTP/1.1: the whole list first, then one watch after another on one
//! connection, and a new connection where the old one breaks or stays silent.

use crate::pipe::Pipe;
use crate::turn::{Hub, Side};
use mio::event::Event;
use nanorand::{Rng, WyRand};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::*;
use wellcrank_fleet::backoff::Backoff;

/// A list or a change of it, as discovery words it.
#[derive(Deserialize)]
pub struct News {
    rev: u64,
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: String,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: u64,
}

/// The lines of a list, each with the address of the server if it has one.
pub type Lines = Vec<(Listed, Option<SocketAddr>)>;

impl News {
    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Discovery tells starts in Unix time, from which the gateway's clock counts as well.
    pub fn lines(self) -> (bool, Lines) {
        let line = |target: Target| {
            let listed = Listed {
                server: target.uid.as_str().into(),
                phase: match target.state.as_str() {
                    "active" => Phase::Ready,
                    "left" => Phase::Gone,
                    _ => Phase::Draining,
                },
                started: (target.boot_ms > 0).then(|| Duration::from_millis(target.boot_ms)),
                cell: target.pod_group,
                zone: target.az,
                kind: target.model,
                weight: target.capacity_hint.unwrap_or(1.0),
            };
            (listed, target.endpoint.parse().ok())
        };
        (self.all, self.targets.into_iter().map(line).collect())
    }
}

pub struct Discovery {
    at: SocketAddr,
    host: String,
    pipe: Option<Pipe>,
    key: usize,
    wanted: bool,
    /// The version of the last list or change that this gateway has, also across connections: a call then asks
    /// for what changed since, which is small, in place of the whole list. None: the whole list is wanted.
    rev: Option<u64>,
    /// When the call that is out should be answered at the latest, or a new connection is due.
    patience: Duration,
    asking: bool,
    asked: Duration,
    /// Calls in a row that failed, by silence or by an answer that is no list: each has the next wait longer.
    failures: u32,
    silent: bool,
    rng: WyRand,
}

impl Discovery {
    /// Follows the list at `at`, from the version `rev` that this gateway was told at its start, if any.
    pub fn new(at: SocketAddr, rev: Option<u64>, seed: u64) -> Discovery {
        Discovery {
            at,
            host: at.to_string(),
            pipe: None,
            key: 0,
            wanted: false,
            rev,
            patience: Duration::ZERO,
            asking: false,
            asked: Duration::ZERO,
            failures: 0,
            silent: false,
            rng: WyRand::new_seed(seed),
        }
    }

    /// Discovery is elsewhere from now on: the list is followed there, whole at first, as its versions are its own.
    pub fn move_to(&mut self, hub: &mut Hub, at: SocketAddr) {
        if at != self.at {
            (self.at, self.host, self.failures, self.rev) = (at, at.to_string(), 0, None);
            self.drop_connection(hub);
            if self.wanted {
                self.connect(hub);
            }
        }
    }

    /// Begins or ends following the list.
    pub fn follow(&mut self, hub: &mut Hub, on: bool) {
        self.wanted = on;
        if on && self.pipe.is_none() {
            self.connect(hub);
        }
    }

    /// Asks for the whole list now, in place of the watch that is out.
    pub fn refetch(&mut self, hub: &mut Hub) {
        (self.wanted, self.rev) = (true, None);
        self.connect(hub);
    }

    fn connect(&mut self, hub: &mut Hub) {
        self.drop_connection(hub);
        self.key += 1;
        self.pipe = Pipe::connect(hub, self.at, Side::Discovery, self.key).ok();
        if self.pipe.is_none() {
            return self.failed(hub);
        }
        self.ask(hub);
    }

    /// How long an answer that need not wait may take: a connection's time, twice as long after each failure.
    fn answer_time(&self, hub: &Hub) -> Duration {
        hub.facts.span("limits.connect_timeout") * (1 << self.failures.min(4))
    }

    /// The connection is over; a new one is made at the next sweep.
    fn drop_connection(&mut self, hub: &mut Hub) {
        self.asking = false;
        self.patience = self.patience.min(hub.now);
        if let Some(pipe) = self.pipe.take() {
            pipe.close(hub);
        }
    }

    /// A call failed: the connection is given up, and the next call waits a draw of a span that doubles with each
    /// failure in a row and begins wider in a larger fleet, so that gateways that fail together do not come again
    /// together, nor so often that a crowded discovery never empties. The longest span is twice the time within which
    /// the list is to be asked for, half what the rules allow after a failed call.
    fn failed(&mut self, hub: &mut Hub) {
        self.drop_connection(hub);
        self.failures = self.failures.saturating_add(1);
        let base = hub.facts.span("limits.connect_timeout").max(Duration::from_millis(10));
        let longest = (hub.facts.span("rules.ask_within") * 2).max(base * 16);
        let backoff = Backoff::shared(base, hub.facts.number("gateways"), longest);
        self.patience = hub.now + backoff.wait(self.failures, self.rng.generate::<f64>());
    }

    fn ask(&mut self, hub: &mut Hub) {
        let Some(pipe) = &mut self.pipe else { return };
        let wait = watch(hub);
        let query = match self.rev {
            Some(rev) => format!("?after={rev}&wait_ms={}", wait.as_millis()),
            None => String::new(),
        };
        let host = &self.host;
        let call = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        pipe.put(hub, |out| out.extend_from_slice(call.as_bytes()));
        let wait = if self.rev.is_some() { wait } else { Duration::ZERO };
        self.patience = hub.now + wait + self.answer_time(hub);
        (self.asking, self.asked) = (true, hub.now);
    }

    /// Says what has come, if a whole answer has.
    pub fn ready(&mut self, hub: &mut Hub, key: usize, event: &Event) -> Option<News> {
        let pipe = self.pipe.as_mut().filter(|_| key == self.key)?;
        if event.is_writable() && pipe.left() > 0 {
            self.flush(hub, key);
        }
        let pipe = self.pipe.as_mut()?;
        let open = pipe.read(hub, hub.budget.bytes);
        let read = answer(&pipe.input);
        let news = match read {
            Ok(Some((news, took))) => {
                pipe.take(hub, took);
                self.rev = Some(news.rev);
                self.asking = false;
                if self.failures > 0 {
                    slog::info!(hub.log, "discovery answers again"; "after" => self.failures);
                }
                (self.failures, self.silent) = (0, false);
                Some(news)
            }
            Ok(None) => None,
            Err(why) => {
                if self.failures == 0 {
                    slog::warn!(hub.log, "discovery answers what is no list"; "why" => why);
                }
                self.failed(hub);
                return None;
            }
        };
        if !open {
            self.drop_connection(hub);
        } else if let Some(news) = news.as_ref().filter(|_| self.wanted) {
            // Nothing new and too soon: it does not wait, and is asked at the next tick instead of all the time.
            if !news.is_empty() || hub.now >= self.asked + watch(hub) / 2 {
                self.ask(hub);
            }
        }
        news
    }

    pub fn flush(&mut self, hub: &mut Hub, key: usize) {
        let Some(pipe) = self.pipe.as_mut().filter(|_| key == self.key) else { return };
        if pipe.flush(hub).is_err() {
            self.failed(hub);
        }
    }

    /// Periodic: a new connection where there is none and one is due, or where the old one is silent for too long.
    pub fn sweep(&mut self, hub: &mut Hub) {
        if self.wanted && !self.asking && self.pipe.is_some() {
            return self.ask(hub);
        }
        if !self.wanted || hub.now < self.patience {
            return;
        }
        if self.asking {
            if !self.silent {
                slog::warn!(hub.log, "discovery is silent, connecting anew");
            }
            self.silent = true;
            return self.failed(hub);
        }
        self.connect(hub);
    }
}

/// A watch may be silent for half the time within which the rules want the list asked for.
fn watch(hub: &Hub) -> Duration {
    hub.facts.span("rules.ask_within") / 2
}

/// Takes a whole HTTP answer off the front, past 1xx ones: its list, and the bytes that it took.
fn answer(bytes: &[u8]) -> Result<Option<(News, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|error| error.to_string())? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if head.code.is_some_and(|code| (100..200).contains(&code)) {
        return Ok(answer(&bytes[start..])?.map(|(news, took)| (news, start + took)));
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok())
    };
    let (body, end) = match header("Content-Length").map(str::parse) {
        Some(Ok(length)) if bytes.len() - start < length => return Ok(None),
        Some(Ok(length)) => (bytes[start..start + length].to_vec(), start + length),
        Some(Err(_)) => return Err("a wrong length".into()),
        None if header("Transfer-Encoding").is_some_and(|how| how.eq_ignore_ascii_case("chunked")) => {
            match chunks(bytes, start)? {
                Some(whole) => whole,
                None => return Ok(None),
            }
        }
        None => return Err("no length".into()),
    };
    match head.code {
        Some(200) => {
            serde_json::from_slice(&body).map(|news| Some((news, end))).map_err(|error| error.to_string())
        }
        code => Err(format!("status {}", code.unwrap_or(0))),
    }
}

fn chunks(bytes: &[u8], mut next: usize) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let (head, length) = match httparse::parse_chunk_size(&bytes[next..]).map_err(|e| e.to_string())? {
            httparse::Status::Complete((head, length)) => (head, length as usize),
            httparse::Status::Partial => return Ok(None),
        };
        let start = next + head;
        let end = start.saturating_add(length);
        if bytes.len() < end.saturating_add(2) {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[start..end]);
        next = end + 2;
        if length == 0 {
            return Ok(Some((body, next)));
        }
    }
}

#[test]
fn answers_are_taken_whole_or_not_at_all() {
    let body = r#"{"rev":7,"all":false,"targets":[]}"#;
    let (front, back) = body.split_at(9);
    let plain = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{front}\r\n{:x}\r\n{back}\r\n0\r\n\r\n",
        front.len(),
        back.len()
    );
    let early = format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{plain}");
    for whole in [plain, chunked, early] {
        for end in 0..whole.len() {
            assert!(answer(&whole.as_bytes()[..end]).expect("nothing is wrong").is_none());
        }
        let (news, took) = answer(whole.as_bytes()).expect("nothing is wrong").expect("all is there");
        assert_eq!((news.rev, news.all, took), (7, false, whole.len()));
    }
    for wrong in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        "+OK\r\n\r\n",
    ] {
        assert!(answer(wrong.as_bytes()).is_err(), "{wrong}");
    }
    let vast = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    assert!(answer(vast).expect("it may yet come").is_none());
}
