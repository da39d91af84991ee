//! What a gateway knows of a customer that comes through hundreds of gateways: how much all of them together are
//! asked for, read off the totals on the shared counter. One gateway sees such a customer every so many seconds, far
//! too seldom to judge it by what comes here; the totals tell of all.

use std::time::Duration;

/// So long a look counts in full beside a newer one of the same length; older ones fade.
const MEMORY: f64 = 8.0;
/// Of a rate, what is let by: an estimate that is now too high and now too low lets by too much on the whole.
const CAREFUL: f64 = 0.9;
/// Before the first look it was taken to ask for nothing for so long, in seconds: most are calm.
const CALM: f64 = 1.0;
/// A customer not looked at for so long is not known.
const STALE: Duration = Duration::from_secs(40);

/// A customer's use over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sight {
    /// Units a second that all gateways together were asked for, and over how many seconds that was seen.
    usage: f64,
    weight: f64,
    at: Option<Duration>,
    /// Units asked for here and not told to the counter yet.
    pub untold: f64,
}

impl Sight {
    /// A total was met: so many units of others since a window began `elapsed` seconds ago. What is asked for just
    /// now is not among them: it would make every customer that is looked at seem busy.
    pub fn met(&mut self, now: Duration, total: f64, elapsed: f64) {
        let faded = |at: Duration| self.weight * (-now.saturating_sub(at).as_secs_f64() / MEMORY).exp();
        let old = self.at.map_or(CALM, faded);
        let all = old + elapsed.max(0.05);
        self.usage = (self.usage * old + total.max(0.0)) / all;
        (self.weight, self.at) = (all.min(MEMORY), Some(now));
    }

    /// How long ago it was looked at; none if never.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// The share of its API calls that fits a rate; none if it is not known.
    pub fn share(&self, now: Duration, rate: f64) -> Option<f64> {
        let known = self.at.is_some_and(|at| at + STALE > now);
        let fits = rate * CAREFUL;
        known.then(|| if self.usage > fits { fits / self.usage } else { 1.0 })
    }

    /// How full its store of units is likely to be, from 0 to 1: who uses all of its rate has left nothing in it.
    pub fn fullness(&self, rate: f64) -> f64 {
        (2.0 * (1.0 - self.usage / rate.max(1e-9))).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    #[test]
    fn one_look_tells_and_more_are_weighed_by_length_and_age() {
        let mut sight = Sight::default();
        assert_eq!(sight.share(at(1.0), 10.0), None);
        sight.met(at(1.0), 40.0, 2.0);
        // 40 units in 2 s and 1 s of nothing.
        assert_eq!(sight.share(at(1.0), 10.0), Some(9.0 / (40.0 / 3.0)));
        assert_eq!(sight.share(at(1.0), 30.0), Some(1.0));
        // A short look moves it little, a late one much.
        sight.met(at(1.0), 0.0, 0.2);
        assert!(sight.share(at(1.0), 10.0).unwrap() < 0.73);
        sight.met(at(31.0), 20.0, 2.0);
        assert!(sight.share(at(31.0), 10.0).unwrap() > 0.85);
        assert!(sight.fullness(20.0) > 0.9 && sight.fullness(10.0) < 0.1);
        assert_eq!(sight.share(at(80.0), 10.0), None);
    }
}
