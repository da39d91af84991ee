//! Which of the servers a gateway uses. Hundreds of gateways with a few API calls a second each can't keep a
//! connection to hundreds of servers warm, nor learn of any; each has a part of them instead.
//!
//! Servers stand on a ring in the order of a hash of their names, which all gateways agree on without a word.
//! Gateway g of G begins at the share g/G of the ring and takes the servers that follow. So each server has as many
//! gateways as any other, to one, and where a server comes or goes a gateway changes two places at most.

use rustc_hash::FxHasher;
use std::hash::Hasher;

/// The place of a server on the ring: the same at every gateway and in every build.
pub fn place(server: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(server.as_bytes());
    // The hasher's low bits are poor; spread them.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

/// How many servers a gateway should use.
#[derive(Clone, Copy, Debug)]
pub struct Width {
    /// Tries a second that this gateway sends.
    pub tries: f64,
    /// For how long an idle connection stays open, in seconds.
    pub idle: f64,
    /// Tries out at once, and how many may be at one server.
    pub open: f64,
    pub each: f64,
}

/// So often a connection should be used within the time that it may stand idle: at random intervals it is then
/// closed under one try in seven.
const USES: f64 = 2.0;
/// And so often, in seconds, a server should be heard of, for what is known of it to be of use.
const HEARD: f64 = 3.0;
/// However few tries there are: some may be bad, cold or full.
const LEAST: f64 = 8.0;

impl Width {
    /// Never more than all, and all where they can be kept warm anyway.
    pub fn of(&self, all: usize) -> usize {
        let warm = self.tries * (self.idle / USES).min(HEARD);
        let room = 2.0 * self.open / self.each.max(1.0);
        (warm.max(room).max(LEAST).ceil() as usize).min(all)
    }
}

/// The servers of one gateway, as places in `ring`, which holds each server's [`place`] in rising order.
pub fn window(
    ring: usize,
    gateway: u32,
    gateways: u32,
    width: usize,
) -> impl Iterator<Item = usize> {
    let share = f64::from(gateway % gateways.max(1)) / f64::from(gateways.max(1));
    let start = (share * ring as f64) as usize;
    (0..width.min(ring)).map(move |step| (start + step) % ring)
}

#[cfg(test)]
mod tests;
