//! Faults that befall the emulated platform during a run.

use serde::{Deserialize, Serialize};

/// What goes wrong. The names in a file are the variants' names in lower case with hyphens, unless stated.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The counter takes calls and answers none.
    CounterSilent,
    /// The counter rejects all calls.
    CounterBusy,
    /// The counter resets its connections.
    CounterReset,
    /// The counter takes so many times as long.
    CounterSlow,
    /// The counter loses its counts at that moment.
    CounterEmpty,
    /// Some gateways count on a fresh counter, then all on the first again.
    CounterSplit,
    /// All gateways are led to a fresh counter for good.
    CounterSwap,
    /// Some servers take so many times as long.
    ServersSlow,
    /// Some servers take attempts and answer none; they are back warming up.
    ServersSilent,
    /// Some servers refuse connections; they are back warming up.
    ServersCrash,
    /// Some servers are replaced one after another by new ones.
    ServersReplace,
    /// Some servers answer a share of the attempts with an error.
    ServersFailing,
    /// Some servers leave one route unanswered.
    RouteUnanswered,
    /// A share of the responses can't be parsed (`answers-spoilt` in a file).
    #[serde(rename = "answers-spoilt")]
    MalformedResponses,
    /// Changes of the endpoint list take longer to reach the gateways.
    ListLate,
    /// No change of the endpoint list reaches the gateways.
    ListSilent,
    /// The endpoint list leaves out servers that are there.
    ListWrong,
    /// So many times as many requests come.
    Surge,
    /// The same, growing up to the factor.
    DeadlineSurge,
    /// So many times as many requests of one plan come.
    PlanBurst,
    /// Some accounts move to other gateways.
    Shift,
    /// Some requests come from accounts that were never seen.
    Scan,
    /// Clients give up after a part of their time.
    Impatient,
    /// Some clients don't wait for as long as they are told.
    Heedless,
    /// Clients come that send bytes that can't be parsed; on loopback only (`bad-clients` in a file).
    #[serde(rename = "bad-clients")]
    MisbehavingClients,
    /// Some gateways are killed, and are started again at the end.
    GatewaysKill,
    /// Some gateways are told to stop and are started again, in turn.
    GatewaysRestart,
    /// Some gateways are told that counter and discovery have new addresses.
    GatewaysMove,
    /// A zone and the others can't reach each other.
    ZoneCut,
    /// The servers of a zone are silent; they are back warming up.
    ZoneLost,
    /// A share of the datagrams between gateways is lost.
    PeersLost,
}

/// A fault and when it happens. Spans are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, since the start of the run.
    #[serde(rename = "at")]
    pub starts_at: f64,
    /// How long it lasts, or over how long its steps are spread.
    #[serde(default, rename = "for")]
    pub duration: f64,
    /// Share of the servers, gateways, accounts or responses that it befalls.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// How much slower, busier or later things are.
    #[serde(default = "super::defaults::fault_factor")]
    pub factor: f64,
    /// The route that it is about, where it is about one.
    #[serde(default)]
    pub route: Option<String>,
    /// The plan that it is about, where it is about one.
    #[serde(default)]
    pub plan: Option<String>,
    /// The zone that it is about, where it is about one; counted from 0.
    #[serde(default)]
    pub zone: usize,
    /// Whether the counter comes back without its counts.
    #[serde(default, rename = "empty")]
    pub loses_counts: bool,
}
