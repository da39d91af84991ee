//! How much a gateway may send to a server that has just started, so that all gateways together stay within what the
//! server bears. Each has a share of the server's budget that is its own by the settings and by what it sees, without a
//! word to others; the shares sum to no more than the budget, also where a share is a small part of a send.
//!
//! A share is paid out in permits: one for each whole send that has come together, fractions carried over. Gateways
//! begin at parts of a send that are spread evenly over them, else three hundred would hold their first permit at one
//! moment; and a permit lapses, else all that lay unused could be spent at one moment too.

use crate::spread;
use std::time::Duration;

/// What one gateway may send to one cold server.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Sends a second; below one for most gateways of a large fleet.
    pub rate: f64,
    /// How long a permit may be used.
    pub lapse: Duration,
}

impl Share {
    /// The part of one of `gateways` alike that use a server which bears `budget` sends a second in all.
    pub fn of(budget: f64, gateways: f64, lapse: Duration) -> Share {
        Share {
            rate: (budget / gateways.max(1.0)).max(0.0),
            lapse,
        }
    }
}

/// What has come together of one gateway's share of one server.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    credit: f64,
    at: Duration,
}

impl Ramp {
    /// At `now`, for the gateway of that number (from 0). `salt` tells servers apart: a gateway that is early at one is
    /// late at another.
    pub fn new(gateway: u32, salt: u64, now: Duration) -> Ramp {
        let salt = (salt >> 11) as f64 / (1u64 << 53) as f64;
        Ramp {
            credit: (spread::place(gateway) + salt).fract(),
            at: now,
        }
    }

    /// Permits that may be used now, and the part of the next.
    fn permits(&self, now: Duration, share: Share) -> (f64, f64) {
        let credit = self.credit + now.saturating_sub(self.at).as_secs_f64() * share.rate;
        let part = credit.fract();
        // The latest came together when the part began, each before it a whole earlier.
        let fresh = (share.rate * share.lapse.as_secs_f64() - part).floor() + 1.0;
        (credit.floor().min(fresh).max(0.0), part)
    }

    /// Whether a send is permitted.
    pub fn permits_one(&self, now: Duration, share: Share) -> bool {
        self.permits(now, share).0 >= 1.0
    }

    /// One was sent.
    pub fn sent(&mut self, now: Duration, share: Share) {
        let (permits, part) = self.permits(now, share);
        *self = Ramp {
            credit: (permits - 1.0).max(0.0) + part,
            at: now,
        };
    }
}

#[cfg(test)]
mod tests;
