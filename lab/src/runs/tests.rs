use super::*;

fn lateness(worst_ms: f64, excessive: bool) -> Lateness {
    Lateness {
        worst_ms,
        excessive,
        ..Lateness::default()
    }
}

#[test]
fn a_run_without_excessive_lateness_is_less_late_than_one_with_it() {
    let acceptable = lateness(90.0, false);
    let excessive = lateness(20.0, true);
    assert!(is_less_late(&acceptable, &excessive));
    assert!(!is_less_late(&excessive, &acceptable));
}

#[test]
fn of_two_runs_with_excessive_lateness_the_one_with_the_smaller_worst_is_less_late() {
    let late = lateness(20.0, true);
    let later = lateness(900.0, true);
    assert!(is_less_late(&late, &later));
    assert!(!is_less_late(&later, &late));
}
