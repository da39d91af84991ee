use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn intervals_double_up_to_the_maximum() {
    let backoff = Backoff {
        initial_interval: MS(250),
        max_interval: MS(4000),
    };
    let intervals: Vec<u64> = (0..8)
        .map(|failures| backoff.interval(failures).as_millis() as u64)
        .collect();
    assert_eq!(intervals, [0, 250, 500, 1000, 2000, 4000, 4000, 4000]);
    assert_eq!(backoff.interval(u32::MAX), MS(4000));
}

#[test]
fn waits_stay_in_the_interval_and_spread_over_it() {
    let backoff = Backoff {
        initial_interval: MS(250),
        max_interval: MS(4000),
    };
    assert_eq!(backoff.wait(0, 0.7), Duration::ZERO);
    assert_eq!(backoff.wait(5, 0.0), MS(62) + Duration::from_micros(500));
    assert_eq!(backoff.wait(5, 0.5), MS(2000));
    assert_eq!(backoff.wait(5, 2.0), MS(4000));
    // A hundred gateways are rejected at the same time, and their random numbers are spread evenly: each tenth of the
    // interval contains at most a tenth of the calls and one more.
    let waits: Vec<Duration> = (0..100)
        .map(|gateway| backoff.wait(6, f64::from(gateway) / 100.0))
        .collect();
    for tenth in 0..10u32 {
        let part = MS(400) * tenth..MS(400) * (tenth + 1);
        let within = waits.iter().filter(|wait| part.contains(wait)).count();
        assert!(within <= 11, "{part:?}: {within}");
    }
}

#[test]
fn initial_interval_grows_with_the_fleet() {
    let base = MS(250);
    let initial =
        |gateways| Backoff::for_shared_service(base, gateways, MS(20_000)).initial_interval;
    assert_eq!([initial(1.0), initial(4.0), initial(5.0)], [base; 3]);
    assert_eq!(initial(100.0), MS(5000));
    assert_eq!(initial(300.0), MS(15_000));
    assert_eq!(initial(1024.0), MS(20_000), "the maximum");
    assert_eq!(
        Backoff::for_shared_service(MS(9000), 100.0, MS(4000)).initial_interval,
        MS(4000)
    );
    assert_eq!(
        Backoff::for_shared_service(base, 100.0, MS(100)).initial_interval,
        MS(100)
    );
}

#[test]
fn an_initial_interval_above_the_maximum_is_kept() {
    let backoff = Backoff {
        initial_interval: MS(500),
        max_interval: MS(100),
    };
    assert_eq!(backoff.interval(3), MS(500));
}
