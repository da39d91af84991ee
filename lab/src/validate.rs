//! Validates the model (the simulated engine) against measurements on loopback: the difference between two variants in
//! simulated time, with the interval in which a measurement should lie, is compared with the difference on loopback.

use crate::error::LabError;
use crate::experiment::{Engine, Experiment};
use crate::metrics::Results;
use crate::runs::{self, RunnerOptions};
use crate::stats;
use serde::{Deserialize, Serialize};

/// Smallest number of seeds for the model: fewer give no useful interval.
const MIN_MODEL_SEEDS: usize = 3;

/// The validation of one variant of an experiment. It is stored as JSON; renamed fields can still be read under their
/// old names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// Title of the experiment.
    pub experiment: String,
    /// Name of the baseline variant.
    pub base: String,
    /// Name of the variant that is compared with the baseline.
    pub other: String,
    /// Name of the figure that is compared.
    pub figure: String,
    /// Mean difference between the variants in the model.
    pub model: f64,
    /// Largest distance from the model's difference at which a measurement agrees with it.
    #[serde(alias = "off")]
    pub tolerance: f64,
    /// Mean difference between the variants on loopback.
    pub measured: f64,
    /// Number of seeds that the measurement is over.
    pub measured_seeds: usize,
    /// Number of loopback runs, over all variants, in which the laboratory itself was too late.
    pub late: usize,
}

impl Trial {
    /// Whether the measurement lies within the tolerance of the model's difference.
    pub fn holds(&self) -> bool {
        (self.model - self.measured).abs() <= self.tolerance
    }
}

/// Number of seeds for each engine.
#[derive(Clone, Copy, Debug)]
pub struct SeedCounts {
    /// Number of seeds in simulated time; at least three are run.
    pub model: usize,
    /// Number of seeds on loopback; at least one is run.
    pub loopback: usize,
}

/// The differences of a figure between two variants, by seed. Pairs in which the laboratory was too late are left out;
/// a figure that does not exist counts as 0.
fn differences(results: &[Results], base: &str, other: &str, figure: &str) -> Vec<f64> {
    let runs: Vec<&Results> = results.iter().collect();
    let mut differences = Vec::new();
    for pair in stats::pairs(&runs, base, other) {
        if pair.in_time() {
            let base_value = pair.base.figure(figure).unwrap_or(0.0);
            let other_value = pair.other.figure(figure).unwrap_or(0.0);
            differences.push(other_value - base_value);
        }
    }
    differences
}

/// Half the width of the interval around the mean of the model's `differences` in which a mean difference over `count`
/// measured seeds should lie, with a confidence of 95%.
fn measurement_tolerance(differences: &[f64], count: usize) -> f64 {
    let variance_factor = 1.0 / differences.len() as f64 + 1.0 / count.max(1) as f64;
    stats::half_width(differences, variance_factor)
}

/// Runs all variants of an experiment in both engines and compares each with the first one. `on_run` is called with the
/// result of each run.
pub fn trials(
    experiment: &Experiment,
    options: &RunnerOptions,
    seeds: SeedCounts,
    figure: &str,
    on_run: &(dyn Fn(&Result<Results, LabError>) + Sync),
) -> Result<Vec<Trial>, LabError> {
    let model_seeds = seeds.model.max(MIN_MODEL_SEEDS);
    let model_options = engine_options(options, Engine::Simulated, model_seeds);
    let loopback_options = engine_options(options, Engine::Loopback, seeds.loopback);
    let model = runs::run_all(experiment, &model_options, on_run)?;
    let loopback = runs::run_all(experiment, &loopback_options, on_run)?;
    let variants = experiment.variants_or_default();
    let base = &variants[0].name;
    let mut trials = Vec::new();
    for variant in &variants[1..] {
        let simulated = differences(&model, base, &variant.name, figure);
        let measured = differences(&loopback, base, &variant.name, figure);
        let late = loopback.iter().filter(|run| run.lateness.excessive);
        trials.push(Trial {
            experiment: experiment.title.clone(),
            base: base.clone(),
            other: variant.name.clone(),
            figure: figure.to_string(),
            model: stats::mean(&simulated),
            tolerance: measurement_tolerance(&simulated, measured.len()),
            measured: stats::mean(&measured),
            measured_seeds: measured.len(),
            late: late.count(),
        });
    }
    Ok(trials)
}

/// The options for runs of one engine with the seeds from 1 to `seed_count`, at least one.
fn engine_options(options: &RunnerOptions, engine: Engine, seed_count: usize) -> RunnerOptions {
    RunnerOptions {
        engine: Some(engine),
        seeds: Some((1..=seed_count.max(1) as u64).collect()),
        ..options.clone()
    }
}

#[cfg(test)]
mod tests;
