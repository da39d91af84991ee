//! Runs one gateway: sets up its components and runs the event loop until a shutdown is complete.

use crate::budget::{self, Budget};
use crate::clients::Clients;
use crate::component::Component;
use crate::config::{ConfigError, Limits, NodeConfig};
use crate::counter::Counter;
use crate::discovery::DiscoveryFollower;
use crate::event_loop;
use crate::gateway::{Gateway, SocketPort};
use crate::peers::Peers;
use crate::reactor::Reactor;
use crate::startup::{self, StartupError};
use mio::{Interest, Poll, Registry};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slog::Logger;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use thiserror::Error;
use wellcrank::control::AdmissionController;
use wellcrank::settings::Settings;

/// Makes the seed of the discovery follower differ from that of the admission controller.
const DISCOVERY_SEED_MASK: u64 = 0x5eed_d15c;

/// Why a gateway could not start or continue.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A resource of the operating system could not be set up.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// Polling for events failed.
    #[error("cannot poll for socket events")]
    Poll(#[source] io::Error),
}

/// Runs a gateway until it was told to stop and every client is answered.
pub(crate) fn run(config: NodeConfig, settings: Settings, log: &Logger) -> Result<(), NodeError> {
    let mut poll = startup::acquire(log, "the event poll", Poll::new)?;
    let registry = startup::acquire(log, "the registry of the event poll", || {
        poll.registry().try_clone()
    })?;
    let signals = register_signals(&registry, log)?;
    let budget = derive_budget(&config.limits, log);
    let max_customers = budget.customers;
    let settings = Rc::new(settings);
    let mut reactor = Reactor::new(registry, settings.clone(), budget, log.clone());
    let clients = startup::acquire(log, &format!("the listener on {}", config.listen), || {
        Clients::listen(&mut reactor, config.listen)
    })?;
    let peers = open_peers(&mut reactor, &config, log)?;
    let counter = Counter::new(&mut reactor, config.counter);
    let seed = config.parse_seed()?;
    let discovery = DiscoveryFollower::new(
        config.discovery,
        known_revision(&config),
        seed ^ DISCOVERY_SEED_MASK,
        &reactor,
    );
    let now = reactor.now;
    let gateway = Gateway::new(
        reactor,
        clients,
        counter,
        discovery,
        peers,
        signals,
        config.restart_only(),
    );
    let gateway = Rc::new(RefCell::new(gateway));
    let port = Box::new(SocketPort::new(gateway.clone()));
    let mut controller = AdmissionController::new(settings, seed, now, port);
    controller.set_max_customers(max_customers);
    gateway.borrow_mut().begin_serving(config);
    event_loop::run(&mut poll, &gateway, &mut controller).map_err(NodeError::Poll)?;
    slog::info!(log, "stopped: no client connections or open requests left");
    Ok(())
}

/// Registers SIGTERM and SIGHUP with the poll.
fn register_signals(registry: &Registry, log: &Logger) -> Result<Signals, StartupError> {
    startup::acquire(log, "the signal handlers", || {
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        let token = Component::Signals.token(0);
        registry.register(&mut signals, token, Interest::READABLE)?;
        Ok(signals)
    })
}

/// Returns the budget for the configured limits, or for fewer file descriptors if the system allows only those.
fn derive_budget(limits: &Limits, log: &Logger) -> Budget {
    let sockets = budget::available_descriptors(limits.sockets);
    if sockets < limits.sockets {
        slog::warn!(log, "the system allows fewer file descriptors than the configured limit of {}", limits.sockets;
            "given" => sockets);
    }
    Budget::new(sockets, limits.memory_mb)
}

/// Opens the datagram socket if the configuration has an address for it and the settings allow messages between gateways.
fn open_peers(
    reactor: &mut Reactor,
    config: &NodeConfig,
    log: &Logger,
) -> Result<Peers, StartupError> {
    let address = config
        .peer_listen
        .filter(|_| reactor.settings.limits.peer_messages);
    let Some(address) = address else {
        return Ok(Peers::default());
    };
    startup::acquire(log, &format!("the peer socket on {address}"), || {
        Peers::open(
            reactor,
            address,
            config.peers.clone(),
            config.peer_broadcast,
        )
    })
}

/// Returns the revision of the endpoint list in the configuration, or `None` if the list is missing or empty.
fn known_revision(config: &NodeConfig) -> Option<u64> {
    let known = config.known_endpoints.as_ref()?;
    (!known.is_empty()).then_some(known.revision)
}
