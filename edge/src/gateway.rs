//! All that one gateway owns beside its decisions: the sides, the open API calls and the reactor they share.
//! Tells each event of the poll and each due time to the side that it belongs to.

use crate::clients::Clients;
use crate::component::Component;
use crate::counter::Counter;
use crate::deadlines::Deadline;
use crate::discovery::{self, Discovery};
use crate::metrics::Gauges;
use crate::notification::Notification;
use crate::peers::Peers;
use crate::pool::{NewAttempt, Pool};
use crate::reactor::Reactor;
use crate::readiness::Readiness;
use crate::requests::OpenRequests;
use crate::shutdown::GracefulShutdown;
use crate::StartupOnly;
use mio::Token;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::*;
use wellcrank::settings::Settings;

/// A gateway that has no server list, since its configuration holds none and discovery says nothing, is ready so long
/// after its start all the same: nine in ten restarted ones must be within 10 s. Harm: API calls come to it that others
/// could serve; it refuses them at once, with advice.
const READY: Duration = Duration::from_secs(8);

pub struct Gateway {
    pub reactor: Reactor,
    pub calls: OpenRequests,
    pub clients: Clients,
    pub pool: Pool,
    pub counter: Counter,
    pub discovery: Discovery,
    pub peers: Peers,
    pub signals: Signals,
    pub started: Duration,
    /// When discovery told last, news or none.
    pub list_heard: Option<Duration>,
    pub startup_only: StartupOnly,
    /// Seconds since the start, and when the next one is due.
    pub seconds: u64,
    pub next_second: Duration,
}

impl Gateway {
    pub fn ready(&mut self, token: Token, readiness: Readiness) {
        let Gateway {
            reactor,
            calls,
            clients,
            pool,
            ..
        } = self;
        match Component::from_token(token) {
            (Component::Listener, _) => clients.accept(reactor, calls),
            (Component::Client, key) => clients.ready(reactor, key, readiness, calls),
            (Component::Lingering, key) => clients.ending(reactor, key),
            (Component::Upstream, key) => pool.ready(reactor, key, readiness, calls, clients),
            (Component::Counter, key) => self.counter.ready(reactor, key, readiness),
            (Component::Discovery, key) => {
                if let Some(news) = self.discovery.ready(reactor, key, readiness) {
                    let since_last = self
                        .list_heard
                        .map(|heard| reactor.now.saturating_sub(heard));
                    self.list_heard = Some(reactor.now);
                    self.listed(news, since_last);
                }
            }
            (Component::Peers, _) => self.peers.ready(reactor),
            (Component::Signals, _) => {
                for signal in self.signals.pending() {
                    if signal == SIGHUP {
                        reread(
                            reactor,
                            &mut self.counter,
                            &mut self.discovery,
                            &self.startup_only,
                        );
                    } else if reactor.shutdown.is_none() {
                        slog::info!(reactor.log, "stopping: still answering"; "open" => calls.len());
                        reactor.shutdown =
                            Some(GracefulShutdown::new(reactor.now, &reactor.settings));
                    }
                }
            }
        }
    }

    /// A list or a change, from discovery or from the gateway's own configuration; how long ago discovery told before.
    pub fn listed(&mut self, news: discovery::ListUpdate, since_last: Option<Duration>) {
        let mut change = news.change();
        let log = &self.reactor.log;
        if let Some(first) = change.wrong.first() {
            slog::warn!(log, "the list has entries that can't be read"; "rev" => change.rev,
                "entries" => change.wrong.len(), "first" => first);
        }
        self.pool.complete(&mut change);
        let discovery::Change {
            rev, whole, lines, ..
        } = change;
        if whole || !lines.is_empty() {
            let are = |phase| lines.iter().filter(|(line, _)| line.state == phase).count();
            slog::info!(log, "list"; "rev" => rev, "whole" => whole, "ready" => are(EndpointState::Ready),
                "leaving" => are(EndpointState::Draining), "gone" => are(EndpointState::Removed));
            let told = lines.iter().map(|(line, _)| line.clone()).collect();
            self.pool.listed(&mut self.reactor, whole, lines);
            self.reactor.check_wall_clock();
            let timing = UpdateTiming {
                unix_now: self.reactor.clock.unix_now(),
                since_last_update: since_last,
            };
            let update = if whole {
                EndpointUpdate::Snapshot(told)
            } else {
                EndpointUpdate::Delta(told)
            };
            self.reactor
                .notify(Notification::EndpointUpdate { timing, update });
        }
        self.clients.ready = true;
    }

    pub fn due(&mut self, due: Deadline) {
        let reactor = &mut self.reactor;
        match due {
            Deadline::Attempt { key, connection } => self.pool.due(reactor, key, connection),
            Deadline::CounterCall { line, number } => self.counter.due(reactor, line, number),
            Deadline::ControllerTimer(token) => {
                reactor.notify(Notification::Timer(token));
                if token == TICK_TIMER {
                    self.sweep();
                }
            }
        }
    }

    /// What is done now and then; hangs on the decisions' one periodic timer.
    fn sweep(&mut self) {
        let Gateway {
            reactor,
            calls,
            clients,
            pool,
            ..
        } = self;
        if reactor.must_answer_now() {
            clients.last_answers(reactor, calls);
            for request in calls.wanted() {
                reactor.notify(Notification::ExpireRequest(request));
            }
        } else if reactor.is_draining() {
            clients.end_idle(reactor, calls);
        }
        clients.sweep_idle(reactor, calls);
        self.discovery.sweep(reactor);
        if reactor.now < self.next_second {
            return;
        }
        (self.seconds, self.next_second) = (self.seconds + 1, reactor.now + Duration::from_secs(1));
        if reactor.now >= self.started + READY && !clients.ready {
            slog::warn!(
                reactor.log,
                "no server list yet, but ready: API calls are refused until it comes"
            );
            clients.ready = true;
        }
        if self.seconds.is_multiple_of(60) {
            let gauges = Gauges {
                open_requests: calls.len(),
                client_connections: clients.len(),
                upstream_connections: pool.len(),
                buffered_bytes: reactor.buffered_bytes(),
            };
            reactor.metrics.report(&reactor.log, &gauges);
        }
        reactor.check_wall_clock();
        reactor.violations.report(&reactor.log);
        clients.sweep(reactor, calls);
        pool.sweep(reactor);
        self.counter.sweep(reactor);
    }

    /// Told to stop, and nobody is left to answer.
    pub fn finished(&mut self) -> bool {
        // What the counter has not answered by the end was written, and lapses with its name.
        let counted = self.counter.quiet() || self.reactor.must_answer_now();
        let quiet = self.clients.len() == 0 && self.calls.len() == 0 && counted;
        if !quiet || !self.reactor.is_draining() {
            return false;
        }
        // Who has connected since the last look is still answered.
        self.clients.accept(&mut self.reactor, &mut self.calls);
        self.clients.len() == 0
    }

    /// Writes what the turn has collected, once a connection.
    pub fn flush(&mut self) {
        let Gateway {
            reactor,
            calls,
            clients,
            pool,
            ..
        } = self;
        for token in reactor.take_scheduled_flushes() {
            match Component::from_token(token) {
                (Component::Client, key) => clients.flush(reactor, key, calls),
                (Component::Upstream, key) => pool.flush(reactor, key, calls),
                (Component::Counter, key) => self.counter.flush(reactor, key),
                (_, key) => self.discovery.flush(reactor, key),
            }
        }
    }

    pub fn resume(&mut self) -> bool {
        self.clients.resume(&mut self.reactor, &mut self.calls)
    }

    /// Sends an API call on, if it is still open and has a try and time left.
    pub fn send(
        &mut self,
        call: &RequestId,
        server: &EndpointId,
        timeout: Duration,
        whole_by: Duration,
    ) {
        let Gateway {
            reactor,
            calls,
            pool,
            ..
        } = self;
        let (now, most) = (reactor.now, reactor.settings.limits.max_attempts);
        let Some(open) = calls.get_mut(call) else {
            return;
        };
        let number = AttemptNumber(open.attempts);
        open.attempts += 1;
        let until = if timeout.is_zero() {
            open.deadline
        } else {
            open.deadline.min(now + timeout)
        };
        if !open.is_wanted() || until <= now || (most > 0 && number.0 >= most) {
            return pool.not_sent(reactor, call, number);
        }
        let attempt = NewAttempt {
            request: call,
            number,
            endpoint: server,
            deadline: until,
            send_by: whole_by,
        };
        pool.send(reactor, &attempt);
    }

    /// The one final answer that the decisions give.
    pub fn answer(&mut self, call: &RequestId, write: impl FnOnce(&mut Vec<u8>)) {
        let place = self
            .calls
            .get_mut(call)
            .filter(|open| !open.answered)
            .map(|open| open.slot);
        self.forget(call);
        if let Some(place) = place {
            self.clients.answer(&mut self.reactor, place, write);
        }
    }

    /// The client of an API call has gone.
    pub fn left(&mut self, call: &RequestId) {
        self.reactor.metrics.disconnected += 1;
        self.forget(call);
    }

    /// The API call is over and the decisions know.
    pub fn forget(&mut self, call: &RequestId) {
        if let Some(open) = self.calls.remove(call) {
            self.reactor.release_buffered_bytes(open.command.size());
        }
    }
}

/// SIGHUP: the file is read again. Its settings hold from now on, and it is followed where it says that others are; a
/// bad one changes nothing.
fn reread(
    reactor: &mut Reactor,
    counter: &mut Counter,
    discovery: &mut Discovery,
    started: &StartupOnly,
) {
    match crate::told() {
        Ok((told, settings)) => {
            let mut later = started.differing(&told.startup_only());
            if settings.limits.peer_messages != reactor.settings.limits.peer_messages {
                later.push("settings.ceilings.peers");
            }
            if !later.is_empty() {
                slog::warn!(reactor.log, "these count at the next start only"; "fields" => later.join(", "));
            }
            reconfigure(reactor, discovery, settings);
            slog::info!(reactor.log, "file read again"; "discovery" => %told.discovery, "counter" => ?told.counter);
            discovery.move_to(reactor, told.discovery);
            counter.move_to(reactor, told.counter);
        }
        Err(why) => {
            slog::warn!(reactor.log, "file not read again, the old one stays"; "why" => %why)
        }
    }
}

/// The settings of the file; where they are as before, nothing changes.
fn reconfigure(reactor: &mut Reactor, discovery: &mut Discovery, settings: Settings) {
    if settings == *reactor.settings {
        return;
    }
    reactor.replace_settings(Rc::new(settings));
    discovery.reconfigure(reactor);
    if let Some(shutdown) = &mut reactor.shutdown {
        shutdown.shorten(&reactor.settings);
    }
    // In its turn: what has arrived before keeps the terms that it was checked against.
    reactor.notify(Notification::Reconfigure(reactor.settings.clone()));
}
