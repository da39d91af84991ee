use super::*;
use nanorand::{Rng, WyRand};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn timing(connect: u64, grace: u64, sharing: Option<f64>) -> DiscoveryTiming {
    DiscoveryTiming {
        connect_timeout: MS(connect),
        drain_grace: MS(grace),
        refresh_interval: MS(10_000),
        sharing_gateways: sharing,
    }
}

#[test]
fn after_timeouts_the_next_call_comes_within_the_drain_grace_whatever_their_number() {
    for (connect, grace) in [
        (250, 500),
        (250, 250),
        (50, 2000),
        (1000, 500),
        (2000, 2000),
    ] {
        for sharing in [None, Some(3.0), Some(1024.0)] {
            for draw in [0.0, 0.5, 0.999] {
                let mut policy = DiscoveryRetryPolicy::new(timing(connect, grace, sharing));
                for failure in 0..200 {
                    // A connection that is refused or reset at once, one that never came up, one that fell silent.
                    let ago = [MS(0), policy.connect_timeout(), policy.watch_wait()][failure % 3];
                    let wait = policy.record_failure(DiscoveryFailure::NoResponse, ago, draw);
                    assert!(
                        wait <= policy.call_interval(),
                        "{connect} {grace} {failure}: {wait:?}"
                    );
                    assert!(wait + policy.connect_timeout() <= MS(grace).max(MS(connect)) * 3 / 4);
                }
            }
        }
    }
}

#[test]
fn after_timeouts_calls_keep_half_of_the_call_interval_apart() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, Some(300.0)));
    for _ in 0..100 {
        assert!(
            policy.record_failure(DiscoveryFailure::NoResponse, MS(0), 0.0)
                >= policy.call_interval() / 2
        );
    }
}

#[test]
fn after_rejections_a_shared_service_is_called_less_and_less_often_up_to_a_maximum() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, Some(20.0)));
    let waits = |retry: &mut DiscoveryRetryPolicy| -> Vec<u64> {
        (0..5)
            .map(|_| {
                retry
                    .record_failure(DiscoveryFailure::Rejection, MS(0), 0.5)
                    .as_millis() as u64
            })
            .collect()
    };
    assert_eq!(waits(&mut policy), [500, 1000, 2000, 2000, 2000]);
    // A timeout in between does not shorten the wait after a rejection, nor does it make the next call wait.
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
        waits(&mut DiscoveryRetryPolicy::new(timing(
            250,
            500,
            Some(300.0)
        ))),
        [2000; 5]
    );
}

#[test]
fn after_rejections_an_agent_of_ones_own_is_called_at_the_call_interval() {
    let mut policy = DiscoveryRetryPolicy::new(timing(250, 500, None));
    assert!((0..50).all(
        |_| policy.record_failure(DiscoveryFailure::Rejection, MS(0), 0.9)
            <= policy.call_interval()
    ));
}

/// Any span: missing, tiny, huge, or usual up to so many milliseconds.
fn any_span(rng: &mut WyRand, usual: u64) -> Duration {
    match rng.generate_range(0..5u32) {
        0 => Duration::ZERO,
        1 => MS(1),
        2 => Duration::from_secs(1_000_000_000),
        _ => MS(rng.generate_range(1..usual)),
    }
}

fn any_timing(rng: &mut WyRand) -> DiscoveryTiming {
    DiscoveryTiming {
        connect_timeout: any_span(rng, 3000),
        drain_grace: any_span(rng, 3000),
        refresh_interval: any_span(rng, 60_000),
        sharing_gateways: [None, Some(0.0), Some(3.0), Some(350.0), Some(1024.0)]
            [rng.generate_range(0..5usize)],
    }
}

#[test]
fn next_answer_comes_before_a_change_counts_as_notified_whatever_failed() {
    let mut rng = WyRand::new_seed(11);
    for _ in 0..20_000 {
        let timing = any_timing(&mut rng);
        let mut policy = DiscoveryRetryPolicy::new(timing);
        for _ in 0..rng.generate_range(0..12u32) {
            let failure = [DiscoveryFailure::NoResponse, DiscoveryFailure::Rejection]
                [rng.generate_range(0..2usize)];
            policy.record_failure(failure, MS(rng.generate_range(0..9000)), rng.generate());
        }
        let shared = timing.sharing_gateways.is_some();
        // A watch that is silent from its start is given up, one connection more comes to nothing, the next answers.
        let silent = policy.watch_wait() + policy.response_timeout(false);
        let mut after = policy;
        after.record_failure(DiscoveryFailure::NoResponse, silent, rng.generate());
        let again = after.call_interval() + after.connect_timeout() + after.response_timeout(false);
        assert!(
            silent + again * 2 <= MAX_NOTIFICATION_DELAY + MS(250),
            "{timing:?}: {silent:?} {again:?}"
        );
        // So does a whole list.
        let whole = policy.response_timeout(true);
        assert!(
            whole + after.call_interval() + after.connect_timeout() + after.response_timeout(true)
                <= MAX_NOTIFICATION_DELAY,
            "{timing:?}"
        );
        // A call is refused, the next is answered within the time that a crowded service takes.
        let wait = policy.record_failure(DiscoveryFailure::Rejection, MS(0), rng.generate());
        assert!(
            wait + MAX_NOTIFICATION_DELAY / 3 <= MAX_NOTIFICATION_DELAY,
            "{timing:?}: {wait:?}"
        );
        assert!(
            !shared || policy.response_timeout(true) >= MAX_NOTIFICATION_DELAY / 3,
            "given up before it is turned away"
        );
        // And the first call of a gateway that starts.
        let first = policy.first_call_delay(rng.generate_range(0..1024u32));
        assert!(
            first + MAX_NOTIFICATION_DELAY / 3 <= MAX_NOTIFICATION_DELAY
                && (shared || first.is_zero()),
            "{timing:?}: {first:?}"
        );
        // Nothing is so short that it can't succeed, or calls come one upon another.
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
    let mut firsts: Vec<Duration> = (0..300)
        .map(|gateway| policy.first_call_delay(gateway))
        .collect();
    firsts.sort();
    assert!(
        firsts.windows(60).all(|row| row[59] - row[0] > MS(700)),
        "80 a second at the most"
    );
}
