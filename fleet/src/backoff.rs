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
    /// as the most at any time: where calls that are turned away cost the service too, a fleet that comes again faster than it
    /// serves keeps it full for good, and only a first span that grows with the fleet lets it empty.
    pub fn shared(base: Duration, gateways: f64, longest: Duration) -> Backoff {
        let first = base
            .min(longest)
            .mul_f64((gateways / GATEWAYS_A_BASE).clamp(1.0, 1e6));
        Backoff {
            first: first.min(longest),
            most: longest,
        }
    }

    /// The span in which the next call falls after `failures` in a row (none: no wait).
    pub fn span(&self, failures: u32) -> Duration {
        match failures {
            0 => Duration::ZERO,
            more => self
                .first
                .saturating_mul(1 << (more - 1).min(16))
                .min(self.most.max(self.first)),
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
mod tests;
