//! The engine on loopback: the same world behind real sockets, with the programs themselves as gateways. One
//! loop and one poll; each gateway meets stand-ins at addresses kept for it alone, so the world knows who asks.

mod clients;
mod counter;
mod discovery;
mod gateway_host;
mod peers;
mod process;
mod servers;
mod tap;
mod wire;

pub use tap::tap;

use crate::clock::Clock;
use crate::error::LabError;
use crate::events::{AttemptId, ClientRequestId, CounterCallId, ServerId};
use crate::experiment::{Experiment, Variant};
use crate::metrics::{MisbehavingClients, Results, SecondMetrics};
use crate::node_settings;
use crate::record::{RecordedRequest, Recorder};
use crate::world::{Action, GatewayState, ResponseDelay, World};
use gateway_host::GatewayHost;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token};
use nanorand::{Rng, WyRand};
use process::{Folder, Process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the referee allows for a machine that also runs everything else.
const SLACK: Duration = Duration::from_millis(250);
/// Gateways have so long to be ready.
const GET_READY: Duration = Duration::from_secs(10);
/// A process is sent no SIGHUP sooner after it was ready.
const FIRST_SECOND: Duration = Duration::from_secs(1);
/// Where discovery and counter were before is still there for so long.
const STILL_THERE: Duration = Duration::from_millis(1500);

/// What a run is told each second: which one, what it brought, how many tries are out.
pub type OnSecond<'a> = dyn FnMut(u64, &SecondMetrics) + 'a;

/// An edge node's program, and what it is started with.
#[derive(Clone, Debug, Default)]
pub struct GatewayProgram {
    pub path: PathBuf,
    pub arguments: Vec<String>,
    /// What its environment holds beside this process's own.
    pub environment: Vec<(String, std::ffi::OsString)>,
}

#[derive(Default)]
pub struct RunOptions<'a> {
    /// The program that is played.
    pub gateway_program: GatewayProgram,
    pub replay: Vec<RecordedRequest>,
    /// A file for what clients ask.
    pub record_to: Option<PathBuf>,
    /// A folder for the gateways' logs.
    pub log_dir: Option<PathBuf>,
    pub on_second: Option<Box<OnSecond<'a>>>,
}

/// Whom an event of the poll is for.
enum Place {
    Signals,
    ServerDoor {
        gateway: usize,
        server: ServerId,
        door: TcpListener,
    },
    CounterDoor {
        gateway: usize,
        door: TcpListener,
    },
    DiscoveryDoor {
        gateway: usize,
        door: TcpListener,
    },
    Peer {
        from: usize,
        to: Option<usize>,
        socket: UdpSocket,
    },
    Client(clients::Client),
    Upstream(servers::Upstream),
    Counter(counter::Line),
    Discovery(discovery::Watcher),
}

struct Gateway {
    process: Process,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    /// Tokens of the doors that its file names now.
    counter: Option<usize>,
    discovery: Option<usize>,
    /// Doors of its servers, by server, and where they are.
    doors: BTreeMap<ServerId, (usize, SocketAddr)>,
    /// Peer sockets: to each other gateway, and to all.
    peers: Vec<(usize, SocketAddr)>,
    all: Option<(usize, SocketAddr)>,
    /// Client connections that nothing is open on.
    idle: Vec<usize>,
    clients: usize,
    /// Told to stop, so its end is no crash.
    stopping: bool,
    /// When it is asked next whether it serves.
    ping: Option<Duration>,
}

struct Stage {
    poll: Poll,
    registry: Registry,
    clock: Clock,
    now: Duration,
    world: World,
    places: Slab<Place>,
    gateways: Vec<Gateway>,
    folder: Folder,
    gateway_host: GatewayHost,
    program: GatewayProgram,
    told: toml::Table,
    logs: Option<PathBuf>,
    seeds: WyRand,
    /// Connections with something to write.
    written: Vec<usize>,
    trying: BTreeMap<AttemptId, usize>,
    counting: BTreeMap<CounterCallId, usize>,
    asking: BTreeMap<ClientRequestId, usize>,
    /// Doors and connections that are closed then.
    closing: Vec<(Duration, usize)>,
    /// Datagrams under way: when, to whom, by whom, what.
    flying: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    serial: u64,
    bad: (u64, u64),
    crashes: Vec<String>,
    recorder: Option<Recorder<File>>,
    signals: Option<Signals>,
    begun: bool,
    stop: bool,
}

/// Plays one day of an experiment on loopback, as a variant has it.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    mut terms: RunOptions,
) -> Result<Results, LabError> {
    let changed = experiment.with_variant(variant)?;
    let said = |error: std::io::Error| error.to_string();
    let poll = Poll::new().map_err(said)?;
    let registry = poll.registry().try_clone().map_err(said)?;
    let recorder = match &terms.record_to {
        Some(path) => {
            let file =
                File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
            Some(Recorder::new(file).map_err(said)?)
        }
        None => None,
    };
    if let Some(logs) = &terms.log_dir {
        std::fs::create_dir_all(logs).map_err(|error| format!("{}: {error}", logs.display()))?;
    }
    let world = World::new(
        &changed,
        seed,
        ResponseDelay::AddedByWorld,
        SLACK,
        std::mem::take(&mut terms.replay),
    );
    let mut stage = Stage {
        poll,
        registry,
        clock: Clock::start(),
        now: Duration::ZERO,
        world,
        places: Slab::new(),
        gateways: Vec::new(),
        folder: Folder::new()?,
        gateway_host: GatewayHost::claim().map_err(said)?,
        program: match &variant.gateway_program {
            Some(path) => GatewayProgram {
                path: path.into(),
                ..GatewayProgram::default()
            },
            None => terms.gateway_program.clone(),
        },
        told: variant.settings_overrides.clone(),
        logs: terms.log_dir.clone(),
        seeds: WyRand::new_seed(seed ^ 0x5eed),
        written: Vec::new(),
        trying: BTreeMap::new(),
        counting: BTreeMap::new(),
        asking: BTreeMap::new(),
        closing: Vec::new(),
        flying: BTreeMap::new(),
        serial: 0,
        bad: (0, 0),
        crashes: Vec::new(),
        recorder,
        signals: None,
        begun: false,
        stop: false,
    };
    stage.set_up(changed.fleet.gateways)?;
    stage.run(terms.on_second.as_deref_mut())?;
    let mut results = stage
        .world
        .results("loopback", &experiment.title, &variant.name, seed);
    results.seconds = stage.now.min(stage.world.length()).as_secs_f64();
    results.by_second.truncate(results.seconds.ceil() as usize);
    results.misbehaving_clients = MisbehavingClients {
        unanswered: stage.bad.0,
        total: stage.bad.1,
    };
    results.crashes = std::mem::take(&mut stage.crashes);
    results.wall_seconds = stage.now.as_secs_f64();
    results.gateway_cpu_seconds = stage.gateways.iter().map(|it| it.process.cpu).sum();
    let most = stage
        .gateways
        .iter()
        .map(|it| it.process.resident)
        .max()
        .unwrap_or(0);
    results.gateway_mb = most as f64 / f64::from(1 << 20);
    if let Some(recorder) = stage.recorder.take() {
        recorder.finish().map_err(said)?;
    }
    Ok(results)
}

impl Stage {
    fn set_up(&mut self, gateways: usize) -> Result<(), String> {
        let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| error.to_string())?;
        let token = Token(self.places.insert(Place::Signals));
        let registered = self
            .registry
            .register(&mut signals, token, Interest::READABLE);
        registered.map_err(|error| error.to_string())?;
        self.world.begin_run();
        for gateway in 0..gateways {
            let listen = self.gateway_address()?;
            let peer_listen = self.gateway_address()?;
            self.gateways.push(Gateway {
                process: Process::none(),
                listen,
                peer_listen,
                counter: None,
                discovery: None,
                doors: BTreeMap::new(),
                peers: Vec::new(),
                all: None,
                idle: Vec::new(),
                clients: 0,
                stopping: false,
                ping: None,
            });
            let servers: Vec<ServerId> = self.world.servers().map(|(id, _)| id).collect();
            for server in servers {
                self.open_door(gateway, server)?;
            }
            self.open_platform(gateway)?;
        }
        if self.world.experiment.network.peer_datagrams {
            self.open_peers()?;
        }
        for gateway in 0..gateways {
            self.start(gateway)?;
        }
        self.signals = Some(signals);
        Ok(())
    }

    fn gateway_address(&mut self) -> Result<SocketAddr, String> {
        let address = self.gateway_host.allocate();
        address.map_err(|error| format!("no address for a gateway: {error}"))
    }

    /// A door on a free port of loopback.
    fn door(
        &mut self,
        place: impl FnOnce(TcpListener) -> Place,
    ) -> Result<(usize, SocketAddr), String> {
        let said = |error: std::io::Error| format!("no door on loopback: {error}");
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut door = TcpListener::bind(at).map_err(said)?;
        let at = door.local_addr().map_err(said)?;
        let entry = self.places.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut door, Token(key), Interest::READABLE)
            .map_err(said)?;
        entry.insert(place(door));
        Ok((key, at))
    }

    /// New addresses for a gateway's counter and discovery.
    fn open_platform(&mut self, gateway: usize) -> Result<(), String> {
        let (counter, _) = self.door(|door| Place::CounterDoor { gateway, door })?;
        let (discovery, _) = self.door(|door| Place::DiscoveryDoor { gateway, door })?;
        self.gateways[gateway].counter = Some(counter);
        self.gateways[gateway].discovery = Some(discovery);
        Ok(())
    }

    fn address(&self, key: Option<usize>) -> Option<SocketAddr> {
        match self.places.get(key?) {
            Some(Place::CounterDoor { door, .. } | Place::DiscoveryDoor { door, .. }) => {
                door.local_addr().ok()
            }
            _ => None,
        }
    }

    /// Writes a gateway's file; the list in it is the one that it was told last.
    fn write_file(&mut self, gateway: usize) -> Result<PathBuf, String> {
        let settings = node_settings::settings(&self.world.experiment, gateway, &self.told)
            .map_err(|error| error.to_string())?;
        let upto = self.world.notified_change_count(gateway);
        let lines = self.lines(gateway, &self.world.endpoint_list_after(upto));
        let it = &self.gateways[gateway];
        let fleet = &self.world.experiment.fleet;
        let mut file = serde_json::json!({
            "name": format!("g{gateway}"), "listen": it.listen,
            "discovery": self.address(it.discovery), "seed": format!("{:016x}", self.seeds.generate::<u64>()),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": node_settings::list(upto as u64, true, lines), "settings": settings,
        });
        if self.world.experiment.counter.present {
            file["counter"] = serde_json::json!(self.address(it.counter));
        }
        if self.world.experiment.network.peer_datagrams {
            let mut peers: Vec<SocketAddr> = it.peers.iter().map(|(_, at)| *at).collect();
            peers.insert(gateway, it.peer_listen);
            file["peer_listen"] = serde_json::json!(it.peer_listen);
            file["peers"] = serde_json::json!(peers);
            file["peers_all"] = serde_json::json!(it.all.map(|(_, at)| at));
        }
        let path = self.folder.0.join(format!("g{gateway}.json"));
        // Put in place whole: a gateway that is told to read it again must not meet half of it.
        let (half, bytes) = (path.with_extension("new"), file.to_string());
        let written = std::fs::write(&half, bytes).and_then(|()| std::fs::rename(&half, &path));
        written.map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    fn start(&mut self, gateway: usize) -> Result<(), String> {
        let file = self.write_file(gateway)?;
        let log = self
            .logs
            .as_ref()
            .map(|logs| logs.join(format!("g{gateway}.log")));
        let it = &mut self.gateways[gateway];
        it.process.start(&self.program, &file, log.as_deref())?;
        (it.stopping, it.ping) = (false, Some(self.now));
        // What stands in the file is told to it.
        let list = self
            .world
            .endpoint_list_after(self.world.notified_change_count(gateway));
        self.world.on_gateway_notified(self.now, gateway, &list);
        Ok(())
    }

    fn run(&mut self, mut watch: Option<&mut OnSecond>) -> Result<(), String> {
        let mut events = Events::with_capacity(1024);
        let (mut second, mut next_look) = (0, Duration::ZERO);
        while !self.stop {
            self.now = self.clock.now();
            if !self.begun {
                let all = 0..self.gateways.len();
                if all
                    .into_iter()
                    .all(|gateway| self.world.gateway_state(gateway) == GatewayState::Ready)
                {
                    // The day's clock begins here.
                    self.clock = Clock::start();
                    (self.now, self.begun, next_look) = (Duration::ZERO, true, Duration::ZERO);
                    self.rebase();
                } else if self.now > GET_READY {
                    return Err(format!(
                        "the gateways were not ready within {GET_READY:?}: {:?}",
                        self.crashes
                    ));
                }
            }
            if self.begun {
                if self.now >= self.world.end_time() {
                    break;
                }
                let due = self.world.next_due().filter(|due| *due <= self.now);
                if let Some(due) = due {
                    self.world.metrics.record_lateness(self.now - due);
                    let mut actions = Vec::new();
                    for (gateway, it) in self.gateways.iter().enumerate() {
                        self.world.set_idle_connections(gateway, it.idle.len());
                    }
                    self.world.advance(self.now, &mut actions);
                    self.carry(actions)?;
                }
                while self.now.as_secs() > second && second < self.world.length().as_secs() {
                    if let Some(watch) = watch.as_mut() {
                        let brought = self
                            .world
                            .metrics
                            .second_at(Duration::from_secs(second))
                            .clone();
                        watch(second, &brought);
                    }
                    second += 1;
                }
            }
            self.due()?;
            if self.now >= next_look {
                self.look();
                self.sweep()?;
                next_look = self.now + Duration::from_millis(100);
            }
            self.flush()?;
            let wait = self.next().min(next_look).saturating_sub(self.clock.now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => (),
                Err(error) => return Err(error.to_string()),
                Ok(()) => (),
            }
            self.now = self.clock.now();
            for event in &events {
                let (key, ended) = (event.token().0, event.is_read_closed() || event.is_error());
                self.ready(
                    key,
                    event.is_readable() || ended,
                    event.is_writable() || ended,
                )?;
            }
            self.flush()?;
        }
        for it in &mut self.gateways {
            it.process.look();
        }
        // Gateways that a Ctrl-C from the terminal has reached as well may be gone already.
        self.gateways.iter_mut().for_each(|it| it.process.kill());
        self.world.rule_checker.finish(self.now);
        Ok(())
    }

    /// What was set by the clock before the day began counts from its first moment.
    fn rebase(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.gateways[gateway].ping = None;
            self.world.on_gateway_ready(Duration::ZERO, gateway);
        }
        self.rebase_watches();
    }

    /// When something is due next.
    fn next(&self) -> Duration {
        let world = if self.begun {
            self.world.next_due()
        } else {
            None
        };
        let pings = self.gateways.iter().filter_map(|it| it.ping).min();
        let closing = self.closing.iter().map(|(when, _)| *when).min();
        let flying = self.flying.keys().next().map(|key| key.0);
        let far = self.now + Duration::from_secs(1);
        [world, pings, closing, flying]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(far)
            .min(far)
    }

    fn due(&mut self) -> Result<(), String> {
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].ping.is_some_and(|at| at <= self.now) {
                self.gateways[gateway].ping = Some(self.now + Duration::from_millis(20));
                self.ping(gateway);
            }
        }
        let over: Vec<usize> = self
            .closing
            .iter()
            .filter(|it| it.0 <= self.now)
            .map(|it| it.1)
            .collect();
        self.closing.retain(|it| it.0 > self.now);
        for key in over {
            self.close(key)?;
        }
        self.land();
        Ok(())
    }

    /// What needs a look at every connection is done now and then, not at each turn.
    fn sweep(&mut self) -> Result<(), String> {
        self.watches_over();
        self.close_idle()?;
        self.bad_over()
    }

    /// How the gateways' processes are.
    fn look(&mut self) {
        for gateway in 0..self.gateways.len() {
            let it = &mut self.gateways[gateway];
            it.process.look();
            let Some(ended) = it.process.ended() else {
                continue;
            };
            if !it.stopping || !ended.success() {
                self.crashes.push(format!(
                    "gateway {gateway} at {:.3} s: {ended}",
                    self.now.as_secs_f64()
                ));
            }
            it.ping = None;
            self.world.on_gateway_exit(self.now, gateway);
        }
    }

    fn ready(&mut self, key: usize, read: bool, write: bool) -> Result<(), String> {
        match self.places.get(key) {
            None => return Ok(()),
            Some(Place::Signals) => {
                if let Some(signals) = &mut self.signals {
                    self.stop |= signals.pending().next().is_some();
                }
                return Ok(());
            }
            Some(
                Place::ServerDoor { .. } | Place::CounterDoor { .. } | Place::DiscoveryDoor { .. },
            ) => {
                return self.accept(key);
            }
            Some(Place::Peer { .. }) => {
                self.datagrams(key);
                return Ok(());
            }
            Some(_) => (),
        }
        if write {
            self.written.push(key);
        }
        match self.places.get(key).filter(|_| read) {
            Some(Place::Client(_)) => self.client_ready(key),
            Some(Place::Upstream(_)) => self.upstream_ready(key),
            Some(Place::Counter(_)) => self.counter_ready(key),
            Some(Place::Discovery(_)) => self.discovery_ready(key),
            _ => Ok(()),
        }
    }

    fn accept(&mut self, key: usize) -> Result<(), String> {
        loop {
            let Some(
                Place::ServerDoor { door, .. }
                | Place::CounterDoor { door, .. }
                | Place::DiscoveryDoor { door, .. },
            ) = self.places.get(key)
            else {
                return Ok(());
            };
            let Ok((socket, _)) = door.accept() else {
                return Ok(());
            };
            let entry = self.places.vacant_entry();
            let token = Token(entry.key());
            let Ok(wire) = wire::Wire::accepted(&self.registry, socket, token) else {
                continue;
            };
            let place = match self.places.get(key) {
                Some(Place::ServerDoor {
                    gateway, server, ..
                }) => {
                    let (gateway, server) = (*gateway, *server);
                    self.world.on_connect(self.now, server);
                    Place::Upstream(servers::Upstream::new(wire, gateway, server, self.now))
                }
                Some(Place::CounterDoor { gateway, .. }) => {
                    Place::Counter(counter::Line::new(wire, *gateway, key))
                }
                Some(Place::DiscoveryDoor { gateway, .. }) => {
                    Place::Discovery(discovery::Watcher::new(wire, *gateway, key))
                }
                _ => return Ok(()),
            };
            let at = self.places.insert(place);
            debug_assert_eq!(at, token.0, "the key that the poll was told");
        }
    }

    /// Writes what has been put, once a connection.
    fn flush(&mut self) -> Result<(), String> {
        while let Some(key) = self.written.pop() {
            let over = match self.places.get_mut(key) {
                Some(Place::Client(it)) => it.wire.flush().is_err(),
                Some(Place::Upstream(it)) => it.wire.flush().is_err(),
                Some(Place::Counter(it)) => it.wire.flush().is_err(),
                Some(Place::Discovery(it)) => it.wire.flush().is_err(),
                _ => false,
            };
            if over {
                self.close(key)?;
            } else if matches!(self.places.get(key), Some(Place::Client(_))) {
                self.taken(key);
            }
        }
        Ok(())
    }

    /// Ends whatever has this key, and tells the world what that means.
    fn close(&mut self, key: usize) -> Result<(), String> {
        match self.places.try_remove(key) {
            None | Some(Place::Signals) => Ok(()),
            Some(Place::ServerDoor { mut door, .. }) => {
                let _ = self.registry.deregister(&mut door);
                Ok(())
            }
            Some(Place::CounterDoor { mut door, .. } | Place::DiscoveryDoor { mut door, .. }) => {
                let _ = self.registry.deregister(&mut door);
                self.close_lines_of(key)
            }
            Some(Place::Peer { mut socket, .. }) => {
                let _ = self.registry.deregister(&mut socket);
                Ok(())
            }
            Some(Place::Client(it)) => self.client_over(key, it),
            Some(Place::Upstream(it)) => {
                self.upstream_over(it);
                Ok(())
            }
            Some(Place::Counter(it)) => {
                for id in it.turns.open().flatten() {
                    self.counting.remove(&id);
                }
                it.wire.close(&self.registry);
                Ok(())
            }
            Some(Place::Discovery(it)) => {
                it.wire.close(&self.registry);
                Ok(())
            }
        }
    }

    /// Connections that came in at a door that is no more.
    fn close_lines_of(&mut self, door: usize) -> Result<(), String> {
        let of = |place: &Place| match place {
            Place::Counter(it) => it.door == door,
            Place::Discovery(it) => it.door == door,
            _ => false,
        };
        let lines: Vec<usize> = self
            .places
            .iter()
            .filter(|(_, it)| of(it))
            .map(|(key, _)| key)
            .collect();
        lines.into_iter().try_for_each(|key| self.close(key))
    }

    /// What the world leaves to be carried out.
    fn carry(&mut self, actions: Vec<Action>) -> Result<(), String> {
        for act in actions {
            match act {
                Action::SendRequest(ask) => self.ask(ask, true)?,
                Action::CloseClient(ask) => self.leave(ask)?,
                Action::SendResponse(of, says) => self.reply(of, says)?,
                Action::SendCounterResponse(count, says) => self.counted(count, says)?,
                Action::NotifyGateway { gateway, .. } => self.tell(gateway),
                Action::AddServer(server) | Action::RestartServer(server) => {
                    for gateway in 0..self.gateways.len() {
                        if !self.gateways[gateway].doors.contains_key(&server) {
                            self.open_door(gateway, server)?;
                        }
                    }
                }
                Action::StopServer(server) => self.down(server)?,
                Action::KillGateway(gateway) => {
                    self.gateways[gateway].process.look();
                    self.gateways[gateway].process.kill();
                    self.gateways[gateway].ping = None;
                }
                Action::StopGateway(gateway) => {
                    self.gateways[gateway].stopping = true;
                    self.gateways[gateway]
                        .process
                        .signal(rustix::process::Signal::TERM);
                }
                Action::StartGateway(gateway) => self.start(gateway)?,
                Action::MovePlatform(gateway) => self.move_platform(gateway)?,
                Action::ResetCounterConnections => {
                    let lines = self
                        .places
                        .iter()
                        .filter(|(_, it)| matches!(it, Place::Counter(_)));
                    let lines: Vec<usize> = lines.map(|(key, _)| key).collect();
                    lines.into_iter().try_for_each(|key| self.close(key))?;
                }
                Action::AddMisbehavingClients(count) => self.bad_clients(count)?,
            }
        }
        Ok(())
    }

    /// Discovery and counter of a gateway move: a new file, SIGHUP, and the old doors close later.
    /// The platform sends none to a process that is not ready, nor within its first second.
    fn move_platform(&mut self, gateway: usize) -> Result<(), String> {
        if !self.world.is_ready_for(self.now, gateway, FIRST_SECOND) {
            return Ok(());
        }
        let it = &self.gateways[gateway];
        let old = [it.counter, it.discovery];
        self.open_platform(gateway)?;
        self.write_file(gateway)?;
        self.gateways[gateway]
            .process
            .signal(rustix::process::Signal::HUP);
        let when = self.now + STILL_THERE;
        self.closing
            .extend(old.into_iter().flatten().map(|key| (when, key)));
        Ok(())
    }
}
