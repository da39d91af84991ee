use super::*;

#[test]
fn all_is_answered_before_the_platform_kills() {
    let facts = |spans: &[f64]| {
        let mut facts = Facts::default();
        for (place, span) in spans.iter().enumerate() {
            let name = format!("routes.r{place}.client_timeout");
            facts.0.insert(name, wellcrank::port::Fact::Number(*span));
        }
        facts
    };
    let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
    assert_eq!(GracefulShutdown::new(start, &facts(&[0.6, 0.4])).answers, start + ms(1100));
    assert_eq!(GracefulShutdown::new(start, &facts(&[0.6, 20.0])).answers, start + ms(3500));
}

#[test]
fn connections_are_ended_once_nobody_connects_any_more_and_before_the_last_answers() {
    for connect in [0.0, 0.05, 0.25, 1.5, 30.0] {
        for timeout in [0.0, 0.1, 0.6, 20.0] {
            let mut facts = Facts::default();
            facts.0.insert("limits.connect_timeout".into(), wellcrank::port::Fact::Number(connect));
            facts.0.insert("routes.r.client_timeout".into(), wellcrank::port::Fact::Number(timeout));
            let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
            let shutdown = GracefulShutdown::new(start, &facts);
            // Others connect for 0.4 s, and every time limit is 50 ms longer.
            assert!(shutdown.closes >= start + ms(450), "{connect} {timeout}");
            assert!(shutdown.closes < shutdown.answers, "{connect} {timeout}");
            let killed = start + Duration::from_secs_f64(timeout.min(3.0)) + ms(700);
            assert!(shutdown.answers + ms(200) <= killed, "{connect} {timeout}");
        }
    }
}
