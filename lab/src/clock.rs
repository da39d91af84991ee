//! The only module of the laboratory that reads the system's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that counts from the first moment of a run.
pub struct Clock {
    started: Instant,
    /// The wall clock at that moment, since the start of Unix time.
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

    /// How long ago it was started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The Unix time in milliseconds of a moment of this clock; later steps of the wall clock don't change it.
    pub fn unix_ms(&self, moment: Duration) -> u64 {
        (self.started_unix + moment).as_millis() as u64
    }
}
