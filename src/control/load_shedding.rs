//! Load shedding: in overload the requests that are worth least for their work are refused first, before they cost calls
//! on the counter.

/// The part of the concurrency limit in use from which requests are shed.
const SHED_ABOVE_USE: f64 = 0.6;

/// What a request moves the mean priority by.
const PRIORITY_SMOOTHING: f64 = 0.02;

/// The least latency that a value is measured against, in seconds.
const MIN_LATENCY: f64 = 0.001;

/// The latency that is assumed of a route of which nothing is known, in seconds.
const ASSUMED_LATENCY: f64 = 1.0;

/// What decides which requests are shed.
#[derive(Default)]
pub(super) struct LoadShedder {
    /// The mean priority of recent requests.
    mean_priority: f64,
}

/// What a request is worth for its work: its value over its route's baseline latency in seconds.
pub(super) fn priority(value: f64, baseline_latency: Option<f64>) -> f64 {
    value / baseline_latency.unwrap_or(ASSUMED_LATENCY).max(MIN_LATENCY)
}

impl LoadShedder {
    /// Whether a request of that priority is shed, with `use_ratio` of the concurrency limit in use.
    pub(super) fn should_shed(&self, priority: f64, use_ratio: f64) -> bool {
        let overload = (use_ratio - SHED_ABOVE_USE) / (1.0 - SHED_ABOVE_USE);
        let required = overload * self.mean_priority;
        priority < required
    }

    /// A request of that priority has come in.
    pub(super) fn record_priority(&mut self, priority: f64) {
        self.mean_priority += (priority - self.mean_priority) * PRIORITY_SMOOTHING;
    }
}

#[cfg(test)]
mod tests;
