//! How much a gateway may send to an endpoint in slow start, so that all gateways together stay within what the
//! endpoint can take. Each gateway has a share of the endpoint's budget that follows from the settings and from what the
//! gateway sees, without a message to others; the shares sum to no more than the budget, also where a share is a small
//! part of a send.
//!
//! A share is paid out in permits: one for each whole send that has accumulated, fractions carried over. Gateways begin
//! at fractions of a send that are spread evenly over them, else three hundred would hold their first permit at one
//! moment; and a permit expires, else all that lay unused could be spent at one moment too.

use crate::phase::golden_ratio_phase;
use std::time::Duration;

/// What one gateway may send to one endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartBudget {
    /// Sends a second; below one for most gateways of a large fleet.
    pub rate: f64,
    /// How long a permit may be used.
    pub permit_lifetime: Duration,
}

impl SlowStartBudget {
    /// The share of one of `gateways` alike that use an endpoint which can take `total_rate` sends a second in all.
    pub fn share_of(total_rate: f64, gateways: f64, permit_lifetime: Duration) -> SlowStartBudget {
        SlowStartBudget {
            rate: (total_rate / gateways.max(1.0)).max(0.0),
            permit_lifetime,
        }
    }
}

/// The permits of one gateway for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartPermits {
    /// Sends that have accumulated by `updated_at`, with the fraction of the next.
    credit: f64,
    updated_at: Duration,
}

impl SlowStartPermits {
    /// The permits at `now` of the gateway of that number (from 0). `salt` differs by endpoint: a gateway that is early
    /// at one is late at another.
    pub fn new(gateway: u32, salt: u64, now: Duration) -> SlowStartPermits {
        // The upper 53 bits of the salt as a fraction of one: all that a double can hold.
        let salt = (salt >> 11) as f64 / (1u64 << 53) as f64;
        SlowStartPermits {
            credit: (golden_ratio_phase(gateway) + salt).fract(),
            updated_at: now,
        }
    }

    /// Permits that may be used now, and the fraction of the next.
    fn available(&self, now: Duration, budget: SlowStartBudget) -> (f64, f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let credit = self.credit + elapsed * budget.rate;
        let fraction = credit.fract();
        // The latest permit was complete when the fraction began, each one before it a whole send earlier.
        let unexpired =
            (budget.rate * budget.permit_lifetime.as_secs_f64() - fraction).floor() + 1.0;
        (credit.floor().min(unexpired).max(0.0), fraction)
    }

    /// Whether a send is permitted.
    pub fn allows_one(&self, now: Duration, budget: SlowStartBudget) -> bool {
        self.available(now, budget).0 >= 1.0
    }

    /// Uses a permit for a send.
    pub fn take_one(&mut self, now: Duration, budget: SlowStartBudget) {
        let (permits, fraction) = self.available(now, budget);
        *self = SlowStartPermits {
            credit: (permits - 1.0).max(0.0) + fraction,
            updated_at: now,
        };
    }
}

#[cfg(test)]
mod tests;
