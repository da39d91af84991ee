use super::*;
use wellcrank::settings::Route;

#[test]
fn all_is_answered_before_the_platform_kills() {
    let settings = |spans: &[f64]| {
        let mut settings = Settings::default();
        for (place, span) in spans.iter().enumerate() {
            let client_timeout = Duration::from_secs_f64(*span);
            let route = Route {
                client_timeout,
                ..Route::default()
            };
            settings
                .routes
                .insert(format!("r{place}").as_str().into(), route);
        }
        settings
    };
    let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
    assert_eq!(
        GracefulShutdown::new(start, &settings(&[0.6, 0.4])).answer_by,
        start + ms(1060)
    );
    assert_eq!(
        GracefulShutdown::new(start, &settings(&[0.6, 20.0])).answer_by,
        start + ms(3460)
    );
}

#[test]
fn settings_that_come_later_shorten_the_time_and_never_lengthen_it() {
    let settings = |span: f64| {
        let mut settings = Settings::default();
        let client_timeout = Duration::from_secs_f64(span);
        settings.routes.insert(
            "r".into(),
            Route {
                client_timeout,
                ..Route::default()
            },
        );
        settings
    };
    let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
    let mut shutdown = GracefulShutdown::new(start, &settings(20.0));
    shutdown.shorten(&settings(0.5));
    assert_eq!(shutdown.answer_by, start + ms(960));
    shutdown.shorten(&settings(20.0));
    assert_eq!(shutdown.answer_by, start + ms(960));
}

#[test]
fn connections_are_ended_once_nobody_connects_any_more_and_before_the_last_answers() {
    for connect in [0.0, 0.05, 0.25, 1.5, 30.0] {
        for timeout in [0.0, 0.1, 0.6, 20.0] {
            let mut settings = Settings::default();
            settings.limits.connect_timeout = Duration::from_secs_f64(connect);
            let client_timeout = Duration::from_secs_f64(timeout);
            settings.routes.insert(
                "r".into(),
                Route {
                    client_timeout,
                    ..Route::default()
                },
            );
            let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
            let shutdown = GracefulShutdown::new(start, &settings);
            // Others connect for 0.4 s, and every time limit is 50 ms longer.
            assert!(
                shutdown.drain_from >= start + ms(450),
                "{connect} {timeout}"
            );
            assert!(
                shutdown.drain_from < shutdown.answer_by,
                "{connect} {timeout}"
            );
            let killed = start + Duration::from_secs_f64(timeout.min(3.0)) + ms(700);
            assert!(
                shutdown.answer_by + ms(240) <= killed,
                "{connect} {timeout}"
            );
        }
    }
}
