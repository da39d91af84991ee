//! The admission controller's [`Port`] on the gateway's sockets.

use super::Gateway;
use crate::deadlines::Deadline;
use crate::pool::NewAttempt;
use crate::requests::OpenRequest;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken};

/// The gateway as the admission controller sees it.
pub(crate) struct SocketPort {
    gateway: Rc<RefCell<Gateway>>,
}

impl SocketPort {
    /// Creates the port of a gateway.
    pub(crate) fn new(gateway: Rc<RefCell<Gateway>>) -> SocketPort {
        SocketPort { gateway }
    }
}

impl Port for SocketPort {
    /// Starts an attempt. If the client no longer waits, the deadline has passed or no attempt is left, the attempt is
    /// reported as not sent instead.
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        send_by: Duration,
    ) {
        let Gateway {
            reactor,
            requests,
            pool,
            ..
        } = &mut *self.gateway.borrow_mut();
        let max_attempts = reactor.settings.limits.max_attempts;
        let Some(open) = requests.get_mut(request) else {
            return;
        };
        let number = AttemptNumber(open.attempts);
        open.attempts += 1;
        let deadline = attempt_deadline(open, reactor.now, timeout);
        let has_attempt_left = max_attempts == 0 || number.0 < max_attempts;
        if !open.is_awaited() || deadline <= reactor.now || !has_attempt_left {
            return pool.report_not_sent(reactor, request, number);
        }
        let attempt = NewAttempt {
            request,
            number,
            endpoint,
            deadline,
            send_by,
        };
        pool.send(reactor, &attempt);
    }

    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Gateway { reactor, pool, .. } = &mut *self.gateway.borrow_mut();
        pool.cancel(reactor, request, attempt);
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        let mut gateway = self.gateway.borrow_mut();
        gateway.reactor.metrics.rejected += 1;
        let answer = if gateway.reactor.settings.limits.sends_retry_after {
            format!("-BUSY {}\r\n", retry_after.as_millis())
        } else {
            "-BUSY\r\n".to_string()
        };
        gateway.answer_request(request, &answer);
    }

    fn fail(&mut self, request: &RequestId) {
        let mut gateway = self.gateway.borrow_mut();
        gateway.reactor.metrics.failed += 1;
        gateway.answer_request(request, "-ERR failed\r\n");
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        let Gateway {
            reactor, counter, ..
        } = &mut *self.gateway.borrow_mut();
        counter.add(reactor, name, amount, ttl);
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        let Gateway {
            reactor,
            controller_timers,
            ..
        } = &mut *self.gateway.borrow_mut();
        let deadline = reactor.set_deadline(at, Deadline::ControllerTimer(token));
        if let Some(replaced) = controller_timers.insert(token, deadline) {
            reactor.cancel_deadline(replaced);
        }
    }

    /// Does nothing: the controller sends no probes on sockets, and there is no notification for the answer to one.
    fn probe(&mut self, _: &EndpointId) {}

    fn subscribe(&mut self, active: bool) {
        let Gateway {
            reactor, discovery, ..
        } = &mut *self.gateway.borrow_mut();
        discovery.follow(reactor, active);
    }

    fn refetch_endpoints(&mut self) {
        let Gateway {
            reactor, discovery, ..
        } = &mut *self.gateway.borrow_mut();
        discovery.refetch(reactor);
    }

    fn close_idle_connections(&mut self, endpoint: &EndpointId) {
        let Gateway { reactor, pool, .. } = &mut *self.gateway.borrow_mut();
        pool.close_idle_connections(reactor, endpoint);
    }

    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        self.gateway.borrow().peers.send(peer, body);
    }

    fn log(&mut self, text: &str) {
        slog::info!(self.gateway.borrow().reactor.log, "{}", text);
    }
}

/// The deadline for the response to an attempt. It is never later than the request's deadline; a timeout of zero stands
/// for the request's deadline.
fn attempt_deadline(request: &OpenRequest, now: Duration, timeout: Duration) -> Duration {
    if timeout.is_zero() {
        request.deadline
    } else {
        request.deadline.min(now + timeout)
    }
}
