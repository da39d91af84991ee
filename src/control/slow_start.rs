//! How much this gateway may send to an endpoint in slow start: an endpoint that has just started has only a part of its
//! capacity, and falls over under the sum of what all gateways send.

use super::endpoints::EndpointRecord;
use super::latency::BaselineLatencies;
use crate::settings::Settings;
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartBudget;

/// The part of the budget that the rule allows which is used: permits of two windows may arrive half a window late.
const USED_BUDGET_RATIO: f64 = 0.4;

/// The latency that is assumed while none is known, in seconds.
const ASSUMED_LATENCY: f64 = 1.0;

/// What the budgets of all endpoints in slow start follow from.
pub(super) struct SlowStartView<'a> {
    /// The settings.
    pub(super) settings: &'a Settings,
    /// The present.
    pub(super) now: Duration,
    /// How many gateways use one endpoint.
    pub(super) gateways_per_endpoint: f64,
    /// Requests a second that one warmed up endpoint was seen to answer to this gateway.
    pub(super) answers_per_endpoint: f64,
    /// The baseline latencies of the routes.
    pub(super) latencies: &'a BaselineLatencies,
}

impl SlowStartView<'_> {
    /// How much of its full work an endpoint can do by now.
    pub(super) fn factor(&self, endpoint: &EndpointRecord) -> f64 {
        endpoint.slow_start_factor(&self.settings.rules, self.now)
    }

    /// This gateway's part of what an endpoint in slow start may be sent by all; none past slow start, or without such
    /// a rule. The full capacity is taken to be what warmed up endpoints were seen to answer, and one request after
    /// another of the baseline latency at the least. Trade-off: before it has seen any, a gateway sends next to nothing.
    pub(super) fn budget(&self, endpoint: &EndpointRecord) -> Option<SlowStartBudget> {
        let rules = &self.settings.rules;
        let factor = self.factor(endpoint);
        if factor >= 1.0 || rules.overload_factor <= 0.0 || rules.overload_window.is_zero() {
            return None;
        }
        let latency = self.latencies.mean_with_targets(self.settings);
        let sequential_rate = 1.0 / latency.unwrap_or(ASSUMED_LATENCY);
        let capacity =
            (self.answers_per_endpoint * self.gateways_per_endpoint).max(sequential_rate);
        Some(SlowStartBudget::share_of(
            capacity * factor * rules.overload_factor * USED_BUDGET_RATIO,
            self.gateways_per_endpoint,
            rules.overload_window,
        ))
    }

    /// Whether this gateway may send an endpoint one more attempt: always past slow start.
    pub(super) fn permits(&self, endpoint: &EndpointRecord) -> bool {
        self.budget(endpoint)
            .is_none_or(|budget| endpoint.permits.has_permit(self.now, budget))
    }
}

#[cfg(test)]
mod tests;
