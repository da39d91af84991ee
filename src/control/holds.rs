//! Leases on the counter that cap a customer's upstream tries out at once: steps 2 to 4 of the design.

use super::*;

const PERIOD: Duration = ms(3000); // hold lifetime: the period of a holds' name
const RENEW_AHEAD: Duration = ms(100); // so long before the period's edge the holds are renewed
pub(super) const CALM: f64 = 0.2; // who asks for less than this share of its rate has left its store alone
const NO_HOLD: u64 = 0; // stands for the hold of a try whose plan has no cap; ids of holds are above

impl AdmissionController {
    /// The cap on a customer's upstream tries out at once; a plan may state none.
    pub(super) fn cap(&self, plan: &PlanName) -> Option<f64> {
        Some(self.settings.plan(plan).concurrency_limit).filter(|cap| *cap > 0.0)
    }

    pub(super) fn add_hold(
        &mut self,
        customer: &CustomerId,
        period: u64,
        by: f64,
        next: Next<CounterReply>,
    ) {
        self.add(
            CounterName(fixed_hash(&customer.0, 1, period)),
            by,
            PERIOD * 2,
            next,
        );
    }

    /// Step 2: adds one and waits for the total. The hold is kept by the account until it is released;
    /// refused, the result tells how many calls are ahead. In silence a gateway's own tries stay in its
    /// share of the cap, as its units do: an outage would else admit all. Harm: an uneven customer is
    /// refused at its busy gateway. A plan without a cap has nothing to hold its customers under.
    pub(super) fn hold(&mut self, call: &RequestId, next: Next<Result<u64, f64>>) {
        let arrival = &self.calls[call].arrival;
        let Some(cap) = self.cap(&arrival.plan) else {
            return next(self, Ok(NO_HOLD));
        };
        let customer = arrival.customer.clone();
        let (rate, _, window) = self.terms(&arrival.plan);
        let units = arrival.units;
        // How long a unit of demand is out: the route's usual latency.
        let each = self.usual_latency(&arrival.route).unwrap_or(0.0) / units.max(1.0);
        let cheap = self.cheap(arrival, 1.0);
        let (owner, period) = (
            customer.clone(),
            self.stretch(&customer, PERIOD, self.now).0,
        );
        self.next_id += 1;
        let id = self.next_id;
        // Calls being scarce in a thin fleet, a cap goes uncounted until the units seen in this window could
        // fill it: two calls for a hold leave none to ask for the units. Harm: others' tries under a cap are
        // seen late.
        let fills = |known: &Account| {
            let this = self
                .stretch(&customer, Duration::from_secs_f64(window), self.now)
                .0;
            known.window == this && known.total >= cap
        };
        let asks = self.bears.thin < THIN || self.accounts.get(&customer).is_some_and(fills);
        let unasked = rate > 0.0 && !asks && !self.skipping() && !self.may_call(SPARE);
        let silent = unasked || !self.may_call(cheap);
        let told = move |c: &mut AdmissionController, counted| {
            let now = c.stretch(&owner, PERIOD, c.now).0;
            let account = c.accounts.entry(owner.clone()).or_default();
            let (spread, turn) = (account.spread, (account.rank + now as f64) % account.spread);
            let share = (cap / spread).floor() + if turn < cap % spread { 1.0 } else { 0.0 };
            let before = (account.demand - units / window) * spread;
            let share = share.max(if before * each < cap * CALM { 1.0 } else { 0.0 });
            match counted {
                CounterReply::Total(total) if total > cap => {
                    c.add_hold(&owner, period, -1.0, Box::new(|_, _| ()));
                    return next(c, Err(total - cap));
                }
                CounterReply::Total(_) | CounterReply::Applied => {
                    account.holds.insert(id, vec![period]);
                    let renewed = account.renewed.max(now);
                    if renewed > period {
                        c.count_in(&owner, renewed, vec![id]);
                    }
                }
                _ if account.holds.len() as f64 >= if unasked { cap } else { share } => {
                    return next(c, Err(1.0));
                }
                _ => drop(account.holds.insert(id, Vec::new())),
            }
            next(c, Ok(id));
        };
        if silent {
            return told(self, CounterReply::NotApplied);
        }
        self.add_hold(&customer, period, 1.0, Box::new(told));
    }

    /// Adds holds to a further period's name; those that ended before the answer are taken off again.
    pub(super) fn count_in(&mut self, customer: &CustomerId, period: u64, ids: Vec<u64>) {
        let (owner, sum) = (customer.clone(), ids.len() as f64);
        let told = move |c: &mut AdmissionController, counted: CounterReply| {
            let account = c.accounts.entry(owner.clone()).or_default();
            let mut over = 0.0;
            for id in ids.into_iter().filter(|_| counted.total_or(0.0).is_some()) {
                match account.holds.get_mut(&id) {
                    Some(periods) => periods.push(period),
                    None => over += 1.0,
                }
            }
            if over > 0.0 {
                c.add_hold(&owner, period, -over, Box::new(|_, _| ()));
            }
        };
        self.add_hold(customer, period, sum, Box::new(told));
    }

    /// Step 4: before the period's edge the open holds go into the next name, once, uncounted ones too.
    pub(super) fn renew(&mut self) {
        let holders = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.holds.is_empty());
        let holders: Vec<CustomerId> = holders.map(|(customer, _)| customer.clone()).collect();
        for customer in if self.may_call(SPARE) {
            holders
        } else {
            Vec::new()
        } {
            let next = self.stretch(&customer, PERIOD, self.now + RENEW_AHEAD).0;
            let account = self.accounts.get_mut(&customer).expect("listed above");
            let missing = account.holds.iter().filter(|hold| !hold.1.contains(&next));
            let ids: Vec<u64> = missing.map(|hold| *hold.0).collect();
            if account.renewed < next && !ids.is_empty() {
                account.renewed = next;
                self.count_in(&customer, next, ids);
            }
        }
    }

    /// Step 3: any end takes one off every live name in which the hold was counted, and off no other.
    pub(super) fn release(&mut self, customer: &CustomerId, hold: u64) {
        let (now, silent) = (self.stretch(customer, PERIOD, self.now).0, self.skipping());
        let account = self.accounts.entry(customer.clone()).or_default();
        let periods = account.holds.remove(&hold).unwrap_or_default();
        for period in periods
            .into_iter()
            .filter(|period| *period >= now && !silent)
        {
            self.add_hold(customer, period, -1.0, Box::new(|_, _| ()));
        }
    }
}
