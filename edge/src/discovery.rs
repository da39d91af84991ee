//! Follows the list of app servers over HTTP/1.1: the whole list first, then one watch after another on one
//! connection, and a new connection where the old one breaks or stays silent. When to ask again is
//! [`wellcrank_fleet::discovery_retry`]'s to say.

use crate::component::Component;
use crate::reactor::Reactor;
use crate::readiness::Readiness;
use crate::stream::BufferedStream;
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::*;
use wellcrank::settings::DiscoveryMode;
use wellcrank_fleet::discovery_retry::{DiscoveryFailure, DiscoveryRetryPolicy, DiscoveryTiming};

/// A list or a change of it, as discovery words it.
#[derive(Deserialize)]
pub struct ListUpdate {
    rev: u64,
    all: bool,
    #[serde(default)]
    targets: Vec<Entry>,
}

/// An entry of it. One that can't be read loses nothing but itself.
enum Entry {
    Read(Target),
    Wrong { uid: Option<String>, why: String },
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
    state: State,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Entry, D::Error> {
        let value = Value::deserialize(from)?;
        Ok(Target::deserialize(&value).map_or_else(
            |why| Entry::Wrong {
                uid: value.get("uid").and_then(Value::as_str).map(str::to_string),
                why: why.to_string(),
            },
            Entry::Read,
        ))
    }
}

/// The lines of a list, each with the address of the server if it has one that can be read.
pub type Lines = Vec<(Endpoint, Option<SocketAddr>)>;

/// A list or a change of it, in our words.
pub struct Change {
    pub rev: u64,
    pub whole: bool,
    pub lines: Lines,
    /// Servers of which nothing could be read but the name: they stay as they were.
    pub kept: Vec<EndpointId>,
    /// What could not be read, and why.
    pub wrong: Vec<String>,
}

impl ListUpdate {
    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub fn change(self) -> Change {
        let mut change = Change {
            rev: self.rev,
            whole: self.all,
            lines: vec![],
            kept: vec![],
            wrong: vec![],
        };
        for (place, entry) in self.targets.into_iter().enumerate() {
            let target = match entry {
                Entry::Read(target) => target,
                Entry::Wrong { uid, why } => {
                    let name = uid.as_deref().unwrap_or("no uid");
                    change.wrong.push(format!("entry {place} ({name}): {why}"));
                    change.kept.extend(uid.map(|uid| uid.as_str().into()));
                    continue;
                }
            };
            let at = target.endpoint.parse().ok();
            if at.is_none() && !(target.endpoint.is_empty() && matches!(target.state, State::Left))
            {
                let (uid, endpoint) = (&target.uid, &target.endpoint);
                change
                    .wrong
                    .push(format!("entry {place} ({uid}): {endpoint:?} is no address"));
            }
            let listed = Endpoint {
                id: target.uid.as_str().into(),
                state: match target.state {
                    State::Active => EndpointState::Ready,
                    State::Leaving => EndpointState::Draining,
                    State::Left => EndpointState::Removed,
                },
                started_at: (target.boot_ms > 0)
                    .then(|| UnixTime(Duration::from_millis(target.boot_ms))),
                cell: target.pod_group,
                zone: target.az,
                machine_type: target.model,
                weight: target.capacity_hint.unwrap_or(1.0),
            };
            change.lines.push((listed, at));
        }
        change
    }
}

pub struct Discovery {
    at: SocketAddr,
    host: String,
    stream: Option<BufferedStream>,
    key: usize,
    wanted: bool,
    /// The version of the last list or change that this gateway has, also across connections: a call then asks
    /// for what changed since, which is small, in place of the whole list. None: the whole list is wanted.
    rev: Option<u64>,
    /// This gateway's number.
    index: u32,
    /// Nothing has come on this connection yet that answers a call: where that is free, the first one does not wait.
    fresh: bool,
    /// When a new connection is due, where there is none.
    next: Duration,
    /// When the first call was due after a move since which no list has come.
    moved: Option<Duration>,
    asking: bool,
    /// When the call that is out, or the connection for it, began; and when the last list came.
    asked: Duration,
    heard: Duration,
    recall: DiscoveryRetryPolicy,
    rng: WyRand,
}

/// What the waits follow from, by the settings as they are.
fn terms(reactor: &Reactor) -> DiscoveryTiming {
    let settings = &reactor.settings;
    // Pushed lists come from an agent on the gateway's own machine; else the fleet shares a service.
    let shared = settings.discovery == DiscoveryMode::Subscribe;
    DiscoveryTiming {
        connect_timeout: reactor.connect_timeout(),
        drain_grace: settings.rules.drain_grace,
        refresh_interval: settings.rules.list_refresh_interval,
        sharing_gateways: shared.then(|| f64::from(settings.gateways)),
    }
}

impl Discovery {
    /// Follows the list at `at`, from the version `rev` that this gateway was told at its start, if any.
    pub fn new(at: SocketAddr, rev: Option<u64>, seed: u64, reactor: &Reactor) -> Discovery {
        Discovery {
            at,
            host: at.to_string(),
            stream: None,
            key: 0,
            wanted: false,
            rev,
            index: reactor.settings.gateway_index,
            fresh: true,
            next: Duration::ZERO,
            moved: None,
            asking: false,
            asked: reactor.now,
            heard: reactor.now,
            recall: DiscoveryRetryPolicy::new(terms(reactor)),
            rng: WyRand::new_seed(seed),
        }
    }

    /// The settings have changed: the waits follow from the new ones, the list and the watch stay.
    pub fn reconfigure(&mut self, reactor: &Reactor) {
        self.index = reactor.settings.gateway_index;
        self.recall.set_timing(terms(reactor));
    }

    /// Discovery is elsewhere from now on: the list is followed there, whole at first, as its versions are its own.
    pub fn move_to(&mut self, reactor: &mut Reactor, at: SocketAddr) {
        if at != self.at {
            (self.at, self.host, self.rev) = (at, at.to_string(), None);
            self.recall.record_success();
            self.drop_connection(reactor);
            // All gateways are told at one moment, and what is there counts as told some seconds later: after the first
            // of several moves in a row.
            let due = reactor.now + self.recall.first_call_delay(self.index) / 2;
            let due = self.moved.map_or(due, |first| due.min(first));
            self.moved = Some(due);
            self.begin(reactor, due.saturating_sub(reactor.now));
        }
    }

    /// Begins or ends following the list.
    pub fn follow(&mut self, reactor: &mut Reactor, on: bool) {
        self.wanted = on;
        if self.stream.is_none() {
            let known = self.rev.is_some();
            self.begin(
                reactor,
                if known {
                    self.recall.first_call_delay(self.index)
                } else {
                    Duration::ZERO
                },
            );
        }
    }

    /// The first call, at once or after a while.
    fn begin(&mut self, reactor: &mut Reactor, after: Duration) {
        self.next = reactor.now + after;
        if self.wanted && after.is_zero() {
            self.connect(reactor);
        }
    }

    /// Asks for the whole list now, in place of the watch that is out.
    pub fn refetch(&mut self, reactor: &mut Reactor) {
        (self.wanted, self.rev) = (true, None);
        self.connect(reactor);
    }

    fn connect(&mut self, reactor: &mut Reactor) {
        self.drop_connection(reactor);
        self.key += 1;
        (self.asked, self.fresh) = (reactor.now, true);
        self.stream =
            BufferedStream::connect(reactor, self.at, Component::Discovery, self.key).ok();
        if self.stream.is_none() {
            return self.failed(reactor, DiscoveryFailure::Timeout, "no connection");
        }
        self.ask(reactor);
    }

    /// The connection is over; a new one is made at the next sweep.
    fn drop_connection(&mut self, reactor: &mut Reactor) {
        self.asking = false;
        self.next = self.next.min(reactor.now);
        if let Some(stream) = self.stream.take() {
            stream.close(reactor);
        }
    }

    /// A call failed: the connection is given up, and the next call comes when [`DiscoveryRetryPolicy`] says. Told once for each
    /// kind of failure, until a list comes.
    fn failed(&mut self, reactor: &mut Reactor, how: DiscoveryFailure, why: &str) {
        let before = self.recall;
        self.drop_connection(reactor);
        let draw = self.rng.generate::<f64>();
        self.next = reactor.now
            + self
                .recall
                .record_failure(how, reactor.now.saturating_sub(self.asked), draw);
        let (heard, asked) = (
            reactor.now.saturating_sub(self.heard),
            reactor.now.saturating_sub(self.asked),
        );
        match how {
            DiscoveryFailure::Timeout if !before.has_timed_out() => {
                slog::warn!(reactor.log, "discovery is silent, connecting anew"; "why" => why, "rev" => self.rev,
                    "connection" => self.key, "asked" => ?asked, "heard" => ?heard);
            }
            DiscoveryFailure::Rejection if !before.was_rejected() => {
                slog::warn!(reactor.log, "discovery answers what is no list"; "why" => why, "rev" => self.rev,
                    "connection" => self.key, "next" => ?self.next.saturating_sub(reactor.now));
            }
            _ => (),
        }
    }

    fn ask(&mut self, reactor: &mut Reactor) {
        let wait = self.wait();
        let Some(stream) = &mut self.stream else {
            return;
        };
        let query = match self.rev {
            Some(rev) => format!("?after={rev}&wait_ms={}", wait.as_millis()),
            None => String::new(),
        };
        let host = &self.host;
        let call = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        stream.queue(reactor, |out| out.extend_from_slice(call.as_bytes()));
        (self.asking, self.asked) = (true, reactor.now);
    }

    /// How long the next call may wait for news, or the one that is out.
    fn wait(&self) -> Duration {
        if self.fresh && self.recall.polls_before_watching() {
            Duration::ZERO
        } else {
            self.recall.watch_wait()
        }
    }

    /// Until when the call that is out may go unanswered, with the wait that it asks for.
    fn patience(&self) -> Duration {
        let up = self
            .stream
            .as_ref()
            .is_some_and(|stream| stream.is_connected);
        let wait = match self.rev {
            _ if !up => self.recall.connect_timeout(),
            Some(_) => self.wait() + self.recall.response_timeout(false),
            None => self.recall.response_timeout(true),
        };
        self.asked + wait
    }

    /// Says what has come, if a whole answer has.
    pub fn ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
    ) -> Option<ListUpdate> {
        let stream = self.stream.as_mut().filter(|_| key == self.key)?;
        if readiness.is_writable() && stream.pending_bytes() > 0 {
            self.flush(reactor, key);
        }
        let stream = self.stream.as_mut()?;
        let most = reactor.budget.bytes.max(LIST);
        let open = stream.read(reactor, most);
        let ended = !open && !stream.has_failed;
        let read = match answer(&stream.input, ended, most) {
            Ok(None) if stream.input.len() >= most => Err(TOO_LONG.to_string()),
            read => read,
        };
        let mut soon = false;
        let news = match read {
            Ok(Some((news, took))) => {
                stream.consume(reactor, took);
                if self.recall.failures() > 0 {
                    slog::info!(reactor.log, "discovery answers again"; "after" => self.recall.failures(),
                        "connection" => self.key, "asked" => ?reactor.now.saturating_sub(self.asked),
                        "silent" => ?reactor.now.saturating_sub(self.heard), "after rev" => self.rev,
                        "rev" => news.rev);
                }
                // It begins its versions anew: a change since ours can't be told, so the whole list is asked for.
                let back = !news.all && self.rev.is_some_and(|rev| news.rev < rev);
                if back {
                    slog::warn!(reactor.log, "discovery's versions went back, asking for the whole list";
                        "after rev" => self.rev, "rev" => news.rev);
                }
                self.rev = Some(news.rev).filter(|_| !back);
                let first = std::mem::take(&mut self.fresh);
                // Where one change follows another, those of a tick are asked for together.
                let in_a_row = reactor.now < self.heard + IN_A_ROW;
                soon = first || back || (!news.is_empty() && !in_a_row);
                (self.asking, self.heard, self.moved) = (false, reactor.now, None);
                self.recall.record_success();
                Some(news)
            }
            Ok(None) => None,
            Err(why) => {
                self.failed(reactor, DiscoveryFailure::Rejection, &why);
                return None;
            }
        };
        if !open {
            if self.asking {
                let begun = self
                    .stream
                    .as_ref()
                    .is_some_and(|stream| !stream.input.is_empty());
                let why = if begun {
                    "an answer cut short"
                } else {
                    "the connection ended"
                };
                self.failed(reactor, DiscoveryFailure::Timeout, why);
            } else {
                self.drop_connection(reactor);
            }
        } else if news.is_some() && self.wanted {
            // Nothing new and too soon: it does not wait, and is asked at the next tick instead of all the time.
            if soon || reactor.now >= self.asked + self.recall.watch_wait() / 2 {
                self.ask(reactor);
            }
        }
        news
    }

    pub fn flush(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(stream) = self.stream.as_mut().filter(|_| key == self.key) else {
            return;
        };
        if stream.flush(reactor).is_err() {
            self.failed(reactor, DiscoveryFailure::Timeout, "the connection broke");
        }
    }

    /// Periodic: a new connection where there is none and one is due, or where the old one is silent for too long.
    pub fn sweep(&mut self, reactor: &mut Reactor) {
        if self.wanted && !self.asking && self.stream.is_some() {
            return self.ask(reactor);
        }
        if !self.wanted {
            return;
        }
        if self.asking {
            if reactor.now < self.patience() {
                return;
            }
            let up = self
                .stream
                .as_ref()
                .is_some_and(|stream| stream.is_connected);
            self.failed(
                reactor,
                DiscoveryFailure::Timeout,
                if up { "no answer" } else { "it never came up" },
            );
        }
        if reactor.now >= self.next {
            self.connect(reactor);
        }
    }
}

/// Changes that come within so long of each other come in a row.
const IN_A_ROW: Duration = Duration::from_millis(100);

/// A list may be as long as this however little memory there is: 4 KiB each for 1,024 servers.
const LIST: usize = 4 << 20;

const TOO_LONG: &str = "longer than the memory allows";

/// Takes a whole HTTP answer off the front, past 1xx ones: its list, and the bytes that it took. An answer of more
/// than `most` bytes is wrong. One that tells no length is whole when the other side has put an end to it, and only then.
fn answer(bytes: &[u8], ended: bool, most: usize) -> Result<Option<(ListUpdate, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|error| error.to_string())? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if head.code.is_some_and(|code| (100..200).contains(&code)) {
        return Ok(answer(&bytes[start..], ended, most)?.map(|(news, took)| (news, start + took)));
    }
    let header = |name: &str| {
        let found = head
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok())
    };
    // What is no list is none before its body has come, nor does it need one.
    let code = head.code.unwrap_or(0);
    if code != 200 {
        return Err(format!("status {code}"));
    }
    let (body, end) = match header("Content-Length").map(|length| length.trim().parse::<usize>()) {
        Some(Ok(length)) if length > most.saturating_sub(start) => return Err(TOO_LONG.into()),
        Some(Ok(length)) if bytes.len() - start < length => return Ok(None),
        Some(Ok(length)) => (Cow::Borrowed(&bytes[start..start + length]), start + length),
        Some(Err(_)) => return Err("a wrong length".into()),
        None if header("Transfer-Encoding")
            .is_some_and(|how| how.eq_ignore_ascii_case("chunked")) =>
        {
            match chunks(bytes, start, most)? {
                Some((body, end)) => (Cow::Owned(body), end),
                None => return Ok(None),
            }
        }
        None if ended => (Cow::Borrowed(&bytes[start..]), bytes.len()),
        None => return Ok(None),
    };
    serde_json::from_slice(&body)
        .map(|news| Some((news, end)))
        .map_err(|error| error.to_string())
}

fn chunks(bytes: &[u8], mut next: usize, most: usize) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let (head, length) =
            match httparse::parse_chunk_size(&bytes[next..]).map_err(|e| e.to_string())? {
                httparse::Status::Complete((head, length)) => (head, length),
                httparse::Status::Partial => return Ok(None),
            };
        let start = next + head;
        let end = usize::try_from(length)
            .ok()
            .and_then(|length| start.checked_add(length)?.checked_add(2));
        let Some(end) = end.filter(|end| *end <= most) else {
            return Err(TOO_LONG.into());
        };
        if bytes.len() < end {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[start..end - 2]);
        next = end;
        if length == 0 {
            return Ok(Some((body, next)));
        }
    }
}

#[cfg(test)]
pub mod tests;
