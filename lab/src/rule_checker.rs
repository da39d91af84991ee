//! The referee: checks the five rules from what the stand-ins saw. It shares no code with the program and
//! knows nothing of how it decides. A broken rule names rule, time, API call and gateway.

use crate::events::{
    AttemptEnd, AttemptId, ClientOutcome, ClientRequestId, Rule, RuleViolation, ServerId,
};
use crate::experiment::{Experiment, Group, Repeat};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

struct TrySeen {
    of: AttemptId,
    server: ServerId,
    came: Duration,
    end: Option<(Duration, AttemptEnd)>,
}

struct Seen {
    asked: Duration,
    /// When its client closed its connection.
    left: Option<Duration>,
    route: usize,
    gateway: usize,
    account: u32,
    units: f64,
    until: Duration,
    tries: Vec<TrySeen>,
    answer: Option<Duration>,
    /// The client has gone, or the gateway was killed: nothing is owed any more.
    excused: bool,
}

/// What a ceiling leaves.
struct Ceiling {
    left: f64,
    at: Duration,
}

pub struct RuleChecker {
    terms: Experiment,
    slack: Duration,
    asks: BTreeMap<ClientRequestId, Seen>,
    open: Vec<BTreeSet<ClientRequestId>>,
    /// Since when a gateway knows that a server drains or is gone.
    told: BTreeMap<(usize, ServerId), Duration>,
    /// Cell and zone of each server.
    places: BTreeMap<ServerId, (u64, usize)>,
    ceilings: BTreeMap<u32, Ceiling>,
    plan_of: BTreeMap<u32, usize>,
    /// A second try came while one was out: to be ended by then.
    overlaps: BTreeMap<(ClientRequestId, AttemptId), Duration>,
    pub broken: Vec<RuleViolation>,
    /// All of them; the list ends at some.
    pub count: u64,
}

/// What a server is told may be so much more than what the client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A try may begin so long after its client has left.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// So many are kept.
const KEPT: usize = 200;

impl RuleChecker {
    /// `slack`: how much later than a rule's figure is still in time, for what is under way.
    pub fn new(terms: &Experiment, slack: Duration) -> RuleChecker {
        RuleChecker {
            terms: terms.clone(),
            slack,
            asks: BTreeMap::new(),
            open: vec![BTreeSet::new(); terms.fleet.gateways],
            told: BTreeMap::new(),
            places: BTreeMap::new(),
            ceilings: BTreeMap::new(),
            plan_of: BTreeMap::new(),
            overlaps: BTreeMap::new(),
            broken: Vec::new(),
            count: 0,
        }
    }

    fn breaks(
        &mut self,
        rule: Rule,
        now: Duration,
        call: Option<ClientRequestId>,
        gateway: Option<usize>,
        what: String,
    ) {
        self.count += 1;
        if self.broken.len() < KEPT {
            self.broken.push(RuleViolation {
                rule,
                at_seconds: now.as_secs_f64(),
                request: call.map(|id| id.0),
                gateway,
                description: what,
            });
        }
    }

    pub fn server(&mut self, server: ServerId, cell: u64, zone: usize) {
        self.places.insert(server, (cell, zone));
    }

    pub fn account(&mut self, account: u32, plan: usize) {
        self.plan_of.insert(account, plan);
    }

    /// A gateway was told of a server, at the moment when that was written to it.
    pub fn told(&mut self, now: Duration, gateway: usize, server: ServerId, wanted: bool) {
        if wanted {
            self.told.remove(&(gateway, server));
        } else {
            self.told.entry((gateway, server)).or_insert(now);
        }
    }

    /// A gateway that starts knows nothing of what its earlier life was told.
    pub fn started(&mut self, gateway: usize) {
        self.told.retain(|(told, _), _| *told != gateway);
    }

    /// A gateway has taken an API call, to be answered by then.
    pub fn asked(
        &mut self,
        ask: ClientRequestId,
        gateway: usize,
        route: usize,
        account: u32,
        units: f64,
        (asked, until): (Duration, Duration),
    ) {
        self.open[gateway].insert(ask);
        let tries = Vec::new();
        let (left, answer, excused) = (None, None, false);
        let seen = Seen {
            asked,
            left,
            route,
            gateway,
            account,
            units,
            until,
            tries,
            answer,
            excused,
        };
        self.asks.insert(ask, seen);
    }

    /// The client has closed its connection.
    pub fn left(&mut self, now: Duration, ask: ClientRequestId) {
        if let Some(seen) = self.asks.get_mut(&ask) {
            (seen.excused, seen.left) = (true, Some(now));
            self.open[seen.gateway].remove(&ask);
        }
    }

    /// A gateway that was told to stop is killed, at the earliest: all that came before has its answer.
    pub fn stopped(&mut self, now: Duration, gateway: usize) {
        let late = |ask: &ClientRequestId| self.asks[ask].asked + self.slack < now;
        let unanswered: Vec<ClientRequestId> =
            self.open[gateway].iter().copied().filter(late).collect();
        for ask in unanswered {
            let what = format!(
                "unanswered at the kill, {:?} after it was taken",
                now - self.asks[&ask].asked
            );
            self.breaks(Rule::OneAnswer, now, Some(ask), Some(gateway), what);
        }
        self.killed(gateway);
    }

    /// No process took it after all.
    pub fn not_taken(&mut self, ask: ClientRequestId) {
        if let Some(seen) = self.asks.get_mut(&ask) {
            seen.excused = true;
            self.open[seen.gateway].remove(&ask);
        }
    }

    /// A try says how long the gateway waits: no longer than the client does.
    pub fn on_advertised_timeout(
        &mut self,
        now: Duration,
        ask: ClientRequestId,
        gateway: usize,
        wait: Duration,
    ) {
        let Some(seen) = self.asks.get(&ask) else {
            return;
        };
        let left = seen.until.saturating_sub(now);
        if wait > left + TOLD_SLACK + self.slack {
            let what = format!("a server was told that {wait:?} are left, of {left:?}");
            self.breaks(Rule::OneAnswer, now, Some(ask), Some(gateway), what);
        }
    }

    pub fn killed(&mut self, gateway: usize) {
        for ask in std::mem::take(&mut self.open[gateway]) {
            if let Some(seen) = self.asks.get_mut(&ask) {
                seen.excused = true;
            }
        }
    }

    /// A try has come to a server whole.
    pub fn came(
        &mut self,
        now: Duration,
        of: AttemptId,
        ask: ClientRequestId,
        gateway: usize,
        server: ServerId,
    ) {
        let slack = self.slack;
        if let Some(since) = self.told.get(&(gateway, server)) {
            let late = now.saturating_sub(*since);
            if late > Duration::from_secs_f64(self.terms.fleet.drain_grace) + slack {
                let what = format!(
                    "sent to server {} {late:?} after being told it leaves",
                    server.0
                );
                self.breaks(Rule::Drains, now, Some(ask), Some(gateway), what);
            }
        }
        let Some(seen) = self.asks.get_mut(&ask) else {
            return;
        };
        let (first, places) = (seen.tries.is_empty(), &self.places);
        let mut wrongs = Vec::new();
        if let Some(answered) = seen.answer.filter(|answered| now > *answered + slack) {
            let what = format!("a try {:?} after the final answer", now - answered);
            wrongs.push((Rule::OneAnswer, what));
        }
        if let Some(left) = seen.left.filter(|left| now > *left + GONE_SLACK + slack) {
            let what = format!("a try {:?} after its client had left", now - left);
            wrongs.push((Rule::OneAnswer, what));
        }
        let route = &self.terms.routes[seen.route];
        let ran = seen
            .tries
            .iter()
            .find(|it| it.end.is_none_or(|(_, end)| end != AttemptEnd::Rejected));
        if let Some(ran) = ran {
            let known = ran.came + Duration::from_secs_f64(route.memory) + slack >= now;
            let place = |server: &ServerId| places.get(server).copied().unwrap_or_default();
            let (one, two) = (place(&ran.server), place(&server));
            let dropped = match route.group {
                Group::All => true,
                Group::Cell => one.0 == two.0,
                Group::Zone => one.1 == two.1,
            };
            match route.repeat {
                Repeat::Idempotent => (),
                Repeat::Tokened if known && dropped => (),
                _ => {
                    let what = format!(
                        "sent again after a try at server {} that may have run",
                        ran.server.0
                    );
                    wrongs.push((Rule::NoEffectTwice, what));
                }
            }
        }
        for earlier in seen.tries.iter().filter(|it| it.end.is_none()) {
            self.overlaps.insert((ask, earlier.of), now + slack);
        }
        seen.tries.push(TrySeen {
            of,
            server,
            came: now,
            end: None,
        });
        let (account, units) = (seen.account, seen.units);
        for (rule, what) in wrongs {
            self.breaks(rule, now, Some(ask), Some(gateway), what);
        }
        if first {
            self.ceiling(now, ask, gateway, account, units);
        }
    }

    /// Each first try takes its units from the ceiling of its customer.
    fn ceiling(
        &mut self,
        now: Duration,
        ask: ClientRequestId,
        gateway: usize,
        account: u32,
        units: f64,
    ) {
        let Some(plan) = self
            .plan_of
            .get(&account)
            .map(|plan| &self.terms.plans[*plan])
        else {
            return;
        };
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let more = 1.0 + plan.ceiling_slack;
        let top = f64::from(self.terms.load.units_top);
        // The slack is a part of the ceiling or one of the largest API calls, whichever is more.
        let depth = (plan.ceiling_burst * more).max(plan.ceiling_burst + top);
        let rate = plan.ceiling_rate * more;
        let bucket = self.ceilings.entry(account).or_insert(Ceiling {
            left: depth,
            at: now,
        });
        bucket.left =
            (bucket.left + now.saturating_sub(bucket.at).as_secs_f64() * rate).min(depth) - units;
        bucket.at = now;
        if bucket.left < 0.0 {
            let what = format!(
                "account {account} of plan {} is {:.1} units past its ceiling",
                plan.name, -bucket.left
            );
            bucket.left = 0.0;
            self.breaks(Rule::Ceilings, now, Some(ask), Some(gateway), what);
        }
    }

    /// A try is no longer out.
    pub fn over(&mut self, now: Duration, of: AttemptId, ask: ClientRequestId, end: AttemptEnd) {
        let Some(seen) = self.asks.get_mut(&ask) else {
            return;
        };
        let gateway = seen.gateway;
        if let Some(it) = seen.tries.iter_mut().find(|it| it.of == of) {
            it.end.get_or_insert((now, end));
        }
        if let Some(by) = self.overlaps.remove(&(ask, of)) {
            if now > by {
                let what = "two tries out at once".to_string();
                self.breaks(Rule::NoEffectTwice, now, Some(ask), Some(gateway), what);
            }
        }
    }

    /// A client has an answer, or the end of its connection.
    pub fn answered(&mut self, now: Duration, ask: ClientRequestId, verdict: ClientOutcome) {
        let slack = self.slack;
        let Some(seen) = self.asks.get_mut(&ask) else {
            return;
        };
        let gateway = seen.gateway;
        self.open[gateway].remove(&ask);
        let mut wrongs = Vec::new();
        if seen.answer.replace(now).is_some() {
            wrongs.push((Rule::OneAnswer, "a second final answer".to_string()));
        } else if seen.excused {
            return;
        }
        if now > seen.until + slack {
            let what = format!("answered {:?} after the client timeout", now - seen.until);
            wrongs.push((Rule::OneAnswer, what));
        }
        let route = &self.terms.routes[seen.route];
        let may_have_run = seen
            .tries
            .iter()
            .any(|it| it.end.is_none_or(|(_, end)| end != AttemptEnd::Rejected));
        let harmless = match route.repeat {
            Repeat::Idempotent => true,
            // A client's next try is a new API call, but has the key that is known.
            Repeat::Tokened => !may_have_run || route.group == Group::All,
            Repeat::NonIdempotent => !may_have_run,
        };
        match verdict {
            ClientOutcome::Served { correct: false } => {
                wrongs.push((
                    Rule::OneAnswer,
                    "served with what no server made for it".into(),
                ));
            }
            ClientOutcome::Disconnected => wrongs.push((
                Rule::OneAnswer,
                "the connection ended with no answer".into(),
            )),
            ClientOutcome::Rejected if !harmless => {
                let what = "called harmless to try again though a try may have run".to_string();
                wrongs.push((Rule::NoEffectTwice, what));
            }
            _ => (),
        }
        for (rule, what) in wrongs {
            self.breaks(rule, now, Some(ask), Some(gateway), what);
        }
    }

    /// The time of an API call is over, slack and all.
    pub fn time_up(&mut self, now: Duration, ask: ClientRequestId) {
        let Some(seen) = self.asks.get(&ask) else {
            return;
        };
        let gateway = seen.gateway;
        if seen.answer.is_none() && !seen.excused {
            self.open[gateway].remove(&ask);
            let what = "no final answer by the client timeout".to_string();
            self.breaks(Rule::OneAnswer, now, Some(ask), Some(gateway), what);
        }
        // From here on only what is still out can matter.
        if let Some(seen) = self.asks.get_mut(&ask) {
            seen.excused = true;
            seen.answer.get_or_insert(now);
        }
    }

    pub fn fell(&mut self, now: Duration, server: ServerId) {
        let what = format!(
            "cold server {} was pushed over by all gateways together",
            server.0
        );
        self.breaks(Rule::ColdServers, now, None, None, what);
    }

    /// The day is over: what overlaps still is judged, and records that are done with are dropped.
    pub fn finish(&mut self, now: Duration) {
        for ((ask, _), by) in std::mem::take(&mut self.overlaps) {
            if now > by {
                let gateway = self.asks.get(&ask).map(|seen| seen.gateway);
                self.breaks(
                    Rule::NoEffectTwice,
                    now,
                    Some(ask),
                    gateway,
                    "two tries out at once".into(),
                );
            }
        }
    }

    /// What is long over is forgotten, so that a long day does not fill the memory.
    pub fn forget(&mut self, before: Duration) {
        while let Some(entry) = self
            .asks
            .first_entry()
            .filter(|entry| entry.get().until < before)
        {
            entry.remove();
        }
    }
}
