//! Experiments: what is played, as a TOML file. Every table refuses names that it does not know, every figure
//! is checked against its range, and a complaint names the line, the field and what was expected.
//! Spans are in seconds unless a name ends in `_ms`; shares are from 0 to 1.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use toml::Value;

/// Which engine plays: the decisions themselves in simulated time, or the programs on loopback sockets.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Engine {
    #[default]
    Simulated,
    Loopback,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub title: String,
    #[serde(default)]
    pub about: String,
    /// Length of the day.
    pub seconds: f64,
    /// From the start, so long nothing is counted but the rules.
    #[serde(default)]
    pub warm_up: f64,
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    #[serde(default)]
    pub engine: Engine,
    #[serde(default)]
    pub fleet: FleetTerms,
    #[serde(default)]
    pub counter: CounterTerms,
    #[serde(default)]
    pub discovery: DiscoveryTerms,
    #[serde(default)]
    pub network: NetworkTerms,
    #[serde(default = "usual_routes")]
    pub routes: Vec<RouteTerms>,
    #[serde(default = "usual_plans")]
    pub plans: Vec<PlanTerms>,
    #[serde(default)]
    pub load: LoadTerms,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// What is compared; the first one is what the others are measured against.
    #[serde(default)]
    pub variants: Vec<Variant>,
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetTerms {
    pub gateways: usize,
    pub servers: usize,
    pub zones: usize,
    /// Servers of one cell drop each other's repeats where a route says so.
    pub cells: u64,
    pub kinds: Vec<KindTerms>,
    /// API calls that may wait at a server, and connections that it holds.
    pub queue: usize,
    pub connections: usize,
    /// Work of a new connection for the server, and what it delays the first API call on it.
    pub handshake_ms: f64,
    /// A connection that stood idle for so long is closed.
    pub idle_close: f64,
    /// Share of its power that a fresh server has, and how long it takes to all of it.
    pub cold_from: f64,
    pub cold: f64,
    /// Sent this many times what a cold server can do, for so long, it falls over.
    pub fall_multiple: f64,
    pub overload_for: f64,
    /// Work goes on after the gateway has given a try up, or stops.
    pub stops_work: bool,
    /// Servers tell their load, refreshed so often, in answers and to probes; 0: they do not.
    pub report_every: f64,
    pub probes: bool,
    pub max_tries: u32,
    /// After being told that a server drains or is gone, a gateway may send to it for so long.
    pub drain_grace: f64,
    pub connect_timeout: f64,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for FleetTerms {
    fn default() -> Self {
        FleetTerms {
            gateways: 4,
            servers: 10,
            zones: 1,
            cells: 1,
            kinds: vec![KindTerms {
                name: "large".into(),
                share: 1.0,
                cores: 2,
                speed: 1.0,
            }],
            queue: 40,
            connections: 256,
            handshake_ms: 1.0,
            idle_close: 20.0,
            cold_from: 0.2,
            cold: 10.0,
            fall_multiple: 4.0,
            overload_for: 1.0,
            stops_work: true,
            report_every: 0.0,
            probes: false,
            max_tries: 3,
            drain_grace: 0.5,
            connect_timeout: 0.25,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindTerms {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default = "two")]
    pub cores: usize,
    #[serde(default = "one")]
    pub speed: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CounterTerms {
    pub present: bool,
    pub parts: usize,
    /// Calls a second that all parts bear together.
    pub bears: f64,
    /// Time of a call beside the way there and back, and after how long a gateway gives it up.
    pub latency_ms: f64,
    pub timeout_ms: f64,
    /// From so many calls waiting in a part on, it turns calls away.
    pub queue: usize,
}

impl Default for CounterTerms {
    fn default() -> Self {
        CounterTerms {
            present: true,
            parts: 1,
            bears: 5000.0,
            latency_ms: 1.0,
            timeout_ms: 80.0,
            queue: 2000,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryTerms {
    /// A change of the list reaches a gateway after between none and so long.
    pub late: f64,
}

impl Default for DiscoveryTerms {
    fn default() -> Self {
        DiscoveryTerms { late: 0.5 }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkTerms {
    /// One way, within a zone and between two.
    pub near_ms: f64,
    pub far_ms: f64,
    /// Datagrams between gateways: allowed, lost in any case, late by up to so much, taken in a second.
    pub peers: bool,
    pub lost: f64,
    pub peer_late_ms: f64,
    pub peer_rate: f64,
}

impl Default for NetworkTerms {
    fn default() -> Self {
        NetworkTerms {
            near_ms: 0.3,
            far_ms: 1.0,
            peers: false,
            lost: 0.02,
            peer_late_ms: 5.0,
            peer_rate: 60.0,
        }
    }
}

/// What may happen when an API call of a route runs again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// Which servers drop the repeats of a tokened API call.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Cell,
    Zone,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTerms {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    pub repeat: Repeat,
    #[serde(default)]
    pub group: Group,
    /// How long repeats are known, where they are.
    #[serde(default)]
    pub memory: f64,
    pub work_ms: f64,
    pub latency_target: f64,
    pub client_timeout: f64,
    #[serde(default = "one")]
    pub billed_value: f64,
    /// Share of the billed value that an answer past the target is worth.
    #[serde(default)]
    pub late_worth: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanTerms {
    pub name: String,
    /// Share of the load inside the quotas.
    #[serde(default = "one")]
    pub share: f64,
    /// Units a second and at once, and upstream tries out at once; 0: none is stated.
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub burst: f64,
    #[serde(default)]
    pub cap: f64,
    #[serde(default = "one")]
    pub price: f64,
    /// What is sent beyond the quota costs this share of its billed value.
    #[serde(default = "one")]
    pub over_cost: f64,
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Share by which the ceiling may be passed; one of the largest API calls may be in any case.
    #[serde(default)]
    pub ceiling_slack: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadTerms {
    /// API calls a second inside the quotas, over all gateways; accounts follow from the plans' rates.
    pub calls: f64,
    /// Share of its quota that the usual account uses, of those that use nearly all, and of those beyond.
    pub use_usual: f64,
    pub greedy_share: f64,
    pub greedy_factor: f64,
    /// An account comes through this many gateways, unevenly; the busiest ones change so often.
    pub spread: usize,
    pub shift_every: f64,
    /// Units of an API call, from 1.
    pub units_top: u32,
    /// The true units differ from those asked.
    pub settles: bool,
    /// How often a client tries again, how long it waits, whether it heeds the advice it is given.
    pub retries: u32,
    pub retry_wait: f64,
    pub heeds: f64,
    /// Part of the client timeout after which a client gives a try up.
    pub patience: f64,
    /// A dead gateway is noticed by the front after so long.
    pub front_notices: f64,
    /// A recorded file that is played in place of the accounts, and how many times its load.
    pub replay: Option<String>,
    pub scale: f64,
}

impl Default for LoadTerms {
    fn default() -> Self {
        LoadTerms {
            calls: 60.0,
            use_usual: 0.5,
            greedy_share: 0.1,
            greedy_factor: 3.0,
            spread: 3,
            shift_every: 15.0,
            units_top: 4,
            settles: true,
            retries: 2,
            retry_wait: 0.5,
            heeds: 1.0,
            patience: 1.0,
            front_notices: 1.0,
            replay: None,
            scale: 1.0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    CounterSilent,
    CounterBusy,
    CounterReset,
    CounterSlow,
    CounterEmpty,
    CounterSplit,
    CounterSwap,
    ServersSlow,
    ServersSilent,
    ServersCrash,
    ServersReplace,
    ServersFailing,
    RouteUnanswered,
    AnswersSpoilt,
    ListLate,
    ListSilent,
    ListWrong,
    Surge,
    DeadlineSurge,
    PlanBurst,
    Shift,
    Scan,
    Impatient,
    Heedless,
    BadClients,
    GatewaysKill,
    GatewaysRestart,
    GatewaysMove,
    ZoneCut,
    ZoneLost,
    PeersLost,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at: f64,
    /// How long it lasts, or over how long its steps are spread.
    #[serde(default, rename = "for")]
    pub lasts: f64,
    /// Part of the servers, gateways, accounts or answers that it takes.
    #[serde(default = "one")]
    pub share: f64,
    /// How much slower, busier, later.
    #[serde(default = "two_times")]
    pub factor: f64,
    /// The route, plan or zone it is about, where it is about one.
    #[serde(default)]
    pub route: Option<String>,
    #[serde(default)]
    pub plan: Option<String>,
    #[serde(default)]
    pub zone: usize,
    /// The counter comes back without its counts.
    #[serde(default)]
    pub empty: bool,
}

/// One side of a comparison.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Other values in the experiment: laid over it, table by table.
    pub change: toml::Table,
    /// What the program is told in place of the truth, in the words of its configuration.
    pub told: toml::Table,
    /// Another build's programs: the edge node on loopback, the adapter to the simulator in simulated time (`drill` in older
    /// files).
    pub edge: Option<String>,
    #[serde(alias = "drill")]
    pub simulator: Option<String>,
}

fn one() -> f64 {
    1.0
}
fn two() -> usize {
    2
}
fn two_times() -> f64 {
    2.0
}

/// Ranges of the project's own; no deployment's figures.
fn usual_routes() -> Vec<RouteTerms> {
    let route =
        |name: &str, share, repeat, work_ms, latency_target, client_timeout, billed_value| {
            RouteTerms {
                name: name.into(),
                share,
                repeat,
                group: Group::All,
                memory: if repeat == Repeat::Tokened { 8.0 } else { 0.0 },
                work_ms,
                latency_target,
                client_timeout,
                billed_value,
                late_worth: 0.0,
            }
        };
    vec![
        route("preview", 0.4, Repeat::Idempotent, 100.0, 1.0, 3.0, 1.0),
        route("submit-track", 0.35, Repeat::Tokened, 120.0, 1.5, 4.0, 4.0),
        route(
            "issue-ref",
            0.25,
            Repeat::NonIdempotent,
            50.0,
            0.6,
            2.0,
            2.0,
        ),
    ]
}

fn usual_plans() -> Vec<PlanTerms> {
    let plan = |name: &str, share, rate, burst, cap, ceiling: f64| PlanTerms {
        name: name.into(),
        share,
        rate,
        burst,
        cap,
        price: 1.0,
        over_cost: 1.0,
        ceiling_rate: rate * ceiling,
        ceiling_burst: burst * ceiling,
        ceiling_slack: 0.1,
    };
    vec![
        plan("desk", 0.4, 4.0, 16.0, 0.0, 0.0),
        plan("house", 0.4, 20.0, 50.0, 12.0, 0.0),
        plan("premiere", 0.2, 12.0, 30.0, 0.0, 2.0),
    ]
}

/// What is wrong with a file, and where.
#[derive(Debug)]
pub struct Complaint {
    pub file: String,
    pub wrongs: Vec<(usize, usize, String)>,
}

impl fmt::Display for Complaint {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (place, (line, column, what)) in self.wrongs.iter().enumerate() {
            let end = if place + 1 < self.wrongs.len() {
                "\n"
            } else {
                ""
            };
            match line {
                0 => write!(out, "{}: {what}{end}", self.file)?,
                _ => write!(out, "{}:{line}:{column}: {what}{end}", self.file)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Complaint {}

/// Where a field stands in the text, by its path from the root; the nearest table above it where it is not
/// written out.
fn span(text: &str, path: &str) -> Option<Range<usize>> {
    let (root, _) = toml::de::DeTable::parse_recoverable(text);
    let mut found = None;
    let mut at: Option<&toml::Spanned<toml::de::DeValue>> = None;
    for part in path.split('.') {
        let next = match (at.map(|it| it.get_ref()), part.parse::<usize>()) {
            (None, _) => root.get_ref().get(part),
            (Some(toml::de::DeValue::Table(table)), _) => table.get(part),
            (Some(toml::de::DeValue::Array(items)), Ok(place)) => items.get(place),
            _ => None,
        };
        let Some(next) = next else { break };
        (found, at) = (Some(next.span()), Some(next));
    }
    found
}

fn place(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    (
        line,
        before.len() - before.rfind('\n').map_or(0, |end| end + 1) + 1,
    )
}

impl Experiment {
    /// Reads and checks a file's text.
    pub fn read(file: &str, text: &str) -> Result<Experiment, Complaint> {
        let complain = |wrongs| Complaint {
            file: file.to_string(),
            wrongs,
        };
        let experiment: Experiment = toml::from_str(text).map_err(|error| {
            let (line, column) = error.span().map_or((0, 0), |span| place(text, span.start));
            complain(vec![(line, column, error.message().to_string())])
        })?;
        let mut wrongs = experiment.wrongs();
        for variant in experiment.sides() {
            if let Err(found) = experiment.with(&variant) {
                let known: Vec<String> = wrongs.iter().map(|(path, _)| path.clone()).collect();
                let fresh = found.into_iter().filter(|(path, _)| !known.contains(path));
                wrongs.extend(fresh.map(|(path, what)| {
                    (
                        "variants".to_string(),
                        format!("variant '{}': {path}: {what}", variant.name),
                    )
                }));
            }
        }
        if wrongs.is_empty() {
            return Ok(experiment);
        }
        let located = wrongs.into_iter().map(|(path, what)| {
            let (line, column) = span(text, &path).map_or((0, 0), |span| place(text, span.start));
            (
                line,
                column,
                if path == "variants" {
                    what
                } else {
                    format!("{path}: {what}")
                },
            )
        });
        Err(complain(located.collect()))
    }

    pub fn load(path: &str) -> Result<Experiment, Complaint> {
        let text = std::fs::read_to_string(path).map_err(|error| Complaint {
            file: path.to_string(),
            wrongs: vec![(0, 0, format!("cannot be read: {error}"))],
        })?;
        Experiment::read(path, &text)
    }

    /// The variants, or the experiment as it is where it names none.
    pub fn sides(&self) -> Vec<Variant> {
        match self.variants.is_empty() {
            true => vec![Variant {
                name: "as it is".into(),
                ..Variant::default()
            }],
            false => self.variants.clone(),
        }
    }

    /// The experiment with a variant's changes laid over it.
    pub fn with(&self, variant: &Variant) -> Result<Experiment, Vec<(String, String)>> {
        if variant.change.is_empty() {
            return Ok(self.clone());
        }
        let wrong = |what: String| vec![("change".to_string(), what)];
        let mut whole = Value::try_from(self).map_err(|error| wrong(error.to_string()))?;
        lay_over(&mut whole, &Value::Table(variant.change.clone())).map_err(wrong)?;
        let changed: Experiment = whole
            .try_into()
            .map_err(|error: toml::de::Error| wrong(error.message().to_string()))?;
        match changed.wrongs() {
            wrongs if wrongs.is_empty() => Ok(changed),
            wrongs => Err(wrongs),
        }
    }

    /// Everything that is out of its range or does not fit the rest: path and what was expected.
    pub fn wrongs(&self) -> Vec<(String, String)> {
        let mut wrongs = Vec::new();
        let mut within = |path: String, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                wrongs.push((path, format!("expected {least} to {most}, found {value}")));
            }
        };
        let share = |value: f64| (value, 0.0, 1.0);
        let (fleet, load, counter, net) = (&self.fleet, &self.load, &self.counter, &self.network);
        for (path, (value, least, most)) in [
            ("seconds", (self.seconds, 1.0, 86_400.0)),
            (
                "warm_up",
                (self.warm_up, 0.0, (self.seconds - 1.0).max(0.0)),
            ),
            ("seeds", (self.seeds.len() as f64, 1.0, 1000.0)),
            ("fleet.gateways", (fleet.gateways as f64, 1.0, 2000.0)),
            ("fleet.servers", (fleet.servers as f64, 1.0, 5000.0)),
            ("fleet.zones", (fleet.zones as f64, 1.0, 50.0)),
            ("fleet.cells", (fleet.cells as f64, 1.0, 1000.0)),
            ("fleet.kinds", (fleet.kinds.len() as f64, 1.0, 50.0)),
            ("fleet.queue", (fleet.queue as f64, 0.0, 1e6)),
            ("fleet.connections", (fleet.connections as f64, 1.0, 1e6)),
            ("fleet.handshake_ms", (fleet.handshake_ms, 0.0, 1000.0)),
            ("fleet.idle_close", (fleet.idle_close, 0.0, 3600.0)),
            ("fleet.cold_from", (fleet.cold_from, 0.01, 1.0)),
            ("fleet.cold", (fleet.cold, 0.0, 600.0)),
            ("fleet.fall_multiple", (fleet.fall_multiple, 1.0, 1e6)),
            ("fleet.overload_for", (fleet.overload_for, 0.05, 60.0)),
            ("fleet.report_every", (fleet.report_every, 0.0, 60.0)),
            ("fleet.max_tries", (f64::from(fleet.max_tries), 1.0, 20.0)),
            ("fleet.drain_grace", (fleet.drain_grace, 0.05, 60.0)),
            ("fleet.connect_timeout", (fleet.connect_timeout, 0.01, 10.0)),
            ("fleet.memory_mb", (fleet.memory_mb as f64, 4.0, 65_536.0)),
            ("fleet.sockets", (fleet.sockets as f64, 40.0, 65_536.0)),
            ("counter.parts", (counter.parts as f64, 1.0, 64.0)),
            ("counter.bears", (counter.bears, 1.0, 1e7)),
            ("counter.latency_ms", (counter.latency_ms, 0.0, 1000.0)),
            ("counter.timeout_ms", (counter.timeout_ms, 1.0, 60_000.0)),
            ("counter.queue", (counter.queue as f64, 1.0, 1e7)),
            ("discovery.late", (self.discovery.late, 0.0, 60.0)),
            ("network.near_ms", (net.near_ms, 0.0, 1000.0)),
            ("network.far_ms", (net.far_ms, 0.0, 1000.0)),
            ("network.lost", share(net.lost)),
            ("network.peer_late_ms", (net.peer_late_ms, 0.0, 10_000.0)),
            ("network.peer_rate", (net.peer_rate, 0.0, 1e6)),
            ("routes", (self.routes.len() as f64, 1.0, 100.0)),
            ("plans", (self.plans.len() as f64, 1.0, 100.0)),
            ("load.calls", (load.calls, 0.0, 1e6)),
            ("load.use_usual", (load.use_usual, 0.01, 1.0)),
            ("load.greedy_share", share(load.greedy_share)),
            ("load.greedy_factor", (load.greedy_factor, 1.0, 100.0)),
            (
                "load.spread",
                (load.spread as f64, 1.0, fleet.gateways as f64),
            ),
            ("load.shift_every", (load.shift_every, 0.0, 86_400.0)),
            ("load.units_top", (f64::from(load.units_top), 1.0, 1000.0)),
            ("load.retries", (f64::from(load.retries), 0.0, 100.0)),
            ("load.retry_wait", (load.retry_wait, 0.0, 600.0)),
            ("load.heeds", share(load.heeds)),
            ("load.patience", (load.patience, 0.05, 1.0)),
            ("load.front_notices", (load.front_notices, 0.0, 60.0)),
            ("load.scale", (load.scale, 0.01, 1000.0)),
        ] {
            within(path.to_string(), value, least, most);
        }
        for (place, kind) in fleet.kinds.iter().enumerate() {
            within(format!("fleet.kinds.{place}.share"), kind.share, 0.0, 1e6);
            within(
                format!("fleet.kinds.{place}.cores"),
                kind.cores as f64,
                1.0,
                1024.0,
            );
            within(
                format!("fleet.kinds.{place}.speed"),
                kind.speed,
                0.01,
                100.0,
            );
        }
        for (place, route) in self.routes.iter().enumerate() {
            let path = |field: &str| format!("routes.{place}.{field}");
            within(path("share"), route.share, 0.0, 1e6);
            within(path("work_ms"), route.work_ms, 0.0, 600_000.0);
            within(path("client_timeout"), route.client_timeout, 0.01, 600.0);
            within(
                path("latency_target"),
                route.latency_target,
                0.001,
                route.client_timeout,
            );
            within(path("billed_value"), route.billed_value, 0.0, 1e6);
            within(path("late_worth"), route.late_worth, 0.0, 1.0);
            let least = if route.repeat == Repeat::Tokened {
                0.01
            } else {
                0.0
            };
            within(path("memory"), route.memory, least, 3600.0);
        }
        for (place, plan) in self.plans.iter().enumerate() {
            let path = |field: &str| format!("plans.{place}.{field}");
            within(path("share"), plan.share, 0.0, 1e6);
            within(path("rate"), plan.rate, 0.0, 1e9);
            let least = if plan.rate > 0.0 {
                f64::from(load.units_top)
            } else {
                0.0
            };
            within(path("burst"), plan.burst, least, 1e9);
            within(path("cap"), plan.cap, 0.0, 1e6);
            within(path("price"), plan.price, 0.0, 1e6);
            within(path("over_cost"), plan.over_cost, 0.0, 100.0);
            let least = if plan.ceiling_rate > 0.0 {
                plan.rate
            } else {
                0.0
            };
            within(path("ceiling_rate"), plan.ceiling_rate, least, 1e9);
            let least = if plan.ceiling_rate > 0.0 {
                f64::from(load.units_top)
            } else {
                0.0
            };
            within(path("ceiling_burst"), plan.ceiling_burst, least, 1e9);
            within(path("ceiling_slack"), plan.ceiling_slack, 0.0, 1.0);
        }
        for (place, trouble) in self.troubles.iter().enumerate() {
            let path = |field: &str| format!("troubles.{place}.{field}");
            within(path("at"), trouble.at, 0.0, self.seconds);
            within(path("for"), trouble.lasts, 0.0, self.seconds);
            within(path("share"), trouble.share, 0.0, 1.0);
            within(path("factor"), trouble.factor, 0.0, 1000.0);
            within(
                path("zone"),
                trouble.zone as f64,
                0.0,
                fleet.zones as f64 - 1.0,
            );
        }
        let mut names = |list: &str, found: Vec<&str>| {
            for (place, name) in found.iter().enumerate() {
                // Variants are for readers only; the others go over the wire.
                let apart = if list == "variants" { "-_ " } else { "-_" };
                let plain = |it: char| it.is_ascii_alphanumeric() || apart.contains(it);
                if name.is_empty() || name.len() > 40 || !name.chars().all(plain) {
                    let what = format!("expected 1 to 40 letters, digits or any of '{apart}'");
                    wrongs.push((format!("{list}.{place}.name"), what));
                }
                if found[..place].contains(name) {
                    wrongs.push((
                        format!("{list}.{place}.name"),
                        format!("'{name}' stands there twice"),
                    ));
                }
            }
        };
        names(
            "routes",
            self.routes.iter().map(|it| it.name.as_str()).collect(),
        );
        names(
            "plans",
            self.plans.iter().map(|it| it.name.as_str()).collect(),
        );
        names(
            "fleet.kinds",
            fleet.kinds.iter().map(|it| it.name.as_str()).collect(),
        );
        names(
            "variants",
            self.variants.iter().map(|it| it.name.as_str()).collect(),
        );
        for (place, trouble) in self.troubles.iter().enumerate() {
            let unknown = |wanted: &Option<String>, known: &[&str]| {
                wanted
                    .as_ref()
                    .filter(|name| !known.contains(&name.as_str()))
                    .cloned()
            };
            let routes: Vec<&str> = self.routes.iter().map(|it| it.name.as_str()).collect();
            let plans: Vec<&str> = self.plans.iter().map(|it| it.name.as_str()).collect();
            for (field, name, known) in [
                ("route", unknown(&trouble.route, &routes), &routes),
                ("plan", unknown(&trouble.plan, &plans), &plans),
            ] {
                if let Some(name) = name {
                    let what = format!(
                        "no {field} is named '{name}'; there are {}",
                        known.join(", ")
                    );
                    wrongs.push((format!("troubles.{place}.{field}"), what));
                }
            }
            if trouble.kind == TroubleKind::RouteUnanswered && trouble.route.is_none() {
                wrongs.push((
                    format!("troubles.{place}"),
                    "expected 'route', the one unanswered".into(),
                ));
            }
            if trouble.kind == TroubleKind::PlanBurst && trouble.plan.is_none() {
                wrongs.push((
                    format!("troubles.{place}"),
                    "expected 'plan', the one that bursts".into(),
                ));
            }
        }
        wrongs
    }

    /// The longest that a client waits, in seconds.
    pub fn longest_wait(&self) -> f64 {
        self.routes
            .iter()
            .map(|route| route.client_timeout)
            .fold(0.0, f64::max)
    }

    /// Mean work of an API call, in seconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.routes.iter().map(|route| route.share).sum();
        let work: f64 = self
            .routes
            .iter()
            .map(|route| route.share * route.work_ms / 1e3)
            .sum();
        work / shares.max(1e-9)
    }

    /// The number of a route or plan by its name.
    pub fn route(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|it| it.name == name)
    }

    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|it| it.name == name)
    }
}

/// Lays one value over another: tables field by field, lists of named tables by name, all else in place.
fn lay_over(under: &mut Value, over: &Value) -> Result<(), String> {
    match (under, over) {
        (Value::Table(under), Value::Table(over)) => {
            for (name, value) in over {
                match under.get_mut(name) {
                    Some(old) => lay_over(old, value)?,
                    None => drop(under.insert(name.clone(), value.clone())),
                }
            }
            Ok(())
        }
        // A list of named things takes a table: name to changes.
        (Value::Array(items), Value::Table(over)) => {
            for (name, value) in over {
                let named =
                    |item: &&mut Value| item.get("name").and_then(Value::as_str) == Some(name);
                let item = items
                    .iter_mut()
                    .find(named)
                    .ok_or_else(|| format!("nothing is named '{name}'"))?;
                lay_over(item, value)?;
            }
            Ok(())
        }
        (under, over) => {
            *under = over.clone();
            Ok(())
        }
    }
}
