use super::super::test_support::attempt_result;
use super::*;

const START: Duration = Duration::from_secs(100);

/// Returns the rates after four attempts on the route at the same time, of which three failed.
fn rates() -> FailureRates {
    let mut rates = FailureRates::default();
    for failed in [1.0, 1.0, 0.0, 1.0] {
        rates.record(&"route".into(), START, failed);
    }
    rates
}

#[test]
fn estimates_include_prior_attempts() {
    // The overall rate adds five successful attempts to the four, the rate at an endpoint two attempts of which half
    // failed. An attempt counts half after 8 s.
    for (route, seconds, overall, at_endpoint) in [
        ("route", 0, 3.0 / 9.0, 4.0 / 6.0),
        ("route", 8, 1.5 / 7.0, 2.5 / 4.0),
        ("other", 0, 0.0, 0.5),
    ] {
        let now = START + Duration::from_secs(seconds);
        assert_eq!(rates().overall_rate(&route.into(), now), overall);
        assert_eq!(rates().endpoint_rate(&route.into(), now, 0.5), at_endpoint);
    }
}

#[test]
fn failure_for_all_routes_counts_for_every_known_route() {
    let mut rates = rates();
    rates.record_for_all_routes(START, 1.0);
    assert_eq!(rates.overall_rate(&"route".into(), START), 4.0 / 10.0);
}

#[test]
fn failure_weight_depends_on_the_outcome_and_the_latency_target() {
    for (outcome, milliseconds, target, weight) in [
        (AttemptOutcome::Success, 1000, 1, Some(0.0)),
        (AttemptOutcome::Success, 1001, 1, Some(1.0)),
        (AttemptOutcome::Success, 9000, 0, Some(0.0)),
        (AttemptOutcome::ServerError, 100, 1, Some(0.25)),
        (AttemptOutcome::Rejected, 2000, 1, Some(0.0)),
        (AttemptOutcome::TimedOut, 100, 1, Some(1.0)),
        (AttemptOutcome::ConnectFailed, 100, 1, Some(1.0)),
        (AttemptOutcome::Cancelled, 100, 1, None),
    ] {
        let result = attempt_result(outcome, Duration::from_millis(milliseconds));
        let actual = failure_weight(&result, Duration::from_secs(target));
        assert_eq!(actual, weight, "{outcome:?} {milliseconds}");
    }
}
