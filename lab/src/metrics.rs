//! The results of a run: counts per second, totals, latency distributions, and the figures that variants are compared
//! by.
//!
//! Results are stored as JSON Lines, one run per line (`results.jsonl`). Fields that were renamed can still be read
//! under their old names by `serde` aliases, and keep their order.

mod recorder;

pub(crate) use recorder::MetricsRecorder;

use crate::events::RuleViolation;
use serde::{Deserialize, Serialize};

/// Points of a stored latency curve for each further nine of the quantile: up to p90, from there to p99, and so on.
pub const CURVE_STEPS_PER_NINE: usize = 15;

/// Counts of one second, or totals of several seconds. The value of an operation is the billed value of its route
/// times its units and the plan's price.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondMetrics {
    /// Requests that clients sent, retries included.
    #[serde(alias = "asked")]
    pub requests: u64,
    /// Requests answered with a value.
    #[serde(alias = "proxied")]
    pub succeeded: u64,
    /// Requests that a gateway rejected.
    #[serde(alias = "limited")]
    pub rejected: u64,
    /// Requests that were answered with an error, or whose connection ended without an answer.
    #[serde(alias = "errored")]
    pub failed: u64,
    /// Requests without an answer by the client timeout, or that the client gave up before.
    pub unanswered: u64,
    /// Requests that no gateway accepted.
    #[serde(alias = "unreached")]
    pub unreachable: u64,
    /// Value of the operations within their customer's quota, counted at their first request.
    #[serde(alias = "value_asked")]
    pub requested_value: f64,
    /// Value of the operations within quota that were served, counted in the second of the request that was served. An
    /// answer after the latency target counts by the route's `late_worth`.
    pub value_in_time: f64,
    /// Units of the requests that were forwarded to servers, counted at the first attempt.
    #[serde(alias = "units")]
    pub forwarded_units: f64,
    /// The part of `forwarded_units` that belongs to requests beyond their customer's quota.
    #[serde(alias = "beyond")]
    pub over_quota_units: f64,
    /// Cost of the units beyond quotas: their value times the plan's `over_cost`.
    #[serde(alias = "beyond_cost")]
    pub over_quota_cost: f64,
    /// Requests that were rejected although the customer's quota had enough units and its concurrency limit allowed
    /// another attempt.
    #[serde(alias = "limited_with_room")]
    pub rejected_within_quota: u64,
    /// Requests that were rejected although at least half of the customer's burst and more than half of its concurrency
    /// limit was unused.
    #[serde(alias = "limited_half_unused")]
    pub rejected_with_half_quota: u64,
    /// Calls to the shared counter.
    pub counter_calls: u64,
    /// Attempts that arrived at servers.
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

    /// Number of requests that ended with neither a value nor a rejection.
    pub fn all_failures(&self) -> u64 {
        self.failed + self.unanswered + self.unreachable
    }
}

/// One point of a latency curve. Earlier versions stored it as a pair, which can still be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CurvePoint {
    /// The quantile, from 0 to 1.
    pub quantile: f64,
    /// The latency at this quantile, in milliseconds.
    pub milliseconds: f64,
}

/// A latency distribution. All latencies are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of requests whose latency was recorded.
    pub count: u64,
    /// Mean latency.
    pub mean: f64,
    /// Median latency.
    pub p50: f64,
    /// 90th percentile of the latency.
    pub p90: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// 99.9th percentile of the latency.
    pub p999: f64,
    /// Largest latency.
    pub max: f64,
    /// The distribution as a curve for plots, with [`CURVE_STEPS_PER_NINE`] points for each nine of the quantile.
    pub curve: Vec<CurvePoint>,
}

/// How far the laboratory itself lagged behind: the time between the moment at which an event was due and the moment
/// at which it was processed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// The largest lateness, in milliseconds.
    pub worst_ms: f64,
    /// The 99th percentile of the lateness, in milliseconds.
    pub p99_ms: f64,
    /// Whether the laboratory was so late that the run's figures reflect its own delays rather than the gateways'
    /// behaviour. Such a run is not compared.
    #[serde(alias = "spoilt")]
    pub excessive: bool,
}

/// The load of one server. Earlier versions stored it as a pair, which can still be read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server's name.
    pub server: String,
    /// Share of its cores' time that it was busy, for each second.
    pub busy_share: Vec<f32>,
}

/// Counts of the clients that sent bytes that cannot be parsed. Earlier versions stored them as a pair, which can still
/// be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MisbehavingClients {
    /// Clients that got neither an error nor a closed connection in time.
    pub unanswered: u64,
    /// All misbehaving clients.
    pub total: u64,
}

/// A figure by which variants are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// The figure's name in reports and on the command line.
    pub name: &'static str,
    /// The figure's value.
    pub value: f64,
}

/// The results of one run.
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
    /// Length of the run, in seconds of the engine's time.
    pub seconds: f64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// Totals of the seconds after the warm-up.
    #[serde(alias = "all")]
    pub totals: SecondMetrics,
    /// Counts of each second, the warm-up included.
    pub by_second: Vec<SecondMetrics>,
    /// Latency of requests that were served after the warm-up, from when they were due to be sent.
    #[serde(alias = "proxied_ms")]
    pub succeeded_ms: Quantiles,
    /// Latency of rejected requests, the warm-up included.
    #[serde(alias = "limited_ms")]
    pub rejected_ms: Quantiles,
    /// Latency of failed requests, the warm-up included.
    #[serde(alias = "errored_ms")]
    pub failed_ms: Quantiles,
    /// Time from when a request was due to be sent until its first attempt arrived at a server, after the warm-up.
    #[serde(alias = "first_try_ms")]
    pub first_attempt_ms: Quantiles,
    /// Load of each server.
    pub server_load: Vec<ServerLoad>,
    /// The first violations of rules, up to a limit.
    #[serde(alias = "broken")]
    pub violations: Vec<RuleViolation>,
    /// Number of all violations.
    #[serde(alias = "broken_count")]
    pub violation_count: u64,
    /// How far the laboratory itself lagged behind.
    pub lateness: Lateness,
    /// Counts of the clients that sent bytes that cannot be parsed.
    #[serde(alias = "bad_clients")]
    pub misbehaving_clients: MisbehavingClients,
    /// Descriptions of gateway processes that ended unexpectedly and of other failures of a gateway.
    pub crashes: Vec<String>,
    /// Wall-clock time that the run took, in seconds.
    #[serde(alias = "took")]
    pub wall_seconds: f64,
    /// CPU time that all gateways used, in seconds.
    #[serde(alias = "gateway_cpu")]
    pub gateway_cpu_seconds: f64,
    /// Resident memory of the largest gateway, in MiB.
    pub gateway_mb: f64,
}

/// The old and the new name of a figure that was renamed.
struct RenamedFigure {
    old: &'static str,
    new: &'static str,
}

const fn renamed(old: &'static str, new: &'static str) -> RenamedFigure {
    RenamedFigure { old, new }
}

/// Renamed figures. Scripts and notes for earlier versions use the old names, so they stay accepted.
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
    /// The figures by which variants are compared, in the order of reports. Those without a unit in their name are
    /// ratios.
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

    /// The value of a figure by its present or an earlier name; none if no figure has the name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let renaming = RENAMED_FIGURES.iter().find(|renaming| renaming.old == name);
        let name = renaming.map_or(name, |renaming| renaming.new);
        let mut figures = self.figures().into_iter();
        Some(figures.find(|figure| figure.name == name)?.value)
    }

    /// Whether no rule was violated and no gateway crashed.
    pub fn sound(&self) -> bool {
        self.violation_count == 0 && self.crashes.is_empty()
    }
}

#[cfg(test)]
mod tests;
