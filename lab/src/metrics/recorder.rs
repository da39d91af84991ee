//! Counts and measures while a run is played.

use super::{CurvePoint, Lateness, Quantiles, Results, SecondMetrics, CURVE_STEPS_PER_NINE};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Powers of ten that a stored latency curve covers: up to p99.99.
const CURVE_NINES: usize = 4;

/// A run in which the laboratory itself was later than this at the 99th percentile is not compared, in
/// milliseconds.
const EXCESSIVE_LATENESS_P99_MS: f64 = 5.0;
/// A run in which the laboratory itself was once later than this is not compared, in milliseconds.
const EXCESSIVE_LATENESS_ONCE_MS: f64 = 250.0;

/// Counts and measures while a run is played.
pub(crate) struct MetricsRecorder {
    seconds: Vec<SecondMetrics>,
    /// Share of its cores' time that a server was busy, by server and second.
    busy_shares: BTreeMap<u32, Vec<f32>>,
    warm_up: Duration,
    length: Duration,
    succeeded: Histogram<u64>,
    rejected: Histogram<u64>,
    failed: Histogram<u64>,
    first_attempt: Histogram<u64>,
    lateness: Histogram<u64>,
}

/// An empty histogram of microseconds up to an hour, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that fit")
}

/// The quantile of a curve's step, counted from 1.
fn curve_quantile(step: usize) -> f64 {
    1.0 - 10f64.powf(-(step as f64) / CURVE_STEPS_PER_NINE as f64)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    if histogram.is_empty() {
        return Quantiles::default();
    }
    let milliseconds_at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    let curve = (1..=CURVE_STEPS_PER_NINE * CURVE_NINES).map(|step| {
        let quantile = curve_quantile(step);
        CurvePoint {
            quantile,
            milliseconds: milliseconds_at(quantile),
        }
    });
    Quantiles {
        count: histogram.len(),
        mean: histogram.mean() / 1e3,
        p50: milliseconds_at(0.5),
        p90: milliseconds_at(0.9),
        p99: milliseconds_at(0.99),
        p999: milliseconds_at(0.999),
        max: histogram.max() as f64 / 1e3,
        curve: curve.collect(),
    }
}

fn record_span(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

impl MetricsRecorder {
    /// Nothing recorded yet, of a run of this length.
    pub(crate) fn new(warm_up: Duration, length: Duration) -> MetricsRecorder {
        MetricsRecorder {
            seconds: vec![SecondMetrics::default(); length.as_secs_f64().ceil() as usize],
            busy_shares: BTreeMap::new(),
            warm_up,
            length,
            succeeded: histogram(),
            rejected: histogram(),
            failed: histogram(),
            first_attempt: histogram(),
            lateness: histogram(),
        }
    }

    /// The counts that something belongs to; what comes after the run's end goes with its last second.
    pub(crate) fn second_at(&mut self, now: Duration) -> &mut SecondMetrics {
        let second = (now.as_secs() as usize).min(self.seconds.len() - 1);
        &mut self.seconds[second]
    }

    /// A request was served, so long after it was meant to be sent.
    pub(crate) fn record_success(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).succeeded += 1;
        if now >= self.warm_up {
            record_span(&mut self.succeeded, latency);
        }
    }

    /// A request was rejected, so long after it was meant to be sent.
    pub(crate) fn record_rejection(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).rejected += 1;
        record_span(&mut self.rejected, latency);
    }

    /// A request failed, so long after it was meant to be sent.
    pub(crate) fn record_failure(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).failed += 1;
        record_span(&mut self.failed, latency);
    }

    /// A request's first attempt reached a server, so long after the request was meant to be sent.
    pub(crate) fn record_first_attempt(&mut self, now: Duration, latency: Duration) {
        if now >= self.warm_up {
            record_span(&mut self.first_attempt, latency);
        }
    }

    /// The laboratory did something so much later than it was due.
    pub(crate) fn record_lateness(&mut self, lateness: Duration) {
        record_span(&mut self.lateness, lateness);
    }

    /// The share of its cores' time that a server was busy in one second. A server that did not exist in the
    /// seconds before was not busy in them.
    pub(crate) fn record_server_load(&mut self, server: u32, second: usize, busy_share: f32) {
        let shares = self.busy_shares.entry(server).or_default();
        shares.resize(second, 0.0);
        shares.push(busy_share);
    }

    /// Load of each server, by its index.
    pub(crate) fn server_load(&self) -> impl Iterator<Item = (u32, &[f32])> {
        let servers = self.busy_shares.iter();
        servers.map(|(server, shares)| (*server, shares.as_slice()))
    }

    fn lateness(&self) -> Lateness {
        if self.lateness.is_empty() {
            return Lateness::default();
        }
        let worst_ms = self.lateness.max() as f64 / 1e3;
        let p99_ms = self.lateness.value_at_quantile(0.99) as f64 / 1e3;
        Lateness {
            worst_ms,
            p99_ms,
            excessive: p99_ms > EXCESSIVE_LATENESS_P99_MS || worst_ms > EXCESSIVE_LATENESS_ONCE_MS,
        }
    }

    /// All that was counted; totals leave the warm-up out.
    pub(crate) fn results(&self) -> Results {
        let warm_up_seconds = (self.warm_up.as_secs() as usize).min(self.seconds.len());
        let mut totals = SecondMetrics::default();
        for second in &self.seconds[warm_up_seconds..] {
            totals.add(second);
        }
        Results {
            seconds: self.length.as_secs_f64(),
            totals,
            by_second: self.seconds.clone(),
            succeeded_ms: quantiles(&self.succeeded),
            rejected_ms: quantiles(&self.rejected),
            failed_ms: quantiles(&self.failed),
            first_attempt_ms: quantiles(&self.first_attempt),
            lateness: self.lateness(),
            ..Results::default()
        }
    }
}
