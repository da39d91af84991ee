//! Retries: whether the retry budget allows one, and whether it is safe.

use super::endpoints::EndpointRecord;
use super::requests::{OpenRequest, SentAttempt};
use crate::port::AttemptOutcome;
use crate::settings::{DeduplicationScope, Idempotency};
use std::time::Duration;

/// The number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// The maximum number of retries in the budget.
const MAX_BUDGET_RETRIES: f64 = 10.0;

/// The number of retries in the budget when the gateway starts.
const INITIAL_BUDGET_RETRIES: f64 = 3.0;

/// The shortest remaining time in which a retry is still made.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(50);

/// The longest time for which the gateway's process is expected to be suspended between reading its clock and writing
/// to a connection.
const MAX_PROCESS_SUSPENSION: Duration = Duration::from_millis(150);

/// A budget of retries that grows with each request, so that retries stay a limited share of the traffic.
pub(super) struct RetryBudget {
    /// Retries that may be made now, with the fraction of the next.
    available: f64,
}

impl RetryBudget {
    /// Creates the budget that a gateway starts with.
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            available: INITIAL_BUDGET_RETRIES,
        }
    }

    /// Adds the share of a retry that a new request allows.
    pub(super) fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_BUDGET_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(super) fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Returns whether an attempt with this outcome may have run.
pub(super) fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

/// Returns whether an attempt with this outcome was delivered: its command was sent to the endpoint completely.
pub(super) fn was_delivered(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

/// Returns whether a request may be retried: it has enough time and attempts left, and it is not a non-idempotent
/// request that may have run. Does not check the retry budget or the endpoints.
pub(super) fn is_retryable(open: &OpenRequest, now: Duration, max_attempts: u32) -> bool {
    let must_not_repeat =
        open.first_execution.is_some() && open.route.idempotency == Idempotency::NonIdempotent;
    open.remaining_time(now) >= MIN_REMAINING_TIME
        && !must_not_repeat
        && open.attempts < max_attempts
}

/// Returns whether a retry by the client is safe: the request can't have run, it is idempotent, or all endpoints
/// recognise the repeat by its deduplication key.
pub(super) fn is_safe_for_client_to_retry(open: &OpenRequest) -> bool {
    match open.route.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed if open.route.deduplication_scope == DeduplicationScope::All => true,
        Idempotency::Keyed | Idempotency::NonIdempotent => {
            open.in_flight.is_none() && open.first_execution.is_none()
        }
    }
}

/// Decides where and until when an attempt may be sent without the request running twice. A retry of a keyed request
/// that may have run must reach an endpoint in the first attempt's deduplication scope within the deduplication
/// window.
pub(super) struct RepeatGuard<'a> {
    /// The time by which the command must be sent completely; [`Duration::MAX`] means no limit.
    pub(super) send_by: Duration,
    /// The first attempt that may have run, if the request is keyed.
    first_execution: Option<&'a SentAttempt>,
    scope: DeduplicationScope,
}

impl RepeatGuard<'_> {
    /// Returns the guard of a request's next attempt. `timer_slack` is how much later than planned the gateway may
    /// handle an event.
    pub(super) fn of(open: &OpenRequest, timer_slack: Duration) -> RepeatGuard<'_> {
        let unrestricted = RepeatGuard {
            send_by: Duration::MAX,
            first_execution: None,
            scope: open.route.deduplication_scope,
        };
        let Some(first) = &open.first_execution else {
            return unrestricted;
        };
        match open.route.idempotency {
            Idempotency::Idempotent => unrestricted,
            Idempotency::Keyed => {
                let window_end = first.at + open.route.deduplication_window;
                RepeatGuard {
                    send_by: window_end.saturating_sub(timer_slack + MAX_PROCESS_SUSPENSION),
                    first_execution: Some(first),
                    ..unrestricted
                }
            }
            Idempotency::NonIdempotent => RepeatGuard {
                send_by: Duration::ZERO,
                ..unrestricted
            },
        }
    }

    /// Returns whether an attempt may be sent to an endpoint now.
    pub(super) fn allows(&self, endpoint: &EndpointRecord, now: Duration) -> bool {
        if self.send_by <= now {
            return false;
        }
        match (self.first_execution, self.scope) {
            (None, _) | (Some(_), DeduplicationScope::All) => true,
            (Some(first), DeduplicationScope::Zone) => first.zone == endpoint.entry.zone,
            (Some(first), DeduplicationScope::Cell) => first.cell == endpoint.entry.cell,
        }
    }
}

#[cfg(test)]
mod tests;
