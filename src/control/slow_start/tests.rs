use super::super::test_support::{endpoint, endpoint_table, settings_of};
use super::*;
use crate::settings::Route;

/// The budget of one of four gateways, in attempts a second, for an endpoint that started so many seconds ago; others
/// were seen to answer `answers` a second to each gateway. The latency target is 2 s, the overload factor `factor`.
fn budget(age: u64, answers: f64, factor: f64, latencies: &BaselineLatencies) -> Option<f64> {
    let mut settings = settings_of(Route {
        latency_target: Duration::from_secs(2),
        ..Route::default()
    });
    settings.rules.slow_start_floor = 0.5;
    settings.rules.slow_start_window = Duration::from_secs(10);
    settings.rules.overload_factor = factor;
    settings.rules.overload_window = Duration::from_secs(1);
    let mut table = endpoint_table(vec![endpoint("a")]);
    let record = table.get_mut(&"a".into()).expect("listed");
    record.started_at = Some(Duration::from_secs(100));
    let view = SlowStartView {
        settings: &settings,
        now: Duration::from_secs(100 + age),
        gateways_per_endpoint: 4.0,
        answers_per_endpoint: answers,
        latencies,
    };
    view.budget(record).map(|budget| budget.rate)
}

#[test]
fn budget_is_a_share_of_what_warmed_up_endpoints_answer_or_of_one_request_after_another() {
    let unknown = BaselineLatencies::default();
    let mut unanswered = BaselineLatencies::default();
    unanswered.get_or_assume(&"route".into(), Duration::from_secs(9));
    // The capacity: 3 answers a second to each of four gateways; else one request a second while no latency is known, and
    // one in the latency target while none was answered. Of it the slow-start factor, the overload factor of 2 and the
    // part of 0.4 that is used; a quarter of that for this gateway.
    for (age, answers, latencies, capacity, factor) in [
        (0, 3.0, &unknown, 12.0, 0.5),
        (5, 3.0, &unknown, 12.0, 0.75),
        (0, 0.0, &unknown, 1.0, 0.5),
        (0, 0.0, &unanswered, 0.5, 0.5),
    ] {
        let expected = capacity * factor * 2.0 * 0.4 / 4.0;
        let actual = budget(age, answers, 2.0, latencies).expect("in slow start");
        assert!((actual - expected).abs() < 1e-12, "{actual} for {expected}");
    }
}

#[test]
fn warmed_up_endpoints_and_deployments_without_the_rule_have_no_budget() {
    let latencies = BaselineLatencies::default();
    assert_eq!(budget(10, 3.0, 2.0, &latencies), None);
    assert_eq!(budget(0, 3.0, 0.0, &latencies), None);
}
