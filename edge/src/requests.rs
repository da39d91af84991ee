//! The open requests of all clients: what each asked, until when it is waited for, how often it was attempted, and where
//! its final answer goes.

mod command;
mod parameters;

use crate::reactor::Serial;
pub(crate) use command::{max_request_units, RequestCommand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank::port::RequestId;

/// Where an answer goes: a connection of a client, and the place of the command in the order there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseSlot {
    /// The connection's key.
    pub(crate) key: usize,
    /// Tells the connection from others that had the same key before.
    pub(crate) connection: Serial,
    /// The number of the command on that connection.
    pub(crate) number: u64,
}

/// A request that was taken and that the controller has not closed yet.
pub(crate) struct OpenRequest {
    pub(crate) command: RequestCommand,
    /// Until when its client waits.
    pub(crate) deadline: Duration,
    /// How many attempts the controller has asked for.
    pub(crate) attempts: u32,
    pub(crate) slot: ResponseSlot,
    /// The client has its answer; the controller is to be told yet.
    pub(crate) answered: bool,
    /// The client has gone, or has ended its sending; the controller is to be told yet.
    client_left: bool,
}

impl OpenRequest {
    /// A request that was just taken.
    pub(crate) fn new(
        command: RequestCommand,
        deadline: Duration,
        slot: ResponseSlot,
    ) -> OpenRequest {
        OpenRequest {
            command,
            deadline,
            attempts: 0,
            slot,
            answered: false,
            client_left: false,
        }
    }

    /// Whether it is still owed its one final answer, by a client that has not ended its sending.
    pub(crate) fn is_awaited(&self) -> bool {
        !self.answered && !self.client_left
    }
}

/// All open requests.
#[derive(Default)]
pub(crate) struct OpenRequests {
    open: BTreeMap<Serial, OpenRequest>,
    /// The ids that the clients gave them.
    client_ids: BTreeSet<u64>,
}

/// The id by which the controller knows a request.
pub(crate) fn request_id(serial: Serial) -> RequestId {
    serial.to_string().as_str().into()
}

fn serial_of(id: &RequestId) -> Serial {
    id.0.parse().unwrap_or_default()
}

impl OpenRequests {
    /// How many requests are open.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether a request with this id of its client is open.
    pub(crate) fn has_client_id(&self, client_id: u64) -> bool {
        self.client_ids.contains(&client_id)
    }

    pub(crate) fn insert(&mut self, serial: Serial, request: OpenRequest) {
        self.client_ids.insert(request.command.client_id);
        self.open.insert(serial, request);
    }

    pub(crate) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&serial_of(id))
    }

    /// Whether it is not answered yet, be its client there or not.
    pub(crate) fn is_unanswered(&self, id: &RequestId) -> bool {
        self.open
            .get(&serial_of(id))
            .is_some_and(|request| !request.answered)
    }

    /// Whether it is still owed its one final answer, so that attempts may be begun for it.
    pub(crate) fn is_awaited(&self, id: &RequestId) -> bool {
        self.open
            .get(&serial_of(id))
            .is_some_and(OpenRequest::is_awaited)
    }

    /// Its client has gone: from now on nothing is begun for it. Returns its id, if it was still owed an answer.
    pub(crate) fn mark_client_left(&mut self, serial: Serial) -> Option<RequestId> {
        let request = self
            .open
            .get_mut(&serial)
            .filter(|request| request.is_awaited())?;
        request.client_left = true;
        Some(request_id(serial))
    }

    /// All that are still owed their final answers.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.open
            .iter()
            .filter(|(_, request)| request.is_awaited())
            .map(|(serial, _)| request_id(*serial))
    }

    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let request = self.open.remove(&serial_of(id))?;
        self.client_ids.remove(&request.command.client_id);
        Some(request)
    }
}
