//! What the unit tests of several parts build alike.

use super::endpoints::{EndpointTable, UpdateReceipt};
use super::requests::OpenRequest;
use crate::port::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointState, EndpointUpdate, Request, UnixTime,
    UpdateTiming,
};
use crate::settings::{Route, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

/// The end of an attempt.
pub(super) fn attempt_result(outcome: AttemptOutcome, latency: Duration) -> AttemptResult {
    AttemptResult {
        outcome,
        latency,
        request_closed: false,
        settled_units: None,
        load: BTreeMap::new(),
    }
}

/// Settings of one route.
pub(super) fn settings_of(route: Route) -> Settings {
    Settings {
        routes: [("route".into(), route)].into(),
        ..Settings::default()
    }
}

/// A request for three units by one of two gateways, which waits until 10 s.
pub(super) fn request() -> Request {
    Request {
        id: "r1".into(),
        customer: "ann".into(),
        plan: "plan".into(),
        route: "route".into(),
        units: 3.0,
        deadline: Duration::from_secs(10),
        first_gateway: 0,
        gateway_count: 2,
    }
}

/// That request, received at 1 s.
pub(super) fn open_request(route: Route) -> OpenRequest {
    OpenRequest::new(request(), route, Duration::from_secs(1), false)
}

/// A ready endpoint that has run for long.
pub(super) fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        state: EndpointState::Ready,
        ..Endpoint::removed(id.into())
    }
}

/// An update received at a second of the adapter's clock, which reads 1000 s less than the wall clock.
pub(super) fn receipt_at(now: f64, since_last_update: Option<Duration>) -> UpdateReceipt {
    UpdateReceipt {
        now: Duration::from_secs_f64(now),
        gateway_index: 0,
        timing: UpdateTiming {
            unix_now: UnixTime(Duration::from_secs_f64(now + 1000.0)),
            since_last_update,
        },
    }
}

/// A table of these endpoints, listed at 1 s.
pub(super) fn endpoint_table(entries: Vec<Endpoint>) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.update(receipt_at(1.0, None), EndpointUpdate::Snapshot(entries));
    table
}
