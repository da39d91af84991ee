use super::*;

#[test]
fn calls_take_turns_and_names_end() {
    let ms = Duration::from_millis;
    let terms = Terms {
        parts: 1,
        bears: 10.0,
        latency: ms(1),
        queue: 2,
    };
    let mut counter = Counter::new(&terms);
    let call = Call {
        gateway: 0,
        counter: 0,
        name: 5,
        add: 2.0,
        keep: ms(1000),
    };
    assert_eq!(counter.take(ms(0), &call, &terms), Turn::At(ms(101)));
    assert_eq!(counter.take(ms(0), &call, &terms), Turn::At(ms(201)));
    assert_eq!(
        counter.take(ms(0), &call, &terms),
        Turn::Now(CounterResponse::Busy)
    );
    assert_eq!(counter.add(ms(101), &call), 2.0);
    assert_eq!(counter.add(ms(201), &call), 4.0);
    assert_eq!(counter.add(ms(1200), &call), 2.0);
    counter.mode = Mode::Silent;
    assert_eq!(counter.take(ms(2000), &call, &terms), Turn::Never);
    counter.empty();
    assert_eq!(counter.add(ms(1201), &call), 2.0);
}
