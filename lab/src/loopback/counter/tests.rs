use super::*;

#[test]
fn commands_are_parsed_or_refused() {
    let ttl = Duration::from_millis(4000);
    assert_eq!(
        parse_command("incr 7 -2.5 4000"),
        CounterCommand::Add {
            name: 7,
            amount: -2.5,
            ttl
        }
    );
    assert_eq!(parse_command("ping"), CounterCommand::Ping);
    for wrong in [
        "incr 7 2",
        "incr x 2 4000",
        "incr 7 2 0",
        "incr 7 2e9 10",
        "decr 7 1 10",
        "",
    ] {
        assert_eq!(parse_command(wrong), CounterCommand::Invalid, "{wrong}");
    }
}
