//! The only file that reads the system's clocks. All gateways number their stretches of time alike, so the
//! clock that they share counts: spans since the start of Unix time, moved on by the monotonic clock.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far the clock goes back at a time, by standing still for so long.
const BACK: Duration = Duration::from_millis(10);

pub struct Clock {
    wall: Duration,
    at: Instant,
    last: Cell<Duration>,
}

fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Clock {
    pub fn start() -> Clock {
        Clock { wall: wall(), at: Instant::now(), last: Cell::default() }
    }

    /// Never goes back.
    pub fn now(&self) -> Duration {
        self.last.set(self.last.get().max(self.wall + self.at.elapsed()));
        self.last.get()
    }

    /// Follows the wall clock, so that gateways that run for long stay together: at once where that is ahead,
    /// little by little where it is behind.
    pub fn follow(&mut self) {
        let (wall, own) = (wall(), self.wall + self.at.elapsed());
        self.wall += wall.saturating_sub(own);
        self.wall = self.wall.saturating_sub(own.saturating_sub(wall).min(BACK));
    }
}
