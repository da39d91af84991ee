use super::super::test_support::{endpoint, endpoint_table, open_request};
use super::*;
use crate::port::{AttemptNumber, Endpoint};
use crate::settings::Route;
use DeduplicationScope::{All, Cell, Zone};
use Idempotency::{Idempotent, Keyed, NonIdempotent};

/// A request whose first attempt, if `has_run` says so, may have run at 2 s in zone "z", cell 7; its key is remembered for
/// 5 s.
fn request(idempotency: Idempotency, scope: DeduplicationScope, has_run: bool) -> OpenRequest {
    let mut open = open_request(Route {
        idempotency,
        deduplication_scope: scope,
        deduplication_window: Duration::from_secs(5),
        ..Route::default()
    });
    open.first_execution = has_run.then(|| SentAttempt {
        at: Duration::from_secs(2),
        zone: "z".to_string(),
        cell: 7,
    });
    open
}

#[test]
fn requests_pay_for_further_attempts_up_to_a_maximum() {
    let mut budget = RetryBudget::new();
    // Three to start with; 0.2 for each request, ten at the most.
    for (requests, attempts) in [(0, 3), (11, 2), (1000, 10)] {
        (0..requests).for_each(|_| budget.record_request());
        let taken = std::iter::from_fn(|| budget.try_take().then_some(())).count();
        assert_eq!(taken, attempts, "{requests}");
    }
}

#[test]
fn outcome_tells_whether_the_request_arrived_and_may_have_run() {
    for (outcome, arrived, has_run) in [
        (AttemptOutcome::ServerError, true, true),
        (AttemptOutcome::Rejected, true, false),
        (AttemptOutcome::ConnectFailed, false, false),
        (AttemptOutcome::Reset, true, true),
        (AttemptOutcome::NotSent, false, false),
    ] {
        assert_eq!(was_delivered(outcome), arrived, "{outcome:?}");
        assert_eq!(may_have_run(outcome), has_run, "{outcome:?}");
    }
}

#[test]
fn further_attempt_needs_time_a_free_number_and_a_request_that_may_be_repeated() {
    // The deadline is at 10 s, and an attempt needs 50 ms.
    for (idempotency, has_run, attempts, milliseconds, expected) in [
        (Idempotent, true, 2, 9950, true),
        (Idempotent, false, 2, 9951, false),
        (Idempotent, false, 3, 9950, false),
        (Keyed, true, 2, 9950, true),
        (NonIdempotent, false, 2, 9950, true),
        (NonIdempotent, true, 2, 9950, false),
    ] {
        let mut open = request(idempotency, All, has_run);
        open.attempts = attempts;
        let actual = is_retryable(&open, Duration::from_millis(milliseconds), 3);
        assert_eq!(actual, expected, "{idempotency:?} {has_run} {attempts}");
    }
}

#[test]
fn repeat_by_the_client_is_harmless_where_nothing_ran_or_repeats_are_recognised() {
    for (idempotency, scope, has_run, is_in_flight, expected) in [
        (Idempotent, Zone, true, true, true),
        (Keyed, All, true, true, true),
        (Keyed, Zone, true, false, false),
        (Keyed, Zone, false, true, false),
        (Keyed, Zone, false, false, true),
        (NonIdempotent, All, true, false, false),
        (NonIdempotent, All, false, false, true),
    ] {
        let mut open = request(idempotency, scope, has_run);
        open.in_flight = is_in_flight.then_some(AttemptNumber(0));
        let actual = is_harmless_to_repeat(&open);
        assert_eq!(actual, expected, "{idempotency:?} {scope:?} {has_run}");
    }
}

#[test]
fn repeat_goes_only_where_and_while_the_first_attempt_is_remembered() {
    // Remembered until 7 s; a slack of 10 ms and a suspension of 150 ms are kept clear of that.
    for (idempotency, scope, has_run, zone, cell, milliseconds, expected) in [
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
        let open = request(idempotency, scope, has_run);
        let guard = EffectGuard::of(&open, Duration::from_millis(10));
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
