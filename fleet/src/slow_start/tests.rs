use super::*;
use nanorand::{Rng, WyRand};

const WINDOW_SECONDS: f64 = 1.0;

/// Returns the highest number of sends that arrive in any window of [`WINDOW_SECONDS`]. Each gateway sends whenever it
/// has a permit and `wants_to_send` returns true for the time in seconds. A send arrives up to `max_delay_seconds`
/// after it was permitted.
fn max_sends_in_a_window(
    gateways: u32,
    budget: SlowStartBudget,
    max_delay_seconds: f64,
    rng: &mut WyRand,
    wants_to_send: impl Fn(f64) -> bool,
) -> usize {
    let start = Duration::from_secs(1_700_000_000);
    let salt = rng.generate::<u64>();
    let mut permits_of_all: Vec<SlowStartPermits> = (0..gateways)
        .map(|gateway| SlowStartPermits::new(gateway, salt, start))
        .collect();
    let mut sends: Vec<f64> = Vec::new();
    for step in 0..500 {
        let at = f64::from(step) * 0.02;
        let now = start + Duration::from_secs_f64(at);
        for permits in permits_of_all.iter_mut().filter(|_| wants_to_send(at)) {
            while permits.has_permit(now, budget) {
                permits.take_permit(now, budget);
                sends.push(at + max_delay_seconds * rng.generate::<f64>());
            }
        }
    }
    sends.sort_by(f64::total_cmp);
    let within =
        |from: usize| sends.partition_point(|at| *at < sends[from] + WINDOW_SECONDS) - from;
    (0..sends.len()).map(within).max().unwrap_or(0)
}

#[test]
fn all_gateways_together_stay_within_the_budget() {
    let mut rng = WyRand::new_seed(5);
    for gateways in [3, 20, 30, 100, 350, 1024] {
        for total_rate in [0.5, 4.0, 12.0, 60.0, 900.0] {
            // As in the controller, 0.4 of the budget is used and permits expire after one window. A send arrives up
            // to half a window late.
            let budget = SlowStartBudget::share_of(
                total_rate * 0.4,
                f64::from(gateways),
                Duration::from_secs_f64(WINDOW_SECONDS),
            );
            let allowed = total_rate + 2.0 * f64::sqrt(total_rate) + 2.0;
            let steady = max_sends_in_a_window(gateways, budget, 0.0, &mut rng, |_| true);
            let burst = max_sends_in_a_window(gateways, budget, 0.0, &mut rng, |at| {
                (4.0..4.1).contains(&at)
            });
            let delayed =
                max_sends_in_a_window(gateways, budget, WINDOW_SECONDS / 2.0, &mut rng, |at| {
                    !(3.0..5.0).contains(&at)
                });
            for (pattern, sends) in [("steady", steady), ("burst", burst), ("delayed", delayed)] {
                assert!(
                    sends as f64 <= allowed,
                    "{gateways} gateways, {total_rate} per second, {pattern}: {sends} sends, allowed {allowed}"
                );
            }
            let min_sends = (total_rate * 0.4 * WINDOW_SECONDS).floor() * 0.8 - 1.0;
            assert!(
                steady as f64 >= min_sends,
                "{gateways} gateways, {total_rate} per second: {steady} sends, expected {min_sends}"
            );
        }
    }
}

#[test]
fn permits_carry_fractions_over_and_expire() {
    let start = Duration::from_secs(50);
    let budget = SlowStartBudget::share_of(1.0, 4.0, Duration::from_millis(500));
    let mut permits = SlowStartPermits {
        credit: 0.5,
        updated_at: start,
    };
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!permits.has_permit(at(1999), budget));
    assert!(permits.has_permit(at(2001), budget));
    assert!(!permits.has_permit(at(2501), budget), "expired");
    permits.take_permit(at(2400), budget);
    assert!(!permits.has_permit(at(5999), budget));
    assert!(
        permits.has_permit(at(6001), budget),
        "complete 4 s after the previous permit was complete, not after it was used"
    );
    assert!(!SlowStartPermits::new(7, 9, start).has_permit(
        at(3_600_000),
        SlowStartBudget::share_of(0.0, 3.0, budget.permit_lifetime)
    ));
}

#[test]
fn gateways_start_with_credits_that_are_spread_evenly() {
    for gateways in [3u32, 30, 350, 1024] {
        let mut credits: Vec<f64> = (0..gateways)
            .map(|gateway| SlowStartPermits::new(gateway, 77, Duration::ZERO).credit)
            .collect();
        credits.sort_by(f64::total_cmp);
        let gateway_count = f64::from(gateways);
        assert!(
            credits
                .windows(2)
                .all(|pair| pair[1] - pair[0] < 2.7 / gateway_count),
            "{gateways} gateways"
        );
    }
}
