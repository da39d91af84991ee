use super::*;

#[test]
fn a_configuration_of_1024_peers_and_1024_known_servers_is_read() {
    let peers: Vec<String> = (0..1024)
        .map(|n| format!("\"10.2.{}.{}:7946\"", n / 256, n % 256))
        .collect();
    let text = format!(
        "{{\"name\": \"n0\", \"listen\": \"127.0.0.1:1\", \"discovery\": \"127.0.0.1:2\", \"seed\": \"7\",
          \"limits\": {{\"cores\": 0.1, \"memory_mb\": 1, \"sockets\": 64}}, \"peers\": [{}],
          \"known\": {}, \"settings\": {{\"balancers\": 1024}}}}",
        peers.join(",\n"),
        discovery::tests::indented(1024),
    );
    let told: Told = serde_json::from_str(&text).expect("a configuration");
    let known = told.known.expect("a list").parse();
    assert_eq!(
        (
            told.peers.len(),
            known.endpoints.len(),
            known.unreadable_entries.len()
        ),
        (1024, 1024, 0)
    );
}
