//! How much a gateway may send to an endpoint in slow start, so that all gateways together do not overload it. Each
//! gateway computes its share of the endpoint's budget from the settings and from what it observes, without messages to
//! other gateways. The shares add up to no more than the budget, even if a share is only a small fraction of a send.
//!
//! A gateway accumulates credit at the rate of its share and gets a permit for each whole send; fractions are carried
//! over. The gateways start with credits that are spread evenly between 0 and 1: otherwise three hundred gateways would
//! get their first permit at the same time. Permits expire: otherwise all unused permits could be used at the same
//! time.

use crate::phase::golden_ratio_phase;
use std::time::Duration;

/// The rate at which one gateway may send to one endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartBudget {
    /// Sends per second; below one for most gateways of a large fleet.
    pub rate: f64,
    /// How long a permit is valid.
    pub permit_lifetime: Duration,
}

impl SlowStartBudget {
    /// Returns the budget of one gateway if `gateways` share equally an endpoint that accepts `total_rate` sends per
    /// second in total.
    pub fn share_of(total_rate: f64, gateways: f64, permit_lifetime: Duration) -> SlowStartBudget {
        SlowStartBudget {
            rate: (total_rate / gateways.max(1.0)).max(0.0),
            permit_lifetime,
        }
    }
}

/// The permits of one gateway for one endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartPermits {
    /// The number of sends that the gateway had accumulated at `updated_at`, including the fraction of the next one.
    credit: f64,
    /// The time for which `credit` was computed, on the clock of the callers.
    updated_at: Duration,
}

impl SlowStartPermits {
    /// Returns the initial permits, at `now`, of the gateway with this index (from 0). `salt` should differ between
    /// endpoints, so that a gateway which gets its first permit early for one endpoint gets it late for another.
    pub fn new(gateway: u32, salt: u64, now: Duration) -> SlowStartPermits {
        // The upper 53 bits of the salt as a fraction in [0, 1); an f64 has 53 significant bits.
        let salt = (salt >> 11) as f64 / (1u64 << 53) as f64;
        SlowStartPermits {
            credit: (golden_ratio_phase(gateway) + salt).fract(),
            updated_at: now,
        }
    }

    /// Returns the number of valid permits at `now`, and the accumulated fraction of the next one.
    fn available(&self, now: Duration, budget: SlowStartBudget) -> (f64, f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let credit = self.credit + elapsed * budget.rate;
        let fraction = credit.fract();
        // The newest permit was completed when the fraction started to accumulate, and each older one the time of one
        // whole send (1 / rate) before the next.
        let unexpired =
            (budget.rate * budget.permit_lifetime.as_secs_f64() - fraction).floor() + 1.0;
        (credit.floor().min(unexpired).max(0.0), fraction)
    }

    /// Returns whether there is a valid permit for a send.
    pub fn has_permit(&self, now: Duration, budget: SlowStartBudget) -> bool {
        self.available(now, budget).0 >= 1.0
    }

    /// Uses up a permit for a send, if there is one. The fraction of the next permit is kept.
    pub fn take_permit(&mut self, now: Duration, budget: SlowStartBudget) {
        let (permits, fraction) = self.available(now, budget);
        *self = SlowStartPermits {
            credit: (permits - 1.0).max(0.0) + fraction,
            updated_at: now,
        };
    }
}

#[cfg(test)]
mod tests;
