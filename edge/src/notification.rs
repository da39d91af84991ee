//! What the components have for the admission controller, queued until the event loop hands it over.

use std::rc::Rc;
use wellcrank::port::{
    AttemptNumber, AttemptResult, CounterName, CounterReply, EndpointUpdate, Request, RequestId,
    TimerToken, UpdateTiming,
};
use wellcrank::settings::Settings;

/// One call on the admission controller; the variants are named after its entry points.
pub(crate) enum Notification {
    /// A client has sent a request.
    Request(Request),
    /// A request was read that is to be answered and not admitted: the gateway is full, or the client has ended its
    /// sending.
    RejectUnadmitted(RequestId),
    /// The client of an open request has disconnected.
    ClientDisconnect(RequestId),
    /// An open request is to be answered now, before the deadline that it came with.
    ExpireRequest(RequestId),
    /// An attempt has ended.
    AttemptEnd {
        /// The request that the attempt was for.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// How it ended.
        result: AttemptResult,
    },
    /// A call on the shared counter was answered, or has timed out.
    CounterReply {
        /// The number on the counter that the call was for.
        name: CounterName,
        /// The answer.
        reply: CounterReply,
    },
    /// Discovery has sent the endpoint list or a change of it.
    EndpointUpdate {
        /// By what the endpoints' ages are reckoned.
        timing: UpdateTiming,
        /// The list or the change.
        update: EndpointUpdate,
    },
    /// A timer of the controller has fired.
    Timer(TimerToken),
    /// The settings have changed.
    Reconfigure(Rc<Settings>),
}
