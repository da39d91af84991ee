//! The latency of each machine type relative to the routes' baselines. A single endpoint gets too few of this gateway's
//! attempts to learn it alone.

use std::collections::BTreeMap;

/// The weight of one attempt in the moving average of its machine type's ratio.
const MACHINE_TYPE_SMOOTHING: f64 = 0.05;

/// The lowest ratio that one attempt counts as.
const MIN_RATIO: f64 = 0.2;

/// The highest ratio that one attempt counts as.
const MAX_RATIO: f64 = 10.0;

/// Latency ratios by machine type: latency divided by the route's baseline latency, as a moving average.
#[derive(Default)]
pub(super) struct MachineTypeLatencies {
    ratios: BTreeMap<String, f64>,
}

impl MachineTypeLatencies {
    /// Returns the ratio of a machine type, or 1 if it has no attempts yet.
    pub(super) fn ratio(&self, machine_type: &str) -> f64 {
        self.ratios.get(machine_type).copied().unwrap_or(1.0)
    }

    /// Records an attempt that took `ratio` times its route's baseline on a machine of this type. Returns the attempt's
    /// ratio divided by the type's ratio before this attempt.
    pub(super) fn record(&mut self, machine_type: &str, ratio: f64) -> f64 {
        let type_ratio = self.ratios.entry(machine_type.to_string()).or_insert(1.0);
        let relative_to_type = (ratio / *type_ratio).clamp(MIN_RATIO, MAX_RATIO);
        let clamped = ratio.clamp(MIN_RATIO, MAX_RATIO);
        *type_ratio += (clamped - *type_ratio) * MACHINE_TYPE_SMOOTHING;
        relative_to_type
    }
}
