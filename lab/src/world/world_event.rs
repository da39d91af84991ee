//! What falls due in the world.

use crate::events::{AttemptId, ClientRequestId, CounterCallId, OperationId, ServerId};

/// Something that happens in the world at a known time.
#[derive(Clone, Copy, Debug)]
pub(super) enum WorldEvent {
    /// The next operation of the accounts may arrive.
    Arrival,
    /// A recorded request is replayed; its index in the recording.
    ReplayedArrival(usize),
    /// A client sends another request for its operation.
    ClientRetry(OperationId),
    /// A client gives up waiting before its timeout.
    ClientGivesUp(ClientRequestId),
    /// The client timeout of a request is over, with what the rules allow beyond it.
    ClientTimeout(ClientRequestId),
    /// A server has done an attempt's work.
    WorkDone(ServerId, AttemptId),
    /// A server's response is sent, or has arrived where the engine adds no delay.
    ResponseDue(AttemptId),
    /// The counter is done with a call.
    CounterCallDone(CounterCallId),
    /// Discovery is to notify a gateway of a change of the endpoint list.
    NotificationDue {
        /// The gateway.
        gateway: usize,
        /// The change's number.
        change: usize,
    },
    /// A fault takes one of its steps; the first one, 0, begins it.
    FaultStep {
        /// The fault's index in the experiment.
        fault: usize,
        /// The step, counted from 0.
        step: usize,
    },
    /// A fault ends; its index in the experiment.
    FaultEnd(usize),
    /// A server that was down is back.
    ServerReturns(ServerId),
    /// A draining server has finished what it had.
    ServerRetires(ServerId),
    /// A gateway that was told to stop is killed.
    GatewayKill(usize),
    /// A gateway that was killed is started again.
    GatewayStart(usize),
}
