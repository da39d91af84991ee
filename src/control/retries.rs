//! Further attempts of a request: whether one is affordable, and whether it is safe.

use super::endpoints::EndpointRecord;
use super::requests::{OpenRequest, SentAttempt};
use crate::port::AttemptOutcome;
use crate::settings::{DeduplicationScope, Idempotency};
use std::time::Duration;

/// Further attempts that each request pays for.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Further attempts that can be saved up.
const MAX_BUDGET: f64 = 10.0;

/// Further attempts that a gateway starts with.
const INITIAL_BUDGET: f64 = 3.0;

/// The least time for which a further attempt is worth making.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(50);

/// The longest that a gateway's process is expected to be suspended between reading its clock and a write.
const MAX_STALL: Duration = Duration::from_millis(150);

/// Further attempts that may be made, paid for by the requests that come in.
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// The budget at the gateway's start.
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            available: INITIAL_BUDGET,
        }
    }

    /// A request came in.
    pub(super) fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Takes a further attempt, if there is one.
    pub(super) fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Whether an attempt that ended so may have run.
pub(super) fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

/// Whether the command of an attempt that ended so came whole to its endpoint.
pub(super) fn was_delivered(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

/// Whether a further attempt is safe and worth making, as far as the request alone tells. None is where it may have run
/// and must not run twice.
pub(super) fn is_retryable(open: &OpenRequest, now: Duration, max_attempts: u32) -> bool {
    let must_not_repeat =
        open.first_execution.is_some() && open.route.idempotency == Idempotency::NonIdempotent;
    open.remaining_time(now) >= MIN_REMAINING_TIME
        && !must_not_repeat
        && open.attempts < max_attempts
}

/// Whether it is harmless for the client to ask again: nothing has run, or a repeat is recognised wherever it goes.
pub(super) fn is_harmless_to_repeat(open: &OpenRequest) -> bool {
    match open.route.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed if open.route.deduplication_scope == DeduplicationScope::All => true,
        Idempotency::Keyed | Idempotency::NonIdempotent => {
            open.in_flight.is_none() && open.first_execution.is_none()
        }
    }
}

/// Where, and until when, an attempt has no second effect. A repeat has to reach an endpoint that recognises the first
/// one by its key while that is remembered.
pub(super) struct EffectGuard<'a> {
    /// The command must have gone out whole by then; [`Duration::MAX`]: at any time.
    pub(super) send_by: Duration,
    /// The attempt whose repeat it is, where that matters.
    repeats: Option<&'a SentAttempt>,
    scope: DeduplicationScope,
}

impl EffectGuard<'_> {
    /// The guard of a request's next attempt. `timer_slack` is what a step may take beyond its time.
    pub(super) fn of(open: &OpenRequest, timer_slack: Duration) -> EffectGuard<'_> {
        let unrestricted = EffectGuard {
            send_by: Duration::MAX,
            repeats: None,
            scope: open.route.deduplication_scope,
        };
        let Some(first) = &open.first_execution else {
            return unrestricted;
        };
        match open.route.idempotency {
            Idempotency::Idempotent => unrestricted,
            Idempotency::Keyed => {
                let remembered_until = first.at + open.route.deduplication_window;
                EffectGuard {
                    send_by: remembered_until.saturating_sub(timer_slack + MAX_STALL),
                    repeats: Some(first),
                    ..unrestricted
                }
            }
            Idempotency::NonIdempotent => EffectGuard {
                send_by: Duration::ZERO,
                ..unrestricted
            },
        }
    }

    /// Whether an attempt may go to an endpoint now.
    pub(super) fn allows(&self, endpoint: &EndpointRecord, now: Duration) -> bool {
        if self.send_by <= now {
            return false;
        }
        match (self.repeats, self.scope) {
            (None, _) | (Some(_), DeduplicationScope::All) => true,
            (Some(first), DeduplicationScope::Zone) => first.zone == endpoint.entry.zone,
            (Some(first), DeduplicationScope::Cell) => first.cell == endpoint.entry.cell,
        }
    }
}

#[cfg(test)]
mod tests;
