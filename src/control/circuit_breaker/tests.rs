use super::*;

#[test]
fn open_time_depends_on_the_counter_reply() {
    let now = Duration::from_secs(100);
    for (reply, seconds) in [(CounterReply::NotApplied, 3), (CounterReply::Unknown, 15)] {
        let open_for = Duration::from_secs(seconds);
        let just_before_end = now + open_for - Duration::from_nanos(1);
        let mut circuit = CircuitBreaker::new(true);
        assert!(!circuit.is_open(now));
        assert_eq!(circuit.trip(now, reply), Some(open_for));
        assert_eq!(circuit.trip(just_before_end, reply), None, "already open");
        assert!(circuit.is_open(just_before_end));
        assert!(!circuit.is_open(now + open_for));
    }
}

#[test]
fn circuit_breaker_without_a_counter_never_closes() {
    assert!(CircuitBreaker::new(false).is_open(Duration::from_secs(1_000_000_000)));
}
