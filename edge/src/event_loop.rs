//! The loop: one poll a turn. What comes in is put in line for the decisions; what they ask for is done at once, and
//! written when the turn ends.

use crate::deadlines::Deadline;
use crate::gateway::Gateway;
use crate::notification::Notification;
use crate::readiness::Readiness;
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
            gateway.reactor.poll_timeout()
        };
        match poll.poll(&mut events, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => (),
        }
        {
            let gateway = &mut *gateway.borrow_mut();
            gateway.reactor.begin_turn();
            for event in &events {
                gateway.ready(event.token(), Readiness::from(event));
            }
            while let Some(due) = gateway.reactor.take_expired_deadline() {
                gateway.due(due);
            }
        }
        loop {
            hand_over(gateway, control);
            let gateway = &mut *gateway.borrow_mut();
            if !gateway.reactor.has_scheduled_flushes() && !gateway.resume() {
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
            let Some(news) = reactor.take_notification() else {
                return;
            };
            (news, reactor.now)
        };
        control.set_time(now);
        match news {
            // Its client may have left in the same turn: nothing is begun for it.
            Notification::Request(arrival) => {
                gateway.borrow_mut().reactor.metrics.requests += 1;
                let open = gateway.borrow().calls.is_wanted(&arrival.id);
                match open {
                    true => control.on_request(arrival),
                    false => control.reject_unadmitted(&arrival.id),
                }
            }
            Notification::RejectUnadmitted(call) => {
                gateway.borrow_mut().reactor.metrics.requests += 1;
                control.reject_unadmitted(&call);
            }
            Notification::ClientDisconnect(call) => {
                gateway.borrow_mut().left(&call);
                control.on_client_disconnect(&call);
            }
            Notification::ExpireRequest(call) => control.expire_request(&call),
            Notification::AttemptEnd {
                request: call,
                attempt: number,
                result: mut end,
            } => {
                gateway
                    .borrow_mut()
                    .reactor
                    .metrics
                    .count_attempt(end.outcome);
                end.request_closed |= !gateway.borrow().calls.is_unanswered(&call);
                let closed = end.request_closed;
                control.on_attempt_end(&call, number, end);
                if closed {
                    gateway.borrow_mut().forget(&call);
                }
            }
            Notification::CounterReply { name, reply } => control.on_counter_reply(name, reply),
            Notification::EndpointUpdate { timing, update } => {
                control.on_endpoint_update(timing, update)
            }
            Notification::Timer(token) => control.on_timer(token),
            Notification::Reconfigure(settings) => control.reconfigure(settings),
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
        gateway.reactor.metrics.rejected += 1;
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
        gateway.reactor.metrics.failed += 1;
        gateway.answer(call, |out| out.extend_from_slice(b"-ERR failed\r\n"));
    }
    fn add_to_counter(&mut self, name: CounterName, add: f64, keep: Duration) {
        let Gateway {
            reactor, counter, ..
        } = &mut *self.0.borrow_mut();
        counter.count(reactor, name, add, keep);
    }
    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.0
            .borrow_mut()
            .reactor
            .set_deadline(at, Deadline::ControllerTimer(token));
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
