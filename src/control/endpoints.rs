//! The endpoint list from discovery, and the subset of it that this gateway uses.

use super::failure_rate::FailureRates;
use crate::port::{Endpoint, EndpointId, EndpointState, EndpointUpdate, UnixTime, UpdateTiming};
use crate::settings::{Rules, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartPermits;
use wellcrank_fleet::subset::{self, SubsetSizing};

/// How long a removed endpoint is remembered. If it is listed again within this time, with the same start time as
/// before, it has not restarted and keeps its age.
const REMEMBER_REMOVED_FOR: Duration = Duration::from_secs(600);

/// The longest time between the start of an endpoint and its appearance in the endpoint list.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// The weight of one attempt in the moving average of its endpoint's latency ratio.
const LATENCY_SMOOTHING: f64 = 0.1;

/// The shortest slow-start window, in seconds: the window is a divisor and may be zero in the settings.
const MIN_SLOW_START_WINDOW_SECONDS: f64 = 1e-9;

/// A listed endpoint and what this gateway has observed of it.
pub(super) struct EndpointRecord {
    /// The entry in the endpoint list.
    pub(super) entry: Endpoint,
    /// When the endpoint started, on the adapter's clock; `None` means long ago.
    pub(super) started_at: Option<Duration>,
    /// The number of this gateway's attempts in flight at the endpoint.
    pub(super) in_flight: u32,
    /// The moving average of its latency relative to the route's baseline and to other endpoints of its machine type.
    pub(super) latency_ratio: f64,
    /// The failure rates of this gateway's attempts at the endpoint, by route.
    pub(super) failures: FailureRates,
    /// This gateway's permits to send to the endpoint in slow start.
    pub(super) permits: SlowStartPermits,
}

impl EndpointRecord {
    /// Returns the share of its full capacity that the endpoint has now. It grows linearly with the endpoint's age,
    /// from the slow-start floor to 1.
    pub(super) fn slow_start_factor(&self, rules: &Rules, now: Duration) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let floor = rules.slow_start_floor;
        let window = rules
            .slow_start_window
            .as_secs_f64()
            .max(MIN_SLOW_START_WINDOW_SECONDS);
        let age = now.saturating_sub(started_at).as_secs_f64();
        (floor + (1.0 - floor) * age / window).min(1.0)
    }

    /// Records an attempt that took `ratio` times the latency expected for its route and the endpoint's machine type.
    pub(super) fn record_latency_ratio(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_SMOOTHING;
    }
}

/// When, and by which gateway, an update of the endpoint list was received.
#[derive(Clone, Copy)]
pub(super) struct UpdateReceipt {
    /// When it was received, on the adapter's clock.
    pub(super) now: Duration,
    /// The index of this gateway, from 0.
    pub(super) gateway_index: u32,
    /// The times from which the ages of the endpoints are computed.
    pub(super) timing: UpdateTiming,
}

/// What is remembered of a removed endpoint, in case it is listed again without having restarted.
struct RemovedEndpoint {
    /// The start time in its entry of the endpoint list.
    listed_start: Option<UnixTime>,
    /// The start time on the adapter's clock.
    started_at: Option<Duration>,
    removed_at: Duration,
}

/// The traffic that the subset must carry.
#[derive(Clone, Copy)]
pub(super) struct SubsetLoad {
    /// Attempts that this gateway sends per second.
    pub(super) attempt_rate: f64,
    /// This gateway's attempts in flight.
    pub(super) in_flight: f64,
    /// The adaptive limit on this gateway's attempts in flight at all endpoints.
    pub(super) adaptive_limit: f64,
    /// The upper bound of the limit on this gateway's attempts in flight at one endpoint.
    pub(super) max_in_flight_per_endpoint: f64,
}

/// The endpoint list, the ring on which the endpoints are ordered, and the subset that this gateway uses.
#[derive(Default)]
pub(super) struct EndpointTable {
    by_id: BTreeMap<EndpointId, EndpointRecord>,
    removed: BTreeMap<EndpointId, RemovedEndpoint>,
    /// All endpoints in the order of their ring positions.
    ring: Vec<EndpointId>,
    /// The endpoints that this gateway uses.
    subset: Vec<EndpointId>,
    /// The number of endpoints in the subset that are past their slow start.
    warmed_up_in_subset: f64,
}

impl EndpointTable {
    /// Returns an endpoint's record, or `None` if the endpoint is not listed.
    pub(super) fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.by_id.get(id)
    }

    /// Returns an endpoint's record, or `None` if the endpoint is not listed.
    pub(super) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointRecord> {
        self.by_id.get_mut(id)
    }

    /// Returns the number of listed endpoints.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns all endpoints in the order of their ring positions.
    pub(super) fn ring(&self) -> &[EndpointId] {
        &self.ring
    }

    /// Returns the endpoints that this gateway uses.
    pub(super) fn subset(&self) -> &[EndpointId] {
        &self.subset
    }

    /// Returns the number of endpoints in the subset that were past their slow start at the last refresh of the subset.
    pub(super) fn warmed_up_in_subset(&self) -> f64 {
        self.warmed_up_in_subset
    }

    /// Returns the average number of gateways that use one endpoint, given the number of all gateways and assuming that
    /// their subsets are as large as this one.
    pub(super) fn gateways_per_endpoint(&self, gateways: f64) -> f64 {
        gateways * self.subset.len() as f64 / self.ring.len().max(1) as f64
    }

    /// Applies an update from discovery. The subset does not change until [`EndpointTable::refresh_subset`] is called.
    pub(super) fn update(&mut self, receipt: UpdateReceipt, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Snapshot(entries) => {
                self.remove_unlisted(receipt.now, &entries);
                for entry in entries {
                    self.apply_entry(receipt, entry);
                }
                self.ring = self.by_id.keys().cloned().collect();
                self.ring
                    .sort_by_cached_key(|id| subset::ring_position(&id.0));
            }
            EndpointUpdate::Delta(entries) => {
                for entry in entries {
                    self.update_ring(&entry);
                    self.apply_entry(receipt, entry);
                }
            }
        }
    }

    /// Removes the endpoints that a complete list does not contain.
    fn remove_unlisted(&mut self, now: Duration, entries: &[Endpoint]) {
        let listed: BTreeSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
        let unlisted: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.remove(now, id);
        }
    }

    fn remove(&mut self, now: Duration, id: EndpointId) {
        let Some(record) = self.by_id.remove(&id) else {
            return;
        };
        let removed = RemovedEndpoint {
            listed_start: record.entry.started_at,
            started_at: record.started_at,
            removed_at: now,
        };
        self.removed.insert(id, removed);
    }

    /// Applies one entry of the list. An endpoint that has not restarted keeps its observed state.
    fn apply_entry(&mut self, receipt: UpdateReceipt, entry: Endpoint) {
        if entry.state == EndpointState::Removed {
            return self.remove(receipt.now, entry.id);
        }
        let id = entry.id.clone();
        let record = match self.by_id.remove(&id) {
            Some(known) if known.entry.started_at == entry.started_at => {
                EndpointRecord { entry, ..known }
            }
            known => {
                let in_flight = known.map_or(0, |record| record.in_flight);
                self.new_record(receipt, entry, in_flight)
            }
        };
        self.by_id.insert(id, record);
    }

    /// Creates the record of an endpoint that is new or has restarted. It has no observed state but `in_flight`, the
    /// attempts that were sent before the restart and have not ended.
    fn new_record(
        &mut self,
        receipt: UpdateReceipt,
        entry: Endpoint,
        in_flight: u32,
    ) -> EndpointRecord {
        let start_salt = entry.started_at.map_or(0, |at| at.0.as_millis() as u64);
        let salt = subset::ring_position(&entry.id.0) ^ start_salt;
        let returned = self
            .removed
            .remove(&entry.id)
            .filter(|removed| removed.listed_start == entry.started_at);
        let started_at = match returned {
            Some(removed) => removed.started_at,
            None => start_on_adapter_clock(receipt.now, receipt.timing, entry.started_at),
        };
        EndpointRecord {
            entry,
            started_at,
            in_flight,
            latency_ratio: 1.0,
            failures: FailureRates::default(),
            permits: SlowStartPermits::new(receipt.gateway_index, salt, receipt.now),
        }
    }

    /// Adds one endpoint to the ring or removes it, which avoids sorting thousands of endpoints again.
    fn update_ring(&mut self, entry: &Endpoint) {
        let was_listed = self.by_id.contains_key(&entry.id);
        let is_listed = entry.state != EndpointState::Removed;
        if was_listed == is_listed {
            return;
        }
        match self
            .ring
            .binary_search_by_key(&ring_key(&entry.id), ring_key)
        {
            Ok(index) => drop(self.ring.remove(index)),
            Err(index) => self.ring.insert(index, entry.id.clone()),
        }
    }

    /// Recomputes the subset: as many endpoints as the traffic needs and keeps connections open to, or all endpoints
    /// if there is no idle timeout. Trade-off: a failure of endpoints in the subset affects this gateway more; if none
    /// of the subset is eligible, the other endpoints are used.
    pub(super) fn refresh_subset(&mut self, now: Duration, settings: &Settings, load: SubsetLoad) {
        let idle_timeout = settings.limits.idle_timeout.as_secs_f64();
        let endpoints = self.ring.len();
        let limit_per_endpoint = load.adaptive_limit / self.subset.len().max(1) as f64;
        let needed = SubsetSizing {
            attempt_rate: load.attempt_rate,
            idle_timeout_seconds: idle_timeout,
            in_flight: load.in_flight,
            max_in_flight_per_endpoint: limit_per_endpoint.min(load.max_in_flight_per_endpoint),
        };
        let size = if idle_timeout > 0.0 {
            needed.size(endpoints)
        } else {
            endpoints
        };
        let gateways = settings.gateway_count() as u32;
        self.subset = subset::members(endpoints, settings.gateway_index, gateways, size)
            .map(|index| self.ring[index].clone())
            .collect();
        let warmed_up = self.subset.iter().filter(|id| {
            let record = &self.by_id[*id];
            record.slow_start_factor(&settings.rules, now) >= 1.0
        });
        self.warmed_up_in_subset = warmed_up.count() as f64;
    }

    /// Forgets the endpoints that were removed at least [`REMEMBER_REMOVED_FOR`] ago.
    pub(super) fn forget_removed(&mut self, now: Duration) {
        self.removed
            .retain(|_, removed| now < removed.removed_at + REMEMBER_REMOVED_FOR);
    }
}

/// Returns the sort key that orders the endpoints on the ring.
fn ring_key(id: &EndpointId) -> (u64, EndpointId) {
    (subset::ring_position(&id.0), id.clone())
}

/// Returns when an endpoint started, on the adapter's clock. The wall clock is used only once, to compute the
/// endpoint's age at this update. An endpoint that the previous update did not list is at most
/// [`MAX_NOTIFICATION_DELAY`] older than the time since that update, whatever the wall clock says. Trade-off: one that
/// is listed with a longer delay stays in slow start for longer.
fn start_on_adapter_clock(
    now: Duration,
    timing: UpdateTiming,
    started_at: Option<UnixTime>,
) -> Option<Duration> {
    let max_age = timing
        .since_last_update
        .map_or(Duration::MAX, |since| since + MAX_NOTIFICATION_DELAY);
    let age = timing.unix_now.0.saturating_sub(started_at?.0).min(max_age);
    Some(now.saturating_sub(age))
}

#[cfg(test)]
mod tests;
