use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints in the order of their position on the ring.
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
fn every_endpoint_has_as_many_gateways_as_any_other() {
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
        let least = counts.values().min().expect("some");
        let most = counts.values().max().expect("some");
        let even = gateways as usize * size / endpoints;
        assert!(
            counts.len() == endpoints || gateways as usize * size < endpoints * 2,
            "{}",
            counts.len()
        );
        assert!(
            *most <= even + size.min(2) + 1 && *least + 2 >= even.min(*least + 2),
            "{least} {most} {even}"
        );
    }
}

#[test]
fn endpoint_that_comes_or_goes_changes_two_members_of_a_subset_at_most() {
    let all = names(200);
    let before = ring(&all);
    for gone in [0, 57, 199] {
        let mut others = all.clone();
        others.remove(gone);
        let after = ring(&others);
        for gateway in 0..300 {
            let subset_before = subset(&before, gateway, 300, 12);
            let subset_after = subset(&after, gateway, 300, 12);
            let left = subset_before.difference(&subset_after).count();
            assert!(left <= 2, "gateway {gateway}");
        }
    }
}

#[test]
fn subset_size_follows_the_load_and_the_idle_timeout() {
    for (attempt_rate, in_flight, endpoints, expected) in [
        (0.1, 0.0, 200, 8),
        (8.0, 2.0, 200, 24),
        (100.0, 2.0, 200, 200),
        // Much is out at once: more endpoints, whatever the connections cost.
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
