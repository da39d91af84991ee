use super::*;

#[test]
fn lines_are_read_or_refused() {
    let keep = Duration::from_millis(4000);
    assert_eq!(
        read("incr 7 -2.5 4000"),
        Asked::Add {
            name: 7,
            add: -2.5,
            keep
        }
    );
    assert_eq!(read("ping"), Asked::Ping);
    for wrong in [
        "incr 7 2",
        "incr x 2 4000",
        "incr 7 2 0",
        "incr 7 2e9 10",
        "decr 7 1 10",
        "",
    ] {
        assert_eq!(read(wrong), Asked::Nothing, "{wrong}");
    }
}
