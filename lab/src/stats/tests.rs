use super::*;

#[test]
fn intervals_are_those_of_the_books() {
    // Four values of mean 5 and standard deviation 2: 3.182 x 2 / 2.
    let off = 2.0 * (3.0f64 / 4.0).sqrt();
    let interval = Interval::of(&[5.0 - off, 5.0 + off, 5.0 - off, 5.0 + off]);
    assert!((interval.mean - 5.0).abs() < 1e-9);
    assert!(
        (interval.half_width.unwrap() - 3.182).abs() < 1e-3,
        "{interval}"
    );
    assert!(interval.holds(8.0) && !interval.holds(8.3));
    assert_eq!(Interval::of(&[1.0]).half_width, None);
}

#[test]
fn pairs_go_by_seed_and_late_runs_are_left_out() {
    let run = |variant: &str, seed, in_time| {
        let mut it = Results {
            variant: variant.into(),
            seed,
            engine: "simulated".into(),
            ..Results::default()
        };
        (it.totals.requested_value, it.totals.value_in_time) = (10.0, in_time);
        it
    };
    let mut results = vec![
        run("a", 1, 5.0),
        run("a", 2, 6.0),
        run("b", 2, 7.0),
        run("b", 1, 6.0),
    ];
    results.extend([run("a", 3, 9.0), run("b", 3, 1.0)]);
    results[5].lateness.excessive = true;
    let found = &compare(&results)[0];
    assert_eq!((found.late, found.rows[0].pairs), (1, 2));
    assert!(
        (found.rows[0].difference.mean - 0.1).abs() < 1e-12,
        "{:?}",
        found.rows[0]
    );
    assert!(found.rows[0].difference.half_width.unwrap() < 1e-9);
}
