//! Counts what the gateway has done, and logs it once a minute.

use slog::Logger;
use std::collections::BTreeMap;
use wellcrank::port::AttemptOutcome;

#[derive(Default)]
pub struct Tally {
    pub calls: u64,
    pub proxied: u64,
    pub limited: u64,
    pub errored: u64,
    pub gone: u64,
    /// Answers of app servers that could not be read.
    pub spoilt: u64,
    /// Tries that were decided and not begun, as their terms lapsed before the first byte.
    pub lapsed: u64,
    tries: BTreeMap<&'static str, u64>,
}

impl Tally {
    pub fn ended(&mut self, outcome: AttemptOutcome) {
        let name = match outcome {
            AttemptOutcome::Success => "Proxied",
            AttemptOutcome::ServerError => "ServerError",
            AttemptOutcome::Rejected => "TurnedAway",
            AttemptOutcome::TimedOut => "TimedOut",
            AttemptOutcome::ConnectFailed => "NoConnection",
            AttemptOutcome::Reset => "Broken",
            AttemptOutcome::Cancelled => "Cancelled",
            AttemptOutcome::NotSent => "NotSent",
        };
        *self.tries.entry(name).or_default() += 1;
    }

    /// Logs what was counted, beside how things stand now, and begins anew.
    pub fn report(
        &mut self,
        log: &Logger,
        open: usize,
        clients: usize,
        upstream: usize,
        held: usize,
    ) {
        let Tally {
            calls,
            proxied,
            limited,
            errored,
            gone,
            spoilt,
            lapsed,
            tries,
        } = std::mem::take(self);
        slog::info!(log, "minute"; "calls" => calls, "proxied" => proxied, "limited" => limited,
            "errored" => errored, "gone" => gone, "spoilt" => spoilt, "lapsed" => lapsed, "open" => open, "clients" => clients,
            "upstream" => upstream, "held" => held, "tries" => ?tries);
    }
}
