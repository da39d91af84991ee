//! wellcrank's laboratory: one model of the world ([`world`]) with two engines under it, the decisions in
//! simulated time ([`simulated`]) and the programs on loopback sockets ([`loopback`]); experiments, a referee
//! that shares no code with the program, recorded traffic, comparisons and reports.

pub mod capacity;
pub mod clock;
pub mod decision_engine;
pub mod error;
pub mod events;
pub mod experiment;
pub mod loopback;
pub mod metrics;
mod node_settings;
pub mod record;
pub mod report;
mod rule_checker;
pub mod runs;
pub mod simulated;
pub mod stats;
pub mod validate;
mod world;
