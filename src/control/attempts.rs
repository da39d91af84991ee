//! Upstream tries and the one final answer.

use super::*;

pub(super) const RETRY_AFTER: Duration = ms(5000); // advice to a client where nothing better is known
const HELD_UP: Duration = ms(150); // the longest that a gateway stands still between its clock and a write
const LEAST_RETRY_AFTER: Duration = ms(50);
const LONGEST_RETRY_AFTER: Duration = ms(30_000);

impl AdmissionController {
    /// The one place every upstream try passes: the rules on answers, effects, drains and cold servers.
    pub(super) fn send(&mut self, call: RequestId, customer: CustomerId, hold: u64) {
        let mut rng = self.rng.clone();
        let Some(asked) = self.calls.get(&call) else {
            return self.release(&customer, hold);
        };
        let (route, units) = (asked.arrival.route.clone(), asked.arrival.units);
        let left = self.patience(asked);
        let terms = &asked.route;
        // A repeat has to reach a server that knows the first by its token while that is remembered.
        let (whole_by, first) = match (&asked.ran, terms.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => (Duration::MAX, None),
            (Some(ran), Idempotency::Keyed) => (
                (ran.at + terms.deduplication_window).saturating_sub(self.leeway() + HELD_UP),
                Some(ran),
            ),
            (Some(_), Idempotency::NonIdempotent) => (Duration::ZERO, None),
        };
        let harmless = |server: &Server| match (first, terms.deduplication_scope) {
            _ if whole_by <= self.now => false,
            (None, _) | (_, DeduplicationScope::All) => true,
            (Some(ran), DeduplicationScope::Zone) => ran.zone == server.listed.zone,
            (Some(ran), DeduplicationScope::Cell) => ran.cell == server.listed.cell,
        };
        let able = |at: &Server| {
            at.listed.state == EndpointState::Ready && harmless(at) && self.has_room(at)
        };
        let drawn = self.draw(&mut rng, &able, asked.last.as_ref(), &route);
        let (first, unsure, plan) = (asked.tries == 0, asked.unsure, asked.arrival.plan.clone());
        let barred = drawn.is_none() || left.is_zero() || asked.out.is_some();
        if barred || (first && !self.under_ceiling(&customer, &plan, units, unsure)) {
            self.release(&customer, hold);
            self.settle(&customer, if first { -units } else { 0.0 }, unsure);
            return self.answer(&call, RETRY_AFTER);
        }
        let (now, at) = (self.now, drawn.expect("else barred"));
        let share = self.share(&self.servers[&at]);
        // What is permitted now is not to arrive with later ones.
        let soon = share.map_or(Duration::MAX, |share| now + share.permit_lifetime / 2);
        let whole_by = whole_by.min(soon);
        let server = self.servers.get_mut(&at).expect("chosen from the list");
        self.rng = rng;
        let sent = Sent {
            at: now,
            zone: server.listed.zone.clone(),
            cell: server.listed.cell,
        };
        (server.open, self.fleet.open) = (server.open + 1, self.fleet.open + 1.0);
        self.fleet.sends += 1.0;
        share
            .into_iter()
            .for_each(|share| server.ramp.take_one(now, share));
        let asked = self.calls.get_mut(&call).expect("looked up above");
        let (number, taken) = (AttemptNumber(asked.tries), asked.taken);
        (asked.tries, asked.out, asked.last) = (asked.tries + 1, Some(number), Some(at.clone()));
        self.port.send(&call, &at, left, whole_by);
        let key = (call.clone(), number);
        let over = move |c: &mut AdmissionController, end: AttemptResult| {
            c.note_loss(&at, &route, &end);
            c.judge(&at, &route, &end);
            c.release(&customer, hold);
            c.settle(
                &customer,
                end.settled_units.map_or(0.0, |settled| settled - units),
                unsure,
            );
            let came = !matches!(
                end.outcome,
                AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
            );
            match c.calls.get_mut(&call) {
                Some(asked) => asked.taken |= came,
                None if !came && !taken => c.settle(&customer, -units, unsure),
                None => (),
            }
            c.over(&call, sent, end);
        };
        self.tries.insert(key, Box::new(over));
    }

    /// How long an answer is still worth something.
    pub(super) fn patience(&self, asked: &Call) -> Duration {
        let target = asked.route.latency_target;
        // A target that is not stated is none.
        let late = asked.route.late_value_ratio > 0.0 || target.is_zero();
        let until = asked.arrival.deadline.min(if late {
            Duration::MAX
        } else {
            asked.born + target
        });
        until.saturating_sub(self.now)
    }

    /// A try is over: the API call is answered, or a further try is made as far as its route permits.
    pub(super) fn over(&mut self, call: &RequestId, sent: Sent, end: AttemptResult) {
        let Some(asked) = self.calls.get_mut(call) else {
            return;
        };
        asked.out = None;
        if end.request_closed {
            return drop(self.finish(call));
        }
        if !matches!(
            end.outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        ) {
            asked.ran.get_or_insert(sent);
        }
        let (tries, once) = (asked.tries, asked.ran.is_some());
        let customer = asked.arrival.customer.clone();
        let barred = once && asked.route.idempotency == Idempotency::NonIdempotent;
        let late = self.patience(&self.calls[call]) < ms(50);
        let tried = tries >= self.settings.limits.max_attempts;
        if late || barred || tried || self.fleet.further < 1.0 {
            return self.answer(call, RETRY_AFTER);
        }
        self.fleet.further -= 1.0;
        let again = call.clone();
        let held = move |c: &mut AdmissionController, hold| match hold {
            Err(ahead) => c.answer(&again, c.until_free(&again, ahead)),
            Ok(hold) => c.send(again, customer, hold),
        };
        self.hold(call, Box::new(held));
    }

    /// The API call is over: a try that is out is given up. Where none came to a server, its units go back.
    pub(super) fn finish(&mut self, call: &RequestId) -> Option<Call> {
        let asked = self.calls.remove(call)?;
        match asked.out {
            Some(number) if self.settings.limits.may_cancel => self.port.cancel(call, number),
            None if asked.tries > 0 && !asked.taken => {
                self.settle(&asked.arrival.customer, -asked.arrival.units, asked.unsure);
            }
            _ => (),
        }
        Some(asked)
    }

    /// What a step may take beyond what it was reckoned with: the last moment lies so far ahead.
    pub(super) fn leeway(&self) -> Duration {
        self.settings.timer_resolution * 2
    }

    /// Advice under a full cap: the calls ahead take the route's usual latency each; while that is not known,
    /// as the design has it.
    pub(super) fn until_free(&self, call: &RequestId, ahead: f64) -> Duration {
        let route = self.calls.get(call).map(|asked| &asked.arrival.route);
        let usual = route
            .and_then(|route| self.usual_latency(route))
            .map(seconds);
        usual.unwrap_or(RETRY_AFTER).mul_f64(ahead.clamp(1.0, 99.0))
    }

    /// Advice to a customer whose store can't hold the units yet: when it will, as far as the totals tell.
    pub(super) fn until_refill(&self, customer: &CustomerId) -> Duration {
        let until = self
            .accounts
            .get(customer)
            .map_or(Duration::ZERO, |account| account.refused_until);
        if until > self.now {
            until - self.now
        } else {
            RETRY_AFTER
        }
    }

    /// It was taken and is not let in: nothing of it has run.
    pub fn reject_unadmitted(&mut self, call: &RequestId) {
        self.port.reject(call, RETRY_AFTER);
    }

    /// Its time is up sooner than it was told: it is answered now.
    pub fn on_deadline_moved_up(&mut self, call: &RequestId) {
        self.answer(call, RETRY_AFTER);
    }

    /// The one final answer. Rate-limited where it is harmless to come again, else errored.
    pub(super) fn answer(&mut self, call: &RequestId, retry_after: Duration) {
        let Some(asked) = self.finish(call) else {
            return;
        };
        let harmless = match asked.route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed if asked.route.deduplication_scope == DeduplicationScope::All => {
                true
            }
            _ => asked.out.is_none() && asked.ran.is_none(),
        };
        match harmless {
            true => self.port.reject(
                call,
                retry_after.clamp(LEAST_RETRY_AFTER, LONGEST_RETRY_AFTER),
            ),
            false => self.port.fail(call),
        }
    }
}
