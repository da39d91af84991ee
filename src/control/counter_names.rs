//! Names of numbers on the shared counter, and the intervals of time that they stand for. All gateways reckon both
//! alike, without a message to each other.

use crate::port::{CounterName, CustomerId};
use std::time::Duration;

/// What a hash is for: the same customer and number give other hashes in other domains.
#[derive(Clone, Copy)]
enum HashDomain {
    Phase = 0,
    Leases = 1,
    Window = 2,
}

/// One of a customer's intervals of a fixed length: a lease period or a quota window.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct Interval {
    /// Its number, 2 and up: the first ones stay free to stand for no interval.
    pub(super) number: u64,
    /// When it began.
    pub(super) starts_at: Duration,
}

/// Numbers below this are no interval's.
const FIRST_INTERVAL: u64 = 2;

/// The customer's interval of that length at a moment. Its edges fall at a phase of the customer's own, so that not all
/// gateways renew the leases of all customers at one instant.
pub(super) fn interval_at(customer: &CustomerId, length: Duration, at: Duration) -> Interval {
    let length = length.as_nanos() as u64;
    let phase = stable_hash(&customer.0, HashDomain::Phase, 0) % length;
    let number = (at.as_nanos() as u64 + phase) / length;
    Interval {
        number: number + FIRST_INTERVAL,
        starts_at: Duration::from_nanos((number * length).saturating_sub(phase)),
    }
}

/// The name that counts a customer's leases in a period.
pub(super) fn lease_counter(customer: &CustomerId, period: u64) -> CounterName {
    CounterName(stable_hash(&customer.0, HashDomain::Leases, period))
}

/// The name that counts the units of a customer in a window.
pub(super) fn window_counter(customer: &CustomerId, window: u64) -> CounterName {
    CounterName(stable_hash(&customer.0, HashDomain::Window, window))
}

/// A hash (FNV-1a, its bits mixed once more) that is the same at every gateway and in every build, below 2^63.
fn stable_hash(text: &str, domain: HashDomain, number: u64) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = text
        .bytes()
        .chain([domain as u8])
        .chain(number.to_le_bytes());
    let hash = bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    (hash ^ (hash >> 29)) >> 1
}

#[cfg(test)]
mod tests;
