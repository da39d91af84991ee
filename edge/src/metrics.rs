//! What the gateway has done, counted and logged once a minute.

use slog::Logger;
use std::collections::BTreeMap;
use wellcrank::port::AttemptOutcome;

/// Counts since the last report.
#[derive(Default)]
pub(crate) struct Metrics {
    /// Requests that were taken.
    pub(crate) requests: u64,
    /// Requests that were answered with an endpoint's value.
    pub(crate) served: u64,
    /// Requests that were answered with the advice to ask again.
    pub(crate) rejected: u64,
    /// Requests that were answered with an error.
    pub(crate) failed: u64,
    /// Requests whose client disconnected, or ended its sending, before they were answered.
    pub(crate) disconnected: u64,
    /// Responses of endpoints that could not be read.
    pub(crate) malformed_responses: u64,
    /// Attempts that were given up before the first byte, as what they were decided under no longer held.
    pub(crate) lapsed_attempts: u64,
    /// Attempts that have ended, by outcome.
    attempts: BTreeMap<&'static str, u64>,
}

/// How things stand when the metrics are reported.
pub(crate) struct Gauges {
    /// Requests that are open.
    pub(crate) open_requests: usize,
    /// Connections of clients.
    pub(crate) client_connections: usize,
    /// Connections to endpoints.
    pub(crate) upstream_connections: usize,
    /// Bytes in the buffers of connections and in open requests.
    pub(crate) buffered_bytes: usize,
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "Success",
        AttemptOutcome::ServerError => "ServerError",
        AttemptOutcome::Rejected => "Rejected",
        AttemptOutcome::TimedOut => "TimedOut",
        AttemptOutcome::ConnectFailed => "ConnectFailed",
        AttemptOutcome::Reset => "Reset",
        AttemptOutcome::Cancelled => "Cancelled",
        AttemptOutcome::NotSent => "NotSent",
    }
}

impl Metrics {
    /// Counts the end of an attempt.
    pub(crate) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        *self.attempts.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Logs the counts beside the gauges, and counts anew.
    pub(crate) fn report(&mut self, log: &Logger, gauges: &Gauges) {
        let counts = std::mem::take(self);
        slog::info!(log, "metrics";
            "requests" => counts.requests,
            "served" => counts.served,
            "rejected" => counts.rejected,
            "failed" => counts.failed,
            "disconnected" => counts.disconnected,
            "malformed_responses" => counts.malformed_responses,
            "lapsed_attempts" => counts.lapsed_attempts,
            "open_requests" => gauges.open_requests,
            "client_connections" => gauges.client_connections,
            "upstream_connections" => gauges.upstream_connections,
            "buffered_bytes" => gauges.buffered_bytes,
            "attempts" => ?counts.attempts);
    }
}
