//! The interface between the decisions and the adapters that carry them: the edge node on sockets, the
//! simulator's wire, the laboratory's simulated time; later an external processor, external authorisation or
//! plan-and-apply files.
//!
//! An adapter turns its protocol's events into calls on [`crate::control::AdmissionController`] and implements
//! [`Port`], by which the controller acts. All times are spans since the start of the adapter's clock.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub struct $name(
            /// The text as the adapter's protocol gives it.
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
    /// One request of a client; a retry by the client is a request of its own.
    RequestId,
    /// A machine that serves requests. It keeps its id when its process restarts.
    EndpointId,
    /// A customer, to whom the quotas of a plan apply.
    CustomerId,
    /// The name of a route in the settings.
    RouteName,
    /// The name of a plan in the settings.
    PlanName,
);

/// The name of a number on the shared counter, below 2^63.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CounterName(pub u64);

/// One upstream attempt of a request, counted from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptNumber(pub u32);

/// What a timer is set with, and comes back with when it fires.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TimerToken(pub u64);

/// The one periodic timer of a controller, on which an adapter may hang periodic work of its own.
pub const TICK_TIMER: TimerToken = TimerToken(1);

/// Any other timer: something in the controller's own timer queue is due.
pub const DUE_TIMER: TimerToken = TimerToken(2);

/// The longest span that [`seconds`] gives: about thirty years, so that sums of spans stay sound.
const MAX_SPAN_SECONDS: f64 = 1e9;

/// A span of so many seconds; negative numbers and NaN give zero, large ones about thirty years.
pub fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number.clamp(0.0, MAX_SPAN_SECONDS).max(0.0))
}

/// How an upstream attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// The endpoint answered with a value, which the client gets.
    Success,
    /// The endpoint answered with an error, or with something that can't be read; the request may have run.
    ServerError,
    /// The endpoint refused the attempt unseen, as it is full.
    Rejected,
    /// No answer came in time; the request may have run.
    TimedOut,
    /// The command did not go out whole: no connection came up, or it broke before.
    ConnectFailed,
    /// The connection broke after the command had gone out; the request may have run.
    Reset,
    /// The controller cancelled the attempt; the request may have run.
    Cancelled,
    /// The adapter did not begin the attempt.
    NotSent,
}

/// The answer to one call on the shared counter.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CounterReply {
    /// The amount was added, and this is the total.
    Total(f64),
    /// The amount was added; the total could not be read.
    Applied,
    /// The amount was not added.
    NotApplied,
    /// The amount may or may not have been added.
    Unknown,
}

impl CounterReply {
    /// The total, or `assumed` where the amount was added but the total could not be read; none where the amount
    /// may not have been added.
    pub fn total_or(self, assumed: f64) -> Option<f64> {
        match self {
            CounterReply::Total(total) => Some(total),
            CounterReply::Applied => Some(assumed),
            CounterReply::NotApplied | CounterReply::Unknown => None,
        }
    }

    /// Whether the amount is known to have been added.
    pub fn is_applied(self) -> bool {
        matches!(self, CounterReply::Total(_) | CounterReply::Applied)
    }
}

/// What discovery says of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    /// It may be sent attempts.
    Ready,
    /// It finishes what it has and is to get nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// A moment of the wall clock, counted from the start of Unix time; in the simulator, of its one clock. It is no
/// moment of the adapter's clock, by which spans are measured: the wall clock may be stepped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct UnixTime(pub Duration);

/// By what the ages of the endpoints in an update are reckoned.
#[derive(Clone, Copy, Debug)]
pub struct UpdateTiming {
    /// The wall clock when the update came, as far as it is known.
    pub unix_now: UnixTime,
    /// How long ago the update before came, if one has: an endpoint that is new since then has not started long
    /// before.
    pub since_last_update: Option<Duration>,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Which endpoint.
    pub id: EndpointId,
    /// What discovery says of it.
    pub state: EndpointState,
    /// When its process started last; none: long ago.
    pub started_at: Option<UnixTime>,
    /// The cell that it belongs to, the smallest deduplication scope.
    pub cell: u64,
    /// The zone that it stands in.
    pub zone: String,
    /// The type of its machine.
    pub machine_type: String,
    /// Its size relative to others, as discovery states it.
    pub weight: f64,
}

impl Endpoint {
    /// The entry of an endpoint that is no longer there.
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

/// News from discovery.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The whole list: what it doesn't name is gone.
    Snapshot(Vec<Endpoint>),
    /// The entries that have changed.
    Delta(Vec<Endpoint>),
}

/// A request as it comes in.
#[derive(Clone, Debug)]
pub struct Request {
    /// Which request.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The plan of the customer.
    pub plan: PlanName,
    /// The route that is asked for.
    pub route: RouteName,
    /// The units it takes from the customer's quota; a guess where units are settled afterwards.
    pub units: f64,
    /// Until when the client waits for the final answer.
    pub deadline: Duration,
    /// The number of the first gateway that gets this customer's requests.
    pub first_gateway: u32,
    /// How many gateways in a row get them, counted round.
    pub gateway_count: u32,
}

/// The end of an upstream attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took from its sending.
    pub latency: Duration,
    /// The request has its final answer, through this outcome or before.
    pub request_closed: bool,
    /// The true units, where they are settled afterwards.
    pub settled_units: Option<f64>,
    /// The load that the endpoint reports, by the name of the figure.
    pub load: BTreeMap<String, f64>,
}

/// What the controller may ask of its adapter.
pub trait Port {
    /// Begins one upstream attempt. An answer is waited for until `timeout` has passed. The command must have gone
    /// out whole by `send_by`, a moment of the adapter's clock (`Duration::MAX`: at any time); an attempt that has
    /// not begun by then is not begun, and ends as [`AttemptOutcome::NotSent`].
    fn send(
        &mut self,
        request: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        send_by: Duration,
    );

    /// Gives up an attempt in flight; its end is reported all the same.
    fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber);

    /// The final answer that it is harmless to ask again, after `retry_after`.
    fn reject(&mut self, request: &RequestId, retry_after: Duration);

    /// The final answer of failure, which promises nothing.
    fn fail(&mut self, request: &RequestId);

    /// Adds an amount to a number on the shared counter, which keeps the name for `ttl` from its first call on. The
    /// replies for one name come in the order of the calls.
    fn add_to_counter(&mut self, name: CounterName, amount: f64, ttl: Duration);

    /// Sets a timer; it can't be unset.
    fn set_timer(&mut self, token: TimerToken, at: Duration);

    /// Asks an endpoint for its load.
    fn probe(&mut self, endpoint: &EndpointId);

    /// Begins or ends the subscription to endpoint updates.
    fn subscribe(&mut self, active: bool);

    /// Asks for the whole endpoint list once.
    fn refetch_endpoints(&mut self);

    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &EndpointId);

    /// Sends a datagram to one gateway, or to all.
    fn send_to_peer(&mut self, peer: Option<u32>, body: &[u8]);

    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
