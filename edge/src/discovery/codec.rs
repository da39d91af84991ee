//! Discovery's JSON: the endpoint list or a change of it, decoded into the terms of the interface to the admission
//! controller.

use super::http::{self, ResponseError};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use wellcrank::port::{Endpoint, EndpointId, EndpointState, UnixTime};

/// The endpoint list or a change of it, as discovery words it.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    /// The revision of the list.
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// Whether this is the whole list: what it does not name is gone.
    #[serde(rename = "all")]
    pub(crate) is_snapshot: bool,
    #[serde(rename = "targets", default)]
    entries: Vec<MessageEntry>,
}

/// An entry of the message. One that can't be read loses nothing but itself.
enum MessageEntry {
    /// All of it could be read, except perhaps its address.
    Readable(Target),
    /// It could not be read.
    Unreadable {
        /// The endpoint's id, if that could be read.
        uid: Option<String>,
        /// What is wrong.
        error: serde_json::Error,
    },
}

/// An endpoint as discovery describes it.
#[derive(Deserialize)]
struct Target {
    uid: String,
    #[serde(default, rename = "endpoint")]
    address: String,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "model")]
    machine_type: String,
    #[serde(default, rename = "pod_group")]
    cell: u64,
    state: TargetState,
    #[serde(rename = "capacity_hint")]
    weight: Option<f64>,
    /// When its process started, in milliseconds of Unix time; 0: not known.
    #[serde(default, rename = "boot_ms")]
    started_at_ms: u64,
}

/// What discovery says of an endpoint; see [`EndpointState`] for what it means.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum TargetState {
    /// [`EndpointState::Ready`]
    Active,
    /// [`EndpointState::Draining`]
    Leaving,
    /// [`EndpointState::Removed`]
    Left,
}

impl From<TargetState> for EndpointState {
    fn from(state: TargetState) -> EndpointState {
        match state {
            TargetState::Active => EndpointState::Ready,
            TargetState::Leaving => EndpointState::Draining,
            TargetState::Left => EndpointState::Removed,
        }
    }
}

impl<'de> Deserialize<'de> for MessageEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MessageEntry, D::Error> {
        let value = Value::deserialize(deserializer)?;
        Ok(match Target::deserialize(&value) {
            Ok(target) => MessageEntry::Readable(target),
            Err(error) => MessageEntry::Unreadable {
                uid: value.get("uid").and_then(Value::as_str).map(str::to_string),
                error,
            },
        })
    }
}

/// An endpoint of the list, with its address.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// What the admission controller is told of it.
    pub(crate) endpoint: Endpoint,
    /// Its address; none where discovery states none that can be read.
    pub(crate) address: Option<SocketAddr>,
}

/// An entry that could not be read, or not in full.
#[derive(Debug)]
pub(crate) struct UnreadableEntry {
    /// The entry's place in the message, counted from 0.
    index: usize,
    /// The endpoint's id, if that could be read.
    uid: Option<String>,
    reason: EntryError,
}

/// What is wrong with an entry.
#[derive(Debug, Error)]
enum EntryError {
    /// It is not of the form of [`Target`].
    #[error("{0}")]
    Malformed(serde_json::Error),
    /// It states an address that can't be read.
    #[error("{0:?} is no address")]
    Address(String),
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let uid = self.uid.as_deref().unwrap_or("no uid");
        write!(formatter, "entry {} ({uid}): {}", self.index, self.reason)
    }
}

/// The endpoint list or a change of it, decoded.
pub(crate) struct ParsedUpdate {
    /// The revision of the list.
    pub(crate) revision: u64,
    /// Whether this is the whole list: what it does not name is gone.
    pub(crate) is_snapshot: bool,
    /// The endpoints that it names.
    pub(crate) endpoints: Vec<ListedEndpoint>,
    /// Endpoints of which nothing could be read but the id: they stay as they were.
    pub(crate) unreadable_endpoints: Vec<EndpointId>,
    /// The entries that could not be read, or not in full.
    pub(crate) unreadable_entries: Vec<UnreadableEntry>,
}

impl EndpointListMessage {
    /// Whether it names no endpoint.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decodes the entries.
    pub(crate) fn parse(self) -> ParsedUpdate {
        let mut update = ParsedUpdate {
            revision: self.revision,
            is_snapshot: self.is_snapshot,
            endpoints: Vec::new(),
            unreadable_endpoints: Vec::new(),
            unreadable_entries: Vec::new(),
        };
        for (index, entry) in self.entries.into_iter().enumerate() {
            match entry {
                MessageEntry::Readable(target) => update.add_target(index, target),
                MessageEntry::Unreadable { uid, error } => {
                    let id = uid.as_deref().map(EndpointId::from);
                    update.unreadable_endpoints.extend(id);
                    update.unreadable_entries.push(UnreadableEntry {
                        index,
                        uid,
                        reason: EntryError::Malformed(error),
                    });
                }
            }
        }
        update
    }
}

impl ParsedUpdate {
    /// Adds the endpoint of an entry, and notes where its address can't be read.
    fn add_target(&mut self, index: usize, target: Target) {
        let address = target.address.parse().ok();
        let needs_no_address =
            target.address.is_empty() && matches!(target.state, TargetState::Left);
        if address.is_none() && !needs_no_address {
            self.unreadable_entries.push(UnreadableEntry {
                index,
                uid: Some(target.uid.clone()),
                reason: EntryError::Address(target.address.clone()),
            });
        }
        self.endpoints.push(ListedEndpoint {
            endpoint: target.into(),
            address,
        });
    }

    /// How many of the endpoints are in a state.
    pub(crate) fn count(&self, state: EndpointState) -> usize {
        self.endpoints
            .iter()
            .filter(|listed| listed.endpoint.state == state)
            .count()
    }
}

impl From<Target> for Endpoint {
    fn from(target: Target) -> Endpoint {
        let started_at = UnixTime(Duration::from_millis(target.started_at_ms));
        Endpoint {
            id: target.uid.as_str().into(),
            state: target.state.into(),
            started_at: (target.started_at_ms > 0).then_some(started_at),
            cell: target.cell,
            zone: target.zone,
            machine_type: target.machine_type,
            weight: target.weight.unwrap_or(1.0),
        }
    }
}

/// A whole response of discovery.
pub(super) struct DecodedResponse {
    /// The list or the change that it holds.
    pub(super) message: EndpointListMessage,
    /// Its size in bytes.
    pub(super) size: usize,
}

/// Decodes the response at the front of `bytes`; none if it is not whole yet. Where `bytes` are as many as may be
/// buffered, it can't become whole any more. See [`http::take_response`] for the rest.
pub(super) fn decode_response(
    bytes: &[u8],
    is_closed: bool,
    max_size: usize,
) -> Result<Option<DecodedResponse>, ResponseError> {
    let Some(body) = http::take_response(bytes, is_closed, max_size)? else {
        let is_full = bytes.len() >= max_size;
        return if is_full {
            Err(ResponseError::TooLong)
        } else {
            Ok(None)
        };
    };
    let message = serde_json::from_slice(&body.content).map_err(ResponseError::Body)?;
    Ok(Some(DecodedResponse {
        message,
        size: body.response_size,
    }))
}
