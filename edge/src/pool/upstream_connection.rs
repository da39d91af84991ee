//! One connection to an endpoint, and how long it may be reused.

use super::attempt::{Attempt, AttemptState};
use crate::deadlines::Deadline;
use crate::reactor::{Reactor, Serial};
use crate::stream::BufferedStream;
use std::io::{self, ErrorKind};
use std::time::Duration;
use wellcrank::port::{AttemptOutcome, EndpointId};

/// A connection to an endpoint, with the attempt that it carries; without one, it is idle.
pub(super) struct UpstreamConnection {
    pub(super) stream: BufferedStream,
    pub(super) endpoint: EndpointId,
    /// The incarnation of the endpoint for which it was opened.
    pub(super) incarnation: u32,
    /// Distinguishes the connection from earlier ones with the same key.
    pub(super) serial: Serial,
    pub(super) attempt: Option<Attempt>,
    /// When it was opened or its last response was complete, on the gateway's monotonic clock.
    pub(super) last_used: Duration,
}

impl UpstreamConnection {
    /// Whether it carries an attempt that has written nothing.
    pub(super) fn has_unwritten_attempt(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.state.has_written())
    }

    /// The deadline to set for its attempt; `key` is the connection's key in the pool.
    pub(super) fn timer(&self, key: usize) -> Deadline {
        Deadline::Attempt {
            key,
            connection: self.serial,
        }
    }

    /// Records that a part of a response has arrived. The rest must follow within the connect timeout and before the
    /// attempt's deadline.
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
        let rest_deadline = attempt
            .deadline
            .min(reactor.now + reactor.connect_timeout());
        attempt.timer = reactor.set_deadline(rest_deadline, timer);
    }
}

/// How long after its last use an idle connection may be reused; `None` if the settings state no idle timeout of the
/// endpoints. It is shorter than the endpoints' idle timeout by the connect timeout, but by at most a quarter, because
/// a command that is written just before the timeout could reach the endpoint after it has closed the connection.
pub(super) fn idle_lifetime(reactor: &Reactor) -> Option<Duration> {
    let idle_timeout = reactor.settings.limits.idle_timeout;
    let margin = reactor.connect_timeout().min(idle_timeout / 4);
    (!idle_timeout.is_zero()).then(|| idle_timeout - margin)
}

/// The outcome of an attempt whose connection failed to open at once: `ConnectFailed` where the endpoint can't be
/// reached, `NotSent` where the gateway itself is at fault, for example without a free descriptor or port.
pub(super) fn outcome_on_open_error(error: &io::Error) -> AttemptOutcome {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => AttemptOutcome::ConnectFailed,
        _ => AttemptOutcome::NotSent,
    }
}
