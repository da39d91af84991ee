use super::*;

const NOW: Duration = Duration::from_secs(100);
const TIMEOUT: Duration = Duration::from_millis(200);

/// The pacer of one of 300 gateways: 3 calls a second to start with, and 4 tokens at the most.
fn pacer(quotas_are_small: bool) -> RatePacer {
    let settings = Settings {
        gateways: 300,
        ..Settings::default()
    };
    let mut pacer = RatePacer::new(&settings, NOW);
    pacer.record_request(quotas_are_small, 1.0);
    pacer
}

#[test]
fn calls_are_not_paced_where_quotas_are_large_and_nothing_failed() {
    let mut pacer = pacer(false);
    assert!(pacer.allows(NOW, 1.0), "without a token");
    pacer.recent_rate = 10.0;
    pacer.record_error(NOW, TIMEOUT);
    assert!(!pacer.allows(NOW, 0.0), "after an error");
}

#[test]
fn call_of_little_value_leaves_tokens_in_reserve() {
    // Three tokens of four have accumulated after a second. One and the reserve are needed: 1 + 3 x ratio.
    let now = NOW + Duration::from_secs(1);
    for (ratio, allowed) in [(-1.0, true), (0.6, true), (0.7, false), (9.0, false)] {
        assert_eq!(pacer(true).allows(now, ratio), allowed, "{ratio}");
    }
    let mut pacer = pacer(true);
    pacer.record_call(now);
    assert!(!pacer.allows(now, 0.6), "two tokens");
}

#[test]
fn prompt_replies_raise_the_rate() {
    // Prompt is within 140 ms. Above the threshold by 0.2 calls a second, or a hundredth; never beyond twice the recent
    // calls and 4.
    for (rate, recent, threshold, milliseconds, raised) in [
        (3.0, 10.0, f64::INFINITY, 139, 4.0),
        (3.0, 10.0, f64::INFINITY, 140, 3.0),
        (3.0, 10.0, 1.0, 139, 3.2),
        (50.0, 100.0, 1.0, 139, 50.5),
        (10.0, 3.25, f64::INFINITY, 139, 10.5),
    ] {
        let mut pacer = pacer(true);
        pacer.rate = rate;
        pacer.recent_rate = recent;
        pacer.slow_start_threshold = threshold;
        pacer.record_success(Duration::from_millis(milliseconds), TIMEOUT);
        assert_eq!(pacer.rate, raised, "{rate} {recent} {milliseconds}");
    }
}

#[test]
fn error_lowers_the_rate_below_that_of_recent_calls() {
    let mut pacer = pacer(true);
    pacer.rate = 30.0;
    pacer.recent_rate = 10.0;
    // 0.6 of ten calls a second; the next error counts after four timeouts.
    for (milliseconds, rate) in [(0, 6.0), (799, 6.0), (800, 6.0 * 0.6)] {
        pacer.record_error(NOW + Duration::from_millis(milliseconds), TIMEOUT);
        assert_eq!(pacer.rate, rate, "{milliseconds} ms");
    }
}

#[test]
fn errors_in_a_row_are_an_outage_where_this_gateway_may_overload_the_counter() {
    let mut pacer = pacer(true);
    // A success begins anew; an error within four timeouts of the last is not counted.
    for (timeouts, succeeds, is_outage) in [
        (0, false, false),
        (4, false, false),
        (7, true, false),
        (8, false, false),
        (12, false, false),
        (13, false, false),
        (16, false, true),
    ] {
        if succeeds {
            pacer.record_success(TIMEOUT, TIMEOUT);
        } else {
            let outage = pacer.record_error(NOW + TIMEOUT * timeouts, TIMEOUT);
            assert_eq!(outage, is_outage, "{timeouts}");
        }
    }
}

#[test]
fn one_error_is_an_outage_where_this_gateway_calls_seldom() {
    // One call in two timeouts is 2.5 calls a second.
    for (recent_rate, is_outage) in [(2.4, true), (2.6, false)] {
        let mut pacer = pacer(false);
        pacer.recent_rate = recent_rate;
        assert_eq!(pacer.record_error(NOW, TIMEOUT), is_outage, "{recent_rate}");
    }
}
