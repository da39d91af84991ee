use super::super::test_support::settings_with_route;
use super::*;
use crate::settings::Route;

/// Returns the latencies of a route whose first attempt took 1 s and whose answers took these times in seconds.
fn latencies(answers: &[f64]) -> BaselineLatencies {
    let mut latencies = BaselineLatencies::default();
    latencies.get_or_insert(&"route".into(), Duration::from_secs(1));
    for answer in answers {
        latencies.record_answer(&"route".into(), Duration::from_secs_f64(*answer));
    }
    latencies
}

#[test]
fn baseline_starts_with_the_first_attempt_and_moves_in_small_steps() {
    for (answers, baseline) in [(&[][..], 1.0), (&[9.0], 1.01), (&[9.0, 0.1], 1.01 * 0.98)] {
        let actual = latencies(answers).seconds(&"route".into());
        assert_eq!(actual, Some(baseline), "{answers:?}");
    }
}

#[test]
fn baseline_settles_where_a_third_of_the_answers_are_faster() {
    // The answers take 0.01 s to 0.99 s, evenly distributed: a third of them take less than 0.34 s.
    let answers = (0..9900).map(|number| f64::from(number * 37 % 99 + 1) / 100.0);
    let baseline = latencies(&answers.collect::<Vec<f64>>()).seconds(&"route".into());
    assert!(
        (0.28..0.38).contains(&baseline.expect("known")),
        "{baseline:?}"
    );
}

#[test]
fn mean_includes_the_latency_target_with_falling_weight() {
    // Without answers the mean is the target, or 1 s if there is no target. After one answer the target's weight is
    // 15/16.
    for (answers, target, mean) in [
        (&[][..], 4, 4.0),
        (&[], 0, 1.0),
        (&[0.5], 4, (0.5 + 4.0 * 0.9375) / 1.9375),
        (&[0.5; 16], 4, 0.5),
    ] {
        let route = Route {
            latency_target: Duration::from_secs(target),
            ..Route::default()
        };
        let actual = latencies(answers).mean_with_targets(&settings_with_route(route));
        assert_eq!(actual, Some(mean), "{answers:?} {target}");
    }
}
