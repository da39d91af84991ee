//! The gateway's counters and gauges, which are logged once a minute.

use slog::Logger;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::AttemptOutcome;

/// The counts of events since the latest report.
#[derive(Default)]
pub(crate) struct Metrics {
    /// Requests that the gateway received.
    pub(crate) requests: u64,
    /// Requests that were answered with the value of an endpoint.
    pub(crate) served: u64,
    /// Requests that were rejected, which tells the client that it may safely retry.
    pub(crate) rejected: u64,
    /// Requests that were answered with an error.
    pub(crate) failed: u64,
    /// Requests whose client disconnected or stopped sending before they were answered.
    pub(crate) disconnected: u64,
    /// Malformed responses of endpoints.
    pub(crate) malformed_responses: u64,
    /// Attempts that were given up before their first byte was written, because the request no longer awaited an answer,
    /// the endpoint could get no further attempts or the time for the attempt had passed.
    pub(crate) lapsed_attempts: u64,
    /// Commands of clients that were handled, valid or not.
    client_commands: u64,
    /// The duration of the longest event loop iteration.
    longest_iteration: Duration,
    /// Finished attempts by outcome.
    attempts: BTreeMap<&'static str, u64>,
}

/// The current values that are logged with the counts.
pub(crate) struct Gauges {
    /// The number of open requests.
    pub(crate) open_requests: usize,
    /// The number of client connections.
    pub(crate) client_connections: usize,
    /// The number of connections to endpoints.
    pub(crate) upstream_connections: usize,
    /// The number of bytes in the buffers of connections and in open requests.
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
    /// Counts an attempt that has ended with this outcome.
    pub(crate) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        *self.attempts.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Records an event loop iteration of this duration in which this many commands of clients were handled.
    pub(crate) fn record_iteration(&mut self, duration: Duration, client_commands: u64) {
        self.longest_iteration = self.longest_iteration.max(duration);
        self.client_commands += client_commands;
    }

    /// Logs the counts and the gauges, and resets the counts.
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
            "client_commands" => counts.client_commands,
            "longest_iteration_ms" => counts.longest_iteration.as_millis(),
            "open_requests" => gauges.open_requests,
            "client_connections" => gauges.client_connections,
            "upstream_connections" => gauges.upstream_connections,
            "buffered_bytes" => gauges.buffered_bytes,
            "attempts" => ?counts.attempts);
    }
}
