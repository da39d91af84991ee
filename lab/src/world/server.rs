//! One app server: cores, a queue, warmth, and what may be wrong with it. Knows nothing of sockets.

use crate::events::AttemptId;
use std::collections::VecDeque;
use std::time::Duration;

/// How a server can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Health {
    Up,
    /// Takes all that comes and says nothing.
    Silent,
    /// Connections are refused, open ones are reset.
    Down,
    /// Pushed over while it was cold: down for good.
    Fallen,
}

/// What the list says of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListingState {
    Active,
    Draining,
    Removed,
}

/// What a server is told of a try that comes.
pub struct Task {
    pub of: AttemptId,
    /// Seconds of a core of speed 1.
    pub work: f64,
    /// The gateway that sent it had been told of the server's present start.
    pub told: bool,
}

/// Kinds, rules and limits, as all servers have them.
pub struct Build {
    pub cores: usize,
    pub speed: f64,
    pub queue: usize,
    pub cold_from: f64,
    pub cold: f64,
    pub fall_multiple: f64,
    pub overload_for: Duration,
    /// Mean work of an API call, in seconds of a core of speed 1.
    pub mean_work: f64,
}

/// What falls on a server that may get so many API calls of mean work, with what is put down to chance.
fn with_chance(budget: f64) -> f64 {
    let (times, more) = if budget < 30.0 {
        (3.0, 3.0)
    } else {
        (2.0, 2.0)
    };
    budget + times * budget.sqrt() + more
}

pub struct Server {
    pub name: String,
    pub zone: usize,
    pub cell: u64,
    pub machine_type: String,
    pub build: Build,
    pub health: Health,
    pub listing: ListingState,
    /// Of this life; none: long ago.
    pub started_at: Option<Duration>,
    /// The start that the list has told last, and the number of the change that told it first.
    pub start_told: (Option<Duration>, usize),
    pub slow: f64,
    /// Share of its answers that are errors.
    pub failing: f64,
    /// Routes that it leaves unanswered.
    pub mute: Vec<usize>,
    pub connections: usize,
    /// Changes with each life: what was promised in an earlier one is not kept.
    pub incarnation: u32,
    running: Vec<AttemptId>,
    waiting: VecDeque<Task>,
    /// Work of late that came while it was cold.
    pushed: VecDeque<(Duration, f64, bool)>,
    /// Core seconds spent, for its load.
    pub busy: f64,
    pub report: LoadReport,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub at: Duration,
    pub inflight: usize,
    pub queue: usize,
    pub util: f64,
}

/// As it stands on the wire.
impl std::fmt::Display for LoadReport {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "inflight={},queue={},util={:.2}",
            self.inflight, self.queue, self.util
        )
    }
}

/// What becomes of a task that has come.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Taken {
    /// Its work has begun and will be done then.
    Begun(Duration),
    Waits,
    TurnedAway,
}

impl Server {
    pub fn new(name: String, zone: usize, cell: u64, machine_type: String, build: Build) -> Server {
        Server {
            name,
            zone,
            cell,
            machine_type,
            build,
            health: Health::Up,
            listing: ListingState::Active,
            started_at: None,
            start_told: (None, 0),
            slow: 1.0,
            failing: 0.0,
            mute: Vec::new(),
            connections: 0,
            incarnation: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            pushed: VecDeque::new(),
            busy: 0.0,
            report: LoadReport::default(),
        }
    }

    /// How much of its full power it has by now.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64();
        let (from, span) = (self.build.cold_from, self.build.cold.max(1e-9));
        (from + (1.0 - from) * age / span).min(1.0)
    }

    /// Work that one core does in a second.
    fn power(&self, now: Duration) -> f64 {
        self.build.speed * self.warmth(now) / self.slow.max(1e-3)
    }

    fn begin_task(&mut self, now: Duration, task: &Task) -> Duration {
        let span = task.work / self.power(now);
        self.running.push(task.of);
        self.busy += span;
        now + Duration::from_secs_f64(span.min(1e6))
    }

    /// A try has come whole.
    pub fn take(&mut self, now: Duration, task: Task) -> Taken {
        if self.warmth(now) < 1.0 {
            self.push(now, &task);
        }
        if self.listing != ListingState::Active {
            return Taken::TurnedAway;
        }
        if self.running.len() < self.build.cores {
            return Taken::Begun(self.begin_task(now, &task));
        }
        if self.waiting.len() >= self.build.queue {
            return Taken::TurnedAway;
        }
        self.waiting.push_back(task);
        Taken::Waits
    }

    /// While it is cold, all that is sent to it counts: too much for too long, and it falls over.
    fn push(&mut self, now: Duration, task: &Task) {
        let window = self.build.overload_for;
        self.pushed.push_back((now, task.work, task.told));
        while self
            .pushed
            .front()
            .is_some_and(|(at, ..)| *at + window < now)
        {
            self.pushed.pop_front();
        }
        let sum: f64 = self.pushed.iter().map(|(_, work, _)| work).sum();
        let able =
            self.build.cores as f64 * self.build.speed * self.warmth(now) * window.as_secs_f64();
        let mean = self.build.mean_work.max(1e-9);
        if sum / mean > with_chance(able * self.build.fall_multiple / mean) {
            self.health = Health::Fallen;
        }
    }

    /// Whether what pushed it over came mostly from gateways that had been told of its start: over two thirds.
    pub fn pushed_knowingly(&self) -> bool {
        let sum: f64 = self.pushed.iter().map(|(_, work, _)| work).sum();
        let told: f64 = self
            .pushed
            .iter()
            .filter(|(.., told)| *told)
            .map(|(_, work, _)| work)
            .sum();
        told * 3.0 > sum * 2.0
    }

    /// A try's work is done or given up: the next one that waits begins. ServerResponse which, and when it will be done.
    pub fn over(&mut self, now: Duration, of: AttemptId) -> Option<(AttemptId, Duration)> {
        self.running.retain(|running| *running != of);
        let next = (self.running.len() < self.build.cores)
            .then(|| self.waiting.pop_front())
            .flatten()?;
        Some((next.of, self.begin_task(now, &next)))
    }

    /// A try that is given up leaves the queue; one that runs goes on unless work stops.
    pub fn give_up(&mut self, of: AttemptId) -> bool {
        self.waiting.retain(|task| task.of != of);
        self.running.contains(&of)
    }

    /// Its process has ended: all that it had is gone.
    pub fn crash(&mut self, health: Health) -> Vec<AttemptId> {
        self.health = health;
        self.incarnation += 1;
        self.pushed.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..).map(|task| task.of));
        lost
    }

    pub fn start(&mut self, now: Duration) {
        self.health = Health::Up;
        self.started_at = Some(now);
        self.report = LoadReport::default();
    }

    /// Its load as it last reported it, made anew every so often.
    pub fn report(&mut self, now: Duration, every: Duration) -> LoadReport {
        if now >= self.report.at + every || self.report == LoadReport::default() {
            let (busy, queue) = (self.running.len(), self.waiting.len());
            let util = busy as f64 / self.build.cores as f64;
            self.report = LoadReport {
                at: now,
                inflight: busy + queue,
                queue,
                util,
            };
        }
        self.report
    }
}

#[cfg(test)]
mod tests;
