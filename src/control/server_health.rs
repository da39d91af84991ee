//! What the end of a try tells of its server and of the room at all of them.

use super::*;

const LOSS_HALF: f64 = 8.0; // seconds after which a loss counts half
const ERROR_LOSS: f64 = 0.25; // an answered error, against an answer that never came
pub(super) const ROOM: f64 = 16.0; // tries open at a server to start with, over all gateways
const QUICK: f64 = 0.25; // share of the latency target within which an answer is quick
const ROUND: f64 = 5.0; // so many answers are a round, in a smaller room all of it

pub(super) fn at_start() -> Fleet {
    Fleet {
        further: 3.0,
        room: f64::INFINITY,
        pace: f64::INFINITY,
        ..Fleet::default()
    }
}

impl AdmissionController {
    /// Usual latency of a route, in seconds, once one of its tries has ended.
    pub(super) fn usual_latency(&self, route: &RouteName) -> Option<f64> {
        self.usual.get(route).map(|usual| usual.seconds)
    }

    /// Moves the server's pace and the room at all of them by how a try ended.
    pub(super) fn judge(&mut self, server: &EndpointId, route: &RouteName, end: &AttemptResult) {
        let (took, now) = (end.latency.as_secs_f64(), self.now);
        let quick = took < self.settings.route(route).latency_target.as_secs_f64() * QUICK;
        let grow = 1.0 / self.gateways();
        let all = self.servers.len() as f64;
        let fleet = &mut self.fleet;
        fleet.room = if fleet.room.is_finite() {
            fleet.room
        } else {
            ROOM * all * grow
        };
        // As in a window of tries: one round of answers moves the room by one whole step.
        let step = (ROUND / fleet.room).min(1.0);
        match end.outcome {
            AttemptOutcome::Success if quick && fleet.open > fleet.room * 0.6 => {
                fleet.room += all * grow * step
            }
            AttemptOutcome::Success if quick => (),
            AttemptOutcome::ServerError | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => (),
            _ => fleet.room *= 1.0 - 0.15 * step,
        }
        (fleet.open, fleet.room) = (fleet.open - 1.0, fleet.room.max(all * grow));
        let warm = self
            .servers
            .get(server)
            .is_some_and(|server| self.warmth(server) >= 1.0);
        let first = UsualLatency::taken_to_be(took.max(0.001));
        let usual = self.usual.entry(route.clone()).or_insert(first);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.open = server.open.saturating_sub(1);
        if matches!(
            end.outcome,
            AttemptOutcome::Success | AttemptOutcome::TimedOut
        ) {
            let (kind, pace) = (
                self.kinds
                    .entry(server.listed.machine_type.clone())
                    .or_insert(1.0),
                took / usual.seconds,
            );
            server.pace += ((pace / *kind).clamp(0.2, 10.0) - server.pace) * 0.1;
            *kind += (pace.clamp(0.2, 10.0) - *kind) * 0.05;
        }
        if end.outcome == AttemptOutcome::Success {
            // Its lower third, so that queues do not make quick routes look like much work.
            usual.add(took.max(0.001), 1.01, 0.98);
            if warm {
                let faded = (-now.saturating_sub(self.fleet.done.1).as_secs_f64() / 10.0).exp();
                self.fleet.done = (self.fleet.done.0 * faded + 0.1, now);
            }
        }
    }

    /// A try was lost, or was not; what comes after the latency target is worth little or nothing. A server
    /// that can't be reached is so for every route.
    pub(super) fn note_loss(
        &mut self,
        server: &EndpointId,
        route: &RouteName,
        end: &AttemptResult,
    ) {
        let target = self.settings.route(route).latency_target;
        let lost = match end.outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
            AttemptOutcome::Success if !target.is_zero() && end.latency > target => 1.0,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => 1.0,
            AttemptOutcome::ServerError => ERROR_LOSS,
            AttemptOutcome::Success | AttemptOutcome::Rejected => 0.0,
        };
        let now = self.now;
        self.losses
            .entry(route.clone())
            .or_insert_with(|| LossRate::new(LOSS_HALF))
            .add(now, lost);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server
            .losses
            .entry(route.clone())
            .or_insert_with(|| LossRate::new(LOSS_HALF))
            .add(now, lost);
        if matches!(
            end.outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset
        ) {
            server
                .losses
                .values_mut()
                .for_each(|known| known.add(now, lost));
        }
    }
}
