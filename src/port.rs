//! The interface between the admission controller and the adapters that connect it to a protocol. The adapters are the
//! edge node on sockets, the simulator's protocol and the lab's simulated time. An external processor, external
//! authorisation and plan-and-apply files may follow.
//!
//! An adapter turns the events of its protocol into calls on [`crate::control::AdmissionController`] and implements
//! [`Port`], through which the controller acts. All times are durations since the start of the adapter's clock, except
//! [`UnixTime`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub struct $name(
            /// The text of the id, as it stands in the adapter's protocol or in the settings.
            pub Rc<str>,
        );

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Rc::from(text))
            }
        }
    )*};
}

text_id!(
    /// The id of a client request. A retry by the client is a separate request.
    RequestId,
    /// The id of an endpoint, a machine that serves requests. It does not change when the endpoint's process restarts.
    EndpointId,
    /// The id of a customer. The quotas of the customer's plan apply to it.
    CustomerId,
    /// The name of a route in the settings.
    RouteName,
    /// The name of a plan in the settings.
    PlanName,
);

/// The name of a value on the shared counter. It is below 2^63.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CounterName(pub u64);

/// The number of an upstream attempt within its request, counted from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptNumber(pub u32);

/// Identifies a timer: set with the timer and passed back when the timer fires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TimerToken(pub u64);

/// The token of a controller's only periodic timer. An adapter may run its own periodic work when this timer fires.
pub const TICK_TIMER: TimerToken = TimerToken(1);

/// The token of all other timers: an entry of the controller's timer queue is due.
pub const QUEUE_TIMER: TimerToken = TimerToken(2);

/// The longest duration that [`seconds`] returns: about thirty years, so that sums of durations do not overflow.
const MAX_DURATION_SECONDS: f64 = 1e9;

/// Converts a number of seconds into a duration. Negative numbers and NaN give zero; numbers above 10^9 give 10^9
/// seconds (about thirty years).
pub fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number.clamp(0.0, MAX_DURATION_SECONDS).max(0.0))
}

/// How an upstream attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// The endpoint answered with a value, which is passed on to the client.
    Success,
    /// The endpoint answered with an error or with a malformed response. The request may have run.
    ServerError,
    /// The endpoint was busy and rejected the attempt without running it.
    Rejected,
    /// No answer came within the timeout. The request may have run.
    TimedOut,
    /// The command was not sent completely, because no connection was established or the connection broke first.
    ConnectFailed,
    /// The connection broke after the command had been sent. The request may have run.
    Reset,
    /// The controller cancelled the attempt. The request may have run.
    Cancelled,
    /// The adapter did not start the attempt.
    NotSent,
}

/// The answer to one call on the shared counter.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CounterReply {
    /// The amount was added; holds the new total.
    Total(f64),
    /// The amount was added, but the total could not be read.
    Applied,
    /// The amount was not added.
    NotApplied,
    /// The amount may or may not have been added.
    Unknown,
}

impl CounterReply {
    /// Returns the total, or `assumed` if the amount was added but the total could not be read. Returns `None` if the
    /// amount was not added, or may not have been.
    pub fn total_or(self, assumed: f64) -> Option<f64> {
        match self {
            CounterReply::Total(total) => Some(total),
            CounterReply::Applied => Some(assumed),
            CounterReply::NotApplied | CounterReply::Unknown => None,
        }
    }

    /// Returns whether the amount is known to have been added.
    pub fn is_applied(self) -> bool {
        matches!(self, CounterReply::Total(_) | CounterReply::Applied)
    }
}

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    /// The endpoint accepts attempts.
    Ready,
    /// The endpoint finishes the attempts that it has and must get no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// A wall-clock time, as a duration since the Unix epoch. Adapters with simulated time use their only clock instead. It
/// must not be compared with times of the adapter's clock, which measures durations: the wall clock may be stepped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct UnixTime(pub Duration);

/// The times from which the ages of the endpoints in an update are computed.
#[derive(Clone, Copy, Debug)]
pub struct UpdateTiming {
    /// The adapter's estimate of the wall-clock time at which the update was received.
    pub unix_now: UnixTime,
    /// The time since the previous update, or `None` if it is not known or there was none. An endpoint that the
    /// previous update did not list can't have started long before it.
    pub since_last_update: Option<Duration>,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's state according to discovery.
    pub state: EndpointState,
    /// When the endpoint's process last started; `None` means long ago.
    pub started_at: Option<UnixTime>,
    /// The endpoint's cell. A cell is the smallest deduplication scope.
    pub cell: u64,
    /// The endpoint's zone.
    pub zone: String,
    /// The endpoint's machine type.
    pub machine_type: String,
    /// The endpoint's size relative to other endpoints, from discovery.
    pub weight: f64,
}

impl Endpoint {
    /// Returns the entry of an endpoint that no longer exists.
    pub fn removed(id: EndpointId) -> Self {
        Endpoint {
            id,
            state: EndpointState::Removed,
            started_at: None,
            cell: 0,
            zone: String::new(),
            machine_type: String::new(),
            weight: 1.0,
        }
    }
}

/// An update of the endpoint list from discovery.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The complete list. Endpoints that are not in it no longer exist.
    Snapshot(Vec<Endpoint>),
    /// Only the entries that have changed.
    Delta(Vec<Endpoint>),
}

/// A client request as the gateway receives it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanName,
    /// The requested route.
    pub route: RouteName,
    /// The units that it takes from the customer's quota; an estimate if the units are settled after the attempt.
    pub units: f64,
    /// The time by which the client needs the final answer, on the adapter's clock.
    pub deadline: Duration,
    /// The index of the first gateway that receives this customer's requests.
    pub first_gateway: u32,
    /// The number of consecutive gateways that receive this customer's requests, starting from `first_gateway`. The
    /// last gateway is followed by gateway 0.
    pub gateway_count: u32,
}

/// The result of an upstream attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from sending the attempt to its end.
    pub latency: Duration,
    /// Whether the request needs no further answer: this outcome has closed it, or it was closed before.
    pub request_closed: bool,
    /// The units that the request actually took, if they are settled after the attempt.
    pub settled_units: Option<f64>,
    /// The load that the endpoint reports, by metric name.
    pub load: BTreeMap<String, f64>,
}

/// The actions that the controller requests from its adapter.
pub trait Port {
    /// Starts an upstream attempt, which times out after `timeout`. The command must be sent completely by `send_by`, a
    /// time of the adapter's clock (`Duration::MAX`: no limit). An attempt that has not started by then is not started
    /// and ends as [`AttemptOutcome::NotSent`].
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        send_by: Duration,
    );

    /// Cancels an attempt in flight. Its end is still reported to the controller.
    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber);

    /// Sends the final answer that the request was rejected: the client may safely retry it, after `retry_after`.
    fn reject(&mut self, request: &RequestId, retry_after: Duration);

    /// Sends the final answer that the request failed. It does not say that a retry is safe.
    fn fail(&mut self, request: &RequestId);

    /// Adds an amount to a value on the shared counter, which keeps the value for `ttl` from the first call with its
    /// name. The replies for one name must arrive in the order of the calls.
    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration);

    /// Sets the timer of a token, so that it fires at `at` on the adapter's clock. It replaces the time that was set before,
    /// if the timer has not fired; an adapter that can't replace it may let the timer fire at both times.
    fn set_timer(&mut self, token: TimerToken, at: Duration);

    /// Requests a load report from an endpoint.
    fn probe(&mut self, endpoint: &EndpointId);

    /// Starts or ends the subscription to endpoint updates.
    fn subscribe(&mut self, active: bool);

    /// Requests the complete endpoint list once.
    fn refetch_endpoints(&mut self);

    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &EndpointId);

    /// Sends a datagram to the gateway with index `peer`, or to all gateways if `peer` is `None`.
    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]);

    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
