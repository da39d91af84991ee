//! Open requests: what is known of each until its one final answer, and of its attempts until their end.

use super::leases::LeaseId;
use crate::port::{AttemptNumber, CustomerId, EndpointId, Request, RouteName};
use crate::settings::Route;
use std::time::Duration;

/// A request that has not got its final answer yet.
pub(super) struct OpenRequest {
    /// The request as it came in.
    pub(super) request: Request,
    /// The route's terms as they were then.
    pub(super) route: Route,
    /// When it came in.
    pub(super) received_at: Duration,
    /// Attempts that were begun.
    pub(super) attempts: u32,
    /// The counter does not count its units: they were reserved from the local quota.
    pub(super) is_uncounted: bool,
    /// The attempt in flight; never more than one.
    pub(super) in_flight: Option<AttemptNumber>,
    /// Where the last attempt went.
    pub(super) last_endpoint: Option<EndpointId>,
    /// The first attempt that may have run.
    pub(super) first_execution: Option<SentAttempt>,
    /// An attempt has come whole to an endpoint: its units are spent.
    pub(super) units_spent: bool,
}

impl OpenRequest {
    /// A request that has just come in.
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
            units_spent: false,
        }
    }

    /// How long an answer is still worth something: until the deadline, or the latency target where what comes later is
    /// worth nothing.
    pub(super) fn remaining_time(&self, now: Duration) -> Duration {
        let target = self.route.latency_target;
        // A target that is not stated is none.
        let late_answers_count = self.route.late_value_ratio > 0.0 || target.is_zero();
        let useful_until = if late_answers_count {
            self.request.deadline
        } else {
            self.request.deadline.min(self.received_at + target)
        };
        useful_until.saturating_sub(now)
    }
}

/// When an attempt was sent, and in which deduplication scopes.
#[derive(Clone)]
pub(super) struct SentAttempt {
    /// When it was sent.
    pub(super) at: Duration,
    /// The zone of its endpoint.
    pub(super) zone: String,
    /// The cell of its endpoint.
    pub(super) cell: u64,
}

/// An attempt in flight, also where its request has its final answer already.
pub(super) struct InFlightAttempt {
    /// Where it went.
    pub(super) endpoint: EndpointId,
    /// When it was sent.
    pub(super) sent: SentAttempt,
    /// The route of its request.
    pub(super) route: RouteName,
    /// Whose request it is.
    pub(super) customer: CustomerId,
    /// Its lease; none where the plan has no cap.
    pub(super) lease: Option<LeaseId>,
    /// The units that were charged for the request.
    pub(super) units: f64,
    /// The counter does not count them.
    pub(super) is_uncounted: bool,
    /// An earlier attempt had come whole to an endpoint.
    pub(super) units_spent_before: bool,
}
