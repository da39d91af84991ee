use super::*;
use nanorand::{Rng, WyRand};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn timing(
    connect_timeout_ms: u64,
    drain_grace_ms: u64,
    sharing_gateways: Option<f64>,
) -> DiscoveryTiming {
    DiscoveryTiming {
        connect_timeout: MS(connect_timeout_ms),
        drain_grace: MS(drain_grace_ms),
        refresh_interval: MS(10_000),
        sharing_gateways,
    }
}

#[test]
fn after_any_number_of_unanswered_calls_the_next_call_starts_within_the_drain_grace() {
    for (connect_timeout_ms, drain_grace_ms) in [
        (250, 500),
        (250, 250),
        (50, 2000),
        (1000, 500),
        (2000, 2000),
    ] {
        for sharing_gateways in [None, Some(3.0), Some(1024.0)] {
            for random in [0.0, 0.5, 0.999] {
                let mut policy = DiscoveryRetryPolicy::new(timing(
                    connect_timeout_ms,
                    drain_grace_ms,
                    sharing_gateways,
                ));
                for failure in 0..200 {
                    // A connection that is refused or reset at once, one that is never established, and one on which a
                    // watch gets no answer.
                    let elapsed =
                        [MS(0), policy.connect_timeout(), policy.watch_wait()][failure % 3];
                    let wait = policy.record_failure(DiscoveryFailure::NoResponse, elapsed, random);
                    assert!(
                        wait <= policy.call_interval(),
                        "{connect_timeout_ms} ms to connect, grace {drain_grace_ms} ms, failure {failure}: {wait:?}"
                    );
                    assert!(
                        wait + policy.connect_timeout()
                            <= MS(drain_grace_ms).max(MS(connect_timeout_ms)) * 3 / 4
                    );
                }
            }
        }
    }
}

#[test]
fn after_unanswered_calls_the_wait_is_at_least_half_of_the_call_interval() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, Some(300.0)));
    for _ in 0..100 {
        assert!(
            policy.record_failure(DiscoveryFailure::NoResponse, MS(0), 0.0)
                >= policy.call_interval() / 2
        );
    }
}

#[test]
fn after_rejections_by_a_shared_service_the_wait_grows_up_to_a_maximum() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, Some(20.0)));
    let five_waits = |rejected_policy: &mut DiscoveryRetryPolicy| -> Vec<u64> {
        (0..5)
            .map(|_| {
                rejected_policy
                    .record_failure(DiscoveryFailure::Rejection, MS(0), 0.5)
                    .as_millis() as u64
            })
            .collect()
    };
    assert_eq!(five_waits(&mut policy), [500, 1000, 2000, 2000, 2000]);
    // A call without an answer between rejections does not reset the wait after a rejection, and the call after it is
    // not delayed by the backoff.
    assert!(policy.record_failure(DiscoveryFailure::NoResponse, MS(0), 0.5) < MS(125));
    assert_eq!(
        policy.record_failure(DiscoveryFailure::Rejection, MS(0), 0.5),
        MS(2000)
    );
    policy.record_success();
    assert_eq!(
        policy.record_failure(DiscoveryFailure::Rejection, MS(0), 0.5),
        MS(500)
    );
    assert_eq!(
        five_waits(&mut DiscoveryRetryPolicy::new(timing(
            250,
            500,
            Some(300.0)
        ))),
        [2000; 5]
    );
}

#[test]
fn after_rejections_by_the_gateways_own_agent_the_call_interval_applies() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, None));
    assert!((0..50).all(
        |_| policy.record_failure(DiscoveryFailure::Rejection, MS(0), 0.9)
            <= policy.call_interval()
    ));
}

/// Returns a random duration: zero, 1 ms, extremely long, or a usual one below `max_usual_ms`.
fn any_duration(rng: &mut WyRand, max_usual_ms: u64) -> Duration {
    match rng.generate_range(0..5u32) {
        0 => Duration::ZERO,
        1 => MS(1),
        2 => Duration::from_secs(1_000_000_000),
        _ => MS(rng.generate_range(1..max_usual_ms)),
    }
}

fn any_timing(rng: &mut WyRand) -> DiscoveryTiming {
    DiscoveryTiming {
        connect_timeout: any_duration(rng, 3000),
        drain_grace: any_duration(rng, 3000),
        refresh_interval: any_duration(rng, 60_000),
        sharing_gateways: [None, Some(0.0), Some(3.0), Some(350.0), Some(1024.0)]
            [rng.generate_range(0..5usize)],
    }
}

/// Records up to eleven random failures.
fn record_any_failures(policy: &mut DiscoveryRetryPolicy, rng: &mut WyRand) {
    for _ in 0..rng.generate_range(0..12u32) {
        let failure = [DiscoveryFailure::NoResponse, DiscoveryFailure::Rejection]
            [rng.generate_range(0..2usize)];
        policy.record_failure(failure, MS(rng.generate_range(0..9000)), rng.generate());
    }
}

#[test]
fn after_any_failures_the_next_answer_arrives_within_the_maximum_notification_delay() {
    let mut rng = WyRand::new_seed(11);
    for _ in 0..20_000 {
        let timing = any_timing(&mut rng);
        let mut policy = DiscoveryRetryPolicy::new(timing);
        record_any_failures(&mut policy, &mut rng);
        let shared = timing.sharing_gateways.is_some();
        // A watch gets no answer and times out, the next connection fails too, and the call after that is answered.
        let unanswered_watch = policy.watch_wait() + policy.response_timeout(false);
        let mut policy_after = policy;
        policy_after.record_failure(
            DiscoveryFailure::NoResponse,
            unanswered_watch,
            rng.generate(),
        );
        let next_call = policy_after.call_interval()
            + policy_after.connect_timeout()
            + policy_after.response_timeout(false);
        assert!(
            unanswered_watch + next_call * 2 <= MAX_NOTIFICATION_DELAY + MS(250),
            "{timing:?}: watch {unanswered_watch:?}, next call {next_call:?}"
        );
        // The same for a call for the complete list, without a second failed connection.
        let list_timeout = policy.response_timeout(true);
        assert!(
            list_timeout
                + policy_after.call_interval()
                + policy_after.connect_timeout()
                + policy_after.response_timeout(true)
                <= MAX_NOTIFICATION_DELAY,
            "{timing:?}"
        );
        // A call is rejected, and the next one is answered within the time that an overloaded service takes.
        let wait = policy.record_failure(DiscoveryFailure::Rejection, MS(0), rng.generate());
        assert!(
            wait + MAX_NOTIFICATION_DELAY / 3 <= MAX_NOTIFICATION_DELAY,
            "{timing:?}: {wait:?}"
        );
        assert!(
            !shared || policy.response_timeout(true) >= MAX_NOTIFICATION_DELAY / 3,
            "{timing:?}: the call times out before an overloaded service rejects it"
        );
        // The first call of a gateway that starts is answered within the same time.
        let first_delay = policy.first_call_delay(rng.generate_range(0..1024u32));
        assert!(
            first_delay + MAX_NOTIFICATION_DELAY / 3 <= MAX_NOTIFICATION_DELAY
                && (shared || first_delay.is_zero()),
            "{timing:?}: {first_delay:?}"
        );
        // No wait is so short that a call can't succeed or that calls follow each other immediately.
        assert!(
            policy.watch_wait() >= MIN_WAIT
                && policy.connect_timeout() >= MIN_WAIT
                && policy.response_timeout(false) >= MIN_WAIT
        );
    }
}

#[test]
fn first_calls_of_three_hundred_gateways_that_start_together_are_spread() {
    let policy = DiscoveryRetryPolicy::new(timing(250, 500, Some(300.0)));
    let mut first_delays: Vec<Duration> = (0..300)
        .map(|gateway| policy.first_call_delay(gateway))
        .collect();
    first_delays.sort();
    assert!(
        first_delays
            .windows(60)
            .all(|consecutive| consecutive[59] - consecutive[0] > MS(700)),
        "60 calls within 700 ms; at most about 80 per second are expected"
    );
}
