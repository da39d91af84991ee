//! The platform's names for the settings, and the checks of what they hold.

use crate::SettingsError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::settings as typed;

/// No span is longer than thirty years, so that sums of them stay sound.
const LONGEST_NS: f64 = 1e18;

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Settings {
    index: f64,
    balancers: f64,
    resolution_ns: f64,
    registry_mode: String,
    ceilings: Ceilings,
    rules: Rules,
    family_info: FamilyInfo,
    contracts: Vec<Contract>,
    classes: Vec<Class>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Ceilings {
    max_attempts: f64,
    max_open: f64,
    connect_timeout_ns: f64,
    idle_close_ns: f64,
    cancelling: bool,
    retry_after: bool,
    peers: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    cold_from: f64,
    cold_ns: f64,
    fall_multiple: f64,
    overload_for_ns: f64,
    stop_sending_within_ns: f64,
    ask_within_ns: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    shared_counter: bool,
    counter_timeout_ns: f64,
    units_top: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Contract {
    name: String,
    refill: f64,
    store_size: f64,
    parallel: f64,
    value_factor: f64,
    never_over_rate: f64,
    cap_depth: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Class {
    name: String,
    repeat: String,
    group: String,
    memory_span_ns: f64,
    target_ns: f64,
    deadline_ns: f64,
    credit: f64,
    late_worth: f64,
}

/// Reads the fields of one part of the settings, with its place for complaints.
struct Part<'a>(&'a str);

impl Part<'_> {
    fn wrong<T>(&self, field: &str, reason: String) -> Result<T, SettingsError> {
        let dot = if self.0.is_empty() { "" } else { "." };
        Err(SettingsError {
            place: format!("{}{dot}{field}", self.0),
            reason,
        })
    }

    fn amount(&self, field: &str, value: f64) -> Result<f64, SettingsError> {
        match value.is_finite() && value >= 0.0 {
            true => Ok(value),
            false => self.wrong(
                field,
                format!("{value} is below nothing; expected 0 or more"),
            ),
        }
    }

    fn whole(&self, field: &str, value: f64) -> Result<u32, SettingsError> {
        match value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value) {
            true => Ok(value as u32),
            false => self.wrong(
                field,
                format!("{value} is no count; expected a whole number, 0 or more"),
            ),
        }
    }

    fn span(&self, field: &str, nanoseconds: f64) -> Result<Duration, SettingsError> {
        Ok(Duration::from_nanos(
            self.amount(field, nanoseconds)?.min(LONGEST_NS) as u64,
        ))
    }

    fn share(&self, field: &str, value: f64) -> Result<f64, SettingsError> {
        match (0.0..=1.0).contains(&value) {
            true => Ok(value),
            false => self.wrong(field, format!("{value} is no share; expected 0 to 1")),
        }
    }
}

impl Settings {
    /// The typed settings, or the first thing that can't be meant.
    pub fn check(self) -> Result<typed::Settings, SettingsError> {
        let part = Part("");
        Ok(typed::Settings {
            gateway_index: part.whole("index", self.index)?,
            gateways: part.whole("balancers", self.balancers)?,
            timer_resolution: part.span("resolution_ns", self.resolution_ns)?,
            discovery: match self.registry_mode.as_str() {
                "subscribe" => typed::DiscoveryMode::Subscribe,
                _ => typed::DiscoveryMode::Push,
            },
            limits: self.ceilings.check()?,
            rules: self.rules.check()?,
            counter: self.family_info.check()?,
            plans: named(
                "contracts",
                self.contracts,
                |plan| plan.name.clone(),
                Contract::check,
            )?,
            routes: named(
                "classes",
                self.classes,
                |route| route.name.clone(),
                Class::check,
            )?,
        })
    }
}

/// A list as a map by its entries' names, each of which stands once.
fn named<Entry, Name: Ord + for<'a> From<&'a str>, Typed>(
    list: &str,
    entries: Vec<Entry>,
    name: impl Fn(&Entry) -> String,
    check: impl Fn(Entry, &str) -> Result<Typed, SettingsError>,
) -> Result<BTreeMap<Name, Typed>, SettingsError> {
    let mut typed = BTreeMap::new();
    for (number, entry) in entries.into_iter().enumerate() {
        let (place, name) = (format!("{list}[{number}]"), name(&entry));
        let checked = check(entry, &place)?;
        if typed.insert(Name::from(name.as_str()), checked).is_some() {
            return Part(&place).wrong(
                "name",
                format!("'{name}' stands twice; expected a name of its own"),
            );
        }
    }
    Ok(typed)
}

impl Ceilings {
    fn check(self) -> Result<typed::Limits, SettingsError> {
        let part = Part("ceilings");
        Ok(typed::Limits {
            max_attempts: part.whole("max_attempts", self.max_attempts)?,
            max_open_requests: part.whole("max_open", self.max_open)?,
            connect_timeout: part.span("connect_timeout_ns", self.connect_timeout_ns)?,
            idle_timeout: part.span("idle_close_ns", self.idle_close_ns)?,
            may_cancel: self.cancelling,
            sends_retry_after: self.retry_after,
            peer_messages: self.peers,
        })
    }
}

impl Rules {
    fn check(self) -> Result<typed::Rules, SettingsError> {
        let part = Part("rules");
        Ok(typed::Rules {
            slow_start_floor: part.share("cold_from", self.cold_from)?,
            slow_start_window: part.span("cold_ns", self.cold_ns)?,
            overload_factor: part.amount("fall_multiple", self.fall_multiple)?,
            overload_window: part.span("overload_for_ns", self.overload_for_ns)?,
            drain_grace: part.span("stop_sending_within_ns", self.stop_sending_within_ns)?,
            list_refresh_interval: part.span("ask_within_ns", self.ask_within_ns)?,
        })
    }
}

impl FamilyInfo {
    fn check(self) -> Result<typed::CounterSettings, SettingsError> {
        let part = Part("family_info");
        Ok(typed::CounterSettings {
            present: self.shared_counter,
            timeout: part.span("counter_timeout_ns", self.counter_timeout_ns)?,
            max_request_units: part.amount("units_top", self.units_top)?,
        })
    }
}

impl Contract {
    fn check(self, place: &str) -> Result<typed::Plan, SettingsError> {
        let part = Part(place);
        Ok(typed::Plan {
            rate: part.amount("refill", self.refill)?,
            burst: part.amount("store_size", self.store_size)?,
            concurrency_limit: f64::from(part.whole("parallel", self.parallel)?),
            price: part.amount("value_factor", self.value_factor)?,
            ceiling_rate: part.amount("never_over_rate", self.never_over_rate)?,
            ceiling_burst: part.amount("cap_depth", self.cap_depth)?,
        })
    }
}

impl Class {
    fn check(self, place: &str) -> Result<typed::Route, SettingsError> {
        let part = Part(place);
        Ok(typed::Route {
            // An effect that is not known is taken to be the strictest; so is a group.
            idempotency: match self.repeat.as_str() {
                "repeatable" => typed::Idempotency::Idempotent,
                "by_key" => typed::Idempotency::Keyed,
                _ => typed::Idempotency::NonIdempotent,
            },
            deduplication_scope: match self.group.as_str() {
                "all" => typed::DeduplicationScope::All,
                "zone" => typed::DeduplicationScope::Zone,
                _ => typed::DeduplicationScope::Cell,
            },
            deduplication_window: part.span("memory_span_ns", self.memory_span_ns)?,
            latency_target: part.span("target_ns", self.target_ns)?,
            client_timeout: part.span("deadline_ns", self.deadline_ns)?,
            value: part.amount("credit", self.credit)?,
            late_value_ratio: part.share("late_worth", self.late_worth)?,
        })
    }
}
