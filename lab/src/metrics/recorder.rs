//! Records counts and latencies during a run.

use super::{CurvePoint, Lateness, Quantiles, Results, SecondMetrics, CURVE_STEPS_PER_NINE};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of nines up to which a stored latency curve reaches: p99.99.
const CURVE_NINES: usize = 4;

/// A run is not compared if the laboratory's own lateness exceeded this at the 99th percentile.
const EXCESSIVE_LATENESS_P99_MS: f64 = 5.0;
/// A run is not compared if the laboratory's own lateness exceeded this even once.
const EXCESSIVE_LATENESS_MAX_MS: f64 = 250.0;

/// Records the counts and latencies of one run and makes its [`Results`] of them. Histograms are in microseconds.
pub(crate) struct MetricsRecorder {
    seconds: Vec<SecondMetrics>,
    /// Share of its cores' time that each server was busy, per second, by the server's index.
    busy_shares: BTreeMap<u32, Vec<f32>>,
    warm_up: Duration,
    length: Duration,
    succeeded: Histogram<u64>,
    rejected: Histogram<u64>,
    failed: Histogram<u64>,
    first_attempt: Histogram<u64>,
    lateness: Histogram<u64>,
}

/// An empty histogram of 1 microsecond to 1 hour with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid histogram bounds")
}

/// The quantile at a step of a curve; steps count from 1.
fn curve_quantile(step: usize) -> f64 {
    1.0 - 10f64.powf(-(step as f64) / CURVE_STEPS_PER_NINE as f64)
}

/// Reads the stored distribution, in milliseconds, from a histogram of microseconds.
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

fn record_duration(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

impl MetricsRecorder {
    /// A recorder without records, for a run of this length.
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

    /// The counts of the second at `now`. Events after the run's end count in its last second.
    pub(crate) fn second_at(&mut self, now: Duration) -> &mut SecondMetrics {
        let second = (now.as_secs() as usize).min(self.seconds.len() - 1);
        &mut self.seconds[second]
    }

    /// Records a served request; `latency` counts from when it was due to be sent. The warm-up is left out of the
    /// latencies.
    pub(crate) fn record_success(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).succeeded += 1;
        if now >= self.warm_up {
            record_duration(&mut self.succeeded, latency);
        }
    }

    /// Records a rejected request; `latency` counts from when it was due to be sent.
    pub(crate) fn record_rejection(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).rejected += 1;
        record_duration(&mut self.rejected, latency);
    }

    /// Records a failed request; `latency` counts from when it was due to be sent.
    pub(crate) fn record_failure(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).failed += 1;
        record_duration(&mut self.failed, latency);
    }

    /// Records the arrival of a request's first attempt at a server; `latency` counts from when the request was due to
    /// be sent. The warm-up is left out.
    pub(crate) fn record_first_attempt(&mut self, now: Duration, latency: Duration) {
        if now >= self.warm_up {
            record_duration(&mut self.first_attempt, latency);
        }
    }

    /// Records how late the laboratory processed an event that was due.
    pub(crate) fn record_lateness(&mut self, lateness: Duration) {
        record_duration(&mut self.lateness, lateness);
    }

    /// Records the share of its cores' time that a server was busy in one second. Earlier seconds without a record,
    /// as of a server that did not exist yet, count as idle.
    pub(crate) fn record_server_load(&mut self, server: u32, second: usize, busy_share: f32) {
        let shares = self.busy_shares.entry(server).or_default();
        shares.resize(second, 0.0);
        shares.push(busy_share);
    }

    /// The busy shares of each server per second, with the server's index.
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
            excessive: p99_ms > EXCESSIVE_LATENESS_P99_MS || worst_ms > EXCESSIVE_LATENESS_MAX_MS,
        }
    }

    /// The results so far. The totals leave out the warm-up; names, violations, CPU time and memory are not filled in.
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
