use super::*;

fn timer(number: u64) -> Deadline {
    Deadline::ControllerTimer(TimerToken(number))
}

/// Takes the timers that have expired at `now`. Returns their tokens in the order in which they were taken.
fn take_all(queue: &mut DeadlineQueue, now: Duration) -> Vec<u64> {
    std::iter::from_fn(|| queue.take_expired(now))
        .map(|deadline| match deadline {
            Deadline::ControllerTimer(token) => token.0,
            other => panic!("expected a controller timer, got {other:?}"),
        })
        .collect()
}

#[test]
fn deadlines_expire_by_time_and_then_in_the_order_in_which_they_were_set() {
    let mut queue = DeadlineQueue::default();
    let second = Duration::from_secs(1);
    queue.set(2 * second, 1, timer(1));
    queue.set(second, 2, timer(2));
    queue.set(2 * second, 3, timer(3));
    queue.set(3 * second, 4, timer(4));
    assert_eq!(queue.earliest(), Some(second));
    assert!(take_all(&mut queue, second / 2).is_empty());
    assert_eq!(take_all(&mut queue, 2 * second), [2, 1, 3]);
    assert_eq!(queue.earliest(), Some(3 * second));
}

#[test]
fn a_cancelled_deadline_does_not_expire() {
    let mut queue = DeadlineQueue::default();
    let second = Duration::from_secs(1);
    let cancelled = queue.set(second, 1, timer(1));
    queue.set(second, 2, timer(2));
    queue.cancel(cancelled);
    queue.cancel(cancelled);
    assert_eq!(take_all(&mut queue, second), [2]);
}
