use super::*;
use wellcrank::settings::Route;

const START: Duration = Duration::from_secs(9);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Settings with one route for each of the client timeouts, which are in seconds.
fn settings(client_timeouts: &[f64]) -> Settings {
    let mut settings = Settings::default();
    for (index, client_timeout) in client_timeouts.iter().enumerate() {
        let route = Route {
            client_timeout: Duration::from_secs_f64(*client_timeout),
            ..Route::default()
        };
        let name = format!("r{index}");
        settings.routes.insert(name.as_str().into(), route);
    }
    settings
}

#[test]
fn every_request_is_answered_before_the_platform_kills() {
    // The client timeouts in seconds, and when every request is answered, in milliseconds after the request to stop.
    let cases = [(&[0.6, 0.4], 1060), (&[0.6, 20.0], 3460)];
    for (client_timeouts, answer_by) in cases {
        let shutdown = GracefulShutdown::new(START, &settings(client_timeouts));
        assert_eq!(shutdown.answer_by, START + ms(answer_by));
    }
}

#[test]
fn new_settings_may_shorten_the_time_to_answer_but_not_lengthen_it() {
    let mut shutdown = GracefulShutdown::new(START, &settings(&[20.0]));
    shutdown.shorten(&settings(&[0.5]));
    assert_eq!(shutdown.answer_by, START + ms(960));
    shutdown.shorten(&settings(&[20.0]));
    assert_eq!(shutdown.answer_by, START + ms(960));
}

#[test]
fn draining_begins_after_the_last_clients_connect_and_before_the_last_answers() {
    for connect_timeout in [0.0, 0.05, 0.25, 1.5, 30.0] {
        for client_timeout in [0.0, 0.1, 0.6, 20.0] {
            let mut settings = settings(&[client_timeout]);
            settings.limits.connect_timeout = Duration::from_secs_f64(connect_timeout);
            let shutdown = GracefulShutdown::new(START, &settings);
            let case =
                format!("connect timeout {connect_timeout}, client timeout {client_timeout}");
            // Clients connect for up to 0.4 s, and every time limit may be exceeded by 50 ms.
            assert!(shutdown.drain_from >= START + ms(450), "{case}");
            assert!(shutdown.drain_from < shutdown.answer_by, "{case}");
            let killed_at = START + Duration::from_secs_f64(client_timeout.min(3.0)) + ms(700);
            assert!(shutdown.answer_by + ms(240) <= killed_at, "{case}");
        }
    }
}
