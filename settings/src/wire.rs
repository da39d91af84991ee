//! The settings in the platform's format. The fields of these structs are the platform's keys. Only the `validate`
//! functions map the keys to the names and types of [`wellcrank::settings`], where the settings are documented. Keys
//! that end in `_ns` hold nanoseconds.

use crate::{InvalidSetting, SettingsError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::settings as typed;

/// The maximum duration, about thirty years. Longer durations are shortened to it, so that sums of durations don't
/// overflow.
const MAX_DURATION_NANOSECONDS: f64 = 1e18;

/// All settings of one gateway: the outermost JSON object.
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

/// The object `ceilings`: limits and permitted actions of the deployment.
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

/// The object `rules`: parameters of the rules on draining endpoints and on endpoints in slow start.
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

/// The object `family_info`: the shared counter and the maximum units of a request.
#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    shared_counter: bool,
    counter_timeout_ns: f64,
    units_top: f64,
}

/// An entry of the list `contracts`: a customer plan.
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

/// An entry of the list `classes`: a route.
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
    /// Converts to the gateway's types. Fails with the first invalid value.
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
            plans: validate_by_name(
                "contracts",
                &self.contracts,
                |contract| &contract.name,
                Contract::validate,
            )?,
            routes: validate_by_name(
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
            // Unknown codes are treated as the most restrictive one, here and below.
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

/// One JSON object of the settings. Validates its values and adds their place to the errors.
struct Section {
    /// The path of the object, such as `contracts[1]`; empty for the outermost object.
    place: String,
}

impl Section {
    /// Returns the outermost object.
    fn root() -> Section {
        Section {
            place: String::new(),
        }
    }

    /// Returns the object under a key of the outermost object.
    fn under_key(key: &str) -> Section {
        Section {
            place: key.to_string(),
        }
    }

    /// Returns the entry at `index` (from 0) of the list under a key of the outermost object.
    fn list_entry(list: &str, index: usize) -> Section {
        Section {
            place: format!("{list}[{index}]"),
        }
    }

    /// Returns the error for an invalid value under a key of this object.
    fn invalid(&self, key: &str, reason: InvalidSetting) -> SettingsError {
        let place = if self.place.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.place)
        };
        SettingsError { place, reason }
    }

    /// Checks that the number is finite and at least 0.
    fn non_negative(&self, key: &str, value: f64) -> Result<f64, SettingsError> {
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(key, InvalidSetting::Negative(value)))
        }
    }

    /// Checks that the number is a whole number from 0 to `u32::MAX`.
    fn count(&self, key: &str, value: f64) -> Result<u32, SettingsError> {
        if value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value) {
            Ok(value as u32)
        } else {
            Err(self.invalid(key, InvalidSetting::NotACount(value)))
        }
    }

    /// Converts nanoseconds, which must be at least 0, to a duration of at most [`MAX_DURATION_NANOSECONDS`].
    fn duration(&self, key: &str, nanoseconds: f64) -> Result<Duration, SettingsError> {
        let nanoseconds = self.non_negative(key, nanoseconds)?;
        Ok(Duration::from_nanos(
            nanoseconds.min(MAX_DURATION_NANOSECONDS) as u64,
        ))
    }

    /// Checks that the number is from 0 to 1.
    fn ratio(&self, key: &str, value: f64) -> Result<f64, SettingsError> {
        if (0.0..=1.0).contains(&value) {
            Ok(value)
        } else {
            Err(self.invalid(key, InvalidSetting::NotARatio(value)))
        }
    }
}

/// Validates the entries of a list and returns them by name. Fails with the first invalid entry or duplicate name.
fn validate_by_name<Entry, Name: Ord + for<'a> From<&'a str>, Validated>(
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
