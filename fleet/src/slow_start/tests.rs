use super::*;
use nanorand::{Rng, WyRand};

const WINDOW: f64 = 1.0;

/// The highest number of sends in any window, where each gateway sends whenever it is permitted and `wants` says so, and a send
/// arrives up to `late` seconds after it was decided.
fn max_sends_in_a_window(
    gateways: u32,
    budget: SlowStartBudget,
    late: f64,
    rng: &mut WyRand,
    wants: impl Fn(f64) -> bool,
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
        for permits in permits_of_all.iter_mut().filter(|_| wants(at)) {
            while permits.has_permit(now, budget) {
                permits.take_permit(now, budget);
                sends.push(at + late * rng.generate::<f64>());
            }
        }
    }
    sends.sort_by(f64::total_cmp);
    let within = |from: usize| sends.partition_point(|at| *at < sends[from] + WINDOW) - from;
    (0..sends.len()).map(within).max().unwrap_or(0)
}

#[test]
fn all_gateways_together_stay_within_the_budget() {
    let mut rng = WyRand::new_seed(5);
    for gateways in [3, 20, 30, 100, 350, 1024] {
        for total_rate in [0.5, 4.0, 12.0, 60.0, 900.0] {
            // The module uses 0.4 of the budget, its permits expire in a window, and a send begins half of one late at most.
            let budget = SlowStartBudget::share_of(
                total_rate * 0.4,
                f64::from(gateways),
                Duration::from_secs_f64(WINDOW),
            );
            let allowed = total_rate + 2.0 * f64::sqrt(total_rate) + 2.0;
            let steady = max_sends_in_a_window(gateways, budget, 0.0, &mut rng, |_| true);
            let burst = max_sends_in_a_window(gateways, budget, 0.0, &mut rng, |at| {
                (4.0..4.1).contains(&at)
            });
            let late = max_sends_in_a_window(gateways, budget, WINDOW / 2.0, &mut rng, |at| {
                !(3.0..5.0).contains(&at)
            });
            for (pattern, sends) in [("steady", steady), ("burst", burst), ("late", late)] {
                assert!(
                    sends as f64 <= allowed,
                    "{gateways} gateways, {total_rate}, {pattern}: {sends} of {allowed}"
                );
            }
            let least = (total_rate * 0.4 * WINDOW).floor() * 0.8 - 1.0;
            assert!(
                steady as f64 >= least,
                "{gateways} gateways, {total_rate}: {steady} of {least}"
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
        "by its coming together, not by its use"
    );
    assert!(!SlowStartPermits::new(7, 9, start).has_permit(
        at(3_600_000),
        SlowStartBudget::share_of(0.0, 3.0, budget.permit_lifetime)
    ));
}

#[test]
fn gateways_begin_at_credits_that_are_spread_evenly() {
    for gateways in [3u32, 30, 350, 1024] {
        let mut credits: Vec<f64> = (0..gateways)
            .map(|gateway| SlowStartPermits::new(gateway, 77, Duration::ZERO).credit)
            .collect();
        credits.sort_by(f64::total_cmp);
        let even = f64::from(gateways);
        assert!(
            credits
                .windows(2)
                .all(|pair| pair[1] - pair[0] < 2.7 / even),
            "{gateways}"
        );
    }
}
