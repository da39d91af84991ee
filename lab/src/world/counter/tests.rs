use super::*;

fn milliseconds(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn service(gateway_count: usize) -> CounterService {
    let config = CounterConfig {
        shards: 1,
        capacity: 10.0,
        latency_ms: 1.0,
        queue_capacity: 2,
        ..CounterConfig::default()
    };
    CounterService::new(&config, gateway_count)
}

fn call(service: &mut CounterService, gateway: usize, now: u64) -> (CounterCallId, CallOutcome) {
    service.on_call(milliseconds(now), gateway, 5, 2.0, milliseconds(1000))
}

fn finish(service: &mut CounterService, id: CounterCallId, now: u64) -> Option<CounterResponse> {
    service.finish_call(milliseconds(now), id)
}

#[test]
fn calls_are_queued_and_names_expire() {
    let mut service = service(1);
    let (first, first_outcome) = call(&mut service, 0, 0);
    let (second, second_outcome) = call(&mut service, 0, 0);
    let (_, third_outcome) = call(&mut service, 0, 0);
    assert_eq!(first_outcome, CallOutcome::DoneAt(milliseconds(101)));
    assert_eq!(second_outcome, CallOutcome::DoneAt(milliseconds(201)));
    let busy = CallOutcome::Immediate(CounterResponse::Busy);
    assert_eq!(third_outcome, busy);
    let total = |total| Some(CounterResponse::Total(total));
    assert_eq!(finish(&mut service, first, 101), total(2.0));
    assert_eq!(finish(&mut service, second, 201), total(4.0));
    let (expired, _) = call(&mut service, 0, 1100);
    let (cleared, _) = call(&mut service, 0, 1100);
    assert_eq!(finish(&mut service, expired, 1200), total(2.0));
    service.clear_primary();
    assert_eq!(finish(&mut service, cleared, 1201), total(2.0));
}

#[test]
fn a_silent_counter_answers_neither_new_nor_pending_calls() {
    let mut service = service(1);
    let (waiting, _) = call(&mut service, 0, 0);
    service.set_primary_mode(CounterMode::Silent);
    assert_eq!(service.finish_call(milliseconds(101), waiting), None);
    assert_eq!(call(&mut service, 0, 2000).1, CallOutcome::NoAnswer);
}

#[test]
fn the_secondary_counter_has_separate_counts() {
    let mut service = service(2);
    service.start_secondary();
    service.assign_secondary(1);
    for gateway in [0, 1] {
        let (id, _) = call(&mut service, gateway, 0);
        let response = service.finish_call(milliseconds(101), id);
        assert_eq!(response, Some(CounterResponse::Total(2.0)));
    }
    assert_eq!(service.assign_primary_to_all(), [1]);
    let (id, _) = call(&mut service, 1, 200);
    let response = service.finish_call(milliseconds(301), id);
    assert_eq!(response, Some(CounterResponse::Total(4.0)));
}
