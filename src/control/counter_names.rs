//! The names of values on the shared counter, and the time intervals for which they count. All gateways compute the same
//! names and intervals without messages between them.

use crate::port::{CounterName, CustomerId};
use std::time::Duration;

/// The purpose of a hash. The same customer and number have different hashes in different domains.
#[derive(Clone, Copy)]
enum HashDomain {
    Phase = 0,
    Leases = 1,
    Window = 2,
}

/// One of a customer's intervals of a fixed length: a lease period or a quota window.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct Interval {
    /// The interval's number, at least [`FIRST_INTERVAL_NUMBER`].
    pub(super) number: u64,
    /// The start of the interval on the adapter's clock; not before zero.
    pub(super) starts_at: Duration,
}

/// The number of the first interval. 0 stands for no interval, and 1 is not used because it would seem to follow 0.
const FIRST_INTERVAL_NUMBER: u64 = 2;

/// Returns the customer's interval of the given length that contains the time `at`. Intervals of different customers start
/// at different phases, so that the gateways do not renew the leases of all customers at the same time.
pub(super) fn interval_at(customer: &CustomerId, length: Duration, at: Duration) -> Interval {
    let length = length.as_nanos() as u64;
    let phase = stable_hash(&customer.0, HashDomain::Phase, 0) % length;
    let number = (at.as_nanos() as u64 + phase) / length;
    Interval {
        number: number + FIRST_INTERVAL_NUMBER,
        starts_at: Duration::from_nanos((number * length).saturating_sub(phase)),
    }
}

/// Returns the name under which a customer's leases are counted in a period.
pub(super) fn lease_counter(customer: &CustomerId, period: u64) -> CounterName {
    CounterName(stable_hash(&customer.0, HashDomain::Leases, period))
}

/// Returns the name under which a customer's units are counted in a quota window.
pub(super) fn window_counter(customer: &CustomerId, window: u64) -> CounterName {
    CounterName(stable_hash(&customer.0, HashDomain::Window, window))
}

/// Returns a hash below 2^63 that is the same at every gateway and in every build: FNV-1a with an additional mixing step.
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
