//! The world in which gateways serve: servers, the counter, the endpoint list, clients, the network between them
//! and the faults of a run.
//!
//! It does no I/O and has no clock: an engine tells it what has come and what time it is, asks it when something
//! is due, and carries out the [`Action`]s that it leaves. Both engines play this one world. Each part owns its
//! state in a type of its own; [`World`] joins them, and has its methods beside the part that they concern:
//! requests of clients in `requests`, attempts at servers in `attempts`, calls on the counter and
//! notifications of gateways in `platform`, faults in `faults`.

mod action;
mod attempts;
mod clients;
pub(crate) mod counter;
mod deduplication;
mod endpoint_list;
mod faults;
mod gateways;
mod network;
mod platform;
mod requests;
pub(crate) mod server;
mod span;
mod token_bucket;
mod world_event;

pub(crate) use action::{Action, ServerResponse};
pub(crate) use attempts::{Attempt, AttemptArrival};
pub(crate) use endpoint_list::EndpointChange;
pub(crate) use gateways::GatewayState;
pub(crate) use requests::ClientRequest;

use crate::event_queue::EventQueue;
use crate::events::{AttemptId, ClientRequestId, OperationId, ServerId};
use crate::experiment::Experiment;
use crate::metrics::{MetricsRecorder, Results, ServerLoad};
use crate::record::RecordedRequest;
use crate::rule_checker::RuleChecker;
use clients::{Account, Clients, Operation};
use counter::CounterService;
use deduplication::DeduplicationTable;
use endpoint_list::EndpointList;
use faults::FaultState;
use gateways::Gateways;
use nanorand::WyRand;
use network::Network;
use requests::Replay;
use server::{ListingState, Server, ServerSpec};
use span::seconds;
use std::time::Duration;
use world_event::WorldEvent;

/// The rule checker forgets a request so long after its client timeout.
const CHECKER_MEMORY: Duration = Duration::from_secs(30);
/// A run goes on for so long after the last answer is due.
const END_MARGIN: Duration = Duration::from_millis(200);

/// Who adds the time that responses take on their way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ResponseDelay {
    /// The engine plays the network.
    AddedByEngine,
    /// The engine's messages arrive at once: the world answers later by the way there and back.
    AddedByWorld,
}

/// The emulated platform of one run.
pub(crate) struct World {
    /// What is played.
    pub(crate) experiment: Experiment,
    /// Judges the rules.
    pub(crate) rule_checker: RuleChecker,
    /// Counts and measures.
    pub(crate) metrics: MetricsRecorder,
    event_queue: EventQueue<WorldEvent>,
    clients: Clients,
    /// Requests by their id.
    requests: Vec<ClientRequest>,
    /// Attempts by their id.
    attempts: Vec<Attempt>,
    /// Servers by their id.
    servers: Vec<Server>,
    deduplication: DeduplicationTable,
    endpoint_list: EndpointList,
    counters: CounterService,
    gateways: Gateways,
    network: Network,
    replay: Replay,
    faults: FaultState,
    /// Chance in what the world does; clients have generators of their own, so that two variants meet the same
    /// arrivals.
    rng: WyRand,
    response_delay: ResponseDelay,
    length: Duration,
    /// What the rules allow for what is on its way.
    slack: Duration,
    /// The next second whose end is recorded.
    next_second: u64,
}

impl World {
    /// The world of an experiment as a seed has it. `slack` is what the rules allow for what is on its way;
    /// recorded requests, if there are any, are played in place of drawn ones.
    pub(crate) fn new(
        experiment: &Experiment,
        seed: u64,
        response_delay: ResponseDelay,
        slack: Duration,
        recorded: Vec<RecordedRequest>,
    ) -> World {
        let length = seconds(experiment.seconds);
        let gateway_count = experiment.fleet.gateways;
        let mut world = World {
            experiment: experiment.clone(),
            rule_checker: RuleChecker::new(experiment, slack),
            metrics: MetricsRecorder::new(seconds(experiment.warm_up), length),
            event_queue: EventQueue::default(),
            clients: Clients::new(experiment, seed),
            requests: Vec::new(),
            attempts: Vec::new(),
            servers: Vec::new(),
            deduplication: DeduplicationTable::default(),
            endpoint_list: EndpointList::new(gateway_count, experiment.discovery.max_delay),
            counters: CounterService::new(&experiment.counter, gateway_count),
            gateways: Gateways::new(gateway_count),
            network: Network::new(experiment),
            replay: Replay::new(recorded),
            faults: FaultState::default(),
            rng: WyRand::new_seed(seed ^ 0xc4),
            response_delay,
            length,
            slack,
            next_second: 1,
        };
        world.add_first_servers();
        for (index, account) in world.clients.accounts.iter().enumerate() {
            world.rule_checker.add_account(index as u32, account.plan);
        }
        world
    }

    /// The servers at the start: machine types in their shares, spread over the zones alike.
    fn add_first_servers(&mut self) {
        let fleet = &self.experiment.fleet;
        let server_count = fleet.servers;
        let zone_count = fleet.zones;
        let shares: Vec<f64> = fleet.machine_types.iter().map(|kind| kind.share).collect();
        let all_shares: f64 = shares.iter().sum();
        for index in 0..server_count {
            let position = (index as f64 + 0.5) / server_count as f64 * all_shares;
            let mut sum = 0.0;
            let kind = shares.iter().position(|share| {
                sum += share;
                position < sum
            });
            let server = self.add_server(index % zone_count, kind.unwrap_or(0));
            self.endpoint_list.append(EndpointChange {
                server,
                state: ListingState::Active,
                started_at: None,
            });
        }
    }

    /// Adds a server that is not listed yet.
    fn add_server(&mut self, zone: usize, kind: usize) -> ServerId {
        let fleet = &self.experiment.fleet;
        let kind = &fleet.machine_types[kind];
        let index = self.servers.len();
        let cell = index as u64 % fleet.cells;
        let spec = ServerSpec {
            name: format!("box-{index:04}"),
            zone,
            cell,
            machine_type: kind.name.clone(),
            cores: kind.cores,
            speed: kind.speed,
            max_queue: fleet.queue_capacity,
            initial_power: fleet.slow_start_capacity,
            warm_up_seconds: fleet.slow_start,
            overload_factor: fleet.overload_factor,
            overload_window: seconds(fleet.overload_for),
            mean_work: self.experiment.mean_work(),
        };
        self.servers.push(Server::new(spec));
        let id = ServerId(index as u32);
        self.rule_checker.add_server(id, cell, zone);
        id
    }

    /// The run begins: the gateways' first list is what stands now.
    pub(crate) fn begin_run(&mut self) {
        self.endpoint_list.mark_all_notified();
        self.schedule_faults();
        self.schedule_arrivals();
    }

    /// When something is due next.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.event_queue.next_due()
    }

    /// When all is over, the last answers included.
    pub(crate) fn end_time(&self) -> Duration {
        self.length + seconds(self.experiment.max_client_timeout()) + self.slack + END_MARGIN
    }

    /// For how long clients send requests.
    pub(crate) fn length(&self) -> Duration {
        self.length
    }

    /// Does what is due by now.
    pub(crate) fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some((due, event)) = self.event_queue.pop_due(now) {
            self.record_ended_seconds(due);
            self.handle_event(due, event, actions);
        }
        self.record_ended_seconds(now);
    }

    fn handle_event(&mut self, now: Duration, event: WorldEvent, actions: &mut Vec<Action>) {
        match event {
            WorldEvent::Arrival => self.on_arrival(now, actions),
            WorldEvent::ReplayedArrival(index) => self.on_replayed_arrival(now, index, actions),
            WorldEvent::ClientRetry(operation) => self.send_request(now, operation, actions),
            WorldEvent::ClientGivesUp(request) => self.on_client_gives_up(now, request, actions),
            WorldEvent::ClientTimeout(request) => self.on_client_timeout(now, request),
            WorldEvent::WorkDone(server, attempt) => self.on_work_done(now, server, attempt),
            WorldEvent::ResponseDue(attempt) => self.on_response_due(now, attempt, actions),
            WorldEvent::CounterCallDone(call) => self.on_counter_call_done(now, call, actions),
            WorldEvent::NotificationDue { gateway, change } => {
                self.on_notification_due(now, gateway, change, actions);
            }
            WorldEvent::FaultStep { fault, step } => self.on_fault_step(now, fault, step, actions),
            WorldEvent::FaultEnd(fault) => self.on_fault_end(now, fault, actions),
            WorldEvent::ServerReturns(server) => self.on_server_returns(now, server, actions),
            WorldEvent::ServerRetires(server) => self.on_server_retires(now, server, actions),
            WorldEvent::GatewayKill(gateway) => self.on_gateway_kill(now, gateway, actions),
            WorldEvent::GatewayStart(gateway) => self.on_gateway_start(now, gateway, actions),
        }
    }

    /// For each second that has ended the load of the servers is recorded, and what is long over is forgotten.
    fn record_ended_seconds(&mut self, now: Duration) {
        while now.as_secs() >= self.next_second {
            if self.next_second <= self.length.as_secs() {
                self.record_server_load();
            }
            let windows = self
                .experiment
                .routes
                .iter()
                .map(|route| route.deduplication_window);
            let longest_window = seconds(windows.fold(0.0, f64::max));
            self.deduplication.forget_expired(now, longest_window);
            let ended = Duration::from_secs(self.next_second);
            self.rule_checker
                .forget_before(ended.saturating_sub(CHECKER_MEMORY));
            self.next_second += 1;
        }
    }

    fn record_server_load(&mut self) {
        let second = self.next_second as usize - 1;
        for (index, server) in self.servers.iter_mut().enumerate() {
            let busy_share = server.take_busy_share() as f32;
            self.metrics
                .record_server_load(index as u32, second, busy_share);
        }
    }

    /// What the run has brought, as both engines report it.
    pub(crate) fn results(
        &mut self,
        engine: &str,
        title: &str,
        variant: &str,
        seed: u64,
    ) -> Results {
        let server_load = self.metrics.server_load().map(|(server, busy_share)| {
            let name = self.servers[server as usize].name.clone();
            ServerLoad {
                server: name,
                busy_share: busy_share.to_vec(),
            }
        });
        Results {
            experiment: title.into(),
            variant: variant.into(),
            engine: engine.into(),
            seed,
            gateways: self.experiment.fleet.gateways,
            servers: self.experiment.fleet.servers,
            server_load: server_load.collect(),
            violations: self.rule_checker.take_violations(),
            violation_count: self.rule_checker.violation_count(),
            ..self.metrics.results()
        }
    }

    // ---- reading the world ----

    /// A request by its id.
    pub(crate) fn request(&self, request: ClientRequestId) -> &ClientRequest {
        &self.requests[request.0 as usize]
    }

    /// Whether there is a request of this id.
    pub(crate) fn knows_request(&self, request: ClientRequestId) -> bool {
        (request.0 as usize) < self.requests.len()
    }

    /// An operation by its id.
    pub(crate) fn operation(&self, operation: OperationId) -> &Operation {
        &self.clients.operations[operation.0 as usize]
    }

    /// The operation that a request is for.
    fn operation_of(&self, request: ClientRequestId) -> &Operation {
        self.operation(self.request(request).operation)
    }

    /// An account by its index.
    pub(crate) fn account(&self, account: u32) -> &Account {
        &self.clients.accounts[account as usize]
    }

    /// An attempt by its id.
    pub(crate) fn attempt(&self, attempt: AttemptId) -> &Attempt {
        &self.attempts[attempt.0 as usize]
    }

    /// A server by its id.
    pub(crate) fn server(&self, server: ServerId) -> &Server {
        &self.servers[server.0 as usize]
    }

    fn server_mut(&mut self, server: ServerId) -> &mut Server {
        &mut self.servers[server.0 as usize]
    }

    /// All servers that there have been, with their ids, in the order of these.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        (0..).map(ServerId).zip(&self.servers)
    }
}
