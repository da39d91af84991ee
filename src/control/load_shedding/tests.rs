use super::*;

#[test]
fn low_priority_requests_are_shed_first_as_use_grows() {
    let mut shedder = LoadShedder::default();
    // The mean moves from 0 towards 400 by a fiftieth, so to 8.
    shedder.record_priority(400.0);
    // The priority below which requests are shed: at a use of up to 0.6 none, at 0.8 half of the mean, at 1 the mean.
    for (use_ratio, priority, is_shed) in [
        (0.5, 0.0, false),
        (0.8, 3.9, true),
        (0.8, 4.1, false),
        (1.0, 7.9, true),
        (1.0, 8.1, false),
    ] {
        assert_eq!(shedder.should_shed(priority, use_ratio), is_shed);
    }
}

#[test]
fn priority_is_value_divided_by_latency() {
    for (latency, expected) in [(Some(0.5), 12.0), (Some(0.0), 6000.0), (None, 6.0)] {
        assert_eq!(priority(6.0, latency), expected, "{latency:?}");
    }
}
