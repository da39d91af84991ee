//! Which API calls are let in: what comes in, what is refused at once, and the one periodic timer.

use super::*;

const TICK: Duration = ms(50); // the one periodic timer
const FORGET: Duration = ms(60_000); // a customer not heard of for so long
const SHED_FROM: f64 = 0.6; // share of the room in use from which little worth for the work is refused
const TRY_SHARE: f64 = 0.2; // further tries paid by an API call taken
const SHORTEST: f64 = 0.1; // a window, in seconds, whatever the settings say
const LONGEST: f64 = 1e6;

impl AdmissionController {
    pub fn on_request(&mut self, arrival: Request) {
        let now = self.now;
        let (rate, burst, window) = self.terms(&arrival.plan);
        let rank = (f64::from(self.settings.gateway_index) - f64::from(arrival.first_gateway))
            .rem_euclid(self.gateways());
        let account = self.accounts.entry(arrival.customer.clone()).or_default();
        let spread = f64::from(arrival.gateway_count.max(1));
        (account.spread, account.rank) = (spread, rank);
        let idle = now.saturating_sub(account.asked).as_secs_f64();
        account.demand = account.demand * (-idle / window).exp() + arrival.units / window;
        account.asked = now;
        let spent = account.refused_until > now;
        let cap = self.cap(&arrival.plan).unwrap_or(f64::INFINITY);
        let part = if rate > 0.0 { burst } else { cap } / spread;
        self.bears.thin += (f64::from(u8::from(part < arrival.units)) - self.bears.thin) * 0.02;
        self.bears.value += (self.value(&arrival) - self.bears.value) * 0.05;
        self.fleet.further = (self.fleet.further + TRY_SHARE).min(10.0);
        let (call, timed, customer) = (
            arrival.id.clone(),
            arrival.id.clone(),
            arrival.customer.clone(),
        );
        let last = arrival.deadline.saturating_sub(self.leeway()).max(now);
        let route = self.settings.route(&arrival.route).clone();
        self.calls.insert(
            call.clone(),
            Call::new(arrival, route, now, self.skipping()),
        );
        if spent {
            return self.answer(&call, self.until_refill(&customer));
        }
        if self.crowded(&call) {
            return self.answer(&call, RETRY_AFTER);
        }
        // Its last moment. What is refused at once needs none, and would wake a gateway in vain.
        self.at(last, Box::new(move |c, ()| c.answer(&timed, RETRY_AFTER)));
        self.hold(
            &call.clone(),
            Box::new(move |c, hold| c.held(call, customer, hold)),
        );
    }

    /// The first try's hold was taken or refused: only now units are charged.
    pub(super) fn held(&mut self, call: RequestId, customer: CustomerId, hold: Result<u64, f64>) {
        let held = match hold {
            Ok(held) => held,
            Err(ahead) => return self.answer(&call, self.until_free(&call, ahead)),
        };
        let paid = call.clone();
        let charged = move |c: &mut AdmissionController, enough| {
            if enough {
                return c.send(paid, customer, held);
            }
            c.release(&customer, held);
            c.answer(&paid, c.until_refill(&customer));
        };
        self.charge(&call, Box::new(charged));
    }

    /// In overload what is worth least for its work goes first, before it costs counter calls. Load is the
    /// tries open against the room for them; worth is measured against its recent mean. Chance carries what
    /// is less than a try: one a gateway would jam servers that hundreds of gateways share.
    pub(super) fn crowded(&mut self, call: &RequestId) -> bool {
        let arrival = &self.calls[call].arrival;
        let value =
            self.value(arrival) / self.usual_latency(&arrival.route).unwrap_or(1.0).max(0.001);
        let used = (self.fleet.open + self.rng.generate::<f64>()) / self.fleet.room;
        let bar = (used - SHED_FROM) / (1.0 - SHED_FROM) * self.fleet.worth;
        self.fleet.worth += (value - self.fleet.worth) * 0.02;
        value < bar
    }

    pub(super) fn value(&self, arrival: &Request) -> f64 {
        let price = self.settings.plan(&arrival.plan).price;
        self.settings.route(&arrival.route).value * price * arrival.units
    }

    /// A plan's rate and burst, and the length of its windows in seconds.
    pub(super) fn terms(&self, plan: &PlanName) -> (f64, f64, f64) {
        let (rate, burst) = (
            self.settings.plan(plan).rate,
            self.settings.plan(plan).burst,
        );
        (
            rate,
            burst,
            if rate > 0.0 {
                (burst / rate).clamp(SHORTEST, LONGEST)
            } else {
                1.0
            },
        )
    }

    pub(super) fn set_tick(&mut self) {
        self.port.set_timer(TICK_TIMER, self.now + TICK);
    }

    /// What is done with the one periodic timer.
    pub(super) fn tick(&mut self) {
        let now = self.now;
        self.set_tick();
        self.renew();
        if now.subsec_millis() >= 50 {
            return;
        }
        let (sends, pace) = (std::mem::take(&mut self.fleet.sends), self.fleet.pace);
        self.fleet.pace = if pace.is_finite() {
            pace + (sends - pace) * 0.1
        } else {
            sends
        };
        self.choose();
        self.forget_departed();
        self.accounts
            .retain(|_, known| !known.holds.is_empty() || now < known.asked + FORGET);
    }
}
