//! wellcrank's decisions ([`control`]) and the interface through which they meet a protocol ([`port`]).
pub mod control;
pub mod port;
mod state;
