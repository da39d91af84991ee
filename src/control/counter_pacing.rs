//! How often the counter is called: step 6 of the design, and the pace that is shared where it is scarce.

use super::*;

const SKIP: Duration = ms(15_000); // the counter is left alone: it fell silent
const CROWDED_SKIP: Duration = ms(3000); // the same: it turned a call away
pub(super) const THIN: f64 = 0.5; // calls are paced from this share of customers with a split under a call on
const START_PACE: f64 = 900.0; // calls a second to start with, over all gateways
const LEAST_PACE: f64 = 0.5; // and the least, of one gateway
const SPEED_UP: f64 = 0.2; // what a prompt answer adds to them
const PROMPT: f64 = 0.7; // an answer within this share of the counter's time limit is prompt
const ERRORS: u32 = 3; // so many in a row, each after a slowing, are an outage
pub(super) const SPARE: f64 = 0.7; // with this share of the calls in hand, what can be done without is done

pub(super) fn at_start(settings: &Settings, now: Duration) -> Bears {
    let pace = START_PACE / settings.gateway_count();
    Bears {
        quick_to: f64::INFINITY,
        thin: THIN,
        filled: now,
        pace,
        ..Bears::default()
    }
}

impl AdmissionController {
    pub(super) fn skipping(&self) -> bool {
        self.now < self.skip_until
    }

    /// Step 6. An error has the counter skipped. Where this gateway makes a call in two time limits or more,
    /// and so may crowd it, or the even split gives most customers less than a call, an error slows its calls
    /// below what it made of late and prompt answers speed them up: gateways share what the counter bears.
    /// Errors in a row are an outage. Harm: slow for one, it is used less; an outage is known a second later.
    pub(super) fn feel(&mut self, took: Duration, counted: CounterReply) {
        let limit = self.settings.counter.timeout;
        let good = counted.total_or(0.0).is_some();
        let (now, bears) = (self.now, &mut self.bears);
        let crowded = bears.thin >= THIN || bears.calling * limit.as_secs_f64() > 0.5;
        bears.errors = if good { 0 } else { bears.errors };
        if good && took < limit.mul_f64(PROMPT) {
            bears.pace += if bears.pace < bears.quick_to {
                1.0
            } else {
                SPEED_UP.max(bears.pace * 0.01)
            };
            bears.pace = bears.pace.min(bears.calling * 2.0 + 4.0);
        } else if !good && crowded && now >= bears.slowed + limit * 4 {
            let made = bears.pace.min(bears.calling);
            (bears.errors, bears.in_hand) = (bears.errors + 1, bears.in_hand.min(0.0));
            (bears.pace, bears.quick_to, bears.slowed) =
                ((made * 0.6).max(LEAST_PACE), made * 0.5, now);
        }
        if !good && now >= self.skip_until && (bears.errors >= ERRORS || !crowded) {
            let skip = if counted == CounterReply::NotApplied {
                CROWDED_SKIP
            } else {
                SKIP
            };
            self.port
                .log(&format!("counter skipped for {skip:?}: {counted:?}"));
            self.skip_until = now + skip;
        }
    }

    /// Whether the counter may be called: at the pace it bears, one call in hand is enough for what is dear
    /// (0 and below), all that can be in hand are wanted for what matters least (1). Where calls are scarce,
    /// the dear API calls are so judged by the counter, the others by this gateway's share.
    pub(super) fn may_call(&mut self, cheap: f64) -> bool {
        let most = self.fill();
        let enough = self.bears.in_hand >= 1.0 + (most - 1.0) * cheap.clamp(0.0, 1.0);
        !self.skipping() && (self.bears.thin < THIN && self.bears.quick_to.is_infinite() || enough)
    }

    /// In hand there can be what half a second allows, and a few at least.
    pub(super) fn fill(&mut self) -> f64 {
        let most = f64::max(self.bears.pace * 0.5, 4.0);
        self.bears.fill(self.now, most);
        most
    }

    pub(super) fn cheap(&self, arrival: &Request, calls: f64) -> f64 {
        1.0 - self.value(arrival) * calls / self.bears.value.max(1e-9)
    }

    pub(super) fn add(
        &mut self,
        name: CounterName,
        add: f64,
        keep: Duration,
        next: Next<CounterReply>,
    ) {
        self.fill();
        (self.bears.in_hand, self.bears.calling) =
            (self.bears.in_hand - 1.0, self.bears.calling + 1.0);
        self.counts
            .entry(name)
            .or_default()
            .push_back((self.now, next));
        self.port.add_to_counter(name, add, keep);
    }
}
