//! The engine on loopback: the same world behind real sockets, with edge nodes as processes for gateways.
//!
//! One thread, one loop and one poll: so all that the rule checker sees is in one order. Each gateway meets
//! stand-ins at addresses kept for it alone, so the world knows who asks.

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

/// What the rule checker allows for a machine that also runs everything else.
const CHECK_TOLERANCE: Duration = Duration::from_millis(250);

/// Hears of each second of a run as it ends: its number and what was counted in it.
pub type OnSecond<'a> = dyn FnMut(u64, &SecondMetrics) + 'a;

/// An edge node's program, and what it is started with.
#[derive(Clone, Debug, Default)]
pub struct GatewayProgram {
    /// The program's path.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// What its environment holds beside this process's own.
    pub environment: Vec<(String, OsString)>,
}

impl GatewayProgram {
    /// A program that is started without arguments.
    pub fn at_path(path: impl Into<PathBuf>) -> GatewayProgram {
        GatewayProgram {
            path: path.into(),
            ..GatewayProgram::default()
        }
    }
}

/// How a run on loopback is to be played.
#[derive(Default)]
pub struct RunOptions<'a> {
    /// The edge node that is played where the variant names none.
    pub gateway_program: GatewayProgram,
    /// Recorded traffic in place of the accounts; empty: none.
    pub replay: Vec<RecordedRequest>,
    /// A file to record what clients request in.
    pub record_to: Option<PathBuf>,
    /// A folder for the gateways' logs.
    pub log_dir: Option<PathBuf>,
    /// Hears of each second.
    pub on_second: Option<Box<OnSecond<'a>>>,
}

/// The gateways of a run did not serve in time.
#[derive(Debug, thiserror::Error)]
#[error("the gateways were not ready within {timeout:?}: {crashes:?}")]
pub struct NotReady {
    /// How long they had.
    pub timeout: Duration,
    /// Those of them that have ended, and how.
    pub crashes: Vec<String>,
}

/// Plays one run of an experiment on loopback, as a variant has it.
pub fn play(
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
        CHECK_TOLERANCE,
        replay,
    );
    let mut run = LoopbackRun::new(world, variant, seed, &options)?;
    run.start_gateways()?;
    run.play(options.on_second.as_deref_mut())?;
    run.into_results(&experiment.title, &variant.name, seed)
}
