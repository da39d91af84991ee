//! Decodes the events for a running instance into the controller's types. The protocol's field names and codes for
//! these events appear only in this module.

use crate::error::LineError;
use crate::fields::Fields;
use serde_json::Value;
use std::collections::BTreeMap;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, AttemptResult, CounterName, CounterReply, Endpoint,
    EndpointState, EndpointUpdate, Request, RequestId, TimerToken, UnixTime,
};

/// An event for an instance. [`InstanceHost::deliver`](crate::host::InstanceHost::deliver) passes each kind to the
/// controller's function for it.
#[derive(Debug)]
pub(crate) enum Event {
    /// Discovery sent a list of endpoints or changes to it.
    EndpointUpdate(EndpointUpdate),
    /// A call to discovery failed, or the subscription broke.
    DiscoveryFailure,
    /// A client sent a request.
    Request(Request),
    /// An upstream attempt ended.
    AttemptEnd {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: AttemptNumber,
        /// The outcome of the attempt and what was learnt from it.
        result: AttemptResult,
    },
    /// The first part of a streamed response arrived.
    ResponseStarted(RequestId),
    /// The client of a request disconnected.
    ClientDisconnect(RequestId),
    /// A timer fired.
    Timer(TimerToken),
    /// The shared counter replied.
    CounterReply {
        /// The name of the counter value to which an amount was added.
        name: CounterName,
        /// The new total, or why there is none.
        reply: CounterReply,
    },
    /// An event of an unknown type, or of one that the controller doesn't need: it sends no probes and no messages to
    /// peers, so it needs no replies to them.
    Ignored,
}

/// An event whose fields have not been decoded or checked.
pub(crate) struct UndecodedEvent<'a> {
    event_type: &'a str,
    fields: Fields<'a>,
}

impl<'a> UndecodedEvent<'a> {
    /// Returns an event with this `event_type` of the protocol.
    pub(crate) fn new(event_type: &'a str, fields: Fields<'a>) -> Self {
        UndecodedEvent { event_type, fields }
    }

    /// Decodes the fields that belong to the event's type.
    pub(crate) fn decode(&self) -> Result<Event, LineError> {
        let fields = &self.fields;
        Ok(match self.event_type {
            "fleet" => decode_discovery_event(fields)?,
            "inbound" => Event::Request(decode_request(fields)?),
            "report_back" => decode_attempt_end(fields)?,
            "first_byte" => Event::ResponseStarted(decode_request_id(fields)?),
            "vanished" => Event::ClientDisconnect(decode_request_id(fields)?),
            "wake" => Event::Timer(TimerToken(fields.unsigned("token")?)),
            "tallied" => Event::CounterReply {
                name: CounterName(fields.unsigned("name")?),
                reply: decode_counter_reply(fields)?,
            },
            _ => Event::Ignored,
        })
    }
}

fn decode_request_id(fields: &Fields) -> Result<RequestId, LineError> {
    fields.text("txn").map(RequestId::from)
}

/// Which part of the endpoint list a `fleet` event contains.
enum UpdateScope {
    /// Only the changed entries.
    Delta,
    /// The complete list.
    Snapshot,
    /// Nothing, because the call failed.
    Failure,
}

const UPDATE_SCOPE_CODES: &str = "'D', 'F', 'C' or 'X'";

fn update_scope(code: &str) -> Option<UpdateScope> {
    match code {
        "D" => Some(UpdateScope::Delta),
        "F" | "C" => Some(UpdateScope::Snapshot),
        "X" => Some(UpdateScope::Failure),
        _ => None,
    }
}

fn decode_discovery_event(fields: &Fields) -> Result<Event, LineError> {
    let update = match fields.code("scope", UPDATE_SCOPE_CODES, update_scope)? {
        UpdateScope::Delta => EndpointUpdate::Delta(decode_endpoints(fields)?),
        UpdateScope::Snapshot => EndpointUpdate::Snapshot(decode_endpoints(fields)?),
        UpdateScope::Failure => return Ok(Event::DiscoveryFailure),
    };
    Ok(Event::EndpointUpdate(update))
}

fn decode_endpoints(fields: &Fields) -> Result<Vec<Endpoint>, LineError> {
    let entries = fields.required("lines", "a list", Value::as_array)?;
    entries
        .iter()
        .enumerate()
        .map(|(index, entry)| {
            decode_endpoint(entry).map_err(|reason| LineError::InvalidEndpoint {
                index,
                reason: Box::new(reason),
            })
        })
        .collect()
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, LineError> {
    let fields = Fields::of_object(entry)?;
    Ok(Endpoint {
        id: fields.text("server")?.into(),
        state: fields.code("phase", ENDPOINT_STATE_CODES, endpoint_state)?,
        // If the field is absent, invalid or 0, the endpoint started long ago.
        started_at: fields
            .duration("since_ns")
            .ok()
            .filter(|started_at| !started_at.is_zero())
            .map(UnixTime),
        cell: fields.unsigned("pod").unwrap_or(0),
        zone: fields.text("region_part").unwrap_or("").to_string(),
        machine_type: fields.text("hw").unwrap_or("").to_string(),
        weight: fields.number("weight").unwrap_or(1.0),
    })
}

const ENDPOINT_STATE_CODES: &str = "'IN', 'LAME' or 'OUT'";

fn endpoint_state(code: &str) -> Option<EndpointState> {
    match code {
        "IN" => Some(EndpointState::Ready),
        "LAME" => Some(EndpointState::Draining),
        "OUT" => Some(EndpointState::Removed),
        _ => None,
    }
}

fn decode_request(fields: &Fields) -> Result<Request, LineError> {
    Ok(Request {
        id: decode_request_id(fields)?,
        customer: fields.text("holder").unwrap_or("").into(),
        plan: fields.text("plan").unwrap_or("").into(),
        route: fields.text("qos")?.into(),
        units: fields.number("size_units").unwrap_or(1.0),
        deadline: fields.duration("valid_until_ns")?,
        first_gateway: fields.number("from_no").unwrap_or(0.0) as u32,
        gateway_count: fields.number("spread").unwrap_or(1.0) as u32,
    })
}

fn decode_attempt_end(fields: &Fields) -> Result<Event, LineError> {
    let result = AttemptResult {
        outcome: fields.code("disposition", ATTEMPT_OUTCOME_CODES, attempt_outcome)?,
        latency: fields.duration("lag_ns")?,
        request_closed: fields.flag("closed")?,
        // If the field is absent, not a number or not above 0, no units are settled.
        settled_units: fields.number("settled").ok().filter(|units| *units > 0.0),
        load: decode_load(fields),
    };
    let attempt = AttemptNumber(fields.unsigned("attempt")? as u32);
    Ok(Event::AttemptEnd {
        request: decode_request_id(fields)?,
        attempt,
        result,
    })
}

const ATTEMPT_OUTCOME_CODES: &str = "'S', 'E', 'F', 'T', 'C', 'R', 'X' or 'N'";

fn attempt_outcome(code: &str) -> Option<AttemptOutcome> {
    match code {
        "S" => Some(AttemptOutcome::Success),
        "E" => Some(AttemptOutcome::ServerError),
        "F" => Some(AttemptOutcome::Rejected),
        "T" => Some(AttemptOutcome::TimedOut),
        "C" => Some(AttemptOutcome::ConnectFailed),
        "R" => Some(AttemptOutcome::Reset),
        "X" => Some(AttemptOutcome::Cancelled),
        "N" => Some(AttemptOutcome::NotSent),
        _ => None,
    }
}

/// Returns the load report, which is empty if the event has none. Values that are not numbers are left out.
fn decode_load(fields: &Fields) -> BTreeMap<String, f64> {
    fields
        .optional("pressure")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
        .filter_map(|(name, value)| Some((name.clone(), value.as_f64()?)))
        .collect()
}

/// Whether the amount of a counter call was added, according to the code in the reply.
enum CounterOutcome {
    /// The amount was added, and the event contains the new total.
    Applied,
    /// The amount was not added.
    NotApplied,
    /// The amount may or may not have been added.
    Unknown,
}

const COUNTER_OUTCOME_CODES: &str = "'S', 'F', 'C' or 'T'";

fn counter_outcome(code: &str) -> Option<CounterOutcome> {
    match code {
        "S" => Some(CounterOutcome::Applied),
        "F" | "C" => Some(CounterOutcome::NotApplied),
        "T" => Some(CounterOutcome::Unknown),
        _ => None,
    }
}

fn decode_counter_reply(fields: &Fields) -> Result<CounterReply, LineError> {
    Ok(
        match fields.code("disposition", COUNTER_OUTCOME_CODES, counter_outcome)? {
            CounterOutcome::Applied => CounterReply::Total(fields.number("total")?),
            CounterOutcome::NotApplied => CounterReply::NotApplied,
            CounterOutcome::Unknown => CounterReply::Unknown,
        },
    )
}

#[cfg(test)]
mod tests;
