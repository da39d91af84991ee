//! The engine in simulated time: one thread, in which the world drives the controllers of all gateways through
//! their interface. The same seed gives the same result to the byte.
//!
//! What the edge node does beside deciding is played here as `edge/` does it: which connection carries an
//! attempt, when an attempt's time is up, what becomes of a call on the counter that is late. The processor time
//! of a gateway is not played.

mod attempts;
mod connection_pool;
mod counter_calls;
mod defect;
mod event;
mod gateway;
mod requests;
mod run;

pub use defect::InjectedDefect;

use crate::decision_engine::{DecisionEngine, ExternalEngine, InProcessEngine};
use crate::error::LabError;
use crate::experiment::{Experiment, Variant};
use crate::metrics::Results;
use crate::record::RecordedRequest;
use crate::world::{ResponseDelay, World};
use run::SimulatedRun;
use std::time::Duration;

/// What the rule checker allows for messages that are under way.
const CHECK_TOLERANCE: Duration = Duration::from_millis(50);

/// How a simulated run is to be played.
#[derive(Clone, Default)]
pub struct RunOptions {
    /// A defect that the program is given on purpose.
    pub defect: Option<InjectedDefect>,
    /// RecordedRequest traffic in place of the accounts; empty: none.
    pub replay: Vec<RecordedRequest>,
}

/// Plays one run of an experiment, as a variant has it.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    options: &RunOptions,
) -> Result<Results, LabError> {
    let changed = experiment.with_variant(variant)?;
    let engine: Box<dyn DecisionEngine> = match &variant.simulator_program {
        Some(program) => Box::new(ExternalEngine::start(program)?),
        None => Box::new(InProcessEngine::default()),
    };
    let replay = options.replay.clone();
    let world = World::new(
        &changed,
        seed,
        ResponseDelay::AddedByEngine,
        CHECK_TOLERANCE,
        replay,
    );
    let mut run = SimulatedRun::new(world, engine, variant, seed, options.defect);
    run.play()?;
    Ok(run.into_results(&experiment.title, &variant.name, seed))
}
