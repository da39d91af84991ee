//! One upstream attempt: its state, its deadlines, and the outcome with which it ends in each state.

use crate::deadlines::DeadlineId;
use crate::notification::Notification;
use crate::reactor::Reactor;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{AttemptNumber, AttemptOutcome, AttemptResult, RequestId};

/// How much of a client's timeout may pass without the gateway's notice, before it has read the command and before it
/// writes the command to the endpoint. At most a quarter of the remaining time is assumed to pass like this.
const MAX_UNOBSERVED_TIME: Duration = Duration::from_millis(50);

/// The state of an attempt. It tells whether the endpoint may have run the command: only if all of it was written.
/// While nothing was written, an attempt can be abandoned without the endpoint having seen anything of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptState {
    /// No byte was written: the connection is not established yet, or the socket has accepted nothing so far.
    Queued,
    /// As `Queued`, but the attempt was deferred once to the next event loop iteration.
    Deferred,
    /// A part of the command was written.
    Writing,
    /// The whole command was written, and no byte of the response has arrived.
    AwaitingResponse,
    /// A part of the response has arrived; the rest must follow within the connect timeout.
    ReadingResponse,
}

impl AttemptState {
    /// Whether any byte of the command was written.
    pub(super) fn has_written(self) -> bool {
        !matches!(self, AttemptState::Queued | AttemptState::Deferred)
    }

    /// Whether the whole command was written, so that the endpoint may have run it.
    pub(super) fn is_sent(self) -> bool {
        matches!(
            self,
            AttemptState::AwaitingResponse | AttemptState::ReadingResponse
        )
    }

    /// The state after a write. `has_progressed`: the socket accepted some bytes; `pending_bytes`: the number of bytes
    /// still to be written.
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

/// An attempt on a connection. Times are durations on the gateway's monotonic clock.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) number: AttemptNumber,
    /// When the controller started the attempt. Its latency is measured from here.
    pub(super) started_at: Duration,
    /// The deadline for the whole response.
    pub(super) deadline: Duration,
    /// The deadline for writing the whole command.
    pub(super) send_by: Duration,
    /// The timer for the current state.
    pub(super) timer: DeadlineId,
    pub(super) state: AttemptState,
}

impl Attempt {
    /// The deadline for leaving the current state: `deadline` once the command is written, before that the earlier of
    /// `deadline` and `send_by`.
    pub(super) fn current_deadline(&self) -> Duration {
        if self.state.is_sent() {
            self.deadline
        } else {
            self.deadline.min(self.send_by)
        }
    }

    /// The outcome when the current deadline passes; `is_connected`: its connection is established.
    pub(super) fn outcome_on_timeout(&self, is_connected: bool) -> AttemptOutcome {
        if self.state.is_sent() {
            AttemptOutcome::TimedOut
        } else if is_connected && !self.state.has_written() {
            AttemptOutcome::NotSent
        } else {
            AttemptOutcome::ConnectFailed
        }
    }

    /// The outcome when its connection breaks, is closed by the endpoint or is never established.
    pub(super) fn outcome_on_disconnect(&self) -> AttemptOutcome {
        if self.state.is_sent() {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::ConnectFailed
        }
    }

    /// The outcome when the controller cancels the attempt.
    pub(super) fn outcome_on_cancel(&self) -> AttemptOutcome {
        if self.state.has_written() {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::NotSent
        }
    }
}

/// The timeout to state in the command to the endpoint, given the time that remains of the attempt. It is shorter than
/// that, since the client's timeout started before the gateway read its command, and since the gateway may stall once
/// more before the command is written.
pub(super) fn advertised_timeout(remaining_time: Duration) -> Duration {
    remaining_time - MAX_UNOBSERVED_TIME.min(remaining_time / 4)
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

/// Queues the end of an attempt for the controller.
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
