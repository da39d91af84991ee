//! How much this gateway may send to an endpoint in slow start. An endpoint that has just started has only a part of
//! its capacity and fails if all gateways together send too much.

use super::endpoints::EndpointRecord;
use super::latency::BaselineLatencies;
use crate::settings::Settings;
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartBudget;

/// The share of the budget allowed by the overload rule that is used. A permit is valid for one overload window, and
/// its attempt may be sent up to half a window later; so the attempts that arrive within one window may use the
/// permits of two and a half windows.
const USED_BUDGET_RATIO: f64 = 0.4;

/// The latency, in seconds, that is assumed while there is no baseline latency.
const ASSUMED_LATENCY_SECONDS: f64 = 1.0;

/// Computes the budgets of the endpoints in slow start from these inputs.
pub(super) struct SlowStartView<'a> {
    /// The settings.
    pub(super) settings: &'a Settings,
    /// The current time, on the adapter's clock.
    pub(super) now: Duration,
    /// The average number of gateways that use one endpoint.
    pub(super) gateways_per_endpoint: f64,
    /// The number of this gateway's requests that a warmed-up endpoint answers per second, on average.
    pub(super) answers_per_endpoint: f64,
    /// The baseline latencies of the routes.
    pub(super) latencies: &'a BaselineLatencies,
}

impl SlowStartView<'_> {
    /// Returns the share of its full capacity that an endpoint has now.
    pub(super) fn capacity_factor(&self, endpoint: &EndpointRecord) -> f64 {
        endpoint.slow_start_factor(&self.settings.rules, self.now)
    }

    /// Returns this gateway's share of what all gateways may send to an endpoint in slow start, or `None` if the
    /// endpoint is past its slow start or there is no overload rule. The full capacity is estimated as the rate at
    /// which warmed-up endpoints answer, and at least as the rate of an endpoint that processes one request at a time
    /// in the mean baseline latency. Trade-off: a gateway that has observed no answers yet sends almost nothing.
    pub(super) fn budget(&self, endpoint: &EndpointRecord) -> Option<SlowStartBudget> {
        let rules = &self.settings.rules;
        let factor = self.capacity_factor(endpoint);
        if factor >= 1.0 || rules.overload_factor <= 0.0 || rules.overload_window.is_zero() {
            return None;
        }
        let latency = self.latencies.mean_with_targets(self.settings);
        let sequential_rate = 1.0 / latency.unwrap_or(ASSUMED_LATENCY_SECONDS);
        let capacity =
            (self.answers_per_endpoint * self.gateways_per_endpoint).max(sequential_rate);
        Some(SlowStartBudget::share_of(
            capacity * factor * rules.overload_factor * USED_BUDGET_RATIO,
            self.gateways_per_endpoint,
            rules.overload_window,
        ))
    }

    /// Returns whether this gateway may send one more attempt to an endpoint. Past its slow start it always may.
    pub(super) fn may_send(&self, endpoint: &EndpointRecord) -> bool {
        self.budget(endpoint)
            .is_none_or(|budget| endpoint.permits.has_permit(self.now, budget))
    }
}

#[cfg(test)]
mod tests;
