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

impl Backoff {
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
    fn a_first_span_longer_than_the_most_is_kept() {
        let backoff = Backoff { first: MS(500), most: MS(100) };
        assert_eq!(backoff.span(3), MS(500));
    }
}
