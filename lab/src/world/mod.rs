//! The world in which gateways serve: servers, the counter, the endpoint list, clients, the network between them
//! and the faults of a run.
//!
//! It does no I/O and has no clock: an engine tells it what has come and what time it is, asks it when something
//! is due, and carries out the [`Action`]s that it leaves. Both engines play this one world. Each part owns its
//! state in a type of its own; [`World`] joins them, and has its methods beside the part that they concern:
//! requests of clients in `requests`, attempts at servers in `attempts`, faults in `faults`.

mod attempts;
mod clients;
pub(crate) mod counter;
mod deduplication;
mod endpoint_list;
mod event_queue;
mod faults;
mod gateways;
mod network;
mod requests;
pub(crate) mod server;
mod token_bucket;

pub(crate) use attempts::{Attempt, AttemptArrival};
pub(crate) use endpoint_list::EndpointChange;
pub(crate) use gateways::GatewayState;
pub(crate) use requests::ClientRequest;

use crate::events::{AttemptId, ClientRequestId, CounterCallId, OperationId, ServerId};
use crate::experiment::Experiment;
use crate::metrics::{MetricsRecorder, Results, ServerLoad};
use crate::record::RecordedRequest;
use crate::rule_checker::RuleChecker;
use clients::{Account, Clients, Operation};
use counter::{CallOutcome, CounterResponse, CounterService};
use deduplication::DeduplicationTable;
use endpoint_list::{EndpointList, Notification};
use event_queue::{EventQueue, WorldEvent};
use faults::FaultState;
use gateways::Gateways;
use nanorand::WyRand;
use network::Network;
use requests::Replay;
use server::{ListingState, LoadReport, Server, ServerSpec};
use std::ops::Range;
use std::time::Duration;

/// The rule checker forgets a request so long after its client timeout.
const CHECKER_MEMORY: Duration = Duration::from_secs(30);
/// A run goes on for so long after the last answer is due.
const END_MARGIN: Duration = Duration::from_millis(200);

/// What an engine has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// A client sends this request to its gateway.
    SendRequest(ClientRequestId),
    /// A client gives up waiting and closes its connection.
    CloseClient(ClientRequestId),
    /// A server answers an attempt, or ends its connection.
    SendResponse(AttemptId, ServerResponse),
    /// The counter answers a call.
    SendCounterResponse(CounterCallId, CounterResponse),
    /// Discovery notifies a gateway of the changes of the endpoint list up to and without this one.
    NotifyGateway {
        /// The gateway.
        gateway: usize,
        /// How many of the changes it knows from now on.
        change_count: usize,
    },
    /// A new server listens.
    AddServer(ServerId),
    /// A server refuses connections and resets the open ones.
    StopServer(ServerId),
    /// A server that was down listens again.
    RestartServer(ServerId),
    /// A gateway's process is killed.
    KillGateway(usize),
    /// A gateway is told to stop.
    StopGateway(usize),
    /// A gateway's process is started.
    StartGateway(usize),
    /// A gateway is told that discovery and counter have new addresses.
    MovePlatform(usize),
    /// All connections of the counter are reset.
    ResetCounterConnections,
    /// So many clients connect that send bytes that cannot be parsed.
    AddMisbehavingClients(usize),
}

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerResponse {
    /// The attempt was executed.
    Success {
        /// The units that it truly took, where servers report them.
        units: Option<f64>,
        /// The server's load, where servers report it.
        load: Option<LoadReport>,
    },
    /// Rejected unexecuted: the server is full or leaving.
    Busy,
    /// An error.
    Failed,
    /// Bytes that cannot be parsed; which kind of them.
    Malformed(u32),
}

/// Who adds the time that responses take on their way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ResponseDelay {
    /// The engine plays the network.
    AddedByEngine,
    /// The engine's messages arrive at once: the world answers later by the way there and back.
    AddedByWorld,
}

/// A value that holds for a while; 0 afterwards.
#[derive(Clone, Copy, Debug, Default)]
struct TimedValue {
    until: Duration,
    value: f64,
}

impl TimedValue {
    fn at(self, now: Duration) -> f64 {
        if now < self.until {
            self.value
        } else {
            0.0
        }
    }
}

/// A span of seconds; spans that make no sense are cut to what does.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
}

/// A span of milliseconds.
fn milliseconds(milliseconds: f64) -> Duration {
    seconds(milliseconds / 1e3)
}

/// The emulated platform of one run.
pub(crate) struct World {
    /// What is played.
    pub(crate) experiment: Experiment,
    /// Judges the rules.
    pub(crate) rule_checker: RuleChecker,
    /// Counts and measures.
    pub(crate) metrics: MetricsRecorder,
    event_queue: EventQueue,
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
            endpoint_list: EndpointList::new(gateway_count, experiment.discovery.late),
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
        let shares: Vec<f64> = fleet.kinds.iter().map(|kind| kind.share).collect();
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
        let kind = &fleet.kinds[kind];
        let index = self.servers.len();
        let cell = index as u64 % fleet.cells;
        let spec = ServerSpec {
            name: format!("box-{index:04}"),
            zone,
            cell,
            machine_type: kind.name.clone(),
            cores: kind.cores,
            speed: kind.speed,
            max_queue: fleet.queue,
            initial_power: fleet.cold_from,
            warm_up_seconds: fleet.cold,
            overload_factor: fleet.fall_multiple,
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
        self.length + seconds(self.experiment.longest_wait()) + self.slack + END_MARGIN
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
            let windows = self.experiment.routes.iter().map(|route| route.memory);
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

    // ---- the network ----

    /// One way between two ends in the same zone.
    pub(crate) fn in_zone_delay(&self) -> Duration {
        self.network.in_zone_delay()
    }

    /// What a response is later by for its way, where the engine does not add that itself.
    fn round_trip_delay(&self, one_way: Duration) -> Duration {
        match self.response_delay {
            ResponseDelay::AddedByEngine => Duration::ZERO,
            ResponseDelay::AddedByWorld => one_way * 2,
        }
    }

    /// A datagram from one gateway to another: after how long it arrives, if it does.
    pub(crate) fn on_datagram(
        &mut self,
        now: Duration,
        from: usize,
        to: usize,
    ) -> Option<Duration> {
        self.metrics.second_at(now).datagrams += 1;
        let receiver_is_up = self.gateways.state(to) != GatewayState::Down;
        self.network
            .send_datagram(now, from, to, receiver_is_up, &mut self.rng)
    }

    // ---- the counter ----

    /// A gateway's call on the counter has come.
    pub(crate) fn on_counter_call(
        &mut self,
        now: Duration,
        gateway: usize,
        name: u64,
        amount: f64,
        time_to_live: Duration,
        actions: &mut Vec<Action>,
    ) -> CounterCallId {
        self.metrics.second_at(now).counter_calls += 1;
        let (id, outcome) = self
            .counters
            .on_call(now, gateway, name, amount, time_to_live);
        match outcome {
            CallOutcome::DoneAt(done_at) => {
                let due = done_at + self.round_trip_delay(self.in_zone_delay());
                self.event_queue
                    .schedule(due, WorldEvent::CounterCallDone(id));
            }
            CallOutcome::Immediate(response) => {
                actions.push(Action::SendCounterResponse(id, response));
            }
            CallOutcome::NoAnswer => (),
        }
        id
    }

    fn on_counter_call_done(
        &mut self,
        now: Duration,
        id: CounterCallId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(response) = self.counters.finish_call(now, id) {
            actions.push(Action::SendCounterResponse(id, response));
        }
    }

    // ---- the endpoint list ----

    /// The list gives a server's state; each gateway is notified in its own time.
    fn change_endpoint(&mut self, now: Duration, server: ServerId, state: ListingState) {
        let started_at = self.server(server).started_at;
        let change = self.endpoint_list.append(EndpointChange {
            server,
            state,
            started_at,
        });
        self.server_mut(server).record_listed_start(change);
        self.endpoint_list.schedule_notifications(
            now,
            change,
            &mut self.rng,
            &mut self.event_queue,
        );
    }

    fn on_notification_due(
        &mut self,
        now: Duration,
        gateway: usize,
        change: usize,
        actions: &mut Vec<Action>,
    ) {
        match self.endpoint_list.on_notification_due(now, gateway, change) {
            Notification::Postponed(due) => {
                let event = WorldEvent::NotificationDue { gateway, change };
                self.event_queue.schedule(due, event);
            }
            Notification::AlreadyKnown => (),
            Notification::Notified { change_count } => {
                if self.gateways.state(gateway) != GatewayState::Down {
                    actions.push(Action::NotifyGateway {
                        gateway,
                        change_count,
                    });
                }
            }
        }
    }

    /// How many changes of the list a gateway was notified of.
    pub(crate) fn notified_change_count(&self, gateway: usize) -> usize {
        self.endpoint_list.notified_change_count(gateway)
    }

    /// Changes of the list by their numbers.
    pub(crate) fn endpoint_changes(&self, numbers: Range<usize>) -> Vec<EndpointChange> {
        self.endpoint_list.changes(numbers).to_vec()
    }

    /// The list after so many changes: each server's latest line, but for those that were removed.
    pub(crate) fn endpoint_list_after(&self, change_count: usize) -> Vec<EndpointChange> {
        self.endpoint_list.list_after(change_count)
    }

    /// Changes were written to a gateway.
    pub(crate) fn on_gateway_notified(
        &mut self,
        now: Duration,
        gateway: usize,
        changes: &[EndpointChange],
    ) {
        for change in changes {
            let ready = change.state == ListingState::Active;
            self.rule_checker
                .on_gateway_notified(now, gateway, change.server, ready);
        }
    }

    // ---- gateways ----

    /// The state of a gateway.
    pub(crate) fn gateway_state(&self, gateway: usize) -> GatewayState {
        self.gateways.state(gateway)
    }

    /// Whether a gateway has been ready for so long; one that was when the run began counts in any case.
    pub(crate) fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        self.gateways.is_ready_for(now, gateway, span)
    }

    /// Whether clients still open connections to a gateway.
    pub(crate) fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        self.gateways.accepts_connections(now, gateway)
    }

    /// So many connections of clients to a gateway have no request open on them.
    pub(crate) fn set_idle_connections(&mut self, gateway: usize, count: usize) {
        self.gateways.set_idle_connections(gateway, count);
    }

    /// A gateway serves from now on.
    pub(crate) fn on_gateway_ready(&mut self, now: Duration, gateway: usize) {
        self.gateways.set_state(now, gateway, GatewayState::Ready);
    }

    /// A gateway's process has ended by itself: what it had accepted and not answered is lost.
    pub(crate) fn on_gateway_exit(&mut self, now: Duration, gateway: usize) {
        if self.gateways.state(gateway) != GatewayState::Down {
            self.gateways.set_down(now, gateway, false);
        }
    }

    /// Whether a gateway's process was killed, which excuses what it had not answered.
    pub(crate) fn was_killed(&self, gateway: usize) -> bool {
        self.gateways.was_killed(gateway)
    }

    fn on_gateway_kill(&mut self, now: Duration, gateway: usize, actions: &mut Vec<Action>) {
        let was_stopping = self.gateways.state(gateway) == GatewayState::Stopping;
        self.gateways.set_down(now, gateway, true);
        if was_stopping {
            self.rule_checker.on_gateway_stopped(now, gateway);
        } else {
            self.rule_checker.on_gateway_killed(gateway);
        }
        actions.push(Action::KillGateway(gateway));
    }

    fn on_gateway_start(&mut self, now: Duration, gateway: usize, actions: &mut Vec<Action>) {
        self.gateways
            .set_state(now, gateway, GatewayState::Starting);
        self.rule_checker.on_gateway_started(gateway);
        actions.push(Action::StartGateway(gateway));
    }
}
