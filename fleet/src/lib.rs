//! What a gateway of hundreds needs to decide well: which servers are its own to use ([`subset`]). No I/O, no clock,
//! no chance: all is handed in. Spans are in seconds, rates are a second.

pub mod subset;
