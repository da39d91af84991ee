use super::*;
use nanorand::{Rng, WyRand};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn terms(connect: u64, grace: u64, sharing: Option<f64>) -> DiscoveryTiming {
    DiscoveryTiming {
        connect_timeout: MS(connect),
        drain_grace: MS(grace),
        refresh_interval: MS(10_000),
        sharing_gateways: sharing,
    }
}

#[test]
fn after_silence_the_return_is_heard_within_the_grace_at_any_number_of_failures() {
    for (connect, grace) in [
        (250, 500),
        (250, 250),
        (50, 2000),
        (1000, 500),
        (2000, 2000),
    ] {
        for sharing in [None, Some(3.0), Some(1024.0)] {
            for draw in [0.0, 0.5, 0.999] {
                let mut policy = DiscoveryRetryPolicy::new(terms(connect, grace, sharing));
                for failure in 0..200 {
                    // A connection that is refused or reset at once, one that never came up, one that fell silent.
                    let ago = [MS(0), policy.connect_timeout(), policy.watch_wait()][failure % 3];
                    let wait = policy.record_failure(DiscoveryFailure::Timeout, ago, draw);
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
fn silence_does_not_make_calls_crowd_one_another() {
    let mut policy = DiscoveryRetryPolicy::new(terms(250, 500, Some(300.0)));
    for _ in 0..100 {
        assert!(
            policy.record_failure(DiscoveryFailure::Timeout, MS(0), 0.0)
                >= policy.call_interval() / 2
        );
    }
}

#[test]
fn a_shared_service_that_says_no_is_left_alone_for_longer_and_longer_within_what_counts_as_told() {
    let mut policy = DiscoveryRetryPolicy::new(terms(250, 500, Some(20.0)));
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
    // Silence in between is no sign of room, nor does it make the next call wait.
    assert!(policy.record_failure(DiscoveryFailure::Timeout, MS(0), 0.5) < MS(125));
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
        waits(&mut DiscoveryRetryPolicy::new(terms(250, 500, Some(300.0)))),
        [2000; 5]
    );
}

#[test]
fn an_agent_of_ones_own_that_says_no_is_asked_again_soon() {
    let mut policy = DiscoveryRetryPolicy::new(terms(250, 500, None));
    assert!((0..50).all(
        |_| policy.record_failure(DiscoveryFailure::Rejection, MS(0), 0.9)
            <= policy.call_interval()
    ));
}

/// Any settings: missing, tiny, usual and huge ones.
fn any(rng: &mut WyRand) -> DiscoveryTiming {
    let mut span = |usual: u64| match rng.generate_range(0..5u32) {
        0 => Duration::ZERO,
        1 => MS(1),
        2 => Duration::from_secs(1_000_000_000),
        _ => MS(rng.generate_range(1..usual)),
    };
    let (connect, grace, within) = (span(3000), span(3000), span(60_000));
    let sharing =
        [None, Some(0.0), Some(3.0), Some(350.0), Some(1024.0)][rng.generate_range(0..5usize)];
    DiscoveryTiming {
        connect_timeout: connect,
        drain_grace: grace,
        refresh_interval: within,
        sharing_gateways: sharing,
    }
}

#[test]
fn whatever_fails_the_next_answer_is_in_before_the_change_counts_as_told() {
    let mut rng = WyRand::new_seed(11);
    for _ in 0..20_000 {
        let terms = any(&mut rng);
        let mut policy = DiscoveryRetryPolicy::new(terms);
        for _ in 0..rng.generate_range(0..12u32) {
            let how = [DiscoveryFailure::Timeout, DiscoveryFailure::Rejection]
                [rng.generate_range(0..2usize)];
            policy.record_failure(how, MS(rng.generate_range(0..9000)), rng.generate());
        }
        let shared = terms.sharing_gateways.is_some();
        // A watch that is silent from its start is given up, one connection more comes to nothing, the next answers.
        let silent = policy.watch_wait() + policy.response_timeout(false);
        let mut after = policy;
        after.record_failure(DiscoveryFailure::Timeout, silent, rng.generate());
        let again = after.call_interval() + after.connect_timeout() + after.response_timeout(false);
        assert!(
            silent + again * 2 <= NOTIFIED_WITHIN + MS(250),
            "{terms:?}: {silent:?} {again:?}"
        );
        // So does a whole list.
        let whole = policy.response_timeout(true);
        assert!(
            whole + after.call_interval() + after.connect_timeout() + after.response_timeout(true)
                <= NOTIFIED_WITHIN,
            "{terms:?}"
        );
        // A call is refused, the next is answered within the time that a crowded service takes.
        let wait = policy.record_failure(DiscoveryFailure::Rejection, MS(0), rng.generate());
        assert!(
            wait + NOTIFIED_WITHIN / 3 <= NOTIFIED_WITHIN,
            "{terms:?}: {wait:?}"
        );
        assert!(
            !shared || policy.response_timeout(true) >= NOTIFIED_WITHIN / 3,
            "given up before it is turned away"
        );
        // And the first call of a gateway that starts.
        let first = policy.first_call_delay(rng.generate_range(0..1024u32));
        assert!(
            first + NOTIFIED_WITHIN / 3 <= NOTIFIED_WITHIN && (shared || first.is_zero()),
            "{terms:?}: {first:?}"
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
fn three_hundred_gateways_that_start_together_do_not_call_together() {
    let policy = DiscoveryRetryPolicy::new(terms(250, 500, Some(300.0)));
    let mut firsts: Vec<Duration> = (0..300)
        .map(|gateway| policy.first_call_delay(gateway))
        .collect();
    firsts.sort();
    assert!(
        firsts.windows(60).all(|row| row[59] - row[0] > MS(700)),
        "80 a second at the most"
    );
}
