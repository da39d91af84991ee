//! A client's command for a request: its bytes, the positions of its words, and the values that the controller needs.
//! It is checked once, when it is parsed.
//!
//! The words are the command's name, the customer, the client's id for the request, the parameters (see
//! [`super::parameters`]) and, except for a query, a body.

use super::parameters::{
    Parameters, MAX_LIST_BYTES, MAX_NUMBER_LENGTH, MAX_TIMEOUT_MS, MIN_POSITIVE_NUMBER, TIMEOUT,
};
use super::OpenRequests;
use crate::resp::{self, Words};
use std::time::Duration;
use thiserror::Error;
use wellcrank::port::{CustomerId, PlanName, RouteName};
use wellcrank::settings::{Idempotency, Settings};

/// The command for idempotent routes.
const QUERY: &[u8] = b"SVC.QUERY";

/// The command for all other routes.
const SUBMIT: &[u8] = b"SVC.SUBMIT";

/// The positions of the words in a command.
const NAME_WORD: usize = 0;
const CUSTOMER_WORD: usize = 1;
const ID_WORD: usize = 2;
const PARAMETERS_WORD: usize = 3;

/// The number of words of the two commands.
const QUERY_WORDS: usize = 4;
const SUBMIT_WORDS: usize = 5;

/// The maximum number of bits of a customer's number.
const CUSTOMER_BITS: u32 = 33;

/// The maximum number of units of a request if the settings state none.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Why a command for a request is invalid. Clients receive the text as the explanation in an error line. It holds
/// nothing of the client's input.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub(crate) enum InvalidCommand {
    /// The command does not have `QUERY_WORDS` or `SUBMIT_WORDS` words.
    #[error(
        "wrong number of words: expected {} for SVC.QUERY or {} for SVC.SUBMIT",
        QUERY_WORDS,
        SUBMIT_WORDS
    )]
    WordCount,
    /// The customer is not 16 hex digits, or its number has more than `CUSTOMER_BITS` bits.
    #[error(
        "invalid customer: expected 16 hex digits of a number below 2^{}",
        CUSTOMER_BITS
    )]
    Customer,
    /// The id is not 16 hex digits.
    #[error("invalid request id: expected 16 hex digits")]
    Id,
    /// An open request has the same id.
    #[error("request id already in use: expected an id that no open request has")]
    IdInUse,
    /// A request with the same id that must not run twice may have run for a client that has left.
    #[error(
        "request id already in use: a request with it may have run for a client that has left"
    )]
    IdMayHaveRun,
    /// The list of parameters is too long or holds characters other than visible ASCII.
    #[error(
        "invalid parameter list: expected at most {} bytes of visible ASCII characters",
        MAX_LIST_BYTES
    )]
    UnreadableParameters,
    /// An item of the list has no `=`, or the list is not UTF-8.
    #[error("invalid parameter list: expected pairs of the form name=value, separated by commas")]
    ParameterWithoutValue,
    /// A parameter is given twice.
    #[error("duplicate parameter: expected each name at most once")]
    DuplicateParameter,
    /// The timeout is not in plain decimal digits, or out of its range.
    #[error(
        "invalid parameter d: expected a timeout from {} to {} ms, as a plain decimal of at most {} characters",
        MIN_POSITIVE_NUMBER,
        MAX_TIMEOUT_MS,
        MAX_NUMBER_LENGTH
    )]
    InvalidTimeout,
    /// The number of units is not in plain decimal digits, or out of its range.
    #[error(
        "invalid parameter units: expected a plain decimal of at most {} characters from {} to the gateway's maximum",
        MAX_NUMBER_LENGTH,
        MIN_POSITIVE_NUMBER
    )]
    InvalidUnits,
    /// The index of the first gateway is not in plain decimal digits, or out of its range.
    #[error(
        "invalid parameter first: expected a whole number below the number of gateways, in at most {} digits",
        MAX_NUMBER_LENGTH
    )]
    InvalidFirstGateway,
    /// The count of gateways is not in plain decimal digits, or out of its range.
    #[error(
        "invalid parameter spread: expected a whole number from 1 to the number of gateways, in at most {} digits",
        MAX_NUMBER_LENGTH
    )]
    InvalidGatewayCount,
    /// The settings have no route of this name.
    #[error("unknown route: expected parameter c to name a route of the gateway's settings")]
    UnknownRoute,
    /// A query for a route that is not idempotent, or a submit for one that is.
    #[error(
        "wrong command for this route: expected SVC.QUERY if it is idempotent, otherwise SVC.SUBMIT"
    )]
    WrongCommandForRoute,
    /// The route needs an idempotency key and the command has none.
    #[error("missing idempotency key: expected a non-empty parameter k for this route")]
    MissingIdempotencyKey,
    /// The settings have no plan of this name.
    #[error("unknown plan: expected parameter t to name a plan of the gateway's settings")]
    UnknownPlan,
    /// The command states no timeout.
    #[error("missing timeout: expected parameter d in milliseconds")]
    MissingTimeout,
    /// The index of the first gateway or the count of gateways is not a whole number.
    #[error("fractional parameter: expected first and spread to be whole numbers")]
    FractionalGatewaySet,
}

/// A checked command for a request.
#[derive(Debug)]
pub(crate) struct RequestCommand {
    /// The command as the client sent it.
    bytes: Box<[u8]>,
    /// The positions of the words in `bytes`.
    words: Words,
    /// The id that the client gave the request.
    pub(crate) client_id: u64,
    /// Whether its route must not run a request twice.
    pub(crate) must_not_run_twice: bool,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteName,
    pub(crate) plan: PlanName,
    /// How long the client waits for the answer.
    pub(crate) timeout: Duration,
    /// The units that the request takes from the customer's quota.
    pub(crate) units: f64,
    /// The index of the first gateway that receives this customer's requests.
    pub(crate) first_gateway: u32,
    /// How many gateways, counted on from the first, receive them.
    pub(crate) gateway_count: u32,
}

/// The maximum number of units that a request may ask for or that a response may settle. If the settings state none, it
/// is `DEFAULT_MAX_UNITS`.
pub(crate) fn max_request_units(settings: &Settings) -> f64 {
    Some(settings.counter.max_request_units)
        .filter(|max_units| *max_units > 0.0)
        .unwrap_or(DEFAULT_MAX_UNITS)
}

/// Parses a number of exactly 16 hex digits.
fn parse_hex(word: &[u8]) -> Option<u64> {
    let is_hex = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word)
        .ok()
        .filter(|_| is_hex)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
}

/// The word at an index; empty if the command has fewer words.
fn word_at<'a>(bytes: &'a [u8], words: &Words, index: usize) -> &'a [u8] {
    words
        .get(index)
        .map_or(&[][..], |word| &bytes[word.clone()])
}

impl RequestCommand {
    /// Whether the name of a command is that of a request, whether or not the rest is valid.
    pub(crate) fn is_named(bytes: &[u8], words: &Words) -> bool {
        let name = word_at(bytes, words, NAME_WORD);
        name.eq_ignore_ascii_case(QUERY) || name.eq_ignore_ascii_case(SUBMIT)
    }

    /// Parses and checks the words of a command for a request. Returns the first fault that it finds.
    pub(crate) fn parse(
        bytes: &[u8],
        words: Words,
        settings: &Settings,
        requests: &OpenRequests,
    ) -> Result<RequestCommand, InvalidCommand> {
        let is_query = word_at(bytes, &words, NAME_WORD).eq_ignore_ascii_case(QUERY);
        let expected_words = if is_query { QUERY_WORDS } else { SUBMIT_WORDS };
        if words.len() != expected_words {
            return Err(InvalidCommand::WordCount);
        }
        let customer = parse_hex(word_at(bytes, &words, CUSTOMER_WORD))
            .filter(|number| number >> CUSTOMER_BITS == 0)
            .ok_or(InvalidCommand::Customer)?;
        let client_id = parse_hex(word_at(bytes, &words, ID_WORD)).ok_or(InvalidCommand::Id)?;
        if requests.has_client_id(client_id) {
            return Err(InvalidCommand::IdInUse);
        }
        let parameters = Parameters::parse(word_at(bytes, &words, PARAMETERS_WORD), settings)?;
        let idempotency = check_route(&parameters, is_query, settings)?;
        let must_not_run_twice = idempotency == Idempotency::NonIdempotent;
        if must_not_run_twice && requests.may_have_run(client_id) {
            return Err(InvalidCommand::IdMayHaveRun);
        }
        let plan: PlanName = parameters.plan.into();
        if !settings.plans.contains_key(&plan) {
            return Err(InvalidCommand::UnknownPlan);
        }
        if parameters.timeout_ms <= 0.0 {
            return Err(InvalidCommand::MissingTimeout);
        }
        if parameters.first_gateway.fract() + parameters.gateway_count.fract() > 0.0 {
            return Err(InvalidCommand::FractionalGatewaySet);
        }
        Ok(RequestCommand {
            bytes: bytes.into(),
            client_id,
            must_not_run_twice,
            customer: format!("{customer:016x}").as_str().into(),
            route: parameters.route.into(),
            plan,
            timeout: Duration::from_secs_f64(parameters.timeout_ms / 1000.0),
            units: parameters.units,
            first_gateway: parameters.first_gateway as u32,
            gateway_count: parameters.gateway_count as u32,
            words,
        })
    }

    /// Frees the bytes of a command that is not sent to any endpoint.
    pub(crate) fn discard_bytes(&mut self) {
        self.bytes = Box::default();
        self.words = Words::new();
    }

    /// The size of the command in bytes.
    pub(crate) fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Writes the command for an endpoint: as the client sent it, with the name in upper case and with `timeout`, in
    /// whole milliseconds and at least 1 ms, in place of the client's.
    pub(crate) fn write_for_endpoint(&self, out: &mut Vec<u8>, timeout: Duration) {
        resp::write_array_header(out, self.words.len());
        for (index, word) in self.words.iter().enumerate() {
            let word = &self.bytes[word.clone()];
            match index {
                NAME_WORD => resp::write_bulk(out, &word.to_ascii_uppercase()),
                PARAMETERS_WORD => {
                    let list = std::str::from_utf8(word).unwrap_or_default();
                    resp::write_bulk(out, with_timeout(list, timeout).as_bytes());
                }
                _ => resp::write_bulk(out, word),
            }
        }
    }
}

/// Checks that the settings have the route, that the command is the one for it, and that there is an idempotency key if
/// the route needs one. Returns the route's idempotency.
fn check_route(
    parameters: &Parameters,
    is_query: bool,
    settings: &Settings,
) -> Result<Idempotency, InvalidCommand> {
    let route = settings
        .routes
        .get(&RouteName::from(parameters.route))
        .ok_or(InvalidCommand::UnknownRoute)?;
    if is_query != (route.idempotency == Idempotency::Idempotent) {
        return Err(InvalidCommand::WrongCommandForRoute);
    }
    if route.idempotency == Idempotency::Keyed && parameters.idempotency_key.is_empty() {
        return Err(InvalidCommand::MissingIdempotencyKey);
    }
    Ok(route.idempotency)
}

/// Replaces the timeout in a checked list of parameters.
fn with_timeout(list: &str, timeout: Duration) -> String {
    let named = format!("{TIMEOUT}=");
    let start = if list.starts_with(&named) {
        Some(0)
    } else {
        list.find(&format!(",{named}")).map(|comma| comma + 1)
    };
    let start = start.expect("the timeout was read from this list");
    let end = list[start..]
        .find(',')
        .map_or(list.len(), |comma| start + comma);
    format!(
        "{}{named}{}{}",
        &list[..start],
        timeout.as_millis().max(1),
        &list[end..]
    )
}

#[cfg(test)]
mod tests;
