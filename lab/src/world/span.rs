//! Spans of time as experiments give them, and values that hold for a while.

use std::time::Duration;

/// A value that holds for a while; 0 afterwards.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimedValue {
    /// Until when it holds.
    pub(super) until: Duration,
    /// The value.
    pub(super) value: f64,
}

impl TimedValue {
    /// The value at a time.
    pub(super) fn at(self, now: Duration) -> f64 {
        if now < self.until {
            self.value
        } else {
            0.0
        }
    }
}

/// A span of seconds; spans that make no sense are cut to what does.
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
}

/// A span of milliseconds.
pub(super) fn milliseconds(milliseconds: f64) -> Duration {
    seconds(milliseconds / 1e3)
}
