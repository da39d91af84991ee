//! When to request the endpoint list again after a call to discovery failed. The wait depends on how the call failed:
//!
//! - [`DiscoveryFailure::NoResponse`] (a call without an answer, or a connection that was refused, reset or not
//!   established): retrying soon adds no load, because the service is not receiving calls. When the service is back,
//!   the gateway counts as notified at once of everything that the list contains, so the first answer must arrive well
//!   within the drain grace.
//! - [`DiscoveryFailure::Rejection`] (an answer that is not an endpoint list): a service that the fleet shares is
//!   overloaded, and retrying soon keeps it overloaded.

use crate::backoff::Backoff;
use crate::phase::golden_ratio_phase;
use std::time::Duration;

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No complete answer came: the connection was not established or broke, or the call timed out.
    NoResponse,
    /// The answer was not an endpoint list.
    Rejection,
}

/// After a call failed, was rejected or was given up, a gateway counts as notified of a change at the latest this long
/// after discovery had the change and could be reached. For all settings, the time that a call may take, the wait
/// before the next call and the answer to it fit into this delay together.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// The longest wait of a watch, half of [`MAX_NOTIFICATION_DELAY`]. If discovery stops answering at the start of a
/// watch, the next call finds what the watch missed within that delay.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);

/// The maximum of [`DiscoveryRetryPolicy::call_interval`].
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(125);

/// The maximum of [`DiscoveryRetryPolicy::connect_timeout`].
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest timeout for an answer that is not the complete list, in addition to the wait of a watch.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest timeout for the complete list. An overloaded service takes this long to reject a call.
const MAX_LIST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait after rejections. Together with [`MAX_LIST_RESPONSE_TIMEOUT`] it fits into
/// [`MAX_NOTIFICATION_DELAY`].
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The highest ratio of the response timeout to the configured connect timeout for an answer that is not the complete
/// list.
const MAX_RESPONSE_FACTOR: u32 = 4;

/// The highest ratio of the response timeout to the configured connect timeout for the complete list.
const MAX_LIST_RESPONSE_FACTOR: u32 = 16;

/// The shortest watch wait, connect timeout and response timeout, and the shortest base interval of the backoff.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The minimum of [`DiscoveryRetryPolicy::call_interval`].
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(10);

/// How often the response timeout is doubled at most. It keeps the shift of a `u32` by the number of failures in range.
const MAX_DOUBLINGS: u32 = 8;

/// The settings from which the waits are computed.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTiming {
    /// The configured time within which a connection must be established.
    pub connect_timeout: Duration,
    /// The time after the gateway was notified of a drain during which it may still send attempts to the endpoint.
    pub drain_grace: Duration,
    /// The longest interval between two requests for the endpoint list.
    pub refresh_interval: Duration,
    /// The number of gateways that call the same discovery service, or `None` if each gateway calls an agent of its
    /// own.
    pub sharing_gateways: Option<f64>,
}

/// Counts the failures since the last endpoint list and computes timeouts and waits from them.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryRetryPolicy {
    timing: DiscoveryTiming,
    /// Failures of the kind [`DiscoveryFailure::NoResponse`] since the last list.
    unanswered: u32,
    /// Failures of the kind [`DiscoveryFailure::Rejection`] since the last list.
    rejections: u32,
}

impl DiscoveryRetryPolicy {
    /// Returns a policy that has recorded no failure.
    pub fn new(timing: DiscoveryTiming) -> DiscoveryRetryPolicy {
        DiscoveryRetryPolicy {
            timing,
            unanswered: 0,
            rejections: 0,
        }
    }

    /// Replaces the settings. The failures recorded since the last list are kept.
    pub fn set_timing(&mut self, timing: DiscoveryTiming) {
        self.timing = timing;
    }

    /// Returns the number of failures since the last list.
    pub fn failures(&self) -> u32 {
        self.unanswered.saturating_add(self.rejections)
    }

    /// Returns whether a call has failed as [`DiscoveryFailure::NoResponse`] since the last list.
    pub fn has_gone_unanswered(&self) -> bool {
        self.unanswered > 0
    }

    /// Returns whether a call has failed as [`DiscoveryFailure::Rejection`] since the last list.
    pub fn was_rejected(&self) -> bool {
        self.rejections > 0
    }

    /// Records a successful call, which resets the failures.
    pub fn record_success(&mut self) {
        self.unanswered = 0;
        self.rejections = 0;
    }

    /// Returns how long a watch (a long poll) may wait for a change: half of the refresh interval, but at most half of
    /// [`MAX_NOTIFICATION_DELAY`]. Discovery may stop answering as soon as a watch has begun; the next call must then
    /// find what the watch missed before the gateway counts as notified of it. Without a usable refresh interval the
    /// maximum applies.
    pub fn watch_wait(&self) -> Duration {
        let half_interval = Some(self.timing.refresh_interval / 2).filter(|half| *half >= MIN_WAIT);
        half_interval.unwrap_or(MAX_WATCH_WAIT).min(MAX_WATCH_WAIT)
    }

    /// Returns the shortest time between the starts of two calls: a quarter of the drain grace, so that one such
    /// interval, establishing a connection and the answer fit into the grace once the service is back. It is at most
    /// the configured connect timeout, and between 10 ms and 125 ms.
    pub fn call_interval(&self) -> Duration {
        (self.timing.drain_grace / 4)
            .min(self.timing.connect_timeout)
            .clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
    }

    /// Returns the time after which an attempt to connect is given up. The packet that opens a connection may be lost
    /// while the service is unavailable, and the operating system retransmits it only after a second. The timeout is
    /// the configured one, limited to half of the drain grace, but not to less than half of the configured one, which a
    /// connection may need. It is between 100 ms and 500 ms.
    pub fn connect_timeout(&self) -> Duration {
        let limit = (self.timing.drain_grace / 2).max(self.timing.connect_timeout / 2);
        self.timing
            .connect_timeout
            .min(limit)
            .clamp(MIN_WAIT, MAX_CONNECT_TIMEOUT)
    }

    /// Returns the time within which an answer must arrive, in addition to the wait of a watch. `whole_list` says
    /// whether the call requests the complete list. The timeout doubles after each failure, since the service may be
    /// slow, up to a maximum. A call for the complete list to a shared service always gets the maximum, which is as
    /// long as an overloaded service takes to reject a call: a call that is given up earlier costs the service as much.
    pub fn response_timeout(&self, whole_list: bool) -> Duration {
        let (max_factor, max) = if whole_list {
            (MAX_LIST_RESPONSE_FACTOR, MAX_LIST_RESPONSE_TIMEOUT)
        } else {
            (MAX_RESPONSE_FACTOR, MAX_RESPONSE_TIMEOUT)
        };
        let factor = (1u32 << self.failures().min(MAX_DOUBLINGS)).min(max_factor);
        let timeout = self.timing.connect_timeout.min(MAX_NOTIFICATION_DELAY) * factor;
        let min = if whole_list && self.timing.sharing_gateways.is_some() {
            max
        } else {
            MIN_WAIT
        };
        timeout.clamp(min, max)
    }

    /// Returns whether the first call on a new connection should request an answer at once, and only the next one
    /// watch. The gateway's own agent answers such a call at no cost, whereas a watch that is never answered is
    /// detected only after its whole wait. A shared service is spared the additional call.
    pub fn polls_before_watching(&self) -> bool {
        self.timing.sharing_gateways.is_none()
    }

    /// Returns how long the gateway with this index (from 0) waits before its first call if it already knows a list. If
    /// hundreds of gateways start together and call a shared service at the same time, most calls are rejected and keep
    /// the service overloaded. The delay is zero if the gateway calls an agent of its own.
    pub fn first_call_delay(&self, gateway: u32) -> Duration {
        let max_delay = self
            .timing
            .sharing_gateways
            .map_or(Duration::ZERO, |gateways| {
                self.backoff(gateways).initial_interval
            });
        max_delay.mul_f64(golden_ratio_phase(gateway))
    }

    /// Returns the backoff after rejections by a service that `gateways` gateways share.
    fn backoff(&self, gateways: f64) -> Backoff {
        Backoff::for_shared_service(
            self.timing.connect_timeout.max(MIN_WAIT),
            gateways,
            MAX_BACKOFF,
        )
    }

    /// Records that a call failed which began `elapsed` ago, and returns how long to wait before the next call.
    /// `random` is a random number in [0, 1).
    pub fn record_failure(
        &mut self,
        failure: DiscoveryFailure,
        elapsed: Duration,
        random: f64,
    ) -> Duration {
        match failure {
            DiscoveryFailure::Rejection => self.rejections = self.rejections.saturating_add(1),
            DiscoveryFailure::NoResponse => self.unanswered = self.unanswered.saturating_add(1),
        }
        match (failure, self.timing.sharing_gateways) {
            (DiscoveryFailure::Rejection, Some(gateways)) => {
                self.backoff(gateways).wait(self.rejections, random)
            }
            _ => self.remaining_call_interval(elapsed, random),
        }
    }

    /// Returns the wait until the next call, which starts between half of the call interval and the whole interval
    /// after the start of the failed call, or at once if the failed call took longer. `random` selects the point, so
    /// that the calls of gateways that failed at the same time are spread.
    fn remaining_call_interval(&self, elapsed: Duration, random: f64) -> Duration {
        self.call_interval()
            .mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
            .saturating_sub(elapsed)
    }
}

#[cfg(test)]
mod tests;
