//! The scheduled events of the world.

use crate::events::{AttemptId, ClientRequestId, CounterCallId, OperationId, ServerId};

/// An event that the world schedules for itself.
#[derive(Clone, Copy, Debug)]
pub(super) enum WorldEvent {
    /// The next operation may arrive; whether it does is drawn when the event is due.
    Arrival,
    /// A recorded request is replayed. Holds its index in the recording.
    ReplayedArrival(usize),
    /// A client retries its operation with a new request.
    ClientRetry(OperationId),
    /// A client gives up waiting before its timeout.
    ClientGivesUp(ClientRequestId),
    /// The client timeout of a request and the rules' slack are over.
    ClientTimeout(ClientRequestId),
    /// A server has finished executing an attempt.
    WorkDone(ServerId, AttemptId),
    /// A server's response is sent. Where the world adds the network delay, this is the time of its arrival.
    ResponseDue(AttemptId),
    /// The counter has finished a call.
    CounterCallDone(CounterCallId),
    /// Discovery notifies a gateway of a change of the endpoint list.
    NotificationDue {
        /// The gateway's index.
        gateway: usize,
        /// The change's number, counted from 0.
        change: usize,
    },
    /// A fault begins (step 0) or continues with a later step.
    FaultStep {
        /// The fault's index in the experiment.
        fault: usize,
        /// The step, counted from 0.
        step: usize,
    },
    /// A fault ends. Holds its index in the experiment.
    FaultEnd(usize),
    /// A server that was silent or down starts again.
    ServerReturns(ServerId),
    /// The drain of a server is over and its process ends.
    ServerRetires(ServerId),
    /// A gateway that was told to stop is killed. Holds its index.
    GatewayKill(usize),
    /// A gateway that was killed is started again. Holds its index.
    GatewayStart(usize),
}
