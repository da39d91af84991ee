use super::*;

fn deadline(request: &str) -> Timer {
    Timer::RequestDeadline(request.into())
}

#[test]
fn due_timers_are_ordered_by_time_then_by_the_order_of_setting() {
    let at = Duration::from_secs;
    let mut queue = TimerQueue::default();
    queue.schedule(at(3), deadline("late"));
    queue.schedule(at(2), deadline("first of two"));
    queue.schedule(at(2), deadline("second of two"));
    queue.schedule(at(1), Timer::Resubscribe);
    assert_eq!(queue.pop_due(at(0)), None);
    let due: Vec<Timer> = std::iter::from_fn(|| queue.pop_due(at(2))).collect();
    assert_eq!(
        due,
        [
            Timer::Resubscribe,
            deadline("first of two"),
            deadline("second of two")
        ]
    );
    assert_eq!(queue.pop_due(at(3)), Some(deadline("late")));
}
