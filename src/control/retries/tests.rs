use super::super::test_support::{endpoint, endpoint_table, open_request};
use super::*;
use crate::port::{AttemptNumber, Endpoint};
use crate::settings::Route;
use DeduplicationScope::{All, Cell, Zone};
use Idempotency::{Idempotent, Keyed, NonIdempotent};

/// A request with a deduplication window of 5 s. If `may_have_run` is set, its first attempt may have run at 2 s in
/// zone "z", cell 7.
fn request(idempotency: Idempotency, scope: DeduplicationScope, may_have_run: bool) -> OpenRequest {
    let mut open = open_request(Route {
        idempotency,
        deduplication_scope: scope,
        deduplication_window: Duration::from_secs(5),
        ..Route::default()
    });
    open.first_execution = may_have_run.then(|| SentAttempt {
        at: Duration::from_secs(2),
        zone: "z".to_string(),
        cell: 7,
    });
    open
}

#[test]
fn requests_add_to_the_retry_budget_up_to_a_maximum() {
    let mut budget = RetryBudget::new();
    // The budget starts with three retries, grows by 0.2 per request and is limited to ten.
    for (requests, retries) in [(0, 3), (11, 2), (1000, 10)] {
        (0..requests).for_each(|_| budget.record_request());
        let taken = std::iter::from_fn(|| budget.try_take().then_some(())).count();
        assert_eq!(taken, retries, "{requests}");
    }
}

#[test]
fn outcome_says_whether_the_request_was_delivered_and_may_have_run() {
    for (outcome, is_delivered, may_run) in [
        (AttemptOutcome::ServerError, true, true),
        (AttemptOutcome::Rejected, true, false),
        (AttemptOutcome::ConnectFailed, false, false),
        (AttemptOutcome::Reset, true, true),
        (AttemptOutcome::NotSent, false, false),
    ] {
        assert_eq!(was_delivered(outcome), is_delivered, "{outcome:?}");
        assert_eq!(may_have_run(outcome), may_run, "{outcome:?}");
    }
}

#[test]
fn retry_needs_time_an_attempt_below_the_maximum_and_a_repeatable_request() {
    // The deadline is at 10 s, and a retry needs 50 ms.
    for (idempotency, may_have_run, attempts, milliseconds, expected) in [
        (Idempotent, true, 2, 9950, true),
        (Idempotent, false, 2, 9951, false),
        (Idempotent, false, 3, 9950, false),
        (Keyed, true, 2, 9950, true),
        (NonIdempotent, false, 2, 9950, true),
        (NonIdempotent, true, 2, 9950, false),
    ] {
        let mut open = request(idempotency, All, may_have_run);
        open.attempts = attempts;
        let actual = is_retryable(&open, Duration::from_millis(milliseconds), 3);
        assert_eq!(
            actual, expected,
            "{idempotency:?} {may_have_run} {attempts}"
        );
    }
}

#[test]
fn retry_by_the_client_is_safe_if_nothing_ran_or_repeats_are_recognised() {
    for (idempotency, scope, may_have_run, is_in_flight, expected) in [
        (Idempotent, Zone, true, true, true),
        (Keyed, All, true, true, true),
        (Keyed, Zone, true, false, false),
        (Keyed, Zone, false, true, false),
        (Keyed, Zone, false, false, true),
        (NonIdempotent, All, true, false, false),
        (NonIdempotent, All, false, false, true),
    ] {
        let mut open = request(idempotency, scope, may_have_run);
        open.in_flight = is_in_flight.then_some(AttemptNumber(0));
        let actual = is_safe_for_client_to_retry(&open);
        assert_eq!(actual, expected, "{idempotency:?} {scope:?} {may_have_run}");
    }
}

#[test]
fn retry_is_allowed_only_within_the_deduplication_scope_and_window() {
    // The deduplication window ends at 7 s. The retry must be sent 160 ms earlier: a timer slack of 10 ms and a process
    // suspension of 150 ms.
    for (idempotency, scope, may_have_run, zone, cell, milliseconds, expected) in [
        (Keyed, Cell, true, "z", 7, 6839, true),
        (Keyed, Cell, true, "z", 7, 6840, false),
        (Keyed, Cell, true, "z", 8, 6839, false),
        (Keyed, Zone, true, "z", 8, 6839, true),
        (Keyed, Zone, true, "y", 7, 6839, false),
        (Keyed, All, true, "y", 8, 6839, true),
        (Keyed, Cell, false, "y", 8, 9000, true),
        (Idempotent, Cell, true, "y", 8, 9000, true),
        (NonIdempotent, All, false, "z", 7, 9000, true),
        (NonIdempotent, All, true, "z", 7, 6839, false),
    ] {
        let open = request(idempotency, scope, may_have_run);
        let guard = RepeatGuard::of(&open, Duration::from_millis(10));
        let table = endpoint_table(vec![Endpoint {
            zone: zone.to_string(),
            cell,
            ..endpoint("a")
        }]);
        let record = table.get(&"a".into()).expect("listed");
        let actual = guard.allows(record, Duration::from_millis(milliseconds));
        assert_eq!(actual, expected, "{idempotency:?} {scope:?} {zone} {cell}");
    }
}
