use super::*;
use crate::events::Rule;
use serde_json::Value;
use std::time::Duration;

/// A run with two rule violations as commit 73f2b76 stored it, before fields were renamed.
const OLD_RESULTS: &str = include_str!("results-of-73f2b76.jsonl");

/// Appends the numbers, texts and flags of a JSON value in their order, without the names of fields.
fn append_leaves(value: &Value, out: &mut Vec<Value>) {
    match value {
        Value::Object(fields) => fields.values().for_each(|field| append_leaves(field, out)),
        Value::Array(items) => items.iter().for_each(|item| append_leaves(item, out)),
        leaf => out.push(leaf.clone()),
    }
}

#[test]
fn results_of_an_earlier_version_are_read_by_their_old_field_names() {
    let results: Results = serde_json::from_str(OLD_RESULTS).expect("old results");
    let totals = &results.totals;
    assert_eq!(
        (totals.requests, totals.succeeded, totals.rejected),
        (257, 23, 232)
    );
    assert_eq!((totals.failed, totals.unreachable), (0, 2));
    assert_eq!(
        (totals.requested_value, totals.value_in_time),
        (584.0, 64.0)
    );
    assert_eq!(
        (totals.forwarded_units, totals.over_quota_units),
        (176.0, 0.0)
    );
    assert_eq!(
        (
            totals.rejected_within_quota,
            totals.rejected_with_half_quota
        ),
        (232, 224)
    );
    assert_eq!((totals.attempts, totals.new_connections), (65, 82));
    assert_eq!(results.by_second.len(), 3);
    assert_eq!(results.succeeded_ms.count, 23);
    assert_eq!(results.rejected_ms.count, 232);
    assert_eq!(results.server_load[0].server, "box-0000");
    assert_eq!(results.server_load[0].busy_share.len(), 3);
    assert_eq!(results.violation_count, 2);
    let violation = &results.violations[0];
    assert_eq!(violation.rule, Rule::NoEffectTwice);
    assert_eq!(
        (violation.at_seconds, violation.request),
        (1.0006, Some(18))
    );
    assert_eq!(
        violation.description,
        "sent again after a try at server 1 that may have run"
    );
    assert!(!results.lateness.excessive);
}

#[test]
fn results_of_an_earlier_version_keep_every_value_when_they_are_stored_again() {
    let results: Results = serde_json::from_str(OLD_RESULTS).expect("old results");
    let text = serde_json::to_string(&results).expect("results");
    assert_eq!(
        serde_json::from_str::<Results>(&text).expect("new results"),
        results
    );
    let mut before = Vec::new();
    let mut after = Vec::new();
    append_leaves(
        &serde_json::from_str(OLD_RESULTS).expect("JSON"),
        &mut before,
    );
    append_leaves(&serde_json::from_str(&text).expect("JSON"), &mut after);
    before.sort_by_key(Value::to_string);
    after.sort_by_key(Value::to_string);
    assert_eq!(before, after);
}

#[test]
fn one_very_late_event_makes_lateness_excessive() {
    let mut recorder = MetricsRecorder::new(Duration::ZERO, Duration::from_secs(1));
    recorder.record_lateness(Duration::from_millis(2));
    assert!(!recorder.results().lateness.excessive);
    recorder.record_lateness(Duration::from_millis(300));
    assert!(recorder.results().lateness.excessive);
}

#[test]
fn figures_are_found_by_their_old_and_new_names() {
    let results: Results = serde_json::from_str(OLD_RESULTS).expect("old results");
    let old_names = [
        "served",
        "net",
        "limited",
        "limited with room",
        "beyond quotas",
        "errored",
        "counter calls a try",
        "connections a try",
        "tries a proxied call",
        "proxied p50 ms",
        "proxied p99 ms",
        "first try p99 ms",
    ];
    let figures = results.figures();
    assert_eq!(figures.len(), old_names.len());
    for (figure, old_name) in figures.iter().zip(old_names) {
        assert_eq!(results.figure(old_name), Some(figure.value), "{old_name}");
        assert_eq!(results.figure(figure.name), Some(figure.value));
    }
    assert_eq!(results.figure("no such figure"), None);
}
