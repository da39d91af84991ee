//! The only file that reads the system's clocks. Two of them, with a type each: spans are measured by the monotonic
//! clock (`Duration`, counted from a moment that the process chose at its start), and starts of servers are told in the
//! wall clock's time ([`UnixTime`]).
//!
//! The wall clock may be stepped. No span follows it. The monotonic count begins at the Unix time of the process's start,
//! since all gateways number their windows by it; a step changes neither a window nor its number, so that holds and
//! units stay where they were counted. Harm: a gateway whose wall clock was wrong when it started numbers its windows
//! apart from the others until it starts again; the step that corrects the clock is logged.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wellcrank::port::UnixTime;

/// A wall clock that has moved by more than this against the monotonic one was stepped.
const STEP: Duration = Duration::from_millis(100);

pub struct Clock {
    /// Unix time at the start, by the wall clock of that moment.
    origin: Duration,
    start: Instant,
    /// By how much the wall clock was behind the monotonic count, at the most so far.
    behind: Duration,
    /// Where the wall clock was against the monotonic count at the last look.
    ahead_by: Offset,
}

/// A wall clock against the monotonic count: ahead of it by the first, or behind it by the second.
type Offset = (Duration, Duration);

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl Clock {
    pub fn start() -> Clock {
        let zero = Duration::ZERO;
        Clock {
            origin: wall(),
            start: Instant::now(),
            behind: zero,
            ahead_by: (zero, zero),
        }
    }

    /// The monotonic count.
    pub fn now(&self) -> Duration {
        self.origin + self.start.elapsed()
    }

    /// Unix time by the slowest wall clock that was seen: a server is never taken for older than it may be, whichever
    /// side of a step was wrong. Harm: one that started before it was told is ramped for longer behind a step back.
    pub fn unix_now(&self) -> UnixTime {
        UnixTime(self.now().saturating_sub(self.behind))
    }

    /// Looks where the wall clock is. Says by how much it was stepped since the last look, in seconds.
    pub fn look(&mut self) -> Option<f64> {
        let (wall, own) = (wall(), self.now());
        let offset = (wall.saturating_sub(own), own.saturating_sub(wall));
        self.behind = self.behind.max(offset.1);
        let before = std::mem::replace(&mut self.ahead_by, offset);
        let seconds = |offset: Offset| offset.0.as_secs_f64() - offset.1.as_secs_f64();
        let step = seconds(offset) - seconds(before);
        (step.abs() > STEP.as_secs_f64()).then_some(step)
    }
}
