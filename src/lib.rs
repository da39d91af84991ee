//! The decision logic of the wellcrank gateway: the admission controller ([`control`]), the interface between it and
//! the protocol adapters ([`port`]) and the settings that it reads ([`settings`]).

pub mod control;
pub mod port;
pub mod settings;
