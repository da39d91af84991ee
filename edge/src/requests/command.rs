//! A client's command for a request, checked once: its bytes, where its words stand, and what the controller needs.
//!
//! Its words are the command's name, the customer, the client's id for the request, the parameters (see
//! [`super::parameters`]) and, but for a query, a body.

use super::parameters::{Parameters, TIMEOUT};
use super::OpenRequests;
use crate::resp::{self, Words};
use std::time::Duration;
use thiserror::Error;
use wellcrank::port::{CustomerId, PlanName, RouteName};
use wellcrank::settings::{Idempotency, Settings};

/// The command of an idempotent route.
const QUERY: &[u8] = b"SVC.QUERY";

/// The command of all other routes.
const SUBMIT: &[u8] = b"SVC.SUBMIT";

/// Where the words stand in a command.
const NAME_WORD: usize = 0;
const CUSTOMER_WORD: usize = 1;
const ID_WORD: usize = 2;
const PARAMETERS_WORD: usize = 3;

/// How many words the two commands have.
const QUERY_WORDS: usize = 4;
const SUBMIT_WORDS: usize = 5;

/// A customer's number has no more bits than this.
const CUSTOMER_BITS: u32 = 33;

/// The most units of a request where the settings state no bound.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// What is wrong with a command for a request. The texts are those of the error lines that clients get.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub(crate) enum InvalidCommand {
    #[error("wrong number of words")]
    WordCount,
    #[error("no customer")]
    Customer,
    #[error("no id")]
    Id,
    #[error("the id of an open call")]
    IdInUse,
    #[error("an unreadable list")]
    UnreadableParameters,
    #[error("not a list of names and values")]
    NotParameters,
    #[error("a name twice")]
    DuplicateParameter,
    #[error("a wrong number")]
    Number,
    #[error("no such route")]
    UnknownRoute,
    #[error("not the command for this route")]
    WrongCommandForRoute,
    #[error("no key")]
    MissingIdempotencyKey,
    #[error("no such plan")]
    UnknownPlan,
    #[error("no time to answer")]
    MissingTimeout,
    #[error("no set of gateways")]
    GatewaySet,
}

/// A checked command for a request.
#[derive(Debug)]
pub(crate) struct RequestCommand {
    bytes: Box<[u8]>,
    words: Words,
    /// The id that the client gave the request.
    pub(crate) client_id: u64,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteName,
    pub(crate) plan: PlanName,
    /// For how long the client waits.
    pub(crate) timeout: Duration,
    /// The units that it takes from the customer's quota.
    pub(crate) units: f64,
    /// The number of the first gateway that gets this customer's requests.
    pub(crate) first_gateway: u32,
    /// How many gateways in a row get them.
    pub(crate) gateway_count: u32,
}

/// The most units that a request may take, asked for or settled; a bound also where the settings state none.
pub(crate) fn max_request_units(settings: &Settings) -> f64 {
    Some(settings.counter.max_request_units)
        .filter(|most| *most > 0.0)
        .unwrap_or(DEFAULT_MAX_UNITS)
}

/// A number in 16 hex digits.
fn parse_hex(word: &[u8]) -> Option<u64> {
    let is_hex = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word)
        .ok()
        .filter(|_| is_hex)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
}

/// The word at an index, empty where there is none.
fn word_at<'a>(bytes: &'a [u8], words: &Words, index: usize) -> &'a [u8] {
    words
        .get(index)
        .map_or(&[][..], |word| &bytes[word.clone()])
}

impl RequestCommand {
    /// Whether a command is one for a request, whatever else it says.
    pub(crate) fn is_named(bytes: &[u8], words: &Words) -> bool {
        let name = word_at(bytes, words, NAME_WORD);
        name.eq_ignore_ascii_case(QUERY) || name.eq_ignore_ascii_case(SUBMIT)
    }

    /// Checks the words of a command for a request, the one place where that is done: which route, whose, for how long.
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
        check_route(&parameters, is_query, settings)?;
        let plan: PlanName = parameters.plan.into();
        if !settings.plans.contains_key(&plan) {
            return Err(InvalidCommand::UnknownPlan);
        }
        if parameters.timeout_ms <= 0.0 {
            return Err(InvalidCommand::MissingTimeout);
        }
        if parameters.first_gateway.fract() + parameters.gateway_count.fract() > 0.0 {
            return Err(InvalidCommand::GatewaySet);
        }
        Ok(RequestCommand {
            bytes: bytes.into(),
            client_id,
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

    /// How many bytes it holds.
    pub(crate) fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Writes the command for an endpoint: as it came, but for how long the gateway will wait.
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

/// Checks that the settings know the route, and that the command is the one for it.
fn check_route(
    parameters: &Parameters,
    is_query: bool,
    settings: &Settings,
) -> Result<(), InvalidCommand> {
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
    Ok(())
}

/// A checked list of parameters with another timeout in it.
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
