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

/// How many times a connection should be used on average within its idle timeout. If it is used at random intervals,
/// it is then closed before its next use in fewer than one of seven cases.
const USES_PER_IDLE_TIMEOUT: f64 = 2.0;

/// The longest average time between two answers of an endpoint. After a longer time, what the gateway knows about the
/// endpoint is out of date.
const MAX_RESPONSE_INTERVAL_SECONDS: f64 = 3.0;

/// The subset accepts this many times the attempts that are currently in flight.
const LOAD_HEADROOM_FACTOR: f64 = 2.0;

/// The minimum size of a subset for any number of attempts, because some endpoints may be faulty, starting or full.
const MIN_SUBSET_ENDPOINTS: f64 = 8.0;

/// Returns the position of an endpoint on the ring, a hash of its id. It is the same at every gateway and in every
/// build.
pub fn ring_position(endpoint: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(endpoint.as_bytes());
    // The low bits of the hasher's result are distributed poorly, so the bits are mixed.
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
    /// attempts in flight need it, and at least `MIN_SUBSET_ENDPOINTS`, but never more than `endpoints`.
    pub fn size(&self, endpoints: usize) -> usize {
        let for_connections = self.attempt_rate
            * (self.idle_timeout_seconds / USES_PER_IDLE_TIMEOUT)
                .min(MAX_RESPONSE_INTERVAL_SECONDS);
        let for_load =
            LOAD_HEADROOM_FACTOR * self.in_flight / self.max_in_flight_per_endpoint.max(1.0);
        (for_connections
            .max(for_load)
            .max(MIN_SUBSET_ENDPOINTS)
            .ceil() as usize)
            .min(endpoints)
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
