//! Differences between variants, paired by seed, with intervals of 95%.

use crate::metrics::{Figure, Results};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and how far from it the truth may be; no interval from one value alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    pub mean: f64,
    pub off: Option<f64>,
}

impl Interval {
    pub fn of(values: &[f64]) -> Interval {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Interval { mean, off: None };
        }
        Interval {
            mean,
            off: Some(half_width(values, 1.0 / count)),
        }
    }

    pub fn holds(&self, value: f64) -> bool {
        self.off
            .is_some_and(|off| (value - self.mean).abs() <= off + 1e-12)
    }
}

/// Half of the width of 95% by Student's t, where what is judged varies by `share` of the values' variance: a
/// mean of n by 1/n, the difference of two such by the sum of both. Two values at least.
pub fn half_width(values: &[f64], share: f64) -> f64 {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let spread = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0);
    let reach = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::NAN, |it| it.inverse_cdf(0.975));
    reach * (spread * share).sqrt()
}

/// The runs of two variants, seed by seed.
pub fn pairs<'a>(
    results: &[&'a Results],
    base: &str,
    other: &str,
) -> Vec<(&'a Results, &'a Results)> {
    let ones = results.iter().filter(|it| it.variant == base);
    let pair = |one: &&'a Results| {
        let two = results
            .iter()
            .find(|it| it.variant == other && it.seed == one.seed)?;
        Some((*one, *two))
    };
    ones.filter_map(pair).collect()
}

/// Neither of a pair was spoilt by a laboratory that ran late.
pub fn in_time(pair: &(&Results, &Results)) -> bool {
    !pair.0.lateness.excessive && !pair.1.lateness.excessive
}

impl std::fmt::Display for Interval {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.off {
            Some(off) => write!(out, "{:+.4} ± {:.4}", self.mean, off),
            None => write!(out, "{:+.4}", self.mean),
        }
    }
}

/// One figure of two variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub figure: String,
    pub base: f64,
    pub other: f64,
    pub difference: Interval,
    pub pairs: usize,
}

/// A variant against the first one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    pub engine: String,
    pub base: String,
    pub other: String,
    pub rows: Vec<Row>,
    /// Runs on which the laboratory ran late, and which are left out.
    pub late: usize,
}

/// The variants in the order in which they stand in the results.
pub fn variants(results: &[Results]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for it in results {
        if !names.contains(&it.variant) {
            names.push(it.variant.clone());
        }
    }
    names
}

/// Compares every variant with the first, seed by seed. Runs that the laboratory spoilt are left out and
/// counted.
pub fn compare(results: &[Results]) -> Vec<Comparison> {
    let mut engines: Vec<&str> = results.iter().map(|it| it.engine.as_str()).collect();
    engines.sort_unstable();
    engines.dedup();
    let mut all = Vec::new();
    for engine in engines {
        let of: Vec<&Results> = results.iter().filter(|it| it.engine == engine).collect();
        let names = variants(results);
        let Some(base) = names.first() else { continue };
        for other in &names[1..] {
            let found = pairs(&of, base, other);
            let late = found.iter().filter(|pair| !in_time(pair)).count();
            let pairs: Vec<(Figures, Figures)> = found
                .into_iter()
                .filter(in_time)
                .map(|(one, two)| (one.figures(), two.figures()))
                .collect();
            let count = pairs.first().map_or(0, |pair| pair.0.len());
            let rows = (0..count).map(|place| {
                let column = |pick: &dyn Fn(&(Figures, Figures)) -> f64| {
                    pairs.iter().map(pick).collect::<Vec<f64>>()
                };
                let (ones, twos) = (
                    column(&|pair| pair.0[place].value),
                    column(&|pair| pair.1[place].value),
                );
                let differences: Vec<f64> =
                    ones.iter().zip(&twos).map(|(one, two)| two - one).collect();
                let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
                Row {
                    figure: pairs[0].0[place].name.to_string(),
                    base: mean(&ones),
                    other: mean(&twos),
                    difference: Interval::of(&differences),
                    pairs: pairs.len(),
                }
            });
            let (rows, engine) = (rows.collect(), engine.to_string());
            all.push(Comparison {
                engine,
                base: base.clone(),
                other: other.clone(),
                rows,
                late,
            });
        }
    }
    all
}

type Figures = Vec<Figure>;

#[cfg(test)]
mod tests;
