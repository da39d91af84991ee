//! wellcrank's decisions ([`control`]), the interface by which they meet a protocol ([`port`]) and the settings that
//! they read ([`settings`]).

pub mod control;
pub mod port;
pub mod settings;
