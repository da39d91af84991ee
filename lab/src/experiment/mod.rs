//! Experiments: what is played, as a TOML file. Every table refuses names that it does not know, every figure is
//! checked against its range, and a message names the line, the field and what was expected.

mod config;
mod defaults;
mod fault;
mod parse;
#[cfg(test)]
mod tests;
mod validation;
mod variants;

pub use config::{
    CounterConfig, DeduplicationScope, DiscoveryConfig, FleetConfig, Idempotency, LoadConfig,
    MachineTypeConfig, NetworkConfig, PlanConfig, RouteConfig,
};
pub use fault::{Fault, FaultKind};
pub use parse::{ExperimentError, LocatedProblem, Position};
pub use validation::Problem;
pub use variants::{InvalidVariant, Variant};

use serde::{Deserialize, Serialize};

/// Which engine plays.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Engine {
    /// The controllers themselves in simulated time.
    #[default]
    Simulated,
    /// The edge nodes as processes on loopback sockets.
    Loopback,
}

/// An experiment. Spans are in seconds unless a name ends in `_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What results and reports call it.
    pub title: String,
    /// What it shows, for readers.
    #[serde(default)]
    pub about: String,
    /// Length of a run.
    pub seconds: f64,
    /// For so long from the start nothing is counted but broken rules.
    #[serde(default)]
    pub warm_up: f64,
    /// A run is played for each.
    #[serde(default = "defaults::seeds")]
    pub seeds: Vec<u64>,
    /// The engine that plays it.
    #[serde(default)]
    pub engine: Engine,
    /// Gateways and servers.
    #[serde(default)]
    pub fleet: FleetConfig,
    /// The shared counter.
    #[serde(default)]
    pub counter: CounterConfig,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoveryConfig,
    /// The network.
    #[serde(default)]
    pub network: NetworkConfig,
    /// The routes.
    #[serde(default = "defaults::routes")]
    pub routes: Vec<RouteConfig>,
    /// The plans.
    #[serde(default = "defaults::plans")]
    pub plans: Vec<PlanConfig>,
    /// What clients ask for.
    #[serde(default)]
    pub load: LoadConfig,
    /// What goes wrong.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
    /// What is compared; the first one is what the others are compared with.
    #[serde(default)]
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// Everything that is out of its range or does not fit the rest.
    pub fn problems(&self) -> Vec<Problem> {
        validation::find_problems(self)
    }

    /// The longest that a client waits, in seconds.
    pub fn max_client_timeout(&self) -> f64 {
        self.routes
            .iter()
            .map(|route| route.client_timeout)
            .fold(0.0, f64::max)
    }

    /// Mean work of a request, in seconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.routes.iter().map(|route| route.share).sum();
        let work: f64 = self
            .routes
            .iter()
            .map(|route| route.share * route.work_ms / 1e3)
            .sum();
        work / shares.max(1e-9)
    }

    /// The index of the route of a name.
    pub fn route_index(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|route| route.name == name)
    }

    /// The index of the plan of a name.
    pub fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
