//! A gateway on real sockets. The program `wellcrank-edge` only calls [`main`]; the command `wellcrank` contains the gateway
//! as well.

mod budget;
mod client;
mod clients;
mod clock;
mod component;
mod config;
mod counter;
mod deadlines;
mod discovery;
mod error_chain;
mod event_loop;
mod gateway;
mod invariants;
mod lingering;
mod memory;
mod metrics;
mod node;
mod notification;
mod peers;
mod pool;
mod reactor;
mod readiness;
mod reload;
mod requests;
mod resp;
mod shutdown;
mod startup;
mod stream;

use crate::error_chain::ErrorChain;
use crate::node::NodeError;
use slog::{Drain, Logger};
use std::sync::Mutex;

/// Returns a logger that writes each line to standard error at once and adds the node's name to it.
fn logger(node: &str) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build();
    // The gateway continues to serve if standard error can't be written to.
    let drain = Mutex::new(drain).ignore_res();
    Logger::root(drain, slog::o!("node" => node.to_string()))
}

/// Runs the gateway with the configuration file that `BALANCER_CONFIG` names, until it is shut down.
fn run() -> Result<(), NodeError> {
    let (config, settings) = config::load_config()?;
    let log = logger(&config.name);
    node::run(config, settings, &log)
}

/// Runs the gateway with the configuration file that the environment variable `BALANCER_CONFIG` names. Returns after a
/// graceful shutdown. If the gateway can't start or can't continue, prints the error and exits with status 1.
pub fn main() {
    if let Err(error) = run() {
        eprintln!("wellcrank-edge: {}", ErrorChain(&error));
        std::process::exit(1);
    }
}
