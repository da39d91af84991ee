//! The only file that reads the system's clocks. All gateways number their stretches of time alike, so the
//! clock that they share counts: spans since the start of Unix time, moved on by the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    wall: Duration,
    at: Instant,
}

fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Clock {
    pub fn start() -> Clock {
        Clock { wall: wall(), at: Instant::now() }
    }

    /// Never goes back: where the wall clock is set back, time goes on from where it was.
    pub fn now(&self) -> Duration {
        self.wall + self.at.elapsed()
    }

    /// Follows a wall clock that is ahead, so that gateways that run for long stay together.
    pub fn follow(&mut self) {
        if wall() > self.now() {
            *self = Clock::start();
        }
    }
}
