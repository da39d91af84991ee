//! Notifications: events for the admission controller, which components queue and the event loop delivers.

use std::rc::Rc;
use wellcrank::port::{
    AttemptNumber, AttemptResult, CounterName, CounterReply, EndpointUpdate, Request, RequestId,
    TimerToken, UpdateTiming,
};
use wellcrank::settings::Settings;

/// One event for the admission controller. The variants are named after the controller's methods that handle them.
pub(crate) enum Notification {
    /// A client sent a request.
    Request(Request),
    /// A request must be rejected without being admitted, because the gateway is at its limits or the client has stopped
    /// sending.
    RejectUnadmitted(RequestId),
    /// The client of an open request disconnected.
    ClientDisconnect(RequestId),
    /// An open request must be answered now, before its deadline.
    ExpireRequest(RequestId),
    /// An attempt ended.
    AttemptEnd {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
        /// The outcome of the attempt.
        result: AttemptResult,
    },
    /// A call on the shared counter got its reply, failed or timed out.
    CounterReply {
        /// The name of the value on the counter that the call was for.
        name: CounterName,
        /// The counter's reply, or, without one, whether the call may have been applied.
        reply: CounterReply,
    },
    /// A complete endpoint list, or a change of it, was received from discovery or read from the configuration.
    EndpointUpdate {
        /// The times from which the ages of the endpoints are computed.
        timing: UpdateTiming,
        /// The complete list or the change.
        update: EndpointUpdate,
    },
    /// A timer of the controller fired.
    Timer(TimerToken),
    /// The settings changed.
    Reconfigure(Rc<Settings>),
}
