//! The event loop, with one poll per iteration. Events are queued as notifications for the admission controller, and
//! what the controller requests is done at once, except that output is written at the end of the iteration.

use crate::gateway::Gateway;
use crate::notification::Notification;
use crate::readiness::Readiness;
use mio::{Events, Poll};
use std::cell::RefCell;
use std::io;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::{AttemptNumber, AttemptResult, Request, RequestId};

/// The maximum number of events that the poll returns at once.
const MAX_EVENTS: usize = 1024;

/// Runs the gateway until its graceful shutdown is complete. Fails if the poll fails.
pub(crate) fn run(
    poll: &mut Poll,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) -> io::Result<()> {
    let mut events = Events::with_capacity(MAX_EVENTS);
    while !gateway.borrow_mut().is_finished() {
        let timeout = gateway.borrow().reactor.poll_timeout();
        wait_for_events(poll, &mut events, timeout)?;
        handle_events(&mut gateway.borrow_mut(), &events);
        finish_iteration(gateway, controller);
        gateway.borrow_mut().reactor.end_iteration();
    }
    Ok(())
}

/// Waits until the poll reports events, a signal interrupts it or `timeout` has passed; without a timeout, for as long
/// as it takes.
fn wait_for_events(
    poll: &mut Poll,
    events: &mut Events,
    timeout: Option<Duration>,
) -> io::Result<()> {
    match poll.poll(events, timeout) {
        Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
        outcome => outcome,
    }
}

/// Has sockets read whose input earlier iterations have left, and passes each event, and then each expired
/// deadline, to its component.
fn handle_events(gateway: &mut Gateway, events: &Events) {
    gateway.begin_iteration();
    gateway.read_deferred();
    for event in events {
        gateway.on_readiness(event.token(), Readiness::from(event));
    }
    while let Some(deadline) = gateway.reactor.take_expired_deadline() {
        gateway.on_deadline(deadline);
    }
}

/// Delivers notifications and writes queued output, until nothing of this is left to do. Input is read only in the next
/// iteration, also of clients that may be resumed: a client that sends without a pause would otherwise keep the loop from
/// its next poll for ever.
fn finish_iteration(gateway: &RefCell<Gateway>, controller: &mut AdmissionController) {
    loop {
        deliver_notifications(gateway, controller);
        let mut gateway = gateway.borrow_mut();
        gateway.reactor.count_round();
        if !gateway.reactor.has_scheduled_flushes() {
            return gateway.resume_clients();
        }
        gateway.flush_connections();
    }
}

/// Delivers all queued notifications to the controller, each with the time of its delivery.
fn deliver_notifications(gateway: &RefCell<Gateway>, controller: &mut AdmissionController) {
    while let Some((notification, now)) = next_notification(gateway) {
        controller.set_time(now);
        deliver(notification, gateway, controller);
    }
}

/// Takes the notification that was queued first, with the current time.
fn next_notification(gateway: &RefCell<Gateway>) -> Option<(Notification, Duration)> {
    let reactor = &mut gateway.borrow_mut().reactor;
    let notification = reactor.take_notification()?;
    Some((notification, reactor.now))
}

/// Delivers one notification to the controller. The controller acts through its port meanwhile, which borrows the
/// gateway, so the gateway must not be borrowed here during the call.
fn deliver(
    notification: Notification,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) {
    match notification {
        Notification::Request(request) => deliver_request(request, gateway, controller),
        Notification::RejectUnadmitted(request) => {
            gateway.borrow_mut().reactor.metrics.requests += 1;
            controller.reject_unadmitted(&request);
        }
        Notification::ClientDisconnect(request) => {
            gateway.borrow_mut().on_client_disconnect(&request);
            controller.on_client_disconnect(&request);
        }
        Notification::ExpireRequest(request) => controller.expire_request(&request),
        Notification::AttemptEnd {
            request,
            attempt,
            result,
        } => deliver_attempt_end(&request, attempt, result, gateway, controller),
        Notification::CounterReply { name, reply } => controller.on_counter_reply(name, reply),
        Notification::EndpointUpdate { timing, update } => {
            controller.on_endpoint_update(timing, update);
        }
        Notification::Timer(token) => controller.on_timer(token),
        Notification::Reconfigure(settings) => controller.reconfigure(settings),
    }
}

/// Delivers a request to the controller, or has the controller reject it if its client no longer waits.
fn deliver_request(
    request: Request,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) {
    let is_awaited = {
        let mut gateway = gateway.borrow_mut();
        gateway.reactor.metrics.requests += 1;
        gateway.is_awaited(&request.id)
    };
    // The client may have left in the same event loop iteration; then no attempt is made.
    if is_awaited {
        controller.on_request(request);
    } else {
        controller.reject_unadmitted(&request.id);
    }
}

/// Delivers the end of an attempt to the controller. If the request has its answer or is closed, tells the controller
/// so and closes the request.
fn deliver_attempt_end(
    request: &RequestId,
    attempt: AttemptNumber,
    mut result: AttemptResult,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) {
    {
        let mut gateway = gateway.borrow_mut();
        gateway.reactor.metrics.count_attempt(result.outcome);
        result.request_closed |= !gateway.is_unanswered(request);
    }
    let request_closed = result.request_closed;
    controller.on_attempt_end(request, attempt, result);
    if request_closed {
        gateway.borrow_mut().close_request(request);
    }
}
