//! Does the model say what loopback measures? For a known change: the difference of two variants in simulated
//! time, with the interval in which a measurement should fall, beside the difference that loopback measures.

use crate::error::LabError;
use crate::experiment::{Engine, Experiment};
use crate::metrics::Results;
use crate::runs::{self, RunnerOptions};
use crate::stats;
use serde::{Deserialize, Serialize};

/// The model is played on at least so many seeds: fewer give no useful interval.
const MIN_MODEL_SEEDS: usize = 3;

/// One change in one experiment. Stored as JSON; renamed fields stay readable under their old names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// Title of the experiment.
    pub experiment: String,
    /// The variant that is compared with.
    pub base: String,
    /// The variant that is compared.
    pub other: String,
    /// The figure that is compared.
    pub figure: String,
    /// The model's difference.
    pub model: f64,
    /// How far from it a measurement may lie.
    #[serde(alias = "off")]
    pub tolerance: f64,
    /// The difference that loopback measured.
    pub measured: f64,
    /// On so many seeds.
    pub measured_seeds: usize,
    /// Loopback runs in which the laboratory itself ran late.
    pub late: usize,
}

impl Trial {
    /// Whether the measurement lies where the model says.
    pub fn holds(&self) -> bool {
        (self.model - self.measured).abs() <= self.tolerance
    }
}

/// How many seeds each engine plays.
#[derive(Clone, Copy, Debug)]
pub struct SeedCounts {
    /// In simulated time.
    pub model: usize,
    /// On loopback.
    pub loopback: usize,
}

/// A figure's differences of two variants, by seed. A figure that does not exist counts as 0.
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

/// How far from the model's mean a mean over `count` seeds may lie: half the width of 95%.
fn measurement_tolerance(differences: &[f64], count: usize) -> f64 {
    let share = 1.0 / differences.len() as f64 + 1.0 / count.max(1) as f64;
    stats::half_width(differences, share)
}

/// Plays every variant of an experiment against its first in both engines. `on_run` hears of each run's end.
pub fn trials(
    experiment: &Experiment,
    ways: &RunnerOptions,
    seeds: SeedCounts,
    figure: &str,
    on_run: &(dyn Fn(&Result<Results, LabError>) + Sync),
) -> Result<Vec<Trial>, LabError> {
    let model_seeds = seeds.model.max(MIN_MODEL_SEEDS);
    let model_ways = ways_of(ways, Engine::Simulated, model_seeds);
    let loopback_ways = ways_of(ways, Engine::Loopback, seeds.loopback);
    let model = runs::play_all(experiment, &model_ways, on_run)?;
    let loopback = runs::play_all(experiment, &loopback_ways, on_run)?;
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

/// How an engine plays the first seeds.
fn ways_of(ways: &RunnerOptions, engine: Engine, seed_count: usize) -> RunnerOptions {
    RunnerOptions {
        engine: Some(engine),
        seeds: Some((1..=seed_count.max(1) as u64).collect()),
        ..ways.clone()
    }
}

#[cfg(test)]
mod tests;
