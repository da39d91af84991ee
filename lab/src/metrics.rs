//! What a run has brought: counts by second, totals, latency quantiles and the figures that are compared.
//!
//! Results are stored as JSON, one run a line (`results.jsonl`). Fields that were renamed stay readable under
//! their old names by `serde` aliases, and keep their order.

mod recorder;

pub(crate) use recorder::MetricsRecorder;

use crate::events::RuleViolation;
use serde::{Deserialize, Serialize};

/// Steps of a stored latency curve in each power of ten of its tail (p90, p99, p99.9, ..).
pub const CURVE_STEPS_PER_NINE: usize = 15;
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

/// A figure that had another name in an earlier version.
struct RenamedFigure {
    old: &'static str,
    new: &'static str,
}

const fn renamed(old: &'static str, new: &'static str) -> RenamedFigure {
    RenamedFigure { old, new }
}

/// Old names of figures: commands and notes of earlier versions have them.
const RENAMED_FIGURES: &[RenamedFigure] = &[
    renamed("limited", "rejected"),
    renamed("limited with room", "rejected within quota"),
    renamed("beyond quotas", "over quota"),
    renamed("errored", "failed"),
    renamed("counter calls a try", "counter calls/attempt"),
    renamed("connections a try", "connections/attempt"),
    renamed("tries a proxied call", "attempts/success"),
    renamed("proxied p50 ms", "served p50 ms"),
    renamed("proxied p99 ms", "served p99 ms"),
    renamed("first try p99 ms", "first attempt p99 ms"),
];

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
            figure("rejected", ratio(rejected, requests)),
            figure(
                "rejected within quota",
                ratio(totals.rejected_within_quota as f64, rejected),
            ),
            figure(
                "over quota",
                ratio(totals.over_quota_units, totals.forwarded_units),
            ),
            figure("failed", ratio(totals.all_failures() as f64, requests)),
            figure(
                "counter calls/attempt",
                ratio(totals.counter_calls as f64, attempts),
            ),
            figure(
                "connections/attempt",
                ratio(totals.new_connections as f64, attempts),
            ),
            figure("attempts/success", ratio(attempts, totals.succeeded as f64)),
            figure("served p50 ms", self.succeeded_ms.p50),
            figure("served p99 ms", self.succeeded_ms.p99),
            figure("first attempt p99 ms", self.first_attempt_ms.p99),
        ]
    }

    /// A figure by its name, or by the one that an earlier version gave it.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let renaming = RENAMED_FIGURES.iter().find(|renaming| renaming.old == name);
        let name = renaming.map_or(name, |renaming| renaming.new);
        let mut figures = self.figures().into_iter();
        Some(figures.find(|figure| figure.name == name)?.value)
    }

    /// Nothing broke a rule and nothing crashed.
    pub fn sound(&self) -> bool {
        self.violation_count == 0 && self.crashes.is_empty()
    }
}

#[cfg(test)]
mod tests;
