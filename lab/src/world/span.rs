//! Conversion of the durations in experiments, and values that expire.

use std::time::Duration;

/// A value that expires: it counts as 0 from `until` on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimedValue {
    /// When the value expires.
    pub(super) until: Duration,
    /// The value before it expires.
    pub(super) value: f64,
}

impl TimedValue {
    /// Returns the value at the time `now`.
    pub(super) fn at(self, now: Duration) -> f64 {
        if now < self.until {
            self.value
        } else {
            0.0
        }
    }
}

/// Converts seconds into a duration. The number is limited to the range from 0 to 10^9 (about thirty years).
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
}

/// Converts milliseconds into a duration, limited like [`seconds`].
pub(super) fn milliseconds(milliseconds: f64) -> Duration {
    seconds(milliseconds / 1e3)
}
