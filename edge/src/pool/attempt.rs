//! One upstream attempt: how far it has come, until when it may go on, and how it ends in which state.

use crate::deadlines::DeadlineId;
use crate::notification::Notification;
use crate::reactor::Reactor;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, AttemptOutcome, AttemptResult, RequestId};

/// The most of a client's time that may have passed before its command was read; where little is left, a quarter of
/// that is assumed instead.
const MAX_UNSEEN_TIME: Duration = Duration::from_millis(50);

/// How far an attempt has come. An attempt that has not begun can be given up without a trace; one that has begun but
/// was not sent whole can't have run; one that was sent whole may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptState {
    /// Not one byte has gone out: the connection is not up yet, or it has taken nothing so far.
    Queued,
    /// As `Queued`; its beginning was deferred, once, until the poll had been asked again.
    Deferred,
    /// A part of the command has gone out.
    Writing,
    /// The whole command has gone out.
    AwaitingResponse,
    /// A part of the response has come as well; the rest must follow soon.
    ReadingResponse,
}

impl AttemptState {
    /// Whether any byte of the command has gone out.
    pub(super) fn has_begun(self) -> bool {
        !matches!(self, AttemptState::Queued | AttemptState::Deferred)
    }

    /// Whether the whole command has gone out, so that the endpoint may have run it.
    pub(super) fn is_sent(self) -> bool {
        matches!(
            self,
            AttemptState::AwaitingResponse | AttemptState::ReadingResponse
        )
    }

    /// The state after a write which did or did not get bytes out and left so many.
    pub(super) fn after_write(self, has_progressed: bool, pending_bytes: usize) -> AttemptState {
        match self {
            AttemptState::Queued | AttemptState::Deferred if !has_progressed => self,
            AttemptState::Queued | AttemptState::Deferred | AttemptState::Writing => {
                if pending_bytes == 0 {
                    AttemptState::AwaitingResponse
                } else {
                    AttemptState::Writing
                }
            }
            AttemptState::AwaitingResponse | AttemptState::ReadingResponse => self,
        }
    }
}

/// The attempt that a connection carries.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) number: AttemptNumber,
    /// When the controller asked for it; its latency is counted from here.
    pub(super) started_at: Duration,
    /// Until when its response is waited for.
    pub(super) deadline: Duration,
    /// By when the whole command must have gone out.
    pub(super) send_by: Duration,
    /// The timer that is set for it.
    pub(super) timer: DeadlineId,
    pub(super) state: AttemptState,
}

impl Attempt {
    /// Until when the attempt may stay as it is.
    pub(super) fn current_deadline(&self) -> Duration {
        if self.state.is_sent() {
            self.deadline
        } else {
            self.deadline.min(self.send_by)
        }
    }

    /// How it ends when its time is up.
    pub(super) fn outcome_on_timeout(&self, is_connected: bool) -> AttemptOutcome {
        if self.state.is_sent() {
            AttemptOutcome::TimedOut
        } else if is_connected && !self.state.has_begun() {
            AttemptOutcome::NotSent
        } else {
            AttemptOutcome::ConnectFailed
        }
    }

    /// How it ends when its connection breaks, ends or never comes up.
    pub(super) fn outcome_on_disconnect(&self) -> AttemptOutcome {
        if self.state.is_sent() {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::ConnectFailed
        }
    }

    /// How it ends when the controller cancels it.
    pub(super) fn outcome_on_cancel(&self) -> AttemptOutcome {
        if self.state.has_begun() {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::NotSent
        }
    }
}

/// The timeout that a command states to the endpoint, where so much of the request's time remains. The client's clock
/// began before its command was read, and the gateway may stall once more before the command goes out.
pub(super) fn advertised_timeout(remaining_time: Duration) -> Duration {
    remaining_time - MAX_UNSEEN_TIME.min(remaining_time / 4)
}

/// The result of an attempt that ended without a response.
pub(super) fn result_without_response(outcome: AttemptOutcome, latency: Duration) -> AttemptResult {
    AttemptResult {
        outcome,
        latency,
        request_closed: false,
        settled_units: None,
        load: BTreeMap::new(),
    }
}

/// Reports the end of an attempt to the controller.
pub(super) fn report_end(
    reactor: &mut Reactor,
    request: RequestId,
    number: AttemptNumber,
    result: AttemptResult,
) {
    reactor.notify(Notification::AttemptEnd {
        request,
        attempt: number,
        result,
    });
}

#[cfg(test)]
mod tests;
