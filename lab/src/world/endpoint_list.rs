//! The endpoint list as discovery keeps it: its changes in order, and how far each gateway was notified of them.

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
    /// The server that it concerns.
    pub(crate) server: ServerId,
    /// What the list says of it from now on.
    pub(crate) state: ListingState,
    /// When the server's process started; none: long before the run.
    pub(crate) started_at: Option<Duration>,
}

/// How far a gateway was notified.
#[derive(Clone, Default)]
struct NotificationState {
    /// The latest time at which a change was or will be notified: changes come in order.
    latest_due: Duration,
    /// How many changes it knows.
    change_count: usize,
}

/// What becomes of a notification that is due.
pub(super) enum Notification {
    /// Discovery is silent: it is tried again then.
    Postponed(Duration),
    /// A later change took this one along.
    AlreadyKnown,
    /// The gateway knows so many changes from now on.
    Notified {
        /// How many changes.
        change_count: usize,
    },
}

/// The endpoint list, its faults, and what each gateway knows of it.
pub(super) struct EndpointList {
    changes: Vec<EndpointChange>,
    gateways: Vec<NotificationState>,
    /// A change reaches a gateway after between none and so many seconds.
    max_delay_seconds: f64,
    /// Discovery notifies nobody until then.
    silent_until: Duration,
    /// Seconds that notifications are later by, for a while.
    extra_delay: TimedValue,
}

impl EndpointList {
    /// An empty list that no gateway knows.
    pub(super) fn new(gateway_count: usize, max_delay_seconds: f64) -> EndpointList {
        EndpointList {
            changes: Vec::new(),
            gateways: vec![NotificationState::default(); gateway_count],
            max_delay_seconds,
            silent_until: Duration::ZERO,
            extra_delay: TimedValue::default(),
        }
    }

    /// Appends a change that nobody is notified of, and returns its number.
    pub(super) fn append(&mut self, change: EndpointChange) -> usize {
        self.changes.push(change);
        self.changes.len() - 1
    }

    /// Every gateway knows the list as it stands.
    pub(super) fn mark_all_notified(&mut self) {
        for gateway in &mut self.gateways {
            gateway.change_count = self.changes.len();
        }
    }

    /// Schedules the notifications of a change, to each gateway after a delay of its own.
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

    /// A notification is due.
    pub(super) fn on_notification_due(
        &mut self,
        now: Duration,
        gateway: usize,
        change: usize,
    ) -> Notification {
        if now < self.silent_until {
            return Notification::Postponed(self.silent_until);
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

    /// Discovery notifies nobody until then.
    pub(super) fn silence_until(&mut self, until: Duration) {
        self.silent_until = until;
    }

    /// Notifications are later by so many seconds until then.
    pub(super) fn delay_until(&mut self, until: Duration, extra_seconds: f64) {
        self.extra_delay = TimedValue {
            until,
            value: extra_seconds,
        };
    }

    /// How many of the changes a gateway was notified of.
    pub(super) fn notified_change_count(&self, gateway: usize) -> usize {
        self.gateways[gateway].change_count
    }

    /// Changes by their numbers.
    pub(super) fn changes(&self, numbers: Range<usize>) -> &[EndpointChange] {
        &self.changes[numbers]
    }

    /// The list after so many changes: the latest line of each server that is not removed, by server.
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
