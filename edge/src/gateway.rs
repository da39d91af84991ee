//! All that one gateway owns beside its decisions: the sides, the open API calls and the reactor they share.
//! Tells each event of the poll and each due time to the side that it belongs to.

use crate::clients::Clients;
use crate::counter::Counter;
use crate::discovery::{self, Discovery};
use crate::peers::Peers;
use crate::pool::{NewAttempt, Pool};
use crate::reactor::{Due, Notification, Reactor, Side};
use crate::requests::OpenRequests;
use crate::shutdown::GracefulShutdown;
use crate::StartupOnly;
use mio::event::Event;
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
    pub fn ready(&mut self, event: &Event) {
        let Gateway {
            reactor,
            calls,
            clients,
            pool,
            ..
        } = self;
        match Side::of(event.token()) {
            (Side::Listener, _) => clients.accept(reactor, calls),
            (Side::Client, key) => clients.ready(reactor, key, calls),
            (Side::Lingering, key) => clients.ending(reactor, key),
            (Side::Upstream, key) => pool.ready(reactor, key, event, calls, clients),
            (Side::Counter, key) => self.counter.ready(reactor, key, event),
            (Side::Discovery, key) => {
                if let Some(news) = self.discovery.ready(reactor, key, event) {
                    let since_last = self
                        .list_heard
                        .map(|heard| reactor.now.saturating_sub(heard));
                    self.list_heard = Some(reactor.now);
                    self.listed(news, since_last);
                }
            }
            (Side::Peers, _) => self.peers.ready(reactor),
            (Side::Signal, _) => {
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
            self.reactor.look_at_clock();
            let time = UpdateTiming {
                unix_now: self.reactor.clock.unix_now(),
                since_last_update: since_last,
            };
            let update = if whole {
                EndpointUpdate::Snapshot(told)
            } else {
                EndpointUpdate::Delta(told)
            };
            self.reactor
                .notifications
                .push_back(Notification::EndpointUpdate(time, update));
        }
        self.clients.ready = true;
    }

    pub fn due(&mut self, due: Due) {
        let reactor = &mut self.reactor;
        match due {
            Due::Try { key, connection } => self.pool.due(reactor, key, connection),
            Due::Count { line, number } => self.counter.on_timeout(reactor, line, number),
            Due::Wake(token) => {
                reactor.notifications.push_back(Notification::Woken(token));
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
        if reactor.last_answers() {
            clients.last_answers(reactor, calls);
            reactor
                .notifications
                .extend(calls.wanted().map(Notification::Expired));
        } else if reactor.closing() {
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
            reactor.tally.report(
                &reactor.log,
                calls.len(),
                clients.len(),
                pool.len(),
                reactor.held,
            );
        }
        reactor.look_at_clock();
        reactor.report_faults();
        clients.sweep(reactor, calls);
        pool.sweep(reactor);
        self.counter.ping_idle(reactor);
    }

    /// Told to stop, and nobody is left to answer.
    pub fn finished(&mut self) -> bool {
        // What the counter has not answered by the end was written, and lapses with its name.
        let counted = self.counter.owes_no_replies() || self.reactor.last_answers();
        let quiet = self.clients.len() == 0 && self.calls.len() == 0 && counted;
        if !quiet || !self.reactor.closing() {
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
        for token in std::mem::take(&mut reactor.written) {
            match Side::of(token) {
                (Side::Client, key) => clients.flush(reactor, key, calls),
                (Side::Upstream, key) => pool.flush(reactor, key, calls),
                (Side::Counter, key) => self.counter.flush(reactor, key),
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
        self.reactor.tally.gone += 1;
        self.forget(call);
    }

    /// The API call is over and the decisions know.
    pub fn forget(&mut self, call: &RequestId) {
        if let Some(open) = self.calls.remove(call) {
            self.reactor.freed(open.command.size());
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
    reactor.settings = Rc::new(settings);
    reactor.settings_generation += 1;
    slog::info!(reactor.log, "settings changed"; "generation" => reactor.settings_generation);
    discovery.reconfigure(reactor);
    if let Some(shutdown) = &mut reactor.shutdown {
        shutdown.shorten(&reactor.settings);
    }
    // In its turn: what has arrived before keeps the terms that it was checked against.
    reactor
        .notifications
        .push_back(Notification::Reconfigured(reactor.settings.clone()));
}
