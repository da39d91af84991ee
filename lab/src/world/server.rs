//! One server: cores, a queue, slow start, and what may be wrong with it. It knows nothing of sockets.

use crate::events::AttemptId;
use std::collections::VecDeque;
use std::time::Duration;

/// How a server can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Health {
    /// As it should be.
    Up,
    /// Takes all that comes and says nothing.
    Silent,
    /// Connections are refused, open ones are reset.
    Down,
    /// Overloaded while it was warming up: down for good.
    Overloaded,
}

/// What the endpoint list says of a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ListingState {
    /// In service.
    Active,
    /// Leaving: it finishes what it has.
    Draining,
    /// Not listed any more.
    Removed,
}

/// An attempt as a server executes it.
pub(super) struct Task {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// Seconds of a core of speed 1.
    pub(super) work: f64,
    /// The gateway that sent it had been notified of the server's present start.
    pub(super) start_known: bool,
}

/// What a server is built of, and the limits that it keeps.
pub(super) struct ServerSpec {
    /// Its name in the endpoint list.
    pub(super) name: String,
    /// Its zone.
    pub(super) zone: usize,
    /// Its cell.
    pub(super) cell: u64,
    /// Name of its machine type.
    pub(super) machine_type: String,
    /// Attempts that it executes at once.
    pub(super) cores: usize,
    /// How fast a core is.
    pub(super) speed: f64,
    /// Attempts that may wait.
    pub(super) max_queue: usize,
    /// Share of its power with which it starts.
    pub(super) initial_capacity_share: f64,
    /// Seconds until it has all of its power.
    pub(super) warm_up_seconds: f64,
    /// Sent this many times what it can do while it warms up, it is overloaded.
    pub(super) overload_factor: f64,
    /// Over so long.
    pub(super) overload_window: Duration,
    /// Mean work of a request, in seconds of a core of speed 1.
    pub(super) mean_work: f64,
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadReport {
    /// When the report was made.
    reported_at: Duration,
    /// Attempts that it executes or that wait.
    pub(crate) in_flight: usize,
    /// Attempts that wait.
    pub(crate) queued: usize,
    /// Share of its cores that is busy.
    pub(crate) utilization: f64,
}

/// As it stands on the wire.
impl std::fmt::Display for LoadReport {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "inflight={},queue={},util={:.2}",
            self.in_flight, self.queued, self.utilization
        )
    }
}

/// What becomes of a task that has come.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Admission {
    /// Its work has begun and will be done then.
    Started(Duration),
    /// It waits for a core.
    Queued,
    /// It is not executed.
    Rejected,
}

/// A queued task whose work has begun.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct StartedTask {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// When its work will be done.
    pub(super) done_at: Duration,
}

/// A start of a server's process as the endpoint list first gave it.
#[derive(Clone, Copy, Default)]
struct ListedStart {
    started_at: Option<Duration>,
    /// Number of the change that gave it first.
    change: usize,
}

/// Work that came while a server was warming up.
struct WarmUpWork {
    arrived_at: Duration,
    work: f64,
    start_known: bool,
}

/// One server.
pub(crate) struct Server {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// Its zone.
    pub(crate) zone: usize,
    /// Its cell: the servers that drop each other's repeats, where a route says so.
    pub(crate) cell: u64,
    /// Name of its machine type.
    pub(crate) machine_type: String,
    /// How it can be reached.
    pub(crate) health: Health,
    /// What the endpoint list says of it.
    pub(crate) listing: ListingState,
    /// When its process started; none: long before the run.
    pub(crate) started_at: Option<Duration>,
    /// Takes this many times as long as it should.
    pub(super) slowdown: f64,
    /// Share of its answers that are errors.
    pub(super) failure_share: f64,
    /// Routes that it leaves unanswered.
    pub(super) muted_routes: Vec<usize>,
    /// Open connections of gateways.
    pub(super) connections: usize,
    /// Counts its processes: what was scheduled for an earlier one does not happen.
    pub(super) incarnation: u32,
    spec: ServerSpec,
    listed_start: ListedStart,
    running: Vec<AttemptId>,
    queue: VecDeque<Task>,
    /// Work that came within the overload window while it was warming up.
    warm_up_work: VecDeque<WarmUpWork>,
    /// Core seconds of work begun.
    busy_seconds: f64,
    /// Of these, those that were reported to the metrics.
    reported_busy_seconds: f64,
    load_report: LoadReport,
}

/// The requests that may reach a server that can take `budget` of them, with what is put down to chance.
fn with_chance(budget: f64) -> f64 {
    if budget < 30.0 {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

impl Server {
    /// A server that has been up for long.
    pub(super) fn new(spec: ServerSpec) -> Server {
        Server {
            name: spec.name.clone(),
            zone: spec.zone,
            cell: spec.cell,
            machine_type: spec.machine_type.clone(),
            health: Health::Up,
            listing: ListingState::Active,
            started_at: None,
            slowdown: 1.0,
            failure_share: 0.0,
            muted_routes: Vec::new(),
            connections: 0,
            incarnation: 0,
            spec,
            listed_start: ListedStart::default(),
            running: Vec::new(),
            queue: VecDeque::new(),
            warm_up_work: VecDeque::new(),
            busy_seconds: 0.0,
            reported_busy_seconds: 0.0,
            load_report: LoadReport::default(),
        }
    }

    /// Whether new connections are refused; one that is not may still be met by silence.
    pub(super) fn refuses_connections(&self) -> bool {
        matches!(self.health, Health::Down | Health::Overloaded)
    }

    /// The share of its full power that it has by now.
    fn slow_start_factor(&self, now: Duration) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at).as_secs_f64();
        let initial = self.spec.initial_capacity_share;
        let span = self.spec.warm_up_seconds.max(1e-9);
        (initial + (1.0 - initial) * age / span).min(1.0)
    }

    /// Work that one core does in a second.
    fn core_power(&self, now: Duration) -> f64 {
        self.spec.speed * self.slow_start_factor(now) / self.slowdown.max(1e-3)
    }

    /// Begins a task's work; returns when it will be done.
    fn start_task(&mut self, now: Duration, task: &Task) -> Duration {
        let span = task.work / self.core_power(now);
        self.running.push(task.attempt);
        self.busy_seconds += span;
        now + Duration::from_secs_f64(span.min(1e6))
    }

    /// An attempt has come whole.
    pub(super) fn admit_task(&mut self, now: Duration, task: Task) -> Admission {
        if self.slow_start_factor(now) < 1.0 {
            self.record_warm_up_work(now, &task);
        }
        if self.listing != ListingState::Active {
            return Admission::Rejected;
        }
        if self.running.len() < self.spec.cores {
            return Admission::Started(self.start_task(now, &task));
        }
        if self.queue.len() >= self.spec.max_queue {
            return Admission::Rejected;
        }
        self.queue.push_back(task);
        Admission::Queued
    }

    /// While it warms up, all that is sent to it counts: too much for too long, and it is overloaded.
    fn record_warm_up_work(&mut self, now: Duration, task: &Task) {
        let window = self.spec.overload_window;
        self.warm_up_work.push_back(WarmUpWork {
            arrived_at: now,
            work: task.work,
            start_known: task.start_known,
        });
        while let Some(oldest) = self.warm_up_work.front() {
            if oldest.arrived_at + window >= now {
                break;
            }
            self.warm_up_work.pop_front();
        }
        let sent_work: f64 = self.warm_up_work.iter().map(|sent| sent.work).sum();
        let capacity = self.spec.cores as f64
            * self.spec.speed
            * self.slow_start_factor(now)
            * window.as_secs_f64();
        let mean_work = self.spec.mean_work.max(1e-9);
        let budget = capacity * self.spec.overload_factor / mean_work;
        if sent_work / mean_work > with_chance(budget) {
            self.health = Health::Overloaded;
        }
    }

    /// Whether over two thirds of what overloaded it came from gateways that knew of its start.
    pub(super) fn was_overloaded_knowingly(&self) -> bool {
        let sent_work: f64 = self.warm_up_work.iter().map(|sent| sent.work).sum();
        let sent_knowingly: f64 = self
            .warm_up_work
            .iter()
            .filter(|sent| sent.start_known)
            .map(|sent| sent.work)
            .sum();
        sent_knowingly * 3.0 > sent_work * 2.0
    }

    /// An attempt's work is done or stopped: the next one in the queue begins.
    pub(super) fn finish_task(&mut self, now: Duration, attempt: AttemptId) -> Option<StartedTask> {
        self.running.retain(|running| *running != attempt);
        if self.running.len() >= self.spec.cores {
            return None;
        }
        let next = self.queue.pop_front()?;
        Some(StartedTask {
            attempt: next.attempt,
            done_at: self.start_task(now, &next),
        })
    }

    /// Takes an attempt that was given up out of the queue; says whether it runs already.
    pub(super) fn cancel_queued(&mut self, attempt: AttemptId) -> bool {
        self.queue.retain(|task| task.attempt != attempt);
        self.running.contains(&attempt)
    }

    /// Its process has ended: all that it had is gone.
    pub(super) fn crash(&mut self, health: Health) {
        self.health = health;
        self.incarnation += 1;
        self.warm_up_work.clear();
        self.running.clear();
        self.queue.clear();
    }

    /// Its process starts.
    pub(super) fn start(&mut self, now: Duration) {
        self.health = Health::Up;
        self.started_at = Some(now);
        self.load_report = LoadReport::default();
    }

    /// The endpoint list gives its present start in this change.
    pub(super) fn record_listed_start(&mut self, change: usize) {
        if self.listed_start.started_at != self.started_at {
            self.listed_start = ListedStart {
                started_at: self.started_at,
                change,
            };
        }
    }

    /// Whether a gateway that was notified of so many changes knows of its present start.
    pub(super) fn is_start_known(&self, notified_change_count: usize) -> bool {
        self.listed_start.started_at == self.started_at
            && notified_change_count > self.listed_start.change
    }

    /// Its load as it last reported it, made anew every so often.
    pub(super) fn load_report(&mut self, now: Duration, interval: Duration) -> LoadReport {
        let due = now >= self.load_report.reported_at + interval;
        if due || self.load_report == LoadReport::default() {
            self.load_report = LoadReport {
                reported_at: now,
                in_flight: self.running.len() + self.queue.len(),
                queued: self.queue.len(),
                utilization: self.running.len() as f64 / self.spec.cores as f64,
            };
        }
        self.load_report
    }

    /// Share of its cores' time that the work begun since the last call of this takes, of one second.
    pub(super) fn take_busy_share(&mut self) -> f64 {
        let spent = self.busy_seconds - self.reported_busy_seconds;
        self.reported_busy_seconds = self.busy_seconds;
        spent / self.spec.cores as f64
    }
}

#[cfg(test)]
mod tests;
