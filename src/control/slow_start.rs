//! What an endpoint in slow start bears, and this gateway's part of it: an endpoint that has just started can do only a
//! part of its work, and falls over under the sum of what all gateways send.

use super::endpoints::EndpointRecord;
use super::latency::BaselineLatencies;
use crate::settings::{Rules, Settings};
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartBudget;

/// The part of the budget that the rule allows which is used: permits of two windows may arrive half a window late.
const USED_BUDGET_RATIO: f64 = 0.4;

/// The least slow-start window, in seconds, whatever the settings say.
const MIN_WINDOW: f64 = 1e-9;

/// How much of its full work an endpoint can do by now, by its age: from the stated floor to 1.
pub(super) fn factor(endpoint: &EndpointRecord, rules: &Rules, now: Duration) -> f64 {
    let Some(started_at) = endpoint.started_at else {
        return 1.0;
    };
    let floor = rules.slow_start_floor;
    let window = rules.slow_start_window.as_secs_f64().max(MIN_WINDOW);
    let age = now.saturating_sub(started_at).as_secs_f64();
    (floor + (1.0 - floor) * age / window).min(1.0)
}

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
        factor(endpoint, &self.settings.rules, self.now)
    }

    /// This gateway's part of what an endpoint in slow start may be sent by all; none past slow start, or without such
    /// a rule. Past slow start an endpoint bears what others were seen to do, and one request after another of the
    /// baseline latency at the least. Trade-off: before it has seen any, a gateway sends next to nothing.
    pub(super) fn budget(&self, endpoint: &EndpointRecord) -> Option<SlowStartBudget> {
        let rules = &self.settings.rules;
        let factor = self.factor(endpoint);
        if factor >= 1.0 || rules.overload_factor <= 0.0 || rules.overload_window.is_zero() {
            return None;
        }
        let latency = self.latencies.mean_with_targets(self.settings);
        let sequential_rate = 1.0 / if latency > 0.0 { latency } else { 1.0 };
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
            .is_none_or(|budget| endpoint.permits.allows_one(self.now, budget))
    }
}
