use super::*;
use crate::events::{Rule, RuleViolation};
use crate::metrics::SecondMetrics;

#[test]
fn a_page_has_title_description_and_broken_rules_with_text_escaped() {
    let mut run = Results {
        variant: "a<b".into(),
        engine: "simulated".into(),
        seed: 3,
        ..Results::default()
    };
    run.by_second = vec![
        SecondMetrics {
            requests: 5,
            requested_value: 4.0,
            value_in_time: 2.0,
            ..SecondMetrics::default()
        };
        4
    ];
    run.violations = vec![RuleViolation {
        rule: Rule::Drains,
        at_seconds: 2.5,
        request: Some(7),
        gateway: Some(1),
        description: "sent".into(),
    }];
    run.violation_count = 1;
    let page = page("Title", "About & more", &[run]).expect("a page");
    for expected in [
        "<h1>Title</h1>",
        "About &amp; more",
        "a&lt;b seed 3: Drains broken at 2.500 s",
        "<svg",
    ] {
        assert!(page.contains(expected), "{expected}");
    }
    assert!(!page.contains("a<b"));
}
