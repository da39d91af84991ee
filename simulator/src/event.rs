//! Decodes what happens to a running instance into the controller's types. The wire's names and codes stand here only.

use crate::error::LineError;
use crate::fields::Fields;
use serde_json::Value;
use std::collections::BTreeMap;
use wellcrank::port::{
    AttemptNumber, AttemptOutcome, AttemptResult, CounterName, CounterReply, Endpoint,
    EndpointState, EndpointUpdate, Request, RequestId, TimerToken, UnixTime,
};

/// An event for an instance, named after the controller's function that takes it.
#[derive(Debug)]
pub(crate) enum Event {
    /// Discovery has sent endpoints.
    EndpointUpdate(EndpointUpdate),
    /// A call to discovery failed, or the subscription broke.
    DiscoveryFailure,
    /// A client's request has come in.
    Request(Request),
    /// An upstream attempt has ended.
    AttemptEnd {
        /// The request that was sent on.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// How it ended.
        result: AttemptResult,
    },
    /// The first part of a streamed answer has come.
    ResponseStarted(RequestId),
    /// The client of a request has gone.
    ClientDisconnect(RequestId),
    /// A timer has fired.
    Timer(TimerToken),
    /// The shared counter has replied.
    CounterReply {
        /// The number that was added to.
        name: CounterName,
        /// The reply.
        reply: CounterReply,
    },
    /// An event of a type that is not known, or that the controller has no use for: it sends no probes and no messages
    /// to peers, so it needs no answers to them.
    Ignored,
}

/// An event whose fields have not been looked at.
pub(crate) struct UndecodedEvent<'a> {
    event_type: &'a str,
    fields: Fields<'a>,
}

impl<'a> UndecodedEvent<'a> {
    /// An event of the type that the wire names so.
    pub(crate) fn new(event_type: &'a str, fields: Fields<'a>) -> Self {
        UndecodedEvent { event_type, fields }
    }

    /// Decodes the fields that the event's type has.
    pub(crate) fn decode(&self) -> Result<Event, LineError> {
        let fields = &self.fields;
        Ok(match self.event_type {
            "fleet" => decode_discovery_news(fields)?,
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

/// What a `fleet` event says of the endpoint list.
enum UpdateScope {
    /// Only the entries that have changed.
    Delta,
    /// The whole list.
    Snapshot,
    /// Nothing: the call failed.
    Failure,
}

fn update_scope(code: &str) -> Option<UpdateScope> {
    match code {
        "D" => Some(UpdateScope::Delta),
        "F" | "C" => Some(UpdateScope::Snapshot),
        "X" => Some(UpdateScope::Failure),
        _ => None,
    }
}

fn decode_discovery_news(fields: &Fields) -> Result<Event, LineError> {
    let update = match fields.code("scope", update_scope)? {
        UpdateScope::Delta => EndpointUpdate::Delta(decode_endpoints(fields)?),
        UpdateScope::Snapshot => EndpointUpdate::Snapshot(decode_endpoints(fields)?),
        UpdateScope::Failure => return Ok(Event::DiscoveryFailure),
    };
    Ok(Event::EndpointUpdate(update))
}

fn decode_endpoints(fields: &Fields) -> Result<Vec<Endpoint>, LineError> {
    let entries = fields.required("lines", Value::as_array)?;
    entries.iter().map(decode_endpoint).collect()
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, LineError> {
    let fields = Fields::of_object(entry).ok_or(LineError::EntryNotAnObject)?;
    Ok(Endpoint {
        id: fields.text("server")?.into(),
        state: fields.code("phase", endpoint_state)?,
        // Absent and 0 both mean that it started long ago.
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
        outcome: fields.code("disposition", attempt_outcome)?,
        latency: fields.duration("lag_ns")?,
        request_closed: fields.flag("closed")?,
        // Absent and 0 both mean that no units are settled.
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

/// The load report, if there is one; figures that are no numbers are left out.
fn decode_load(fields: &Fields) -> BTreeMap<String, f64> {
    fields
        .optional("pressure")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
        .filter_map(|(name, value)| Some((name.clone(), value.as_f64()?)))
        .collect()
}

/// What the code of a counter's reply says of the amount.
enum CounterOutcome {
    /// It was added; the total stands beside the code.
    Applied,
    /// It was not added.
    NotApplied,
    /// It may have been added.
    Unknown,
}

fn counter_outcome(code: &str) -> Option<CounterOutcome> {
    match code {
        "S" => Some(CounterOutcome::Applied),
        "F" | "C" => Some(CounterOutcome::NotApplied),
        "T" => Some(CounterOutcome::Unknown),
        _ => None,
    }
}

fn decode_counter_reply(fields: &Fields) -> Result<CounterReply, LineError> {
    Ok(match fields.code("disposition", counter_outcome)? {
        CounterOutcome::Applied => CounterReply::Total(fields.number("total")?),
        CounterOutcome::NotApplied => CounterReply::NotApplied,
        CounterOutcome::Unknown => CounterReply::Unknown,
    })
}

#[cfg(test)]
mod tests;
