//! The sections of an experiment: the emulated fleet and platform, routes, plans and load. The names of fields
//! in a file are kept where they differ from those here. Spans are in seconds unless a name ends in `_ms`;
//! ratios and shares are from 0 to 1 unless stated otherwise.

use serde::{Deserialize, Serialize};

/// Gateways and servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// How many gateways there are.
    pub gateways: usize,
    /// How many servers there are.
    pub servers: usize,
    /// How many zones gateways and servers are spread over.
    pub zones: usize,
    /// How many cells servers are spread over; servers of one cell drop each other's repeats where a route says
    /// so.
    pub cells: u64,
    /// The types of the servers' machines.
    #[serde(rename = "kinds")]
    pub machine_types: Vec<MachineTypeConfig>,
    /// How many requests may wait at a server.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// How many connections a server holds.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Work of a new connection for the server, and what it delays the first request on it.
    pub handshake_ms: f64,
    /// A server closes a connection that was idle for so long.
    #[serde(rename = "idle_close")]
    pub idle_timeout: f64,
    /// Share of its full capacity that a server has when it has just started.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// How long a server takes from its start until it has its full capacity.
    #[serde(rename = "cold")]
    pub slow_start: f64,
    /// A server that is warming up falls over when it is sent so many times what it can do.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// For how long that must last.
    pub overload_for: f64,
    /// Whether a server stops working on an attempt that the gateway has given up.
    #[serde(rename = "stops_work")]
    pub cancels_work: bool,
    /// How often the load that servers report in responses and to probes is refreshed; 0: they report none.
    #[serde(rename = "report_every")]
    pub load_report_interval: f64,
    /// Whether gateways may ask servers for their load.
    #[serde(rename = "probes")]
    pub load_probes: bool,
    /// How many attempts a gateway may make for a request.
    #[serde(rename = "max_tries")]
    pub max_attempts: u32,
    /// For how long a gateway may send to a server after it was notified that the server drains or is removed.
    pub drain_grace: f64,
    /// How long a gateway waits for a connection.
    pub connect_timeout: f64,
    /// Memory of a gateway.
    pub memory_mb: usize,
    /// Sockets of a gateway.
    pub sockets: usize,
}

/// A type of machine that servers run on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeConfig {
    /// Its name, as discovery states it.
    pub name: String,
    /// How many servers are of this type, relative to the shares of the others.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// How many requests a server works on at a time.
    #[serde(default = "super::defaults::cores")]
    pub cores: usize,
    /// How fast a core is, relative to the one that work is stated for.
    #[serde(default = "super::defaults::one")]
    pub speed: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CounterConfig {
    /// Whether there is one.
    pub present: bool,
    /// How many parts names are spread over.
    #[serde(rename = "parts")]
    pub shards: usize,
    /// Calls a second that all parts serve together.
    #[serde(rename = "bears")]
    pub capacity: f64,
    /// Time of a call beside the network's.
    pub latency_ms: f64,
    /// After how long a gateway gives a call up.
    pub timeout_ms: f64,
    /// A part rejects calls while so many are waiting in it.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
}

/// Discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryConfig {
    /// A change of the endpoint list reaches a gateway after a span between zero and this one.
    #[serde(rename = "late")]
    pub max_delay: f64,
}

/// The network.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkConfig {
    /// One way within a zone.
    #[serde(rename = "near_ms")]
    pub in_zone_delay_ms: f64,
    /// One way between two zones.
    #[serde(rename = "far_ms")]
    pub cross_zone_delay_ms: f64,
    /// Whether gateways may send each other datagrams.
    #[serde(rename = "peers")]
    pub peer_datagrams: bool,
    /// Share of the datagrams that are lost.
    #[serde(rename = "lost")]
    pub datagram_loss: f64,
    /// Datagrams take up to so long beside the network's delay.
    #[serde(rename = "peer_late_ms")]
    pub datagram_max_delay_ms: f64,
    /// Datagrams a second that a gateway takes in.
    #[serde(rename = "peer_rate")]
    pub datagram_rate: f64,
}

/// What a second execution of a request does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Nothing beyond the first.
    Idempotent,
    /// Nothing, where the server has seen the request's idempotency key.
    #[serde(rename = "tokened")]
    Keyed,
    /// Its effect again.
    NonIdempotent,
}

/// Which servers drop the repeats of a request by its idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All servers.
    #[default]
    All,
    /// Servers of the same cell.
    Cell,
    /// Servers of the same zone.
    Zone,
}

/// A route: a kind of request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Its name on the wire.
    pub name: String,
    /// How many requests are for this route, relative to the shares of the others.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// What a second execution does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Which servers drop repeats.
    #[serde(default, rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long they remember an idempotency key.
    #[serde(default, rename = "memory")]
    pub deduplication_window: f64,
    /// Mean work of a request on a core of speed 1.
    pub work_ms: f64,
    /// An answer is in time within this span.
    pub latency_target: f64,
    /// How long a client waits.
    pub client_timeout: f64,
    /// What a request that is answered in time is worth, for each unit.
    #[serde(default = "super::defaults::one")]
    pub billed_value: f64,
    /// Share of that value that an answer past the target is worth.
    #[serde(default, rename = "late_worth")]
    pub late_value_ratio: f64,
}

/// A plan, under which customers have quotas.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanConfig {
    /// Its name on the wire.
    pub name: String,
    /// Share of the load inside the quotas, relative to the shares of the others.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// Units a second of a customer's quota; 0: there is none.
    #[serde(default)]
    pub rate: f64,
    /// Units that the quota allows at once.
    #[serde(default)]
    pub burst: f64,
    /// Attempts of a customer that may be in flight at once; 0: any number.
    #[serde(default, rename = "cap")]
    pub concurrency_cap: f64,
    /// Factor on the billed value.
    #[serde(default = "super::defaults::one")]
    pub price: f64,
    /// What is sent beyond the quota costs this share of its billed value.
    #[serde(default = "super::defaults::one", rename = "over_cost")]
    pub over_quota_cost: f64,
    /// Units a second that a customer may never pass; 0: there is no such ceiling.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Units that the ceiling allows at once.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Share by which the ceiling may be passed; one of the largest requests may pass it in any case.
    #[serde(default)]
    pub ceiling_slack: f64,
}

/// What clients ask for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadConfig {
    /// Requests a second inside the quotas over all gateways; the number of accounts follows from the plans'
    /// rates.
    #[serde(rename = "calls")]
    pub request_rate: f64,
    /// Share of its quota that a typical account uses.
    #[serde(rename = "use_usual")]
    pub typical_utilization: f64,
    /// Share of the accounts that ask for more than their quota.
    pub greedy_share: f64,
    /// How many times its quota such an account asks for.
    pub greedy_factor: f64,
    /// Through how many gateways the requests of an account come, unevenly.
    #[serde(rename = "spread")]
    pub gateways_per_account: usize,
    /// How often the gateway that gets most of an account's requests changes.
    #[serde(rename = "shift_every")]
    pub shift_interval: f64,
    /// Units of a request are between 1 and this number.
    #[serde(rename = "units_top")]
    pub max_units: u32,
    /// Whether the true units differ from those that were stated, and servers report them.
    #[serde(rename = "settles")]
    pub settles_units: bool,
    /// How often a client sends its request again.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// How long it waits before, where it was not told how long.
    #[serde(rename = "retry_wait")]
    pub retry_delay: f64,
    /// Share of the accounts whose clients wait for as long as they are told.
    #[serde(rename = "heeds")]
    pub retry_after_compliance: f64,
    /// Part of the client timeout after which a client gives up.
    pub patience: f64,
    /// How long clients are still led to a gateway that has ended.
    #[serde(rename = "front_notices")]
    pub front_detection_delay: f64,
    /// A recording that is played in place of the accounts.
    pub replay: Option<String>,
    /// How many times the recording's load is played.
    #[serde(rename = "scale")]
    pub replay_scale: f64,
}
