use super::*;

#[test]
fn delay_is_limited_to_its_range() {
    for (delay, limited) in [(0.0, 0.05), (0.7, 0.7), (90.0, 30.0)] {
        assert_eq!(clamp(seconds(delay)), seconds(limited));
    }
}

#[test]
fn delay_at_the_concurrency_limit_is_the_baseline_latency_per_excess_attempt() {
    for (baseline_latency, excess_attempts, delay) in [
        (Some(0.5), 3.0, 1.5),
        (Some(0.5), 0.0, 0.5),
        (Some(0.5), 1000.0, 49.5),
        (None, 2.0, 10.0),
    ] {
        let actual = until_lease_is_free(baseline_latency, excess_attempts);
        assert_eq!(actual, seconds(delay));
    }
}

#[test]
fn delay_under_an_exhausted_quota_is_the_time_until_it_refills() {
    let now = seconds(100.0);
    assert_eq!(until_quota_refills(seconds(100.5), now), seconds(0.5));
    assert_eq!(until_quota_refills(now, now), DEFAULT_RETRY_AFTER);
}
