//! The settings as the platform writes them. The structs here have the platform's keys, and their `validate` functions
//! are the one place that maps these to the names and types of [`wellcrank::settings`].

use crate::{InvalidSetting, SettingsError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::settings as typed;

/// The longest duration in nanoseconds, about thirty years: longer ones are cut to it, so that sums of them don't
/// overflow.
const MAX_DURATION_NANOSECONDS: f64 = 1e18;

/// All that one gateway is configured with.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Settings {
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

/// What the deployment permits.
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

/// Figures of the rules on drains and slow starts.
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

/// Facts of this kind of service: the shared counter, and what a request may count.
#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    shared_counter: bool,
    counter_timeout_ns: f64,
    units_top: f64,
}

/// A plan of customers.
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

/// A route of requests.
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

impl Settings {
    /// The typed settings, or the first value that is invalid.
    pub(crate) fn validate(&self) -> Result<typed::Settings, SettingsError> {
        let section = Section::root();
        Ok(typed::Settings {
            gateway_index: section.count("index", self.index)?,
            gateways: section.count("balancers", self.balancers)?,
            timer_resolution: section.duration("resolution_ns", self.resolution_ns)?,
            discovery: match self.registry_mode.as_str() {
                "subscribe" => typed::DiscoveryMode::Subscribe,
                _ => typed::DiscoveryMode::Push,
            },
            limits: self.ceilings.validate()?,
            rules: self.rules.validate()?,
            counter: self.family_info.validate()?,
            plans: by_name(
                "contracts",
                &self.contracts,
                |contract| &contract.name,
                Contract::validate,
            )?,
            routes: by_name(
                "classes",
                &self.classes,
                |class| &class.name,
                Class::validate,
            )?,
        })
    }
}

impl Ceilings {
    fn validate(&self) -> Result<typed::Limits, SettingsError> {
        let section = Section::under_key("ceilings");
        Ok(typed::Limits {
            max_attempts: section.count("max_attempts", self.max_attempts)?,
            max_open_requests: section.count("max_open", self.max_open)?,
            connect_timeout: section.duration("connect_timeout_ns", self.connect_timeout_ns)?,
            idle_timeout: section.duration("idle_close_ns", self.idle_close_ns)?,
            may_cancel: self.cancelling,
            sends_retry_after: self.retry_after,
            peer_messages: self.peers,
        })
    }
}

impl Rules {
    fn validate(&self) -> Result<typed::Rules, SettingsError> {
        let section = Section::under_key("rules");
        Ok(typed::Rules {
            slow_start_floor: section.ratio("cold_from", self.cold_from)?,
            slow_start_window: section.duration("cold_ns", self.cold_ns)?,
            overload_factor: section.non_negative("fall_multiple", self.fall_multiple)?,
            overload_window: section.duration("overload_for_ns", self.overload_for_ns)?,
            drain_grace: section.duration("stop_sending_within_ns", self.stop_sending_within_ns)?,
            list_refresh_interval: section.duration("ask_within_ns", self.ask_within_ns)?,
        })
    }
}

impl FamilyInfo {
    fn validate(&self) -> Result<typed::CounterSettings, SettingsError> {
        let section = Section::under_key("family_info");
        Ok(typed::CounterSettings {
            present: self.shared_counter,
            timeout: section.duration("counter_timeout_ns", self.counter_timeout_ns)?,
            max_request_units: section.non_negative("units_top", self.units_top)?,
        })
    }
}

impl Contract {
    fn validate(&self, section: &Section) -> Result<typed::Plan, SettingsError> {
        Ok(typed::Plan {
            rate: section.non_negative("refill", self.refill)?,
            burst: section.non_negative("store_size", self.store_size)?,
            concurrency_limit: f64::from(section.count("parallel", self.parallel)?),
            price: section.non_negative("value_factor", self.value_factor)?,
            ceiling_rate: section.non_negative("never_over_rate", self.never_over_rate)?,
            ceiling_burst: section.non_negative("cap_depth", self.cap_depth)?,
        })
    }
}

impl Class {
    fn validate(&self, section: &Section) -> Result<typed::Route, SettingsError> {
        Ok(typed::Route {
            // A code that is not known is taken to be the strictest.
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
            deduplication_window: section.duration("memory_span_ns", self.memory_span_ns)?,
            latency_target: section.duration("target_ns", self.target_ns)?,
            client_timeout: section.duration("deadline_ns", self.deadline_ns)?,
            value: section.non_negative("credit", self.credit)?,
            late_value_ratio: section.ratio("late_worth", self.late_worth)?,
        })
    }
}

/// One object of the settings, which validates its values and adds their place to what is wrong with them.
struct Section {
    /// Where the object stands, as in `contracts[1]`; empty for the outermost one.
    place: String,
}

impl Section {
    /// The outermost object.
    fn root() -> Section {
        Section {
            place: String::new(),
        }
    }

    /// The object under a key of the outermost one.
    fn under_key(key: &str) -> Section {
        Section {
            place: key.to_string(),
        }
    }

    /// One entry of the list under a key of the outermost object.
    fn list_entry(list: &str, index: usize) -> Section {
        Section {
            place: format!("{list}[{index}]"),
        }
    }

    /// The error for the value of a key.
    fn invalid(&self, key: &str, reason: InvalidSetting) -> SettingsError {
        let place = if self.place.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.place)
        };
        SettingsError { place, reason }
    }

    /// A number, 0 or more.
    fn non_negative(&self, key: &str, value: f64) -> Result<f64, SettingsError> {
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(key, InvalidSetting::Negative(value)))
        }
    }

    /// A whole number, 0 or more.
    fn count(&self, key: &str, value: f64) -> Result<u32, SettingsError> {
        if value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value) {
            Ok(value as u32)
        } else {
            Err(self.invalid(key, InvalidSetting::NotACount(value)))
        }
    }

    /// A duration, in nanoseconds on the wire.
    fn duration(&self, key: &str, nanoseconds: f64) -> Result<Duration, SettingsError> {
        let nanoseconds = self.non_negative(key, nanoseconds)?;
        Ok(Duration::from_nanos(
            nanoseconds.min(MAX_DURATION_NANOSECONDS) as u64,
        ))
    }

    /// A number from 0 to 1.
    fn ratio(&self, key: &str, value: f64) -> Result<f64, SettingsError> {
        if (0.0..=1.0).contains(&value) {
            Ok(value)
        } else {
            Err(self.invalid(key, InvalidSetting::NotARatio(value)))
        }
    }
}

/// A list as a map by the names of its entries, each of which must be unique.
fn by_name<Entry, Name: Ord + for<'a> From<&'a str>, Validated>(
    list: &str,
    entries: &[Entry],
    name_of: impl Fn(&Entry) -> &str,
    validate: impl Fn(&Entry, &Section) -> Result<Validated, SettingsError>,
) -> Result<BTreeMap<Name, Validated>, SettingsError> {
    let mut validated = BTreeMap::new();
    for (index, entry) in entries.iter().enumerate() {
        let section = Section::list_entry(list, index);
        let name = name_of(entry);
        let previous = validated.insert(Name::from(name), validate(entry, &section)?);
        if previous.is_some() {
            let duplicate = InvalidSetting::DuplicateName(name.to_string());
            return Err(section.invalid("name", duplicate));
        }
    }
    Ok(validated)
}
