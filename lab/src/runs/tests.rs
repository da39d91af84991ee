use super::*;

fn lateness(worst_ms: f64, excessive: bool) -> Lateness {
    Lateness {
        worst_ms,
        excessive,
        ..Lateness::default()
    }
}

#[test]
fn a_run_in_time_is_less_late_than_one_that_is_not() {
    let in_time = lateness(90.0, false);
    let late = lateness(20.0, true);
    assert!(is_less_late(&in_time, &late));
    assert!(!is_less_late(&late, &in_time));
}

#[test]
fn of_two_late_runs_the_one_whose_worst_moment_is_better_is_less_late() {
    let late = lateness(20.0, true);
    let later = lateness(900.0, true);
    assert!(is_less_late(&late, &later));
    assert!(!is_less_late(&later, &late));
}
