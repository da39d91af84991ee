//! One gateway on real sockets. `wellcrank-edge` is this and nothing else; the operators' command has it built in.

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

/// A log whose lines go to standard error, each as soon as it is made, with the node's name.
fn logger(node: &str) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build();
    // A log that nobody takes any more is no reason to stop serving.
    let drain = Mutex::new(drain).ignore_res();
    Logger::root(drain, slog::o!("node" => node.to_string()))
}

/// Runs the gateway that `BALANCER_CONFIG` names.
fn run() -> Result<(), NodeError> {
    let (config, settings) = config::load_config()?;
    let log = logger(&config.name);
    node::run(config, settings, &log)
}

/// Runs the gateway that `BALANCER_CONFIG` names; exits with 1 where it cannot start or go on.
pub fn main() {
    if let Err(error) = run() {
        eprintln!("wellcrank-edge: {}", ErrorChain(&error));
        std::process::exit(1);
    }
}
