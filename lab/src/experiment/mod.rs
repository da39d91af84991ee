//! Experiments: the TOML files that describe a run and the variants that are compared.
//!
//! Unknown fields are refused, every number is checked against its range, and an error names the line, the field and
//! what was expected.

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

/// The engine of a run: which parts of a gateway it runs, and in which time.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Engine {
    /// Runs only the gateways' decision logic, in simulated time.
    #[default]
    Simulated,
    /// Runs the gateways as processes on loopback sockets, in real time.
    Loopback,
}

/// An experiment as read from its file. Times and durations are in seconds unless a name ends in `_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its title in results and reports.
    pub title: String,
    /// A description for readers of the report.
    #[serde(default)]
    pub about: String,
    /// Length of a run.
    pub seconds: f64,
    /// Time from the start of a run that is left out of totals and of most latencies. Broken rules count in it too.
    #[serde(default)]
    pub warm_up: f64,
    /// Seeds of the runs: each variant has one run for each seed.
    #[serde(default = "defaults::seeds")]
    pub seeds: Vec<u64>,
    /// The engine of its runs.
    #[serde(default)]
    pub engine: Engine,
    /// The emulated gateways and servers.
    #[serde(default)]
    pub fleet: FleetConfig,
    /// The counter that gateways share.
    #[serde(default)]
    pub counter: CounterConfig,
    /// How fast changes of the endpoint list reach the gateways.
    #[serde(default)]
    pub discovery: DiscoveryConfig,
    /// Network delays, and datagrams between gateways.
    #[serde(default)]
    pub network: NetworkConfig,
    /// The routes that clients request.
    #[serde(default = "defaults::routes")]
    pub routes: Vec<RouteConfig>,
    /// The plans of the customers.
    #[serde(default = "defaults::plans")]
    pub plans: Vec<PlanConfig>,
    /// What clients request, and how they behave.
    #[serde(default)]
    pub load: LoadConfig,
    /// The faults that are injected during a run.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
    /// The variants that are compared; the first one is the baseline of the others.
    #[serde(default)]
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// Everything that is out of its range or inconsistent with other fields.
    pub fn problems(&self) -> Vec<Problem> {
        validation::find_problems(self)
    }

    /// The longest client timeout of all routes, in seconds.
    pub fn max_client_timeout(&self) -> f64 {
        self.routes
            .iter()
            .map(|route| route.client_timeout)
            .fold(0.0, f64::max)
    }

    /// Mean work of a request over all routes, in seconds on a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.routes.iter().map(|route| route.share).sum();
        let work: f64 = self
            .routes
            .iter()
            .map(|route| route.share * route.work_ms / 1e3)
            .sum();
        work / shares.max(1e-9)
    }

    /// The index of the route with this name.
    pub fn route_index(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|route| route.name == name)
    }

    /// The index of the plan with this name.
    pub fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
