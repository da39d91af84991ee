//! The world in which gateways serve: app servers, the counter, the server list, clients, the network between
//! gateways, and the troubles of a day. No I/O and no clock: an engine tells it what has come and what time it
//! is, asks it what is due, and carries out the [`Action`]s it leaves. Both engines play this one world.

pub mod clients;
pub mod counter;
pub mod event_queue;
mod faults;
pub mod server;
pub mod token_bucket;

use crate::events::{
    AttemptEnd, AttemptId, ClientOutcome, ClientRequestId, CounterCallId, OperationId, ServerId,
};
use crate::experiment::{Experiment, Group};
use crate::metrics::{MetricsRecorder, Results, ServerLoad};
use crate::record::Recorded;
use crate::rule_checker::RuleChecker;
use clients::{Account, Clients, Operation};
use counter::{Call, Counter, CounterResponse, Turn};
use event_queue::{EventQueue, WorldEvent};
use nanorand::{Rng, WyRand};
use server::{Build, Health, ListingState, LoadReport, Server, Taken, Task};
use std::collections::BTreeMap;
use std::time::Duration;

/// What an engine has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
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
pub enum ServerResponse {
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

/// One request as a client sends it.
pub struct ClientRequest {
    /// What the client wants by it.
    pub operation: OperationId,
    /// The gateway that the front routed it to.
    pub gateway: usize,
    /// When it was meant to be sent: latency counts from here.
    pub scheduled_at: Duration,
    /// When its client timeout ends.
    pub deadline: Duration,
    /// The client has its answer, or waits no longer.
    pub closed: bool,
    /// At least one attempt for it has reached a server.
    forwarded: bool,
}

/// One attempt of a gateway at a server.
pub struct Attempt {
    /// The request that it serves.
    pub request: ClientRequestId,
    /// The server that it reached.
    pub server: ServerId,
    gateway: usize,
    /// The server's incarnation at that time; a later one knows nothing of it.
    server_incarnation: u32,
    ended: bool,
    response: Option<ServerResponse>,
}

/// One change of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// The server that it concerns.
    pub server: ServerId,
    /// What the list says of it from now on.
    pub state: ListingState,
    /// When the server's process started; none: long before the run.
    pub started_at: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GatewayState {
    /// Not ready yet.
    Starting,
    Ready,
    /// Told to stop.
    Stopping,
    Down,
}

struct Gateway {
    state: GatewayState,
    since: Duration,
    /// Where it is down: it was killed, and has not ended by itself.
    killed: bool,
    /// The latest moment at which a change was or will be told, as changes come in order.
    told: Duration,
    upto: usize,
    counter: usize,
    /// Connections of clients that nothing is open on; none in simulated time.
    resting: usize,
    /// Datagrams it may still take in.
    taken: f64,
    filled: Duration,
}

/// For so long after a gateway was told to stop, others connect to it still.
const NOTICED: Duration = Duration::from_millis(300);

pub struct World {
    pub experiment: Experiment,
    pub servers: Vec<Server>,
    pub clients: Clients,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    changes: Vec<EndpointChange>,
    pub rule_checker: RuleChecker,
    pub metrics: MetricsRecorder,
    event_queue: EventQueue,
    counters: Vec<Counter>,
    counts: BTreeMap<CounterCallId, Call>,
    next_count: u32,
    gateways: Vec<Gateway>,
    replay: Vec<Recorded>,
    replay_accounts: BTreeMap<u64, usize>,
    /// How much later answers leave than the work is done: what the engine does not carry itself.
    lag: bool,
    chance: WyRand,
    length: Duration,
    slack: Duration,
    /// Troubles that hold now.
    silent_list: Duration,
    late_list: (Duration, f64),
    spoilt: (Duration, f64),
    cut: Vec<(usize, Duration)>,
    deaf: (Duration, f64),
    scan: Vec<(Duration, Duration, f64)>,
    taken_servers: BTreeMap<usize, Vec<ServerId>>,
    taken_gateways: BTreeMap<usize, Vec<usize>>,
    /// When tokens were first begun, by the group of servers that drops their repeats.
    tokens: BTreeMap<(u64, u64), Duration>,
    last_busy: Vec<f64>,
    next_busy: u64,
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
}

fn ms(milliseconds: f64) -> Duration {
    secs(milliseconds / 1e3)
}

impl World {
    /// `lag`: the engine carries messages at once, so the way there and back is added to answers here.
    /// `slack`: what the referee allows for what is under way.
    pub fn new(
        terms: &Experiment,
        seed: u64,
        lag: bool,
        slack: Duration,
        replay: Vec<Recorded>,
    ) -> World {
        let length = secs(terms.seconds);
        let mut world = World {
            servers: Vec::new(),
            clients: Clients::new(terms, seed),
            requests: Vec::new(),
            attempts: Vec::new(),
            changes: Vec::new(),
            rule_checker: RuleChecker::new(terms, slack),
            metrics: MetricsRecorder::new(secs(terms.warm_up), length),
            event_queue: EventQueue::default(),
            counters: Vec::new(),
            counts: BTreeMap::new(),
            next_count: 0,
            gateways: Vec::new(),
            replay,
            replay_accounts: BTreeMap::new(),
            lag,
            chance: WyRand::new_seed(seed ^ 0xc4),
            length,
            slack,
            silent_list: Duration::ZERO,
            late_list: (Duration::ZERO, 0.0),
            spoilt: (Duration::ZERO, 0.0),
            cut: Vec::new(),
            deaf: (Duration::ZERO, 0.0),
            scan: Vec::new(),
            taken_servers: BTreeMap::new(),
            taken_gateways: BTreeMap::new(),
            tokens: BTreeMap::new(),
            last_busy: Vec::new(),
            next_busy: 1,
            experiment: terms.clone(),
        };
        world.counters = vec![
            Counter::new(&world.counter_terms()),
            Counter::new(&world.counter_terms()),
        ];
        for _ in 0..terms.fleet.gateways {
            world.gateways.push(Gateway {
                state: GatewayState::Starting,
                since: Duration::ZERO,
                killed: false,
                told: Duration::ZERO,
                upto: 0,
                counter: 0,
                resting: 0,
                taken: terms.network.peer_rate,
                filled: Duration::ZERO,
            });
        }
        let all: f64 = terms.fleet.kinds.iter().map(|kind| kind.share).sum();
        for place in 0..terms.fleet.servers {
            // Kinds in their shares, spread over the zones alike.
            let at = (place as f64 + 0.5) / terms.fleet.servers as f64 * all;
            let mut sum = 0.0;
            let found = terms.fleet.kinds.iter().position(|kind| {
                sum += kind.share;
                at < sum
            });
            world.build(place % terms.fleet.zones, found.unwrap_or(0));
        }
        for account in 0..world.clients.accounts.len() {
            world
                .rule_checker
                .account(account as u32, world.clients.accounts[account].plan);
        }
        world
    }

    /// A new server: listed, and of no age.
    fn build(&mut self, zone: usize, kind: usize) -> ServerId {
        let (fleet, place) = (&self.experiment.fleet, self.servers.len());
        let it = &fleet.kinds[kind];
        let build = Build {
            cores: it.cores,
            speed: it.speed,
            queue: fleet.queue,
            cold_from: fleet.cold_from,
            cold: fleet.cold,
            fall_multiple: fleet.fall_multiple,
            mean_work: self.experiment.mean_work(),
            overload_for: secs(fleet.overload_for),
        };
        let (cell, uid) = (place as u64 % fleet.cells, format!("box-{place:04}"));
        self.servers
            .push(Server::new(uid, zone, cell, it.name.clone(), build));
        self.last_busy.push(0.0);
        let server = ServerId(place as u32);
        self.rule_checker.server(server, cell, zone);
        let started = self.servers[place].started_at;
        self.changes.push(EndpointChange {
            server,
            state: ListingState::Active,
            started_at: started,
        });
        server
    }

    /// The day begins; the gateways' first list is what stands now.
    pub fn begin_run(&mut self) {
        for gateway in &mut self.gateways {
            gateway.upto = self.changes.len();
        }
        for place in 0..self.experiment.troubles.len() {
            self.expect(place);
        }
        if self.replay.is_empty() {
            self.next_arrival(Duration::ZERO);
        } else {
            for (place, recorded) in self.replay.iter().enumerate() {
                self.event_queue
                    .at(recorded.at, WorldEvent::Replayed(place));
            }
        }
    }

    /// A request by its id.
    pub fn request(&self, request: ClientRequestId) -> &ClientRequest {
        &self.requests[request.0 as usize]
    }

    /// Whether there is a request of this id.
    pub fn knows_request(&self, request: ClientRequestId) -> bool {
        (request.0 as usize) < self.requests.len()
    }

    /// An operation by its id.
    pub fn operation(&self, operation: OperationId) -> &Operation {
        &self.clients.operations[operation.0 as usize]
    }

    /// An account by its index.
    pub fn account(&self, account: u32) -> &Account {
        &self.clients.accounts[account as usize]
    }

    /// An attempt by its id.
    pub fn attempt(&self, attempt: AttemptId) -> &Attempt {
        &self.attempts[attempt.0 as usize]
    }

    /// A server by its id.
    pub fn server(&self, server: ServerId) -> &Server {
        &self.servers[server.0 as usize]
    }

    /// All servers that there have been, with their ids, in the order of these.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        (0..).map(ServerId).zip(&self.servers)
    }

    /// Changes of the endpoint list by their numbers.
    pub fn endpoint_changes(&self, numbers: std::ops::Range<usize>) -> Vec<EndpointChange> {
        self.changes[numbers].to_vec()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.event_queue.next()
    }

    /// When all is over, the last answers included.
    pub fn end_time(&self) -> Duration {
        self.length + secs(self.experiment.longest_wait()) + self.slack + ms(200.0)
    }

    /// What the day has brought, as both engines report it.
    pub fn results(&mut self, engine: &str, title: &str, variant: &str, seed: u64) -> Results {
        let mut results = self.metrics.results();
        (results.experiment, results.variant) = (title.into(), variant.into());
        (results.engine, results.seed) = (engine.into(), seed);
        let fleet = &self.experiment.fleet;
        (results.gateways, results.servers) = (fleet.gateways, fleet.servers);
        results.violations = std::mem::take(&mut self.rule_checker.broken);
        results.violation_count = self.rule_checker.count;
        results.server_load = self
            .metrics
            .server_load()
            .map(|(server, busy_share)| ServerLoad {
                server: self.servers[server as usize].name.clone(),
                busy_share: busy_share.to_vec(),
            })
            .collect();
        results
    }

    pub fn length(&self) -> Duration {
        self.length
    }

    fn counter_terms(&self) -> counter::Terms {
        let it = &self.experiment.counter;
        counter::Terms {
            parts: it.parts,
            bears: it.bears,
            latency: ms(it.latency_ms),
            queue: it.queue,
        }
    }

    /// One way between a gateway and a server.
    pub fn one_way_delay(&self, gateway: usize, server: ServerId) -> Duration {
        let near = gateway % self.experiment.fleet.zones == self.servers[server.0 as usize].zone;
        ms(if near {
            self.experiment.network.near_ms
        } else {
            self.experiment.network.far_ms
        })
    }

    pub fn in_zone_delay(&self) -> Duration {
        ms(self.experiment.network.near_ms)
    }

    fn lag(&self, way: Duration) -> Duration {
        if self.lag {
            way * 2
        } else {
            Duration::ZERO
        }
    }

    /// Does what is due by now.
    pub fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some((when, due)) = self.event_queue.pop(now) {
            self.count_busy(when);
            match due {
                WorldEvent::Arrival => self.arrival(when, actions),
                WorldEvent::Replayed(place) => self.replayed(when, place, actions),
                WorldEvent::Again(origin) => self.ask(when, origin, actions),
                WorldEvent::Leaves(ask) => self.leaves(when, ask, actions),
                WorldEvent::TimeUp(ask) => self.time_up(when, ask),
                WorldEvent::Served(server, of) => self.served(when, server, of),
                WorldEvent::Said(of) => self.said(when, of, actions),
                WorldEvent::Counted(count) => self.counted(when, count, actions),
                WorldEvent::Told { gateway, change } => self.tell(when, gateway, change, actions),
                WorldEvent::Trouble { place, step } => self.trouble(when, place, step, actions),
                WorldEvent::TroubleEnds(place) => self.trouble_ends(when, place, actions),
                WorldEvent::Returns(server) => self.returns(when, server, actions),
                WorldEvent::Retires(server) => self.retires(when, server, actions),
                WorldEvent::Kill(gateway) => self.kill(when, gateway, actions),
                WorldEvent::Start(gateway) => self.start(when, gateway, actions),
            }
        }
        self.count_busy(now);
    }

    /// Once a second what each server was busy is noted; the referee forgets what is long over.
    fn count_busy(&mut self, now: Duration) {
        while now.as_secs() >= self.next_busy {
            let counted = self.next_busy <= self.length.as_secs();
            for (place, server) in self.servers.iter().enumerate().filter(|_| counted) {
                let spent = server.busy - self.last_busy[place];
                let busy_share = (spent / server.build.cores as f64) as f32;
                self.metrics.record_server_load(
                    place as u32,
                    self.next_busy as usize - 1,
                    busy_share,
                );
                self.last_busy[place] = server.busy;
            }
            let memory = self
                .experiment
                .routes
                .iter()
                .map(|route| route.memory)
                .fold(0.0, f64::max);
            self.tokens.retain(|_, begun| *begun + secs(memory) >= now);
            let long = Duration::from_secs(30);
            self.rule_checker
                .forget(Duration::from_secs(self.next_busy).saturating_sub(long));
            self.next_busy += 1;
        }
    }

    // ---- clients ----

    fn next_arrival(&mut self, now: Duration) {
        if let Some(next) = self.clients.next(now).filter(|next| *next < self.length) {
            self.event_queue.at(next, WorldEvent::Arrival);
        }
    }

    fn arrival(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(mut account) = self.clients.arrives(now) {
            let strange = self
                .scan
                .iter()
                .find(|(from, to, _)| (*from..*to).contains(&now))
                .map(|it| it.2);
            if strange.is_some_and(|share| self.chance.generate::<f64>() < share) {
                account = self
                    .clients
                    .stranger(&self.experiment, self.clients.accounts[account].plan);
                self.rule_checker
                    .account(account as u32, self.clients.accounts[account].plan);
            }
            let origin = self.clients.want(now, account, &self.experiment);
            self.wanted(now, origin, actions);
        }
        self.next_arrival(now);
    }

    fn replayed(&mut self, now: Duration, place: usize, actions: &mut Vec<Action>) {
        let recorded = self.replay[place].clone();
        let Some(route) = self.experiment.route(&recorded.route) else {
            return;
        };
        let Some(plan) = self.experiment.plan(&recorded.plan) else {
            return;
        };
        let account = match self.replay_accounts.get(&recorded.account) {
            Some(account) => *account,
            None => {
                let account = self.clients.stranger(&self.experiment, plan);
                self.clients.accounts[account].name = recorded.account;
                self.rule_checker.account(account as u32, plan);
                self.replay_accounts.insert(recorded.account, account);
                account
            }
        };
        let units = recorded
            .units
            .clamp(1.0, f64::from(self.experiment.load.units_top));
        let origin = self
            .clients
            .wants(now, account, route, units, &self.experiment);
        self.wanted(now, origin, actions);
    }

    fn value(&self, origin: usize) -> f64 {
        let it = &self.clients.operations[origin];
        let plan = &self.experiment.plans[self.clients.accounts[it.account as usize].plan];
        self.experiment.routes[it.route].billed_value * plan.price * it.units
    }

    /// Something new is wanted: what is inside the quota counts as asked for.
    fn wanted(&mut self, now: Duration, origin: usize, actions: &mut Vec<Action>) {
        if self.clients.operations[origin].inside {
            self.metrics.second_at(now).requested_value += self.value(origin);
        }
        self.ask(now, OperationId(origin as u32), actions);
    }

    /// A client asks, at the gateway that the front leads it to.
    fn ask(&mut self, now: Duration, id: OperationId, actions: &mut Vec<Action>) {
        let (account, route) = {
            let origin = &self.clients.operations[id.0 as usize];
            if origin.done || now >= self.length {
                return;
            }
            (origin.account as usize, origin.route)
        };
        self.metrics.second_at(now).requests += 1;
        let notices = secs(self.experiment.load.front_notices);
        let order = self.clients.order(account, now);
        let led = order.into_iter().find(|gateway| {
            let it = &self.gateways[*gateway];
            match it.state {
                GatewayState::Ready => true,
                GatewayState::Down => now < it.since + notices,
                // New connections keep coming for a while, and those that are open are used until they end.
                GatewayState::Stopping => self.accepts_connections(now, *gateway) || it.resting > 0,
                GatewayState::Starting => false,
            }
        });
        let there = led.filter(|gateway| self.gateways[*gateway].state != GatewayState::Down);
        let Some(gateway) = there else {
            self.metrics.second_at(now).unreachable += 1;
            return self.again(now, id, None);
        };
        let timeout = secs(self.experiment.routes[route].client_timeout);
        let (until, ask) = (now + timeout, ClientRequestId(self.requests.len() as u32));
        self.requests.push(ClientRequest {
            operation: id,
            gateway,
            scheduled_at: now,
            deadline: until,
            closed: false,
            forwarded: false,
        });
        let patience = self.experiment.load.patience * self.clients.pressure.patience;
        let patience = patience + (1.0 - patience) * self.chance.generate::<f64>();
        if patience < 1.0 {
            self.event_queue
                .at(now + timeout.mul_f64(patience), WorldEvent::Leaves(ask));
        }
        self.event_queue
            .at(until + self.slack, WorldEvent::TimeUp(ask));
        actions.push(Action::SendRequest(ask));
    }

    /// The gateway has taken it: from now on an answer is owed.
    pub fn on_request_accepted(&mut self, now: Duration, ask: ClientRequestId) {
        let it = &self.requests[ask.0 as usize];
        let origin = &self.clients.operations[it.operation.0 as usize];
        let times = (now, it.deadline);
        self.rule_checker.asked(
            ask,
            it.gateway,
            origin.route,
            origin.account,
            origin.units,
            times,
        );
    }

    /// Whether new connections still come to a gateway.
    pub fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        let it = &self.gateways[gateway];
        it.state != GatewayState::Stopping || now < it.since + NOTICED
    }

    /// No gateway has taken it: its process has gone, perhaps in the moment in which it was written.
    pub fn on_request_not_accepted(&mut self, now: Duration, ask: ClientRequestId) {
        self.rule_checker.not_taken(ask);
        let it = &mut self.requests[ask.0 as usize];
        if it.closed {
            return;
        }
        it.closed = true;
        let origin = it.operation;
        self.metrics.second_at(now).unreachable += 1;
        self.again(now, origin, None);
    }

    /// The client comes again, if it does: when it was told to, or after a wait of its own.
    fn again(&mut self, now: Duration, id: OperationId, advice: Option<Duration>) {
        let load = &self.experiment.load;
        let origin = &mut self.clients.operations[id.0 as usize];
        if origin.retries >= load.retries || origin.done {
            return;
        }
        origin.retries += 1;
        let heeds = self.clients.accounts[origin.account as usize].heeds;
        let heeds = heeds && self.chance.generate::<f64>() >= self.clients.pressure.heedless;
        let own = secs(load.retry_wait).mul_f64(0.5 + self.chance.generate::<f64>());
        let wait = advice.filter(|_| heeds).unwrap_or(own);
        self.event_queue.at(now + wait, WorldEvent::Again(id));
    }

    fn leaves(&mut self, now: Duration, ask: ClientRequestId, actions: &mut Vec<Action>) {
        let it = &mut self.requests[ask.0 as usize];
        if it.closed {
            return;
        }
        it.closed = true;
        let origin = it.operation;
        self.rule_checker.left(now, ask);
        self.metrics.second_at(now).unanswered += 1;
        actions.push(Action::CloseClient(ask));
        self.again(now, origin, None);
    }

    fn time_up(&mut self, now: Duration, ask: ClientRequestId) {
        self.rule_checker.time_up(now, ask);
        let it = &mut self.requests[ask.0 as usize];
        if !it.closed {
            it.closed = true;
            let origin = it.operation;
            self.metrics.second_at(now).unanswered += 1;
            self.again(now, origin, None);
        }
    }

    /// A client has heard: the value's key if it was served, or how long to wait if it was told.
    pub fn on_final_answer(
        &mut self,
        now: Duration,
        ask: ClientRequestId,
        verdict: ClientOutcome,
        advice: Option<Duration>,
    ) {
        self.rule_checker.answered(now, ask, verdict);
        let it = &mut self.requests[ask.0 as usize];
        if it.closed {
            return;
        }
        it.closed = true;
        let (id, took) = (it.operation, now.saturating_sub(it.scheduled_at));
        let origin = &self.clients.operations[id.0 as usize];
        let (account, units) = (origin.account as usize, origin.units);
        match verdict {
            ClientOutcome::Served { .. } => {
                self.metrics.record_success(now, took);
                let route = &self.experiment.routes[origin.route];
                let worth = if took <= secs(route.latency_target) {
                    1.0
                } else {
                    route.late_worth
                };
                let (born, first) = (it.scheduled_at, !origin.earned && origin.within);
                if first {
                    let value = self.value(id.0 as usize);
                    self.metrics.second_at(born).value_in_time += value * worth;
                }
                let origin = &mut self.clients.operations[id.0 as usize];
                (origin.earned, origin.done) = (true, true);
            }
            ClientOutcome::Rejected => {
                self.metrics.record_rejection(now, took);
                let cap = self.experiment.plans[self.clients.accounts[account].plan].cap;
                let it = &mut self.clients.accounts[account];
                let room = it.sent.holds(now, units) && (cap <= 0.0 || it.out < cap);
                let half = it.sent.holds(now, units.max(it.sent.depth / 2.0))
                    && (cap <= 0.0 || it.out < cap / 2.0);
                let second = self.metrics.second_at(now);
                second.rejected_within_quota += u64::from(room);
                second.rejected_with_half_quota += u64::from(half);
                self.again(now, id, advice);
            }
            ClientOutcome::Failed | ClientOutcome::Disconnected => {
                self.metrics.record_failure(now, took);
                self.again(now, id, None);
            }
        }
    }

    // ---- servers ----

    /// Whether a gateway and a server can hear each other.
    fn apart(&self, now: Duration, gateway: usize, zone: usize) -> bool {
        let at = gateway % self.experiment.fleet.zones;
        at != zone
            && self
                .cut
                .iter()
                .any(|(cut, until)| now < *until && (at == *cut || zone == *cut))
    }

    /// Whether a new connection is refused; one that is not may still be met by silence.
    pub fn refuses_connections(&self, server: ServerId) -> bool {
        let it = &self.servers[server.0 as usize];
        matches!(it.health, Health::Down | Health::Fallen)
    }

    pub fn on_connect(&mut self, now: Duration, server: ServerId) {
        self.metrics.second_at(now).new_connections += 1;
        self.servers[server.0 as usize].connections += 1;
    }

    pub fn on_disconnect(&mut self, server: ServerId) {
        let it = &mut self.servers[server.0 as usize];
        it.connections = it.connections.saturating_sub(1);
    }

    /// A try has come whole, over a fresh connection or one in use.
    pub fn on_attempt_arrival(
        &mut self,
        now: Duration,
        gateway: usize,
        server: ServerId,
        (ask, fresh): (ClientRequestId, bool),
        actions: &mut Vec<Action>,
    ) -> AttemptId {
        let id = AttemptId(self.attempts.len() as u32);
        let life = self.servers[server.0 as usize].incarnation;
        self.attempts.push(Attempt {
            request: ask,
            server,
            gateway,
            server_incarnation: life,
            ended: false,
            response: None,
        });
        self.metrics.second_at(now).attempts += 1;
        self.rule_checker.came(now, id, ask, gateway, server);
        let it = &mut self.requests[ask.0 as usize];
        let (first, born) = (!std::mem::replace(&mut it.forwarded, true), it.scheduled_at);
        let origin = &self.clients.operations[it.operation.0 as usize];
        let (account, units, work, key, route) = (
            origin.account as usize,
            origin.units,
            origin.work,
            origin.key,
            origin.route,
        );
        self.clients.accounts[account].out += 1.0;
        if first {
            let origin = it.operation;
            self.metrics
                .record_first_attempt(now, now.saturating_sub(born));
            let within = self.sent_on(now, account, units, route);
            self.clients.operations[origin.0 as usize].within = within;
        }
        let silent = self.servers[server.0 as usize].health == Health::Silent;
        let apart = self.apart(now, gateway, self.servers[server.0 as usize].zone);
        if silent || apart || self.servers[server.0 as usize].mute.contains(&route) {
            return id;
        }
        let terms = &self.experiment.routes[route];
        let memory = secs(terms.memory);
        let fleet = &self.experiment.fleet;
        let it = &mut self.servers[server.0 as usize];
        if it.connections > fleet.connections {
            self.will_say(now, id, ServerResponse::Busy);
            return id;
        }
        if terms.memory > 0.0 {
            let group = match terms.group {
                Group::All => 0,
                Group::Cell => 1 + it.cell,
                Group::Zone => 1 + it.zone as u64,
            };
            if self
                .tokens
                .get(&(group, key))
                .is_some_and(|begun| *begun + memory >= now)
            {
                // A repeat: dropped, and answered with what was made before.
                self.will_say(
                    now,
                    id,
                    ServerResponse::Success {
                        units: None,
                        load: None,
                    },
                );
                return id;
            }
            self.tokens.insert((group, key), now);
        }
        let handshake = if fresh { fleet.handshake_ms / 1e3 } else { 0.0 };
        let told =
            it.start_told.0 == it.started_at && self.gateways[gateway].upto > it.start_told.1;
        let task = Task {
            of: id,
            work: work + handshake,
            told,
        };
        let fallen = it.health;
        match it.take(now, task) {
            Taken::Begun(done) => self.event_queue.at(done, WorldEvent::Served(server, id)),
            Taken::Waits => (),
            Taken::TurnedAway => self.will_say(now, id, ServerResponse::Busy),
        }
        if fallen == Health::Up && self.servers[server.0 as usize].health == Health::Fallen {
            if self.servers[server.0 as usize].pushed_knowingly() {
                self.rule_checker.fell(now, server);
            }
            self.servers[server.0 as usize].crash(Health::Fallen);
            actions.push(Action::StopServer(server));
        }
        id
    }

    /// A first try takes its units from the quota, as it truly is.
    fn sent_on(&mut self, now: Duration, account: usize, units: f64, route: usize) -> bool {
        let it = &mut self.clients.accounts[account];
        let plan = &self.experiment.plans[it.plan];
        let fits = it.sent.pay(now, units);
        let value = self.experiment.routes[route].billed_value * plan.price * units;
        let second = self.metrics.second_at(now);
        second.forwarded_units += units;
        if !fits {
            second.over_quota_units += units;
            second.over_quota_cost += value * plan.over_cost;
        }
        fits
    }

    /// The gateway has given a try up, or its connection has gone.
    pub fn on_attempt_abandoned(&mut self, now: Duration, of: AttemptId) {
        let it = &self.attempts[of.0 as usize];
        let (server, life) = (it.server, it.server_incarnation);
        if it.ended {
            return;
        }
        self.ended(now, of, AttemptEnd::Abandoned);
        let at = &mut self.servers[server.0 as usize];
        if at.incarnation == life && (!at.give_up(of) || self.experiment.fleet.stops_work) {
            self.next_at(now, server, of);
        }
    }

    fn next_at(&mut self, now: Duration, server: ServerId, of: AttemptId) {
        if let Some((next, done)) = self.servers[server.0 as usize].over(now, of) {
            self.event_queue.at(done, WorldEvent::Served(server, next));
        }
    }

    fn ended(&mut self, now: Duration, of: AttemptId, end: AttemptEnd) {
        let it = &mut self.attempts[of.0 as usize];
        if std::mem::replace(&mut it.ended, true) {
            return;
        }
        let ask = it.request;
        let account =
            self.clients.operations[self.requests[ask.0 as usize].operation.0 as usize].account;
        self.clients.accounts[account as usize].out -= 1.0;
        self.rule_checker.over(now, of, ask, end);
    }

    /// A server is done with a try's work.
    fn served(&mut self, now: Duration, server: ServerId, of: AttemptId) {
        let it = &self.attempts[of.0 as usize];
        let at = &mut self.servers[server.0 as usize];
        if it.server_incarnation != at.incarnation {
            return;
        }
        let every = secs(self.experiment.fleet.report_every);
        let report = (!every.is_zero()).then(|| at.report(now, every));
        let (failing, silent) = (at.failing, at.health == Health::Silent);
        self.next_at(now, server, of);
        if silent || self.attempts[of.0 as usize].ended {
            return;
        }
        let origin = &self.clients.operations[self.requests
            [self.attempts[of.0 as usize].request.0 as usize]
            .operation
            .0 as usize];
        let (units, account) = (origin.true_units, origin.account as usize);
        let asked = origin.units;
        let drawn = self.chance.generate::<f64>();
        let spoilt = if now < self.spoilt.0 {
            self.spoilt.1
        } else {
            0.0
        };
        let says = if drawn < failing {
            ServerResponse::Failed
        } else if self.chance.generate::<f64>() < spoilt {
            ServerResponse::Malformed(self.chance.generate::<u32>() % 6)
        } else {
            self.clients.accounts[account]
                .sent
                .settle(now, units - asked);
            ServerResponse::Success {
                units: self.experiment.load.settles.then_some(units),
                load: report,
            }
        };
        self.will_say(now, of, says);
    }

    /// What a server says arrives after the way back, where the engine does not add that itself.
    fn will_say(&mut self, now: Duration, of: AttemptId, says: ServerResponse) {
        let it = &mut self.attempts[of.0 as usize];
        it.response = Some(says);
        let (gateway, server) = (it.gateway, it.server);
        let lag = self.lag(self.one_way_delay(gateway, server));
        self.event_queue.at(now + lag, WorldEvent::Said(of));
    }

    fn said(&mut self, now: Duration, of: AttemptId, actions: &mut Vec<Action>) {
        let it = &self.attempts[of.0 as usize];
        let (Some(says), false) = (it.response, it.ended) else {
            return;
        };
        if self.apart(now, it.gateway, self.servers[it.server.0 as usize].zone) {
            return;
        }
        let end = match says {
            ServerResponse::Busy => AttemptEnd::Rejected,
            _ => AttemptEnd::Answered,
        };
        self.ended(now, of, end);
        actions.push(Action::SendResponse(of, says));
    }

    /// A probe of a server's load, where there may be any and it can answer.
    pub fn on_load_probe(&mut self, now: Duration, server: ServerId) -> Option<LoadReport> {
        let fleet = &self.experiment.fleet;
        let (may, every) = (fleet.probes, secs(fleet.report_every));
        let it = &mut self.servers[server.0 as usize];
        (may && it.health == Health::Up).then(|| it.report(now, every))
    }

    // ---- the counter ----

    /// A call has come; nothing is answered if it is silent.
    pub fn on_counter_call(
        &mut self,
        now: Duration,
        gateway: usize,
        name: u64,
        add: f64,
        keep: Duration,
        actions: &mut Vec<Action>,
    ) -> CounterCallId {
        self.next_count += 1;
        let id = CounterCallId(self.next_count);
        self.metrics.second_at(now).counter_calls += 1;
        let counter = self.gateways[gateway].counter;
        let call = Call {
            gateway,
            counter,
            name,
            add,
            keep: keep.min(Duration::from_secs(60)),
        };
        let terms = self.counter_terms();
        match self.counters[counter].take(now, &call, &terms) {
            Turn::At(when) => {
                self.counts.insert(id, call);
                self.event_queue.at(
                    when + self.lag(self.in_zone_delay()),
                    WorldEvent::Counted(id),
                );
            }
            Turn::Now(says) => actions.push(Action::SendCounterResponse(id, says)),
            Turn::Never => (),
        }
        id
    }

    fn counted(&mut self, now: Duration, id: CounterCallId, actions: &mut Vec<Action>) {
        let Some(call) = self.counts.remove(&id) else {
            return;
        };
        let counter = &mut self.counters[call.counter];
        if counter.mode == counter::Mode::Silent {
            return;
        }
        let total = counter.add(now, &call);
        actions.push(Action::SendCounterResponse(
            id,
            CounterResponse::Total(total),
        ));
    }

    // ---- the list ----

    /// The list changes; each gateway hears of it in its own time.
    fn change(&mut self, now: Duration, server: ServerId, listing: ListingState) {
        let started = self.servers[server.0 as usize].started_at;
        let change = self.changes.len();
        self.changes.push(EndpointChange {
            server,
            state: listing,
            started_at: started,
        });
        let it = &mut self.servers[server.0 as usize];
        if it.start_told.0 != started {
            it.start_told = (started, change);
        }
        let more = if now < self.late_list.0 {
            self.late_list.1
        } else {
            0.0
        };
        for gateway in 0..self.gateways.len() {
            let late = self.experiment.discovery.late * self.chance.generate::<f64>() + more;
            let when = (now + secs(late)).max(self.gateways[gateway].told);
            self.gateways[gateway].told = when;
            self.event_queue
                .at(when, WorldEvent::Told { gateway, change });
        }
    }

    fn tell(&mut self, now: Duration, gateway: usize, change: usize, actions: &mut Vec<Action>) {
        if now < self.silent_list {
            return self
                .event_queue
                .at(self.silent_list, WorldEvent::Told { gateway, change });
        }
        let it = &mut self.gateways[gateway];
        if it.upto > change {
            return;
        }
        it.upto = change + 1;
        if it.state != GatewayState::Down {
            actions.push(Action::NotifyGateway {
                gateway,
                change_count: change + 1,
            });
        }
    }

    /// How much of the list a gateway has been told so far.
    pub fn notified_change_count(&self, gateway: usize) -> usize {
        self.gateways[gateway].upto
    }

    /// The list as it stands after so many changes: each server's latest line, but for those that have left.
    pub fn endpoint_list_after(&self, upto: usize) -> Vec<EndpointChange> {
        let mut list: BTreeMap<ServerId, &EndpointChange> = BTreeMap::new();
        for change in &self.changes[..upto] {
            list.insert(change.server, change);
        }
        list.into_values()
            .filter(|it| it.state != ListingState::Removed)
            .cloned()
            .collect()
    }

    /// Changes were written to a gateway.
    pub fn on_gateway_notified(
        &mut self,
        now: Duration,
        gateway: usize,
        changes: &[EndpointChange],
    ) {
        for change in changes {
            self.rule_checker.told(
                now,
                gateway,
                change.server,
                change.state == ListingState::Active,
            );
        }
    }

    // ---- gateways ----

    /// A gateway serves from now on.
    pub fn on_gateway_ready(&mut self, now: Duration, gateway: usize) {
        let it = &mut self.gateways[gateway];
        (it.state, it.since) = (GatewayState::Ready, now);
    }

    /// Whether a gateway has been ready for so long: those that were when the day began, in any case.
    pub fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        let it = &self.gateways[gateway];
        it.state == GatewayState::Ready && (it.since.is_zero() || now >= it.since + span)
    }

    /// A gateway's process has ended by itself: what it had taken and not answered is lost.
    pub fn on_gateway_exit(&mut self, now: Duration, gateway: usize) {
        let it = &mut self.gateways[gateway];
        if it.state != GatewayState::Down {
            (it.state, it.since, it.killed) = (GatewayState::Down, now, false);
        }
    }

    /// Its process was killed, and excuses what it had not answered.
    pub fn was_killed(&self, gateway: usize) -> bool {
        self.gateways[gateway].state == GatewayState::Down && self.gateways[gateway].killed
    }

    /// So many connections of clients to a gateway have nothing open.
    pub fn set_idle_connections(&mut self, gateway: usize, connections: usize) {
        self.gateways[gateway].resting = connections;
    }

    pub fn gateway_state(&self, gateway: usize) -> GatewayState {
        self.gateways[gateway].state
    }

    fn kill(&mut self, now: Duration, gateway: usize, actions: &mut Vec<Action>) {
        let it = &mut self.gateways[gateway];
        let stopping = it.state == GatewayState::Stopping;
        (it.state, it.since, it.killed) = (GatewayState::Down, now, true);
        match stopping {
            true => self.rule_checker.stopped(now, gateway),
            false => self.rule_checker.killed(gateway),
        }
        actions.push(Action::KillGateway(gateway));
    }

    fn start(&mut self, now: Duration, gateway: usize, actions: &mut Vec<Action>) {
        let it = &mut self.gateways[gateway];
        (it.state, it.since) = (GatewayState::Starting, now);
        self.rule_checker.started(gateway);
        actions.push(Action::StartGateway(gateway));
    }

    /// A datagram from one gateway to another: after how long it arrives, if it does.
    pub fn on_datagram(&mut self, now: Duration, from: usize, to: usize) -> Option<Duration> {
        self.metrics.second_at(now).datagrams += 1;
        let net = &self.experiment.network;
        let (lost, deaf) = (net.lost, if now < self.deaf.0 { self.deaf.1 } else { 0.0 });
        let late = ms(net.peer_late_ms * self.chance.generate::<f64>()) + self.in_zone_delay();
        let drawn = self.chance.generate::<f64>();
        if drawn < lost.max(deaf) || self.apart(now, from, to % self.experiment.fleet.zones) {
            return None;
        }
        let rate = self.experiment.network.peer_rate;
        let it = &mut self.gateways[to];
        it.taken = (it.taken + now.saturating_sub(it.filled).as_secs_f64() * rate).min(rate);
        it.filled = now;
        if it.taken < 1.0 || it.state == GatewayState::Down {
            return None;
        }
        it.taken -= 1.0;
        Some(late)
    }
}
