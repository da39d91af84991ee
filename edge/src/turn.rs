//! The loop: one poll a turn, one ordered structure of due times, and what the sides share. What comes in is
//! put in line as [`News`] for the decisions; what they ask for is done at once, and written when the turn
//! ends.

use crate::budget::Budget;
use crate::clock::Clock;
use crate::tally::Tally;
use crate::world::World;
use mio::{Events, Poll, Registry, Token};
use slog::Logger;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::Control;
use wellcrank::port::*;

/// Asserted in debug builds, counted in release builds.
#[macro_export]
macro_rules! must {
    ($hub:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $hub.broken(concat!(file!(), ": ", $what));
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
    Upstream,
    Counter,
    Discovery,
}

const SIDES: [Side; 7] =
    [Side::Listener, Side::Signal, Side::Peers, Side::Client, Side::Upstream, Side::Counter, Side::Discovery];

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
pub enum News {
    Arrived(Arrival),
    Gone(CallId),
    /// Its time is up sooner than it was told.
    Expired(CallId),
    Ended(CallId, TryNumber, Ended),
    Counted(CounterName, Counted),
    Listed(bool, Vec<Listed>),
    Woken(WakeToken),
}

/// What falls due: a wake of the decisions, the end of an upstream try's time, that of a counter call.
#[derive(Clone, Copy)]
pub enum Due {
    Wake(WakeToken),
    Try { key: usize, connection: Serial },
    Count { line: usize, number: Serial },
}

pub type DueId = (Duration, Serial);

/// What all sides share.
pub struct Hub {
    pub registry: Registry,
    pub clock: Clock,
    pub now: Duration,
    pub facts: Rc<Facts>,
    pub budget: Budget,
    pub news: VecDeque<News>,
    /// Connections with something to write.
    pub written: Vec<Token>,
    pub scratch: Box<[u8]>,
    /// Bytes in the buffers of connections and in open API calls.
    pub held: usize,
    /// The poll says that the other side has ended: reads go on until they meet the end.
    pub ending: bool,
    /// The gateway stops: a connection is closed as soon as nothing is open on it.
    pub leaving: bool,
    pub tally: Tally,
    pub log: Logger,
    due: BTreeMap<DueId, Due>,
    last: Serial,
    faults: BTreeMap<&'static str, u64>,
}

impl Hub {
    pub fn new(registry: Registry, facts: Rc<Facts>, budget: Budget, log: Logger) -> Hub {
        let clock = Clock::start();
        Hub {
            now: clock.now(),
            registry,
            clock,
            facts,
            budget,
            news: VecDeque::new(),
            written: Vec::new(),
            scratch: vec![0; 64 * 1024].into(),
            held: 0,
            ending: false,
            leaving: false,
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

    fn next_due(&mut self) -> Option<Due> {
        let first = self.due.first_entry().filter(|entry| entry.key().0 <= self.now)?;
        Some(first.remove())
    }

    /// Bytes are held no longer. A wrong count must not come out as a memory that is full for ever.
    pub fn freed(&mut self, bytes: usize) {
        must!(self, bytes <= self.held, "no more is freed than is held");
        self.held = self.held.saturating_sub(bytes);
    }

    /// Something that must hold did not.
    pub fn broken(&mut self, what: &'static str) {
        *self.faults.entry(what).or_default() += 1;
    }

    pub fn report_faults(&mut self) {
        for (what, times) in std::mem::take(&mut self.faults) {
            slog::error!(self.log, "must hold and did not"; "what" => what, "times" => times);
        }
    }
}

/// Runs until the gateway has been told to stop and nobody is left to answer.
pub fn run(poll: &mut Poll, world: &Rc<RefCell<World>>, control: &mut Control) -> io::Result<()> {
    let mut events = Events::with_capacity(1024);
    loop {
        let wait = {
            let world = &mut *world.borrow_mut();
            if world.finished() {
                return Ok(());
            }
            world.hub.due.keys().next().map(|next| next.0.saturating_sub(world.hub.clock.now()))
        };
        match poll.poll(&mut events, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => (),
        }
        {
            let world = &mut *world.borrow_mut();
            world.hub.now = world.hub.clock.now();
            for event in &events {
                world.hub.ending = event.is_read_closed() || event.is_error();
                world.ready(event);
            }
            world.hub.ending = false;
            while let Some(due) = world.hub.next_due() {
                world.due(due);
            }
        }
        loop {
            hand_over(world, control);
            let world = &mut *world.borrow_mut();
            if world.hub.written.is_empty() && !world.resume() {
                break;
            }
            world.flush();
        }
    }
}

/// Hands the decisions what has come, one by one, each at its time.
fn hand_over(world: &Rc<RefCell<World>>, control: &mut Control) {
    loop {
        let (news, now) = {
            let hub = &mut world.borrow_mut().hub;
            let Some(news) = hub.news.pop_front() else { return };
            hub.now = hub.clock.now();
            (news, hub.now)
        };
        control.tell_time(now);
        match news {
            // Its client may have left in the same turn: nothing is begun for it.
            News::Arrived(arrival) => {
                world.borrow_mut().hub.tally.calls += 1;
                if world.borrow().calls.is_open(&arrival.call) {
                    control.arrived(arrival);
                }
            }
            News::Gone(call) => {
                world.borrow_mut().left(&call);
                control.gone(&call);
            }
            News::Expired(call) => control.expired(&call),
            News::Ended(call, number, mut end) => {
                world.borrow_mut().hub.tally.ended(end.outcome);
                end.closed |= !world.borrow().calls.is_open(&call);
                let closed = end.closed;
                control.ended(&call, number, end);
                if closed {
                    world.borrow_mut().forget(&call);
                }
            }
            News::Counted(name, counted) => control.counted(name, counted),
            News::Listed(whole, lines) => control.listed(whole, lines),
            News::Woken(token) => control.woken(token),
        }
    }
}

/// What the decisions ask for, done on the sockets.
pub struct Hands(pub Rc<RefCell<World>>);

impl Port for Hands {
    fn send(&mut self, call: &CallId, server: &ServerId, timeout: Duration, whole_by: Duration) {
        self.0.borrow_mut().send(call, server, timeout, whole_by);
    }
    fn cancel(&mut self, call: &CallId, number: TryNumber) {
        let World { hub, pool, .. } = &mut *self.0.borrow_mut();
        pool.cancel(hub, call, number);
    }
    fn rate_limit(&mut self, call: &CallId, retry_after: Duration) {
        let world = &mut *self.0.borrow_mut();
        let advised = world.hub.facts.flag("limits.retry_after");
        world.hub.tally.limited += 1;
        world.answer(call, |out| {
            let advice = format!("-BUSY {}\r\n", retry_after.as_millis());
            out.extend_from_slice(if advised { advice.as_bytes() } else { b"-BUSY\r\n" });
        });
    }
    fn error(&mut self, call: &CallId) {
        let world = &mut *self.0.borrow_mut();
        world.hub.tally.errored += 1;
        world.answer(call, |out| out.extend_from_slice(b"-ERR failed\r\n"));
    }
    fn count(&mut self, name: CounterName, add: f64, keep: Duration) {
        let World { hub, counter, .. } = &mut *self.0.borrow_mut();
        counter.count(hub, name, add, keep);
    }
    fn wake(&mut self, token: WakeToken, at: Duration) {
        self.0.borrow_mut().hub.at(at, Due::Wake(token));
    }
    /// The decisions send no probes, and would not be told of an answer.
    fn probe(&mut self, _: &ServerId) {}
    fn subscribe(&mut self, on: bool) {
        let World { hub, discovery, .. } = &mut *self.0.borrow_mut();
        discovery.follow(hub, on);
    }
    fn refetch(&mut self) {
        let World { hub, discovery, .. } = &mut *self.0.borrow_mut();
        discovery.refetch(hub);
    }
    fn release(&mut self, server: &ServerId) {
        let World { hub, pool, .. } = &mut *self.0.borrow_mut();
        pool.release(hub, server);
    }
    fn tell(&mut self, peer: Option<u32>, body: &[u8]) {
        self.0.borrow().peers.tell(peer, body);
    }
    fn log(&mut self, text: &str) {
        slog::info!(self.0.borrow().hub.log, "{}", text);
    }
}
