//! Load shedding: under overload, the requests with the least value per second of work are rejected first, before they
//! cause calls on the counter.

/// The share of the adaptive concurrency limit in use above which requests are shed.
const SHED_ABOVE_USE_RATIO: f64 = 0.6;

/// The share of the adaptive concurrency limit in use above which requests of a customer that floods the gateway are shed.
/// It is lower than [`SHED_ABOVE_USE_RATIO`], so that such a customer alone causes nobody else to be shed.
const SHED_FLOODING_ABOVE_USE_RATIO: f64 = 0.5;

/// The weight of one request in the moving average of the priorities.
const PRIORITY_SMOOTHING: f64 = 0.02;

/// The lowest latency by which a value is divided, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.001;

/// The latency, in seconds, that is assumed for a route without a baseline latency.
const ASSUMED_LATENCY_SECONDS: f64 = 1.0;

/// Decides which requests are shed.
#[derive(Default)]
pub(super) struct LoadShedder {
    /// The moving average of the priorities of recent requests, in value per second.
    mean_priority: f64,
}

/// Returns the priority of a request: its value divided by its route's baseline latency in seconds.
pub(super) fn priority(value: f64, baseline_latency: Option<f64>) -> f64 {
    value
        / baseline_latency
            .unwrap_or(ASSUMED_LATENCY_SECONDS)
            .max(MIN_LATENCY_SECONDS)
}

/// Returns whether a request of a customer that floods the gateway is shed while the share `use_ratio` of the adaptive
/// concurrency limit is in use.
pub(super) fn should_shed_flooding(use_ratio: f64) -> bool {
    use_ratio > SHED_FLOODING_ABOVE_USE_RATIO
}

impl LoadShedder {
    /// Returns whether a request with this priority is shed while the share `use_ratio` of the adaptive concurrency
    /// limit is in use.
    pub(super) fn should_shed(&self, priority: f64, use_ratio: f64) -> bool {
        let overload = (use_ratio - SHED_ABOVE_USE_RATIO) / (1.0 - SHED_ABOVE_USE_RATIO);
        let required = overload * self.mean_priority;
        priority < required
    }

    /// Records the priority of a request that was received.
    pub(super) fn record_priority(&mut self, priority: f64) {
        self.mean_priority += (priority - self.mean_priority) * PRIORITY_SMOOTHING;
    }
}

#[cfg(test)]
mod tests;
