//! The endpoints that discovery has named: their addresses, whether they may get further attempts, and which
//! connections to each are idle.

use crate::discovery::{ListedEndpoint, ParsedUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wellcrank::port::{Endpoint, EndpointId, EndpointState, UnixTime};

/// An endpoint whose address is known.
pub(super) struct KnownEndpoint {
    pub(super) address: SocketAddr,
    started_at: Option<UnixTime>,
    /// Counts its starts and moves: a connection belongs to one incarnation of the endpoint.
    pub(super) incarnation: u32,
    ready: bool,
    /// Keys of connections that carry nothing, the latest used last.
    pub(super) idle: Vec<usize>,
}

/// All known endpoints. One that was removed stays as long as connections to it are open.
#[derive(Default)]
pub(super) struct EndpointTable {
    known: BTreeMap<EndpointId, KnownEndpoint>,
    /// Those of them that are to get no further attempts.
    unready: BTreeSet<EndpointId>,
}

impl EndpointTable {
    /// An endpoint without an address that can be read keeps the one it has; one that never had one is left out. Where
    /// entries of a whole list can't be read, their endpoints stay as they are, so the list becomes a delta.
    pub(super) fn complete_update(&self, update: &mut ParsedUpdate) {
        update.endpoints.retain(|listed| {
            listed.address.is_some() || self.known.contains_key(&listed.endpoint.id)
        });
        if !update.is_snapshot || update.unreadable_endpoints.is_empty() {
            return;
        }
        let named: BTreeSet<&EndpointId> = update
            .endpoints
            .iter()
            .map(|listed| &listed.endpoint.id)
            .chain(&update.unreadable_endpoints)
            .collect();
        let missing: Vec<EndpointId> = self
            .known
            .keys()
            .filter(|id| !named.contains(id))
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

    /// Takes an update over. Returns the idle connections that are of no further use: those to former incarnations,
    /// and those to endpoints that are to get no further attempts.
    pub(super) fn apply_update(
        &mut self,
        is_snapshot: bool,
        entries: Vec<ListedEndpoint>,
    ) -> Vec<usize> {
        let mut unusable = Vec::new();
        if is_snapshot {
            self.mark_unnamed(&entries);
        }
        for listed in entries {
            self.apply_entry(listed.endpoint, listed.address, &mut unusable);
        }
        // Thousands of endpoints are not looked through for a change of one.
        let leaving = self.unready.iter().map(|id| &self.known[id]);
        unusable.extend(leaving.flat_map(|known| known.idle.iter().copied()));
        unusable
    }

    /// What a whole list does not name is to get no further attempts.
    fn mark_unnamed(&mut self, entries: &[ListedEndpoint]) {
        let named: BTreeSet<&EndpointId> =
            entries.iter().map(|listed| &listed.endpoint.id).collect();
        for (id, known) in &mut self.known {
            known.ready &= named.contains(id);
        }
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
            let address = address.unwrap_or(known.address);
            // A machine that was silent may be back without having ended its old connections.
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
            self.known.insert(entry.id, known);
        }
    }

    /// Forgets endpoints that are to get no further attempts and to which no connection is open.
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

    /// The endpoint, if it may get further attempts on connections to this incarnation.
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
