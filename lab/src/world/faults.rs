//! The faults of a run: what each kind does to the world when it begins, at its further steps and when it ends.

use super::clients::{AccountScan, Surge};
use super::counter::CounterMode;
use super::gateways::GatewayState;
use super::server::{Health, ListingState, Server};
use super::span::{seconds, TimedValue};
use super::world_event::WorldEvent;
use super::{Action, World};
use crate::events::ServerId;
use crate::experiment::{Fault, FaultKind as Kind};
use nanorand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// A draining server finishes what it has for so long before its process ends.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The longest client timeout that the platform waits for before it kills a gateway that was told to stop, in
/// seconds.
const MAX_STOP_WAIT_SECONDS: f64 = 3.0;
/// The platform waits so much longer than the client timeout, in seconds.
const STOP_MARGIN_SECONDS: f64 = 0.7;
/// A gateway's process is started again so long after it was killed.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The least patience that a fault leaves to clients, as a share of their timeout.
const MIN_PATIENCE: f64 = 0.05;
/// The busiest gateway of an account that shifts moves on by 1 to this many gateways.
const MAX_SHIFT: u32 = 7;

/// What faults have changed and have to change back.
#[derive(Default)]
pub(super) struct FaultState {
    /// Share of the responses that cannot be parsed.
    pub(super) malformed_share: TimedValue,
    /// The servers that a fault affects, by the fault's index.
    affected_servers: BTreeMap<usize, Vec<ServerId>>,
    /// The gateways that a fault affects, by the fault's index.
    affected_gateways: BTreeMap<usize, Vec<usize>>,
}

/// One step of a fault.
#[derive(Clone, Copy)]
struct FaultStep {
    now: Duration,
    /// The fault's index in the experiment.
    fault: usize,
    /// The step, counted from 0.
    step: usize,
}

impl World {
    /// Schedules all faults of the experiment, and prepares what has to be known before the run.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.clone().iter().enumerate() {
            let start = seconds(fault.starts_at);
            let end = seconds(fault.starts_at + fault.duration);
            match fault.kind {
                Kind::Surge | Kind::DeadlineSurge | Kind::PlanBurst => {
                    let plan = fault.plan.as_ref();
                    self.clients.expect_surge(Surge {
                        plan: plan.and_then(|name| self.experiment.plan_index(name)),
                        span: start..end,
                        factor: fault.factor,
                        grows: fault.kind == Kind::DeadlineSurge,
                    });
                }
                Kind::Scan => self.clients.expect_scan(AccountScan {
                    span: start..end,
                    share: fault.share,
                }),
                _ => (),
            }
            self.schedule_fault_step(start, index, 0);
            if fault.duration > 0.0 {
                self.event_queue.schedule(end, WorldEvent::FaultEnd(index));
            }
        }
    }

    fn schedule_fault_step(&mut self, due: Duration, fault: usize, step: usize) {
        self.event_queue
            .schedule(due, WorldEvent::FaultStep { fault, step });
    }

    /// Schedules the further steps of a fault, spread over its time.
    fn schedule_further_steps(&mut self, fault_step: FaultStep, lasts: f64, step_count: usize) {
        let interval = seconds(lasts / step_count.max(1) as f64);
        for step in 1..step_count {
            let due = fault_step.now + interval * step as u32;
            self.schedule_fault_step(due, fault_step.fault, step);
        }
    }

    /// A fault begins, or takes a further step.
    pub(super) fn on_fault_step(
        &mut self,
        now: Duration,
        index: usize,
        step: usize,
        actions: &mut Vec<Action>,
    ) {
        let fault_step = FaultStep {
            now,
            fault: index,
            step,
        };
        let fault = self.experiment.faults[index].clone();
        let until = now + seconds(fault.duration);
        match fault.kind {
            Kind::CounterSilent => self.counters.set_primary_mode(CounterMode::Silent),
            Kind::CounterBusy => self.counters.set_primary_mode(CounterMode::Busy),
            Kind::CounterReset => self.reset_counter(actions),
            Kind::CounterSlow => {
                let mode = CounterMode::Slow(fault.factor);
                self.counters.set_primary_mode(mode);
            }
            Kind::CounterEmpty => self.counters.clear_primary(),
            Kind::CounterSplit => self.assign_second_counter(fault.share, actions),
            Kind::CounterSwap => self.assign_second_counter(1.0, actions),
            Kind::ServersSlow => self.impair_servers(fault_step, &fault, slow_down),
            Kind::ServersFailing => self.impair_servers(fault_step, &fault, fail_some),
            Kind::RouteUnanswered => self.leave_route_unanswered(fault_step, &fault),
            Kind::ServersSilent => self.take_servers_down(&fault, Health::Silent, until, actions),
            Kind::ServersCrash => self.take_servers_down(&fault, Health::Down, until, actions),
            Kind::ServersReplace => self.replace_server(fault_step, &fault, actions),
            Kind::MalformedResponses => {
                self.faults.malformed_share = TimedValue {
                    until,
                    value: fault.share,
                }
            }
            Kind::ListLate => self.endpoint_list.delay_until(until, fault.factor),
            Kind::ListSilent => self.endpoint_list.suspend_until(until),
            Kind::ListWrong => self.delist_servers(fault_step, &fault),
            // These are known from the start of the run.
            Kind::Surge | Kind::DeadlineSurge | Kind::PlanBurst | Kind::Scan => (),
            Kind::Shift => self.shift_accounts(fault.share),
            Kind::Impatient => self.clients.patience = fault.factor.clamp(MIN_PATIENCE, 1.0),
            Kind::Heedless => self.clients.ignoring_share = fault.share,
            Kind::MisbehavingClients => {
                actions.push(Action::AddMisbehavingClients(fault.factor as usize))
            }
            Kind::GatewaysKill => self.kill_gateways(fault_step, fault.share, until, actions),
            Kind::GatewaysRestart => self.restart_gateway(fault_step, &fault, actions),
            Kind::GatewaysMove => self.move_gateways(fault.share, actions),
            Kind::ZoneCut => self.network.partition_zone(fault.zone, until),
            Kind::ZoneLost => self.silence_zone(fault.zone, until, actions),
            Kind::PeersLost => self.network.lose_datagrams_until(until, fault.share),
        }
    }

    /// A fault ends; those that are not named here end by themselves.
    pub(super) fn on_fault_end(&mut self, now: Duration, index: usize, actions: &mut Vec<Action>) {
        let fault = self.experiment.faults[index].clone();
        match fault.kind {
            Kind::CounterSilent | Kind::CounterBusy | Kind::CounterReset | Kind::CounterSlow => {
                self.counters.set_primary_mode(CounterMode::Answering);
                if fault.loses_counts {
                    self.counters.clear_primary();
                }
            }
            Kind::CounterSplit => {
                let moved = self.counters.assign_primary_to_all();
                actions.extend(moved.into_iter().map(Action::MovePlatform));
            }
            Kind::ServersSlow => self.relieve_servers(index, |server| {
                server.slowdown /= fault.factor.max(1e-9);
            }),
            Kind::ServersFailing => self.relieve_servers(index, |server| {
                server.failure_share = 0.0;
            }),
            Kind::RouteUnanswered => self.relieve_servers(index, |server| {
                server.unanswered_routes.pop();
            }),
            Kind::ListWrong => self.relist_servers(now, index),
            Kind::Impatient => self.clients.patience = 1.0,
            Kind::Heedless => self.clients.ignoring_share = 0.0,
            _ => (),
        }
    }

    // ---- the counter ----

    fn reset_counter(&mut self, actions: &mut Vec<Action>) {
        self.counters.set_primary_mode(CounterMode::Resetting);
        actions.push(Action::ResetCounterConnections);
    }

    /// A share of the gateways uses a second counter, which starts empty.
    fn assign_second_counter(&mut self, share: f64, actions: &mut Vec<Action>) {
        self.counters.start_secondary();
        for gateway in self.draw_gateways(share) {
            self.counters.assign_secondary(gateway);
            actions.push(Action::MovePlatform(gateway));
        }
    }

    // ---- servers ----

    /// A share of the servers in service, by chance.
    fn draw_servers(&mut self, share: f64) -> Vec<ServerId> {
        let in_service =
            |server: &Server| server.listing == ListingState::Active && server.health == Health::Up;
        let servers = self.servers().filter(|(_, server)| in_service(server));
        let mut drawn: Vec<ServerId> = servers.map(|(id, _)| id).collect();
        let count = (drawn.len() as f64 * share).round() as usize;
        self.rng.shuffle(&mut drawn);
        drawn.truncate(count);
        drawn
    }

    /// Impairs a share of the servers until the fault ends.
    fn impair_servers(
        &mut self,
        fault_step: FaultStep,
        fault: &Fault,
        impair: fn(&mut Server, f64),
    ) {
        let servers = self.draw_servers(fault.share);
        for server in &servers {
            impair(self.server_mut(*server), fault.factor);
        }
        self.faults
            .affected_servers
            .insert(fault_step.fault, servers);
    }

    /// A share of the servers leaves one route unanswered until the fault ends.
    fn leave_route_unanswered(&mut self, fault_step: FaultStep, fault: &Fault) {
        let servers = self.draw_servers(fault.share);
        let name = fault.route.as_ref();
        let route = name.and_then(|name| self.experiment.route_index(name));
        for server in &servers {
            self.server_mut(*server).unanswered_routes.extend(route);
        }
        self.faults
            .affected_servers
            .insert(fault_step.fault, servers);
    }

    /// Ends what a fault did to its servers.
    fn relieve_servers(&mut self, fault: usize, relieve: impl Fn(&mut Server)) {
        let servers = self.faults.affected_servers.remove(&fault);
        for server in servers.unwrap_or_default() {
            relieve(self.server_mut(server));
        }
    }

    /// A share of the servers is silent or down until then.
    fn take_servers_down(
        &mut self,
        fault: &Fault,
        health: Health,
        until: Duration,
        actions: &mut Vec<Action>,
    ) {
        for server in self.draw_servers(fault.share) {
            self.take_server_down(server, health, actions);
            self.schedule_return(server, until);
        }
    }

    /// A whole zone's servers are silent until then.
    fn silence_zone(&mut self, zone: usize, until: Duration, actions: &mut Vec<Action>) {
        let affected = |server: &Server| {
            server.zone == zone
                && server.listing == ListingState::Active
                && server.health == Health::Up
        };
        let servers = self.servers().filter(|(_, server)| affected(server));
        let ids: Vec<ServerId> = servers.map(|(id, _)| id).collect();
        for server in ids {
            self.take_server_down(server, Health::Silent, actions);
            self.schedule_return(server, until);
        }
    }

    fn schedule_return(&mut self, server: ServerId, due: Duration) {
        self.event_queue
            .schedule(due, WorldEvent::ServerReturns(server));
    }

    /// A server's process ends, or is not heard any more.
    fn take_server_down(&mut self, server: ServerId, health: Health, actions: &mut Vec<Action>) {
        if self.server(server).health == Health::Overloaded {
            return;
        }
        self.server_mut(server).crash(health);
        if health == Health::Down {
            actions.push(Action::StopServer(server));
        }
    }

    /// A server that was away is back under its old name, and warms up.
    pub(super) fn on_server_returns(
        &mut self,
        now: Duration,
        id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let server = self.server_mut(id);
        let is_away = matches!(server.health, Health::Silent | Health::Down);
        if !is_away || server.listing != ListingState::Active {
            return;
        }
        let was_silent = server.health == Health::Silent;
        server.start(now);
        if was_silent {
            // What a silent machine still held open is reset when it is back.
            server.incarnation += 1;
            actions.push(Action::StopServer(id));
        }
        actions.push(Action::RestartServer(id));
        self.change_endpoint(now, id, ListingState::Active);
    }

    /// Servers are replaced one after another, each by a new one that warms up.
    fn replace_server(&mut self, fault_step: FaultStep, fault: &Fault, actions: &mut Vec<Action>) {
        if fault_step.step == 0 {
            let servers = self.draw_servers(fault.share);
            self.schedule_further_steps(fault_step, fault.duration, servers.len());
            self.faults
                .affected_servers
                .insert(fault_step.fault, servers);
        }
        let Some(old) = self.faults.affected_servers[&fault_step.fault].get(fault_step.step) else {
            return;
        };
        let old = *old;
        let zone = self.server(old).zone;
        let machine_type = self.server(old).machine_type.as_str();
        let mut kinds = self.experiment.fleet.machine_types.iter();
        let kind = kinds
            .position(|kind| kind.name == machine_type)
            .unwrap_or(0);
        self.server_mut(old).listing = ListingState::Draining;
        self.change_endpoint(fault_step.now, old, ListingState::Draining);
        let replacement = self.add_server(zone, kind);
        self.server_mut(replacement).start(fault_step.now);
        actions.push(Action::AddServer(replacement));
        self.change_endpoint(fault_step.now, replacement, ListingState::Active);
        self.event_queue
            .schedule(fault_step.now + DRAIN_TIME, WorldEvent::ServerRetires(old));
    }

    /// A draining server has finished what it had: its process ends and the endpoint list drops it.
    pub(super) fn on_server_retires(
        &mut self,
        now: Duration,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        self.server_mut(server).listing = ListingState::Removed;
        self.take_server_down(server, Health::Down, actions);
        self.change_endpoint(now, server, ListingState::Removed);
    }

    // ---- the endpoint list ----

    /// The list drops a share of the servers, though they are in service.
    fn delist_servers(&mut self, fault_step: FaultStep, fault: &Fault) {
        let servers = self.draw_servers(fault.share);
        for server in &servers {
            self.change_endpoint(fault_step.now, *server, ListingState::Removed);
        }
        self.faults
            .affected_servers
            .insert(fault_step.fault, servers);
    }

    /// The list gives the servers that it had dropped as they are.
    fn relist_servers(&mut self, now: Duration, fault: usize) {
        let servers = self.faults.affected_servers.remove(&fault);
        for server in servers.unwrap_or_default() {
            let listing = self.server(server).listing;
            self.change_endpoint(now, server, listing);
        }
    }

    // ---- clients ----

    /// A share of the accounts comes through another busiest gateway.
    fn shift_accounts(&mut self, share: f64) {
        for account in &mut self.clients.accounts {
            if self.rng.generate::<f64>() < share {
                let shift = 1 + self.rng.generate::<u32>() % MAX_SHIFT;
                account.busiest_offset += shift as usize;
            }
        }
    }

    // ---- gateways ----

    /// A share of the gateways, by chance.
    fn draw_gateways(&mut self, share: f64) -> Vec<usize> {
        let mut drawn: Vec<usize> = (0..self.gateways.count()).collect();
        let count = (drawn.len() as f64 * share).round() as usize;
        self.rng.shuffle(&mut drawn);
        drawn.truncate(count);
        drawn
    }

    fn kill_gateways(
        &mut self,
        fault_step: FaultStep,
        share: f64,
        until: Duration,
        actions: &mut Vec<Action>,
    ) {
        for gateway in self.draw_gateways(share) {
            self.on_gateway_kill(fault_step.now, gateway, actions);
            self.event_queue
                .schedule(until, WorldEvent::GatewayStart(gateway));
        }
    }

    /// Discovery and counter of a share of the gateways get new addresses.
    fn move_gateways(&mut self, share: f64, actions: &mut Vec<Action>) {
        let moved = self.draw_gateways(share);
        actions.extend(moved.into_iter().map(Action::MovePlatform));
    }

    /// Gateways are told to stop one after another, and killed when all that they had must be answered.
    fn restart_gateway(&mut self, fault_step: FaultStep, fault: &Fault, actions: &mut Vec<Action>) {
        if fault_step.step == 0 {
            let gateways = self.draw_gateways(fault.share);
            self.schedule_further_steps(fault_step, fault.duration, gateways.len());
            self.faults
                .affected_gateways
                .insert(fault_step.fault, gateways);
        }
        let Some(gateway) = self.faults.affected_gateways[&fault_step.fault].get(fault_step.step)
        else {
            return;
        };
        let gateway = *gateway;
        if self.gateways.state(gateway) != GatewayState::Ready {
            return;
        }
        self.gateways
            .set_state(fault_step.now, gateway, GatewayState::Stopping);
        actions.push(Action::StopGateway(gateway));
        let longest_wait = self
            .experiment
            .max_client_timeout()
            .min(MAX_STOP_WAIT_SECONDS);
        let killed_at = fault_step.now + seconds(longest_wait + STOP_MARGIN_SECONDS);
        self.event_queue
            .schedule(killed_at, WorldEvent::GatewayKill(gateway));
        let started_at = killed_at + RESTART_DELAY;
        self.event_queue
            .schedule(started_at, WorldEvent::GatewayStart(gateway));
    }
}

/// A server takes so many times as long.
fn slow_down(server: &mut Server, factor: f64) {
    server.slowdown *= factor;
}

/// A share of a server's responses are errors.
fn fail_some(server: &mut Server, share: f64) {
    server.failure_share = share.min(1.0);
}
