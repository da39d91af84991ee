//! The interface between the decisions and whatever carries them: the edge node on sockets, the adapter to the
//! simulator's wire, later an external processor, external authorisation or plan-and-apply files.
//! A carrier turns its protocol's events into calls on [`crate::control::Control`] and implements [`Port`].
//! All times are spans since the start of the carrier's clock.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

macro_rules! id {
    ($($name:ident),*) => {$(
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub struct $name(pub Rc<str>);
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Rc::from(text))
            }
        }
    )*};
}
id!(CallId, ServerId, CustomerId, RouteName, PlanName);

/// A number on the shared counter; names are whole numbers below 2^63.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CounterName(pub u64);

/// One upstream try of an API call, counted from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TryNumber(pub u32);

/// What a carrier may ask to be woken with.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WakeToken(pub u64);

/// The one periodic timer of an instance, on which a carrier may hang periodic work of its own; all that is
/// due at other times.
pub const TICK_TOKEN: WakeToken = WakeToken(1);
pub const DUE_TOKEN: WakeToken = WakeToken(2);

/// A span of so many seconds. What is below nothing or no number is nothing, and a span ends within thirty years, so that
/// sums of them stay sound whatever was stated.
pub fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number.clamp(0.0, 1e9).max(0.0))
}

/// How an upstream try or a probe ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Proxied,
    ServerError,
    TurnedAway,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    NotSent,
}

/// The answer to one counter call; `Added` tells no total, `Unsure` may or may not have been added.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Counted {
    Total(f64),
    Added,
    NotAdded,
    Unsure,
}

impl Counted {
    /// The total; where it could not be read, what it is taken to be; nothing where it may not have been added.
    pub fn total_or(self, taken: f64) -> Option<f64> {
        match self {
            Counted::Total(total) => Some(total),
            Counted::Added => Some(taken),
            Counted::NotAdded | Counted::Unsure => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A moment of the wall clock, counted from the start of Unix time; in the simulator, of its one clock. It is no moment of
/// the carrier's clock, by which spans are measured: the wall clock may be stepped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct UnixTime(pub Duration);

/// By what the ages of the servers of a list are reckoned.
#[derive(Clone, Copy, Debug)]
pub struct ListTime {
    /// Unix time, as far as it is known.
    pub unix_now: UnixTime,
    /// How long ago the last list or change came, if one has come: what is new since then has not started long before.
    pub since_last: Option<Duration>,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub server: ServerId,
    pub phase: Phase,
    /// When its process started last; none: long ago.
    pub started: Option<UnixTime>,
    pub cell: u64,
    pub zone: String,
    pub kind: String,
    pub weight: f64,
}

impl Listed {
    /// A server that is no longer there.
    pub fn gone(server: ServerId) -> Self {
        let (zone, kind) = (String::new(), String::new());
        Listed {
            server,
            phase: Phase::Gone,
            started: None,
            cell: 0,
            zone,
            kind,
            weight: 1.0,
        }
    }
}

/// An API call as it comes in.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub call: CallId,
    pub customer: CustomerId,
    pub plan: PlanName,
    pub route: RouteName,
    pub units: f64,
    pub until: Duration,
    /// The gateways that may get this customer's API calls: the first one's number, and how many in a row.
    pub first: u32,
    pub spread: u32,
}

/// The end of an upstream try.
#[derive(Clone, Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub latency: Duration,
    /// The API call has its final answer, through this outcome or before.
    pub closed: bool,
    /// The true units where they are settled afterwards.
    pub settled: Option<f64>,
    pub load: BTreeMap<String, f64>,
}

/// What the decisions may do.
pub trait Port {
    /// One upstream try: an answer is waited for so long, and the command must have gone out whole by then, counted
    /// from the start (`Duration::MAX`: at any time); what has not begun by then is not begun, and ends as `NotSent`.
    fn send(&mut self, call: &CallId, server: &ServerId, timeout: Duration, whole_by: Duration);
    fn cancel(&mut self, call: &CallId, number: TryNumber);
    fn rate_limit(&mut self, call: &CallId, retry_after: Duration);
    fn error(&mut self, call: &CallId);
    fn count(&mut self, name: CounterName, add: f64, keep: Duration);
    fn wake(&mut self, token: WakeToken, at: Duration);
    fn probe(&mut self, server: &ServerId);
    fn subscribe(&mut self, on: bool);
    fn refetch(&mut self);
    fn release(&mut self, server: &ServerId);
    fn tell(&mut self, peer: Option<u32>, body: &[u8]);
    fn log(&mut self, text: &str);
}
