use super::*;

const LENGTH: Duration = Duration::from_secs(3);

#[test]
fn intervals_follow_one_another_without_a_gap() {
    for at in [5.0, 6.4, 1_700_000_000.3].map(Duration::from_secs_f64) {
        let interval = interval_at(&"ann".into(), LENGTH, at);
        assert!(interval.starts_at <= at && at < interval.starts_at + LENGTH);
        let next = Interval {
            number: interval.number + 1,
            starts_at: interval.starts_at + LENGTH,
        };
        assert_eq!(interval_at(&"ann".into(), LENGTH, next.starts_at), next);
    }
    assert!(interval_at(&"ann".into(), LENGTH, Duration::ZERO).number >= FIRST_INTERVAL_NUMBER);
}

#[test]
fn names_and_phases_are_the_same_in_every_build() {
    // FNV-1a of the customer, the domain's byte and the eight bytes of the number in little-endian order, then
    // (hash ^ (hash >> 29)) >> 1. The phase is such a hash modulo the length. The values were computed by a separate
    // program.
    for (customer, leases, window, phase) in [
        ("ann", 0x43bba52d8fe44192, 0x30807ac2bfbad38d, 1675288886),
        ("bob", 0x48098bc711cdeb9e, 0x2ca499a0375f6e68, 752511919),
    ] {
        let id = CustomerId::from(customer);
        assert_eq!(lease_counter(&id, 7), CounterName(leases));
        assert_eq!(window_counter(&id, 7), CounterName(window));
        let second = interval_at(&id, LENGTH, LENGTH);
        assert_eq!(second.starts_at, LENGTH - Duration::from_nanos(phase));
    }
}
