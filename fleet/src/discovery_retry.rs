//! When to ask for the endpoint list again after a call for it failed, told apart by how it failed.
//!
//! *Timeout* (silence, a refused, reset or never opened connection): asking again soon adds no load to a service that
//! hears nobody, and what it has at its return counts as notified at once, so the first answer must be in well within
//! the drain grace. *Rejection* (an answer that is no list): a service that a fleet shares is overloaded, and asking
//! again soon keeps it so.

use crate::backoff::Backoff;
use crate::phase::golden_ratio_phase;
use std::time::Duration;

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No whole answer came.
    Timeout,
    /// An answer came that is no list.
    Rejection,
}

/// After a call that failed, was rejected or given up, a change counts as notified so long after discovery had it and
/// could be reached. Whatever the settings say, what a call may take, the wait before the next and the next one's answer
/// fit into it.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// The longest wait of a watch: what a watch misses that stops answering at once is found by the next call within
/// [`NOTIFIED_WITHIN`].
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);

/// The longest time between the beginnings of two calls after timeouts.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(125);

/// The longest time in which a connection may come up.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time that an answer may take beyond the wait that was asked for.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for a whole list; an overloaded service takes as long to reject a call.
const MAX_LIST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait after rejections: with [`MAX_LIST_RESPONSE_TIMEOUT`] it fits into [`NOTIFIED_WITHIN`].
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// An answer may take so many times the connect timeout at the most.
const MAX_RESPONSE_FACTOR: u32 = 4;

/// The same for a whole list.
const MAX_LIST_RESPONSE_FACTOR: u32 = 16;

/// The least time that anything is waited for.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The least time between the beginnings of two calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(10);

/// How often the time for an answer is doubled at most.
const MAX_DOUBLINGS: u32 = 8;

/// What the waits follow from.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTiming {
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// How long after a drain was notified sends to the endpoint may go on.
    pub drain_grace: Duration,
    /// The list is to be asked for at least so often.
    pub refresh_interval: Duration,
    /// How many gateways ask, where they ask one service that they share; none where each asks an agent of its own.
    pub sharing_gateways: Option<f64>,
}

/// The failures in a row, and the waits that follow from them.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryRetryPolicy {
    timing: DiscoveryTiming,
    timeouts: u32,
    rejections: u32,
}

impl DiscoveryRetryPolicy {
    /// No failure yet.
    pub fn new(timing: DiscoveryTiming) -> DiscoveryRetryPolicy {
        DiscoveryRetryPolicy {
            timing,
            timeouts: 0,
            rejections: 0,
        }
    }

    /// Other figures from now on; failures since the last list stay counted.
    pub fn set_timing(&mut self, timing: DiscoveryTiming) {
        self.timing = timing;
    }

    /// Failures since the last list.
    pub fn failures(&self) -> u32 {
        self.timeouts.saturating_add(self.rejections)
    }

    /// Whether a call has timed out since the last list.
    pub fn has_timed_out(&self) -> bool {
        self.timeouts > 0
    }

    /// Whether a call was rejected since the last list.
    pub fn was_rejected(&self) -> bool {
        self.rejections > 0
    }

    /// A list has come.
    pub fn record_success(&mut self) {
        self.timeouts = 0;
        self.rejections = 0;
    }

    /// How long a watch may wait for news: half the time within which the list is to be asked for, and half of that
    /// after which what a watch misses that fell silent at once counts as notified.
    pub fn watch_wait(&self) -> Duration {
        let half = Some(self.timing.refresh_interval / 2).filter(|half| *half >= MIN_WAIT);
        half.unwrap_or(MAX_WATCH_WAIT).min(MAX_WATCH_WAIT)
    }

    /// The least time between the beginnings of two calls: a quarter of the grace, so that the return of the service,
    /// one such time, a connection and the answer all fit in it.
    pub fn call_interval(&self) -> Duration {
        (self.timing.drain_grace / 4)
            .min(self.timing.connect_timeout)
            .clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
    }

    /// How long a connection may take to come up: what asks for it may be lost while the service is away, and the
    /// system asks again only after a second. No longer than half of the grace, unless that is less than a connection
    /// may need.
    pub fn connect_timeout(&self) -> Duration {
        let fits = (self.timing.drain_grace / 2).max(self.timing.connect_timeout / 2);
        self.timing
            .connect_timeout
            .min(fits)
            .clamp(MIN_WAIT, MAX_CONNECT_TIMEOUT)
    }

    /// How long an answer may take beyond the wait that was asked for: twice as long after each failure, since the
    /// service may be slow, up to a maximum. An overloaded service that gateways share is left the time that it takes to
    /// reject a call: one given up before that has cost it as much.
    pub fn response_timeout(&self, whole_list: bool) -> Duration {
        let (max_factor, max) = if whole_list {
            (MAX_LIST_RESPONSE_FACTOR, MAX_LIST_RESPONSE_TIMEOUT)
        } else {
            (MAX_RESPONSE_FACTOR, MAX_RESPONSE_TIMEOUT)
        };
        let factor = (1u32 << self.failures().min(MAX_DOUBLINGS)).min(max_factor);
        let wanted = self.timing.connect_timeout.min(NOTIFIED_WITHIN) * factor;
        let min = if whole_list && self.timing.sharing_gateways.is_some() {
            max
        } else {
            MIN_WAIT
        };
        wanted.clamp(min, max)
    }

    /// Whether a new connection's first call should ask for an answer at once, and only the next one wait: an agent of
    /// the gateway's own answers at no cost, and of a watch on it that is silent from the start nothing is known for as
    /// long as it waits. A shared service is spared the call.
    pub fn polls_before_watching(&self) -> bool {
        self.timing.sharing_gateways.is_none()
    }

    /// How long a gateway that knows a list waits before its first call, by its number: where hundreds start together
    /// and call a service that they share at one moment, most are turned away, and keep it overloaded.
    pub fn first_call_delay(&self, gateway: u32) -> Duration {
        let span = self
            .timing
            .sharing_gateways
            .map_or(Duration::ZERO, |gateways| self.backoff(gateways).first);
        span.mul_f64(golden_ratio_phase(gateway))
    }

    /// The waits after rejections, over a fleet of so many gateways.
    fn backoff(&self, gateways: f64) -> Backoff {
        Backoff::shared(
            self.timing.connect_timeout.max(MIN_WAIT),
            gateways,
            MAX_BACKOFF,
        )
    }

    /// A call that began `elapsed` ago failed; says how long to wait before the next, for a random number in [0, 1).
    pub fn record_failure(
        &mut self,
        failure: DiscoveryFailure,
        elapsed: Duration,
        random: f64,
    ) -> Duration {
        match failure {
            DiscoveryFailure::Rejection => self.rejections = self.rejections.saturating_add(1),
            DiscoveryFailure::Timeout => self.timeouts = self.timeouts.saturating_add(1),
        }
        match (failure, self.timing.sharing_gateways) {
            (DiscoveryFailure::Rejection, Some(gateways)) => {
                self.backoff(gateways).wait(self.rejections, random)
            }
            _ => self.prompt_retry(elapsed, random),
        }
    }

    /// At the call interval, counted from the call that failed: at once after one that was waited for. The random
    /// number parts gateways that failed together.
    fn prompt_retry(&self, elapsed: Duration, random: f64) -> Duration {
        self.call_interval()
            .mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
            .saturating_sub(elapsed)
    }
}

#[cfg(test)]
mod tests;
