//! Faults that are injected into the emulated platform during a run.

use serde::{Deserialize, Serialize};

/// The kind of a fault. Its name in an experiment file is the variant's name in kebab case, unless a `serde`
/// attribute gives another one. What [`Fault::share`] and [`Fault::factor`] mean depends on the kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The counter accepts calls and answers none.
    CounterSilent,
    /// The counter rejects all calls as busy.
    CounterBusy,
    /// The counter resets its connections.
    CounterReset,
    /// Calls of the counter take `factor` times as long.
    CounterSlow,
    /// The counter loses its counts when the fault starts.
    CounterEmpty,
    /// A `share` of the gateways uses a second, empty counter; at the end all use the first one again.
    CounterSplit,
    /// All gateways are moved to a second, empty counter for the rest of the run.
    CounterSwap,
    /// A `share` of the servers takes `factor` times as long for its work.
    ServersSlow,
    /// A `share` of the servers accepts attempts and answers none; at the end they return in slow start.
    ServersSilent,
    /// A `share` of the servers crashes and refuses connections; at the end they return in slow start.
    ServersCrash,
    /// A `share` of the servers is replaced one after another by new ones in slow start.
    ServersReplace,
    /// A `share` of the servers answers with an error to the share of attempts that `factor` gives.
    ServersFailing,
    /// A `share` of the servers leaves the attempts of `route` unanswered.
    RouteUnanswered,
    /// A `share` of the servers' responses can't be parsed.
    #[serde(rename = "answers-spoilt")]
    MalformedResponses,
    /// Changes of the endpoint list reach the gateways `factor` seconds later.
    ListLate,
    /// Changes of the endpoint list reach the gateways only after the end of the fault.
    ListSilent,
    /// The endpoint list omits a `share` of the servers, though they are in service.
    ListWrong,
    /// Clients send `factor` times as many requests.
    Surge,
    /// Clients send more requests; the multiple grows evenly from 1 to `factor`.
    DeadlineSurge,
    /// Customers of `plan` send `factor` times as many requests.
    PlanBurst,
    /// A `share` of the accounts sends most of its requests to another gateway from the start of the fault on.
    Shift,
    /// A `share` of the requests comes from accounts that no gateway has seen before.
    Scan,
    /// Clients may give up after the share `factor` of their timeout.
    Impatient,
    /// A `share` of the retries does not wait for as long as the rejection asks.
    Heedless,
    /// Clients, `factor` in number, send bytes that can't be parsed; with the loopback engine only.
    #[serde(rename = "bad-clients")]
    MisbehavingClients,
    /// A `share` of the gateways is killed, and started again at the end.
    GatewaysKill,
    /// A `share` of the gateways is stopped gracefully and started again, one after another.
    GatewaysRestart,
    /// Discovery and the counter move to new addresses for a `share` of the gateways.
    GatewaysMove,
    /// Gateways and servers of `zone` and those of other zones can't reach each other.
    ZoneCut,
    /// The servers of `zone` accept attempts and answer none; at the end they return in slow start.
    ZoneLost,
    /// A `share` of the datagrams between gateways is lost.
    PeersLost,
}

/// A fault, and the time at which it is injected. Times and durations are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails, and how.
    pub kind: FaultKind,
    /// When it starts, counted from the start of the run.
    #[serde(rename = "at")]
    pub starts_at: f64,
    /// Its duration, over which faults of several steps spread them.
    #[serde(default, rename = "for")]
    pub duration: f64,
    /// Share of the servers, gateways, accounts, requests, responses or datagrams that it affects, from 0 to 1.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// Magnitude of the effect; its meaning and unit depend on [`Self::kind`].
    #[serde(default = "super::defaults::fault_factor")]
    pub factor: f64,
    /// Name of the affected route, for kinds that affect one.
    #[serde(default)]
    pub route: Option<String>,
    /// Name of the plan whose customers it affects; none: those of all plans, where the kind allows that.
    #[serde(default)]
    pub plan: Option<String>,
    /// Index of the affected zone, counted from 0, for kinds that affect one.
    #[serde(default)]
    pub zone: usize,
    /// Whether the counter has lost its counts when the fault ends.
    #[serde(default, rename = "empty")]
    pub loses_counts: bool,
}
