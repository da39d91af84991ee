//! The times of the graceful shutdown of a gateway: when it stops serving as before, and when all requests must be
//! answered, since the platform kills the process soon after.

use std::time::Duration;
use wellcrank::settings::Settings;

/// The longest client timeout that the platform takes into account. It kills the process no earlier than the shorter of
/// this and the longest client timeout of the settings, plus [`KILL_GRACE`], after it told the gateway to stop. Source:
/// the operators' terms.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the platform waits after the longest client timeout before it kills the process. Source: the operators'
/// terms.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// How long before the kill all requests are answered, so that the answers can still be written: the gateway may stall
/// once for 150 ms, and checks the time only at each tick.
const ANSWER_MARGIN: Duration = Duration::from_millis(240);

/// How long the gateway serves as before: clients still connect for up to 0.4 s after it was told to stop, and every
/// time limit may be exceeded by 50 ms.
const DRAIN_DELAY: Duration = Duration::from_millis(450);

/// The times of a shutdown, as durations on the gateway's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GracefulShutdown {
    /// When the gateway was told to stop.
    requested_at: Duration,
    /// From this time on, connections are closed between two requests: clients have had time to notice the shutdown.
    pub(crate) drain_from: Duration,
    /// From this time on, every request is answered at once.
    pub(crate) answer_by: Duration,
}

impl GracefulShutdown {
    /// Computes the times of a shutdown that is requested at `now`.
    pub(crate) fn new(now: Duration, settings: &Settings) -> GracefulShutdown {
        GracefulShutdown {
            requested_at: now,
            drain_from: now + DRAIN_DELAY,
            answer_by: answer_by(now, settings),
        }
    }

    /// Applies new settings. The time to answer by is never moved later, since the platform may go by the old or by the
    /// new client timeouts.
    pub(crate) fn shorten(&mut self, settings: &Settings) {
        self.answer_by = self.answer_by.min(answer_by(self.requested_at, settings));
    }
}

/// When all requests must be answered if a shutdown was requested at `requested_at`.
fn answer_by(requested_at: Duration, settings: &Settings) -> Duration {
    let client_timeout = settings.max_client_timeout().min(MAX_CLIENT_TIMEOUT);
    requested_at + client_timeout + (KILL_GRACE - ANSWER_MARGIN)
}

#[cfg(test)]
mod tests;
