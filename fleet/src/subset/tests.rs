use super::*;
use std::collections::{BTreeMap, BTreeSet};

fn ring(servers: &[String]) -> Vec<String> {
    let mut ring = servers.to_vec();
    ring.sort_by_key(|server| ring_position(server));
    ring
}

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|at| format!("s-{:08x}", at * 2_654_435))
        .collect()
}

fn own(ring: &[String], gateway: u32, gateways: u32, width: usize) -> BTreeSet<String> {
    members(ring.len(), gateway, gateways, width)
        .map(|at| ring[at].clone())
        .collect()
}

#[test]
fn every_server_has_as_many_gateways_as_any_other() {
    for (servers, gateways, width) in [
        (200, 300, 12),
        (37, 300, 8),
        (200, 23, 20),
        (9, 2, 8),
        (1000, 1000, 8),
    ] {
        let ring = ring(&names(servers));
        let mut count: BTreeMap<String, usize> = BTreeMap::new();
        for gateway in 0..gateways {
            for server in own(&ring, gateway, gateways, width) {
                *count.entry(server).or_default() += 1;
            }
        }
        let (least, most) = (count.values().min().unwrap(), count.values().max().unwrap());
        let even = gateways as usize * width / servers;
        assert!(
            count.len() == servers || gateways as usize * width < servers * 2,
            "{}",
            count.len()
        );
        assert!(
            *most <= even + width.min(2) + 1 && *least + 2 >= even.min(*least + 2),
            "{least} {most} {even}"
        );
    }
}

#[test]
fn a_server_that_comes_or_goes_moves_few() {
    let all = names(200);
    let before = ring(&all);
    for gone in [0, 57, 199] {
        let mut left = all.clone();
        left.remove(gone);
        let after = ring(&left);
        for gateway in 0..300 {
            let (one, two) = (
                own(&before, gateway, 300, 12),
                own(&after, gateway, 300, 12),
            );
            assert!(one.difference(&two).count() <= 2, "gateway {gateway}");
        }
    }
}

#[test]
fn the_width_follows_what_keeps_connections_warm() {
    let width = |tries, open| {
        SubsetSize {
            attempt_rate: tries,
            idle_timeout: 20.0,
            in_flight: open,
            in_flight_each: 4.0,
        }
        .of(200)
    };
    assert_eq!(width(0.1, 0.0), 8);
    assert_eq!(width(8.0, 2.0), 24);
    assert_eq!(width(100.0, 2.0), 200);
    // Much is out at once: more servers, whatever the connections cost.
    assert_eq!(width(0.1, 60.0), 30);
    assert_eq!(
        SubsetSize {
            attempt_rate: 0.0,
            idle_timeout: 20.0,
            in_flight: 0.0,
            in_flight_each: 1.0
        }
        .of(5),
        5
    );
}
