//! The parameters of a request: a list of names and values such as `c=render,t=basic,d=900`.

use super::command::{max_request_units, InvalidCommand};
use wellcrank::settings::Settings;

/// The names of the parameters on the wire.
const ROUTE: &str = "c";
const PLAN: &str = "t";
const IDEMPOTENCY_KEY: &str = "k";
pub(super) const TIMEOUT: &str = "d";
const UNITS: &str = "units";
const FIRST_GATEWAY: &str = "first";
const GATEWAY_COUNT: &str = "spread";

/// The maximum length of a list, in bytes.
pub(super) const MAX_LIST_BYTES: usize = 1024;

/// The maximum length of a number in characters, including a decimal point.
pub(super) const MAX_NUMBER_LENGTH: usize = 16;

/// The longest timeout that a client may state, in milliseconds. It bounds how long the gateway keeps the state of a
/// request that nothing else ends.
pub(super) const MAX_TIMEOUT_MS: f64 = 600_000.0;

/// The lower bound of timeouts, in milliseconds, and of units: both must be above zero.
pub(super) const MIN_POSITIVE_NUMBER: f64 = 1e-3;

/// The parameters in a list, with defaults for those that it leaves out. Numbers that are given are within their
/// ranges.
pub(super) struct Parameters<'a> {
    pub(super) route: &'a str,
    pub(super) plan: &'a str,
    /// Empty if the list states no key.
    pub(super) idempotency_key: &'a str,
    /// How long the client waits, in milliseconds; zero if the list does not say.
    pub(super) timeout_ms: f64,
    pub(super) units: f64,
    /// The index of the first gateway that receives the customer's requests; 0 by default.
    pub(super) first_gateway: f64,
    /// How many gateways receive them; 1 by default.
    pub(super) gateway_count: f64,
}

impl<'a> Parameters<'a> {
    /// Parses a list. Unknown names are ignored.
    pub(super) fn parse(
        word: &'a [u8],
        settings: &Settings,
    ) -> Result<Parameters<'a>, InvalidCommand> {
        let list = std::str::from_utf8(word).unwrap_or_default();
        if list.len() > MAX_LIST_BYTES || !list.bytes().all(|byte| byte.is_ascii_graphic()) {
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
            let (name, value) = pair
                .split_once('=')
                .ok_or(InvalidCommand::ParameterWithoutValue)?;
            if seen.contains(&name) {
                return Err(InvalidCommand::DuplicateParameter);
            }
            seen.push(name);
            parameters.set(name, value, settings)?;
        }
        Ok(parameters)
    }

    /// Sets the parameter of this name, after checking its number against the range.
    fn set(
        &mut self,
        name: &str,
        value: &'a str,
        settings: &Settings,
    ) -> Result<(), InvalidCommand> {
        let total_gateways = settings.gateway_count();
        match name {
            ROUTE => self.route = value,
            PLAN => self.plan = value,
            IDEMPOTENCY_KEY => self.idempotency_key = value,
            TIMEOUT => {
                self.timeout_ms = parse_within(value, MIN_POSITIVE_NUMBER, MAX_TIMEOUT_MS)
                    .ok_or(InvalidCommand::InvalidTimeout)?;
            }
            UNITS => {
                self.units = parse_within(value, MIN_POSITIVE_NUMBER, max_request_units(settings))
                    .ok_or(InvalidCommand::InvalidUnits)?;
            }
            FIRST_GATEWAY => {
                self.first_gateway = parse_within(value, 0.0, total_gateways - 1.0)
                    .ok_or(InvalidCommand::InvalidFirstGateway)?;
            }
            GATEWAY_COUNT => {
                self.gateway_count = parse_within(value, 1.0, total_gateways)
                    .ok_or(InvalidCommand::InvalidGatewayCount)?;
            }
            _ => (),
        }
        Ok(())
    }
}

/// Parses a number in plain decimal digits, without a sign or an exponent, from `min` to `max`. Returns `None`
/// for any other text.
fn parse_within(value: &str, min: f64, max: f64) -> Option<f64> {
    let is_plain = value.len() <= MAX_NUMBER_LENGTH
        && value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    value
        .parse()
        .ok()
        .filter(|number: &f64| is_plain && (min..=max).contains(number))
}
