//! The engine for runs on loopback sockets: the same world as in simulated time, with edge node processes as gateways.
//!
//! The engine emulates the clients, servers, counter and discovery. It runs in a single thread with a single event
//! loop, so that the rule checker sees all events in one order. Each gateway has its own address for each emulated
//! server, counter and discovery service, which identifies the gateway that a connection comes from.

mod buffered_connection;
mod clients;
mod counter;
mod discovery;
mod event_sources;
mod gateway_host;
mod gateway_process;
mod gateways;
mod peers;
mod recording_proxy;
mod resp;
mod response_queue;
mod run;
mod servers;

pub use recording_proxy::record_traffic;

use crate::error::LabError;
use crate::experiment::{Experiment, Variant};
use crate::metrics::{Results, SecondMetrics};
use crate::record::RecordedRequest;
use crate::world::{ResponseDelay, World};
use run::LoopbackRun;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

/// The time that the rule checker allows for delays of a machine that runs the gateways and the laboratory.
const CHECK_SLACK: Duration = Duration::from_millis(250);

/// A callback at the end of each second of a run. Its arguments are the number of the second, counted from 0, and the
/// metrics of that second.
pub type OnSecond<'a> = dyn FnMut(u64, &SecondMetrics) + 'a;

/// The program of an edge node, with its arguments and environment.
#[derive(Clone, Debug, Default)]
pub struct GatewayProgram {
    /// The path of the executable.
    pub path: PathBuf,
    /// The command line arguments.
    pub arguments: Vec<String>,
    /// Environment variables that are set in addition to those of this process.
    pub environment: Vec<(String, OsString)>,
}

impl GatewayProgram {
    /// The program at a path, started without arguments and without additional environment variables.
    pub fn at_path(path: impl Into<PathBuf>) -> GatewayProgram {
        GatewayProgram {
            path: path.into(),
            ..GatewayProgram::default()
        }
    }
}

/// The options of a run on loopback.
#[derive(Default)]
pub struct RunOptions<'a> {
    /// The edge node program, unless the variant names one.
    pub gateway_program: GatewayProgram,
    /// Recorded requests that replace the generated traffic. If empty, traffic is generated.
    pub replay: Vec<RecordedRequest>,
    /// The file to record the requests of the clients to. If `None`, nothing is recorded.
    pub record_to: Option<PathBuf>,
    /// The folder for the logs of the gateways. If `None`, the logs are discarded.
    pub log_dir: Option<PathBuf>,
    /// A callback at the end of each second of the run.
    pub on_second: Option<Box<OnSecond<'a>>>,
}

/// The error that some gateways of a run did not become ready in time.
#[derive(Debug, thiserror::Error)]
#[error("expected all gateways to be ready within {timeout:?}; crashes of gateways until then: {crashes:?}")]
pub struct NotReady {
    /// The time that the gateways had to become ready.
    pub timeout: Duration,
    /// Descriptions of the gateways' crashes and protocol errors until then.
    pub crashes: Vec<String>,
}

/// Runs a variant of an experiment once on loopback.
///
/// Fails if the variant or the gateways' settings are invalid, if the gateways can't be started or don't become ready,
/// or if the operating system refuses a socket, file or process.
pub fn run_experiment(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    mut options: RunOptions,
) -> Result<Results, LabError> {
    let changed = experiment.with_variant(variant)?;
    let replay = std::mem::take(&mut options.replay);
    let world = World::new(
        &changed,
        seed,
        ResponseDelay::AddedByWorld,
        CHECK_SLACK,
        replay,
    );
    let mut run = LoopbackRun::new(world, variant, seed, &options)?;
    run.start_gateways()?;
    run.run_to_end(options.on_second.as_deref_mut())?;
    run.into_results(&experiment.title, &variant.name, seed)
}
