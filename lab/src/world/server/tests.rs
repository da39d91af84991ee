use super::*;

fn server(queue: usize) -> Server {
    let overload_for = Duration::from_secs(1);
    let build = Build {
        cores: 1,
        speed: 2.0,
        queue,
        cold_from: 0.5,
        cold: 10.0,
        fall_multiple: 3.0,
        overload_for,
        mean_work: 0.1,
    };
    Server::new("s".into(), 0, 0, "k".into(), build)
}

fn task(of: u32, work: f64) -> Task {
    Task {
        of: AttemptId(of),
        work,
        told: true,
    }
}

#[test]
fn work_takes_its_time_and_waits_in_line() {
    let (mut server, now) = (server(1), Duration::from_secs(5));
    assert_eq!(
        server.take(now, task(1, 1.0)),
        Taken::Begun(now + Duration::from_millis(500))
    );
    assert_eq!(server.take(now, task(2, 1.0)), Taken::Waits);
    assert_eq!(server.take(now, task(3, 1.0)), Taken::TurnedAway);
    server.slow = 4.0;
    let later = now + Duration::from_millis(500);
    assert_eq!(
        server.over(later, AttemptId(1)),
        Some((AttemptId(2), later + Duration::from_secs(2)))
    );
}

#[test]
fn a_cold_server_falls_over_under_too_much_and_not_under_its_share() {
    let mut cold = server(100);
    cold.start(Duration::ZERO);
    // It does 1 a second of work at first; 3 times that within a second is too much.
    for of in 0..12 {
        cold.take(Duration::from_millis(of * 80), task(of as u32, 0.24));
    }
    assert_eq!(cold.health, Health::Up);
    for of in 12..30 {
        cold.take(
            Duration::from_millis(960 + (of - 12) * 10),
            task(of as u32, 0.24),
        );
    }
    assert_eq!(cold.health, Health::Fallen);
    assert!(cold.pushed_knowingly());
}
