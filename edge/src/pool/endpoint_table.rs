//! The endpoints that discovery has listed: their addresses, whether they may get further attempts, and the idle
//! connections to each.

use crate::discovery::{ListedEndpoint, ParsedUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wellcrank::port::{Endpoint, EndpointId, EndpointState, UnixTime};

/// An endpoint whose address is known.
pub(super) struct KnownEndpoint {
    pub(super) address: SocketAddr,
    started_at: Option<UnixTime>,
    /// Incremented when the endpoint's start time or address changes. A connection belongs to one incarnation.
    pub(super) incarnation: u32,
    /// Whether the endpoint may get further attempts.
    ready: bool,
    /// The keys of its idle connections, the most recently used last.
    pub(super) idle: Vec<usize>,
}

/// An endpoint at an address, according to an update or to what was known before.
struct Occupant<'a> {
    id: &'a EndpointId,
    address: SocketAddr,
    is_ready: bool,
    started_at: Option<UnixTime>,
}

/// Returns the ids of those that share their address with one that counts before them. Of two that are alike, the later
/// one counts.
fn superseded<'a>(occupants: impl Iterator<Item = Occupant<'a>>) -> BTreeSet<EndpointId> {
    let mut by_address: BTreeMap<SocketAddr, Occupant> = BTreeMap::new();
    let mut superseded = BTreeSet::new();
    for occupant in occupants {
        let Some(other) = by_address.remove(&occupant.address) else {
            by_address.insert(occupant.address, occupant);
            continue;
        };
        let rank = |ranked: &Occupant| (ranked.is_ready, ranked.started_at);
        let (first, second) = if rank(&other) > rank(&occupant) {
            (other, occupant)
        } else {
            (occupant, other)
        };
        if first.id != second.id {
            superseded.insert(second.id.clone());
        }
        by_address.insert(first.address, first);
    }
    superseded
}

/// All known endpoints. A removed endpoint stays in the table as long as connections to it are open.
#[derive(Default)]
pub(super) struct EndpointTable {
    known: BTreeMap<EndpointId, KnownEndpoint>,
    /// The known endpoints that get no further attempts: draining or removed.
    unready: BTreeSet<EndpointId>,
    /// The ready endpoint at each address.
    ready_by_address: BTreeMap<SocketAddr, EndpointId>,
}

impl EndpointTable {
    /// Resolves the unreadable parts of an update. A listed endpoint without a readable address keeps the address that
    /// is known, and is dropped from the update if none is known. Endpoints whose entries in a snapshot are unreadable
    /// keep their state; for that, the snapshot is turned into a delta that removes the known endpoints which it does
    /// not list.
    pub(super) fn complete_update(&self, update: &mut ParsedUpdate) {
        update.endpoints.retain(|listed| {
            listed.address.is_some() || self.known.contains_key(&listed.endpoint.id)
        });
        self.complete_snapshot(update);
        self.remove_superseded(update);
    }

    /// Turns a snapshot with unreadable entries into a delta.
    fn complete_snapshot(&self, update: &mut ParsedUpdate) {
        if !update.is_snapshot || update.unreadable_endpoints.is_empty() {
            return;
        }
        let listed_ids: BTreeSet<&EndpointId> = update
            .endpoints
            .iter()
            .map(|listed| &listed.endpoint.id)
            .chain(&update.unreadable_endpoints)
            .collect();
        let missing: Vec<EndpointId> = self
            .known
            .keys()
            .filter(|id| !listed_ids.contains(id))
            .cloned()
            .collect();
        update.is_snapshot = false;
        update
            .endpoints
            .extend(missing.into_iter().map(|id| ListedEndpoint {
                endpoint: Endpoint::removed(id),
                address: None,
            }));
    }

    /// Removes the endpoints whose address belongs to another one after the update: a process that has gone is replaced by a
    /// new one at its address, perhaps before discovery reports the end of the old one. Of several endpoints at one address
    /// the one that started last counts, and one that is ready before one that drains.
    fn remove_superseded(&self, update: &mut ParsedUpdate) {
        let listed_ids: BTreeSet<&EndpointId> = update
            .endpoints
            .iter()
            .map(|listed| &listed.endpoint.id)
            .collect();
        let listed: Vec<Occupant> = update
            .endpoints
            .iter()
            .filter_map(|listed| self.listed_occupant(listed))
            .collect();
        // The endpoints that a snapshot does not list are removed anyway. Of the others only those at a listed address
        // matter, since there may be thousands.
        let unlisted: Vec<Occupant> = listed
            .iter()
            .filter(|_| !update.is_snapshot)
            .filter_map(|occupant| self.ready_by_address.get_key_value(&occupant.address))
            .filter(|(_, id)| !listed_ids.contains(id))
            .filter_map(|(address, id)| {
                let known = self.known.get(id)?;
                Some(Occupant {
                    id,
                    address: *address,
                    is_ready: true,
                    started_at: known.started_at,
                })
            })
            .collect();
        let superseded = superseded(unlisted.into_iter().chain(listed));
        if superseded.is_empty() {
            return;
        }
        update
            .endpoints
            .retain(|entry| !superseded.contains(&entry.endpoint.id));
        if !update.is_snapshot {
            let removed = superseded.into_iter().map(|id| ListedEndpoint {
                endpoint: Endpoint::removed(id),
                address: None,
            });
            update.endpoints.extend(removed);
        }
    }

    /// Where a listed endpoint is, unless it is removed or its address is not known.
    fn listed_occupant<'a>(&self, listed: &'a ListedEndpoint) -> Option<Occupant<'a>> {
        let Endpoint {
            id,
            state,
            started_at,
            ..
        } = &listed.endpoint;
        let known_address = self.known.get(id).map(|known| known.address);
        (*state != EndpointState::Removed).then_some(Occupant {
            id,
            address: listed.address.or(known_address)?,
            is_ready: *state == EndpointState::Ready,
            started_at: *started_at,
        })
    }

    /// Applies an update. Returns the keys of the idle connections that are no longer usable: those to former
    /// incarnations and those to endpoints that get no further attempts.
    pub(super) fn apply_update(
        &mut self,
        is_snapshot: bool,
        entries: Vec<ListedEndpoint>,
    ) -> Vec<usize> {
        let mut unusable = Vec::new();
        if is_snapshot {
            self.mark_unlisted(&entries);
        }
        for listed in entries {
            self.apply_entry(listed.endpoint, listed.address, &mut unusable);
        }
        // Only the endpoints that are not ready are scanned, since there may be thousands of others.
        let unready = self.unready.iter().map(|id| &self.known[id]);
        unusable.extend(unready.flat_map(|known| known.idle.iter().copied()));
        unusable
    }

    /// Marks the endpoints that a snapshot does not list as not ready.
    fn mark_unlisted(&mut self, entries: &[ListedEndpoint]) {
        let listed_ids: BTreeSet<&EndpointId> =
            entries.iter().map(|listed| &listed.endpoint.id).collect();
        for (id, known) in &mut self.known {
            known.ready &= listed_ids.contains(id);
        }
        self.ready_by_address
            .retain(|_, id| listed_ids.contains(id));
        let unready = self.known.iter().filter(|(_, known)| !known.ready);
        self.unready = unready.map(|(id, _)| id.clone()).collect();
    }

    fn apply_entry(
        &mut self,
        entry: Endpoint,
        address: Option<SocketAddr>,
        unusable: &mut Vec<usize>,
    ) {
        let ready = entry.state == EndpointState::Ready;
        let is_unknown = address.is_none() && !self.known.contains_key(&entry.id);
        if ready || is_unknown {
            self.unready.remove(&entry.id);
        } else {
            self.unready.insert(entry.id.clone());
        }
        if let Some(known) = self.known.get_mut(&entry.id) {
            if self.ready_by_address.get(&known.address) == Some(&entry.id) {
                self.ready_by_address.remove(&known.address);
            }
            let address = address.unwrap_or(known.address);
            if ready {
                self.ready_by_address.insert(address, entry.id.clone());
            }
            // A machine that was unreachable may return without having closed its old connections.
            if (address, entry.started_at) != (known.address, known.started_at) {
                known.incarnation += 1;
                unusable.append(&mut known.idle);
            }
            known.ready = ready;
            known.address = address;
            known.started_at = entry.started_at;
        } else if let Some(address) = address {
            let known = KnownEndpoint {
                address,
                started_at: entry.started_at,
                incarnation: 0,
                ready,
                idle: Vec::new(),
            };
            if ready {
                self.ready_by_address.insert(address, entry.id.clone());
            }
            self.known.insert(entry.id, known);
        }
    }

    /// Removes the endpoints that get no further attempts and to which no connection is open.
    pub(super) fn forget_unconnected(&mut self, connected: &BTreeSet<&EndpointId>) {
        let known = &mut self.known;
        self.unready.retain(|id| {
            let is_connected = connected.contains(id);
            if !is_connected {
                known.remove(id);
            }
            is_connected
        });
    }

    /// Whether an endpoint may get further attempts.
    pub(super) fn is_ready(&self, id: &EndpointId) -> bool {
        self.known.get(id).is_some_and(|known| known.ready)
    }

    pub(super) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut KnownEndpoint> {
        self.known.get_mut(id)
    }

    /// Returns the endpoint if it is ready and `incarnation` is its current one, so that connections to that
    /// incarnation may carry further attempts.
    pub(super) fn usable(
        &mut self,
        id: &EndpointId,
        incarnation: u32,
    ) -> Option<&mut KnownEndpoint> {
        self.known
            .get_mut(id)
            .filter(|known| known.ready && known.incarnation == incarnation)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.known.values()
    }
}

#[cfg(test)]
mod tests;
