//! The end of a gateway that was told to stop: until when it may go on as before, and by when everything that it has
//! taken must be answered, since it is killed then.

use std::time::Duration;
use wellcrank::settings::Settings;

/// The platform kills no sooner than the longest client timeout, counted as `LONGEST` where it is longer, and `MORE`
/// after it told the gateway to stop. `SOONER` is kept for the answers' way out.
const LONGEST: Duration = Duration::from_secs(3);
const MORE: Duration = Duration::from_millis(700);
/// The gateway may be held up once for 150 ms, and looks at each tick only.
const SOONER: Duration = Duration::from_millis(240);

/// Others connect for as long as 0.4 s after it, and every time limit is 50 ms longer.
const NOTICE: Duration = Duration::from_millis(450);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GracefulShutdown {
    asked: Duration,
    /// From then on connections are closed between two API calls: others have had the time to connect and to notice.
    pub closes: Duration,
    /// From then on every API call is answered at once.
    pub answers: Duration,
}

impl GracefulShutdown {
    /// Told to stop at `now`.
    pub fn new(now: Duration, settings: &Settings) -> GracefulShutdown {
        GracefulShutdown {
            asked: now,
            closes: now + NOTICE,
            answers: answers(now, settings),
        }
    }

    /// Other settings: the platform may go by the shorter client timeouts of the two.
    pub fn shorten(&mut self, settings: &Settings) {
        self.answers = self.answers.min(answers(self.asked, settings));
    }
}

fn answers(asked: Duration, settings: &Settings) -> Duration {
    asked + settings.longest_timeout().min(LONGEST) + (MORE - SOONER)
}

#[cfg(test)]
mod tests;
