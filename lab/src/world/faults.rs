//! The troubles of a day: what each kind does to the world when it begins, at its steps and when it ends.

use super::clients::Surge;
use super::counter::{Counter, Mode};
use super::event_queue::WorldEvent;
use super::server::{Health, ListingState};
use super::{secs, Action, GatewayState, World};
use crate::events::ServerId;
use crate::experiment::{Trouble, TroubleKind};
use nanorand::Rng;
use std::time::Duration;

/// Servers that are to leave finish what they have for so long before their process ends.
const LEAVING: Duration = Duration::from_secs(2);
/// A client timeout that the platform waits for before it kills counts as no more than this, in seconds.
const LONGEST_COUNTED: f64 = 3.0;
/// A gateway's process is started again so long after it has ended.
const AGAIN: Duration = Duration::from_millis(300);

impl World {
    /// What a trouble needs before the day begins.
    pub(super) fn expect(&mut self, place: usize) {
        let it = self.experiment.troubles[place].clone();
        let (from, to) = (secs(it.at), secs(it.at + it.lasts));
        let plan = it.plan.as_ref().and_then(|name| self.experiment.plan(name));
        match it.kind {
            TroubleKind::Surge | TroubleKind::DeadlineSurge | TroubleKind::PlanBurst => {
                let grows = it.kind == TroubleKind::DeadlineSurge;
                self.clients.expect(Surge {
                    plan,
                    from,
                    to,
                    factor: it.factor,
                    grows,
                });
            }
            TroubleKind::Scan => self.scan.push((from, to, it.share)),
            _ => (),
        }
        self.event_queue
            .at(from, WorldEvent::Trouble { place, step: 0 });
        if it.lasts > 0.0 {
            self.event_queue.at(to, WorldEvent::TroubleEnds(place));
        }
    }

    /// Some of the servers that are in service, by chance: so many of all.
    fn some_servers(&mut self, share: f64) -> Vec<ServerId> {
        let fit =
            |it: &super::Server| it.listing == ListingState::Active && it.health == Health::Up;
        let all = self.servers.iter().enumerate().filter(|(_, it)| fit(it));
        let mut all: Vec<ServerId> = all.map(|(place, _)| ServerId(place as u32)).collect();
        let wanted = (all.len() as f64 * share).round() as usize;
        self.chance.shuffle(&mut all);
        all.truncate(wanted);
        all
    }

    fn some_gateways(&mut self, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.gateways.len()).collect();
        let wanted = (all.len() as f64 * share).round() as usize;
        self.chance.shuffle(&mut all);
        all.truncate(wanted);
        all
    }

    fn at_server(&mut self, server: ServerId) -> &mut super::Server {
        &mut self.servers[server.0 as usize]
    }

    /// A server's process ends; connections are reset.
    fn fell_down(&mut self, server: ServerId, health: Health, actions: &mut Vec<Action>) {
        if self.at_server(server).health == Health::Fallen {
            return;
        }
        self.at_server(server).crash(health);
        if health == Health::Down {
            actions.push(Action::StopServer(server));
        }
    }

    /// A server that was to leave has finished what it had: its process ends and the list forgets it.
    pub(super) fn retires(&mut self, now: Duration, server: ServerId, actions: &mut Vec<Action>) {
        self.at_server(server).listing = ListingState::Removed;
        self.fell_down(server, Health::Down, actions);
        self.change(now, server, ListingState::Removed);
    }

    /// A server that was away is back, cold, under its old name.
    pub(super) fn returns(&mut self, now: Duration, server: ServerId, actions: &mut Vec<Action>) {
        let it = self.at_server(server);
        if matches!(it.health, Health::Up | Health::Fallen) || it.listing != ListingState::Active {
            return;
        }
        let was_silent = it.health == Health::Silent;
        it.start(now);
        // What a silent machine still held open is reset when it is back.
        if was_silent {
            it.incarnation += 1;
            actions.push(Action::StopServer(server));
        }
        actions.push(Action::RestartServer(server));
        self.change(now, server, ListingState::Active);
    }

    pub(super) fn trouble(
        &mut self,
        now: Duration,
        place: usize,
        step: usize,
        actions: &mut Vec<Action>,
    ) {
        let it = self.experiment.troubles[place].clone();
        let until = now + secs(it.lasts);
        match it.kind {
            TroubleKind::CounterSilent => self.counters[0].mode = Mode::Silent,
            TroubleKind::CounterBusy => self.counters[0].mode = Mode::Busy,
            TroubleKind::CounterReset => {
                self.counters[0].mode = Mode::Reset;
                actions.push(Action::ResetCounterConnections);
            }
            TroubleKind::CounterSlow => self.counters[0].mode = Mode::Slow(it.factor),
            TroubleKind::CounterEmpty => self.counters[0].empty(),
            TroubleKind::CounterSplit | TroubleKind::CounterSwap => {
                self.counters[1] = Counter::new(&self.counter_terms());
                let share = if it.kind == TroubleKind::CounterSplit {
                    it.share
                } else {
                    1.0
                };
                for gateway in self.some_gateways(share) {
                    self.gateways[gateway].counter = 1;
                    actions.push(Action::MovePlatform(gateway));
                }
            }
            TroubleKind::ServersSlow
            | TroubleKind::ServersFailing
            | TroubleKind::RouteUnanswered => {
                let servers = self.some_servers(it.share);
                let route = it
                    .route
                    .as_ref()
                    .and_then(|name| self.experiment.route(name));
                for server in &servers {
                    let at = self.at_server(*server);
                    match it.kind {
                        TroubleKind::ServersSlow => at.slow *= it.factor,
                        TroubleKind::ServersFailing => at.failing = it.factor.min(1.0),
                        _ => at.mute.extend(route),
                    }
                }
                self.taken_servers.insert(place, servers);
            }
            TroubleKind::ServersSilent | TroubleKind::ServersCrash => {
                let silent = it.kind == TroubleKind::ServersSilent;
                let health = if silent { Health::Silent } else { Health::Down };
                for server in self.some_servers(it.share) {
                    self.fell_down(server, health, actions);
                    self.event_queue.at(until, WorldEvent::Returns(server));
                }
            }
            TroubleKind::ZoneLost => {
                for server in (0..self.servers.len() as u32).map(ServerId) {
                    let at = self.at_server(server);
                    if at.zone == it.zone
                        && at.listing == ListingState::Active
                        && at.health == Health::Up
                    {
                        self.fell_down(server, Health::Silent, actions);
                        self.event_queue.at(until, WorldEvent::Returns(server));
                    }
                }
            }
            TroubleKind::ServersReplace => self.replace(now, place, step, &it, actions),
            TroubleKind::AnswersSpoilt => self.spoilt = (until, it.share),
            TroubleKind::ListLate => self.late_list = (until, it.factor),
            TroubleKind::ListSilent => self.silent_list = until,
            TroubleKind::ListWrong => {
                let servers = self.some_servers(it.share);
                for server in &servers {
                    self.change(now, *server, ListingState::Removed);
                }
                self.taken_servers.insert(place, servers);
            }
            TroubleKind::Surge
            | TroubleKind::DeadlineSurge
            | TroubleKind::PlanBurst
            | TroubleKind::Scan => {}
            TroubleKind::Shift => {
                for account in &mut self.clients.accounts {
                    if self.chance.generate::<f64>() < it.share {
                        account.moved += 1 + (self.chance.generate::<u32>() % 7) as usize;
                    }
                }
            }
            TroubleKind::Impatient => self.clients.pressure.patience = it.factor.clamp(0.05, 1.0),
            TroubleKind::Heedless => self.clients.pressure.heedless = it.share,
            TroubleKind::BadClients => {
                actions.push(Action::AddMisbehavingClients(it.factor as usize))
            }
            TroubleKind::GatewaysKill => {
                for gateway in self.some_gateways(it.share) {
                    self.kill(now, gateway, actions);
                    self.event_queue.at(until, WorldEvent::Start(gateway));
                }
            }
            TroubleKind::GatewaysRestart => self.restart(now, place, step, &it, actions),
            TroubleKind::GatewaysMove => {
                for gateway in self.some_gateways(it.share) {
                    actions.push(Action::MovePlatform(gateway));
                }
            }
            TroubleKind::ZoneCut => self.cut.push((it.zone, until)),
            TroubleKind::PeersLost => self.deaf = (until, it.share),
        }
    }

    /// The further steps of a trouble, spread over its time.
    fn steps(&mut self, now: Duration, place: usize, lasts: f64, count: usize) {
        let each = secs(lasts / count.max(1) as f64);
        for later in 1..count {
            self.event_queue.at(
                now + each * later as u32,
                WorldEvent::Trouble { place, step: later },
            );
        }
    }

    /// Servers are replaced one after another, each by a new one that starts cold.
    fn replace(
        &mut self,
        now: Duration,
        place: usize,
        step: usize,
        it: &Trouble,
        actions: &mut Vec<Action>,
    ) {
        if step == 0 {
            let servers = self.some_servers(it.share);
            self.steps(now, place, it.lasts, servers.len());
            self.taken_servers.insert(place, servers);
        }
        let Some(old) = self.taken_servers[&place].get(step).copied() else {
            return;
        };
        let (zone, kind) = (
            self.at_server(old).zone,
            self.at_server(old).machine_type.clone(),
        );
        let kind = self
            .experiment
            .fleet
            .kinds
            .iter()
            .position(|known| known.name == kind)
            .unwrap_or(0);
        self.at_server(old).listing = ListingState::Draining;
        self.change(now, old, ListingState::Draining);
        let fresh = self.build(zone, kind);
        // It is listed by the change that tells its start, not by the one that made it.
        self.changes.pop();
        self.at_server(fresh).start(now);
        actions.push(Action::AddServer(fresh));
        self.change(now, fresh, ListingState::Active);
        self.event_queue.at(now + LEAVING, WorldEvent::Retires(old));
    }

    /// Gateways are told to stop one after another, and killed when all that they had must be answered.
    fn restart(
        &mut self,
        now: Duration,
        place: usize,
        step: usize,
        it: &Trouble,
        actions: &mut Vec<Action>,
    ) {
        if step == 0 {
            let gateways = self.some_gateways(it.share);
            self.steps(now, place, it.lasts, gateways.len());
            self.taken_gateways.insert(place, gateways);
        }
        let Some(gateway) = self.taken_gateways[&place].get(step).copied() else {
            return;
        };
        if self.gateways[gateway].state != GatewayState::Ready {
            return;
        }
        self.gateways[gateway].state = GatewayState::Stopping;
        self.gateways[gateway].since = now;
        actions.push(Action::StopGateway(gateway));
        let gone = now + secs(self.experiment.longest_wait().min(LONGEST_COUNTED) + 0.7);
        self.event_queue.at(gone, WorldEvent::Kill(gateway));
        self.event_queue
            .at(gone + AGAIN, WorldEvent::Start(gateway));
    }

    pub(super) fn trouble_ends(&mut self, now: Duration, place: usize, actions: &mut Vec<Action>) {
        let it = self.experiment.troubles[place].clone();
        match it.kind {
            TroubleKind::CounterSilent
            | TroubleKind::CounterBusy
            | TroubleKind::CounterReset
            | TroubleKind::CounterSlow => {
                self.counters[0].mode = Mode::Answers;
                if it.empty {
                    self.counters[0].empty();
                }
            }
            TroubleKind::CounterSplit => {
                for gateway in 0..self.gateways.len() {
                    if std::mem::replace(&mut self.gateways[gateway].counter, 0) != 0 {
                        actions.push(Action::MovePlatform(gateway));
                    }
                }
            }
            TroubleKind::ServersSlow => {
                for server in self.taken_servers.remove(&place).unwrap_or_default() {
                    self.at_server(server).slow /= it.factor.max(1e-9);
                }
            }
            TroubleKind::ServersFailing => {
                for server in self.taken_servers.remove(&place).unwrap_or_default() {
                    self.at_server(server).failing = 0.0;
                }
            }
            TroubleKind::RouteUnanswered => {
                for server in self.taken_servers.remove(&place).unwrap_or_default() {
                    self.at_server(server).mute.pop();
                }
            }
            TroubleKind::ListWrong => {
                for server in self.taken_servers.remove(&place).unwrap_or_default() {
                    let listing = self.at_server(server).listing;
                    self.change(now, server, listing);
                }
            }
            TroubleKind::Impatient => self.clients.pressure.patience = 1.0,
            TroubleKind::Heedless => self.clients.pressure.heedless = 0.0,
            _ => (),
        }
    }
}
