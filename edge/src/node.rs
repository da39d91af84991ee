//! One gateway from its start to its end: sets up the components, and runs the event loop until a shutdown is complete.

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

/// Parts the random numbers of the discovery follower from those of the admission controller.
const DISCOVERY_SEED_MASK: u64 = 0x5eed_d15c;

/// Why a gateway could not start or go on.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// Its configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// It could not get what it needs of the system.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The poll has failed.
    #[error("the poll failed")]
    Poll(#[source] io::Error),
}

/// Runs a gateway until it was told to stop and nobody is left to answer.
pub(crate) fn run(config: NodeConfig, settings: Settings, log: &Logger) -> Result<(), NodeError> {
    let mut poll = startup::acquire(log, "the poll", Poll::new)?;
    let registry = startup::acquire(log, "the poll's registry", || poll.registry().try_clone())?;
    let signals = register_signals(&registry, log)?;
    let budget = derive_budget(&config.limits, log);
    let settings = Rc::new(settings);
    let mut reactor = Reactor::new(registry, settings.clone(), budget, log.clone());
    let clients = startup::acquire(log, "the listener", || {
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
    gateway.borrow_mut().begin_serving(config);
    event_loop::run(&mut poll, &gateway, &mut controller).map_err(NodeError::Poll)?;
    slog::info!(log, "stopped: nobody left to answer");
    Ok(())
}

/// Has the poll tell of SIGTERM and SIGHUP.
fn register_signals(registry: &Registry, log: &Logger) -> Result<Signals, StartupError> {
    startup::acquire(log, "signals", || {
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        let token = Component::Signals.token(0);
        registry.register(&mut signals, token, Interest::READABLE)?;
        Ok(signals)
    })
}

/// The budget by the configured limits, as far as the system gives as many descriptors.
fn derive_budget(limits: &Limits, log: &Logger) -> Budget {
    let sockets = budget::available_descriptors(limits.sockets);
    if sockets < limits.sockets {
        slog::warn!(log, "the system gives fewer descriptors than the limits say"; "given" => sockets);
    }
    Budget::new(sockets, limits.memory_mb)
}

/// Opens the datagram socket, where the configuration has one and the settings allow messages between gateways.
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
    startup::acquire(log, "the peers' socket", || {
        Peers::open(
            reactor,
            address,
            config.peers.clone(),
            config.peer_broadcast,
        )
    })
}

/// The revision of the endpoint list in the configuration, if that names any endpoint.
fn known_revision(config: &NodeConfig) -> Option<u64> {
    let known = config.known_endpoints.as_ref()?;
    (!known.is_empty()).then_some(known.revision)
}
