use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn terms(connect: u64, grace: u64, sharing: Option<f64>) -> Terms {
    Terms { connect: MS(connect), grace: MS(grace), within: MS(10_000), sharing }
}

#[test]
fn after_silence_the_return_is_heard_within_the_grace_at_any_number_of_failures() {
    for (connect, grace) in [(250, 500), (250, 250), (50, 2000), (1000, 500), (2000, 2000)] {
        for sharing in [None, Some(3.0), Some(1024.0)] {
            for draw in [0.0, 0.5, 0.999] {
                let mut recall = Recall::new(terms(connect, grace, sharing));
                for failure in 0..200 {
                    // A connection that is refused or reset at once, one that never came up, one that fell silent.
                    let ago = [MS(0), recall.coming_up(), recall.watch()][failure % 3];
                    let wait = recall.failed(Failure::Unheard, ago, draw);
                    assert!(wait <= recall.pace(), "{connect} {grace} {failure}: {wait:?}");
                    assert!(wait + recall.coming_up() <= MS(grace).max(MS(connect)) * 3 / 4);
                }
            }
        }
    }
}

#[test]
fn silence_does_not_make_calls_crowd_one_another() {
    let mut recall = Recall::new(terms(250, 500, Some(300.0)));
    for _ in 0..100 {
        assert!(recall.failed(Failure::Unheard, MS(0), 0.0) >= recall.pace() / 2);
    }
}

#[test]
fn a_shared_service_that_says_no_is_left_alone_for_longer_and_longer() {
    let mut recall = Recall::new(terms(250, 500, Some(100.0)));
    let waits: Vec<u64> =
        (0..5).map(|_| recall.failed(Failure::Refused, MS(0), 0.5).as_millis() as u64).collect();
    assert_eq!(waits, [2500, 5000, 10_000, 10_000, 10_000]);
    // Silence in between is no sign of room, nor does it make the next call wait.
    assert!(recall.failed(Failure::Unheard, MS(0), 0.5) < MS(125));
    assert_eq!(recall.failed(Failure::Refused, MS(0), 0.5), MS(10_000));
    recall.answered();
    assert_eq!(recall.failed(Failure::Refused, MS(0), 0.5), MS(2500));
}

#[test]
fn an_agent_of_ones_own_that_says_no_is_asked_again_soon() {
    let mut recall = Recall::new(terms(250, 500, None));
    assert!((0..50).all(|_| recall.failed(Failure::Refused, MS(0), 0.9) <= recall.pace()));
}

#[test]
fn a_silent_watch_is_given_up_within_two_seconds_after_its_wait() {
    let mut recall = Recall::new(terms(250, 500, None));
    for _ in 0..20 {
        assert!(recall.answer_time(false) <= MS(1000));
        assert!(recall.answer_time(true) <= MS(4000));
        recall.failed(Failure::Unheard, MS(0), 0.5);
    }
}
