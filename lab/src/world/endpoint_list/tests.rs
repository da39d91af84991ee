use super::*;

fn change(server: u32, state: ListingState) -> EndpointChange {
    EndpointChange {
        server: ServerId(server),
        state,
        started_at: None,
    }
}

#[test]
fn the_list_contains_the_latest_change_of_each_server_that_is_not_removed() {
    let mut list = EndpointList::new(1, 0.0);
    list.append(change(1, ListingState::Active));
    list.append(change(0, ListingState::Active));
    list.append(change(1, ListingState::Draining));
    list.append(change(0, ListingState::Removed));
    let servers = |count: usize| -> Vec<(u32, ListingState)> {
        let lines = list.list_after(count).into_iter();
        lines.map(|line| (line.server.0, line.state)).collect()
    };
    assert_eq!(
        servers(3),
        [(0, ListingState::Active), (1, ListingState::Draining)]
    );
    assert_eq!(servers(4), [(1, ListingState::Draining)]);
}

#[test]
fn notifications_are_postponed_while_discovery_is_silent_and_include_earlier_changes() {
    let mut list = EndpointList::new(1, 0.0);
    list.append(change(0, ListingState::Draining));
    list.append(change(0, ListingState::Removed));
    let until = Duration::from_secs(5);
    list.suspend_until(until);
    let early = list.on_notification_due(Duration::from_secs(1), 0, 0);
    assert!(matches!(early, Notification::Postponed(due) if due == until));
    let second = list.on_notification_due(until, 0, 1);
    assert!(matches!(second, Notification::Notified { change_count: 2 }));
    let first = list.on_notification_due(until, 0, 0);
    assert!(matches!(first, Notification::AlreadyKnown));
    assert_eq!(list.notified_change_count(0), 2);
}

#[test]
fn a_gateway_is_notified_of_changes_in_order() {
    let mut list = EndpointList::new(1, 0.0);
    let mut queue = EventQueue::default();
    let mut rng = WyRand::new_seed(1);
    list.delay_until(Duration::from_secs(2), 10.0);
    list.schedule_notifications(Duration::from_secs(1), 0, &mut rng, &mut queue);
    list.schedule_notifications(Duration::from_secs(3), 1, &mut rng, &mut queue);
    let late = Duration::from_secs(11);
    for expected in [0, 1] {
        let (due, event) = queue.pop_due(late).expect("a notification");
        assert_eq!(due, late);
        assert!(matches!(event, WorldEvent::NotificationDue { change, .. } if change == expected));
    }
}
