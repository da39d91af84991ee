//! The only module that reads the system's clocks. Each of the two has its own type: durations are measured with the
//! monotonic clock (`Duration`, see [`Clock::now`]), and start times of endpoints are wall-clock times ([`UnixTime`]).
//!
//! The wall clock may be stepped, so no duration is computed from it. The monotonic time begins at the Unix time of the
//! process's start, because all gateways number their windows by it. A step changes neither the length nor the number of a
//! window, so leases and units stay in the window in which they were counted. Trade-off: a gateway whose wall clock was
//! wrong at start-up numbers its windows differently from the other gateways until it is restarted. The step that corrects
//! the wall clock is logged.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wellcrank::port::UnixTime;

/// The smallest change of the wall clock relative to the monotonic clock that counts as a step.
const MIN_STEP: Duration = Duration::from_millis(100);

/// The gateway's clocks, and the offset between them.
pub(crate) struct Clock {
    /// The wall-clock time at the start, since the Unix epoch.
    unix_time_at_start: Duration,
    started_at: Instant,
    /// The largest time so far by which the wall clock was behind the monotonic time.
    max_behind: Duration,
    /// The offset of the wall clock at the latest check.
    last_offset: WallClockOffset,
}

/// The offset of the wall clock from the monotonic time; at least one of the two fields is zero.
#[derive(Clone, Copy, Default)]
struct WallClockOffset {
    ahead: Duration,
    behind: Duration,
}

impl WallClockOffset {
    /// Returns the seconds by which the wall clock is ahead, which are negative if it is behind.
    fn seconds_ahead(self) -> f64 {
        self.ahead.as_secs_f64() - self.behind.as_secs_f64()
    }
}

/// Returns the wall-clock time since the Unix epoch, or zero if the wall clock is set to an earlier time.
fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl Clock {
    /// Returns a clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock {
            unix_time_at_start: wall_clock(),
            started_at: Instant::now(),
            max_behind: Duration::ZERO,
            last_offset: WallClockOffset::default(),
        }
    }

    /// Returns the monotonic time: the Unix time at the start plus the time elapsed since then.
    pub(crate) fn now(&self) -> Duration {
        self.unix_time_at_start + self.started_at.elapsed()
    }

    /// Returns the Unix time according to the smallest offset of the wall clock so far. An endpoint is therefore never
    /// considered older than it may be, whether the wall clock was wrong before or after a step. Trade-off: after a step
    /// back, an endpoint that started before the step stays in slow start for longer.
    pub(crate) fn unix_now(&self) -> UnixTime {
        UnixTime(self.now().saturating_sub(self.max_behind))
    }

    /// Compares the wall clock with the monotonic time. Returns the seconds by which the wall clock was stepped since the
    /// latest check, or `None` if it was not stepped.
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
