//! Decodes discovery's JSON messages, which hold the endpoint list or changes of it, into the types of the admission
//! controller's interface.

use super::http::{self, ResponseError};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use wellcrank::port::{Endpoint, EndpointId, EndpointState, UnixTime};

/// A message of discovery in its JSON form: the complete endpoint list or the changes since a revision.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    /// The revision of the list after this message.
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// Whether this is the complete list. Endpoints that it does not contain no longer exist.
    #[serde(rename = "all")]
    pub(crate) is_snapshot: bool,
    #[serde(rename = "targets", default)]
    entries: Vec<MessageEntry>,
}

/// An entry of the message. An unreadable entry does not affect the others.
enum MessageEntry {
    /// An entry that was deserialized; its address is not parsed yet.
    Readable(Target),
    /// An entry that can't be deserialized as a [`Target`].
    Unreadable {
        /// The endpoint's id, if the entry has a string there.
        uid: Option<String>,
        /// Why the entry could not be deserialized.
        error: serde_json::Error,
    },
}

/// An endpoint in the JSON form of discovery.
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
    /// When the endpoint's process started, in milliseconds since the Unix epoch; 0 if not known.
    #[serde(default, rename = "boot_ms")]
    started_at_ms: u64,
}

/// The state of an endpoint by its name in discovery's JSON.
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

/// An endpoint of a list or change, with its address.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// The endpoint as the admission controller sees it.
    pub(crate) endpoint: Endpoint,
    /// The endpoint's address, or `None` if discovery states none or a malformed one.
    pub(crate) address: Option<SocketAddr>,
}

/// An entry that can't be deserialized, or whose address is malformed; for log lines.
#[derive(Debug)]
pub(crate) struct UnreadableEntry {
    /// The entry's index in the message, counted from 0.
    index: usize,
    /// The endpoint's id, if the entry has a string there.
    uid: Option<String>,
    reason: EntryError,
}

/// Why an entry is unreadable.
#[derive(Debug, Error)]
enum EntryError {
    /// The entry can't be deserialized as a [`Target`].
    #[error("{0}")]
    Malformed(serde_json::Error),
    /// The address is not an IP address with a port.
    #[error("address {0:?} is not an IP address with a port")]
    Address(String),
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let uid = self.uid.as_deref().unwrap_or("no uid");
        write!(formatter, "entry {} ({uid}): {}", self.index, self.reason)
    }
}

/// A message of discovery in the types of the admission controller's interface.
pub(crate) struct ParsedUpdate {
    /// The revision of the list after this message.
    pub(crate) revision: u64,
    /// Whether this is the complete list. Endpoints that it does not contain no longer exist.
    pub(crate) is_snapshot: bool,
    /// The endpoints of the entries that could be deserialized.
    pub(crate) endpoints: Vec<ListedEndpoint>,
    /// The endpoints of the entries of which only the id is readable. They keep their previous state.
    pub(crate) unreadable_endpoints: Vec<EndpointId>,
    /// The entries that could not be deserialized, and those with a malformed address.
    pub(crate) unreadable_entries: Vec<UnreadableEntry>,
}

impl EndpointListMessage {
    /// Returns whether the message has no entries.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decodes the entries. Unreadable ones are collected in the result.
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
    /// Adds the endpoint of an entry that was deserialized. A malformed address is recorded as an unreadable entry; an endpoint that
    /// no longer exists needs no address.
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

    /// Returns the number of endpoints in this state.
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

/// A complete response of discovery.
pub(super) struct DecodedResponse {
    pub(super) message: EndpointListMessage,
    /// The size of the response in bytes, with informational responses before it.
    pub(super) size: usize,
}

/// Decodes the response at the start of `bytes`, or returns `None` if it is incomplete. If `max_size` bytes or more are
/// buffered, an incomplete response is an error, since no more bytes may be read. `is_closed` says whether discovery has
/// closed the connection, see [`http::parse_response`].
pub(super) fn decode_response(
    bytes: &[u8],
    is_closed: bool,
    max_size: usize,
) -> Result<Option<DecodedResponse>, ResponseError> {
    let Some(body) = http::parse_response(bytes, is_closed, max_size)? else {
        let is_full = bytes.len() >= max_size;
        return if is_full {
            Err(ResponseError::TooLong { max_size })
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
