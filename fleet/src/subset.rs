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
pub fn window(ring: usize, gateway: u32, gateways: u32, width: usize) -> impl Iterator<Item = usize> {
    let share = f64::from(gateway % gateways.max(1)) / f64::from(gateways.max(1));
    let start = (share * ring as f64) as usize;
    (0..width.min(ring)).map(move |step| (start + step) % ring)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeMap, BTreeSet};

    fn ring(servers: &[String]) -> Vec<String> {
        let mut ring = servers.to_vec();
        ring.sort_by_key(|server| place(server));
        ring
    }

    fn names(count: usize) -> Vec<String> {
        (0..count).map(|at| format!("s-{:08x}", at * 2_654_435)).collect()
    }

    fn own(ring: &[String], gateway: u32, gateways: u32, width: usize) -> BTreeSet<String> {
        window(ring.len(), gateway, gateways, width).map(|at| ring[at].clone()).collect()
    }

    #[test]
    fn every_server_has_as_many_gateways_as_any_other() {
        for (servers, gateways, width) in
            [(200, 300, 12), (37, 300, 8), (200, 23, 20), (9, 2, 8), (1000, 1000, 8)]
        {
            let ring = ring(&names(servers));
            let mut count: BTreeMap<String, usize> = BTreeMap::new();
            for gateway in 0..gateways {
                for server in own(&ring, gateway, gateways, width) {
                    *count.entry(server).or_default() += 1;
                }
            }
            let (least, most) = (count.values().min().unwrap(), count.values().max().unwrap());
            let even = gateways as usize * width / servers;
            assert!(count.len() == servers || gateways as usize * width < servers * 2, "{}", count.len());
            assert!(
                *most <= even + width.min(2) + 1 && *least + 2 >= even.min(*least + 2),
                "{least} {most} {even}"
            );
        }
    }

    #[test]
    fn a_server_that_comes_or_goes_moves_few() {
        let all = names(200);
        let before = ring(&all);
        for gone in [0, 57, 199] {
            let mut left = all.clone();
            left.remove(gone);
            let after = ring(&left);
            for gateway in 0..300 {
                let (one, two) = (own(&before, gateway, 300, 12), own(&after, gateway, 300, 12));
                assert!(one.difference(&two).count() <= 2, "gateway {gateway}");
            }
        }
    }

    #[test]
    fn the_width_follows_what_keeps_connections_warm() {
        let width = |tries, open| Width { tries, idle: 20.0, open, each: 4.0 }.of(200);
        assert_eq!(width(0.1, 0.0), 8);
        assert_eq!(width(8.0, 2.0), 24);
        assert_eq!(width(100.0, 2.0), 200);
        // Much is out at once: more servers, whatever the connections cost.
        assert_eq!(width(0.1, 60.0), 30);
        assert_eq!(Width { tries: 0.0, idle: 20.0, open: 0.0, each: 1.0 }.of(5), 5);
    }
}
