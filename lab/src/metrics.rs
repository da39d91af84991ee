//! What a run has brought: counts by second, totals, latency quantiles and the figures that are compared.
//!
//! Results are stored as JSON, one run a line (`results.jsonl`). Fields that were renamed stay readable under
//! their old names by `serde` aliases, and keep their order.

use crate::events::RuleViolation;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps of a stored latency curve in each power of ten of its tail (p90, p99, p99.9, ..).
pub const CURVE_STEPS_PER_NINE: usize = 15;
/// Powers of ten that a stored latency curve covers: up to p99.99.
const CURVE_NINES: usize = 4;

/// A run in which the laboratory itself was later than this at the 99th percentile is not compared, in
/// milliseconds.
const EXCESSIVE_LATENESS_P99_MS: f64 = 5.0;
/// A run in which the laboratory itself was once later than this is not compared, in milliseconds.
const EXCESSIVE_LATENESS_ONCE_MS: f64 = 250.0;

/// Counts of one second, or totals of several. Values are billed values times the plan's price.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondMetrics {
    /// Requests as clients send them, their retries included.
    #[serde(alias = "asked")]
    pub requests: u64,
    /// Requests answered with a value.
    #[serde(alias = "proxied")]
    pub succeeded: u64,
    /// Requests that the gateway declined with a hint when to retry.
    #[serde(alias = "limited")]
    pub rejected: u64,
    /// Requests answered with an error, or whose connection ended with no answer.
    #[serde(alias = "errored")]
    pub failed: u64,
    /// Requests with no answer by the client timeout, or given up by the client.
    pub unanswered: u64,
    /// Requests that no gateway took.
    #[serde(alias = "unreached")]
    pub unreachable: u64,
    /// Value of the operations that are inside their customer's quota, counted at their first request.
    #[serde(alias = "value_asked")]
    pub requested_value: f64,
    /// Of that value, what was answered within the latency target.
    pub value_in_time: f64,
    /// Units that were forwarded to servers.
    #[serde(alias = "units")]
    pub forwarded_units: f64,
    /// Units that were forwarded beyond the customer's quota.
    #[serde(alias = "beyond")]
    pub over_quota_units: f64,
    /// The value that those units cost.
    #[serde(alias = "beyond_cost")]
    pub over_quota_cost: f64,
    /// Rejected while the customer's quota held the units and its concurrency limit one more attempt.
    #[serde(alias = "limited_with_room")]
    pub rejected_within_quota: u64,
    /// Rejected while at least half of the customer's burst and concurrency limit was unused.
    #[serde(alias = "limited_half_unused")]
    pub rejected_with_half_quota: u64,
    /// Calls on the shared counter.
    pub counter_calls: u64,
    /// Attempts that reached a server.
    #[serde(alias = "tries")]
    pub attempts: u64,
    /// New connections from gateways to servers.
    #[serde(alias = "connections")]
    pub new_connections: u64,
    /// Datagrams sent between gateways.
    pub datagrams: u64,
}

impl SecondMetrics {
    fn add(&mut self, other: &SecondMetrics) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.unreachable += other.unreachable;
        self.requested_value += other.requested_value;
        self.value_in_time += other.value_in_time;
        self.forwarded_units += other.forwarded_units;
        self.over_quota_units += other.over_quota_units;
        self.over_quota_cost += other.over_quota_cost;
        self.rejected_within_quota += other.rejected_within_quota;
        self.rejected_with_half_quota += other.rejected_with_half_quota;
        self.counter_calls += other.counter_calls;
        self.attempts += other.attempts;
        self.new_connections += other.new_connections;
        self.datagrams += other.datagrams;
    }

    /// Requests that ended with neither a value nor a rejection.
    pub fn all_failures(&self) -> u64 {
        self.failed + self.unanswered + self.unreachable
    }
}

/// One point of a latency curve; stored as a pair by earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CurvePoint {
    /// The quantile, from 0 to 1.
    pub quantile: f64,
    /// The latency at it, in milliseconds.
    pub milliseconds: f64,
}

/// A latency distribution, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many values there are.
    pub count: u64,
    /// Their mean.
    pub mean: f64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The largest value.
    pub max: f64,
    /// The distribution for plots, [`CURVE_STEPS_PER_NINE`] points for each power of ten of the tail.
    pub curve: Vec<CurvePoint>,
}

/// How late the laboratory itself was: the time from when something was due to when it was done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// The largest lateness, in milliseconds.
    pub worst_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// So late that the figures say more of the laboratory than of the program.
    #[serde(alias = "spoilt")]
    pub excessive: bool,
}

/// The load of one server; stored as a pair by earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server's name.
    pub server: String,
    /// Share of its cores' time that it was busy, by second.
    pub busy_share: Vec<f32>,
}

/// Clients that sent bytes that cannot be parsed; stored as a pair by earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MisbehavingClients {
    /// Those that were owed an error or a close and got neither in time.
    pub unanswered: u64,
    /// All of them.
    pub total: u64,
}

/// One of the figures that are compared between variants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Its name, as reports and the command give it.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

/// What one run has brought.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Title of the experiment.
    pub experiment: String,
    /// Name of the variant.
    pub variant: String,
    /// Name of the engine.
    pub engine: String,
    /// The run's seed.
    pub seed: u64,
    /// Length of the run, in seconds of its own time.
    pub seconds: f64,
    /// How many gateways there were.
    pub gateways: usize,
    /// How many servers there were at the start.
    pub servers: usize,
    /// Totals after the warm-up.
    #[serde(alias = "all")]
    pub totals: SecondMetrics,
    /// Counts by second, the warm-up included.
    pub by_second: Vec<SecondMetrics>,
    /// Latency of served requests, from the moment at which they were meant to be sent.
    #[serde(alias = "proxied_ms")]
    pub succeeded_ms: Quantiles,
    /// Latency of rejected requests.
    #[serde(alias = "limited_ms")]
    pub rejected_ms: Quantiles,
    /// Latency of failed requests.
    #[serde(alias = "errored_ms")]
    pub failed_ms: Quantiles,
    /// From the moment at which a request was meant to be sent to its first attempt's arrival at a server.
    #[serde(alias = "first_try_ms")]
    pub first_attempt_ms: Quantiles,
    /// Load of each server.
    pub server_load: Vec<ServerLoad>,
    /// The first of the broken rules.
    #[serde(alias = "broken")]
    pub violations: Vec<RuleViolation>,
    /// How many rules were broken in all.
    #[serde(alias = "broken_count")]
    pub violation_count: u64,
    /// How late the laboratory itself was.
    pub lateness: Lateness,
    /// What became of clients that sent bytes that cannot be parsed.
    #[serde(alias = "bad_clients")]
    pub misbehaving_clients: MisbehavingClients,
    /// Processes that ended by themselves, and other faults of a gateway, in words.
    pub crashes: Vec<String>,
    /// Real time that the run took, in seconds.
    #[serde(alias = "took")]
    pub wall_seconds: f64,
    /// Processor time of all gateways, in seconds.
    #[serde(alias = "gateway_cpu")]
    pub gateway_cpu_seconds: f64,
    /// Resident memory of the largest gateway, in MB.
    pub gateway_mb: f64,
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

impl Results {
    /// The figures that are compared.
    pub fn figures(&self) -> Vec<Figure> {
        let totals = &self.totals;
        let requests = totals.requests as f64;
        let attempts = totals.attempts as f64;
        let rejected = totals.rejected as f64;
        let net_value = totals.value_in_time - totals.over_quota_cost;
        let figure = |name, value| Figure { name, value };
        vec![
            figure(
                "served",
                ratio(totals.value_in_time, totals.requested_value),
            ),
            figure("net", ratio(net_value, totals.requested_value)),
            figure("limited", ratio(rejected, requests)),
            figure(
                "limited with room",
                ratio(totals.rejected_within_quota as f64, rejected),
            ),
            figure(
                "beyond quotas",
                ratio(totals.over_quota_units, totals.forwarded_units),
            ),
            figure("errored", ratio(totals.all_failures() as f64, requests)),
            figure(
                "counter calls a try",
                ratio(totals.counter_calls as f64, attempts),
            ),
            figure(
                "connections a try",
                ratio(totals.new_connections as f64, attempts),
            ),
            figure(
                "tries a proxied call",
                ratio(attempts, totals.succeeded as f64),
            ),
            figure("proxied p50 ms", self.succeeded_ms.p50),
            figure("proxied p99 ms", self.succeeded_ms.p99),
            figure("first try p99 ms", self.first_attempt_ms.p99),
        ]
    }

    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let mut figures = self.figures().into_iter();
        Some(figures.find(|figure| figure.name == name)?.value)
    }

    /// Nothing broke a rule and nothing crashed.
    pub fn sound(&self) -> bool {
        self.violation_count == 0 && self.crashes.is_empty()
    }
}

/// Counts and measures while a run is played.
pub struct MetricsRecorder {
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
    pub fn new(warm_up: Duration, length: Duration) -> MetricsRecorder {
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
    pub fn second_at(&mut self, now: Duration) -> &mut SecondMetrics {
        let second = (now.as_secs() as usize).min(self.seconds.len() - 1);
        &mut self.seconds[second]
    }

    /// A request was served, so long after it was meant to be sent.
    pub fn record_success(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).succeeded += 1;
        if now >= self.warm_up {
            record_span(&mut self.succeeded, latency);
        }
    }

    /// A request was rejected, so long after it was meant to be sent.
    pub fn record_rejection(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).rejected += 1;
        record_span(&mut self.rejected, latency);
    }

    /// A request failed, so long after it was meant to be sent.
    pub fn record_failure(&mut self, now: Duration, latency: Duration) {
        self.second_at(now).failed += 1;
        record_span(&mut self.failed, latency);
    }

    /// A request's first attempt reached a server, so long after the request was meant to be sent.
    pub fn record_first_attempt(&mut self, now: Duration, latency: Duration) {
        if now >= self.warm_up {
            record_span(&mut self.first_attempt, latency);
        }
    }

    /// The laboratory did something so much later than it was due.
    pub fn record_lateness(&mut self, lateness: Duration) {
        record_span(&mut self.lateness, lateness);
    }

    /// The share of its cores' time that a server was busy in one second. A server that did not exist in the
    /// seconds before was not busy in them.
    pub fn record_server_load(&mut self, server: u32, second: usize, busy_share: f32) {
        let shares = self.busy_shares.entry(server).or_default();
        shares.resize(second, 0.0);
        shares.push(busy_share);
    }

    /// Load of each server, by its index.
    pub fn server_load(&self) -> impl Iterator<Item = (u32, &[f32])> {
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
    pub fn results(&self) -> Results {
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

#[cfg(test)]
mod tests;
