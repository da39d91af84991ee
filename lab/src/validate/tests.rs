use super::*;

#[test]
fn a_measurement_on_fewer_seeds_may_lie_further_off() {
    let differences = [0.1, 0.12, 0.08, 0.11, 0.09];
    let on_one_seed = measurement_tolerance(&differences, 1);
    assert!(on_one_seed > measurement_tolerance(&differences, 4));
    // Standard deviation 0.0158, t of 4 degrees 2.776, times the root of 1 + 1/5.
    assert!((on_one_seed - 2.776 * 0.015_811 * 1.2f64.sqrt()).abs() < 1e-4);
}

#[test]
fn a_trial_of_the_version_before_is_read_under_its_old_names() {
    let stored = r#"{"experiment":"e","base":"a","other":"b","figure":"served","model":0.1,"off":0.02,
        "measured":0.11,"measured_seeds":3,"late":1}"#;
    let trial: Trial = serde_json::from_str(stored).expect("an old trial");
    assert_eq!((trial.tolerance, trial.late), (0.02, 1));
    assert!(trial.holds());
}
