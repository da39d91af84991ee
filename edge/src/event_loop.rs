//! The loop: one poll a turn. What comes in is put in line for the decisions; what they ask for is done at once, and
//! written when the turn ends.

use crate::reactor::{Due, Notification};
use crate::world::World;
use mio::{Events, Poll};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::Control;
use wellcrank::port::*;

/// Runs until the gateway has been told to stop and nobody is left to answer.
pub fn run(poll: &mut Poll, world: &Rc<RefCell<World>>, control: &mut Control) -> io::Result<()> {
    let mut events = Events::with_capacity(1024);
    loop {
        let wait = {
            let world = &mut *world.borrow_mut();
            if world.finished() {
                return Ok(());
            }
            world.reactor.next_wait()
        };
        match poll.poll(&mut events, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => (),
        }
        {
            let world = &mut *world.borrow_mut();
            world.reactor.now = world.reactor.clock.now();
            for event in &events {
                world.reactor.ending = event.is_read_closed() || event.is_error();
                world.ready(event);
            }
            world.reactor.ending = false;
            while let Some(due) = world.reactor.next_due() {
                world.due(due);
            }
        }
        loop {
            hand_over(world, control);
            let world = &mut *world.borrow_mut();
            if world.reactor.written.is_empty() && !world.resume() {
                break;
            }
            world.flush();
        }
    }
}

/// SocketPort the decisions what has come, one by one, each at its time.
fn hand_over(world: &Rc<RefCell<World>>, control: &mut Control) {
    loop {
        let (news, now) = {
            let reactor = &mut world.borrow_mut().reactor;
            let Some(news) = reactor.notifications.pop_front() else { return };
            reactor.now = reactor.clock.now();
            (news, reactor.now)
        };
        control.tell_time(now);
        match news {
            // Its client may have left in the same turn: nothing is begun for it.
            Notification::Arrived(arrival) => {
                world.borrow_mut().reactor.tally.calls += 1;
                if world.borrow().calls.is_open(&arrival.call) {
                    control.arrived(arrival);
                }
            }
            Notification::Gone(call) => {
                world.borrow_mut().left(&call);
                control.gone(&call);
            }
            Notification::Expired(call) => control.expired(&call),
            Notification::Ended(call, number, mut end) => {
                world.borrow_mut().reactor.tally.ended(end.outcome);
                end.closed |= !world.borrow().calls.is_open(&call);
                let closed = end.closed;
                control.ended(&call, number, end);
                if closed {
                    world.borrow_mut().forget(&call);
                }
            }
            Notification::Counted(name, counted) => control.counted(name, counted),
            Notification::Listed(whole, lines) => control.listed(whole, lines),
            Notification::Woken(token) => control.woken(token),
            Notification::Reconfigured(settings) => control.reconfigure(settings),
        }
    }
}

/// What the decisions ask for, done on the sockets.
pub struct SocketPort(pub Rc<RefCell<World>>);

impl Port for SocketPort {
    fn send(&mut self, call: &CallId, server: &ServerId, timeout: Duration, whole_by: Duration) {
        self.0.borrow_mut().send(call, server, timeout, whole_by);
    }
    fn cancel(&mut self, call: &CallId, number: TryNumber) {
        let World { reactor, pool, .. } = &mut *self.0.borrow_mut();
        pool.cancel(reactor, call, number);
    }
    fn rate_limit(&mut self, call: &CallId, retry_after: Duration) {
        let world = &mut *self.0.borrow_mut();
        let advised = world.reactor.settings.limits.retry_after;
        world.reactor.tally.limited += 1;
        world.answer(call, |out| {
            let advice = format!("-BUSY {}\r\n", retry_after.as_millis());
            out.extend_from_slice(if advised { advice.as_bytes() } else { b"-BUSY\r\n" });
        });
    }
    fn error(&mut self, call: &CallId) {
        let world = &mut *self.0.borrow_mut();
        world.reactor.tally.errored += 1;
        world.answer(call, |out| out.extend_from_slice(b"-ERR failed\r\n"));
    }
    fn count(&mut self, name: CounterName, add: f64, keep: Duration) {
        let World { reactor, counter, .. } = &mut *self.0.borrow_mut();
        counter.count(reactor, name, add, keep);
    }
    fn wake(&mut self, token: WakeToken, at: Duration) {
        self.0.borrow_mut().reactor.at(at, Due::Wake(token));
    }
    /// The decisions send no probes, and would not be told of an answer.
    fn probe(&mut self, _: &ServerId) {}
    fn subscribe(&mut self, on: bool) {
        let World { reactor, discovery, .. } = &mut *self.0.borrow_mut();
        discovery.follow(reactor, on);
    }
    fn refetch(&mut self) {
        let World { reactor, discovery, .. } = &mut *self.0.borrow_mut();
        discovery.refetch(reactor);
    }
    fn release(&mut self, server: &ServerId) {
        let World { reactor, pool, .. } = &mut *self.0.borrow_mut();
        pool.release(reactor, server);
    }
    fn tell(&mut self, peer: Option<u32>, body: &[u8]) {
        self.0.borrow().peers.tell(peer, body);
    }
    fn log(&mut self, text: &str) {
        slog::info!(self.0.borrow().reactor.log, "{}", text);
    }
}
