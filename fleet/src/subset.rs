//! Which of the endpoints a gateway uses. Hundreds of gateways with a few requests a second each can't keep a
//! connection to hundreds of endpoints open, nor learn of any; each has a subset of them instead.
//!
//! Endpoints stand on a ring in the order of a hash of their ids, which all gateways agree on without a message. Gateway
//! g of G begins at the share g/G of the ring and takes the endpoints that follow. So each endpoint has as many gateways
//! as any other, to one, and where an endpoint comes or goes a gateway changes two members at most.

use rustc_hash::FxHasher;
use std::hash::Hasher;

/// How often a connection should be used within its idle timeout: at random intervals it is then closed before its next
/// use in under one case of seven.
const USES_PER_IDLE_TIMEOUT: f64 = 2.0;

/// How often, in seconds, an endpoint should answer something, for what is known of it to be of use.
const MAX_SECONDS_UNHEARD: f64 = 3.0;

/// The subset could have so many times the attempts in flight that there are.
const LOAD_HEADROOM: f64 = 2.0;

/// The least size, however few attempts there are: some endpoints may be bad, starting or full.
const MIN_SIZE: f64 = 8.0;

/// The position of an endpoint on the ring: the same at every gateway and in every build.
pub fn ring_position(endpoint: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(endpoint.as_bytes());
    // The hasher's low bits are poor; spread them.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

/// What the size of a subset follows from.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSize {
    /// Attempts a second that this gateway sends.
    pub attempt_rate: f64,
    /// For how long an idle connection stays open, in seconds.
    pub idle_timeout: f64,
    /// Attempts in flight.
    pub in_flight: f64,
    /// Attempts that may be in flight at one endpoint.
    pub in_flight_each: f64,
}

impl SubsetSize {
    /// How many of `endpoints` to use: never more than all, and all where their connections stay open anyway.
    pub fn of(&self, endpoints: usize) -> usize {
        let kept_open = self.attempt_rate
            * (self.idle_timeout / USES_PER_IDLE_TIMEOUT).min(MAX_SECONDS_UNHEARD);
        let for_load = LOAD_HEADROOM * self.in_flight / self.in_flight_each.max(1.0);
        (kept_open.max(for_load).max(MIN_SIZE).ceil() as usize).min(endpoints)
    }
}

/// The subset of one gateway, as indices into a ring of `ring` endpoints, which holds them in the rising order of their
/// [`ring_position`].
pub fn members(
    ring: usize,
    gateway: u32,
    gateways: u32,
    size: usize,
) -> impl Iterator<Item = usize> {
    let share = f64::from(gateway % gateways.max(1)) / f64::from(gateways.max(1));
    let start = (share * ring as f64) as usize;
    (0..size.min(ring)).map(move |step| (start + step) % ring)
}

#[cfg(test)]
mod tests;
