use super::*;

const SLACK: Duration = Duration::from_millis(50);

/// Three routes with the indices [`IDEMPOTENT`], [`KEYED`] (deduplicated within a cell for two seconds) and
/// [`NON_IDEMPOTENT`], and one plan with a ceiling of 10 units per second and a burst of 10 units, to which the checker
/// adds the 4 units of the largest request.
const EXPERIMENT: &str = r#"
title = "rule checker"
seconds = 20.0
[fleet]
gateways = 2
drain_grace = 0.5
[load]
units_top = 4
spread = 1
[[routes]]
name = "idempotent"
repeat = "idempotent"
work_ms = 10.0
latency_target = 1.0
client_timeout = 3.0
[[routes]]
name = "keyed"
repeat = "tokened"
group = "cell"
memory = 2.0
work_ms = 10.0
latency_target = 1.0
client_timeout = 3.0
[[routes]]
name = "once"
repeat = "non-idempotent"
work_ms = 10.0
latency_target = 1.0
client_timeout = 3.0
[[plans]]
name = "plan"
rate = 5.0
burst = 10.0
ceiling_rate = 10.0
ceiling_burst = 10.0
"#;

const IDEMPOTENT: usize = 0;
const KEYED: usize = 1;
const NON_IDEMPOTENT: usize = 2;

fn milliseconds(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// Returns a checker that knows servers 0 and 1 in one cell, server 2 in another cell, and account 0.
fn checker() -> RuleChecker {
    let experiment = Experiment::parse("test", EXPERIMENT).expect("an experiment");
    let mut checker = RuleChecker::new(&experiment, SLACK);
    for (server, cell) in [(0, 0), (1, 0), (2, 1)] {
        checker.add_server(ServerId(server), cell, 0);
    }
    checker.add_account(0, 0);
    checker
}

/// Gateway 0 accepts a request of 4 units with a client timeout of 3 s; times are in milliseconds.
fn accept(checker: &mut RuleChecker, id: u32, route: usize, accepted_at: u64) -> ClientRequestId {
    let id = ClientRequestId(id);
    checker.on_request_accepted(AcceptedRequest {
        id,
        gateway: 0,
        route,
        account: 0,
        units: 4.0,
        accepted_at: milliseconds(accepted_at),
        deadline: milliseconds(accepted_at + 3000),
    });
    id
}

fn attempt(checker: &mut RuleChecker, id: ClientRequestId, number: u32, server: u32, now: u64) {
    let attempt = AttemptId(number);
    checker.on_attempt_arrival(milliseconds(now), attempt, id, 0, ServerId(server));
}

fn end(checker: &mut RuleChecker, id: ClientRequestId, number: u32, end: AttemptEnd, now: u64) {
    checker.on_attempt_end(milliseconds(now), AttemptId(number), id, end);
}

fn answer(checker: &mut RuleChecker, id: ClientRequestId, outcome: ClientOutcome, now: u64) {
    checker.on_final_answer(milliseconds(now), id, outcome);
}

fn broken_rules(checker: &mut RuleChecker) -> Vec<Rule> {
    let violations = checker.take_violations();
    violations.iter().map(|violation| violation.rule).collect()
}

const SERVED: ClientOutcome = ClientOutcome::Served { correct: true };

#[test]
fn a_request_needs_one_final_answer_in_time() {
    let wrong_value = ClientOutcome::Served { correct: false };
    let disconnected = ClientOutcome::Disconnected;
    // The answers with their times in milliseconds, and the number of violations.
    let cases: [(&[(ClientOutcome, u64)], usize); 7] = [
        (&[(SERVED, 2900)], 0),
        (&[(ClientOutcome::Failed, 3050)], 0),
        (&[], 1),
        (&[(SERVED, 3060)], 1),
        (&[(SERVED, 100), (SERVED, 200)], 1),
        (&[(wrong_value, 100)], 1),
        (&[(disconnected, 100)], 1),
    ];
    for (answers, expected) in cases {
        let mut checker = checker();
        let id = accept(&mut checker, 0, IDEMPOTENT, 0);
        for (outcome, now) in answers {
            answer(&mut checker, id, *outcome, *now);
        }
        let was_answered = !answers.is_empty();
        if !was_answered {
            checker.on_deadline(milliseconds(3050), id);
        }
        let expected_rules = vec![Rule::OneAnswer; expected];
        assert_eq!(broken_rules(&mut checker), expected_rules, "{answers:?}");
    }
}

#[test]
fn no_answer_is_needed_after_a_gateway_kill_or_a_client_disconnect() {
    let mut checker = checker();
    let accepted_by_killed = accept(&mut checker, 0, IDEMPOTENT, 0);
    let disconnected = accept(&mut checker, 1, IDEMPOTENT, 0);
    checker.on_client_disconnect(milliseconds(10), disconnected);
    checker.on_gateway_killed(0);
    for id in [accepted_by_killed, disconnected] {
        checker.on_deadline(milliseconds(3050), id);
    }
    assert_eq!(broken_rules(&mut checker), []);
}

#[test]
fn a_stopping_gateway_has_answered_all_requests_before_it_is_killed() {
    let mut checker = checker();
    accept(&mut checker, 0, IDEMPOTENT, 0);
    let answered = accept(&mut checker, 1, IDEMPOTENT, 0);
    answer(&mut checker, answered, SERVED, 100);
    checker.on_gateway_stopped(milliseconds(2000), 0);
    assert_eq!(broken_rules(&mut checker), [Rule::OneAnswer]);
}

#[test]
fn no_attempt_arrives_after_the_final_answer_or_the_client_disconnect() {
    for (attempt_at, expected) in [(140, 0), (260, 1)] {
        let mut checker = checker();
        let answered = accept(&mut checker, 0, IDEMPOTENT, 0);
        answer(&mut checker, answered, SERVED, 100);
        attempt(&mut checker, answered, 0, 0, attempt_at);
        let disconnected = accept(&mut checker, 1, IDEMPOTENT, 0);
        checker.on_client_disconnect(milliseconds(100), disconnected);
        attempt(&mut checker, disconnected, 1, 0, attempt_at);
        let expected_rules = vec![Rule::OneAnswer; 2 * expected];
        assert_eq!(broken_rules(&mut checker), expected_rules);
    }
}

#[test]
fn a_second_attempt_needs_an_idempotent_route_or_deduplication() {
    use AttemptEnd::{Abandoned, Answered, Rejected};
    // The route, how the first attempt at server 0 ended, the server and the arrival time (ms) of the second attempt,
    // and whether the second attempt is a violation.
    let cases = [
        (IDEMPOTENT, Abandoned, 2, 3500, false),
        (KEYED, Abandoned, 1, 1900, false),
        (KEYED, Abandoned, 1, 2100, true),
        (KEYED, Abandoned, 2, 200, true),
        (NON_IDEMPOTENT, Rejected, 1, 200, false),
        (NON_IDEMPOTENT, Abandoned, 1, 200, true),
        (NON_IDEMPOTENT, Answered, 1, 200, true),
    ];
    for (route, first_end, server, now, wrong) in cases {
        let mut checker = checker();
        let id = accept(&mut checker, 0, route, 0);
        attempt(&mut checker, id, 0, 0, 0);
        end(&mut checker, id, 0, first_end, 100);
        attempt(&mut checker, id, 1, server, now);
        let expected = vec![Rule::NoEffectTwice; usize::from(wrong)];
        assert_eq!(
            broken_rules(&mut checker),
            expected,
            "route {route}, {first_end:?}, server {server}, {now} ms"
        );
    }
}

#[test]
fn two_attempts_are_not_in_flight_for_longer_than_the_slack() {
    for (first_ends_at, expected) in [(140, 0), (160, 1)] {
        let mut checker = checker();
        let id = accept(&mut checker, 0, IDEMPOTENT, 0);
        attempt(&mut checker, id, 0, 0, 0);
        attempt(&mut checker, id, 1, 1, 100);
        end(&mut checker, id, 0, AttemptEnd::Abandoned, first_ends_at);
        checker.finish(milliseconds(5000));
        let expected_rules = vec![Rule::NoEffectTwice; expected];
        assert_eq!(broken_rules(&mut checker), expected_rules);
    }
}

#[test]
fn a_request_is_rejected_only_where_a_retry_is_safe() {
    // The route, how the attempt ended, and whether rejecting the request afterwards is a violation.
    let cases = [
        (IDEMPOTENT, AttemptEnd::Abandoned, false),
        (KEYED, AttemptEnd::Abandoned, true),
        (NON_IDEMPOTENT, AttemptEnd::Abandoned, true),
        (NON_IDEMPOTENT, AttemptEnd::Rejected, false),
    ];
    for (route, attempt_end, wrong) in cases {
        let mut checker = checker();
        let id = accept(&mut checker, 0, route, 0);
        attempt(&mut checker, id, 0, 0, 10);
        end(&mut checker, id, 0, attempt_end, 20);
        answer(&mut checker, id, ClientOutcome::Rejected, 30);
        let expected = vec![Rule::NoEffectTwice; usize::from(wrong)];
        assert_eq!(
            broken_rules(&mut checker),
            expected,
            "{route} {attempt_end:?}"
        );
    }
}

#[test]
fn a_gateway_sends_no_attempt_to_a_server_after_the_drain_grace() {
    // Whether the gateway was notified of the drain, whether it was restarted afterwards, when the attempt arrives
    // (ms), and whether the attempt is a violation.
    let cases = [
        (true, false, 1540, false),
        (true, false, 1560, true),
        (true, true, 1560, false),
        (false, false, 1560, false),
    ];
    for (notified, restarted, now, wrong) in cases {
        let mut checker = checker();
        if notified {
            checker.on_gateway_notified(milliseconds(1000), 0, ServerId(0), false);
        }
        if restarted {
            checker.on_gateway_started(0);
        }
        let id = accept(&mut checker, 0, IDEMPOTENT, now);
        attempt(&mut checker, id, 0, 0, now);
        let expected = vec![Rule::Drains; usize::from(wrong)];
        assert_eq!(broken_rules(&mut checker), expected, "{notified} {now}");
    }
}

#[test]
fn first_attempts_stay_within_the_ceiling_of_their_customer() {
    let mut checker = checker();
    // The bucket holds 14 units: three requests of 4 fit, a fourth does not.
    for number in 0..3 {
        let id = accept(&mut checker, number, IDEMPOTENT, 0);
        attempt(&mut checker, id, number, 0, 0);
    }
    assert_eq!(broken_rules(&mut checker), []);
    let fourth = accept(&mut checker, 3, IDEMPOTENT, 0);
    attempt(&mut checker, fourth, 3, 0, 0);
    assert_eq!(broken_rules(&mut checker), [Rule::Ceilings]);
    // 400 ms later the bucket holds 4 units again. The second attempt of a request takes no units.
    let fifth = accept(&mut checker, 4, IDEMPOTENT, 400);
    attempt(&mut checker, fifth, 4, 0, 400);
    end(&mut checker, fifth, 4, AttemptEnd::Rejected, 401);
    attempt(&mut checker, fifth, 5, 1, 402);
    assert_eq!(broken_rules(&mut checker), []);
}

#[test]
fn an_advertised_timeout_is_no_longer_than_the_client_waits() {
    for (timeout, expected) in [(2200, 0), (2201, 1)] {
        let mut checker = checker();
        let id = accept(&mut checker, 0, IDEMPOTENT, 0);
        checker.on_advertised_timeout(milliseconds(1000), id, 0, milliseconds(timeout));
        let expected_rules = vec![Rule::OneAnswer; expected];
        assert_eq!(broken_rules(&mut checker), expected_rules);
    }
}
