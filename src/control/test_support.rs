//! Values that the unit tests of several modules use.

use super::endpoints::{EndpointTable, UpdateReceipt};
use super::requests::OpenRequest;
use crate::port::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointState, EndpointUpdate, Request, UnixTime,
    UpdateTiming,
};
use crate::settings::{Route, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the result of an attempt that did not close its request.
pub(super) fn attempt_result(outcome: AttemptOutcome, latency: Duration) -> AttemptResult {
    AttemptResult {
        outcome,
        latency,
        request_closed: false,
        settled_units: None,
        load: BTreeMap::new(),
    }
}

/// Returns settings whose only route has this configuration and the name "route".
pub(super) fn settings_with_route(route: Route) -> Settings {
    Settings {
        routes: [("route".into(), route)].into(),
        ..Settings::default()
    }
}

/// Returns a request for three units whose customer uses two gateways. Its deadline is at 10 s.
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

/// Returns [`request`] as an open request that was received at 1 s.
pub(super) fn open_request(route: Route) -> OpenRequest {
    OpenRequest::new(request(), route, Duration::from_secs(1), false)
}

/// Returns a ready endpoint that started long ago.
pub(super) fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        state: EndpointState::Ready,
        ..Endpoint::removed(id.into())
    }
}

/// Returns the receipt of an update at `now` seconds on the adapter's clock, which is 1000 s behind the wall clock.
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

/// Returns a table of these endpoints, from a snapshot received at 1 s.
pub(super) fn endpoint_table(entries: Vec<Endpoint>) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.update(receipt_at(1.0, None), EndpointUpdate::Snapshot(entries));
    table
}
