//! The latency of each type of machine against the routes' baselines, as one endpoint is seen too seldom.

use std::collections::BTreeMap;

/// What an attempt moves the ratio of its endpoint's machine type by.
const MACHINE_TYPE_SMOOTHING: f64 = 0.05;

/// The least ratio that one attempt counts for.
const MIN_RATIO: f64 = 0.2;

/// The highest ratio that one attempt counts for.
const MAX_RATIO: f64 = 10.0;

/// Latency ratios by machine type.
#[derive(Default)]
pub(super) struct MachineTypeLatencies {
    ratios: BTreeMap<String, f64>,
}

impl MachineTypeLatencies {
    /// The ratio of a machine type; 1 where nothing is known of it.
    pub(super) fn ratio(&self, machine_type: &str) -> f64 {
        self.ratios.get(machine_type).copied().unwrap_or(1.0)
    }

    /// An attempt at a machine of that type took `ratio` times its route's baseline: moves the ratio of the type, and
    /// gives the attempt's ratio against that of the type so far.
    pub(super) fn record(&mut self, machine_type: &str, ratio: f64) -> f64 {
        let type_ratio = self.ratios.entry(machine_type.to_string()).or_insert(1.0);
        let against_type = (ratio / *type_ratio).clamp(MIN_RATIO, MAX_RATIO);
        let clamped = ratio.clamp(MIN_RATIO, MAX_RATIO);
        *type_ratio += (clamped - *type_ratio) * MACHINE_TYPE_SMOOTHING;
        against_type
    }
}
