//! One gateway on real sockets: reads what it is told at its start, sets up the sides, and runs until SIGTERM has
//! been followed. `wellcrank-edge` is this and nothing else; the operators' command has it built in.

mod budget;
mod client;
mod clients;
mod clock;
mod component;
mod counter;
mod deadlines;
mod discovery;
mod event_loop;
mod gateway;
mod invariants;
mod lingering;
mod metrics;
mod notification;
mod peers;
mod pool;
mod reactor;
mod readiness;
mod requests;
mod resp;
mod shutdown;
mod startup;
mod stream;

use mio::{Interest, Poll};
use serde::Deserialize;
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slog::{Drain, Logger};
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use wellcrank::control::AdmissionController;
use wellcrank::settings::{DiscoveryMode, Settings};

/// What a gateway is told when it starts, and on SIGHUP again; from then on where others are counts.
#[derive(Deserialize)]
pub struct Told {
    name: String,
    listen: SocketAddr,
    pub discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    known: Option<discovery::ListUpdate>,
    settings: Value,
}

/// What the process may hold; nothing: it was not told.
#[derive(Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// What counts at the start only.
#[derive(Clone, PartialEq)]
pub struct StartupOnly {
    listen: SocketAddr,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
}

impl Told {
    pub fn startup_only(&self) -> StartupOnly {
        StartupOnly {
            listen: self.listen,
            limits: self.limits.clone(),
            peer_listen: self.peer_listen,
            peers: self.peers.clone(),
            peers_all: self.peers_all,
        }
    }
}

impl StartupOnly {
    /// The names of what the other has otherwise.
    pub fn differing(&self, other: &StartupOnly) -> Vec<&'static str> {
        let fields = [
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("peers", self.peers != other.peers),
            ("peers_all", self.peers_all != other.peers_all),
        ];
        fields
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }
}

/// The file that `BALANCER_CONFIG` names, and its settings, checked. What is wrong is told with the file and the place.
pub fn told() -> Result<(Told, Settings), Box<dyn Error>> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG names no file")?;
    let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
    let told: Told = serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))?;
    let settings =
        wellcrank_settings::decode(&told.settings).map_err(|error| format!("{path}: {error}"))?;
    Ok((told, settings))
}

/// Log lines go to standard error, each as soon as it is made.
fn logger(name: &str) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build();
    // A log that nobody takes any more is no reason to stop serving.
    Logger::root(
        Mutex::new(drain).ignore_res(),
        slog::o!("node" => name.to_string()),
    )
}

fn serve(told: Told, settings: Settings, log: &Logger) -> Result<(), Box<dyn Error>> {
    let (settings, startup_only) = (Rc::new(settings), told.startup_only());
    let mut poll = startup::made(log, "the poll", Poll::new)?;
    let registry = startup::made(log, "the poll's registry", || poll.registry().try_clone())?;
    let signals = startup::made(log, "signals", || {
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        registry.register(
            &mut signals,
            component::Component::Signals.token(0),
            Interest::READABLE,
        )?;
        Ok(signals)
    })?;
    let sockets = budget::descriptors(told.limits.sockets);
    if sockets < told.limits.sockets {
        slog::warn!(log, "the system gives fewer descriptors than the limits say"; "given" => sockets);
    }
    let budget = budget::Budget::new(sockets, told.limits.memory_mb);
    let mut reactor = reactor::Reactor::new(registry, settings.clone(), budget, log.clone());
    let clients = startup::made(log, "the listener", || {
        clients::Clients::listen(&mut reactor, told.listen)
    })?;
    let peers = match told.peer_listen.filter(|_| settings.limits.peer_messages) {
        Some(at) => startup::made(log, "the peers' socket", || {
            peers::Peers::listen(&mut reactor, at, told.peers.clone(), told.peers_all)
        })?,
        None => peers::Peers::default(),
    };
    let counter = counter::Counter::new(&mut reactor, told.counter);
    let seed = u64::from_str_radix(&told.seed, 16)
        .map_err(|error| format!("seed {:?}: {error}", told.seed))?;
    let known = told
        .known
        .as_ref()
        .filter(|known| !known.is_empty())
        .map(discovery::ListUpdate::rev);
    let now = reactor.now;
    let discovery = discovery::Discovery::new(told.discovery, known, seed ^ 0x5eed_d15c, &reactor);
    let gateway = Rc::new(RefCell::new(gateway::Gateway {
        reactor,
        calls: requests::OpenRequests::default(),
        clients,
        pool: pool::Pool::default(),
        counter,
        discovery,
        peers,
        signals,
        started: now,
        list_heard: None,
        startup_only,
        seconds: 0,
        next_second: now,
    }));
    let port = event_loop::SocketPort(gateway.clone());
    let mut control = AdmissionController::new(settings.clone(), seed, now, Box::new(port));
    {
        let gateway = &mut *gateway.borrow_mut();
        if let Some(known) = told.known.filter(|known| !known.is_empty()) {
            gateway.listed(known, None);
        }
        if settings.discovery != DiscoveryMode::Subscribe {
            gateway.discovery.follow(&mut gateway.reactor, true);
        }
        slog::info!(log, "serving"; "listen" => %told.listen, "budget" => ?gateway.reactor.budget);
    }
    event_loop::run(&mut poll, &gateway, &mut control)?;
    slog::info!(log, "stopped: nobody left to answer");
    Ok(())
}

/// Runs the gateway that `BALANCER_CONFIG` names; exits with 1 where it cannot start or go on.
pub fn main() {
    let done = told().and_then(|(told, settings)| {
        let log = logger(&told.name);
        serve(told, settings, &log)
    });
    if let Err(complaint) = done {
        eprintln!("wellcrank-edge: {complaint}");
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
