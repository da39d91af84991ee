use super::*;

/// Returns a network of three zones without datagram loss. `settings` is added to the `[network]` section.
fn network(settings: &str) -> Network {
    let text = format!(
        "title = \"network\"\nseconds = 2.0\n[fleet]\nzones = 3\ngateways = 6\n[network]\nlost = 0.0\n{settings}"
    );
    Network::new(&Experiment::parse("test", &text).expect("an experiment"))
}

#[test]
fn a_partitioned_zone_reaches_only_itself_until_the_partition_ends() {
    let mut network = network("");
    let until = Duration::from_secs(4);
    network.partition_zone(1, until);
    // Gateways 1 and 4 are in zone 1. Each case: the gateway, the other zone, whether the partition separates them.
    for (gateway, zone, separated) in [(1, 1, false), (4, 0, true), (0, 1, true), (0, 2, false)] {
        let now = Duration::from_secs(3);
        assert_eq!(
            network.is_partitioned(now, gateway, zone),
            separated,
            "gateway {gateway}, zone {zone}"
        );
        assert!(!network.is_partitioned(until, gateway, zone));
    }
}

#[test]
fn a_gateway_receives_no_more_datagrams_than_its_rate() {
    let mut network = network("peer_rate = 5.0");
    let mut rng = WyRand::new_seed(1);
    let mut received_at = |now| {
        let sent = (0..20).filter_map(|_| network.send_datagram(now, 0, 1, true, &mut rng));
        sent.count()
    };
    assert_eq!(received_at(Duration::from_secs(1)), 5);
    assert_eq!(received_at(Duration::from_millis(1400)), 2);
}
