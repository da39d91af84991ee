//! What all sides of the gateway share: the poll's registry, the due times in one ordered structure, what waits for
//! the decisions, and counts of what must hold.

use crate::budget::Budget;
use crate::clock::Clock;
use crate::shutdown::GracefulShutdown;
use crate::tally::Tally;
use mio::{Registry, Token};
use slog::Logger;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::*;
use wellcrank::settings::Settings;

/// Asserted in debug builds, counted in release builds.
#[macro_export]
macro_rules! must {
    ($reactor:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $reactor.fault(concat!(file!(), ": ", $what));
        }
    };
}

/// Whom a token of the poll belongs to; the rest of it is a key in that side's slab.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Side {
    Listener,
    Signal,
    Peers,
    Client,
    Lingering,
    Upstream,
    Counter,
    Discovery,
}

const SIDES: [Side; 8] = [
    Side::Listener,
    Side::Signal,
    Side::Peers,
    Side::Client,
    Side::Lingering,
    Side::Upstream,
    Side::Counter,
    Side::Discovery,
];

impl Side {
    pub fn token(self, key: usize) -> Token {
        Token(key * SIDES.len() + self as usize)
    }

    pub fn of(token: Token) -> (Side, usize) {
        (SIDES[token.0 % SIDES.len()], token.0 / SIDES.len())
    }
}

/// A number that is given once: to an API call, a connection, a due time.
pub type Serial = u64;

/// Something for the decisions.
pub enum Notification {
    Arrived(Request),
    /// Taken, and not to be decided: the gateway is full, or the client has ended its sending.
    Refused(RequestId),
    Gone(RequestId),
    /// Its time is up sooner than it was told.
    Expired(RequestId),
    Ended(RequestId, AttemptNumber, AttemptResult),
    Counted(CounterName, CounterReply),
    EndpointUpdate(UpdateTiming, EndpointUpdate),
    Woken(TimerToken),
    Reconfigured(Rc<Settings>),
}

/// What falls due: a wake of the decisions, the end of an upstream try's time, that of a counter call.
#[derive(Clone, Copy)]
pub enum Due {
    Wake(TimerToken),
    Try { key: usize, connection: Serial },
    Count { line: usize, number: Serial },
}

pub type DueId = (Duration, Serial);

/// What all sides share.
pub struct Reactor {
    pub registry: Registry,
    pub clock: Clock,
    pub now: Duration,
    pub settings: Rc<Settings>,
    /// How often they have changed since the start.
    pub settings_generation: u64,
    pub budget: Budget,
    pub notifications: VecDeque<Notification>,
    /// Connections with something to write; and those that are flushed only after the poll has been asked once more.
    pub written: Vec<Token>,
    pub written_next: Vec<Token>,
    /// When the poll told last.
    pub polled: Duration,
    pub scratch: Box<[u8]>,
    /// Bytes in the buffers of connections and in open API calls.
    pub held: usize,
    /// Told to stop.
    pub shutdown: Option<GracefulShutdown>,
    pub tally: Tally,
    pub log: Logger,
    due: BTreeMap<DueId, Due>,
    last: Serial,
    faults: BTreeMap<&'static str, u64>,
}

impl Reactor {
    pub fn new(registry: Registry, settings: Rc<Settings>, budget: Budget, log: Logger) -> Reactor {
        let clock = Clock::start();
        let now = clock.now();
        Reactor {
            now,
            registry,
            clock,
            settings,
            settings_generation: 0,
            budget,
            notifications: VecDeque::new(),
            written: Vec::new(),
            written_next: Vec::new(),
            polled: now,
            scratch: vec![0; 64 * 1024].into(),
            held: 0,
            shutdown: None,
            tally: Tally::default(),
            log,
            due: BTreeMap::new(),
            last: 0,
            faults: BTreeMap::new(),
        }
    }

    pub fn serial(&mut self) -> Serial {
        self.last += 1;
        self.last
    }

    pub fn at(&mut self, when: Duration, due: Due) -> DueId {
        let id = (when, self.serial());
        self.due.insert(id, due);
        id
    }

    pub fn unset(&mut self, id: DueId) {
        self.due.remove(&id);
    }

    /// What falls due next, if it does by now.
    pub fn next_due(&mut self) -> Option<Due> {
        let first = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)?;
        Some(first.remove())
    }

    /// Told to stop, and others have had the time to connect and to notice: connections are ended between API calls.
    pub fn closing(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.closes <= self.now)
    }

    /// Told to stop, and all that was taken is answered now, as the gateway is killed soon: nothing more is taken.
    pub fn last_answers(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.answers <= self.now)
    }

    /// How long a connection may take to come up; where the settings do not say, as long as the system waits before it
    /// asks for one again.
    pub fn connect_timeout(&self) -> Duration {
        let stated = Some(self.settings.limits.connect_timeout);
        stated
            .filter(|span| !span.is_zero())
            .unwrap_or(Duration::from_secs(1))
    }

    /// How long until something falls due.
    pub fn next_wait(&self) -> Option<Duration> {
        if !self.written_next.is_empty() {
            return Some(Duration::ZERO);
        }
        self.due
            .keys()
            .next()
            .map(|next| next.0.saturating_sub(self.clock.now()))
    }

    /// Notices where the wall clock was stepped.
    pub fn look_at_clock(&mut self) {
        if let Some(seconds) = self.clock.look() {
            slog::warn!(self.log, "the wall clock was stepped: spans and windows go on as before"; "seconds" => seconds);
        }
    }

    /// Bytes are held no longer. A wrong count must not come out as a memory that is full for ever.
    pub fn freed(&mut self, bytes: usize) {
        must!(self, bytes <= self.held, "no more is freed than is held");
        self.held = self.held.saturating_sub(bytes);
    }

    /// Something that must hold did not.
    pub fn fault(&mut self, what: &'static str) {
        *self.faults.entry(what).or_default() += 1;
    }

    pub fn report_faults(&mut self) {
        for (what, times) in std::mem::take(&mut self.faults) {
            slog::error!(self.log, "must hold and did not"; "what" => what, "times" => times);
        }
    }
}
