//! The records of requests until their final answer, and of attempts until their end.

use super::leases::LeaseId;
use super::timers::TimerId;
use crate::port::{AttemptNumber, CustomerId, EndpointId, Request, RouteName};
use crate::settings::Route;
use std::time::Duration;

/// A request without a final answer.
pub(super) struct OpenRequest {
    /// The request as it was received.
    pub(super) request: Request,
    /// The route's settings when the request was received.
    pub(super) route: Route,
    /// When the request was received, on the adapter's clock.
    pub(super) received_at: Duration,
    /// The number of attempts that were started.
    pub(super) attempts: u32,
    /// Whether its units are treated as not counted on the shared counter: they were reserved without the counter, or
    /// the circuit breaker was open when the request was received.
    pub(super) is_uncounted: bool,
    /// The attempt in flight. There is at most one.
    pub(super) in_flight: Option<AttemptNumber>,
    /// The endpoint of the last attempt.
    pub(super) last_endpoint: Option<EndpointId>,
    /// The first attempt that may have run.
    pub(super) first_execution: Option<SentAttempt>,
    /// Whether an attempt was delivered to an endpoint completely. The request's units are then not refunded.
    pub(super) was_delivered: bool,
    /// The timer of its deadline, once it is set.
    pub(super) deadline_timer: Option<TimerId>,
}

impl OpenRequest {
    /// Creates the record of a request that was just received.
    pub(super) fn new(
        request: Request,
        route: Route,
        received_at: Duration,
        is_uncounted: bool,
    ) -> Self {
        OpenRequest {
            request,
            route,
            received_at,
            attempts: 0,
            is_uncounted,
            in_flight: None,
            last_endpoint: None,
            first_execution: None,
            was_delivered: false,
            deadline_timer: None,
        }
    }

    /// Returns the time in which an answer still has value: until the deadline, or until the latency target if later
    /// answers have no value.
    pub(super) fn remaining_time(&self, now: Duration) -> Duration {
        let target = self.route.latency_target;
        // A latency target of zero means that none is configured.
        let late_answers_have_value = self.route.late_value_ratio > 0.0 || target.is_zero();
        let useful_until = if late_answers_have_value {
            self.request.deadline
        } else {
            self.request.deadline.min(self.received_at + target)
        };
        useful_until.saturating_sub(now)
    }
}

/// When an attempt was sent, and the deduplication scopes of its endpoint.
#[derive(Clone)]
pub(super) struct SentAttempt {
    /// When the attempt was sent, on the adapter's clock.
    pub(super) at: Duration,
    /// The zone of its endpoint.
    pub(super) zone: String,
    /// The cell of its endpoint.
    pub(super) cell: u64,
}

/// An attempt in flight. Its request may already have its final answer.
pub(super) struct InFlightAttempt {
    /// The endpoint that the attempt was sent to.
    pub(super) endpoint: EndpointId,
    /// When the attempt was sent, and the zone and cell of its endpoint.
    pub(super) sent: SentAttempt,
    /// The route of its request.
    pub(super) route: RouteName,
    /// The customer that sent its request.
    pub(super) customer: CustomerId,
    /// The concurrency lease, or `None` if the plan has no concurrency limit.
    pub(super) lease: Option<LeaseId>,
    /// The units that were charged for the request.
    pub(super) units: f64,
    /// Whether these units are not counted on the shared counter.
    pub(super) is_uncounted: bool,
    /// Whether an earlier attempt of the request was delivered to an endpoint completely.
    pub(super) was_delivered_before: bool,
}
