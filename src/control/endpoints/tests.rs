use super::super::test_support::{endpoint, endpoint_table, receipt_at};
use super::*;

fn endpoint_started_at(id: &str, unix_seconds: u64) -> Endpoint {
    Endpoint {
        started_at: Some(UnixTime(Duration::from_secs(unix_seconds))),
        ..endpoint(id)
    }
}

fn ready(ids: &[&str]) -> Vec<Endpoint> {
    ids.iter().map(|id| endpoint(id)).collect()
}

/// Returns when "a" started, in seconds on the adapter's clock.
fn start_of_a(table: &EndpointTable) -> Option<f64> {
    let record = table.get(&"a".into()).expect("listed");
    record.started_at.map(|at| at.as_secs_f64())
}

#[test]
fn ring_after_deltas_equals_the_ring_after_a_snapshot() {
    let expected = endpoint_table(ready(&["a", "b", "c", "d", "e", "f"]));
    let mut table = endpoint_table(ready(&["a", "b", "x", "y"]));
    let without_y = EndpointUpdate::Snapshot(ready(&["x", "b", "a"]));
    table.update(receipt_at(2.0, None), without_y);
    let mut changes = ready(&["f", "c", "d", "e", "c"]);
    changes.extend(["x", "unknown"].map(|id| Endpoint::removed(id.into())));
    table.update(receipt_at(2.0, None), EndpointUpdate::Delta(changes));
    assert_eq!(table.ring(), expected.ring());
    assert_eq!(table.len(), 6);
}

#[test]
fn restarted_endpoint_keeps_only_its_attempts_in_flight() {
    for (start, latency_ratio) in [(900, 3.0), (1001, 1.0)] {
        let mut table = endpoint_table(vec![endpoint_started_at("a", 900)]);
        let before = table.get_mut(&"a".into()).expect("listed");
        before.in_flight = 2;
        before.latency_ratio = 3.0;
        let update = EndpointUpdate::Delta(vec![endpoint_started_at("a", start)]);
        table.update(receipt_at(2.0, None), update);
        let record = table.get(&"a".into()).expect("listed");
        assert_eq!(record.latency_ratio, latency_ratio, "{start}");
        assert_eq!(record.in_flight, 2, "{start}");
    }
}

#[test]
fn start_is_no_earlier_than_the_time_since_the_last_update_allows() {
    // The adapter's clock is at 500 s, the wall clock at 1500 s. An endpoint that was not listed 2 s ago is at most
    // 2 s + 6 s old.
    for (start, since_last_update, started_at) in [
        (1490, None, 490.0),
        (1490, Some(30), 490.0),
        (1490, Some(2), 492.0),
        (1600, None, 500.0),
    ] {
        let mut table = EndpointTable::default();
        let receipt = receipt_at(500.0, since_last_update.map(Duration::from_secs));
        let update = EndpointUpdate::Delta(vec![endpoint_started_at("a", start)]);
        table.update(receipt, update);
        assert_eq!(start_of_a(&table), Some(started_at), "{start}");
    }
    assert_eq!(start_of_a(&endpoint_table(ready(&["a"]))), None);
}

#[test]
fn removed_endpoint_that_returns_within_ten_minutes_keeps_its_start_time() {
    // The endpoint is removed at 2 s. If it is no longer remembered at 1000 s, it is taken to be at most 8 s old.
    for (forget_at, started_at) in [(601, 0.0), (602, 992.0)] {
        let mut table = endpoint_table(vec![endpoint_started_at("a", 991)]);
        table.update(receipt_at(2.0, None), EndpointUpdate::Snapshot(Vec::new()));
        table.forget_removed(Duration::from_secs(forget_at));
        let receipt = receipt_at(1000.0, Some(Duration::from_secs(2)));
        let update = EndpointUpdate::Delta(vec![endpoint_started_at("a", 991)]);
        table.update(receipt, update);
        assert_eq!(start_of_a(&table), Some(started_at), "{forget_at}");
    }
}

#[test]
fn slow_start_factor_grows_from_the_floor_to_one() {
    let rules = Rules {
        slow_start_floor: 0.25,
        slow_start_window: Duration::from_secs(10),
        ..Rules::default()
    };
    let mut table = endpoint_table(ready(&["a"]));
    let record = table.get_mut(&"a".into()).expect("listed");
    for (age, factor) in [(0, 0.25), (5, 0.625), (10, 1.0), (99, 1.0)] {
        record.started_at = Some(Duration::from_secs(100));
        let now = Duration::from_secs(100 + age);
        assert_eq!(record.slow_start_factor(&rules, now), factor, "{age}");
    }
    record.started_at = None;
    assert_eq!(record.slow_start_factor(&rules, Duration::ZERO), 1.0);
}
