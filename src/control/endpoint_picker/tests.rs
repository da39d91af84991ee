use super::super::endpoints::SubsetLoad;
use super::super::latency::BaselineLatencies;
use super::super::test_support::{endpoint, endpoint_table, open_request};
use super::*;
use crate::settings::{Route, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// Ready endpoints "0", "1" and so on, of which "1" was changed; all of them are in the subset.
fn table(count: u32, change: impl Fn(&mut EndpointRecord)) -> EndpointTable {
    let entries = (0..count).map(|number| endpoint(&number.to_string()));
    let mut table = endpoint_table(entries.collect());
    if let Some(record) = table.get_mut(&"1".into()) {
        change(record);
    }
    let load = SubsetLoad {
        attempt_rate: 0.0,
        in_flight: 0.0,
        concurrency_limit: 6.0,
        max_per_endpoint: 16.0,
    };
    table.refresh_subset(NOW, &Settings::default(), load);
    table
}

/// How often each endpoint is picked for 200 attempts, with a limit of six attempts in all.
fn picks(table: &EndpointTable, last: Option<&str>) -> BTreeMap<String, u32> {
    let open = open_request(Route::default());
    let guard = RepeatGuard::of(&open, Duration::ZERO);
    let last_endpoint = last.map(EndpointId::from);
    let picker = EndpointPicker {
        route: &open.request.route,
        guard: &guard,
        last: last_endpoint.as_ref(),
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
        concurrency_limit: 6.0,
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
fn endpoints_alike_share_the_attempts() {
    let counts = picks(&table(3, |_| ()), None);
    // A third of 200 each.
    assert_eq!(counts.len(), 3);
    assert!(
        counts.values().all(|count| (45..90).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn endpoint_that_is_ineligible_or_fails_or_was_the_last_is_not_picked_beside_others() {
    // The even part of the limit is two attempts.
    let full = table(3, |record| {
        record.in_flight = 2;
        record.entry.weight = 10.0;
    });
    let draining = table(3, |record| record.entry.state = EndpointState::Draining);
    let failing = table(3, |record| {
        (0..5).for_each(|_| record.failures.record(&"route".into(), NOW, 1.0));
    });
    let alike = table(3, |_| ());
    for (table, last) in [
        (full, None),
        (draining, None),
        (failing, None),
        (alike, Some("1")),
    ] {
        let counts = picks(&table, last);
        assert_eq!(counts.keys().collect::<Vec<_>>(), ["0", "2"]);
    }
    assert_eq!(picks(&table(1, |_| ()), Some("0"))["0"], 200, "no other");
}

#[test]
fn endpoint_of_twice_the_cost_is_picked_less() {
    // Costs are compared by chance while nothing is in flight, here one to two: a third of the attempts at most.
    let slow = table(2, |record| record.latency_ratio = 2.0);
    let small = table(2, |record| record.entry.weight = 0.5);
    for table in [slow, small] {
        let counts = picks(&table, None);
        assert!((30..80).contains(&counts["1"]), "{counts:?}");
    }
}
