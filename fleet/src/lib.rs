//! What a gateway of hundreds needs to decide well: which servers are its own to use ([`subset`]), and what it knows
//! of customers that it seldom sees ([`sight`]). No I/O, no clock, no chance: all is handed in.
//! Spans are `Duration`s, rates are a second.

pub mod sight;
pub mod subset;
