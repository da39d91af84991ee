use super::super::test_support::attempt_result;
use super::*;
use AttemptOutcome::{Cancelled, ConnectFailed, Rejected, ServerError, Success, TimedOut};

/// Ends an attempt under a latency target of 1 s. This gateway's share of the 20 endpoints is 5.
fn end_attempt(limiter: &mut ConcurrencyLimiter, outcome: AttemptOutcome, milliseconds: u64) {
    let fleet = FleetShare {
        endpoints: 20.0,
        gateway_share: 0.25,
    };
    let result = attempt_result(outcome, Duration::from_millis(milliseconds));
    limiter.on_attempt_end(&result, Duration::from_secs(1), fleet);
}

#[test]
fn limit_starts_at_sixteen_attempts_per_endpoint_and_stays_at_one_or_more() {
    let mut limiter = ConcurrencyLimiter::new();
    assert!(limiter.limit().is_infinite());
    end_attempt(&mut limiter, Cancelled, 100);
    assert_eq!(limiter.limit(), 16.0 * 5.0);
    (0..1000).for_each(|_| end_attempt(&mut limiter, TimedOut, 2000));
    assert_eq!(limiter.limit(), 5.0);
}

#[test]
fn limit_depends_on_outcome_latency_and_use() {
    // At a limit of 10 each attempt moves the limit by half a full step: up by half of 5, down by half of 15 %.
    const RAISED: f64 = 12.5;
    const LOWERED: f64 = 9.25;
    for (outcome, milliseconds, in_flight, limit) in [
        (Success, 249, 7.0, RAISED),
        (Success, 249, 6.0, 10.0),
        (Success, 250, 7.0, LOWERED),
        (TimedOut, 100, 7.0, LOWERED),
        (Rejected, 100, 7.0, LOWERED),
        (ConnectFailed, 100, 7.0, LOWERED),
        (ServerError, 900, 7.0, 10.0),
        (Cancelled, 900, 7.0, 10.0),
    ] {
        let mut limiter = ConcurrencyLimiter {
            in_flight,
            limit: 10.0,
        };
        end_attempt(&mut limiter, outcome, milliseconds);
        assert_eq!(limiter.limit(), limit, "{outcome:?} {milliseconds}");
        assert_eq!(limiter.in_flight(), in_flight - 1.0);
    }
}
