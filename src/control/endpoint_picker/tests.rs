use super::super::endpoints::SubsetLoad;
use super::super::latency::BaselineLatencies;
use super::super::test_support::{endpoint, endpoint_table, open_request};
use super::*;
use crate::settings::{Route, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// Returns a table of ready endpoints "0", "1" and so on, all in the subset, after `change` was applied to "1".
fn table(count: u32, change: impl Fn(&mut EndpointRecord)) -> EndpointTable {
    let entries = (0..count).map(|number| endpoint(&number.to_string()));
    let mut table = endpoint_table(entries.collect());
    if let Some(record) = table.get_mut(&"1".into()) {
        change(record);
    }
    let load = SubsetLoad {
        attempt_rate: 0.0,
        in_flight: 0.0,
        adaptive_limit: 6.0,
        max_in_flight_per_endpoint: 16.0,
    };
    table.refresh_subset(NOW, &Settings::default(), load);
    table
}

/// Returns how often each endpoint is picked for 200 attempts, with an adaptive limit of six attempts.
fn pick_counts(table: &EndpointTable, last_endpoint: Option<&str>) -> BTreeMap<String, u32> {
    let open = open_request(Route::default());
    let guard = RepeatGuard::of(&open, Duration::ZERO);
    let last_endpoint = last_endpoint.map(EndpointId::from);
    let picker = EndpointPicker {
        route: &open.request.route,
        guard: &guard,
        last_endpoint: last_endpoint.as_ref(),
        endpoints: table,
        slow_start: SlowStartView {
            settings: &Settings::default(),
            now: NOW,
            gateways_per_endpoint: 1.0,
            answers_per_endpoint: 0.0,
            latencies: &BaselineLatencies::default(),
        },
        route_failure_rate: 0.0,
        machine_types: &MachineTypeLatencies::default(),
        adaptive_limit: 6.0,
    };
    let mut rng = WyRand::new_seed(1);
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        if let Some(id) = picker.pick(&mut rng) {
            *counts.entry(id.0.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equal_endpoints_get_equal_shares_of_the_attempts() {
    let counts = pick_counts(&table(3, |_| ()), None);
    // Each gets about a third of the 200 attempts.
    assert_eq!(counts.len(), 3);
    assert!(
        counts.values().all(|count| (45..90).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn ineligible_failing_or_last_endpoint_is_not_picked_if_there_are_others() {
    // An equal share of the limit is two attempts.
    let full = table(3, |record| {
        record.in_flight = 2;
        record.entry.weight = 10.0;
    });
    let draining = table(3, |record| record.entry.state = EndpointState::Draining);
    let failing = table(3, |record| {
        (0..5).for_each(|_| record.failures.record(&"route".into(), NOW, 1.0));
    });
    let equal = table(3, |_| ());
    for (table, last) in [
        (full, None),
        (draining, None),
        (failing, None),
        (equal, Some("1")),
    ] {
        let counts = pick_counts(&table, last);
        assert_eq!(counts.keys().collect::<Vec<_>>(), ["0", "2"]);
    }
    assert_eq!(
        pick_counts(&table(1, |_| ()), Some("0"))["0"],
        200,
        "the only endpoint"
    );
}

#[test]
fn endpoint_with_twice_the_cost_is_picked_less_often() {
    // Nothing is in flight, so the endpoints are picked at random, inversely proportional to their costs: "1" gets
    // about a third of the 200 attempts.
    let slow = table(2, |record| record.latency_ratio = 2.0);
    let small = table(2, |record| record.entry.weight = 0.5);
    for table in [slow, small] {
        let counts = pick_counts(&table, None);
        assert!((30..80).contains(&counts["1"]), "{counts:?}");
    }
}
