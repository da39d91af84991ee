//! Generates random settings.

use super::pick;
use crate::named_settings;
use nanorand::{Rng, WyRand};
use wellcrank::settings::Settings;

/// The names of the plans. Some are also names of settings, which must make no difference.
pub(super) const PLANS: [&str; 3] = ["basic", "once", "plans"];
/// The names of the routes. Some are also names of settings, which must make no difference.
pub(super) const ROUTES: [&str; 4] = ["read", "rate_ns", "routes", "cap"];

/// Names of settings, each with a typical value.
type TypicalValues = &'static [(&'static str, f64)];

const GENERAL_VALUES: TypicalValues = &[
    ("gateways", 3.0),
    ("gateway_index", 1.0),
    ("timer_resolution", 0.004),
    ("limits.max_attempts", 3.0),
    ("limits.connect_timeout", 0.25),
    ("limits.idle_timeout", 30.0),
    ("counter.timeout", 0.08),
    ("counter.max_request_units", 4.0),
    ("rules.slow_start_floor", 0.2),
    ("rules.slow_start_window", 10.0),
    ("rules.overload_factor", 3.0),
    ("rules.overload_window", 1.0),
    ("rules.drain_grace", 0.5),
];
const PLAN_VALUES: TypicalValues = &[
    ("rate", 4.0),
    ("burst", 8.0),
    ("concurrency_limit", 3.0),
    ("price", 1.0),
    ("ceiling_rate", 9.0),
    ("ceiling_burst", 9.0),
];
const ROUTE_VALUES: TypicalValues = &[
    ("latency_target", 0.5),
    ("late_value_ratio", 0.2),
    ("value", 2.0),
    ("deduplication_window", 0.6),
    ("client_timeout", 2.0),
];
/// Values that no deployment would be configured with on purpose.
const EXTREME_VALUES: [f64; 7] = [0.0, 1e-12, 1e-3, 1e4, 1e18, 1e300, -1.0];
const IDEMPOTENCIES: [&str; 4] = ["idempotent", "keyed", "non_idempotent", "other"];
const DEDUPLICATION_SCOPES: [&str; 4] = ["all", "cell", "zone", ""];
const FLAGS: [&str; 2] = ["counter.present", "limits.may_cancel"];

/// Returns settings in which each number may be missing, extreme or near its typical value.
pub(super) fn random_settings(rng: &mut WyRand) -> Settings {
    let mut settings = Settings::default();
    set_numbers(&mut settings, rng, "", GENERAL_VALUES);
    for plan in PLANS {
        set_numbers(&mut settings, rng, &format!("plans.{plan}."), PLAN_VALUES);
    }
    for route in ROUTES {
        let prefix = format!("routes.{route}.");
        set_numbers(&mut settings, rng, &prefix, ROUTE_VALUES);
    }
    for route in ROUTES {
        let idempotency = pick(rng, &IDEMPOTENCIES);
        let scope = pick(rng, &DEDUPLICATION_SCOPES);
        let prefix = format!("routes.{route}");
        named_settings::set(&mut settings, &format!("{prefix}.idempotency"), idempotency);
        named_settings::set(
            &mut settings,
            &format!("{prefix}.deduplication_scope"),
            scope,
        );
    }
    for flag in FLAGS {
        let is_on = rng.generate_range(0..4u32) > 0;
        named_settings::set(&mut settings, flag, &is_on.to_string());
    }
    settings
}

fn set_numbers(
    settings: &mut Settings,
    rng: &mut WyRand,
    prefix: &str,
    typical_values: TypicalValues,
) {
    for (name, typical_value) in typical_values {
        if let Some(value) = random_value(rng, *typical_value) {
            named_settings::set(settings, &format!("{prefix}{name}"), &value.to_string());
        }
    }
}

/// Returns a random value, or `None` if the setting is to be missing.
fn random_value(rng: &mut WyRand, typical_value: f64) -> Option<f64> {
    match rng.generate_range(0..10u32) {
        0 => None,
        1 | 2 => Some(*pick(rng, &EXTREME_VALUES)),
        _ => Some(typical_value * (0.2 + 2.0 * rng.generate::<f64>())),
    }
}
