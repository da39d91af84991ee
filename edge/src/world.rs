//! All that one gateway owns beside its decisions: the sides, the open API calls and the hub they share.
//! Tells each event of the poll and each due time to the side that it belongs to.

use crate::calls::Calls;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::discovery::{self, Discovery};
use crate::leaving::Leaving;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::turn::{Due, Hub, News, Side};
use mio::event::Event;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::time::Duration;
use wellcrank::port::*;

pub struct World {
    pub hub: Hub,
    pub calls: Calls,
    pub clients: Clients,
    pub pool: Pool,
    pub counter: Counter,
    pub discovery: Discovery,
    pub peers: Peers,
    pub signals: Signals,
    /// Told to stop.
    pub stopping: Option<Leaving>,
    /// Seconds since the start, and when the next one is due.
    pub seconds: u64,
    pub next_second: Duration,
}

impl World {
    pub fn ready(&mut self, event: &Event) {
        let World { hub, calls, clients, pool, .. } = self;
        match Side::of(event.token()) {
            (Side::Listener, _) => clients.accept(hub, calls),
            (Side::Client, key) => clients.ready(hub, key, calls),
            (Side::Upstream, key) => pool.ready(hub, key, event, calls, clients),
            (Side::Counter, key) => self.counter.ready(hub, key, event),
            (Side::Discovery, key) => {
                if let Some(news) = self.discovery.ready(hub, key, event) {
                    self.listed(news);
                }
            }
            (Side::Peers, _) => self.peers.ready(hub),
            (Side::Signal, _) => {
                for signal in self.signals.pending() {
                    if signal == SIGHUP {
                        reread(hub, &mut self.counter, &mut self.discovery);
                    } else if self.stopping.is_none() {
                        slog::info!(hub.log, "stopping: still answering"; "open" => calls.len());
                        self.stopping = Some(Leaving::new(hub.now, &hub.facts));
                    }
                }
            }
        }
    }

    /// A list or a change, from discovery or from the gateway's own configuration.
    pub fn listed(&mut self, news: discovery::News) {
        let mut change = news.change();
        let log = &self.hub.log;
        if let Some(first) = change.wrong.first() {
            slog::warn!(log, "the list has entries that can't be read"; "rev" => change.rev,
                "entries" => change.wrong.len(), "first" => first);
        }
        self.pool.complete(&mut change);
        let discovery::Change { rev, whole, lines, .. } = change;
        if whole || !lines.is_empty() {
            let are = |phase| lines.iter().filter(|(line, _)| line.phase == phase).count();
            slog::info!(log, "list"; "rev" => rev, "whole" => whole, "ready" => are(Phase::Ready),
                "leaving" => are(Phase::Draining), "gone" => are(Phase::Gone));
            let told = lines.iter().map(|(line, _)| line.clone()).collect();
            self.pool.listed(&mut self.hub, whole, lines);
            self.hub.news.push_back(News::Listed(whole, told));
        }
        self.clients.ready = true;
    }

    pub fn due(&mut self, due: Due) {
        let hub = &mut self.hub;
        match due {
            Due::Try { key, connection } => self.pool.due(hub, key, connection),
            Due::Count { line, number } => self.counter.due(hub, line, number),
            Due::Wake(token) => {
                hub.news.push_back(News::Woken(token));
                if token == TICK_TOKEN {
                    self.sweep();
                }
            }
        }
    }

    /// Told to stop, and others have had the time to connect and to notice; until then all goes on as before.
    fn leaving(&self) -> bool {
        self.stopping.is_some_and(|leaving| leaving.closes < self.hub.now)
    }

    /// What is done now and then; hangs on the decisions' one periodic timer.
    fn sweep(&mut self) {
        self.hub.leaving = self.leaving();
        let World { hub, calls, clients, pool, .. } = self;
        if hub.leaving {
            clients.close_idle(hub, calls);
        }
        if self.stopping.is_some_and(|leaving| leaving.answers <= hub.now) {
            hub.news.extend(calls.unanswered().map(News::Expired));
        }
        clients.sweep_idle(hub, calls);
        self.discovery.sweep(hub);
        if hub.now < self.next_second {
            return;
        }
        (self.seconds, self.next_second) = (self.seconds + 1, hub.now + Duration::from_secs(1));
        if self.seconds.is_multiple_of(60) {
            hub.tally.report(&hub.log, calls.len(), clients.len(), pool.len(), hub.held);
        }
        hub.clock.follow();
        hub.report_faults();
        clients.sweep(hub, calls);
        pool.sweep(hub);
        self.counter.sweep(hub);
    }

    /// Told to stop, and nobody is left to answer.
    pub fn finished(&mut self) -> bool {
        let quiet = self.clients.len() == 0 && self.calls.len() == 0 && self.counter.quiet();
        if !quiet || !self.leaving() {
            return false;
        }
        // Who has connected since the last look is still answered.
        self.clients.accept(&mut self.hub, &mut self.calls);
        self.clients.len() == 0
    }

    /// Writes what the turn has collected, once a connection.
    pub fn flush(&mut self) {
        let World { hub, calls, clients, pool, .. } = self;
        for token in std::mem::take(&mut hub.written) {
            match Side::of(token) {
                (Side::Client, key) => clients.flush(hub, key, calls),
                (Side::Upstream, key) => pool.flush(hub, key, calls),
                (Side::Counter, key) => self.counter.flush(hub, key),
                (_, key) => self.discovery.flush(hub, key),
            }
        }
    }

    pub fn resume(&mut self) -> bool {
        self.clients.resume(&mut self.hub, &mut self.calls)
    }

    /// Sends an API call on, if it is still open and has a try and time left.
    pub fn send(&mut self, call: &CallId, server: &ServerId, timeout: Duration, whole_by: Duration) {
        let World { hub, calls, pool, .. } = self;
        let (now, most) = (hub.now, hub.facts.number("limits.max_attempts") as u32);
        let Some(open) = calls.get(call) else { return };
        let number = TryNumber(open.tries);
        open.tries += 1;
        let until = if timeout.is_zero() { open.until } else { open.until.min(now + timeout) };
        if !open.wanted() || until <= now || (most > 0 && number.0 >= most) {
            return pool.not_sent(hub, call, number);
        }
        pool.send(hub, (call, number), server, (until, whole_by), &open.asked);
    }

    /// The one final answer that the decisions give.
    pub fn answer(&mut self, call: &CallId, write: impl FnOnce(&mut Vec<u8>)) {
        let place = self.calls.get(call).filter(|open| open.wanted()).map(|open| open.place);
        self.forget(call);
        if let Some(place) = place {
            self.clients.answer(&mut self.hub, place, write);
        }
    }

    /// The client of an API call has gone.
    pub fn left(&mut self, call: &CallId) {
        self.hub.tally.gone += 1;
        self.forget(call);
    }

    /// The API call is over and the decisions know.
    pub fn forget(&mut self, call: &CallId) {
        if let Some(open) = self.calls.remove(call) {
            self.hub.freed(open.asked.size());
        }
    }
}

/// SIGHUP: the file is read again and followed where it says that others are; a bad one changes nothing.
fn reread(hub: &mut Hub, counter: &mut Counter, discovery: &mut Discovery) {
    match crate::told() {
        Ok(told) => {
            slog::info!(hub.log, "file read again"; "discovery" => %told.discovery, "counter" => ?told.counter);
            discovery.move_to(hub, told.discovery);
            counter.move_to(hub, told.counter);
        }
        Err(why) => slog::warn!(hub.log, "file not read again, the old one stays"; "why" => %why),
    }
}
