//! What the admission controller asks for, done on the sockets.

use crate::gateway::Gateway;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, CounterName, EndpointId, Port, RequestId, TimerToken};

/// The gateway as the admission controller sees it.
pub(crate) struct SocketPort {
    gateway: Rc<RefCell<Gateway>>,
}

impl SocketPort {
    /// The port of a gateway.
    pub(crate) fn new(gateway: Rc<RefCell<Gateway>>) -> SocketPort {
        SocketPort { gateway }
    }
}

impl Port for SocketPort {
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        send_by: Duration,
    ) {
        let mut gateway = self.gateway.borrow_mut();
        gateway.send_attempt(request, endpoint, timeout, send_by);
    }

    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        self.gateway.borrow_mut().cancel_attempt(request, attempt);
    }

    fn reject(&mut self, request: &RequestId, retry_after: Duration) {
        self.gateway.borrow_mut().reject(request, retry_after);
    }

    fn fail(&mut self, request: &RequestId) {
        self.gateway.borrow_mut().fail(request);
    }

    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration) {
        self.gateway.borrow_mut().add_to_counter(name, amount, ttl);
    }

    fn set_timer(&mut self, token: TimerToken, at: Duration) {
        self.gateway.borrow_mut().set_controller_timer(token, at);
    }

    /// The controller sends no probes, and would not be told of an answer.
    fn probe(&mut self, _: &EndpointId) {}

    fn subscribe(&mut self, active: bool) {
        self.gateway.borrow_mut().follow_endpoints(active);
    }

    fn refetch_endpoints(&mut self) {
        self.gateway.borrow_mut().refetch_endpoints();
    }

    fn close_idle_connections(&mut self, endpoint: &EndpointId) {
        self.gateway.borrow_mut().close_idle_connections(endpoint);
    }

    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]) {
        self.gateway.borrow().send_to_peer(peer, body);
    }

    fn log(&mut self, text: &str) {
        slog::info!(self.gateway.borrow().reactor.log, "{}", text);
    }
}
