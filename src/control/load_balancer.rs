//! The load balancer: the endpoints that this gateway uses, what it has observed of them, and how many attempts may be
//! in flight at them.

use super::concurrency_limit::{ConcurrencyLimiter, FleetShare, INITIAL_ATTEMPTS_PER_ENDPOINT};
use super::context::Context;
use super::endpoint_picker::EndpointPicker;
use super::endpoints::{EndpointTable, SubsetLoad, UpdateReceipt};
use super::failure_rate::{failure_weight, FailureRates};
use super::latency::BaselineLatencies;
use super::machine_types::MachineTypeLatencies;
use super::requests::{OpenRequest, SentAttempt};
use super::retries::RepeatGuard;
use super::slow_start::SlowStartView;
use super::throughput::{AnswerRate, AttemptRate};
use crate::port::{
    AttemptOutcome, AttemptResult, EndpointId, EndpointUpdate, RouteName, UpdateTiming,
};
use nanorand::WyRand;
use std::time::Duration;

/// The state of the endpoints as this gateway observes it.
pub(super) struct LoadBalancer {
    endpoints: EndpointTable,
    /// The failure rates of the routes at all endpoints together.
    failures: FailureRates,
    /// The baseline latencies of the routes.
    latencies: BaselineLatencies,
    machine_types: MachineTypeLatencies,
    /// The adaptive limit on attempts in flight at all endpoints.
    limiter: ConcurrencyLimiter,
    attempt_rate: AttemptRate,
    answer_rate: AnswerRate,
}

/// An attempt that was recorded at its endpoint and can be sent.
pub(super) struct StartedAttempt {
    /// When it was started, and the zone and cell of its endpoint.
    pub(super) sent: SentAttempt,
    /// The time by which it must be sent completely; [`Duration::MAX`] means no limit.
    pub(super) send_by: Duration,
}

impl LoadBalancer {
    /// Creates a load balancer without endpoints.
    pub(super) fn new() -> LoadBalancer {
        LoadBalancer {
            endpoints: EndpointTable::default(),
            failures: FailureRates::default(),
            latencies: BaselineLatencies::default(),
            machine_types: MachineTypeLatencies::default(),
            limiter: ConcurrencyLimiter::new(),
            attempt_rate: AttemptRate::new(),
            answer_rate: AnswerRate::default(),
        }
    }

    /// Returns the baseline latency of a route in seconds, or `None` until one of its attempts has ended.
    pub(super) fn baseline_latency(&self, route: &RouteName) -> Option<f64> {
        self.latencies.seconds(route)
    }

    /// Returns the limiter of the attempts in flight.
    pub(super) fn limiter(&self) -> &ConcurrencyLimiter {
        &self.limiter
    }

    /// Applies an update of the endpoint list and refreshes the subset.
    pub(super) fn on_endpoint_update(
        &mut self,
        context: &Context,
        timing: UpdateTiming,
        update: EndpointUpdate,
    ) {
        let receipt = UpdateReceipt {
            now: context.now,
            gateway_index: context.settings.gateway_index,
            timing,
        };
        self.endpoints.update(receipt, update);
        self.refresh_subset(context);
    }

    /// Recomputes the subset of endpoints that this gateway uses.
    pub(super) fn refresh_subset(&mut self, context: &Context) {
        let load = SubsetLoad {
            attempt_rate: self.attempt_rate.per_second(),
            in_flight: self.limiter.in_flight(),
            adaptive_limit: self.limiter.limit(),
            max_in_flight_per_endpoint: INITIAL_ATTEMPTS_PER_ENDPOINT,
        };
        self.endpoints
            .refresh_subset(context.now, &context.settings, load);
    }

    /// Does the work that is due once per second.
    pub(super) fn on_second(&mut self, context: &Context) {
        self.attempt_rate.end_second();
        self.refresh_subset(context);
        self.endpoints.forget_removed(context.now);
    }

    /// Picks the endpoint of a request's next attempt, or returns `None` if no endpoint is eligible.
    pub(super) fn pick(
        &self,
        context: &Context,
        rng: &mut WyRand,
        open: &OpenRequest,
        guard: &RepeatGuard,
    ) -> Option<EndpointId> {
        let route = &open.request.route;
        let picker = EndpointPicker {
            route,
            guard,
            last_endpoint: open.last_endpoint.as_ref(),
            endpoints: &self.endpoints,
            slow_start: self.slow_start(context),
            route_failure_rate: self.failures.overall_rate(route, context.now),
            machine_types: &self.machine_types,
            adaptive_limit: self.limiter.limit(),
        };
        picker.pick(rng)
    }

    fn slow_start<'a>(&'a self, context: &'a Context) -> SlowStartView<'a> {
        let settings = &context.settings;
        let warmed_up = self.endpoints.warmed_up_in_subset().max(1.0);
        SlowStartView {
            settings,
            now: context.now,
            gateways_per_endpoint: self
                .endpoints
                .gateways_per_endpoint(settings.gateway_count()),
            answers_per_endpoint: self.answer_rate.per_second() / warmed_up,
            latencies: &self.latencies,
        }
    }

    /// Records the start of an attempt at the endpoint that was picked. Returns `None` if the endpoint is no longer
    /// listed. At an endpoint in slow start the attempt uses a permit and must be sent within half a permit lifetime,
    /// so that it does not arrive together with the attempts of later permits.
    pub(super) fn start_attempt(
        &mut self,
        context: &Context,
        endpoint: &EndpointId,
    ) -> Option<StartedAttempt> {
        let now = context.now;
        let view = self.slow_start(context);
        let budget = view.budget(self.endpoints.get(endpoint)?);
        let record = self.endpoints.get_mut(endpoint)?;
        record.in_flight += 1;
        if let Some(budget) = budget {
            record.permits.take_permit(now, budget);
        }
        let sent = SentAttempt {
            at: now,
            zone: record.entry.zone.clone(),
            cell: record.entry.cell,
        };
        self.limiter.on_attempt_start();
        self.attempt_rate.record();
        let send_by = budget.map_or(Duration::MAX, |budget| now + budget.permit_lifetime / 2);
        Some(StartedAttempt { sent, send_by })
    }

    /// Records the result of an attempt for its endpoint, its route and the adaptive concurrency limit.
    pub(super) fn on_attempt_end(
        &mut self,
        context: &Context,
        endpoint: &EndpointId,
        route: &RouteName,
        result: &AttemptResult,
    ) {
        let settings = &context.settings;
        let latency_target = settings.route(route).latency_target;
        self.record_failure(context.now, endpoint, route, result, latency_target);
        let fleet = FleetShare {
            endpoints: self.endpoints.len() as f64,
            gateway_share: 1.0 / settings.gateway_count(),
        };
        self.limiter.on_attempt_end(result, latency_target, fleet);
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        self.record_latency(context, endpoint, route, result);
    }

    /// Records whether an attempt failed. A failed or broken connection also counts for every route that the endpoint
    /// has a failure rate for, because an unreachable endpoint fails on all routes.
    fn record_failure(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        route: &RouteName,
        result: &AttemptResult,
        latency_target: Duration,
    ) {
        let Some(weight) = failure_weight(result, latency_target) else {
            return;
        };
        self.failures.record(route, now, weight);
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        record.failures.record(route, now, weight);
        if matches!(
            result.outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset
        ) {
            record.failures.record_for_all_routes(now, weight);
        }
    }

    /// Updates the latencies of the endpoint, of its machine type and of the route with the latency of an attempt.
    fn record_latency(
        &mut self,
        context: &Context,
        endpoint: &EndpointId,
        route: &RouteName,
        result: &AttemptResult,
    ) {
        let baseline = self.latencies.get_or_insert(route, result.latency);
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if matches!(
            result.outcome,
            AttemptOutcome::Success | AttemptOutcome::TimedOut
        ) {
            let ratio = result.latency.as_secs_f64() / baseline.seconds();
            let relative_to_type = self.machine_types.record(&record.entry.machine_type, ratio);
            record.record_latency_ratio(relative_to_type);
        }
        if result.outcome == AttemptOutcome::Success {
            self.latencies.record_answer(route, result.latency);
            if record.slow_start_factor(&context.settings.rules, context.now) >= 1.0 {
                self.answer_rate.record(context.now);
            }
        }
    }
}
