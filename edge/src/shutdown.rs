//! The graceful shutdown of a gateway that was told to stop: until when it serves as before, and by when everything
//! that it has taken must be answered, since the platform kills it then.

use std::time::Duration;
use wellcrank::settings::Settings;

/// The platform kills no sooner than the longest client timeout, up to this, and [`KILL_GRACE`] after it told the
/// gateway to stop. Source: the operators' terms.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long beyond the longest client timeout the platform waits before it kills. Source: the operators' terms.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// How long before the kill everything is answered, so that the answers still go out: the gateway may stall once for
/// 150 ms, and looks for what is due at each tick only.
const ANSWER_MARGIN: Duration = Duration::from_millis(240);

/// For how long the gateway serves as before: others connect for as long as 0.4 s after it was told to stop, and every
/// time limit is 50 ms longer.
const DRAIN_DELAY: Duration = Duration::from_millis(450);

/// The times of a shutdown, by the gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GracefulShutdown {
    requested_at: Duration,
    /// From then on connections are ended between two requests: others have had the time to connect and to notice.
    pub(crate) drain_from: Duration,
    /// From then on every request is answered at once.
    pub(crate) answer_by: Duration,
}

impl GracefulShutdown {
    /// A shutdown that is requested at `now`.
    pub(crate) fn new(now: Duration, settings: &Settings) -> GracefulShutdown {
        GracefulShutdown {
            requested_at: now,
            drain_from: now + DRAIN_DELAY,
            answer_by: answer_by(now, settings),
        }
    }

    /// Other settings hold: the platform may go by the shorter client timeouts of the two.
    pub(crate) fn shorten(&mut self, settings: &Settings) {
        self.answer_by = self.answer_by.min(answer_by(self.requested_at, settings));
    }
}

/// By when everything must be answered after a shutdown was requested.
fn answer_by(requested_at: Duration, settings: &Settings) -> Duration {
    let client_timeout = settings.max_client_timeout().min(MAX_CLIENT_TIMEOUT);
    requested_at + client_timeout + (KILL_GRACE - ANSWER_MARGIN)
}

#[cfg(test)]
mod tests;
