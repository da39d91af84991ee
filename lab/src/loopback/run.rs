//! The event loop of a run on loopback, and the actions of the world.

use super::buffered_connection::BufferedConnection;
use super::counter::CounterConnection;
use super::discovery::DiscoveryConnection;
use super::event_sources::{EventSource, EventSources, ListenerPurpose};
use super::gateway_host::GatewayHost;
use super::gateway_process::RunFolder;
use super::gateways::GatewayNode;
use super::peers::{Datagram, DatagramKey};
use super::servers::ServerConnection;
use super::{GatewayProgram, NotReady, OnSecond, RunOptions};
use crate::clock::Clock;
use crate::error::LabError;
use crate::events::{AttemptId, ClientRequestId, CounterCallId};
use crate::experiment::Variant;
use crate::metrics::{MisbehavingClients, Results};
use crate::record::Recorder;
use crate::world::{Action, GatewayState, World};
use mio::event::Event;
use mio::{Events, Poll};
use nanorand::WyRand;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The time within which all gateways must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How often all connections and processes are checked for timeouts and exits.
const PERIODIC_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum time that the loop waits for events.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The maximum number of events that are taken from the poll at a time.
const EVENT_BATCH_SIZE: usize = 1024;

const POLL_FAILURE: &str = "cannot create the event poll";

/// The state of a run on loopback.
pub(super) struct LoopbackRun {
    poll: Poll,
    pub(super) sources: EventSources,
    pub(super) clock: Clock,
    /// The time of the clock, read at the start of each iteration of the loop and after each wait.
    pub(super) now: Duration,
    pub(super) world: World,
    /// The address that the gateways listen on.
    pub(super) gateway_host: GatewayHost,
    pub(super) gateways: Vec<GatewayNode>,
    pub(super) folder: RunFolder,
    pub(super) program: GatewayProgram,
    /// The variant's overrides of the gateways' settings.
    pub(super) settings_overrides: toml::Table,
    pub(super) log_dir: Option<PathBuf>,
    pub(super) controller_seeds: WyRand,
    /// The keys of the connections that may have unsent bytes.
    pub(super) unflushed: Vec<usize>,
    /// The keys of the connections of pending attempts.
    pub(super) attempts: BTreeMap<AttemptId, usize>,
    /// The keys of the connections of pending calls on the counter.
    pub(super) counter_calls: BTreeMap<CounterCallId, usize>,
    /// The keys of the connections of pending client requests.
    pub(super) client_requests: BTreeMap<ClientRequestId, usize>,
    scheduled_closes: Vec<ScheduledClose>,
    /// The datagrams in transit.
    pub(super) datagrams: BTreeMap<DatagramKey, Datagram>,
    pub(super) last_datagram: u64,
    pub(super) misbehaving_clients: MisbehavingClients,
    crashes: Vec<String>,
    pub(super) recorder: Option<Recorder<File>>,
    signals: Signals,
    /// Whether the run has started: all gateways were ready, and the clock was restarted at that time.
    has_started: bool,
    /// Whether a signal has requested the end of the run.
    is_stopped: bool,
    next_periodic_check: Duration,
    /// The number of the next second to report, counted from 0.
    next_second: u64,
}

/// The scheduled close of an event source.
struct ScheduledClose {
    at: Duration,
    key: usize,
}

impl LoopbackRun {
    /// Prepares a run of the world: opens its event poll, signal handlers, folders and recording.
    pub(super) fn new(
        world: World,
        variant: &Variant,
        seed: u64,
        options: &RunOptions,
    ) -> Result<LoopbackRun, LabError> {
        let poll = Poll::new().map_err(LabError::system(POLL_FAILURE))?;
        let registry = poll.registry().try_clone();
        let mut sources = EventSources::new(registry.map_err(LabError::system(POLL_FAILURE))?);
        let mut signals = Signals::new([SIGINT, SIGTERM])
            .map_err(LabError::system("cannot handle SIGINT and SIGTERM"))?;
        sources.add_signals(&mut signals)?;
        if let Some(log_dir) = &options.log_dir {
            std::fs::create_dir_all(log_dir)
                .map_err(LabError::file(log_dir, "cannot be created"))?;
        }
        Ok(LoopbackRun {
            poll,
            sources,
            clock: Clock::start(),
            now: Duration::ZERO,
            world,
            gateway_host: GatewayHost::claim()?,
            gateways: Vec::new(),
            folder: RunFolder::create()?,
            program: match &variant.gateway_program {
                Some(path) => GatewayProgram::at_path(path),
                None => options.gateway_program.clone(),
            },
            settings_overrides: variant.settings_overrides.clone(),
            log_dir: options.log_dir.clone(),
            controller_seeds: WyRand::new_seed(seed ^ 0x5eed),
            unflushed: Vec::new(),
            attempts: BTreeMap::new(),
            counter_calls: BTreeMap::new(),
            client_requests: BTreeMap::new(),
            scheduled_closes: Vec::new(),
            datagrams: BTreeMap::new(),
            last_datagram: 0,
            misbehaving_clients: MisbehavingClients::default(),
            crashes: Vec::new(),
            recorder: options
                .record_to
                .as_deref()
                .map(create_recorder)
                .transpose()?,
            signals,
            has_started: false,
            is_stopped: false,
            next_periodic_check: Duration::ZERO,
            next_second: 0,
        })
    }

    /// Opens the addresses for the gateways and starts their processes.
    pub(super) fn start_gateways(&mut self) -> Result<(), LabError> {
        self.world.begin_run();
        for _ in 0..self.world.experiment.fleet.gateways {
            self.add_gateway()?;
        }
        if self.world.experiment.network.peer_datagrams {
            self.open_peer_sockets()?;
        }
        for gateway in 0..self.gateways.len() {
            self.start_gateway(gateway)?;
        }
        Ok(())
    }

    /// Processes the events of the run until its end, or until a signal stops it.
    pub(super) fn run_to_end(
        &mut self,
        mut on_second: Option<&mut OnSecond>,
    ) -> Result<(), LabError> {
        let mut events = Events::with_capacity(EVENT_BATCH_SIZE);
        while !self.is_stopped {
            self.now = self.clock.now();
            if !self.has_started {
                self.start_when_ready()?;
            }
            if self.has_started {
                if self.now >= self.world.end_time() {
                    break;
                }
                self.advance_world()?;
                self.report_seconds(on_second.as_deref_mut());
            }
            self.perform_scheduled_work()?;
            if self.now >= self.next_periodic_check {
                self.run_periodic_checks()?;
                self.next_periodic_check = self.now + PERIODIC_CHECK_INTERVAL;
            }
            self.flush_connections()?;
            self.wait_for_events(&mut events)?;
            for event in &events {
                self.on_event(event)?;
            }
            self.flush_connections()?;
        }
        for node in &mut self.gateways {
            node.process.update_usage();
        }
        // Ctrl-C in the terminal also reaches the gateways, so some of them may have exited already.
        for node in &mut self.gateways {
            node.process.kill();
        }
        self.world.rule_checker.finish(self.now);
        Ok(())
    }

    /// Returns the results of the run.
    pub(super) fn into_results(
        mut self,
        title: &str,
        variant: &str,
        seed: u64,
    ) -> Result<Results, LabError> {
        let mut results = self.world.results("loopback", title, variant, seed);
        results.seconds = self.now.min(self.world.length()).as_secs_f64();
        results.by_second.truncate(results.seconds.ceil() as usize);
        results.misbehaving_clients = self.misbehaving_clients;
        results.crashes = self.crashes;
        results.wall_seconds = self.now.as_secs_f64();
        let processes = self.gateways.iter().map(|node| &node.process);
        results.gateway_cpu_seconds = processes.clone().map(|process| process.cpu_seconds).sum();
        let max_bytes = processes.map(|process| process.max_resident_bytes).max();
        results.gateway_mb = max_bytes.unwrap_or(0) as f64 / f64::from(1 << 20);
        if let Some(recorder) = self.recorder {
            let finished = recorder.finish();
            finished.map_err(LabError::system("cannot write the recording"))?;
        }
        Ok(results)
    }

    /// Starts the run and restarts its clock if all gateways are ready. Fails after `READY_TIMEOUT`.
    fn start_when_ready(&mut self) -> Result<(), LabError> {
        let is_ready = |gateway| self.world.gateway_state(gateway) == GatewayState::Ready;
        if (0..self.gateways.len()).all(is_ready) {
            self.clock = Clock::start();
            self.now = Duration::ZERO;
            self.has_started = true;
            self.next_periodic_check = Duration::ZERO;
            for gateway in 0..self.gateways.len() {
                self.gateways[gateway].next_probe = None;
                self.world.on_gateway_ready(Duration::ZERO, gateway);
            }
            self.reset_watch_deadlines();
        } else if self.now > READY_TIMEOUT {
            return Err(LabError::GatewaysNotReady(NotReady {
                timeout: READY_TIMEOUT,
                crashes: self.crashes.clone(),
            }));
        }
        Ok(())
    }

    fn advance_world(&mut self) -> Result<(), LabError> {
        let Some(due) = self.world.next_due().filter(|due| *due <= self.now) else {
            return Ok(());
        };
        self.world.metrics.record_lateness(self.now - due);
        for (gateway, node) in self.gateways.iter().enumerate() {
            self.world
                .set_idle_connections(gateway, node.idle_clients.len());
        }
        let mut actions = Vec::new();
        self.world.advance(self.now, &mut actions);
        self.perform_actions(actions)
    }

    /// Reports the seconds of the run that have ended since the last report.
    fn report_seconds(&mut self, mut on_second: Option<&mut OnSecond>) {
        let last = self.now.as_secs().min(self.world.length().as_secs());
        while self.next_second < last {
            if let Some(on_second) = on_second.as_mut() {
                let start = Duration::from_secs(self.next_second);
                let metrics = self.world.metrics.second_at(start).clone();
                on_second(self.next_second, &metrics);
            }
            self.next_second += 1;
        }
    }

    /// Performs the scheduled work that is due: readiness probes, closes of sources, and deliveries of datagrams.
    fn perform_scheduled_work(&mut self) -> Result<(), LabError> {
        self.probe_starting_gateways();
        let now = self.now;
        let due = self.scheduled_closes.iter().filter(|close| close.at <= now);
        let keys: Vec<usize> = due.map(|close| close.key).collect();
        self.scheduled_closes.retain(|close| close.at > now);
        for key in keys {
            self.close(key)?;
        }
        self.deliver_datagrams();
        Ok(())
    }

    /// Performs the checks that go through all connections and processes. They are not made in each iteration of the
    /// loop.
    fn run_periodic_checks(&mut self) -> Result<(), LabError> {
        self.check_processes();
        self.end_expired_watches();
        self.close_idle_server_connections()?;
        self.close_expired_misbehaving_clients()
    }

    /// The time until which the loop may wait for events.
    fn next_wakeup(&self) -> Duration {
        let world = self.world.next_due().filter(|_| self.has_started);
        let closes = self.scheduled_closes.iter().map(|close| close.at).min();
        let datagrams = self.datagrams.keys().next().map(|key| key.arrives_at);
        let latest = (self.now + MAX_WAIT).min(self.next_periodic_check);
        [world, self.next_probe(), closes, datagrams]
            .into_iter()
            .flatten()
            .fold(latest, Duration::min)
    }

    fn wait_for_events(&mut self, events: &mut Events) -> Result<(), LabError> {
        let wait = self.next_wakeup().saturating_sub(self.clock.now());
        match self.poll.poll(events, Some(wait)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => (),
            polled => polled.map_err(LabError::system("cannot wait for events"))?,
        }
        self.now = self.clock.now();
        Ok(())
    }

    fn on_event(&mut self, event: &Event) -> Result<(), LabError> {
        let key = event.token().0;
        let has_ended = event.is_read_closed() || event.is_error();
        match self.sources.get(key) {
            None => return Ok(()),
            Some(EventSource::Signals) => {
                self.is_stopped |= self.signals.pending().next().is_some();
                return Ok(());
            }
            Some(EventSource::Listener(_)) => {
                self.accept_connections(key);
                return Ok(());
            }
            Some(EventSource::Peer(_)) => {
                self.on_peer_socket_ready(key);
                return Ok(());
            }
            Some(_) => (),
        }
        if event.is_writable() || has_ended {
            self.unflushed.push(key);
        }
        if event.is_readable() || has_ended {
            return self.on_connection_readable(key);
        }
        Ok(())
    }

    fn on_connection_readable(&mut self, key: usize) -> Result<(), LabError> {
        match self.sources.get(key) {
            Some(EventSource::Client(_)) => self.on_client_readable(key),
            Some(EventSource::Server(_)) => self.on_server_readable(key),
            Some(EventSource::Counter(_)) => self.on_counter_readable(key),
            Some(EventSource::Discovery(_)) => self.on_discovery_readable(key),
            _ => Ok(()),
        }
    }

    /// Accepts all pending connections of a listener.
    fn accept_connections(&mut self, key: usize) {
        while let Some(socket) = self.sources.accept(key) {
            let Some(EventSource::Listener(listener)) = self.sources.get(key) else {
                return;
            };
            let gateway = listener.gateway;
            let purpose = listener.purpose;
            let now = self.now;
            let make_source = |connection: BufferedConnection| match purpose {
                ListenerPurpose::Server(server) => {
                    EventSource::Server(ServerConnection::new(connection, gateway, server, now))
                }
                ListenerPurpose::Counter => {
                    EventSource::Counter(CounterConnection::new(connection, gateway, key))
                }
                ListenerPurpose::Discovery => {
                    EventSource::Discovery(DiscoveryConnection::new(connection, gateway, key))
                }
            };
            if self.sources.add_accepted(socket, make_source).is_none() {
                continue;
            }
            if let ListenerPurpose::Server(server) = purpose {
                self.world.on_connect(now, server);
            }
        }
    }

    /// Writes the queued bytes of the connections in `unflushed`. Closes connections whose write fails.
    fn flush_connections(&mut self) -> Result<(), LabError> {
        while let Some(key) = self.unflushed.pop() {
            let source = self.sources.get_mut(key);
            let Some(connection) = source.and_then(EventSource::connection_mut) else {
                continue;
            };
            if connection.flush().is_err() {
                self.close(key)?;
            } else {
                self.on_client_flushed(key);
            }
        }
        Ok(())
    }

    /// Schedules the close of a source.
    pub(super) fn schedule_close(&mut self, at: Duration, key: usize) {
        self.scheduled_closes.push(ScheduledClose { at, key });
    }

    /// Closes all sources that match a predicate.
    pub(super) fn close_where(
        &mut self,
        predicate: impl Fn(&EventSource) -> bool,
    ) -> Result<(), LabError> {
        let keys = self.sources.find_keys(predicate);
        keys.into_iter().try_for_each(|key| self.close(key))
    }

    /// Closes a source, and reports the consequences to the world.
    pub(super) fn close(&mut self, key: usize) -> Result<(), LabError> {
        match self.sources.remove(key) {
            None | Some(EventSource::Signals) => (),
            Some(EventSource::Listener(listener)) => {
                let purpose = listener.purpose;
                self.sources.close_listener(listener);
                if purpose == ListenerPurpose::Counter || purpose == ListenerPurpose::Discovery {
                    return self.close_accepted_at(key);
                }
            }
            Some(EventSource::Peer(peer)) => self.sources.close_peer_socket(peer),
            Some(EventSource::Client(client)) => self.on_client_closed(key, client),
            Some(EventSource::Server(server)) => self.on_server_connection_closed(server),
            Some(EventSource::Counter(counter)) => self.on_counter_closed(counter),
            Some(EventSource::Discovery(discovery)) => {
                discovery.connection.close(self.sources.registry());
            }
        }
        Ok(())
    }

    /// Records a crash or a protocol error of a gateway for the results of the run.
    pub(super) fn report_crash(&mut self, gateway: usize, description: &str) {
        let at = self.now.as_secs_f64();
        self.crashes
            .push(format!("gateway {gateway} at {at:.3} s: {description}"));
    }

    /// Performs the actions that the world has requested.
    pub(super) fn perform_actions(&mut self, actions: Vec<Action>) -> Result<(), LabError> {
        for action in actions {
            self.perform_action(action)?;
        }
        Ok(())
    }

    fn perform_action(&mut self, action: Action) -> Result<(), LabError> {
        match action {
            Action::SendRequest(request) => {
                self.record_request(request)?;
                self.send_request(request);
            }
            Action::CloseClient(request) => self.close_client(request)?,
            Action::SendResponse(attempt, response) => self.send_server_response(attempt, response),
            Action::SendCounterResponse(call, response) => {
                self.send_counter_response(call, response)?;
            }
            Action::NotifyGateway { gateway, .. } => self.notify_gateway(gateway),
            Action::AddServer(server) | Action::RestartServer(server) => {
                self.start_server(server)?;
            }
            Action::StopServer(server) => self.stop_server(server)?,
            Action::KillGateway(gateway) => self.kill_gateway(gateway),
            Action::StopGateway(gateway) => self.stop_gateway(gateway),
            Action::StartGateway(gateway) => self.start_gateway(gateway)?,
            Action::MovePlatform(gateway) => self.move_counter_and_discovery(gateway)?,
            Action::ResetCounterConnections => {
                self.close_where(|source| matches!(source, EventSource::Counter(_)))?;
            }
            Action::AddMisbehavingClients(count) => self.add_misbehaving_clients(count),
        }
        Ok(())
    }
}

fn create_recorder(path: &Path) -> Result<Recorder<File>, LabError> {
    let file = File::create(path).map_err(LabError::file(path, "cannot be created"))?;
    Recorder::new(file).map_err(LabError::file(path, "cannot be written"))
}
