//! The sections of an experiment file: fleet, counter, discovery, network, routes, plans and load.
//!
//! Where the name of a field in the file differs from its name here, a `serde` attribute gives it. Times and
//! durations are in seconds unless a name ends in `_ms`; shares and ratios range from 0 to 1 unless stated
//! otherwise.

use serde::{Deserialize, Serialize};

/// The emulated gateways and servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers at the start of the run.
    pub servers: usize,
    /// Number of zones that gateways and servers are spread over.
    pub zones: usize,
    /// Number of cells that servers are spread over. On a route with [`DeduplicationScope::Cell`] the servers of a
    /// cell recognize repeats of requests that any of them has executed.
    pub cells: u64,
    /// Machine types of the servers, which differ in cores and speed.
    #[serde(rename = "kinds")]
    pub machine_types: Vec<MachineTypeConfig>,
    /// Attempts that may wait at a server for a free core; it rejects further ones as busy.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// A server with more open connections than this rejects attempts as busy.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Work that the first attempt on a new connection adds, in milliseconds on a core of speed 1.
    pub handshake_ms: f64,
    /// Idle time after which a server closes a connection.
    #[serde(rename = "idle_close")]
    pub idle_timeout: f64,
    /// Share of its full capacity that a server has at its start.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// Time from a server's start until it has its full capacity.
    #[serde(rename = "cold")]
    pub slow_start: f64,
    /// A server in slow start fails for good when the work that it is sent during [`Self::overload_for`] exceeds
    /// its reduced capacity over that time by this factor.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Length of the sliding window over which the work sent to a server in slow start is summed.
    pub overload_for: f64,
    /// Whether a server stops executing an attempt that the gateway has abandoned.
    #[serde(rename = "stops_work")]
    pub cancels_work: bool,
    /// Interval at which servers refresh the load that they report in responses and to probes; 0: responses report
    /// no load.
    #[serde(rename = "report_every")]
    pub load_report_interval: f64,
    /// Whether gateways may probe servers for their load.
    #[serde(rename = "probes")]
    pub load_probes: bool,
    /// Attempts that a gateway may make for one request, the first included.
    #[serde(rename = "max_tries")]
    pub max_attempts: u32,
    /// Time during which a gateway may still send attempts to a server after the notification that the server drains
    /// or is removed.
    pub drain_grace: f64,
    /// Time that a gateway waits for a connection to a server to be established.
    pub connect_timeout: f64,
    /// Memory limit of a gateway, in MB.
    pub memory_mb: usize,
    /// Limit of a gateway's open sockets.
    pub sockets: usize,
}

/// A type of machine that servers run on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeConfig {
    /// Its name, as discovery states it.
    pub name: String,
    /// Weight of this type among all types: servers are divided among them in proportion.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// Number of cores, each of which executes one attempt at a time.
    #[serde(default = "super::defaults::cores")]
    pub cores: usize,
    /// Speed of a core relative to the one in whose time `work_ms` is stated.
    #[serde(default = "super::defaults::one")]
    pub speed: f64,
}

/// The counter that all gateways share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CounterConfig {
    /// Whether gateways use a shared counter.
    pub present: bool,
    /// Number of shards that the counter's names are spread over.
    #[serde(rename = "parts")]
    pub shards: usize,
    /// Calls per second that all shards together serve.
    #[serde(rename = "bears")]
    pub capacity: f64,
    /// Latency of a call in addition to its wait in the shard's queue and the network delay.
    pub latency_ms: f64,
    /// Timeout after which a gateway abandons a call.
    pub timeout_ms: f64,
    /// Calls that may wait in a shard; it rejects further ones as busy.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
}

/// How fast changes of the endpoint list reach the gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryConfig {
    /// Largest delay of a change of the endpoint list; the delay to each gateway is drawn between 0 and this.
    #[serde(rename = "late")]
    pub max_delay: f64,
}

/// Delays of the emulated network, and the datagrams between gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkConfig {
    /// One-way delay within a zone.
    #[serde(rename = "near_ms")]
    pub in_zone_delay_ms: f64,
    /// One-way delay between two zones.
    #[serde(rename = "far_ms")]
    pub cross_zone_delay_ms: f64,
    /// Whether gateways may send each other datagrams.
    #[serde(rename = "peers")]
    pub peer_datagrams: bool,
    /// Share of the datagrams that is lost at random.
    #[serde(rename = "lost")]
    pub datagram_loss: f64,
    /// Largest random delay of a datagram, drawn between 0 and this. The one-way delay within a zone is added to it, even
    /// for a datagram to another zone.
    #[serde(rename = "peer_late_ms")]
    pub datagram_max_delay_ms: f64,
    /// Datagrams per second that a gateway receives; the excess is dropped.
    #[serde(rename = "peer_rate")]
    pub datagram_rate: f64,
}

/// What a second execution of a request does to stored state.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It changes nothing beyond the first execution.
    Idempotent,
    /// It is suppressed by a server that knows the request's idempotency key.
    #[serde(rename = "tokened")]
    Keyed,
    /// It repeats the effect.
    NonIdempotent,
}

/// Which servers recognize a repeat of a request by its idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// Every server.
    #[default]
    All,
    /// Servers of the cell in which the request was executed.
    Cell,
    /// Servers of the zone in which the request was executed.
    Zone,
}

/// A route: a type of request with its own work, latency target and idempotency.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Its name on the wire.
    pub name: String,
    /// Weight of this route among all routes: requests are drawn in proportion.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// What a second execution of a request does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Which servers recognize repeats.
    #[serde(default, rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// Time for which they remember an idempotency key; 0: repeats are not recognized.
    #[serde(default, rename = "memory")]
    pub deduplication_window: f64,
    /// Mean work of a request, in milliseconds on a core of speed 1.
    pub work_ms: f64,
    /// Latency within which an answer counts as in time.
    pub latency_target: f64,
    /// Time that a client waits for an answer.
    pub client_timeout: f64,
    /// Value per unit of a request that is answered in time.
    #[serde(default = "super::defaults::one")]
    pub billed_value: f64,
    /// Share of that value for an answer later than the latency target.
    #[serde(default, rename = "late_worth")]
    pub late_value_ratio: f64,
}

/// A plan, which sets the quota of each of its customers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanConfig {
    /// Its name on the wire.
    pub name: String,
    /// Weight of this plan among all plans: [`LoadConfig::request_rate`] is divided among them in proportion.
    #[serde(default = "super::defaults::one")]
    pub share: f64,
    /// Refill rate of a customer's quota, in units per second; 0: no quota.
    #[serde(default)]
    pub rate: f64,
    /// Burst of the quota, in units.
    #[serde(default)]
    pub burst: f64,
    /// Attempts of a customer that may be in flight at a time; 0: unlimited.
    #[serde(default, rename = "cap")]
    pub concurrency_limit: f64,
    /// Factor by which the billed value of a route is multiplied.
    #[serde(default = "super::defaults::one")]
    pub price: f64,
    /// Cost of units forwarded beyond the quota, as a multiple of their value.
    #[serde(default = "super::defaults::one", rename = "over_cost")]
    pub over_quota_cost: f64,
    /// Rate that a customer must never exceed, in units per second; 0: no such ceiling.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Burst of the ceiling, in units.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Share by which the ceiling's rate and burst may be exceeded. The burst may be exceeded by one request of the
    /// largest size in any case.
    #[serde(default)]
    pub ceiling_slack: f64,
}

/// The load: what clients request, and how they behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadConfig {
    /// Requests per second over all gateways, without the excess of greedy accounts. The number of accounts follows
    /// from it and from the plans' rates.
    #[serde(rename = "calls")]
    pub request_rate: f64,
    /// Share of its quota that a typical account requests.
    #[serde(rename = "use_usual")]
    pub typical_utilization: f64,
    /// Share of the accounts that request more than their quota.
    pub greedy_share: f64,
    /// Multiple of its quota that such an account requests.
    pub greedy_factor: f64,
    /// Number of gateways that the requests of an account are spread over, unevenly.
    #[serde(rename = "spread")]
    pub gateways_per_account: usize,
    /// Interval at which another gateway begins to get most of an account's requests; 0: never.
    #[serde(rename = "shift_every")]
    pub shift_interval: f64,
    /// Largest number of units of a request; each one's is drawn from 1 to this.
    #[serde(rename = "units_top")]
    pub max_units: u32,
    /// Whether the units that a request consumes differ from those that it states, and servers report them.
    #[serde(rename = "settles")]
    pub settles_units: bool,
    /// Retries that a client makes after its first request.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Mean wait before a retry, unless the answer states one and the client complies; each wait is drawn between
    /// half and one and a half times this.
    #[serde(rename = "retry_wait")]
    pub retry_delay: f64,
    /// Share of the accounts whose clients wait for as long as a rejection asks them to.
    #[serde(rename = "heeds")]
    pub retry_after_compliance: f64,
    /// Smallest share of the client timeout after which a client gives up; each request's share is drawn between this
    /// and 1.
    pub patience: f64,
    /// Time for which requests are still routed to a gateway whose process has ended.
    #[serde(rename = "front_notices")]
    pub front_detection_delay: f64,
    /// File name of a recording whose requests replace those of the drawn accounts.
    pub replay: Option<String>,
    /// Factor by which the recording's load is multiplied.
    #[serde(rename = "scale")]
    pub replay_scale: f64,
}
