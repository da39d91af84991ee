use super::*;
use crate::events::{Rule, RuleViolation};
use crate::metrics::SecondMetrics;

#[test]
fn a_page_says_what_was_run_and_hides_no_broken_rule() {
    let mut one = Results {
        variant: "a<b".into(),
        engine: "simulated".into(),
        seed: 3,
        ..Results::default()
    };
    one.by_second = vec![
        SecondMetrics {
            requests: 5,
            requested_value: 4.0,
            value_in_time: 2.0,
            ..SecondMetrics::default()
        };
        4
    ];
    one.violations = vec![RuleViolation {
        rule: Rule::Drains,
        at_seconds: 2.5,
        request: Some(7),
        gateway: Some(1),
        description: "sent".into(),
    }];
    one.violation_count = 1;
    let page = page("Title", "About & more", &[one]).expect("a page");
    for wanted in [
        "<h1>Title</h1>",
        "About &amp; more",
        "a&lt;b seed 3: Drains broken at 2.500 s",
        "<svg",
    ] {
        assert!(page.contains(wanted), "{wanted}");
    }
    assert!(!page.contains("a<b"));
}
