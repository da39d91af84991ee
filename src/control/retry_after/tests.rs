use super::*;

#[test]
fn advice_stays_within_its_bounds() {
    for (wait, advice) in [(0.0, 0.05), (0.7, 0.7), (90.0, 30.0)] {
        assert_eq!(clamped(seconds(wait)), seconds(advice));
    }
}

#[test]
fn advice_under_a_full_cap_is_the_baseline_latency_of_each_attempt_ahead() {
    for (baseline, ahead, wait) in [
        (Some(0.5), 3.0, 1.5),
        (Some(0.5), 0.0, 0.5),
        (Some(0.5), 1000.0, 49.5),
        (None, 2.0, 10.0),
    ] {
        assert_eq!(until_lease_is_free(baseline, ahead), seconds(wait));
    }
}

#[test]
fn advice_under_a_spent_quota_is_the_time_until_it_refills() {
    let now = seconds(100.0);
    assert_eq!(until_quota_refills(seconds(100.5), now), seconds(0.5));
    assert_eq!(until_quota_refills(now, now), DEFAULT_RETRY_AFTER);
}
