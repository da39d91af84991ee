//! Differences between variants, paired by seed, with intervals of 95%.

use crate::metrics::{Figure, Results};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The quantile of Student's t up to which a two-sided interval of 95% reaches.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean and how far from it the truth may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; none from one value alone.
    pub half_width: Option<f64>,
}

impl Interval {
    /// The interval of the mean of these values.
    pub fn of(values: &[f64]) -> Interval {
        let count = values.len() as f64;
        Interval {
            mean: mean(values),
            half_width: (values.len() >= 2).then(|| half_width(values, 1.0 / count)),
        }
    }

    /// Whether a value lies within it.
    pub fn holds(&self, value: f64) -> bool {
        let tolerance = 1e-12;
        self.half_width
            .is_some_and(|half_width| (value - self.mean).abs() <= half_width + tolerance)
    }
}

impl std::fmt::Display for Interval {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.half_width {
            Some(half_width) => write!(out, "{:+.4} ± {half_width:.4}", self.mean),
            None => write!(out, "{:+.4}", self.mean),
        }
    }
}

/// The mean; 0 of no values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Half of the width of 95% by Student's t, where what is judged varies by `share` of the values' variance: a
/// mean of n by 1/n, the difference of two such by the sum of both. Two values at least.
pub(crate) fn half_width(values: &[f64], share: f64) -> f64 {
    let count = values.len() as f64;
    let mean = mean(values);
    let squares = values.iter().map(|value| (value - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    let quantile = match StudentsT::new(0.0, 1.0, count - 1.0) {
        Ok(distribution) => distribution.inverse_cdf(UPPER_QUANTILE),
        Err(_) => f64::NAN,
    };
    quantile * (variance * share).sqrt()
}

/// The runs of two variants on the same seed.
#[derive(Clone, Copy)]
pub(crate) struct Pair<'a> {
    /// The run of the variant that is compared with.
    pub(crate) base: &'a Results,
    /// The run of the variant that is compared.
    pub(crate) other: &'a Results,
}

impl Pair<'_> {
    /// The laboratory ran in time in both runs.
    pub(crate) fn in_time(&self) -> bool {
        !self.base.lateness.excessive && !self.other.lateness.excessive
    }
}

/// The runs of two variants, seed by seed.
pub(crate) fn pairs<'a>(results: &[&'a Results], base: &str, other: &str) -> Vec<Pair<'a>> {
    let mut pairs = Vec::new();
    for base_run in results.iter().filter(|run| run.variant == base) {
        let other_run = results
            .iter()
            .find(|run| run.variant == other && run.seed == base_run.seed);
        if let Some(other_run) = other_run {
            pairs.push(Pair {
                base: base_run,
                other: other_run,
            });
        }
    }
    pairs
}

/// One figure of two variants.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The figure's name.
    pub figure: String,
    /// Its mean in the variant that is compared with.
    pub base: f64,
    /// Its mean in the other variant.
    pub other: f64,
    /// The differences by seed.
    pub difference: Interval,
    /// How many seeds there are.
    pub pairs: usize,
}

/// A variant against the first one.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The engine that played both.
    pub engine: String,
    /// The first variant.
    pub base: String,
    /// The variant that is compared with it.
    pub other: String,
    /// The figures, in their order.
    pub rows: Vec<Row>,
    /// Pairs that are left out because the laboratory itself ran late.
    pub late: usize,
}

/// The variants in the order in which they stand in the results.
pub fn variants(results: &[Results]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for run in results {
        if !names.contains(&run.variant) {
            names.push(run.variant.clone());
        }
    }
    names
}

/// The engines that have played, by name.
pub(crate) fn engines(results: &[Results]) -> Vec<&str> {
    let mut engines: Vec<&str> = results.iter().map(|run| run.engine.as_str()).collect();
    engines.sort_unstable();
    engines.dedup();
    engines
}

/// Compares every variant with the first, seed by seed. Pairs in which the laboratory ran late are left out and
/// counted.
pub fn compare(results: &[Results]) -> Vec<Comparison> {
    let names = variants(results);
    let Some((base, others)) = names.split_first() else {
        return Vec::new();
    };
    let mut comparisons = Vec::new();
    for engine in engines(results) {
        let runs: Vec<&Results> = results.iter().filter(|run| run.engine == engine).collect();
        for other in others {
            let pairs = pairs(&runs, base, other);
            let compared: Vec<Pair> = pairs.iter().copied().filter(Pair::in_time).collect();
            comparisons.push(Comparison {
                engine: engine.to_string(),
                base: base.clone(),
                other: other.clone(),
                rows: rows(&compared),
                late: pairs.len() - compared.len(),
            });
        }
    }
    comparisons
}

/// Each figure of two variants; none without a pair.
fn rows(pairs: &[Pair]) -> Vec<Row> {
    let base: Vec<Vec<Figure>> = pairs.iter().map(|pair| pair.base.figures()).collect();
    let other: Vec<Vec<Figure>> = pairs.iter().map(|pair| pair.other.figures()).collect();
    let figures = base.first().map_or(&[][..], Vec::as_slice);
    let mut rows = Vec::new();
    for (index, figure) in figures.iter().enumerate() {
        let base_values: Vec<f64> = base.iter().map(|run| run[index].value).collect();
        let other_values: Vec<f64> = other.iter().map(|run| run[index].value).collect();
        let differences: Vec<f64> = base_values
            .iter()
            .zip(&other_values)
            .map(|(base_value, other_value)| other_value - base_value)
            .collect();
        rows.push(Row {
            figure: figure.name.to_string(),
            base: mean(&base_values),
            other: mean(&other_values),
            difference: Interval::of(&differences),
            pairs: pairs.len(),
        });
    }
    rows
}

#[cfg(test)]
mod tests;
