use super::super::test_support::settings_of;
use super::*;
use crate::settings::Route;

/// The latencies of a route whose first attempt took 1 s, and that answered after these spans, in seconds.
fn latencies(answers: &[f64]) -> BaselineLatencies {
    let mut latencies = BaselineLatencies::default();
    latencies.get_or_assume(&"route".into(), Duration::from_secs(1));
    for answer in answers {
        latencies.record_answer(&"route".into(), Duration::from_secs_f64(*answer));
    }
    latencies
}

#[test]
fn baseline_begins_with_the_first_attempt_and_moves_in_small_steps() {
    for (answers, baseline) in [(&[][..], 1.0), (&[9.0], 1.01), (&[9.0, 0.1], 1.01 * 0.98)] {
        let actual = latencies(answers).seconds(&"route".into());
        assert_eq!(actual, Some(baseline), "{answers:?}");
    }
}

#[test]
fn baseline_settles_at_the_lower_third_of_the_answers() {
    // Answers of 1 to 99 hundredths in turn: a third of them take less than 0.33 s.
    let answers = (0..9900).map(|number| f64::from(number * 37 % 99 + 1) / 100.0);
    let baseline = latencies(&answers.collect::<Vec<f64>>()).seconds(&"route".into());
    assert!(
        (0.28..0.38).contains(&baseline.expect("known")),
        "{baseline:?}"
    );
}

#[test]
fn mean_counts_the_latency_target_as_an_answer_that_fades() {
    // Without an answer the target, or one second where there is none. Beside one answer it counts as 15/16 of another.
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
        let actual = latencies(answers).mean_with_targets(&settings_of(route));
        assert_eq!(actual, Some(mean), "{answers:?} {target}");
    }
}
