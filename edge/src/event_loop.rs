//! The event loop: one poll a turn. What comes in is queued for the admission controller; what that asks for is done at
//! once, and written when the turn ends.

use crate::gateway::Gateway;
use crate::notification::Notification;
use crate::readiness::Readiness;
use mio::{Events, Poll};
use std::cell::RefCell;
use std::io;
use std::time::Duration;
use wellcrank::control::AdmissionController;
use wellcrank::port::{AttemptNumber, AttemptResult, Request, RequestId};

/// How many events the poll may return at once.
const MAX_EVENTS: usize = 1024;

/// Runs until the gateway was told to stop and nobody is left to answer.
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
        finish_turn(gateway, controller);
    }
    Ok(())
}

/// Waits until the poll has something to tell, a signal has come or the time is up.
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

/// Hands each event, and then all that is due, to its component.
fn handle_events(gateway: &mut Gateway, events: &Events) {
    gateway.reactor.begin_turn();
    for event in events {
        gateway.on_readiness(event.token(), Readiness::from(event));
    }
    while let Some(deadline) = gateway.reactor.take_expired_deadline() {
        gateway.on_deadline(deadline);
    }
}

/// Hands over what has come and writes what was collected, until neither brings anything new.
fn finish_turn(gateway: &RefCell<Gateway>, controller: &mut AdmissionController) {
    loop {
        hand_over_notifications(gateway, controller);
        let mut gateway = gateway.borrow_mut();
        if !gateway.reactor.has_scheduled_flushes() && !gateway.resume_clients() {
            return;
        }
        gateway.flush_connections();
    }
}

/// Hands the controller what has come, one by one, each at its time.
fn hand_over_notifications(gateway: &RefCell<Gateway>, controller: &mut AdmissionController) {
    while let Some((notification, now)) = next_notification(gateway) {
        controller.set_time(now);
        hand_over(notification, gateway, controller);
    }
}

/// The notification that was queued first, and the time at which it is handed over.
fn next_notification(gateway: &RefCell<Gateway>) -> Option<(Notification, Duration)> {
    let reactor = &mut gateway.borrow_mut().reactor;
    let notification = reactor.take_notification()?;
    Some((notification, reactor.now))
}

/// Hands the controller one notification. The controller acts through its port meanwhile, which borrows the gateway.
fn hand_over(
    notification: Notification,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) {
    match notification {
        Notification::Request(request) => hand_over_request(request, gateway, controller),
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
        } => hand_over_attempt_end(&request, attempt, result, gateway, controller),
        Notification::CounterReply { name, reply } => controller.on_counter_reply(name, reply),
        Notification::EndpointUpdate { timing, update } => {
            controller.on_endpoint_update(timing, update);
        }
        Notification::Timer(token) => controller.on_timer(token),
        Notification::Reconfigure(settings) => controller.reconfigure(settings),
    }
}

fn hand_over_request(
    request: Request,
    gateway: &RefCell<Gateway>,
    controller: &mut AdmissionController,
) {
    let is_wanted = {
        let mut gateway = gateway.borrow_mut();
        gateway.reactor.metrics.requests += 1;
        gateway.is_wanted(&request.id)
    };
    // Its client may have left in the same turn: nothing is begun for it.
    if is_wanted {
        controller.on_request(request);
    } else {
        controller.reject_unadmitted(&request.id);
    }
}

fn hand_over_attempt_end(
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
