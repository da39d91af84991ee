//! wellcrank's laboratory: one model of the world ([`world`]) with two engines under it, the decisions in
//! simulated time ([`simulated`]) and the programs on loopback sockets ([`loopback`]); experiments, a referee
//! that shares no code with the program, recorded traffic, comparisons and reports.

pub mod agree;
pub mod bears;
pub mod clock;
pub mod decision_engine;
pub mod error;
pub mod experiment;
pub mod loopback;
pub mod measure;
pub mod record;
pub mod referee;
pub mod report;
pub mod runs;
pub mod simulated;
pub mod stats;
pub mod told;
pub mod world;
