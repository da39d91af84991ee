//! The parameters of a request: a list of names and values such as `c=render,t=basic,d=900`.

use super::command::{max_request_units, InvalidCommand};
use wellcrank::settings::Settings;

/// The names on the wire.
const ROUTE: &str = "c";
const PLAN: &str = "t";
const IDEMPOTENCY_KEY: &str = "k";
pub(super) const TIMEOUT: &str = "d";
const UNITS: &str = "units";
const FIRST_GATEWAY: &str = "first";
const GATEWAY_COUNT: &str = "spread";

/// The longest list, in bytes.
const MAX_LIST: usize = 1024;

/// The longest number, in digits.
const MAX_DIGITS: usize = 16;

/// The longest timeout that a client may state, in milliseconds: state that nobody ends must end.
const MAX_TIMEOUT_MS: f64 = 600_000.0;

/// The least timeout and the least number of units: above zero, as far as the wire can say.
const LEAST_POSITIVE: f64 = 1e-3;

/// What a list says, with what holds where it says nothing. Numbers are within their ranges where they are given.
pub(super) struct Parameters<'a> {
    pub(super) route: &'a str,
    pub(super) plan: &'a str,
    pub(super) idempotency_key: &'a str,
    /// For how long the client waits; zero where it does not say.
    pub(super) timeout_ms: f64,
    pub(super) units: f64,
    pub(super) first_gateway: f64,
    pub(super) gateway_count: f64,
}

impl<'a> Parameters<'a> {
    /// Reads a list; names that are not known are passed over.
    pub(super) fn parse(
        word: &'a [u8],
        settings: &Settings,
    ) -> Result<Parameters<'a>, InvalidCommand> {
        let list = std::str::from_utf8(word).unwrap_or_default();
        if list.len() > MAX_LIST || !list.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(InvalidCommand::UnreadableParameters);
        }
        let mut parameters = Parameters {
            route: "",
            plan: "",
            idempotency_key: "",
            timeout_ms: 0.0,
            units: 1.0,
            first_gateway: 0.0,
            gateway_count: 1.0,
        };
        let mut seen = Vec::with_capacity(8);
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or(InvalidCommand::NotParameters)?;
            if seen.contains(&name) {
                return Err(InvalidCommand::DuplicateParameter);
            }
            seen.push(name);
            parameters.set(name, value, settings)?;
        }
        Ok(parameters)
    }

    fn set(
        &mut self,
        name: &str,
        value: &'a str,
        settings: &Settings,
    ) -> Result<(), InvalidCommand> {
        let gateways = settings.gateway_count();
        match name {
            ROUTE => self.route = value,
            PLAN => self.plan = value,
            IDEMPOTENCY_KEY => self.idempotency_key = value,
            TIMEOUT => self.timeout_ms = parse_within(value, LEAST_POSITIVE, MAX_TIMEOUT_MS)?,
            UNITS => {
                self.units = parse_within(value, LEAST_POSITIVE, max_request_units(settings))?;
            }
            FIRST_GATEWAY => self.first_gateway = parse_within(value, 0.0, gateways - 1.0)?,
            GATEWAY_COUNT => self.gateway_count = parse_within(value, 1.0, gateways)?,
            _ => (),
        }
        Ok(())
    }
}

/// A number in plain decimal digits between two bounds, both included.
fn parse_within(value: &str, least: f64, most: f64) -> Result<f64, InvalidCommand> {
    let is_plain = value.len() <= MAX_DIGITS
        && value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    value
        .parse()
        .ok()
        .filter(|number: &f64| is_plain && (least..=most).contains(number))
        .ok_or(InvalidCommand::Number)
}
