use super::*;

#[test]
fn a_measurement_on_fewer_seeds_may_lie_further_off() {
    let differences = [0.1, 0.12, 0.08, 0.11, 0.09];
    assert!(reach(&differences, 1) > reach(&differences, 4));
    // Standard deviation 0.0158, t of 4 degrees 2.776, times the root of 1 + 1/5.
    assert!((reach(&differences, 1) - 2.776 * 0.015_811 * 1.2f64.sqrt()).abs() < 1e-4);
}
