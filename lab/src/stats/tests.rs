use super::*;

#[test]
fn interval_half_width_matches_the_table_of_students_t() {
    // Four values of mean 5 and standard deviation 2. The table gives 3.182 for three degrees of freedom, so the half
    // width is 3.182 x 2 / sqrt(4).
    let deviation = 2.0 * (3.0f64 / 4.0).sqrt();
    let interval = Interval::of(&[
        5.0 - deviation,
        5.0 + deviation,
        5.0 - deviation,
        5.0 + deviation,
    ]);
    assert!((interval.mean - 5.0).abs() < 1e-9);
    assert!(
        (interval.half_width.unwrap() - 3.182).abs() < 1e-3,
        "{interval}"
    );
    assert!(interval.contains(8.0) && !interval.contains(8.3));
    assert_eq!(Interval::of(&[1.0]).half_width, None);
}

fn run(variant: &str, seed: u64, value_in_time: f64) -> Results {
    let mut run = Results {
        variant: variant.into(),
        seed,
        engine: "simulated".into(),
        ..Results::default()
    };
    run.totals.requested_value = 10.0;
    run.totals.value_in_time = value_in_time;
    run
}

#[test]
fn runs_are_paired_by_seed_and_late_runs_are_left_out() {
    let mut late_run = run("changed", 3, 1.0);
    late_run.lateness.excessive = true;
    let results = [
        run("base", 1, 5.0),
        run("base", 2, 6.0),
        run("changed", 2, 7.0),
        run("changed", 1, 6.0),
        run("base", 3, 9.0),
        late_run,
    ];
    let comparison = &compare(&results)[0];
    let served = &comparison.rows[0];
    assert_eq!((comparison.late, served.pairs), (1, 2));
    assert!((served.difference.mean - 0.1).abs() < 1e-12, "{served:?}");
    assert!(served.difference.half_width.unwrap() < 1e-9);
}
