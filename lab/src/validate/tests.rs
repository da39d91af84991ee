use super::*;

#[test]
fn tolerance_is_larger_for_a_measurement_over_fewer_seeds() {
    let differences = [0.1, 0.12, 0.08, 0.11, 0.09];
    let on_one_seed = measurement_tolerance(&differences, 1);
    assert!(on_one_seed > measurement_tolerance(&differences, 4));
    // Standard deviation 0.0158; Student's t for 4 degrees of freedom is 2.776; variance factor 1 + 1/5.
    assert!((on_one_seed - 2.776 * 0.015_811 * 1.2f64.sqrt()).abs() < 1e-4);
}

#[test]
fn a_trial_of_an_earlier_version_is_read_by_its_old_field_names() {
    let stored = r#"{"experiment":"e","base":"a","other":"b","figure":"served","model":0.1,"off":0.02,
        "measured":0.11,"measured_seeds":3,"late":1}"#;
    let trial: Trial = serde_json::from_str(stored).expect("an old trial");
    assert_eq!((trial.tolerance, trial.late), (0.02, 1));
    assert!(trial.holds());
}
