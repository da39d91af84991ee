//! The emulated platform around the gateways: servers, the counter, the endpoint list, clients, the network between
//! them, and the faults of a run.
//!
//! The world does no I/O and reads no clock. An engine passes it events with the current time, asks it when the next
//! scheduled event is due, and carries out the [`Action`]s that it returns. The simulated engine and the loopback
//! engine run the same world. Each part keeps its state in its own type. [`World`] combines the parts; its methods are
//! in `requests` (client requests), `attempts` (attempts at servers), `platform` (counter calls, notifications and
//! gateway processes) and `faults`.

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

/// How long the rule checker keeps a request after its client timeout.
const CHECKER_RETENTION: Duration = Duration::from_secs(30);
/// How long a run continues after the last answer is due.
const END_MARGIN: Duration = Duration::from_millis(200);

/// Which side adds the network delay of responses.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ResponseDelay {
    /// The engine delays requests and responses itself.
    AddedByEngine,
    /// The engine's messages arrive without delay, so the world delays each response by the round trip.
    AddedByWorld,
}

/// The emulated platform of one run.
pub(crate) struct World {
    /// The experiment that is run.
    pub(crate) experiment: Experiment,
    /// Checks the rules.
    pub(crate) rule_checker: RuleChecker,
    /// Collects the counts and latencies of the run.
    pub(crate) metrics: MetricsRecorder,
    event_queue: EventQueue<WorldEvent>,
    clients: Clients,
    /// Requests, indexed by their id.
    requests: Vec<ClientRequest>,
    /// Attempts, indexed by their id.
    attempts: Vec<Attempt>,
    /// Servers, indexed by their id.
    servers: Vec<Server>,
    deduplication: DeduplicationTable,
    endpoint_list: EndpointList,
    counters: CounterService,
    gateways: Gateways,
    network: Network,
    replay: Replay,
    faults: FaultState,
    /// The random generator of the world, except for accounts, arrivals and operations. [`Clients`] draws these with
    /// its own generators, so that all variants of an experiment get the same arrivals.
    rng: WyRand,
    response_delay: ResponseDelay,
    /// How long clients send requests.
    length: Duration,
    /// How far the rules' limits in time may be exceeded, because events take time to reach the observer.
    slack: Duration,
    /// The end of the first second whose server load is not recorded yet, in seconds since the start of the run.
    next_second: u64,
}

impl World {
    /// Creates the world of an experiment with the random draws of `seed`. `slack` is how far the rules' limits in time
    /// may be exceeded, because events take time to reach the observer. If `recorded` is not empty, its requests are
    /// replayed in place of drawn arrivals.
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

    /// Adds the servers of the start, with machine types in proportion to their shares, to the zones in turn.
    fn add_first_servers(&mut self) {
        let fleet = &self.experiment.fleet;
        let server_count = fleet.servers;
        let zone_count = fleet.zones;
        let shares: Vec<f64> = fleet.machine_types.iter().map(|it| it.share).collect();
        let share_sum: f64 = shares.iter().sum();
        for index in 0..server_count {
            let position = (index as f64 + 0.5) / server_count as f64 * share_sum;
            let mut sum = 0.0;
            let machine_type = shares.iter().position(|share| {
                sum += share;
                position < sum
            });
            let server = self.add_server(index % zone_count, machine_type.unwrap_or(0));
            self.endpoint_list.append(EndpointChange {
                server,
                state: ListingState::Active,
                started_at: None,
            });
        }
    }

    /// Adds a server to the world, but not to the endpoint list. `machine_type` is the index of its machine type in the
    /// experiment.
    fn add_server(&mut self, zone: usize, machine_type: usize) -> ServerId {
        let fleet = &self.experiment.fleet;
        let machine_type = &fleet.machine_types[machine_type];
        let index = self.servers.len();
        let cell = index as u64 % fleet.cells;
        let spec = ServerSpec {
            name: format!("box-{index:04}"),
            zone,
            cell,
            machine_type: machine_type.name.clone(),
            cores: machine_type.cores,
            speed: machine_type.speed,
            max_queue: fleet.queue_capacity,
            initial_capacity_share: fleet.slow_start_capacity,
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

    /// Schedules the faults and the first arrivals. Gateways start with the complete current endpoint list.
    pub(crate) fn begin_run(&mut self) {
        self.endpoint_list.mark_all_notified();
        self.schedule_faults();
        self.schedule_arrivals();
    }

    /// Returns when the next scheduled event is due.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.event_queue.next_due()
    }

    /// Returns the end of the run, which leaves time for the last answers.
    pub(crate) fn end_time(&self) -> Duration {
        self.length + seconds(self.experiment.max_client_timeout()) + self.slack + END_MARGIN
    }

    /// Returns how long clients send requests.
    pub(crate) fn length(&self) -> Duration {
        self.length
    }

    /// Handles all scheduled events that are due by `now`, in order.
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

    /// Records the server load of each second that has ended, and drops expired idempotency keys and old requests.
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
                .forget_before(ended.saturating_sub(CHECKER_RETENTION));
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

    /// Returns the results of the run, without the fields that only one engine measures.
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

    // ---- look-ups ----

    /// Returns a request by its id.
    pub(crate) fn request(&self, request: ClientRequestId) -> &ClientRequest {
        &self.requests[request.0 as usize]
    }

    /// Returns whether a request with this id exists.
    pub(crate) fn knows_request(&self, request: ClientRequestId) -> bool {
        (request.0 as usize) < self.requests.len()
    }

    /// Returns an operation by its id.
    pub(crate) fn operation(&self, operation: OperationId) -> &Operation {
        &self.clients.operations[operation.0 as usize]
    }

    /// Returns the operation that a request is sent for.
    fn operation_of(&self, request: ClientRequestId) -> &Operation {
        self.operation(self.request(request).operation)
    }

    /// Returns an account by its index.
    pub(crate) fn account(&self, account: u32) -> &Account {
        &self.clients.accounts[account as usize]
    }

    /// Returns an attempt by its id.
    pub(crate) fn attempt(&self, attempt: AttemptId) -> &Attempt {
        &self.attempts[attempt.0 as usize]
    }

    /// Returns a server by its id.
    pub(crate) fn server(&self, server: ServerId) -> &Server {
        &self.servers[server.0 as usize]
    }

    fn server_mut(&mut self, server: ServerId) -> &mut Server {
        &mut self.servers[server.0 as usize]
    }

    /// Iterates over all servers, including removed ones, in the order of their ids.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        (0..).map(ServerId).zip(&self.servers)
    }
}
