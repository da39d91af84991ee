//! The only file of the laboratory that reads the system's clocks. A day counts from its first moment.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    start: Instant,
    wall: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            wall,
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Unix time in milliseconds of a moment of the day.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        (self.wall + at).as_millis() as u64
    }
}
