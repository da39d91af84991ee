//! The clock of real-time runs. No other module of the laboratory reads the system's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from its start.
pub struct Clock {
    started: Instant,
    /// The wall-clock time at `started`, since the Unix epoch.
    started_unix: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        let started_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_unix,
        }
    }

    /// Returns the time since the start of this clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time of this clock into Unix time in milliseconds. The wall clock was read once, when this clock was
    /// started; later steps of the wall clock have no effect.
    pub fn unix_ms(&self, moment: Duration) -> u64 {
        (self.started_unix + moment).as_millis() as u64
    }
}
