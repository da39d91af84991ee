//! Statistics of the differences between variants: runs are paired by seed, and intervals have a confidence of 95%.

use crate::metrics::{Figure, Results};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The quantile of Student's t distribution that bounds a two-sided confidence interval of 95%.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with its confidence interval of 95%.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The mean of the values, in their unit.
    pub mean: f64,
    /// Half the width of the interval, in the unit of the values; none for fewer than two values.
    pub half_width: Option<f64>,
}

impl Interval {
    /// The confidence interval of the mean of these values.
    pub fn of(values: &[f64]) -> Interval {
        let count = values.len() as f64;
        Interval {
            mean: mean(values),
            half_width: (values.len() >= 2).then(|| half_width(values, 1.0 / count)),
        }
    }

    /// Whether a value lies within the interval. False if the half width is unknown.
    pub fn contains(&self, value: f64) -> bool {
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

/// The mean of the values, or 0 if there are none.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Half the width of a confidence interval of 95% by Student's t distribution, for an estimate whose variance is
/// `variance_factor` times that of the values: 1/n for a mean of n values, and the sum of both factors for the
/// difference of two means. Needs two values at least.
pub(crate) fn half_width(values: &[f64], variance_factor: f64) -> f64 {
    let count = values.len() as f64;
    let mean = mean(values);
    let squares = values.iter().map(|value| (value - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    let quantile = match StudentsT::new(0.0, 1.0, count - 1.0) {
        Ok(distribution) => distribution.inverse_cdf(UPPER_QUANTILE),
        Err(_) => f64::NAN,
    };
    quantile * (variance * variance_factor).sqrt()
}

/// The runs of two variants with the same seed.
#[derive(Clone, Copy)]
pub(crate) struct Pair<'a> {
    /// The run of the baseline variant.
    pub(crate) base: &'a Results,
    /// The run of the variant that is compared with the baseline.
    pub(crate) other: &'a Results,
}

impl Pair<'_> {
    /// Whether the laboratory's own lateness was acceptable in both runs.
    pub(crate) fn in_time(&self) -> bool {
        !self.base.lateness.excessive && !self.other.lateness.excessive
    }
}

/// Pairs the runs of two variants by seed. A seed that only one of them has is left out.
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

/// The comparison of one figure between two variants.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The figure's name.
    pub figure: String,
    /// The figure's mean in the baseline variant.
    pub base: f64,
    /// The figure's mean in the other variant.
    pub other: f64,
    /// The difference of the other variant from the baseline, over the pairs of runs.
    pub difference: Interval,
    /// Number of pairs.
    pub pairs: usize,
}

/// The comparison of a variant with the first one, the baseline, in one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Name of the engine.
    pub engine: String,
    /// Name of the baseline variant.
    pub base: String,
    /// Name of the variant that is compared with the baseline.
    pub other: String,
    /// One row for each figure, in the order of [`Results::figures`]; empty without a usable pair.
    pub rows: Vec<Row>,
    /// Number of pairs that are left out because the laboratory itself was too late in one of the runs.
    pub late: usize,
}

/// The names of the variants, in the order of their first results.
pub fn variants(results: &[Results]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for run in results {
        if !names.contains(&run.variant) {
            names.push(run.variant.clone());
        }
    }
    names
}

/// The names of the engines of these results, sorted.
pub(crate) fn engines(results: &[Results]) -> Vec<&str> {
    let mut engines: Vec<&str> = results.iter().map(|run| run.engine.as_str()).collect();
    engines.sort_unstable();
    engines.dedup();
    engines
}

/// Compares every variant with the first one, for each engine, by pairs of runs with the same seed. Pairs in which the
/// laboratory was too late are left out and counted.
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

/// Compares each figure over pairs of runs; empty without a pair.
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
