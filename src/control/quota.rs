//! The rate quota: blocks of units taken from the counter, the even split in silence, and hard ceilings.

use super::*;

const AHEAD: f64 = 0.5; // of a window: a block's recent demand while calls are scarce

impl AdmissionController {
    /// Takes the call's units from the block in hand, from a new block, or in silence from the even split.
    pub(super) fn charge(&mut self, call: &RequestId, next: Next<bool>) {
        let Some(Call { arrival, .. }) = self.calls.get(call) else {
            return next(self, false);
        };
        let (customer, plan, units) = (
            arrival.customer.clone(),
            arrival.plan.clone(),
            arrival.units,
        );
        let (rate, burst, window) = self.terms(&plan);
        let recent = self
            .accounts
            .get(&customer)
            .map_or(0.0, |account| account.demand);
        let cheap = self.cheap(arrival, (recent * window * AHEAD / units).max(1.0));
        let (now, scarce, silent) = (self.now, !self.may_call(SPARE), !self.may_call(cheap));
        // Never to be passed: such a customer's share starts empty and no calm one passes beyond it.
        let hard = self.settings.plan(&plan).ceiling_rate > 0.0;
        let account = self.accounts.entry(customer.clone()).or_default();
        if rate <= 0.0 {
            return next(self, true);
        }
        let full = burst / account.spread;
        let share = account.share.get_or_insert(TokenBucket {
            left: if hard { 0.0 } else { full },
            at: now,
        });
        let enough = share.pay(now, rate / account.spread, full.max(units), units);
        if account.block >= units {
            share.left = if enough { share.left } else { 0.0 };
            account.block -= units;
            return next(self, true);
        }
        if silent || (enough && scarce) {
            // A split over many gateways may be under a unit: who was calm before this call passes.
            let before = (account.demand - units / window) * account.spread;
            let enough = enough || (!hard && before < rate * CALM);
            self.calls.get_mut(call).expect("looked up above").unsure = true;
            self.bears.unsaid += if enough { units } else { 0.0 };
            return next(self, enough);
        }
        let again = call.clone();
        share.left += if enough { units } else { 0.0 };
        account.waiting.push(Box::new(move |c, more| match more {
            true => c.charge(&again, next),
            false => next(c, false),
        }));
        if account.waiting.len() == 1 {
            self.take(&customer, &plan, units);
        }
    }

    /// One add to the window's name takes a block; what the store cannot give goes back. The store is
    /// followed from the totals: they tell what all gateways took since.
    pub(super) fn take(&mut self, customer: &CustomerId, plan: &PlanName, units: f64) {
        let plenty = self.may_call(SPARE);
        let (rate, burst, window) = self.terms(plan);
        let length = Duration::from_secs_f64(window);
        let (window, start) = self.stretch(customer, length, self.now);
        let (this, keep) = (CounterName(fixed_hash(&customer.0, 2, window)), length * 3);
        let owner = customer.clone();
        let hard = self.settings.plan(plan).ceiling_rate > 0.0;
        let account = self.accounts.entry(customer.clone()).or_default();
        let known = account.window > 0;
        // A store that was not followed is taken to be full, or empty under a hard ceiling.
        account.enter_window(window, length, if hard { 0.0 } else { burst }, self.now);
        let (split, recent) = (
            burst / account.spread,
            account.demand * length.as_secs_f64(),
        );
        let usual = if known { split.min(recent) } else { split };
        let wanted = if plenty { usual } else { recent * AHEAD };
        let size = (wanted.max(units) - account.block).ceil();
        // Calls being scarce, an add also stands for what this gateway sent without one.
        let bears = &mut self.bears;
        let share = (bears.unsaid / bears.said.max(1.0)).min(10.0);
        let extra = if plenty { 0.0 } else { (size * share).round() };
        (bears.said, bears.unsaid) = (bears.said * 0.95 + size, bears.unsaid * 0.95);
        let told = move |c: &mut AdmissionController, counted: CounterReply| {
            let (now, thin, plenty) = (c.now, c.bears.thin >= THIN, c.may_call(SPARE));
            let account = c.accounts.entry(owner.clone()).or_default();
            let (mut more, mut back) = (true, 0.0);
            if let Some(total) = counted.total_or(account.total + size + extra) {
                account.follow(total - size - extra, now, rate, burst);
                let fits = account.store.floor().clamp(0.0, size);
                more = account.block + fits >= units;
                let fits = if more { fits } else { 0.0 };
                back = if plenty { size - fits } else { 0.0 };
                account.block += fits;
                account.store -= fits;
                account.total = total - back;
                if !more {
                    // What a refused add leaves there stands for units that were sent without a word.
                    c.bears.unsaid = (c.bears.unsaid - (size + extra - back)).max(0.0);
                    let short = (units - account.block - account.store) / rate;
                    let wait =
                        Duration::from_secs_f64(short.clamp(0.01, length.as_secs_f64() * 0.5));
                    account.refused_until = if plenty || !thin {
                        now + wait
                    } else {
                        start + length
                    };
                }
            }
            if back > 0.0 {
                c.add(this, -back, keep, Box::new(|_, _| ()));
            }
            c.go_on(&owner, more);
        };
        self.add(this, size + extra, keep, Box::new(told));
    }

    /// Those that waited for a block are told whether it was given; silent, they turn to the even split.
    pub(super) fn go_on(&mut self, customer: &CustomerId, more: bool) {
        for next in std::mem::take(&mut self.accounts.entry(customer.clone()).or_default().waiting)
        {
            next(self, more);
        }
    }

    /// A guess is settled, and a call not sent gets its units back, against block or share.
    pub(super) fn settle(&mut self, customer: &CustomerId, off: f64, unsure: bool) {
        let account = self.accounts.entry(customer.clone()).or_default();
        match account.share.as_mut().filter(|_| unsure) {
            Some(share) => share.left -= off,
            None => account.block -= off,
        }
    }

    /// A hard ceiling, kept by this gateway alone: its token bucket fills at the ceiling's rate, empty at a
    /// start since an earlier life may have spent it; a send without the counter's word counts for all.
    pub(super) fn under_ceiling(
        &mut self,
        customer: &CustomerId,
        plan: &PlanName,
        units: f64,
        unsure: bool,
    ) -> bool {
        let Plan {
            ceiling_rate: rate,
            ceiling_burst: depth,
            ..
        } = *self.settings.plan(plan);
        let (now, start) = (
            self.now,
            TokenBucket {
                left: 0.0,
                at: self.started,
            },
        );
        let account = self.accounts.entry(customer.clone()).or_default();
        let price = if unsure {
            units * account.spread
        } else {
            units
        };
        rate <= 0.0
            || account
                .ceiling
                .get_or_insert(start)
                .pay(now, rate, depth, price)
    }
}
