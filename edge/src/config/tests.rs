use super::*;
use crate::discovery;
use crate::error_chain::ErrorChain;

#[test]
fn a_configuration_of_1024_peers_and_1024_known_endpoints_is_read() {
    let peers: Vec<String> = (0..1024)
        .map(|index| format!("\"10.2.{}.{}:7946\"", index / 256, index % 256))
        .collect();
    let text = format!(
        "{{\"name\": \"n0\", \"listen\": \"127.0.0.1:1\", \"discovery\": \"127.0.0.1:2\", \"seed\": \"7\",
          \"limits\": {{\"cores\": 0.1, \"memory_mb\": 1, \"sockets\": 64}}, \"peers\": [{}],
          \"known\": {}, \"settings\": {{\"balancers\": 1024}}}}",
        peers.join(",\n"),
        discovery::tests::indented_list(1024),
    );
    let (config, settings) = parse_config("n0.json", text.as_bytes()).expect("a configuration");
    let known = config.known_endpoints.expect("a list").parse();
    assert_eq!(
        (
            config.peers.len(),
            known.endpoints.len(),
            known.unreadable_entries.len()
        ),
        (1024, 1024, 0)
    );
    assert_eq!(settings.gateways, 1024);
}

#[test]
fn an_error_names_the_file_the_place_and_the_cause() {
    let cases = [
        (
            "{",
            "n0.json is not a valid configuration: EOF while parsing",
        ),
        (
            r#"{"name": "n0"}"#,
            "n0.json is not a valid configuration: missing field `listen` at line 1 column 14",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
                "settings": {"contracts": [{"refill": -1}]}}"#,
            "n0.json contains invalid settings: settings: contracts[0]",
        ),
    ];
    for (text, expected) in cases {
        let Err(error) = parse_config("n0.json", text.as_bytes()) else {
            panic!("accepted as a configuration: {text}");
        };
        let line = ErrorChain(&error).to_string();
        assert!(line.starts_with(expected), "{line}");
    }
}

#[test]
fn restart_only_fields_are_named_as_in_the_configuration_file() {
    let config =
        |text: &str| -> NodeConfig { serde_json::from_str(text).expect("a configuration") };
    let before = config(
        r#"{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7", "settings": {}}"#,
    );
    let after = config(
        r#"{"name": "n0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:3", "seed": "8", "settings": {},
            "limits": {"sockets": 64}, "peers_all": "127.0.0.1:4"}"#,
    );
    assert_eq!(
        before
            .restart_only()
            .differing_fields(&after.restart_only()),
        ["listen", "limits", "peers_all"]
    );
}
