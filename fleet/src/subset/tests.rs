use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the endpoints in ascending order of their position on the ring.
fn ring(endpoints: &[String]) -> Vec<String> {
    let mut ring = endpoints.to_vec();
    ring.sort_by_key(|endpoint| ring_position(endpoint));
    ring
}

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("s-{:08x}", number * 2_654_435))
        .collect()
}

fn subset(ring: &[String], gateway: u32, gateways: u32, size: usize) -> BTreeSet<String> {
    members(ring.len(), gateway, gateways, size)
        .map(|index| ring[index].clone())
        .collect()
}

#[test]
fn endpoints_are_used_by_almost_equal_numbers_of_gateways() {
    for (endpoints, gateways, size) in [
        (200, 300, 12),
        (37, 300, 8),
        (200, 23, 20),
        (9, 2, 8),
        (1000, 1000, 8),
    ] {
        let ring = ring(&names(endpoints));
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for gateway in 0..gateways {
            for endpoint in subset(&ring, gateway, gateways, size) {
                *counts.entry(endpoint).or_default() += 1;
            }
        }
        let fewest = counts.values().min().expect("endpoints are used");
        let most = counts.values().max().expect("endpoints are used");
        let average = gateways as usize * size / endpoints;
        assert!(
            counts.len() == endpoints || gateways as usize * size < endpoints * 2,
            "{} of {endpoints} endpoints are used",
            counts.len()
        );
        assert!(
            *most <= average + size.min(2) + 1 && *fewest + 2 >= average.min(*fewest + 2),
            "fewest {fewest}, most {most}, average {average}"
        );
    }
}

#[test]
fn adding_or_removing_an_endpoint_changes_at_most_two_members_of_a_subset() {
    let all = names(200);
    let before = ring(&all);
    for removed in [0, 57, 199] {
        let mut others = all.clone();
        others.remove(removed);
        let after = ring(&others);
        for gateway in 0..300 {
            let subset_before = subset(&before, gateway, 300, 12);
            let subset_after = subset(&after, gateway, 300, 12);
            let changed = subset_before.difference(&subset_after).count();
            assert!(changed <= 2, "gateway {gateway}");
        }
    }
}

#[test]
fn subset_size_follows_the_load_and_the_idle_timeout() {
    for (attempt_rate, in_flight, endpoints, expected) in [
        (0.1, 0.0, 200, 8),
        (8.0, 2.0, 200, 24),
        (100.0, 2.0, 200, 200),
        // Many attempts in flight need more endpoints than the attempt rate keeps connections open to.
        (0.1, 60.0, 200, 30),
        (0.0, 0.0, 5, 5),
    ] {
        let sizing = SubsetSizing {
            attempt_rate,
            idle_timeout_seconds: 20.0,
            in_flight,
            max_in_flight_per_endpoint: 4.0,
        };
        assert_eq!(
            sizing.size(endpoints),
            expected,
            "{attempt_rate} {in_flight}"
        );
    }
}
