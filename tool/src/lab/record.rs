//! `wellcrank lab record`: a proxy in front of a gateway that records the requests of clients.

use crate::error::{system_error, CommandError};
use clap::Args;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use wellcrank_lab::loopback;

/// Upper limit of `--seconds`. `Duration::from_secs_f64` panics on a number of seconds that a `Duration` cannot hold.
const MAX_SECONDS: f64 = 1e9;

/// Arguments of `lab record`.
#[derive(Args)]
pub(crate) struct RecordArgs {
    /// Address at which the proxy accepts clients.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the gateway.
    #[arg(long, alias = "to")]
    gateway: SocketAddr,
    /// File to write the recording to.
    #[arg(long)]
    out: PathBuf,
    /// Ends the recording after this number of seconds.
    #[arg(long)]
    seconds: Option<f64>,
}

pub(super) fn run(args: &RecordArgs, log: &Logger) -> Result<(), CommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())
            .map_err(system_error("cannot handle SIGINT and SIGTERM"))?;
    }
    slog::info!(log, "recording until Ctrl-C"; "listen" => %args.listen, "gateway" => %args.gateway);
    let max_duration = args
        .seconds
        .map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS)));
    loopback::record_traffic(args.listen, args.gateway, &args.out, max_duration, &stop)?;
    slog::info!(log, "recorded"; "file" => %args.out.display());
    Ok(())
}
