//! The endpoints that discovery names, and the subset of them that this gateway uses.

use super::failure_rate::FailureRates;
use crate::port::{Endpoint, EndpointId, EndpointState, EndpointUpdate, UnixTime, UpdateTiming};
use crate::settings::{Rules, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartPermits;
use wellcrank_fleet::subset::{self, SubsetSizing};

/// A removed endpoint that is listed again within this time may not have started anew.
const REMEMBER_REMOVED_FOR: Duration = Duration::from_secs(600);

/// Discovery lists an endpoint so long after its start at the latest.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// What an attempt moves the latency ratio of its endpoint by.
const LATENCY_SMOOTHING: f64 = 0.1;

/// The least slow-start window, in seconds, whatever the settings say.
const MIN_SLOW_START_WINDOW: f64 = 1e-9;

/// An endpoint of the list, and what this gateway knows of it.
pub(super) struct EndpointRecord {
    /// What discovery says of it.
    pub(super) entry: Endpoint,
    /// When it started, by the adapter's clock; none: long ago.
    pub(super) started_at: Option<Duration>,
    /// Attempts of this gateway in flight at it.
    pub(super) in_flight: u32,
    /// Latency against the route's baseline and that of its machine type, as a moving mean.
    pub(super) latency_ratio: f64,
    /// The share of attempts that fail at it.
    pub(super) failures: FailureRates,
    /// This gateway's part of what it may be sent in slow start.
    pub(super) permits: SlowStartPermits,
}

impl EndpointRecord {
    /// How much of its full capacity the endpoint has by now, by its age: from the stated floor to 1.
    pub(super) fn slow_start_factor(&self, rules: &Rules, now: Duration) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let floor = rules.slow_start_floor;
        let window = rules
            .slow_start_window
            .as_secs_f64()
            .max(MIN_SLOW_START_WINDOW);
        let age = now.saturating_sub(started_at).as_secs_f64();
        (floor + (1.0 - floor) * age / window).min(1.0)
    }

    /// An attempt took `ratio` times what its route and this endpoint's machine type take.
    pub(super) fn record_latency_ratio(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_SMOOTHING;
    }
}

/// When and by which gateway an update of the endpoint list was received.
#[derive(Clone, Copy)]
pub(super) struct UpdateReceipt {
    /// When, by the adapter's clock.
    pub(super) now: Duration,
    /// This gateway's number.
    pub(super) gateway_index: u32,
    /// By what the ages of the endpoints are reckoned.
    pub(super) timing: UpdateTiming,
}

/// What is kept of an endpoint that is no longer listed: it may be listed again without having started anew.
struct RemovedEndpoint {
    entry_started_at: Option<UnixTime>,
    started_at: Option<Duration>,
    removed_at: Duration,
}

/// How much is asked of the subset.
#[derive(Clone, Copy)]
pub(super) struct SubsetLoad {
    /// Attempts a second that this gateway sends.
    pub(super) attempt_rate: f64,
    /// Attempts in flight.
    pub(super) in_flight: f64,
    /// Attempts that may be in flight in all.
    pub(super) concurrency_limit: f64,
    /// Attempts that may be in flight at one endpoint at the most.
    pub(super) max_per_endpoint: f64,
}

/// The endpoint list, with the ring on which endpoints stand and the subset that this gateway uses.
#[derive(Default)]
pub(super) struct EndpointTable {
    by_id: BTreeMap<EndpointId, EndpointRecord>,
    removed: BTreeMap<EndpointId, RemovedEndpoint>,
    /// All endpoints in the order of their position on the ring.
    ring: Vec<EndpointId>,
    /// The part of them that this gateway uses.
    subset: Vec<EndpointId>,
    /// How many of the subset are past their slow start.
    warmed_up_in_subset: f64,
}

impl EndpointTable {
    /// An endpoint, if it is listed.
    pub(super) fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.by_id.get(id)
    }

    /// An endpoint, if it is listed.
    pub(super) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointRecord> {
        self.by_id.get_mut(id)
    }

    /// How many endpoints are listed.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All endpoints in the order of their position on the ring.
    pub(super) fn ring(&self) -> &[EndpointId] {
        &self.ring
    }

    /// The endpoints that this gateway uses.
    pub(super) fn subset(&self) -> &[EndpointId] {
        &self.subset
    }

    /// How many of the subset were past their slow start when it was last looked through.
    pub(super) fn warmed_up_in_subset(&self) -> f64 {
        self.warmed_up_in_subset
    }

    /// How many gateways use one endpoint, as all subsets are alike.
    pub(super) fn gateways_per_endpoint(&self, gateways: f64) -> f64 {
        gateways * self.subset.len() as f64 / self.ring.len().max(1) as f64
    }

    /// News from discovery. The subset is as before until [`EndpointTable::refresh_subset`].
    pub(super) fn update(&mut self, receipt: UpdateReceipt, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Snapshot(entries) => {
                self.remove_unlisted(receipt.now, &entries);
                for entry in entries {
                    self.apply(receipt, entry);
                }
                self.ring = self.by_id.keys().cloned().collect();
                self.ring
                    .sort_by_cached_key(|id| subset::ring_position(&id.0));
            }
            EndpointUpdate::Delta(entries) => {
                for entry in entries {
                    self.update_ring(&entry);
                    self.apply(receipt, entry);
                }
            }
        }
    }

    /// What a whole list leaves out is gone.
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
            entry_started_at: record.entry.started_at,
            started_at: record.started_at,
            removed_at: now,
        };
        self.removed.insert(id, removed);
    }

    /// Follows one entry of the list. An endpoint that has not started anew keeps what is known of it.
    fn apply(&mut self, receipt: UpdateReceipt, entry: Endpoint) {
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

    /// An endpoint of which nothing is known yet but the attempts in flight from before it started anew.
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
            .filter(|removed| removed.entry_started_at == entry.started_at);
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

    /// A change of one endpoint on the ring: thousands are not sorted anew for it.
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

    /// Chooses the subset anew: all endpoints that this gateway can keep connections to open and learn of, or a part.
    /// Trade-off: a gateway suffers more from what happens to endpoints of its subset; the others are then used too.
    pub(super) fn refresh_subset(&mut self, now: Duration, settings: &Settings, load: SubsetLoad) {
        let idle_timeout = settings.limits.idle_timeout.as_secs_f64();
        let endpoints = self.ring.len();
        let limit_each = load.concurrency_limit / self.subset.len().max(1) as f64;
        let needed = SubsetSizing {
            attempt_rate: load.attempt_rate,
            idle_timeout_seconds: idle_timeout,
            in_flight: load.in_flight,
            max_in_flight_per_endpoint: limit_each.min(load.max_per_endpoint),
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

    /// Forgets removed endpoints that will have started anew by now.
    pub(super) fn forget_removed(&mut self, now: Duration) {
        self.removed
            .retain(|_, removed| now < removed.removed_at + REMEMBER_REMOVED_FOR);
    }
}

/// The order of endpoints on the ring.
fn ring_key(id: &EndpointId) -> (u64, EndpointId) {
    (subset::ring_position(&id.0), id.clone())
}

/// When an endpoint started, by the adapter's clock. Its age is asked of the wall clock once; from then on it is a span.
/// An endpoint that the last update did not list is no older than the time since then and [`MAX_NOTIFICATION_DELAY`],
/// whatever the wall clock says. Trade-off: one that is listed later still is in slow start for longer.
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
