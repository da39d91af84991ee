//! When to call a shared service again after a call failed. A hundred gateways that were started, turned away or
//! cut off together would otherwise come again together, at every doubling, and find it as full as before: each
//! waits a draw of its own from the whole doubling span ("full jitter"), so that their calls spread over it.

use std::time::Duration;

/// The spans between calls after failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The span after the first failure.
    pub first: Duration,
    /// The span does not grow past this.
    pub most: Duration,
}

/// So many gateways to a second of the first span: a fleet's calls after a failure that met all of them are spread
/// over a span that grows with the fleet (a hundred gateways: five times the base).
const GATEWAYS_A_BASE: f64 = 5.0;

impl Backoff {
    /// For a service that a whole fleet of `gateways` calls alike, with `base` as the least first span and `longest`
    /// as the most: where calls that are turned away cost the service too, a fleet that comes again faster than it
    /// serves keeps it full for good, and only a first span that grows with the fleet lets it empty.
    pub fn shared(base: Duration, gateways: f64, longest: Duration) -> Backoff {
        let first = base.mul_f64((gateways / GATEWAYS_A_BASE).clamp(1.0, 1e6));
        Backoff { first: first.min(longest / 4).max(base.min(longest)), most: longest }
    }

    /// The span in which the next call falls after `failures` in a row (none: no wait).
    pub fn span(&self, failures: u32) -> Duration {
        match failures {
            0 => Duration::ZERO,
            more => self.first.saturating_mul(1 << (more - 1).min(16)).min(self.most.max(self.first)),
        }
    }

    /// The wait before the next call, for a draw in [0, 1): anywhere in the span, but no sooner than a
    /// quarter of the first span, so that a gateway never calls again at once.
    pub fn wait(&self, failures: u32, draw: f64) -> Duration {
        let span = self.span(failures);
        if span.is_zero() {
            return span;
        }
        span.mul_f64(draw.clamp(0.0, 1.0)).max(self.first / 4)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn spans_double_up_to_the_most() {
        let backoff = Backoff { first: MS(250), most: MS(4000) };
        let spans: Vec<u64> = (0..8).map(|failures| backoff.span(failures).as_millis() as u64).collect();
        assert_eq!(spans, [0, 250, 500, 1000, 2000, 4000, 4000, 4000]);
        assert_eq!(backoff.span(u32::MAX), MS(4000));
    }

    #[test]
    fn waits_stay_in_the_span_and_spread_over_it() {
        let backoff = Backoff { first: MS(250), most: MS(4000) };
        assert_eq!(backoff.wait(0, 0.7), Duration::ZERO);
        assert_eq!(backoff.wait(5, 0.0), MS(62) + Duration::from_micros(500));
        assert_eq!(backoff.wait(5, 0.5), MS(2000));
        assert_eq!(backoff.wait(5, 2.0), MS(4000));
        // A hundred gateways turned away at one instant, with evenly spread draws: no tenth of the span holds
        // more than a tenth and one of them.
        let waits: Vec<Duration> = (0..100).map(|g| backoff.wait(6, f64::from(g) / 100.0)).collect();
        for tenth in 0..10u32 {
            let (from, to) = (MS(400) * tenth, MS(400) * (tenth + 1));
            assert!(waits.iter().filter(|wait| (from..to).contains(wait)).count() <= 11);
        }
    }

    #[test]
    fn the_first_span_grows_with_the_fleet() {
        let (base, longest) = (MS(250), MS(20_000));
        let first = |gateways| Backoff::shared(base, gateways, longest).first;
        assert_eq!([first(1.0), first(4.0), first(5.0)], [base; 3]);
        assert_eq!(first(100.0), MS(5000));
        assert_eq!(first(300.0), MS(5000), "a quarter of the longest at most");
        assert_eq!(Backoff::shared(base, 100.0, MS(100)).first, MS(100));
    }

    #[test]
    fn a_first_span_longer_than_the_most_is_kept() {
        let backoff = Backoff { first: MS(500), most: MS(100) };
        assert_eq!(backoff.span(3), MS(500));
    }
}
