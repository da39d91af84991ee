//! Does the model say what loopback measures? For a known change the model's difference of two variants, with
//! the interval in which a measurement on the same number of seeds should fall, beside what loopback measures.

use crate::error::LabError;
use crate::experiment::{Engine, Experiment};
use crate::metrics::Results;
use crate::runs::{self, Ways};
use crate::stats;
use serde::{Deserialize, Serialize};

/// One change on one kind of day.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    pub experiment: String,
    pub base: String,
    pub other: String,
    pub figure: String,
    /// The model's difference, and how far from it a measurement may lie.
    pub model: f64,
    pub off: f64,
    pub measured: f64,
    pub measured_seeds: usize,
    /// Loopback runs on which the laboratory ran late.
    pub late: usize,
}

impl Trial {
    pub fn holds(&self) -> bool {
        (self.model - self.measured).abs() <= self.off
    }
}

/// The model's differences by seed.
fn differences(results: &[Results], base: &str, other: &str, figure: &str) -> Vec<f64> {
    let value = |it: &Results| it.figure(figure).unwrap_or(0.0);
    let all: Vec<&Results> = results.iter().collect();
    let pairs = stats::pairs(&all, base, other)
        .into_iter()
        .filter(stats::in_time);
    pairs.map(|(one, two)| value(two) - value(one)).collect()
}

/// Where a mean over `count` seeds should fall, from the model's differences: half the width of 95%.
pub fn reach(differences: &[f64], count: usize) -> f64 {
    stats::half_width(
        differences,
        1.0 / differences.len() as f64 + 1.0 / count.max(1) as f64,
    )
}

/// Plays every variant of an experiment against its first in both engines. `model_seeds` in simulated time,
/// `seeds` on loopback.
pub fn trials(
    experiment: &Experiment,
    ways: &Ways,
    (model_seeds, seeds): (usize, usize),
    figure: &str,
    told: &(dyn Fn(&Result<Results, LabError>) + Sync),
) -> Result<Vec<Trial>, LabError> {
    let engine = |engine, count: usize| Ways {
        engine: Some(engine),
        seeds: Some((1..=count.max(1) as u64).collect()),
        ..ways.clone()
    };
    let model = runs::all(
        experiment,
        &engine(Engine::Simulated, model_seeds.max(3)),
        told,
    )?;
    let loopback = runs::all(experiment, &engine(Engine::Loopback, seeds), told)?;
    let sides = experiment.sides();
    let trial = |other: &crate::experiment::Variant| {
        let base = &sides[0].name;
        let simulated = differences(&model, base, &other.name, figure);
        let measured = differences(&loopback, base, &other.name, figure);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        Trial {
            experiment: experiment.title.clone(),
            base: base.clone(),
            other: other.name.clone(),
            figure: figure.to_string(),
            model: mean(&simulated),
            off: reach(&simulated, measured.len()),
            measured: mean(&measured),
            measured_seeds: measured.len(),
            late: loopback.iter().filter(|it| it.lateness.excessive).count(),
        }
    };
    Ok(sides[1..].iter().map(trial).collect())
}

#[cfg(test)]
mod tests;
