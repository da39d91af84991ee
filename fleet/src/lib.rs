//! Algorithms for a fleet of hundreds of gateways that coordinate without messages to each other: which endpoints a
//! gateway uses ([`subset`]), how much it may send to an endpoint in slow start ([`slow_start`]), and when it calls a
//! shared service again after a failure ([`backoff`], [`discovery_retry`]).
//!
//! This crate does no I/O, reads no clock and generates no random numbers; callers pass them in. Durations are in
//! seconds and rates are per second, unless a type says otherwise.

pub mod backoff;
pub mod discovery_retry;
pub mod phase;
pub mod slow_start;
pub mod subset;
