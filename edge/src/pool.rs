//! Connections to app servers: one upstream try at a time on each, the latest used first, closed before the
//! app server would. Whether the last byte of a command was written decides if it may have run; nothing is
//! sent again from here.

use crate::calls::Calls;
use crate::clients::Clients;
use crate::discovery::Change;
use crate::must;
use crate::reactor::{Due, DueId, Notification, Reactor, Serial, Side};
use crate::readiness::Readiness;
use crate::resp::{self, Reply};
use crate::stream::BufferedStream;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::port::*;

/// The upstream try that a connection carries; left behind by the send, handed the answer.
struct Job {
    call: RequestId,
    number: AttemptNumber,
    sent: Duration,
    until: Duration,
    /// The command must have gone out whole by then.
    whole_by: Duration,
    due: DueId,
    /// Its beginning was put off until the poll had been asked once more.
    put_off: bool,
    begun: bool,
    whole: bool,
    /// A part of the answer has come, and the rest must within a connection's time.
    part: bool,
}

struct Upstream {
    stream: BufferedStream,
    server: EndpointId,
    life: u32,
    connection: Serial,
    job: Option<Job>,
    used: Duration,
}

struct Known {
    at: SocketAddr,
    started: Option<UnixTime>,
    /// Counts its starts and moves: a connection belongs to one life of the server.
    life: u32,
    ready: bool,
    /// Keys of connections that carry nothing, the latest used last.
    idle: Vec<usize>,
}

#[derive(Default)]
pub struct Pool {
    connections: Slab<Upstream>,
    known: BTreeMap<EndpointId, Known>,
    /// Those of them that are to get nothing more.
    unready: BTreeSet<EndpointId>,
    out: BTreeMap<(RequestId, AttemptNumber), usize>,
}

/// A second answer to a try may come some milliseconds behind the first: only a connection that has been idle for so
/// long is used again. Harm: a busy gateway opens a connection more.
const SETTLES: Duration = Duration::from_millis(20);

/// A turn that has gone on for so long has not seen who has left since, nor what drains.
const LONG_TURN: Duration = Duration::from_millis(50);

/// So much of a client's time may have passed unseen, at the most; of little time, a quarter.
const UNSEEN: Duration = Duration::from_millis(50);

/// For how long an idle connection is used, if for a limited time: less than the server lets it stand by the time that
/// one takes to come up, a quarter at most, since the server's end and a command may cross.
fn stands(reactor: &Reactor) -> Option<Duration> {
    let idle = reactor.settings.limits.idle_timeout;
    let ahead = reactor.connect_timeout().min(idle / 4);
    (!idle.is_zero()).then(|| idle - ahead)
}

/// What a command says is left of its time. The client's clock began before its command was read, and the gateway may be
/// held up once more before the command goes.
fn told_wait(left: Duration) -> Duration {
    left - UNSEEN.min(left / 4)
}

fn ended(
    reactor: &mut Reactor,
    call: RequestId,
    number: AttemptNumber,
    outcome: AttemptOutcome,
    sent: Duration,
) {
    let latency = reactor.now.saturating_sub(sent);
    let end = AttemptResult {
        outcome,
        latency,
        request_closed: false,
        settled_units: None,
        load: BTreeMap::new(),
    };
    reactor
        .notifications
        .push_back(Notification::Ended(call, number, end));
}

impl Pool {
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn not_sent(&mut self, reactor: &mut Reactor, call: &RequestId, number: AttemptNumber) {
        ended(
            reactor,
            call.clone(),
            number,
            AttemptOutcome::NotSent,
            reactor.now,
        );
    }

    /// A server without an address that can be read keeps the one it has; one that never had one is left out. Where
    /// entries of a whole list can't be read, their servers stay as they are, so the list becomes what changes.
    pub fn complete(&self, change: &mut Change) {
        change
            .lines
            .retain(|(line, at)| at.is_some() || self.known.contains_key(&line.id));
        if !change.whole || change.kept.is_empty() {
            return;
        }
        let told: BTreeSet<&EndpointId> = change
            .lines
            .iter()
            .map(|(line, _)| &line.id)
            .chain(&change.kept)
            .collect();
        let missing: Vec<EndpointId> = self
            .known
            .keys()
            .filter(|server| !told.contains(server))
            .cloned()
            .collect();
        change.whole = false;
        change.lines.extend(
            missing
                .into_iter()
                .map(|server| (Endpoint::removed(server), None)),
        );
    }

    /// The server list has told: addresses are known, and what was not begun at a server that drains or is
    /// gone is not begun any more.
    pub fn listed(
        &mut self,
        reactor: &mut Reactor,
        whole: bool,
        lines: Vec<(Endpoint, Option<SocketAddr>)>,
    ) {
        let mut over: Vec<usize> = Vec::new();
        if whole {
            let told: BTreeSet<&EndpointId> = lines.iter().map(|(line, _)| &line.id).collect();
            for (server, known) in &mut self.known {
                known.ready &= told.contains(server);
            }
            let unready = self.known.iter().filter(|(_, known)| !known.ready);
            self.unready = unready.map(|(server, _)| server.clone()).collect();
        }
        for (line, at) in lines {
            let ready = line.state == EndpointState::Ready;
            let started = line.started_at;
            match ready || (at.is_none() && !self.known.contains_key(&line.id)) {
                true => drop(self.unready.remove(&line.id)),
                false => drop(self.unready.insert(line.id.clone())),
            }
            match (self.known.get_mut(&line.id), at) {
                (Some(known), at) => {
                    let at = at.unwrap_or(known.at);
                    // A machine that was silent may be back without having ended its old connections.
                    if (at, started) != (known.at, known.started) {
                        known.life += 1;
                        over.append(&mut known.idle);
                    }
                    (known.ready, known.at, known.started) = (ready, at, started);
                }
                (None, Some(at)) => {
                    let known = Known {
                        at,
                        started,
                        life: 0,
                        ready,
                        idle: vec![],
                    };
                    self.known.insert(line.id, known);
                }
                (None, None) => (),
            }
        }
        // Thousands of servers are not looked through for a change of one.
        let leaving = self.unready.iter().map(|server| &self.known[server]);
        over.extend(leaving.flat_map(|known| known.idle.iter().copied()));
        let unbegun = self.connections.iter().filter(|(_, connection)| {
            connection.job.as_ref().is_some_and(|job| !job.begun)
                && !self.known[&connection.server].ready
        });
        over.extend(unbegun.map(|(key, _)| key));
        for key in over {
            self.fail(reactor, key);
        }
        let used: BTreeSet<&EndpointId> = self
            .connections
            .iter()
            .map(|(_, connection)| &connection.server)
            .collect();
        let known = &mut self.known;
        self.unready.retain(|server| {
            let stays = used.contains(server);
            if !stays {
                known.remove(server);
            }
            stays
        });
    }

    /// Begins an upstream try. The one place every send passes: its end is reported in any case.
    pub fn send(
        &mut self,
        reactor: &mut Reactor,
        (call, number): (&RequestId, AttemptNumber),
        server: &EndpointId,
        (until, whole_by): (Duration, Duration),
    ) {
        let now = reactor.now;
        let over =
            |reactor: &mut Reactor, outcome| ended(reactor, call.clone(), number, outcome, now);
        let Some(known) = self.known.get_mut(server).filter(|known| known.ready) else {
            return over(reactor, AttemptOutcome::ConnectFailed);
        };
        let (at, life) = (known.at, known.life);
        let key = match self.idle(reactor, server) {
            Some(key) => key,
            None if !self.make_room(reactor) => return over(reactor, AttemptOutcome::NotSent),
            None => {
                let key = self.connections.vacant_key();
                let stream = match BufferedStream::connect(reactor, at, Side::Upstream, key) {
                    Ok(stream) => stream,
                    Err(error) => {
                        use io::ErrorKind::{
                            ConnectionRefused, HostUnreachable, NetworkUnreachable,
                        };
                        let theirs = [ConnectionRefused, HostUnreachable, NetworkUnreachable];
                        // Else no descriptor, no port: the gateway's own want.
                        let theirs = theirs.contains(&error.kind());
                        return over(
                            reactor,
                            if theirs {
                                AttemptOutcome::ConnectFailed
                            } else {
                                AttemptOutcome::NotSent
                            },
                        );
                    }
                };
                let connection = reactor.serial();
                let (server, job) = (server.clone(), None);
                self.connections.insert(Upstream {
                    stream,
                    server,
                    life,
                    connection,
                    job,
                    used: now,
                })
            }
        };
        let upstream = &mut self.connections[key];
        must!(
            reactor,
            upstream.job.is_none(),
            "one upstream try on a connection"
        );
        upstream.stream.flush_later(reactor);
        let coming_up = if upstream.stream.up {
            until
        } else {
            now + reactor.connect_timeout()
        };
        let due = reactor.at(
            until.min(whole_by).min(coming_up),
            Due::Try {
                key,
                connection: upstream.connection,
            },
        );
        let (call, sent) = (call.clone(), now);
        self.out.insert((call.clone(), number), key);
        let (put_off, begun, whole, part) = (false, false, false, false);
        upstream.job = Some(Job {
            call,
            number,
            sent,
            until,
            whole_by,
            due,
            put_off,
            begun,
            whole,
            part,
        });
    }

    /// The connection to a server that was idle for the shortest time, but for `SETTLES` at least, and not for as long
    /// as the server may let it stand. One on which anything has come since its last answer, or that has ended, is no
    /// longer of use: what came would serve the next try.
    fn idle(&mut self, reactor: &mut Reactor, server: &EndpointId) -> Option<usize> {
        let stands = stands(reactor);
        loop {
            let idle = &mut self.known.get_mut(server)?.idle;
            let settled = |key: &usize| self.connections[*key].used + SETTLES <= reactor.now;
            let key = idle.remove(idle.iter().rposition(settled)?);
            let upstream = &mut self.connections[key];
            let fresh = stands.is_none_or(|stands| reactor.now < upstream.used + stands);
            if fresh
                && upstream.stream.read(reactor, resp::WHOLE)
                && upstream.stream.input.is_empty()
            {
                return Some(key);
            }
            self.close(reactor, key);
        }
    }

    /// Whether one more connection may be opened, if need be in place of the longest idle one.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        if self.connections.len() < reactor.budget.upstream {
            return true;
        }
        let longest = self.known.values().filter_map(|known| known.idle.first());
        let longest = longest
            .min_by_key(|key| self.connections[**key].used)
            .copied();
        longest.map(|key| self.close(reactor, key)).is_some()
    }

    /// Gives an upstream try up, by closing its connection.
    pub fn cancel(&mut self, reactor: &mut Reactor, call: &RequestId, number: AttemptNumber) {
        if let Some(key) = self.out.get(&(call.clone(), number)).copied() {
            let begun = self.connections[key]
                .job
                .as_ref()
                .is_some_and(|job| job.begun);
            self.end(
                reactor,
                key,
                if begun {
                    AttemptOutcome::Cancelled
                } else {
                    AttemptOutcome::NotSent
                },
            );
        }
    }

    /// The time of a try is up, or that to connect for it, or that for its command to go out.
    pub fn due(&mut self, reactor: &mut Reactor, key: usize, connection: Serial) {
        let now = reactor.now;
        let Some(upstream) = self
            .connections
            .get_mut(key)
            .filter(|it| it.connection == connection)
        else {
            return;
        };
        let Some(job) = &mut upstream.job else { return };
        let until = if job.whole {
            job.until
        } else {
            job.until.min(job.whole_by)
        };
        if upstream.stream.up && now < until {
            if job.part {
                return self.spoilt(reactor, key);
            }
            job.due = reactor.at(until, Due::Try { key, connection });
            return;
        }
        let outcome = match (job.whole, upstream.stream.up && !job.begun) {
            (true, _) => AttemptOutcome::TimedOut,
            (_, true) => AttemptOutcome::NotSent,
            _ => AttemptOutcome::ConnectFailed,
        };
        self.end(reactor, key, outcome);
    }

    pub fn ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
        calls: &mut Calls,
        clients: &mut Clients,
    ) {
        let Some(upstream) = self.connections.get_mut(key) else {
            return;
        };
        let unbegun = upstream.job.as_ref().is_some_and(|job| !job.begun);
        if readiness.is_writable() && (unbegun || upstream.stream.left() > 0) {
            if upstream.stream.opened().is_err() {
                return self.fail(reactor, key);
            }
            self.flush(reactor, key, calls);
        }
        let Some(upstream) = self.connections.get_mut(key) else {
            return;
        };
        if readiness.should_read() {
            upstream.stream.drained = false;
            let open = upstream.stream.read(reactor, resp::WHOLE);
            let more = !upstream.stream.drained;
            self.answered(reactor, key, calls, clients);
            if !self.connections.contains(key) {
                return;
            }
            if !open {
                self.fail(reactor, key);
            } else if more {
                // It goes on beyond what an answer can be.
                self.spoilt(reactor, key);
            }
        }
    }

    /// Hands a whole answer to the try that waits for it.
    fn answered(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        calls: &mut Calls,
        clients: &mut Clients,
    ) {
        let upstream = &mut self.connections[key];
        if upstream.stream.input.is_empty() {
            return;
        }
        // What comes before the command has gone out is no answer to it.
        let Some(job) = upstream.job.as_mut().filter(|job| job.whole) else {
            return self.fail(reactor, key);
        };
        let (reply, took) = match resp::reply(&upstream.stream.input) {
            Ok(Some(read)) => read,
            Ok(None) => {
                if !std::mem::replace(&mut job.part, true) {
                    reactor.unset(job.due);
                    let soon = job.until.min(reactor.now + reactor.connect_timeout());
                    job.due = reactor.at(
                        soon,
                        Due::Try {
                            key,
                            connection: upstream.connection,
                        },
                    );
                }
                return;
            }
            Err(_) => return self.spoilt(reactor, key),
        };
        let (mut outcome, mut settled) = (AttemptOutcome::ServerError, None);
        let load;
        match reply {
            Reply::Value {
                value,
                figures,
                load: report,
            } => {
                (outcome, load) = (AttemptOutcome::Success, report);
                let cost = resp::pairs(figures).find(|(name, _)| *name == "cost");
                let most = crate::calls::most_units(&reactor.settings);
                settled = cost.and_then(|(_, units)| units.parse().ok());
                settled = settled.filter(|units: &f64| *units > 0.0 && *units <= most);
                if let Some(open) = calls.get(&job.call).filter(|open| !open.answered) {
                    open.answered = true;
                    reactor.tally.proxied += 1;
                    clients.answer(reactor, open.place, |out| resp::put_bulk(out, value));
                }
            }
            Reply::Busy { load: report } => (outcome, load) = (AttemptOutcome::Rejected, report),
            Reply::Failed { text, load: report } => {
                must!(
                    reactor,
                    !text.starts_with("SYNTAX"),
                    "an app server knows the commands it is sent"
                );
                load = report;
            }
        }
        let load =
            resp::pairs(load).filter_map(|(name, value)| Some((name.into(), value.parse().ok()?)));
        let load = load
            .filter(|(_, value): &(String, f64)| value.is_finite())
            .collect();
        let Some(job) = self.take_job(reactor, key) else {
            return;
        };
        let latency = reactor.now.saturating_sub(job.sent);
        let end = AttemptResult {
            outcome,
            latency,
            request_closed: false,
            settled_units: settled,
            load,
        };
        reactor
            .notifications
            .push_back(Notification::Ended(job.call, job.number, end));
        let upstream = &mut self.connections[key];
        upstream.stream.take(reactor, took);
        upstream.used = reactor.now;
        let life = upstream.life;
        let known = self
            .known
            .get_mut(&upstream.server)
            .filter(|known| known.ready && known.life == life);
        match known.filter(|_| upstream.stream.input.is_empty()) {
            Some(known) => known.idle.push(key),
            None => self.close(reactor, key),
        }
    }

    /// Writes what it can of a command. The one place where one begins, perhaps long after it was decided, since its
    /// connection had to come up: the terms under which it was decided must hold still.
    pub fn flush(&mut self, reactor: &mut Reactor, key: usize, calls: &mut Calls) {
        let Some(upstream) = self.connections.get_mut(key) else {
            return;
        };
        if let Some(job) = upstream.job.as_mut().filter(|job| !job.begun) {
            if !upstream.stream.up {
                return;
            }
            // The turn may have been long: what is left is asked of the clock, not of the turn, and what has happened
            // since is met first, once.
            let now = reactor.clock.now();
            if now > reactor.polled + LONG_TURN && !job.put_off {
                job.put_off = true;
                return reactor.written_next.push(Side::Upstream.token(key));
            }
            let known = self.known.get(&upstream.server);
            let fit = known.is_some_and(|known| known.ready && known.life == upstream.life);
            let open = calls.get(&job.call).filter(|open| open.wanted() && fit);
            let Some(open) = open.filter(|_| now < job.until.min(job.whole_by)) else {
                reactor.tally.lapsed += 1;
                return self.end(reactor, key, AttemptOutcome::NotSent);
            };
            let left = job.until - now;
            upstream.stream.take_back(reactor);
            upstream
                .stream
                .put(reactor, |out| open.api_call.put(out, told_wait(left)));
        }
        match upstream.stream.flush(reactor) {
            Ok(moved) => {
                let left = upstream.stream.left();
                if let Some(job) = &mut upstream.job {
                    job.begun |= moved;
                    job.whole = left == 0;
                }
            }
            Err(_) => self.fail(reactor, key),
        }
    }

    /// What has come can't be read: an error of the server's, after the call may have run.
    fn spoilt(&mut self, reactor: &mut Reactor, key: usize) {
        reactor.tally.spoilt += 1;
        self.end(reactor, key, AttemptOutcome::ServerError);
    }

    /// The connection broke, ended or never came up.
    fn fail(&mut self, reactor: &mut Reactor, key: usize) {
        let whole = self.connections[key]
            .job
            .as_ref()
            .is_some_and(|job| job.whole);
        self.end(
            reactor,
            key,
            if whole {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::ConnectFailed
            },
        );
    }

    /// Ends the try that a connection carries, if any, and the connection with it.
    fn end(&mut self, reactor: &mut Reactor, key: usize, outcome: AttemptOutcome) {
        if let Some(job) = self.take_job(reactor, key) {
            ended(reactor, job.call, job.number, outcome, job.sent);
        }
        self.close(reactor, key);
    }

    /// The try is no longer out.
    fn take_job(&mut self, reactor: &mut Reactor, key: usize) -> Option<Job> {
        let job = self.connections[key].job.take()?;
        reactor.unset(job.due);
        self.out.remove(&(job.call.clone(), job.number));
        Some(job)
    }

    fn close(&mut self, reactor: &mut Reactor, key: usize) {
        let upstream = self.connections.remove(key);
        must!(
            reactor,
            upstream.job.is_none(),
            "a try's end is told before its connection closes"
        );
        if let Some(known) = self.known.get_mut(&upstream.server) {
            known.idle.retain(|other| *other != key);
        }
        upstream.stream.close(reactor);
    }

    /// Closes the connections to a server that carry nothing.
    pub fn release(&mut self, reactor: &mut Reactor, server: &EndpointId) {
        let idle = self
            .known
            .get_mut(server)
            .map(|known| std::mem::take(&mut known.idle));
        for key in idle.unwrap_or_default() {
            self.close(reactor, key);
        }
    }

    /// Closes what has been idle for long, before the app server would.
    pub fn sweep(&mut self, reactor: &mut Reactor) {
        let Some(stands) = stands(reactor) else {
            return;
        };
        let old = |key: &&usize| self.connections[**key].used + stands <= reactor.now;
        let all = self.known.values();
        let over: Vec<usize> = all
            .flat_map(|known| known.idle.iter().take_while(old).copied())
            .collect();
        for key in over {
            self.close(reactor, key);
        }
    }
}
