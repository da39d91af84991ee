//! The open requests of all clients: the command of each, its deadline, the number of its attempts and where its answer
//! goes.

mod command;
mod departed_ids;
mod parameters;

use crate::reactor::Serial;
pub(crate) use command::{max_request_units, RequestCommand};
use departed_ids::DepartedIds;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank::port::RequestId;

/// The destination of an answer: a client's connection, and the number of the command on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSlot {
    /// The connection's key.
    pub(crate) key: usize,
    /// Distinguishes the connection from earlier ones with the same key.
    pub(crate) connection: Serial,
    /// The number of the command on that connection, counted from 0.
    pub(crate) number: u64,
}

/// A request that is not closed yet.
pub(crate) struct OpenRequest {
    /// The client's command.
    pub(crate) command: RequestCommand,
    /// When its client stops waiting, on the gateway's monotonic clock.
    pub(crate) deadline: Duration,
    /// The number of attempts that the controller has asked for.
    pub(crate) attempts: u32,
    /// The number of attempts that may have run: their command was written completely, and the endpoint has not rejected
    /// it.
    pub(crate) possible_executions: u32,
    /// Where its answer goes.
    pub(crate) slot: AnswerSlot,
    /// Whether an endpoint's value was sent to the client. The request stays open until the controller has been told.
    pub(crate) answered: bool,
    /// Whether its memory is counted. A request that is to be rejected takes none worth counting.
    pub(crate) is_admitted: bool,
    /// Whether the client has disconnected or stopped sending. The request stays open until the controller has been
    /// told.
    client_left: bool,
}

impl OpenRequest {
    /// Creates a request without any attempt.
    pub(crate) fn new(
        command: RequestCommand,
        deadline: Duration,
        slot: AnswerSlot,
        is_admitted: bool,
    ) -> OpenRequest {
        OpenRequest {
            command,
            deadline,
            attempts: 0,
            possible_executions: 0,
            slot,
            answered: false,
            is_admitted,
            client_left: false,
        }
    }

    /// Whether it has no answer yet and its client has not stopped sending.
    pub(crate) fn is_awaited(&self) -> bool {
        !self.answered && !self.client_left
    }
}

/// The open requests of all clients, and the ids that the clients gave them.
#[derive(Default)]
pub(crate) struct OpenRequests {
    /// The open requests by their serial numbers.
    open: BTreeMap<Serial, OpenRequest>,
    /// The ids that the clients gave the open requests.
    client_ids: BTreeSet<u64>,
    /// The ids of requests that may have run for clients that did not wait for the answer.
    departed_ids: DepartedIds,
}

/// The id of a request for the controller: its serial number in decimal.
pub(crate) fn request_id(serial: Serial) -> RequestId {
    serial.to_string().as_str().into()
}

/// The serial number in a request's id; zero, which no request has, for any other id.
fn serial_of(id: &RequestId) -> Serial {
    id.0.parse().unwrap_or_default()
}

impl OpenRequests {
    /// The number of open requests.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether a request is open to which its client gave this id.
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

    /// Whether a request is open and not answered yet, even if its client has stopped sending.
    pub(crate) fn is_unanswered(&self, id: &RequestId) -> bool {
        self.open
            .get(&serial_of(id))
            .is_some_and(|request| !request.answered)
    }

    /// Whether a request is open and not answered yet, and its client has not stopped sending, so that attempts may be
    /// started for it.
    pub(crate) fn is_awaited(&self, id: &RequestId) -> bool {
        self.open
            .get(&serial_of(id))
            .is_some_and(OpenRequest::is_awaited)
    }

    /// Records that the client of a request has disconnected or stopped sending, so that no further attempts are
    /// started. Returns the request's id if this was not recorded before and it has no answer yet.
    pub(crate) fn mark_client_left(&mut self, serial: Serial) -> Option<RequestId> {
        let request = self
            .open
            .get_mut(&serial)
            .filter(|request| request.is_awaited())?;
        request.client_left = true;
        Some(request_id(serial))
    }

    /// The ids of the open requests that are not answered yet and whose clients have not stopped sending.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.open
            .iter()
            .filter(|(_, request)| request.is_awaited())
            .map(|(serial, _)| request_id(*serial))
    }

    /// Whether a request with this id that must not run twice may have run for a client that did not wait for the answer.
    pub(crate) fn may_have_run(&self, client_id: u64) -> bool {
        self.departed_ids.contains(client_id)
    }

    /// Forgets the ids that were kept for long enough at `now`.
    pub(crate) fn forget_departed_ids(&mut self, now: Duration) {
        self.departed_ids.forget_expired(now);
    }

    /// Removes a request that is closed at `now`.
    pub(crate) fn remove(&mut self, id: &RequestId, now: Duration) -> Option<OpenRequest> {
        let request = self.open.remove(&serial_of(id))?;
        let client_id = request.command.client_id;
        self.client_ids.remove(&client_id);
        let may_have_run = request.possible_executions > 0;
        if request.client_left && may_have_run && request.command.must_not_run_twice {
            self.departed_ids.insert(client_id, now);
        }
        Some(request)
    }
}
