use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn spans_double_up_to_the_maximum() {
    let backoff = Backoff {
        initial_interval: MS(250),
        max_interval: MS(4000),
    };
    let spans: Vec<u64> = (0..8)
        .map(|failures| backoff.interval(failures).as_millis() as u64)
        .collect();
    assert_eq!(spans, [0, 250, 500, 1000, 2000, 4000, 4000, 4000]);
    assert_eq!(backoff.interval(u32::MAX), MS(4000));
}

#[test]
fn waits_stay_in_the_span_and_spread_over_it() {
    let backoff = Backoff {
        initial_interval: MS(250),
        max_interval: MS(4000),
    };
    assert_eq!(backoff.wait(0, 0.7), Duration::ZERO);
    assert_eq!(backoff.wait(5, 0.0), MS(62) + Duration::from_micros(500));
    assert_eq!(backoff.wait(5, 0.5), MS(2000));
    assert_eq!(backoff.wait(5, 2.0), MS(4000));
    // A hundred gateways turned away at one instant, with evenly spread draws: no tenth of the span holds
    // more than a tenth and one of them.
    let waits: Vec<Duration> = (0..100)
        .map(|gateway| backoff.wait(6, f64::from(gateway) / 100.0))
        .collect();
    for tenth in 0..10u32 {
        let span = MS(400) * tenth..MS(400) * (tenth + 1);
        let within = waits.iter().filter(|wait| span.contains(wait)).count();
        assert!(within <= 11, "{span:?}: {within}");
    }
}

#[test]
fn first_span_grows_with_the_fleet() {
    let base = MS(250);
    let first = |gateways| Backoff::for_shared_service(base, gateways, MS(20_000)).initial_interval;
    assert_eq!([first(1.0), first(4.0), first(5.0)], [base; 3]);
    assert_eq!(first(100.0), MS(5000));
    assert_eq!(first(300.0), MS(15_000));
    assert_eq!(first(1024.0), MS(20_000), "the maximum");
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
fn first_span_beyond_the_maximum_is_kept() {
    let backoff = Backoff {
        initial_interval: MS(500),
        max_interval: MS(100),
    };
    assert_eq!(backoff.interval(3), MS(500));
}
