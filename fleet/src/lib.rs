//! What a gateway of hundreds needs to decide well without a message to the others: which endpoints are its own to use
//! ([`subset`]), how much of an endpoint's slow start is its own ([`slow_start`]), and when to call a shared service
//! again after a failure ([`backoff`], [`discovery_retry`]). No I/O, no clock, no random numbers: all is handed in.
//! Spans are in seconds, rates are a second, unless a type says otherwise.

pub mod backoff;
pub mod discovery_retry;
pub mod phase;
pub mod slow_start;
pub mod subset;
