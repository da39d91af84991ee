use super::*;

fn network(changes: &str) -> Network {
    let text = format!(
        "title = \"t\"\nseconds = 2.0\n[fleet]\nzones = 3\ngateways = 6\n[network]\nlost = 0.0\n{changes}"
    );
    Network::new(&Experiment::parse("test", &text).expect("an experiment"))
}

#[test]
fn a_cut_zone_hears_itself_and_no_other_until_the_cut_ends() {
    let mut network = network("");
    let until = Duration::from_secs(4);
    network.cut_zone(1, until);
    // Gateways 1 and 4 stand in zone 1.
    for (gateway, zone, cut) in [(1, 1, false), (4, 0, true), (0, 1, true), (0, 2, false)] {
        let now = Duration::from_secs(3);
        assert_eq!(network.is_cut(now, gateway, zone), cut, "{gateway} {zone}");
        assert!(!network.is_cut(until, gateway, zone));
    }
}

#[test]
fn a_gateway_receives_no_more_datagrams_than_its_rate() {
    let mut network = network("peer_rate = 5.0");
    let mut rng = WyRand::new_seed(1);
    let mut arrived_at = |now| {
        let sent = (0..20).filter_map(|_| network.send_datagram(now, 0, 1, true, &mut rng));
        sent.count()
    };
    assert_eq!(arrived_at(Duration::from_secs(1)), 5);
    assert_eq!(arrived_at(Duration::from_millis(1400)), 2);
}
