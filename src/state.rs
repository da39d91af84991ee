//! What a gateway remembers, without any decision: records of API calls, servers and customers, units that
//! refill, and a hash for counter names.

use crate::control::AdmissionController;
use crate::port::*;
use crate::settings::Route;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank_fleet::slow_start::SlowStartPermits;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What a step leaves behind.
pub type Next<R> = Box<dyn FnOnce(&mut AdmissionController, R)>;

pub struct Call {
    pub arrival: Request,
    /// The route's terms as they were when it came.
    pub route: Route,
    pub born: Duration,
    pub tries: u32,
    /// Sent without the counter's word.
    pub unsure: bool,
    pub out: Option<AttemptNumber>,
    pub last: Option<EndpointId>,
    /// When and where the first try that may have run was sent.
    pub ran: Option<Sent>,
    /// A try has come whole to a server: its units are taken.
    pub taken: bool,
}

/// When a try was sent, and to which group of servers.
#[derive(Clone)]
pub struct Sent {
    pub at: Duration,
    pub zone: String,
    pub cell: u64,
}

impl Call {
    pub fn new(arrival: Request, route: Route, born: Duration, unsure: bool) -> Self {
        Call {
            arrival,
            route,
            born,
            tries: 0,
            unsure,
            out: None,
            last: None,
            ran: None,
            taken: false,
        }
    }
}

pub struct Server {
    pub listed: Endpoint,
    /// When it started, by the carrier's clock; none: long ago.
    pub born: Option<Duration>,
    pub open: u32,
    /// Latency against the route's usual one, as a moving mean.
    pub pace: f64,
    /// Losses of each route here.
    pub losses: BTreeMap<RouteName, LossRate>,
    /// By which this gateway's share of a cold server's budget is kept.
    pub ramp: SlowStartPermits,
}

/// What is kept of a server that is no longer listed: it may be listed again without having started anew.
pub struct Departed {
    pub started: Option<UnixTime>,
    pub born: Option<Duration>,
    pub at: Duration,
}

impl Server {
    /// As nothing is known of it yet.
    pub fn fresh(
        listed: Endpoint,
        born: Option<Duration>,
        open: u32,
        ramp: SlowStartPermits,
    ) -> Self {
        Server {
            listed,
            born,
            open,
            pace: 1.0,
            losses: BTreeMap::new(),
            ramp,
        }
    }
}

/// How many of recent tries were lost; tries fade with time.
pub struct LossRate {
    half_life: f64,
    tries: f64,
    lost: f64,
    at: Duration,
}

impl LossRate {
    /// Tries count half after so many seconds.
    pub fn new(half_life: f64) -> LossRate {
        LossRate {
            half_life,
            tries: 0.0,
            lost: 0.0,
            at: Duration::ZERO,
        }
    }

    fn faded(&self, now: Duration) -> f64 {
        0.5f64.powf(now.saturating_sub(self.at).as_secs_f64() / self.half_life)
    }

    pub fn add(&mut self, now: Duration, lost: f64) {
        let faded = self.faded(now);
        (self.tries, self.lost, self.at) =
            (self.tries * faded + 1.0, self.lost * faded + lost, now);
    }

    /// The share lost, as though `weight` tries more had lost the share `prior`.
    pub fn estimate(&self, now: Duration, prior: f64, weight: f64) -> f64 {
        let faded = self.faded(now);
        (self.lost * faded + prior * weight) / (self.tries * faded + weight)
    }
}

/// The usual latency of a route, in seconds.
#[derive(Clone, Copy)]
pub struct UsualLatency {
    /// Begins with the first answer, and follows the others in small shares.
    pub seconds: f64,
    /// Begins with the mean of the first answers, as many as are counted, and follows the others alike.
    mean: f64,
    answers: u32,
}

impl UsualLatency {
    /// So many answers make the mean that it begins with.
    const FIRST: u32 = 16;

    /// Nothing was answered yet; it is taken to be this.
    pub fn taken_to_be(seconds: f64) -> UsualLatency {
        UsualLatency {
            seconds,
            mean: 0.0,
            answers: 0,
        }
    }

    /// An answer came after `took`; what it moves is moved by the shares `longer` or `shorter`.
    pub fn add(&mut self, took: f64, longer: f64, shorter: f64) {
        self.seconds *= if took > self.seconds { longer } else { shorter };
        if self.answers < UsualLatency::FIRST {
            self.answers += 1;
            self.mean += (took - self.mean) / f64::from(self.answers);
        } else {
            self.mean *= if took > self.mean { longer } else { shorter };
        }
    }

    /// As the first answers have it, with one more that had taken `prior`, which counts for less with each of them: no
    /// single quick one says much.
    pub fn with_prior(&self, prior: f64) -> f64 {
        let answers = f64::from(self.answers);
        let weight = 1.0 - answers / f64::from(UsualLatency::FIRST);
        (self.mean * answers + prior * weight) / (answers + weight)
    }
}

/// What the counter is seen to bear.
#[derive(Default)]
pub struct Bears {
    /// Calls a second this gateway may make, how many it has in hand, and when that was last moved.
    pub pace: f64,
    pub in_hand: f64,
    pub filled: Duration,
    /// Calls a second it made of late; up to which pace it speeds up quickly; when it was last slowed.
    pub calling: f64,
    pub quick_to: f64,
    pub slowed: Duration,
    pub errors: u32,
    /// Share of API calls whose customer's even split is less than they ask, and mean value of an API call.
    pub thin: f64,
    pub value: f64,
    /// Units of late told to the counter, and sent without a word to it.
    pub said: f64,
    pub unsaid: f64,
}

impl Bears {
    /// Fades what was made and fills what is in hand.
    pub fn fill(&mut self, now: Duration, most: f64) {
        let span = now.saturating_sub(self.filled).as_secs_f64();
        self.calling *= (-span).exp();
        self.in_hand = (self.in_hand + span * self.pace).min(most);
        self.filled = now;
    }
}

/// What is seen of the servers together.
#[derive(Default)]
pub struct Fleet {
    /// Tries open, and how many may be: grows on quick answers, shrinks on slow ones.
    pub open: f64,
    pub room: f64,
    /// Mean worth for work of recent API calls.
    pub worth: f64,
    /// Further tries that may be made.
    pub further: f64,
    /// Answers a second from warm servers, fading over ten seconds, and when it was last faded.
    pub done: (f64, Duration),
    /// How many of the servers in use are warm.
    pub warm: f64,
    /// Tries sent since the last second began, and how many a second of late.
    pub sends: f64,
    pub pace: f64,
}

/// Units that refill with time.
pub struct TokenBucket {
    pub left: f64,
    pub at: Duration,
}

impl TokenBucket {
    pub fn pay(&mut self, now: Duration, rate: f64, depth: f64, price: f64) -> bool {
        self.left = (self.left + now.saturating_sub(self.at).as_secs_f64() * rate).min(depth);
        self.at = now;
        let fits = self.left >= price;
        self.left -= if fits { price } else { 0.0 };
        fits
    }
}

#[derive(Default)]
pub struct Account {
    /// How many gateways the customer comes through, and this one's place among them.
    pub spread: f64,
    pub rank: f64,
    /// Holds of tries out through this gateway, each with the periods in whose names it is counted, and the
    /// period last renewed into.
    pub holds: BTreeMap<u64, Vec<u64>>,
    pub renewed: u64,
    /// Units in hand, taken from a window's name.
    pub block: f64,
    /// The customer's store as the totals show it: its units, the window and total last seen, and when.
    pub store: f64,
    pub window: u64,
    pub length: Duration,
    pub total: f64,
    pub seen: Duration,
    /// Recent demand in units a second, and when it was last moved.
    pub demand: f64,
    pub asked: Duration,
    pub waiting: Vec<Next<bool>>,
    pub refused_until: Duration,
    /// The even split, while it is used in silence.
    pub share: Option<TokenBucket>,
    /// What a hard ceiling leaves to this gateway.
    pub ceiling: Option<TokenBucket>,
}

impl Account {
    /// Enters the window of that number and length. A store that was followed through the last one goes on, also where
    /// new settings have changed the length; one that was not is taken to hold `unfollowed`.
    pub fn enter_window(&mut self, window: u64, length: Duration, unfollowed: f64, now: Duration) {
        if self.window == window && self.length == length {
            return;
        }
        let changed = self.length != length && now < self.seen + self.length;
        if self.window + 1 != window && !(changed && self.window > 0) {
            (self.store, self.seen) = (unfollowed, now);
        }
        (self.window, self.length, self.total) = (window, length, 0.0);
    }

    /// The store refills at the rate, and gives what the total shows taken since the last look.
    pub fn follow(&mut self, total: f64, now: Duration, rate: f64, burst: f64) {
        let refill = now.saturating_sub(self.seen).as_secs_f64() * rate;
        self.store = (self.store + refill - (total - self.total)).min(burst);
        (self.total, self.seen) = (total, now);
    }
}

/// A hash that is the same at every gateway and in every build, below 2^63.
pub fn fixed_hash(text: &str, kind: u8, number: u64) -> u64 {
    let bytes = text.bytes().chain([kind]).chain(number.to_le_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 29)) >> 1
}
