use super::*;

const NOW: Duration = Duration::from_secs(100);
const TIMEOUT: Duration = Duration::from_millis(200);

/// The pacer of one of 300 gateways: its initial rate is 3 calls per second, its capacity 4 tokens.
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
fn calls_are_not_paced_while_quotas_are_large_and_no_call_failed() {
    let mut pacer = pacer(false);
    assert!(pacer.allows(NOW, 1.0), "no token needed");
    pacer.recent_rate = 10.0;
    pacer.record_error(NOW, TIMEOUT);
    assert!(!pacer.allows(NOW, 0.0), "after an error");
}

#[test]
fn call_of_little_value_leaves_tokens_in_reserve() {
    // After one second 3 of 4 tokens have accumulated. A call needs 1 + 3 x ratio tokens.
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
    // A reply within 140 ms is prompt. Below the threshold it adds 1 call per second, above it 0.2 or 1 % of the rate. The
    // rate is limited to twice the recent rate plus 4.
    for (rate, recent_rate, threshold, milliseconds, raised) in [
        (3.0, 10.0, f64::INFINITY, 139, 4.0),
        (3.0, 10.0, f64::INFINITY, 140, 3.0),
        (3.0, 10.0, 1.0, 139, 3.2),
        (50.0, 100.0, 1.0, 139, 50.5),
        (10.0, 3.25, f64::INFINITY, 139, 10.5),
    ] {
        let mut pacer = pacer(true);
        pacer.rate = rate;
        pacer.recent_rate = recent_rate;
        pacer.fast_increase_threshold = threshold;
        pacer.record_success(Duration::from_millis(milliseconds), TIMEOUT);
        assert_eq!(pacer.rate, raised, "{rate} {recent_rate} {milliseconds}");
    }
}

#[test]
fn error_lowers_the_rate_below_that_of_recent_calls() {
    let mut pacer = pacer(true);
    pacer.rate = 30.0;
    pacer.recent_rate = 10.0;
    // The first error reduces the rate to 0.6 of 10 calls per second; the next one has an effect after four timeouts.
    for (milliseconds, rate) in [(0, 6.0), (799, 6.0), (800, 6.0 * 0.6)] {
        pacer.record_error(NOW + Duration::from_millis(milliseconds), TIMEOUT);
        assert_eq!(pacer.rate, rate, "{milliseconds} ms");
    }
}

#[test]
fn repeated_errors_are_an_outage_if_this_gateway_may_overload_the_counter() {
    let mut pacer = pacer(true);
    // A success restarts the count; an error within four timeouts of the last counted one is ignored.
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
            assert_eq!(outage, is_outage, "after {timeouts} timeouts");
        }
    }
}

#[test]
fn one_error_is_an_outage_if_this_gateway_rarely_calls_the_counter() {
    // One call in two timeouts of 200 ms is 2.5 calls per second.
    for (recent_rate, is_outage) in [(2.4, true), (2.6, false)] {
        let mut pacer = pacer(false);
        pacer.recent_rate = recent_rate;
        assert_eq!(pacer.record_error(NOW, TIMEOUT), is_outage, "{recent_rate}");
    }
}
