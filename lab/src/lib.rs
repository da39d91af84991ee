//! wellcrank's laboratory: runs gateways on an emulated platform, checks rules and measures.
//!
//! One model of the platform and its clients (`world`: servers, counter, endpoint list, clients, network, faults) runs
//! under two engines: [`simulated`] runs only the gateways' decision logic, in simulated time; [`loopback`] runs the
//! gateway processes on loopback sockets. An [`experiment`] describes a run. `rule_checker` checks the rules that
//! gateways must keep, and shares no code with the gateway. [`runs`] runs experiments and stores their results
//! ([`metrics`]); [`stats`] compares results between variants, [`validate`] between engines, and [`report`] renders
//! them. [`capacity`] measures one gateway. [`events`] defines the identifiers that all of them share.

pub mod capacity;
pub mod clock;
pub mod decision_engine;
pub mod error;
mod event_queue;
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
