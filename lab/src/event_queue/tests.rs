use super::*;

#[test]
fn events_are_popped_by_due_time_and_then_in_scheduling_order() {
    let at = Duration::from_secs;
    let mut queue = EventQueue::default();
    for (due, event) in [(2, 'c'), (1, 'a'), (2, 'd'), (1, 'b'), (3, 'e')] {
        queue.schedule(at(due), event);
    }
    assert_eq!(queue.next_due(), Some(at(1)));
    let due: Vec<_> = std::iter::from_fn(|| queue.pop_due(at(2))).collect();
    let expected = [(at(1), 'a'), (at(1), 'b'), (at(2), 'c'), (at(2), 'd')];
    assert_eq!(due, expected);
    assert_eq!(queue.next_due(), Some(at(3)));
}
