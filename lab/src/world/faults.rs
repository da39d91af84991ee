//! The faults of a run: what each kind changes in the world when it begins, at its later steps and when it ends.

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

/// How long a draining server finishes its attempts before its process ends.
const DRAIN_DURATION: Duration = Duration::from_secs(2);
/// The limit on the client timeout that the platform waits for, in seconds, before it kills a gateway that was told to
/// stop.
const MAX_STOP_WAIT_SECONDS: f64 = 3.0;
/// How much longer than the client timeout the platform waits for a gateway to stop, in seconds.
const STOP_MARGIN_SECONDS: f64 = 0.7;
/// The time between the kill and the start of a restarted gateway.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The smallest factor of a fault on the clients' patience.
const MIN_PATIENCE_FACTOR: f64 = 0.05;
/// A fault moves the busiest gateway of an account on by a random number of gateways between 1 and this.
const MAX_GATEWAY_SHIFT: u32 = 7;

/// The state of faults that have begun, needed for their later steps and their end.
#[derive(Default)]
pub(super) struct FaultState {
    /// The share of responses that are malformed.
    pub(super) malformed_share: TimedValue,
    /// The servers that each fault affects, by the fault's index in the experiment.
    affected_servers: BTreeMap<usize, Vec<ServerId>>,
    /// The gateways that each fault affects, by the fault's index in the experiment.
    affected_gateways: BTreeMap<usize, Vec<usize>>,
}

/// A step of a fault that is due.
#[derive(Clone, Copy)]
struct FaultStep {
    now: Duration,
    /// The fault's index in the experiment.
    fault: usize,
    /// The step, counted from 0.
    step: usize,
}

impl World {
    /// Schedules all faults of the experiment. Surges and periods with new accounts are added to the clients at once,
    /// because arrivals are drawn for the highest rate of the whole run.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.clone().iter().enumerate() {
            let start = seconds(fault.starts_at);
            let end = seconds(fault.starts_at + fault.duration);
            match fault.kind {
                Kind::Surge | Kind::DeadlineSurge | Kind::PlanBurst => {
                    let plan = fault.plan.as_ref();
                    self.clients.add_surge(Surge {
                        plan: plan.and_then(|name| self.experiment.plan_index(name)),
                        span: start..end,
                        factor: fault.factor,
                        grows: fault.kind == Kind::DeadlineSurge,
                    });
                }
                Kind::Scan => self.clients.add_scan(AccountScan {
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

    /// Schedules the steps of a fault after its first one, spread evenly over its duration.
    fn schedule_later_steps(
        &mut self,
        fault_step: FaultStep,
        duration_seconds: f64,
        step_count: usize,
    ) {
        let interval = seconds(duration_seconds / step_count.max(1) as f64);
        for step in 1..step_count {
            let due = fault_step.now + interval * step as u32;
            self.schedule_fault_step(due, fault_step.fault, step);
        }
    }

    /// Begins a fault (step 0) or carries out a later step.
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
            Kind::ServersSlow => self.degrade_servers(fault_step, &fault, slow_down),
            Kind::ServersFailing => self.degrade_servers(fault_step, &fault, set_failure_share),
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
            // These were added to the clients before the start of the run.
            Kind::Surge | Kind::DeadlineSurge | Kind::PlanBurst | Kind::Scan => (),
            Kind::Shift => self.shift_accounts(fault.share),
            Kind::Impatient => {
                self.clients.patience_factor = fault.factor.clamp(MIN_PATIENCE_FACTOR, 1.0)
            }
            Kind::Heedless => self.clients.ignored_retry_after_share = fault.share,
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

    /// Ends a fault. Faults without an entry here end by themselves or last until the end of the run.
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
            Kind::ServersSlow => self.restore_servers(index, |server| {
                server.slowdown /= fault.factor.max(1e-9);
            }),
            Kind::ServersFailing => self.restore_servers(index, |server| {
                server.failure_share = 0.0;
            }),
            Kind::RouteUnanswered => self.restore_servers(index, |server| {
                server.unanswered_routes.pop();
            }),
            Kind::ListWrong => self.relist_servers(now, index),
            Kind::Impatient => self.clients.patience_factor = 1.0,
            Kind::Heedless => self.clients.ignored_retry_after_share = 0.0,
            _ => (),
        }
    }

    // ---- the counter ----

    fn reset_counter(&mut self, actions: &mut Vec<Action>) {
        self.counters.set_primary_mode(CounterMode::Resetting);
        actions.push(Action::ResetCounterConnections);
    }

    /// Makes a share of the gateways use the secondary counter, which starts empty.
    fn assign_second_counter(&mut self, share: f64, actions: &mut Vec<Action>) {
        self.counters.start_secondary();
        for gateway in self.draw_gateways(share) {
            self.counters.assign_secondary(gateway);
            actions.push(Action::MovePlatform(gateway));
        }
    }

    // ---- servers ----

    /// Draws a share of the servers that are listed as active and are up.
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

    /// Degrades a share of the servers until the fault ends.
    fn degrade_servers(
        &mut self,
        fault_step: FaultStep,
        fault: &Fault,
        degrade: fn(&mut Server, f64),
    ) {
        let servers = self.draw_servers(fault.share);
        for server in &servers {
            degrade(self.server_mut(*server), fault.factor);
        }
        self.faults
            .affected_servers
            .insert(fault_step.fault, servers);
    }

    /// Makes a share of the servers leave one route unanswered until the fault ends.
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

    /// Restores the servers that a fault affects.
    fn restore_servers(&mut self, fault: usize, restore: impl Fn(&mut Server)) {
        let servers = self.faults.affected_servers.remove(&fault);
        for server in servers.unwrap_or_default() {
            restore(self.server_mut(server));
        }
    }

    /// Makes a share of the servers silent or takes them down until `until`.
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

    /// Makes all servers of a zone silent until `until`.
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

    /// Makes a server silent or takes it down, as `health` says. Overloaded servers stay as they are.
    fn take_server_down(&mut self, server: ServerId, health: Health, actions: &mut Vec<Action>) {
        if self.server(server).health == Health::Overloaded {
            return;
        }
        self.server_mut(server).crash(health);
        if health == Health::Down {
            actions.push(Action::StopServer(server));
        }
    }

    /// Restarts a server that was silent or down. It keeps its name and begins a slow start.
    pub(super) fn on_server_returns(
        &mut self,
        now: Duration,
        id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let server = self.server_mut(id);
        let is_unavailable = matches!(server.health, Health::Silent | Health::Down);
        if !is_unavailable || server.listing != ListingState::Active {
            return;
        }
        let was_silent = server.health == Health::Silent;
        server.start(now);
        if was_silent {
            // Connections that a silent server still held open are reset when it returns.
            server.incarnation += 1;
            actions.push(Action::StopServer(id));
        }
        actions.push(Action::RestartServer(id));
        self.change_endpoint(now, id, ListingState::Active);
    }

    /// Replaces one server per step by a new one of the same zone and machine type, which begins a slow start.
    fn replace_server(&mut self, fault_step: FaultStep, fault: &Fault, actions: &mut Vec<Action>) {
        if fault_step.step == 0 {
            let servers = self.draw_servers(fault.share);
            self.schedule_later_steps(fault_step, fault.duration, servers.len());
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
        let mut machine_types = self.experiment.fleet.machine_types.iter();
        let machine_type_index = machine_types
            .position(|it| it.name == machine_type)
            .unwrap_or(0);
        self.server_mut(old).listing = ListingState::Draining;
        self.change_endpoint(fault_step.now, old, ListingState::Draining);
        let replacement = self.add_server(zone, machine_type_index);
        self.server_mut(replacement).start(fault_step.now);
        actions.push(Action::AddServer(replacement));
        self.change_endpoint(fault_step.now, replacement, ListingState::Active);
        self.event_queue.schedule(
            fault_step.now + DRAIN_DURATION,
            WorldEvent::ServerRetires(old),
        );
    }

    /// Ends the process of a drained server and removes it from the endpoint list.
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

    /// Removes a share of the servers from the endpoint list, although they are up.
    fn delist_servers(&mut self, fault_step: FaultStep, fault: &Fault) {
        let servers = self.draw_servers(fault.share);
        for server in &servers {
            self.change_endpoint(fault_step.now, *server, ListingState::Removed);
        }
        self.faults
            .affected_servers
            .insert(fault_step.fault, servers);
    }

    /// Lists the servers again that a fault removed from the endpoint list, with their current state.
    fn relist_servers(&mut self, now: Duration, fault: usize) {
        let servers = self.faults.affected_servers.remove(&fault);
        for server in servers.unwrap_or_default() {
            let listing = self.server(server).listing;
            self.change_endpoint(now, server, listing);
        }
    }

    // ---- clients ----

    /// Moves the busiest gateway of each account on by a random number of gateways, with probability `share`.
    fn shift_accounts(&mut self, share: f64) {
        for account in &mut self.clients.accounts {
            if self.rng.generate::<f64>() < share {
                let shift = 1 + self.rng.generate::<u32>() % MAX_GATEWAY_SHIFT;
                account.busiest_offset += shift as usize;
            }
        }
    }

    // ---- gateways ----

    /// Draws a share of the gateways.
    fn draw_gateways(&mut self, share: f64) -> Vec<usize> {
        let mut drawn: Vec<usize> = (0..self.gateways.count()).collect();
        let count = (drawn.len() as f64 * share).round() as usize;
        self.rng.shuffle(&mut drawn);
        drawn.truncate(count);
        drawn
    }

    /// Kills a share of the gateways and starts them again at `until`.
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

    /// Moves discovery and the counter to new addresses for a share of the gateways.
    fn move_gateways(&mut self, share: f64, actions: &mut Vec<Action>) {
        let moved = self.draw_gateways(share);
        actions.extend(moved.into_iter().map(Action::MovePlatform));
    }

    /// Tells one gateway per step to stop, if it is ready. The gateway is killed after the longest client timeout (at
    /// most [`MAX_STOP_WAIT_SECONDS`]) and a margin, and is then started again. It must have answered its requests by
    /// the kill.
    fn restart_gateway(&mut self, fault_step: FaultStep, fault: &Fault, actions: &mut Vec<Action>) {
        if fault_step.step == 0 {
            let gateways = self.draw_gateways(fault.share);
            self.schedule_later_steps(fault_step, fault.duration, gateways.len());
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

/// Multiplies a server's execution times by a factor.
fn slow_down(server: &mut Server, factor: f64) {
    server.slowdown *= factor;
}

/// Makes a share of a server's responses errors.
fn set_failure_share(server: &mut Server, share: f64) {
    server.failure_share = share.min(1.0);
}
