//! The engine in simulated time: the world drives the decisions themselves through their interface, in one
//! thread. The same seed gives the same result to the byte. What the edge node does beside deciding (which
//! connection carries a try, when its time is up, what a call on the counter that is late comes to) is played
//! here as `edge/` does it; the processor time of a gateway is not.

use crate::decision_engine::{
    DecisionEngine, ExternalEngine, GatewayAction, GatewayEvent, InProcess,
};
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, CounterCallId, ServerId};
use crate::experiment::{Experiment, Variant};
use crate::metrics::Results;
use crate::node_settings;
use crate::record::Recorded;
use crate::world::counter::CounterResponse;
use crate::world::server::ListingState;
use crate::world::{Action, EndpointChange, ServerResponse, World};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;
use wellcrank::port::*;

/// The gateways' clocks begin here: an ordinary moment, as windows and periods are numbered from zero.
const ORIGIN: Duration = Duration::from_secs(1_000_000);
/// What the referee allows for messages under way.
const SLACK: Duration = Duration::from_millis(50);

/// The program altered on purpose, to show that the referee can fail a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Every so many final answers, one is not given.
    LosesAnswers(u64),
    /// A try is sent to a second server while the first is out.
    SendsTwice,
    /// What broke is sent again, whatever the route says.
    SendsAgain,
    /// Changes of the list are not heard.
    HearsNoChanges,
    /// Every try goes to the youngest server.
    LikesTheCold,
    /// More is sent than is passed on to the decisions: ceilings are kept for every second API call only.
    ForgetsUnits,
}

/// How a simulated day is to be played.
#[derive(Clone, Default)]
pub struct Terms {
    pub fault: Option<Fault>,
    /// Recorded traffic in place of the accounts.
    pub replay: Vec<Recorded>,
}

enum Event {
    Arrives(usize, ClientRequestId),
    ClientLeft(usize, ClientRequestId),
    Heard {
        ask: ClientRequestId,
        verdict: ClientOutcome,
        advice: Option<Duration>,
    },
    TryArrives {
        key: TryKey,
        server: ServerId,
        fresh: bool,
    },
    TryLeft(AttemptId),
    Replied {
        key: TryKey,
        says: ServerResponse,
    },
    Refused(TryKey),
    TryTimeUp(TryKey),
    CountArrives {
        at: usize,
        life: u32,
        number: u64,
    },
    CountAnswered {
        at: usize,
        life: u32,
        number: u64,
        says: CounterResponse,
    },
    CountTimeUp {
        at: usize,
        life: u32,
        number: u64,
    },
    Woken {
        at: usize,
        life: u32,
        token: TimerToken,
    },
    Listed {
        at: usize,
        life: u32,
        upto: usize,
    },
    Ready(usize, u32),
    Sweep,
}

/// A try by the gateway's life, the API call and its number there.
type TryKey = (usize, u32, ClientRequestId, u32);

struct Out {
    server: ServerId,
    sent: Duration,
    /// As the server knows it, once it has come.
    there: Option<AttemptId>,
    /// The connection is up, as far as the gateway knows.
    fresh: bool,
}

struct OpenCall {
    until: Duration,
    tries: u32,
    answered: bool,
    ended: u32,
}

struct CountOut {
    name: CounterName,
    add: f64,
    keep: Duration,
}

#[derive(Default)]
struct Gateway {
    life: u32,
    up: bool,
    calls: BTreeMap<ClientRequestId, OpenCall>,
    tries: BTreeMap<(ClientRequestId, u32), Out>,
    counts: BTreeMap<u64, CountOut>,
    next_count: u64,
    /// When idle connections were last used, by server, the latest last; and how many there are in all.
    idle: BTreeMap<ServerId, Vec<Duration>>,
    connections: usize,
    /// The changes of the list that it was told, up to and without this one.
    told: usize,
    /// Servers that the list lets it send to.
    ready: BTreeMap<ServerId, bool>,
}

struct Day<'a> {
    world: World,
    engine: Box<dyn DecisionEngine + 'a>,
    gateways: Vec<Gateway>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    what: BTreeMap<u64, Event>,
    last: u64,
    now: Duration,
    servers: BTreeMap<String, ServerId>,
    counting: BTreeMap<CounterCallId, (usize, u32, u64)>,
    trying: BTreeMap<AttemptId, TryKey>,
    told: toml::Table,
    seeds: WyRand,
    fault: Option<Fault>,
    answers: u64,
    twice: BTreeSet<ClientRequestId>,
}

/// Plays one day of an experiment, as a variant has it.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    terms: &Terms,
) -> Result<Results, String> {
    let changed = experiment
        .with(variant)
        .map_err(|wrongs| format!("{wrongs:?}"))?;
    let world = World::new(&changed, seed, false, SLACK, terms.replay.clone());
    let engine: Box<dyn DecisionEngine> = match &variant.simulator {
        Some(program) => Box::new(ExternalEngine::start(program)?),
        None => Box::new(InProcess::default()),
    };
    let mut day = Day {
        gateways: (0..changed.fleet.gateways)
            .map(|_| Gateway::default())
            .collect(),
        world,
        engine,
        events: BinaryHeap::new(),
        what: BTreeMap::new(),
        last: 0,
        now: Duration::ZERO,
        servers: BTreeMap::new(),
        counting: BTreeMap::new(),
        trying: BTreeMap::new(),
        told: variant.told.clone(),
        seeds: WyRand::new_seed(seed ^ 0x5eed),
        fault: terms.fault,
        answers: 0,
        twice: BTreeSet::new(),
    };
    day.play()?;
    Ok(day
        .world
        .results("simulated", &experiment.title, &variant.name, seed))
}

fn call_id(ask: ClientRequestId) -> RequestId {
    ask.0.to_string().as_str().into()
}

fn ask_id(call: &RequestId) -> Option<ClientRequestId> {
    call.0.parse().ok().map(ClientRequestId)
}

impl Day<'_> {
    fn at(&mut self, when: Duration, event: Event) {
        self.last += 1;
        self.events.push(Reverse((when.max(self.now), self.last)));
        self.what.insert(self.last, event);
    }

    fn play(&mut self) -> Result<(), String> {
        self.world.begin_run();
        for gateway in 0..self.gateways.len() {
            self.start(gateway)?;
        }
        self.at(Duration::from_secs(1), Event::Sweep);
        let end = self.world.end_time();
        loop {
            let next = self.events.peek().map(|Reverse((when, _))| *when);
            let due = self.world.next_due();
            let Some(now) = [next, due]
                .into_iter()
                .flatten()
                .min()
                .filter(|now| *now <= end)
            else {
                break;
            };
            self.now = now;
            if due == Some(now) {
                let mut actions = Vec::new();
                self.world.advance(now, &mut actions);
                self.carry(actions)?;
            }
            while let Some(Reverse((when, _))) = self.events.peek() {
                if *when > now {
                    break;
                }
                let Some(Reverse((_, number))) = self.events.pop() else {
                    break;
                };
                if let Some(event) = self.what.remove(&number) {
                    self.event(event)?;
                }
            }
            // What is done may have something happen at this very moment, to which more is done.
            loop {
                let actions = self.engine.actions()?;
                if actions.is_empty() {
                    break;
                }
                for (gateway, action) in actions {
                    self.action(gateway, action)?;
                }
            }
        }
        self.now = end;
        self.world.rule_checker.finish(end);
        Ok(())
    }

    fn deliver(&mut self, gateway: usize, event: GatewayEvent) -> Result<(), String> {
        self.engine.deliver(ORIGIN + self.now, gateway, event)
    }

    /// A gateway starts with the list as it was last told it.
    fn start(&mut self, gateway: usize) -> Result<(), String> {
        let settings = node_settings::settings(&self.world.experiment, gateway, &self.told)?;
        let it = &mut self.gateways[gateway];
        *it = Gateway {
            life: it.life + 1,
            up: true,
            ..Gateway::default()
        };
        let (life, seed) = (it.life, self.seeds.generate());
        self.deliver(gateway, GatewayEvent::Start { settings, seed })?;
        let upto = self.world.notified_change_count(gateway);
        let list = self.world.endpoint_list_after(upto);
        self.gateways[gateway].told = upto;
        self.listed(gateway, true, &list)?;
        self.at(
            self.now + Duration::from_millis(20),
            Event::Ready(gateway, life),
        );
        Ok(())
    }

    fn listed(
        &mut self,
        gateway: usize,
        whole: bool,
        changes: &[EndpointChange],
    ) -> Result<(), String> {
        let mut lines = Vec::new();
        for change in changes {
            let server = self.world.server(change.server);
            self.servers.insert(server.name.clone(), change.server);
            let phase = match change.state {
                ListingState::Active => EndpointState::Ready,
                ListingState::Draining => EndpointState::Draining,
                ListingState::Removed => EndpointState::Removed,
            };
            lines.push(Endpoint {
                id: server.name.as_str().into(),
                state: phase,
                started_at: change.started_at.map(|at| UnixTime(ORIGIN + at)),
                cell: server.cell,
                zone: node_settings::zone_name(server.zone),
                machine_type: server.machine_type.clone(),
                weight: 1.0,
            });
            self.gateways[gateway]
                .ready
                .insert(change.server, change.state == ListingState::Active);
        }
        self.world.on_gateway_notified(self.now, gateway, changes);
        if self.fault == Some(Fault::HearsNoChanges) && !whole {
            for change in changes {
                self.gateways[gateway].ready.insert(change.server, true);
            }
            return Ok(());
        }
        let update = if whole {
            EndpointUpdate::Snapshot(lines)
        } else {
            EndpointUpdate::Delta(lines)
        };
        self.deliver(gateway, GatewayEvent::EndpointUpdate(update))
    }

    /// What the world leaves to be carried out.
    fn carry(&mut self, actions: Vec<Action>) -> Result<(), String> {
        let now = self.now;
        for act in actions {
            match act {
                Action::SendRequest(ask) => {
                    let gateway = self.world.request(ask).gateway;
                    self.at(
                        now + self.world.in_zone_delay(),
                        Event::Arrives(gateway, ask),
                    );
                }
                Action::CloseClient(ask) => {
                    let gateway = self.world.request(ask).gateway;
                    self.at(
                        now + self.world.in_zone_delay(),
                        Event::ClientLeft(gateway, ask),
                    );
                }
                Action::SendResponse(of, says) => {
                    if let Some(key) = self.trying.remove(&of) {
                        let way = self
                            .world
                            .one_way_delay(key.0, self.world.attempt(of).server);
                        self.at(now + way, Event::Replied { key, says });
                    }
                }
                Action::SendCounterResponse(count, says) => {
                    if let Some((at, life, number)) = self.counting.remove(&count) {
                        let when = now + self.world.in_zone_delay();
                        self.at(
                            when,
                            Event::CountAnswered {
                                at,
                                life,
                                number,
                                says,
                            },
                        );
                    }
                }
                Action::NotifyGateway {
                    gateway,
                    change_count: upto,
                } => {
                    let life = self.gateways[gateway].life;
                    self.at(
                        now,
                        Event::Listed {
                            at: gateway,
                            life,
                            upto,
                        },
                    );
                }
                Action::AddServer(_) | Action::RestartServer(_) => (),
                Action::StopServer(server) => self.reset(server),
                Action::KillGateway(gateway) => self.kill(gateway)?,
                Action::StopGateway(_) => (),
                Action::StartGateway(gateway) => self.start(gateway)?,
                // Where the counter has moved, the world answers from another one; the address is nothing here.
                Action::MovePlatform(_) | Action::AddMisbehavingClients(_) => (),
                Action::ResetCounterConnections => {
                    let open: Vec<_> = std::mem::take(&mut self.counting).into_values().collect();
                    for (at, life, number) in open {
                        let says = CounterResponse::Reset;
                        self.at(
                            now + self.world.in_zone_delay(),
                            Event::CountAnswered {
                                at,
                                life,
                                number,
                                says,
                            },
                        );
                    }
                }
            }
        }
        Ok(())
    }

    /// A server's connections are reset, its tries with them.
    fn reset(&mut self, server: ServerId) {
        for at in 0..self.gateways.len() {
            let it = &mut self.gateways[at];
            let idle = it.idle.remove(&server).map_or(0, |idle| idle.len());
            it.connections -= idle.min(it.connections);
            (0..idle).for_each(|_| self.world.on_disconnect(server));
            let life = it.life;
            let out = it
                .tries
                .iter()
                .filter(|(_, out)| out.server == server && out.there.is_some());
            let keys: Vec<TryKey> = out
                .map(|((ask, number), _)| (at, life, *ask, *number))
                .collect();
            for key in keys {
                if let Some(there) = self.gateways[at].tries[&(key.2, key.3)].there {
                    self.trying.remove(&there);
                    self.world.on_attempt_abandoned(self.now, there);
                }
                let way = self.world.one_way_delay(at, server);
                self.at(self.now + way, Event::Refused(key));
            }
        }
    }

    fn kill(&mut self, gateway: usize) -> Result<(), String> {
        let it = &mut self.gateways[gateway];
        it.up = false;
        it.life += 1;
        let (tries, idle) = (std::mem::take(&mut it.tries), std::mem::take(&mut it.idle));
        let calls = std::mem::take(&mut it.calls);
        it.counts.clear();
        for out in tries.into_values() {
            self.world.on_disconnect(out.server);
            if let Some(there) = out.there {
                self.trying.remove(&there);
                self.at(
                    self.now + self.world.one_way_delay(gateway, out.server),
                    Event::TryLeft(there),
                );
            }
        }
        for (server, idle) in idle {
            idle.iter().for_each(|_| self.world.on_disconnect(server));
        }
        for ask in calls.into_keys() {
            self.world.on_request_not_accepted(self.now, ask);
        }
        self.deliver(gateway, GatewayEvent::Killed)
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        let now = self.now;
        match event {
            Event::Arrives(gateway, ask) => self.arrives(gateway, ask)?,
            Event::ClientLeft(gateway, ask) => {
                if self.gateways[gateway].calls.remove(&ask).is_some() {
                    self.deliver(gateway, GatewayEvent::Gone(call_id(ask)))?;
                }
            }
            Event::Heard {
                ask,
                verdict,
                advice,
            } => self.world.on_final_answer(now, ask, verdict, advice),
            Event::TryArrives { key, server, fresh } => self.try_arrives(key, server, fresh)?,
            Event::TryLeft(there) => self.world.on_attempt_abandoned(now, there),
            Event::Replied { key, says } => self.replied(key, says)?,
            Event::Refused(key) => {
                let there = self.out(key).and_then(|out| out.there);
                let how = if there.is_some() {
                    AttemptOutcome::Reset
                } else {
                    AttemptOutcome::ConnectFailed
                };
                self.ended(key, how, None, BTreeMap::new(), false)?;
            }
            Event::TryTimeUp(key) => {
                if let Some(out) = self.out(key) {
                    let how = if out.there.is_some() {
                        AttemptOutcome::TimedOut
                    } else {
                        AttemptOutcome::ConnectFailed
                    };
                    self.give_up(key);
                    self.ended(key, how, None, BTreeMap::new(), false)?;
                }
            }
            Event::CountArrives { at, life, number } => {
                let it = &self.gateways[at];
                if let Some(call) = it.counts.get(&number).filter(|_| it.life == life) {
                    let (name, add, keep) = (call.name.0, call.add, call.keep);
                    let mut actions = Vec::new();
                    let id = self
                        .world
                        .on_counter_call(now, at, name, add, keep, &mut actions);
                    self.counting.insert(id, (at, life, number));
                    self.carry(actions)?;
                }
            }
            Event::CountAnswered {
                at,
                life,
                number,
                says,
            } => {
                let it = &mut self.gateways[at];
                if let Some(call) = (it.life == life)
                    .then(|| it.counts.remove(&number))
                    .flatten()
                {
                    let counted = match says {
                        CounterResponse::Total(total) => CounterReply::Total(total),
                        CounterResponse::Busy => CounterReply::NotApplied,
                        CounterResponse::Reset => CounterReply::Unknown,
                    };
                    self.deliver(at, GatewayEvent::Counted(call.name, counted))?;
                }
            }
            Event::CountTimeUp { at, life, number } => {
                let it = &mut self.gateways[at];
                if let Some(call) = (it.life == life)
                    .then(|| it.counts.remove(&number))
                    .flatten()
                {
                    self.deliver(at, GatewayEvent::Counted(call.name, CounterReply::Unknown))?;
                }
            }
            Event::Woken { at, life, token } => {
                if self.gateways[at].life == life {
                    self.deliver(at, GatewayEvent::Woken(token))?;
                }
            }
            Event::Listed { at, life, upto } => {
                if self.gateways[at].life == life && self.gateways[at].up {
                    let from = std::mem::replace(&mut self.gateways[at].told, upto);
                    let changes = self.world.endpoint_changes(from..upto);
                    self.listed(at, false, &changes)?;
                }
            }
            Event::Ready(gateway, life) => {
                if self.gateways[gateway].life == life {
                    self.world.on_gateway_ready(now, gateway);
                }
            }
            Event::Sweep => self.sweep(),
        }
        Ok(())
    }

    /// Connections that were idle for too long are closed, as the edge node does each second.
    fn sweep(&mut self) {
        let fleet = &self.world.experiment.fleet;
        let keep = Duration::from_secs_f64((fleet.idle_close - fleet.connect_timeout).max(0.0));
        for it in &mut self.gateways {
            for (server, idle) in &mut it.idle {
                let old = idle
                    .iter()
                    .take_while(|used| **used + keep <= self.now)
                    .count();
                idle.drain(..old);
                it.connections -= old;
                (0..old).for_each(|_| self.world.on_disconnect(*server));
            }
        }
        self.at(self.now + Duration::from_secs(1), Event::Sweep);
    }

    fn arrives(&mut self, gateway: usize, ask: ClientRequestId) -> Result<(), String> {
        let now = self.now;
        if !self.gateways[gateway].up {
            self.world.on_request_not_accepted(now, ask);
            return Ok(());
        }
        self.world.on_request_accepted(self.now, ask);
        let it = self.world.request(ask);
        let origin = self.world.operation(it.operation);
        let account = self.world.account(origin.account);
        // The client tells a span, and the gateway counts it from when the call has come.
        let until = now + it.deadline.saturating_sub(it.scheduled_at);
        let units = if self.fault == Some(Fault::ForgetsUnits) {
            0.001
        } else {
            origin.units
        };
        let arrival = Request {
            id: call_id(ask),
            customer: format!("{:016x}", account.name).as_str().into(),
            plan: self.world.experiment.plans[account.plan]
                .name
                .as_str()
                .into(),
            route: self.world.experiment.routes[origin.route]
                .name
                .as_str()
                .into(),
            units,
            deadline: ORIGIN + until,
            first_gateway: account.first as u32,
            gateway_count: account.spread as u32,
        };
        let call = OpenCall {
            until,
            tries: 0,
            answered: false,
            ended: 0,
        };
        self.gateways[gateway].calls.insert(ask, call);
        self.deliver(gateway, GatewayEvent::Arrived(arrival))
    }

    fn action(&mut self, gateway: usize, action: GatewayAction) -> Result<(), String> {
        let now = self.now;
        if !self.gateways[gateway].up {
            return Ok(());
        }
        let life = self.gateways[gateway].life;
        match action {
            GatewayAction::Send(call, server, timeout) => {
                let Some(ask) = ask_id(&call) else {
                    return Ok(());
                };
                self.send(gateway, ask, &server, timeout)?;
                if self.fault == Some(Fault::SendsTwice) && self.twice.insert(ask) {
                    self.send(gateway, ask, &server, timeout)?;
                }
            }
            GatewayAction::Cancel(call, number) => {
                let Some(ask) = ask_id(&call) else {
                    return Ok(());
                };
                let key = (gateway, life, ask, number.0);
                if self.out(key).is_some() {
                    self.give_up(key);
                    self.ended(key, AttemptOutcome::Cancelled, None, BTreeMap::new(), false)?;
                }
            }
            GatewayAction::Limit(call, after) => {
                self.answer(gateway, &call, ClientOutcome::Rejected, Some(after))
            }
            GatewayAction::Error(call) => self.answer(gateway, &call, ClientOutcome::Failed, None),
            GatewayAction::Count(name, add, keep) => {
                let it = &mut self.gateways[gateway];
                it.next_count += 1;
                let number = it.next_count;
                it.counts.insert(number, CountOut { name, add, keep });
                let limit = Duration::from_secs_f64(self.world.experiment.counter.timeout_ms / 1e3);
                self.at(
                    now + self.world.in_zone_delay(),
                    Event::CountArrives {
                        at: gateway,
                        life,
                        number,
                    },
                );
                self.at(
                    now + limit,
                    Event::CountTimeUp {
                        at: gateway,
                        life,
                        number,
                    },
                );
            }
            GatewayAction::Wake(token, at) => {
                self.at(
                    at.saturating_sub(ORIGIN),
                    Event::Woken {
                        at: gateway,
                        life,
                        token,
                    },
                );
            }
            GatewayAction::Tell(peer, body) => {
                let all = 0..self.gateways.len();
                let to: Vec<usize> = match peer {
                    Some(peer) => all.filter(|other| *other == peer as usize).collect(),
                    None => all.filter(|other| *other != gateway).collect(),
                };
                let may = body.len() <= 256 && self.world.experiment.network.peers;
                for to in to.into_iter().filter(|_| may) {
                    // The decisions hear of no other gateway yet: what is sent is counted, and ends here.
                    let _ = self.world.on_datagram(now, gateway, to);
                }
            }
        }
        Ok(())
    }

    /// The one final answer goes to the client.
    fn answer(
        &mut self,
        gateway: usize,
        call: &RequestId,
        verdict: ClientOutcome,
        advice: Option<Duration>,
    ) {
        let Some(ask) = ask_id(call) else { return };
        let Some(open) = self.gateways[gateway].calls.get_mut(&ask) else {
            return;
        };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        if open.ended >= open.tries {
            self.gateways[gateway].calls.remove(&ask);
        }
        self.answers += 1;
        if matches!(self.fault, Some(Fault::LosesAnswers(each)) if self.answers.is_multiple_of(each))
        {
            return;
        }
        self.at(
            self.now + self.world.in_zone_delay(),
            Event::Heard {
                ask,
                verdict,
                advice,
            },
        );
    }

    fn out(&self, key: TryKey) -> Option<&Out> {
        let it = &self.gateways[key.0];
        it.tries.get(&(key.2, key.3)).filter(|_| it.life == key.1)
    }

    /// Sends an API call on, as the edge node does: if it is open, has a try and time left and the list lets
    /// it; over the latest used connection, or a new one if there may be one.
    fn send(
        &mut self,
        gateway: usize,
        ask: ClientRequestId,
        server: &EndpointId,
        timeout: Duration,
    ) -> Result<(), String> {
        let now = self.now;
        let mut server = self.servers.get(&*server.0).copied();
        if self.fault == Some(Fault::LikesTheCold) {
            let all = self.world.servers();
            let all =
                all.filter(|(_, it)| it.listing == ListingState::Active && it.started_at.is_some());
            let youngest = all.max_by_key(|(_, it)| it.started_at).map(|(id, _)| id);
            server = youngest.or(server);
        }
        let (most, sockets) = (
            self.world.experiment.fleet.max_tries,
            self.world.experiment.fleet.sockets,
        );
        let it = &mut self.gateways[gateway];
        let Some(open) = it.calls.get_mut(&ask) else {
            return Ok(());
        };
        let number = open.tries;
        open.tries += 1;
        let key = (gateway, it.life, ask, number);
        let until = if timeout.is_zero() {
            open.until
        } else {
            open.until.min(now + timeout)
        };
        let ready = server.filter(|server| it.ready.get(server).copied().unwrap_or(false));
        let (server, how) = match (server, ready) {
            (Some(server), Some(_)) => (server, None),
            (server, _) => (
                server.unwrap_or(ServerId(0)),
                Some(AttemptOutcome::ConnectFailed),
            ),
        };
        let over = open.answered || until <= now || number >= most;
        let how = if over {
            Some(AttemptOutcome::NotSent)
        } else {
            how
        };
        let warm = match how {
            None => it.idle.get_mut(&server).and_then(Vec::pop).is_some(),
            Some(_) => false,
        };
        let full = !warm && it.connections >= sockets.div_ceil(3);
        let how = if full && how.is_none() && !self.make_room(gateway) {
            Some(AttemptOutcome::NotSent)
        } else {
            how
        };
        let out = Out {
            server,
            sent: now,
            there: None,
            fresh: !warm,
        };
        self.gateways[gateway].tries.insert((ask, number), out);
        if let Some(how) = how {
            return self.ended(key, how, None, BTreeMap::new(), false);
        }
        let way = self.world.one_way_delay(gateway, server);
        if !warm {
            self.gateways[gateway].connections += 1;
            self.world.on_connect(now, server);
        }
        // A new connection takes a round trip before the command can go out.
        let arrives = now + if warm { way } else { way * 3 };
        self.at(
            arrives,
            Event::TryArrives {
                key,
                server,
                fresh: !warm,
            },
        );
        self.at(until, Event::TryTimeUp(key));
        Ok(())
    }

    /// The longest idle connection makes room for a new one.
    fn make_room(&mut self, gateway: usize) -> bool {
        let it = &mut self.gateways[gateway];
        let oldest = it
            .idle
            .iter()
            .filter_map(|(server, idle)| Some((*idle.first()?, *server)))
            .min();
        let Some((_, server)) = oldest else {
            return false;
        };
        it.idle.get_mut(&server).map(|idle| idle.remove(0));
        it.connections -= 1;
        self.world.on_disconnect(server);
        true
    }

    fn try_arrives(&mut self, key: TryKey, server: ServerId, fresh: bool) -> Result<(), String> {
        if self.out(key).is_none() {
            return Ok(());
        }
        if self.world.refuses_connections(server) {
            let way = self.world.one_way_delay(key.0, server);
            self.at(self.now + way, Event::Refused(key));
            return Ok(());
        }
        let mut actions = Vec::new();
        let there =
            self.world
                .on_attempt_arrival(self.now, key.0, server, (key.2, fresh), &mut actions);
        self.trying.insert(there, key);
        if let Some(out) = self.gateways[key.0].tries.get_mut(&(key.2, key.3)) {
            out.there = Some(there);
        }
        self.carry(actions)
    }

    /// The gateway closes a try's connection; the server sees it a way later.
    fn give_up(&mut self, key: TryKey) {
        let Some(out) = self.out(key) else { return };
        let (server, there) = (out.server, out.there);
        if let Some(there) = there {
            self.trying.remove(&there);
            self.at(
                self.now + self.world.one_way_delay(key.0, server),
                Event::TryLeft(there),
            );
        }
    }

    fn replied(&mut self, key: TryKey, says: ServerResponse) -> Result<(), String> {
        if self.out(key).is_none() {
            return Ok(());
        }
        match says {
            ServerResponse::Success { units, load } => {
                let load = load.map_or_else(BTreeMap::new, |load| {
                    [
                        ("inflight", load.inflight as f64),
                        ("queue", load.queue as f64),
                        ("util", load.util),
                    ]
                    .map(|(name, value)| (name.to_string(), value))
                    .into()
                });
                let call = call_id(key.2);
                self.answer(key.0, &call, ClientOutcome::Served { correct: true }, None);
                self.ended(key, AttemptOutcome::Success, units, load, true)
            }
            ServerResponse::Busy => {
                self.ended(key, AttemptOutcome::Rejected, None, BTreeMap::new(), true)
            }
            ServerResponse::Failed => self.ended(
                key,
                AttemptOutcome::ServerError,
                None,
                BTreeMap::new(),
                true,
            ),
            // A good answer with more behind it serves, and ends the connection.
            ServerResponse::Malformed(4..) => {
                self.answer(
                    key.0,
                    &call_id(key.2),
                    ClientOutcome::Served { correct: true },
                    None,
                );
                self.ended(key, AttemptOutcome::Success, None, BTreeMap::new(), false)
            }
            // What can't be read ends the connection, and the server may have run it.
            ServerResponse::Malformed(_) => self.ended(
                key,
                AttemptOutcome::ServerError,
                None,
                BTreeMap::new(),
                false,
            ),
        }
    }

    /// A try is over for the gateway; its connection may carry another, or is closed.
    fn ended(
        &mut self,
        key: TryKey,
        outcome: AttemptOutcome,
        settled: Option<f64>,
        load: BTreeMap<String, f64>,
        keep: bool,
    ) -> Result<(), String> {
        let (gateway, life, ask, number) = key;
        let now = self.now;
        if self.gateways[gateway].life != life {
            return Ok(());
        }
        let it = &mut self.gateways[gateway];
        let Some(out) = it.tries.remove(&(ask, number)) else {
            return Ok(());
        };
        let ready = it.ready.get(&out.server).copied().unwrap_or(false);
        let connected =
            !matches!(outcome, AttemptOutcome::NotSent) && (out.there.is_some() || !out.fresh);
        if keep && ready {
            it.idle.entry(out.server).or_default().push(now);
        } else if connected || out.fresh && !matches!(outcome, AttemptOutcome::NotSent) {
            it.connections = it.connections.saturating_sub(1);
            self.world.on_disconnect(out.server);
        }
        let it = &mut self.gateways[gateway];
        let mut closed = true;
        if let Some(open) = it.calls.get_mut(&ask) {
            open.ended += 1;
            closed = open.answered;
            if open.answered && open.ended >= open.tries {
                it.calls.remove(&ask);
            }
        }
        let again = self.fault == Some(Fault::SendsAgain) && !closed;
        let again = again
            && matches!(
                outcome,
                AttemptOutcome::Reset | AttemptOutcome::TimedOut | AttemptOutcome::ServerError
            );
        if again {
            let at = self.world.server(out.server).name.as_str().into();
            self.send(gateway, ask, &at, Duration::ZERO)?;
        }
        let latency = now.saturating_sub(out.sent);
        let end = AttemptResult {
            outcome,
            latency,
            request_closed: closed,
            settled_units: settled,
            load,
        };
        self.deliver(
            gateway,
            GatewayEvent::Ended(call_id(ask), AttemptNumber(number), end),
        )
    }
}
