//! The loop: one poll a turn. What comes in is put in line for the decisions; what they ask for is done at once, and
//! written when the turn ends.

use crate::gateway::Gateway;
use crate::reactor::{Due, Notification};
use mio::{Events, Poll};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::*;

/// Runs until the gateway has been told to stop and nobody is left to answer.
pub fn run(
    poll: &mut Poll,
    gateway: &Rc<RefCell<Gateway>>,
    control: &mut AdmissionController,
) -> io::Result<()> {
    let mut events = Events::with_capacity(1024);
    loop {
        let wait = {
            let gateway = &mut *gateway.borrow_mut();
            if gateway.finished() {
                return Ok(());
            }
            gateway.reactor.next_wait()
        };
        match poll.poll(&mut events, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => (),
        }
        {
            let gateway = &mut *gateway.borrow_mut();
            gateway.reactor.now = gateway.reactor.clock.now();
            gateway.reactor.polled = gateway.reactor.now;
            let mut put_off = std::mem::take(&mut gateway.reactor.written_next);
            gateway.reactor.written.append(&mut put_off);
            for event in &events {
                gateway.reactor.broken = event.is_write_closed() || event.is_error();
                gateway.reactor.ending = event.is_read_closed() || gateway.reactor.broken;
                gateway.ready(event);
            }
            (gateway.reactor.ending, gateway.reactor.broken) = (false, false);
            while let Some(due) = gateway.reactor.next_due() {
                gateway.due(due);
            }
        }
        loop {
            hand_over(gateway, control);
            let gateway = &mut *gateway.borrow_mut();
            if gateway.reactor.written.is_empty() && !gateway.resume() {
                break;
            }
            gateway.flush();
        }
    }
}

/// Hands the decisions what has come, one by one, each at its time.
fn hand_over(gateway: &Rc<RefCell<Gateway>>, control: &mut AdmissionController) {
    loop {
        let (news, now) = {
            let reactor = &mut gateway.borrow_mut().reactor;
            let Some(news) = reactor.notifications.pop_front() else {
                return;
            };
            reactor.now = reactor.clock.now();
            (news, reactor.now)
        };
        control.set_time(now);
        match news {
            // Its client may have left in the same turn: nothing is begun for it.
            Notification::Arrived(arrival) => {
                gateway.borrow_mut().reactor.tally.calls += 1;
                let open = gateway.borrow().calls.is_wanted(&arrival.id);
                match open {
                    true => control.on_request(arrival),
                    false => control.reject_unadmitted(&arrival.id),
                }
            }
            Notification::Refused(call) => {
                gateway.borrow_mut().reactor.tally.calls += 1;
                control.reject_unadmitted(&call);
            }
            Notification::Gone(call) => {
                gateway.borrow_mut().left(&call);
                control.on_client_disconnect(&call);
            }
            Notification::Expired(call) => control.expire_request(&call),
            Notification::Ended(call, number, mut end) => {
                gateway.borrow_mut().reactor.tally.ended(end.outcome);
                end.request_closed |= !gateway.borrow().calls.is_unanswered(&call);
                let closed = end.request_closed;
                control.on_attempt_end(&call, number, end);
                if closed {
                    gateway.borrow_mut().forget(&call);
                }
            }
            Notification::Counted(name, counted) => control.on_counter_reply(name, counted),
            Notification::EndpointUpdate(time, update) => control.on_endpoint_update(time, update),
            Notification::Woken(token) => control.on_timer(token),
            Notification::Reconfigured(settings) => control.reconfigure(settings),
        }
    }
}

/// What the decisions ask for, done on the sockets.
pub struct SocketPort(pub Rc<RefCell<Gateway>>);

impl Port for SocketPort {
    fn send(
        &mut self,
        call: &RequestId,
        server: &EndpointId,
        timeout: Duration,
        whole_by: Duration,
    ) {
        self.0.borrow_mut().send(call, server, timeout, whole_by);
    }
    fn cancel(&mut self, call: &RequestId, number: AttemptNumber) {
        let Gateway { reactor, pool, .. } = &mut *self.0.borrow_mut();
        pool.cancel(reactor, call, number);
    }
    fn reject(&mut self, call: &RequestId, retry_after: Duration) {
        let gateway = &mut *self.0.borrow_mut();
        let advised = gateway.reactor.settings.limits.sends_retry_after;
        gateway.reactor.tally.limited += 1;
        gateway.answer(call, |out| {
            let advice = format!("-BUSY {}\r\n", retry_after.as_millis());
            out.extend_from_slice(if advised {
                advice.as_bytes()
            } else {
                b"-BUSY\r\n"
            });
        });
    }
    fn fail(&mut self, call: &RequestId) {
        let gateway = &mut *self.0.borrow_mut();
        gateway.reactor.tally.errored += 1;
        gateway.answer(call, |out| out.extend_from_slice(b"-ERR failed\r\n"));
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, keep: Duration) {
        let Gateway {
            reactor, counter, ..
        } = &mut *self.0.borrow_mut();
        counter.add(reactor, name, add, keep);
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.0.borrow_mut().reactor.at(at, Due::Wake(token));
    }
    /// The decisions send no probes, and would not be told of an answer.
    fn probe(&mut self, _: &EndpointId) {}
    fn subscribe(&mut self, on: bool) {
        let Gateway {
            reactor, discovery, ..
        } = &mut *self.0.borrow_mut();
        discovery.follow(reactor, on);
    }
    fn refetch_endpoints(&mut self) {
        let Gateway {
            reactor, discovery, ..
        } = &mut *self.0.borrow_mut();
        discovery.refetch(reactor);
    }
    fn close_idle_connections(&mut self, server: &EndpointId) {
        let Gateway { reactor, pool, .. } = &mut *self.0.borrow_mut();
        pool.release(reactor, server);
    }
    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        self.0.borrow().peers.tell(peer, body);
    }
    fn log(&mut self, text: &str) {
        slog::info!(self.0.borrow().reactor.log, "{}", text);
    }
}
