//! The endpoint list of the emulated discovery service: all changes in order, and which of them each gateway knows.

use super::server::ListingState;
use super::span::{seconds, TimedValue};
use super::world_event::WorldEvent;
use crate::event_queue::EventQueue;
use crate::events::ServerId;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// One change of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct EndpointChange {
    /// The server that has changed.
    pub(crate) server: ServerId,
    /// The server's state in the list after the change.
    pub(crate) state: ListingState,
    /// When the server's process last started; `None` means long before the run.
    pub(crate) started_at: Option<Duration>,
}

/// The changes that a gateway was notified of. Gateways are notified of the changes in order.
#[derive(Clone, Default)]
struct NotificationState {
    /// The latest time for which a notification has been scheduled. Later changes are not notified earlier.
    latest_due: Duration,
    /// The number of changes that the gateway knows.
    change_count: usize,
}

/// The result of a notification that is due.
pub(super) enum Notification {
    /// Discovery is silent. The notification is due again at this time.
    Postponed(Duration),
    /// The gateway was already notified, together with a later change.
    AlreadyKnown,
    /// The gateway has now been notified of this change and all earlier ones.
    Notified {
        /// The number of changes that the gateway knows now.
        change_count: usize,
    },
}

/// The endpoint list, its faults, and the changes that each gateway knows.
pub(super) struct EndpointList {
    changes: Vec<EndpointChange>,
    /// The changes that each gateway was notified of, by the gateway's index.
    gateways: Vec<NotificationState>,
    /// The largest random delay of a notification without a fault, in seconds.
    max_delay_seconds: f64,
    /// Discovery sends no notifications before this time.
    suspended_until: Duration,
    /// The additional delay of notifications because of a fault, in seconds.
    extra_delay: TimedValue,
}

impl EndpointList {
    /// Creates an empty list. `max_delay_seconds` is the largest delay of a notification without a fault.
    pub(super) fn new(gateway_count: usize, max_delay_seconds: f64) -> EndpointList {
        EndpointList {
            changes: Vec::new(),
            gateways: vec![NotificationState::default(); gateway_count],
            max_delay_seconds,
            suspended_until: Duration::ZERO,
            extra_delay: TimedValue::default(),
        }
    }

    /// Appends a change and returns its number, counted from 0. No notifications are scheduled yet.
    pub(super) fn append(&mut self, change: EndpointChange) -> usize {
        self.changes.push(change);
        self.changes.len() - 1
    }

    /// Marks all changes as known to all gateways.
    pub(super) fn mark_all_notified(&mut self) {
        for gateway in &mut self.gateways {
            gateway.change_count = self.changes.len();
        }
    }

    /// Schedules the notification of each gateway of a change, with an individual random delay.
    pub(super) fn schedule_notifications(
        &mut self,
        now: Duration,
        change: usize,
        rng: &mut WyRand,
        queue: &mut EventQueue<WorldEvent>,
    ) {
        let extra_seconds = self.extra_delay.at(now);
        for (gateway, known) in self.gateways.iter_mut().enumerate() {
            let delay = self.max_delay_seconds * rng.generate::<f64>() + extra_seconds;
            let due = (now + seconds(delay)).max(known.latest_due);
            known.latest_due = due;
            queue.schedule(due, WorldEvent::NotificationDue { gateway, change });
        }
    }

    /// Handles a notification that is due.
    pub(super) fn on_notification_due(
        &mut self,
        now: Duration,
        gateway: usize,
        change: usize,
    ) -> Notification {
        if now < self.suspended_until {
            return Notification::Postponed(self.suspended_until);
        }
        let known = &mut self.gateways[gateway];
        if known.change_count > change {
            return Notification::AlreadyKnown;
        }
        known.change_count = change + 1;
        Notification::Notified {
            change_count: known.change_count,
        }
    }

    /// Sends no notifications before `until`. Those that are due earlier are postponed.
    pub(super) fn suspend_until(&mut self, until: Duration) {
        self.suspended_until = until;
    }

    /// Delays the notifications of changes that are made before `until` by `extra_seconds`.
    pub(super) fn delay_until(&mut self, until: Duration, extra_seconds: f64) {
        self.extra_delay = TimedValue {
            until,
            value: extra_seconds,
        };
    }

    /// Returns the number of changes that a gateway was notified of.
    pub(super) fn notified_change_count(&self, gateway: usize) -> usize {
        self.gateways[gateway].change_count
    }

    /// Returns the changes with these numbers.
    pub(super) fn changes(&self, numbers: Range<usize>) -> &[EndpointChange] {
        &self.changes[numbers]
    }

    /// Returns the list after its first `change_count` changes: the latest change of each server that is not removed,
    /// in the order of the server ids.
    pub(super) fn list_after(&self, change_count: usize) -> Vec<EndpointChange> {
        let mut latest: BTreeMap<ServerId, &EndpointChange> = BTreeMap::new();
        for change in &self.changes[..change_count] {
            latest.insert(change.server, change);
        }
        latest
            .into_values()
            .filter(|change| change.state != ListingState::Removed)
            .cloned()
            .collect()
    }
}

#[cfg(test)]
mod tests;
