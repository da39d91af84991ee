//! The engine for runs in simulated time. A single thread drives the world and the controllers of all gateways. The
//! same seed gives the same results, byte for byte.
//!
//! The engine also simulates what the edge node (`edge/`) does apart from its decisions: the choice of the connection
//! for an attempt, the timeouts of attempts and of calls on the counter. The processor time of a gateway is not
//! simulated.

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

/// The time that the rule checker allows for messages in transit.
const CHECK_SLACK: Duration = Duration::from_millis(50);

/// The options of a simulated run.
#[derive(Clone, Default)]
pub struct RunOptions {
    /// A defect to inject into the gateways.
    pub defect: Option<InjectedDefect>,
    /// Recorded requests that replace the generated traffic. If empty, traffic is generated.
    pub replay: Vec<RecordedRequest>,
}

/// Runs a variant of an experiment once in simulated time.
///
/// Fails if the variant or the gateways' settings are invalid, or if the decision engine fails.
pub fn run_experiment(
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
        CHECK_SLACK,
        replay,
    );
    let mut run = SimulatedRun::new(world, engine, variant, seed, options.defect);
    run.run_to_end()?;
    Ok(run.into_results(&experiment.title, &variant.name, seed))
}
