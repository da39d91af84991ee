//! One connection to an endpoint, and for how long it is of use.

use super::attempt::{Attempt, AttemptState};
use crate::deadlines::Deadline;
use crate::reactor::{Reactor, Serial};
use crate::stream::BufferedStream;
use std::io::{self, ErrorKind};
use std::time::Duration;
use wellcrank::port::{AttemptOutcome, EndpointId};

/// One connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) stream: BufferedStream,
    pub(super) endpoint: EndpointId,
    /// The endpoint's incarnation that it was opened to.
    pub(super) incarnation: u32,
    /// Tells it from others that had the same key before.
    pub(super) serial: Serial,
    pub(super) attempt: Option<Attempt>,
    /// When it was opened or its last response came.
    pub(super) last_used: Duration,
}

impl UpstreamConnection {
    /// Whether it carries an attempt of which nothing has gone out.
    pub(super) fn has_unbegun_attempt(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.state.has_begun())
    }

    /// The timer of the attempt that it carries.
    pub(super) fn timer(&self, key: usize) -> Deadline {
        Deadline::Attempt {
            key,
            connection: self.serial,
        }
    }

    /// The first part of a response has come: the rest must follow within the time that a connection may take to come
    /// up.
    pub(super) fn await_rest_of_response(&mut self, reactor: &mut Reactor, key: usize) {
        let timer = self.timer(key);
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.state == AttemptState::ReadingResponse {
            return;
        }
        attempt.state = AttemptState::ReadingResponse;
        reactor.cancel_deadline(attempt.timer);
        let rest_by = attempt
            .deadline
            .min(reactor.now + reactor.connect_timeout());
        attempt.timer = reactor.set_deadline(rest_by, timer);
    }
}

/// For how long an idle connection may be used, if for a limited time: less than the endpoint keeps it open by the time
/// that a connection may take to come up, a quarter at most, since the endpoint's end and a command may cross.
pub(super) fn idle_lifetime(reactor: &Reactor) -> Option<Duration> {
    let idle_timeout = reactor.settings.limits.idle_timeout;
    let margin = reactor.connect_timeout().min(idle_timeout / 4);
    (!idle_timeout.is_zero()).then(|| idle_timeout - margin)
}

/// How an attempt ends whose connection could not even be opened: by the endpoint's fault, or else for want of a
/// descriptor or port, which is the gateway's own.
pub(super) fn outcome_on_open_error(error: &io::Error) -> AttemptOutcome {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => AttemptOutcome::ConnectFailed,
        _ => AttemptOutcome::NotSent,
    }
}
