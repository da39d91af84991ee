//! wellcrank's laboratory: an emulated platform on which the gateways are played, and what is told of it.
//!
//! One model of the world (`world`: servers, counter, endpoint list, clients, network, faults) runs under two
//! engines: [`simulated`] plays the decisions alone in simulated time, [`loopback`] the programs themselves on
//! sockets. [`experiment`] is what is played, `rule_checker` judges it without any of the program's code,
//! [`metrics`] is what comes of it, and [`runs`], [`stats`], [`validate`], [`capacity`] and [`report`] make
//! comparisons and pages of that. [`events`] has the identifiers that all of them share.

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
