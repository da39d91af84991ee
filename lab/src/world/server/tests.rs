use super::*;

fn server(max_queue: usize) -> Server {
    Server::new(ServerSpec {
        name: "server".into(),
        zone: 0,
        cell: 0,
        machine_type: "machine type".into(),
        cores: 1,
        speed: 2.0,
        max_queue,
        initial_capacity_share: 0.5,
        warm_up_seconds: 10.0,
        overload_factor: 3.0,
        overload_window: Duration::from_secs(1),
        mean_work: 0.1,
    })
}

fn task(attempt: u32, work: f64) -> Task {
    Task {
        attempt: AttemptId(attempt),
        work,
        start_known: true,
    }
}

#[test]
fn tasks_are_executed_queued_and_rejected() {
    let mut server = server(1);
    let now = Duration::from_secs(5);
    let later = now + Duration::from_millis(500);
    assert_eq!(
        server.admit_task(now, task(1, 1.0)),
        Admission::Started(later)
    );
    assert_eq!(server.admit_task(now, task(2, 1.0)), Admission::Queued);
    assert_eq!(server.admit_task(now, task(3, 1.0)), Admission::Rejected);
    server.slowdown = 4.0;
    assert_eq!(
        server.finish_task(later, AttemptId(1)),
        Some(StartedTask {
            attempt: AttemptId(2),
            done_at: later + Duration::from_secs(2)
        })
    );
}

#[test]
fn a_warming_server_is_overloaded_only_above_the_threshold() {
    let mut server = server(100);
    server.start(Duration::ZERO);
    // The server starts with a capacity of 1 core second per second, and tolerates 3 times its capacity within a second
    // before the margin for random variation. Below, 3 and then 24 core seconds arrive per second.
    for number in 0..12 {
        let now = Duration::from_millis(number * 80);
        server.admit_task(now, task(number as u32, 0.24));
    }
    assert_eq!(server.health, Health::Up);
    for number in 12..30 {
        let now = Duration::from_millis(960 + (number - 12) * 10);
        server.admit_task(now, task(number as u32, 0.24));
    }
    assert_eq!(server.health, Health::Overloaded);
    assert!(server.was_overloaded_by_informed_gateways());
}

#[test]
fn a_start_is_known_after_the_first_change_that_lists_it() {
    let mut server = server(1);
    server.start(Duration::from_secs(3));
    server.record_listed_start(7);
    server.record_listed_start(9);
    assert!(!server.is_start_known(7));
    assert!(server.is_start_known(8));
    server.start(Duration::from_secs(5));
    assert!(!server.is_start_known(20));
}
