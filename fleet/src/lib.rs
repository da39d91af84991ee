//! What a gateway of hundreds needs to decide well: which servers are its own to use ([`subset`]), and when to call
//! a shared service again after a failure ([`backoff`], [`recall`]), how much of a cold server's budget is whose ([`ramp`]). No I/O, no clock, no chance: all is handed in. Spans are
//! in seconds, rates are a second, unless a type says otherwise.

pub mod backoff;
pub mod ramp;
pub mod recall;
pub mod spread;
pub mod subset;
