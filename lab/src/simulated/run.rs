//! The event loop of a simulated run, the actions of the world and of the gateways, the start and kill of gateways, and
//! the distribution of the endpoint list.

use super::defect::InjectedDefect;
use super::event::Event;
use super::gateway::{AttemptKey, CounterCallKey, GatewayIncarnation, SimulatedGateway};
use crate::decision_engine::{DecisionEngine, GatewayAction, GatewayEvent};
use crate::error::LabError;
use crate::event_queue::EventQueue;
use crate::events::{AttemptId, ClientOutcome, ClientRequestId, CounterCallId, ServerId};
use crate::experiment::Variant;
use crate::metrics::Results;
use crate::node_settings;
use crate::world::counter::CounterResponse;
use crate::world::server::ListingState;
use crate::world::{Action, EndpointChange, World};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wellcrank::port::{Endpoint, EndpointState, EndpointUpdate, UnixTime};

/// The time on the gateways' clocks at the start of the run. It is far from zero because windows and lease periods are
/// numbered from time zero.
pub(super) const CLOCK_ORIGIN: Duration = Duration::from_secs(1_000_000);

/// How long a gateway takes from the start of its process until it serves requests.
const GATEWAY_START_DURATION: Duration = Duration::from_millis(20);

/// How often gateways close connections that have been idle for too long, as in the edge node.
const STALE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum length of a datagram from a gateway.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The state of a simulated run.
pub(super) struct SimulatedRun<'a> {
    pub(super) world: World,
    engine: Box<dyn DecisionEngine + 'a>,
    pub(super) gateways: Vec<SimulatedGateway>,
    events: EventQueue<Event>,
    /// The simulated time since the start of the run.
    pub(super) now: Duration,
    /// The servers by their endpoint ids.
    pub(super) server_ids: BTreeMap<String, ServerId>,
    /// The calls that have arrived at the counter and have not been answered.
    pub(super) counter_calls: BTreeMap<CounterCallId, CounterCallKey>,
    /// The attempts that have arrived at servers and have been neither answered nor abandoned.
    pub(super) attempts: BTreeMap<AttemptId, AttemptKey>,
    /// The variant's overrides of the gateways' settings.
    settings_overrides: toml::Table,
    controller_seeds: WyRand,
    pub(super) defect: Option<InjectedDefect>,
    /// The number of final answers that the gateways have sent, including those that an injected defect drops.
    pub(super) final_answer_count: u64,
    /// The requests whose first attempt was sent twice under [`InjectedDefect::DuplicatesAttempts`].
    pub(super) duplicated_requests: BTreeSet<ClientRequestId>,
}

impl<'a> SimulatedRun<'a> {
    pub(super) fn new(
        world: World,
        engine: Box<dyn DecisionEngine + 'a>,
        variant: &Variant,
        seed: u64,
        defect: Option<InjectedDefect>,
    ) -> SimulatedRun<'a> {
        let gateway_count = world.experiment.fleet.gateways;
        SimulatedRun {
            world,
            engine,
            gateways: (0..gateway_count)
                .map(|_| SimulatedGateway::default())
                .collect(),
            events: EventQueue::default(),
            now: Duration::ZERO,
            server_ids: BTreeMap::new(),
            counter_calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            settings_overrides: variant.settings_overrides.clone(),
            controller_seeds: WyRand::new_seed(seed ^ 0x5eed),
            defect,
            final_answer_count: 0,
            duplicated_requests: BTreeSet::new(),
        }
    }

    /// Returns the results of the run.
    pub(super) fn into_results(mut self, title: &str, variant: &str, seed: u64) -> Results {
        self.world.results("simulated", title, variant, seed)
    }

    /// Processes the events of the run from its start to its end.
    pub(super) fn run_to_end(&mut self) -> Result<(), LabError> {
        self.world.begin_run();
        for gateway in 0..self.gateways.len() {
            self.start_gateway(gateway)?;
        }
        self.schedule(STALE_CHECK_INTERVAL, Event::CloseStaleConnections);
        let end = self.world.end_time();
        while let Some(now) = self.next_moment().filter(|moment| *moment <= end) {
            self.now = now;
            self.advance_world()?;
            while let Some((_, event)) = self.events.pop_due(now) {
                self.handle_event(event)?;
            }
            self.perform_gateway_actions()?;
        }
        self.now = end;
        self.world.rule_checker.finish(end);
        Ok(())
    }

    fn next_moment(&self) -> Option<Duration> {
        let moments = [self.events.next_due(), self.world.next_due()];
        moments.into_iter().flatten().min()
    }

    fn advance_world(&mut self) -> Result<(), LabError> {
        if self.world.next_due() != Some(self.now) {
            return Ok(());
        }
        let mut actions = Vec::new();
        self.world.advance(self.now, &mut actions);
        self.perform_world_actions(actions)
    }

    /// Performs the actions of the gateways until there are no more: an action may cause an event at the same moment,
    /// which leads to further actions.
    fn perform_gateway_actions(&mut self) -> Result<(), LabError> {
        loop {
            let actions = self.engine.take_actions()?;
            if actions.is_empty() {
                return Ok(());
            }
            for issued in actions {
                if self.gateways[issued.gateway].is_running {
                    self.perform_gateway_action(issued.gateway, issued.action)?;
                }
            }
        }
    }

    /// Schedules an event at a time since the start of the run. A time in the past means now.
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.events.schedule(at.max(self.now), event);
    }

    /// Delivers an event to a gateway's controller.
    pub(super) fn deliver(&mut self, gateway: usize, event: GatewayEvent) -> Result<(), LabError> {
        let gateway_time = CLOCK_ORIGIN + self.now;
        self.engine.deliver(gateway_time, gateway, event)?;
        Ok(())
    }

    /// The current incarnation of a gateway.
    pub(super) fn incarnation(&self, gateway: usize) -> GatewayIncarnation {
        GatewayIncarnation {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
        }
    }

    /// Returns a gateway. Returns `None` if its process was started or killed after this incarnation.
    pub(super) fn gateway(&mut self, key: GatewayIncarnation) -> Option<&mut SimulatedGateway> {
        let gateway = &mut self.gateways[key.gateway];
        (gateway.incarnation == key.incarnation).then_some(gateway)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), LabError> {
        match event {
            Event::RequestArrival { gateway, request } => self.on_request_arrival(gateway, request),
            Event::ClientDisconnect { gateway, request } => {
                self.on_client_disconnect(gateway, request)
            }
            Event::FinalAnswer {
                request,
                outcome,
                retry_after,
            } => {
                self.world
                    .on_final_answer(self.now, request, outcome, retry_after);
                Ok(())
            }
            Event::AttemptArrival {
                attempt,
                server,
                new_connection,
            } => self.on_attempt_arrival(attempt, server, new_connection),
            Event::AttemptAbandoned(attempt) => {
                self.world.on_attempt_abandoned(self.now, attempt);
                Ok(())
            }
            Event::ServerResponse { attempt, response } => {
                self.on_server_response(attempt, response)
            }
            Event::ConnectionLost(attempt) => self.on_connection_lost(attempt),
            Event::AttemptTimeout(attempt) => self.on_attempt_timeout(attempt),
            Event::CounterCallArrival(call) => self.on_counter_call_arrival(call),
            Event::CounterReply { call, reply } => self.on_counter_reply(call, reply),
            Event::CounterTimeout(call) => self.on_counter_timeout(call),
            Event::Timer { gateway, token } => match self.gateway(gateway) {
                Some(_) => self.deliver(gateway.gateway, GatewayEvent::Timer(token)),
                None => Ok(()),
            },
            Event::EndpointChanges { gateway, end } => self.on_endpoint_changes(gateway, end),
            Event::GatewayReady(gateway) => {
                if self.gateway(gateway).is_some() {
                    self.world.on_gateway_ready(self.now, gateway.gateway);
                }
                Ok(())
            }
            Event::CloseStaleConnections => {
                self.close_stale_connections();
                Ok(())
            }
        }
    }

    /// Performs an action of a running gateway.
    fn perform_gateway_action(
        &mut self,
        gateway: usize,
        action: GatewayAction,
    ) -> Result<(), LabError> {
        match action {
            GatewayAction::Send {
                request,
                endpoint,
                timeout,
            } => self.on_send(gateway, &request, &endpoint, timeout),
            GatewayAction::Cancel { request, attempt } => {
                self.on_cancel(gateway, &request, attempt)
            }
            GatewayAction::Reject {
                request,
                retry_after,
            } => {
                self.answer_request(
                    gateway,
                    &request,
                    ClientOutcome::Rejected,
                    Some(retry_after),
                );
                Ok(())
            }
            GatewayAction::Fail { request } => {
                self.answer_request(gateway, &request, ClientOutcome::Failed, None);
                Ok(())
            }
            GatewayAction::AddToCounter { name, amount, ttl } => {
                self.call_counter(gateway, name, amount, ttl);
                Ok(())
            }
            GatewayAction::SetTimer { token, at } => {
                let gateway = self.incarnation(gateway);
                let fires_at = at.saturating_sub(CLOCK_ORIGIN);
                self.schedule(fires_at, Event::Timer { gateway, token });
                Ok(())
            }
            GatewayAction::SendToPeer { peer, body } => {
                self.send_to_peers(gateway, peer, &body);
                Ok(())
            }
        }
    }

    /// Reports a datagram to the world, once for each receiver. It is not delivered: in simulated runs controllers
    /// receive no datagrams from other gateways.
    fn send_to_peers(&mut self, sender: usize, peer: Option<u32>, body: &[u8]) {
        if body.len() > MAX_DATAGRAM_BYTES || !self.world.experiment.network.peer_datagrams {
            return;
        }
        for receiver in 0..self.gateways.len() {
            let is_addressed = match peer {
                Some(peer) => receiver == peer as usize,
                None => receiver != sender,
            };
            if is_addressed {
                let _ = self.world.on_datagram(self.now, sender, receiver);
            }
        }
    }

    /// Performs the actions that the world has requested.
    pub(super) fn perform_world_actions(&mut self, actions: Vec<Action>) -> Result<(), LabError> {
        for action in actions {
            match action {
                Action::SendRequest(request) => {
                    let gateway = self.world.request(request).gateway;
                    let arrival = self.now + self.world.in_zone_delay();
                    self.schedule(arrival, Event::RequestArrival { gateway, request });
                }
                Action::CloseClient(request) => {
                    let gateway = self.world.request(request).gateway;
                    let arrival = self.now + self.world.in_zone_delay();
                    self.schedule(arrival, Event::ClientDisconnect { gateway, request });
                }
                Action::SendResponse(attempt, response) => {
                    self.schedule_server_response(attempt, response)
                }
                Action::SendCounterResponse(call, reply) => {
                    if let Some(call) = self.counter_calls.remove(&call) {
                        self.schedule_counter_reply(call, reply);
                    }
                }
                Action::NotifyGateway {
                    gateway,
                    change_count,
                } => {
                    let gateway = self.incarnation(gateway);
                    self.schedule(
                        self.now,
                        Event::EndpointChanges {
                            gateway,
                            end: change_count,
                        },
                    );
                }
                Action::StopServer(server) => self.reset_connections(server),
                Action::KillGateway(gateway) => self.kill_gateway(gateway)?,
                Action::StartGateway(gateway) => self.start_gateway(gateway)?,
                Action::ResetCounterConnections => {
                    let open = std::mem::take(&mut self.counter_calls);
                    for call in open.into_values() {
                        self.schedule_counter_reply(call, CounterResponse::Reset);
                    }
                }
                // Simulated gateways reach the counter and discovery without addresses, so a move changes nothing here.
                Action::MovePlatform(_) => (),
                // Simulated servers have no addresses, simulated gateways receive no signals, and simulated clients
                // send no bytes.
                Action::AddServer(_)
                | Action::RestartServer(_)
                | Action::StopGateway(_)
                | Action::AddMisbehavingClients(_) => (),
            }
        }
        Ok(())
    }

    /// Starts a gateway with the version of the endpoint list that it was last notified of.
    fn start_gateway(&mut self, gateway: usize) -> Result<(), LabError> {
        let settings =
            node_settings::settings(&self.world.experiment, gateway, &self.settings_overrides)?;
        self.gateways[gateway].start();
        let seed = self.controller_seeds.generate();
        self.deliver(gateway, GatewayEvent::Start { settings, seed })?;
        let change_count = self.world.notified_change_count(gateway);
        let list = self.world.endpoint_list_after(change_count);
        self.gateways[gateway].changes_received = change_count;
        let endpoints = self.notify_gateway(gateway, &list);
        let update = EndpointUpdate::Snapshot(endpoints);
        self.deliver(gateway, GatewayEvent::EndpointUpdate(update))?;
        let ready = Event::GatewayReady(self.incarnation(gateway));
        self.schedule(self.now + GATEWAY_START_DURATION, ready);
        Ok(())
    }

    fn kill_gateway(&mut self, gateway: usize) -> Result<(), LabError> {
        let killed = self.gateways[gateway].kill();
        for attempt in killed.attempts.into_values() {
            self.world.on_disconnect(attempt.server);
            if let Some(id) = attempt.id {
                self.abandon_attempt(gateway, attempt.server, id);
            }
        }
        for server in killed.connections.idle_servers() {
            self.world.on_disconnect(server);
        }
        for request in killed.requests.into_keys() {
            self.world.on_request_not_accepted(self.now, request);
        }
        self.deliver(gateway, GatewayEvent::Kill)
    }

    fn on_endpoint_changes(
        &mut self,
        gateway: GatewayIncarnation,
        end: usize,
    ) -> Result<(), LabError> {
        let Some(notified) = self.gateway(gateway).filter(|found| found.is_running) else {
            return Ok(());
        };
        let start = std::mem::replace(&mut notified.changes_received, end);
        let changes = self.world.endpoint_changes(start..end);
        let endpoints = self.notify_gateway(gateway.gateway, &changes);
        if self.defect == Some(InjectedDefect::IgnoresEndpointUpdates) {
            for change in &changes {
                self.gateways[gateway.gateway].set_ready(change.server, true);
            }
            return Ok(());
        }
        let update = EndpointUpdate::Delta(endpoints);
        self.deliver(gateway.gateway, GatewayEvent::EndpointUpdate(update))
    }

    /// Applies changes of the endpoint list at a gateway's adapter. Returns them in the form that is delivered to its
    /// controller.
    fn notify_gateway(&mut self, gateway: usize, changes: &[EndpointChange]) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for change in changes {
            let endpoint = self.endpoint(change);
            self.server_ids
                .insert(endpoint.id.0.to_string(), change.server);
            let is_ready = endpoint.state == EndpointState::Ready;
            self.gateways[gateway].set_ready(change.server, is_ready);
            endpoints.push(endpoint);
        }
        self.world.on_gateway_notified(self.now, gateway, changes);
        endpoints
    }

    fn endpoint(&self, change: &EndpointChange) -> Endpoint {
        let server = self.world.server(change.server);
        let state = match change.state {
            ListingState::Active => EndpointState::Ready,
            ListingState::Draining => EndpointState::Draining,
            ListingState::Removed => EndpointState::Removed,
        };
        Endpoint {
            id: server.name.as_str().into(),
            state,
            started_at: change
                .started_at
                .map(|started_at| UnixTime(CLOCK_ORIGIN + started_at)),
            cell: server.cell,
            zone: node_settings::zone_name(server.zone),
            machine_type: server.machine_type.clone(),
            weight: 1.0,
        }
    }

    /// Closes the connections that have been idle for `idle_timeout` minus `connect_timeout` or longer, as the servers
    /// would close them soon.
    fn close_stale_connections(&mut self) {
        let fleet = &self.world.experiment.fleet;
        let max_idle = (fleet.idle_timeout - fleet.connect_timeout).max(0.0);
        let max_idle = Duration::from_secs_f64(max_idle);
        for gateway in &mut self.gateways {
            for server in gateway.connections.close_stale(self.now, max_idle) {
                self.world.on_disconnect(server);
            }
        }
        self.schedule(
            self.now + STALE_CHECK_INTERVAL,
            Event::CloseStaleConnections,
        );
    }
}
