use super::*;

#[test]
fn circuit_stays_open_for_a_time_that_depends_on_the_failure() {
    let now = Duration::from_secs(100);
    for (reply, seconds) in [(CounterReply::NotApplied, 3), (CounterReply::Unknown, 15)] {
        let open_for = Duration::from_secs(seconds);
        let just_before_end = now + open_for - Duration::from_nanos(1);
        let mut circuit = CircuitBreaker::new(true);
        assert!(!circuit.is_open(now));
        assert_eq!(circuit.trip(now, reply), Some(open_for));
        assert_eq!(circuit.trip(just_before_end, reply), None, "open already");
        assert!(circuit.is_open(just_before_end));
        assert!(!circuit.is_open(now + open_for));
    }
}

#[test]
fn circuit_without_a_counter_never_closes() {
    assert!(CircuitBreaker::new(false).is_open(Duration::from_secs(1_000_000_000)));
}
