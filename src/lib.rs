//! wellcrank's decisions ([`control`]), the interface through which they meet a protocol ([`port`]) and the settings
//! that they read ([`settings`]).
pub mod control;
pub mod port;
pub mod settings;
mod state;
