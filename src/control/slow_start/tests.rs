use super::super::test_support::{endpoint, endpoint_table, settings_with_route};
use super::*;
use crate::settings::Route;

/// Returns the budget of one of four gateways, in attempts per second, for an endpoint that started `age` seconds ago.
/// Warmed-up endpoints answer `answers` requests per second of each gateway. The latency target is 2 s.
fn budget(
    age: u64,
    answers: f64,
    overload_factor: f64,
    latencies: &BaselineLatencies,
) -> Option<f64> {
    let mut settings = settings_with_route(Route {
        latency_target: Duration::from_secs(2),
        ..Route::default()
    });
    settings.rules.slow_start_floor = 0.5;
    settings.rules.slow_start_window = Duration::from_secs(10);
    settings.rules.overload_factor = overload_factor;
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
fn budget_is_a_share_of_the_answer_rate_or_of_one_request_at_a_time() {
    let unknown = BaselineLatencies::default();
    let mut unanswered = BaselineLatencies::default();
    unanswered.get_or_insert(&"route".into(), Duration::from_secs(9));
    // The capacity is 3 answers per second for each of four gateways. Without answers it is one request per second
    // while no latency is known, and one per latency target while no attempt was answered. It is multiplied by the
    // slow-start factor, by the overload factor of 2 and by 0.4, the share that is used. This gateway gets a quarter.
    for (age, answers, latencies, capacity, slow_start_factor) in [
        (0, 3.0, &unknown, 12.0, 0.5),
        (5, 3.0, &unknown, 12.0, 0.75),
        (0, 0.0, &unknown, 1.0, 0.5),
        (0, 0.0, &unanswered, 0.5, 0.5),
    ] {
        let expected = capacity * slow_start_factor * 2.0 * 0.4 / 4.0;
        let actual = budget(age, answers, 2.0, latencies).expect("in slow start");
        assert!(
            (actual - expected).abs() < 1e-12,
            "{actual}, expected {expected}"
        );
    }
}

#[test]
fn there_is_no_budget_past_slow_start_or_without_an_overload_rule() {
    let latencies = BaselineLatencies::default();
    assert_eq!(budget(10, 3.0, 2.0, &latencies), None);
    assert_eq!(budget(0, 3.0, 0.0, &latencies), None);
}
