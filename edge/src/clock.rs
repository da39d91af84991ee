//! The only file that reads the system's clocks. Two of them, with a type each: spans are measured by the monotonic
//! clock (`Duration`, counted from a moment that the process chose at its start), and starts of endpoints come in the
//! wall clock's time ([`UnixTime`]).
//!
//! The wall clock may be stepped. No span follows it. The monotonic count begins at the Unix time of the process's start,
//! since all gateways number their windows by it; a step changes neither a window nor its number, so that leases and
//! units stay where they were counted. Trade-off: a gateway whose wall clock was wrong when it started numbers its
//! windows apart from the others until it starts again; the step that corrects the clock is logged.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wellcrank::port::UnixTime;

/// A wall clock that has moved by more than this against the monotonic one was stepped.
const MIN_STEP: Duration = Duration::from_millis(100);

/// The gateway's clocks.
pub(crate) struct Clock {
    /// Unix time at the start, by the wall clock of that moment.
    origin: Duration,
    start: Instant,
    /// By how much the wall clock was behind the monotonic count, at the most so far.
    max_behind: Duration,
    /// The wall clock against the monotonic count at the last check.
    last_offset: WallClockOffset,
}

/// A wall clock against the monotonic count; at least one of the two is zero.
#[derive(Clone, Copy, Default)]
struct WallClockOffset {
    ahead: Duration,
    behind: Duration,
}

impl WallClockOffset {
    /// The seconds by which the wall clock is ahead; negative where it is behind.
    fn seconds_ahead(self) -> f64 {
        self.ahead.as_secs_f64() - self.behind.as_secs_f64()
    }
}

/// What the wall clock shows, since the start of Unix time.
fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock {
            origin: wall_clock(),
            start: Instant::now(),
            max_behind: Duration::ZERO,
            last_offset: WallClockOffset::default(),
        }
    }

    /// The monotonic count.
    pub(crate) fn now(&self) -> Duration {
        self.origin + self.start.elapsed()
    }

    /// Unix time by the slowest wall clock that was seen: an endpoint is never taken for older than it may be, whichever
    /// side of a step was wrong. Trade-off: after a step back, an endpoint that had started before it is in slow start
    /// for longer.
    pub(crate) fn unix_now(&self) -> UnixTime {
        UnixTime(self.now().saturating_sub(self.max_behind))
    }

    /// Compares the wall clock with the monotonic count. Returns by how many seconds it was stepped since the last
    /// check, if it was.
    pub(crate) fn detect_step(&mut self) -> Option<f64> {
        let wall_clock = wall_clock();
        let monotonic = self.now();
        let offset = WallClockOffset {
            ahead: wall_clock.saturating_sub(monotonic),
            behind: monotonic.saturating_sub(wall_clock),
        };
        self.max_behind = self.max_behind.max(offset.behind);
        let step = offset.seconds_ahead() - self.last_offset.seconds_ahead();
        self.last_offset = offset;
        (step.abs() > MIN_STEP.as_secs_f64()).then_some(step)
    }
}
