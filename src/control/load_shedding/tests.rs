use super::*;

#[test]
fn requests_of_low_priority_are_shed_first_as_use_grows() {
    let mut shedder = LoadShedder::default();
    // The mean moves by a fiftieth of each request, so to 8.
    shedder.record_priority(400.0);
    // Nothing is shed up to a use of 0.6; below half of the mean at 0.8, below the mean at 1.
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
fn priority_is_value_over_latency() {
    for (latency, expected) in [(Some(0.5), 12.0), (Some(0.0), 6000.0), (None, 6.0)] {
        assert_eq!(priority(6.0, latency), expected, "{latency:?}");
    }
}
