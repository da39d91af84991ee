//! `wellcrank lab record`: records clients' requests as a proxy before a gateway.

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

/// The longest recording, in seconds; a longer time would not fit a duration.
const MAX_SECONDS: f64 = 1e9;

/// Arguments of `lab record`.
#[derive(Args)]
pub(crate) struct RecordArgs {
    /// Where clients connect from now on.
    #[arg(long)]
    listen: SocketAddr,
    /// The gateway.
    #[arg(long, alias = "to")]
    gateway: SocketAddr,
    /// The recording.
    #[arg(long)]
    out: PathBuf,
    /// Ends by itself after so long.
    #[arg(long)]
    seconds: Option<f64>,
}

pub(super) fn run(args: &RecordArgs, log: &Logger) -> Result<(), CommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(system_error("signals"))?;
    }
    slog::info!(log, "recording until Ctrl-C"; "listen" => %args.listen, "gateway" => %args.gateway);
    let max_duration = args
        .seconds
        .map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS)));
    loopback::record_traffic(args.listen, args.gateway, &args.out, max_duration, &stop)?;
    slog::info!(log, "recorded"; "file" => %args.out.display());
    Ok(())
}
