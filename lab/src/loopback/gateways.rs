//! The gateways on loopback: their processes, their configuration files, and the addresses in these files.

use super::event_sources::{BoundSocket, EventSource, ListenerPurpose};
use super::gateway_process::GatewayProcess;
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::events::ServerId;
use crate::node_settings;
use nanorand::Rng;
use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a starting gateway is probed for readiness.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// How long a gateway must have been ready before it is sent SIGHUP. The real platform does not send it earlier either.
const MIN_READY_BEFORE_SIGHUP: Duration = Duration::from_secs(1);

/// How long the old addresses of discovery and the counter stay open after a move.
const OLD_ADDRESS_LIFETIME: Duration = Duration::from_millis(1500);

/// A gateway, and the addresses that it communicates with.
pub(super) struct GatewayNode {
    pub(super) process: GatewayProcess,
    /// The address that clients of the gateway connect to.
    pub(super) client_address: SocketAddr,
    /// The address that the gateway receives datagrams from other gateways on.
    pub(super) peer_address: SocketAddr,
    counter_listener: BoundSocket,
    discovery_listener: BoundSocket,
    /// The listeners of the servers that are running.
    pub(super) server_listeners: BTreeMap<ServerId, BoundSocket>,
    /// The sockets for datagrams to each other gateway, in the order of the gateways.
    pub(super) peer_sockets: Vec<BoundSocket>,
    /// The socket for datagrams to all other gateways.
    pub(super) broadcast_socket: Option<BoundSocket>,
    /// The keys of the load balancer's connections without pending requests, the most recently used last.
    pub(super) idle_clients: Vec<usize>,
    /// The number of the load balancer's connections.
    pub(super) client_count: usize,
    /// Whether the gateway was told to stop, so that a successful exit is not a crash.
    is_stopping: bool,
    /// The time of the next readiness probe. `None` if the gateway is ready or its process has ended.
    pub(super) next_probe: Option<Duration>,
}

impl LoopbackRun {
    /// Adds a gateway. Allocates its own addresses and opens those of the counter, discovery and servers, but not its
    /// sockets for datagrams.
    pub(super) fn add_gateway(&mut self) -> Result<(), LabError> {
        let gateway = self.gateways.len();
        let client_address = self.gateway_host.allocate()?;
        let peer_address = self.gateway_host.allocate()?;
        let node = GatewayNode {
            process: GatewayProcess::default(),
            client_address,
            peer_address,
            counter_listener: self.sources.listen(gateway, ListenerPurpose::Counter)?,
            discovery_listener: self.sources.listen(gateway, ListenerPurpose::Discovery)?,
            server_listeners: BTreeMap::new(),
            peer_sockets: Vec::new(),
            broadcast_socket: None,
            idle_clients: Vec::new(),
            client_count: 0,
            is_stopping: false,
            next_probe: None,
        };
        self.gateways.push(node);
        let servers: Vec<ServerId> = self.world.servers().map(|(id, _)| id).collect();
        for server in servers {
            self.open_server_listener(gateway, server)?;
        }
        Ok(())
    }

    /// Starts a gateway's process.
    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<(), LabError> {
        let config_file = self.write_config_file(gateway)?;
        let log_file = self
            .log_dir
            .as_ref()
            .map(|dir| dir.join(format!("g{gateway}.log")));
        let node = &mut self.gateways[gateway];
        node.process
            .start(&self.program, &config_file, log_file.as_deref())?;
        node.is_stopping = false;
        node.next_probe = Some(self.now);
        // The configuration file contains the endpoint list.
        let latest = self.world.notified_change_count(gateway);
        let list = self.world.endpoint_list_after(latest);
        self.world.on_gateway_notified(self.now, gateway, &list);
        Ok(())
    }

    /// Writes a gateway's configuration file, with the version of the endpoint list that it was last notified of.
    /// Returns the path of the file.
    fn write_config_file(&mut self, gateway: usize) -> Result<PathBuf, LabError> {
        let experiment = &self.world.experiment;
        let settings = node_settings::settings(experiment, gateway, &self.settings_overrides)?;
        let latest = self.world.notified_change_count(gateway);
        let lines = self.list_lines(gateway, &self.world.endpoint_list_after(latest));
        let node = &self.gateways[gateway];
        let seed: u64 = self.controller_seeds.generate();
        let fleet = &experiment.fleet;
        let mut config = json!({
            "name": format!("g{gateway}"), "listen": node.client_address,
            "discovery": node.discovery_listener.address, "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": node_settings::list(latest as u64, true, lines), "settings": settings,
        });
        if experiment.counter.present {
            config["counter"] = json!(node.counter_listener.address);
        }
        if experiment.network.peer_datagrams {
            let sockets = node.peer_sockets.iter();
            let mut peers: Vec<SocketAddr> = sockets.map(|socket| socket.address).collect();
            peers.insert(gateway, node.peer_address);
            config["peer_listen"] = json!(node.peer_address);
            config["peers"] = json!(peers);
            config["peers_all"] = json!(node.broadcast_socket.map(|socket| socket.address));
        }
        let path = self.folder.file(&format!("g{gateway}.json"));
        replace_file(&path, &config.to_string())
            .map_err(LabError::file(&path, "cannot be written"))?;
        Ok(path)
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        node.process.update_usage();
        node.process.kill();
        node.next_probe = None;
    }

    pub(super) fn stop_gateway(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        node.is_stopping = true;
        node.process.signal(Signal::TERM);
    }

    /// Moves discovery and the counter of a gateway to new addresses: writes a new configuration file, sends SIGHUP,
    /// and closes the old addresses later. A gateway that is not ready, or became ready less than
    /// `MIN_READY_BEFORE_SIGHUP` ago, keeps the old addresses.
    pub(super) fn move_counter_and_discovery(&mut self, gateway: usize) -> Result<(), LabError> {
        if !self
            .world
            .is_ready_for(self.now, gateway, MIN_READY_BEFORE_SIGHUP)
        {
            return Ok(());
        }
        let counter = self.sources.listen(gateway, ListenerPurpose::Counter)?;
        let discovery = self.sources.listen(gateway, ListenerPurpose::Discovery)?;
        let node = &mut self.gateways[gateway];
        let old_counter = std::mem::replace(&mut node.counter_listener, counter);
        let old_discovery = std::mem::replace(&mut node.discovery_listener, discovery);
        self.write_config_file(gateway)?;
        self.gateways[gateway].process.signal(Signal::HUP);
        let close_at = self.now + OLD_ADDRESS_LIFETIME;
        self.schedule_close(close_at, old_counter.key);
        self.schedule_close(close_at, old_discovery.key);
        Ok(())
    }

    /// The time of the next readiness probe of any gateway.
    pub(super) fn next_probe(&self) -> Option<Duration> {
        self.gateways
            .iter()
            .filter_map(|node| node.next_probe)
            .min()
    }

    /// Sends the readiness probes that are due to the starting gateways.
    pub(super) fn probe_starting_gateways(&mut self) {
        for gateway in 0..self.gateways.len() {
            let is_due = |at: Duration| at <= self.now;
            if self.gateways[gateway].next_probe.is_some_and(is_due) {
                self.gateways[gateway].next_probe = Some(self.now + PROBE_INTERVAL);
                self.probe_readiness(gateway);
            }
        }
    }

    /// Updates the resource usage of the gateways' processes, and handles those that have ended by themselves.
    pub(super) fn check_processes(&mut self) {
        for gateway in 0..self.gateways.len() {
            let node = &mut self.gateways[gateway];
            node.process.update_usage();
            let Some(status) = node.process.take_exit_status() else {
                continue;
            };
            let is_crash = !node.is_stopping || !status.success();
            node.next_probe = None;
            if is_crash {
                self.report_crash(gateway, &format!("process ended unexpectedly: {status}"));
            }
            self.world.on_gateway_exit(self.now, gateway);
        }
    }

    /// Closes the counter and discovery connections that a listener, now closed, has accepted.
    pub(super) fn close_accepted_at(&mut self, listener: usize) -> Result<(), LabError> {
        self.close_where(|source| match source {
            EventSource::Counter(counter) => counter.listener == listener,
            EventSource::Discovery(discovery) => discovery.listener == listener,
            _ => false,
        })
    }
}

/// Replaces a file atomically, so that a gateway that reloads it never reads a partially written file.
fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let partial = path.with_extension("new");
    std::fs::write(&partial, text)?;
    std::fs::rename(&partial, path)
}
