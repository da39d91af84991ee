//! Deterministic subsetting: which of the endpoints a gateway uses. Hundreds of gateways with a few requests per second
//! each can't keep connections to hundreds of endpoints open, nor learn enough about any of them. Each gateway uses a
//! subset instead.
//!
//! The endpoints are ordered on a ring by a hash of their ids, which all gateways compute alike without messages.
//! Gateway g of G starts at the fraction g/G of the ring and uses the endpoints that follow. The numbers of gateways
//! that use any two endpoints thus differ by at most one, and when an endpoint is added or removed, at most two members
//! of a gateway's subset change.

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

/// Returns the position of an endpoint on the ring, a hash of its id. It is the same at every gateway and in every
/// build.
pub fn ring_position(endpoint: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(endpoint.as_bytes());
    // The hasher's low bits are poor; spread them.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

/// The inputs that determine the size of a gateway's subset.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSizing {
    /// Attempts that this gateway sends per second.
    pub attempt_rate: f64,
    /// How long an idle connection stays open, in seconds.
    pub idle_timeout_seconds: f64,
    /// Attempts of this gateway in flight.
    pub in_flight: f64,
    /// Attempts of this gateway that may be in flight at one endpoint.
    pub max_in_flight_per_endpoint: f64,
}

impl SubsetSizing {
    /// Returns how many of `endpoints` to use: as many as the traffic keeps connections open to, or more if the
    /// attempts in flight need it, and at least `MIN_SIZE`, but never more than `endpoints`.
    pub fn size(&self, endpoints: usize) -> usize {
        let kept_open = self.attempt_rate
            * (self.idle_timeout_seconds / USES_PER_IDLE_TIMEOUT).min(MAX_SECONDS_UNHEARD);
        let for_load = LOAD_HEADROOM * self.in_flight / self.max_in_flight_per_endpoint.max(1.0);
        (kept_open.max(for_load).max(MIN_SIZE).ceil() as usize).min(endpoints)
    }
}

/// Returns the subset of gateway `gateway` of `gateways`, as `size` indices into a ring of `ring_size` endpoints in
/// ascending order of their [`ring_position`]. If `size` is larger than the ring, each endpoint is returned once.
pub fn members(
    ring_size: usize,
    gateway: u32,
    gateways: u32,
    size: usize,
) -> impl Iterator<Item = usize> {
    let share = f64::from(gateway % gateways.max(1)) / f64::from(gateways.max(1));
    let start = (share * ring_size as f64) as usize;
    (0..size.min(ring_size)).map(move |step| (start + step) % ring_size)
}

#[cfg(test)]
mod tests;
