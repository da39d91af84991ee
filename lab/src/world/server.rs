//! An emulated server: its cores, queue, slow start and faults. It is independent of sockets.

use crate::events::AttemptId;
use std::collections::VecDeque;
use std::time::Duration;

/// Whether a server accepts connections and answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Health {
    /// The server accepts connections and answers.
    Up,
    /// The server accepts connections and attempts but answers nothing.
    Silent,
    /// The server refuses new connections and has reset the open ones.
    Down,
    /// The server was overloaded while warming up. It is down and does not start again.
    Overloaded,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ListingState {
    /// The server accepts attempts.
    Active,
    /// The server finishes the attempts that it has and accepts no new ones.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// The work of one attempt at a server.
pub(super) struct Task {
    /// The attempt that the server executes the work for.
    pub(super) attempt: AttemptId,
    /// The work, in seconds on a core of speed 1.
    pub(super) work: f64,
    /// Whether the gateway that sent it had been notified of the latest start of the server's process.
    pub(super) start_known: bool,
}

/// The properties and the limits of a server.
pub(super) struct ServerSpec {
    /// Its name in the endpoint list.
    pub(super) name: String,
    /// The index of its zone.
    pub(super) zone: usize,
    /// The index of its cell.
    pub(super) cell: u64,
    /// The name of its machine type.
    pub(super) machine_type: String,
    /// The number of attempts that it executes at a time.
    pub(super) cores: usize,
    /// The speed of a core, relative to the core that work is stated for.
    pub(super) speed: f64,
    /// The number of attempts that may wait for a core.
    pub(super) max_queue: usize,
    /// The share of its full capacity that it has right after a start.
    pub(super) initial_capacity_share: f64,
    /// The time from a start until it has its full capacity, in seconds.
    pub(super) warm_up_seconds: f64,
    /// While it warms up, work of more than this many times its current capacity within `overload_window` overloads it.
    pub(super) overload_factor: f64,
    /// The window over which work is summed up to detect an overload.
    pub(super) overload_window: Duration,
    /// The mean work of a request, in seconds on a core of speed 1.
    pub(super) mean_work: f64,
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadReport {
    /// When the values were measured.
    reported_at: Duration,
    /// The number of attempts that are being executed or wait for a core.
    pub(crate) in_flight: usize,
    /// The number of attempts that wait for a core.
    pub(crate) queued: usize,
    /// The share of its cores that are busy.
    pub(crate) utilization: f64,
}

/// Formats the report as it is sent to gateways.
impl std::fmt::Display for LoadReport {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "inflight={},queue={},util={:.2}",
            self.in_flight, self.queued, self.utilization
        )
    }
}

/// What a server does with a new task.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Admission {
    /// It is being executed and will be finished at this time.
    Started(Duration),
    /// It waits for a core.
    Queued,
    /// It is rejected without being executed.
    Rejected,
}

/// A task that has been taken from the queue and is being executed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct StartedTask {
    /// The attempt that is being executed.
    pub(super) attempt: AttemptId,
    /// When it will be finished.
    pub(super) done_at: Duration,
}

/// The latest start of a server's process that the endpoint list contains.
#[derive(Clone, Copy, Default)]
struct ListedStart {
    /// When the process started; `None` means long before the run.
    started_at: Option<Duration>,
    /// The number of the first change of the list that contains this start.
    change: usize,
}

/// The work of an attempt that arrived while a server was warming up.
struct WarmUpWork {
    arrived_at: Duration,
    /// The work, in seconds on a core of speed 1.
    work: f64,
    /// Whether the gateway that sent it had been notified of the latest start of the server's process.
    start_known: bool,
}

/// The state of an emulated server.
pub(crate) struct Server {
    /// Its name in the endpoint list.
    pub(crate) name: String,
    /// The index of its zone.
    pub(crate) zone: usize,
    /// The index of its cell. Servers of one cell deduplicate each other's attempts on routes with that scope.
    pub(crate) cell: u64,
    /// The name of its machine type.
    pub(crate) machine_type: String,
    /// Whether it accepts connections and answers.
    pub(crate) health: Health,
    /// Its state in the endpoint list. Gateways may not have been notified of it yet.
    pub(crate) listing: ListingState,
    /// When its process last started; `None` means long before the run.
    pub(crate) started_at: Option<Duration>,
    /// The factor by which a fault lengthens its execution times.
    pub(super) slowdown: f64,
    /// The share of its responses that are errors.
    pub(super) failure_share: f64,
    /// The indices of the routes that it leaves unanswered.
    pub(super) unanswered_routes: Vec<usize>,
    /// The number of open connections from gateways.
    pub(super) connections: usize,
    /// Increases whenever the server goes down or falls silent, and when a silent server returns. Events that were
    /// scheduled for an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    spec: ServerSpec,
    listed_start: ListedStart,
    running: Vec<AttemptId>,
    queue: VecDeque<Task>,
    /// The work that arrived within the overload window while it was warming up, oldest first.
    warm_up_work: VecDeque<WarmUpWork>,
    /// The execution time of all tasks started so far, summed up over the cores, in seconds.
    busy_seconds: f64,
    /// The part of `busy_seconds` that was already reported to the metrics.
    reported_busy_seconds: f64,
    /// The latest load report, which is repeated until it is older than the report interval.
    load_report: LoadReport,
}

/// Returns the number of requests above which a server that tolerates `tolerated` requests is overloaded. The margin
/// allows for random variation of the arrivals: three standard deviations of a Poisson distribution plus 3 requests
/// below 30 requests, otherwise two standard deviations plus 2 requests.
fn overload_threshold(tolerated: f64) -> f64 {
    if tolerated < 30.0 {
        tolerated + 3.0 * tolerated.sqrt() + 3.0
    } else {
        tolerated + 2.0 * tolerated.sqrt() + 2.0
    }
}

impl Server {
    /// Creates a server that has been up since long before the run.
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
            unanswered_routes: Vec::new(),
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

    /// Returns whether it refuses new connections. A silent server accepts them but never answers.
    pub(super) fn refuses_connections(&self) -> bool {
        matches!(self.health, Health::Down | Health::Overloaded)
    }

    /// Returns the share of its full capacity that it has reached in its slow start, up to 1.
    fn slow_start_factor(&self, now: Duration) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at).as_secs_f64();
        let initial = self.spec.initial_capacity_share;
        let span = self.spec.warm_up_seconds.max(1e-9);
        (initial + (1.0 - initial) * age / span).min(1.0)
    }

    /// Returns the current speed of a core, including slow start and faults, relative to a core of speed 1.
    fn core_speed(&self, now: Duration) -> f64 {
        self.spec.speed * self.slow_start_factor(now) / self.slowdown.max(1e-3)
    }

    /// Starts the execution of a task, and returns when it will be finished.
    fn start_task(&mut self, now: Duration, task: &Task) -> Duration {
        let span = task.work / self.core_speed(now);
        self.running.push(task.attempt);
        self.busy_seconds += span;
        now + Duration::from_secs_f64(span.min(1e6))
    }

    /// Starts, queues or rejects a task. Tasks that arrive during the slow start may overload the server.
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

    /// Adds a task to the work that arrived during the slow start, and marks the server as overloaded if the work of
    /// the overload window exceeds the threshold. Rejected tasks count as well.
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
        let tolerated_requests = capacity * self.spec.overload_factor / mean_work;
        if sent_work / mean_work > overload_threshold(tolerated_requests) {
            self.health = Health::Overloaded;
        }
    }

    /// Returns whether gateways that knew of its start sent more than two thirds of the work that overloaded it.
    pub(super) fn was_overloaded_by_informed_gateways(&self) -> bool {
        let sent_work: f64 = self.warm_up_work.iter().map(|sent| sent.work).sum();
        let sent_by_informed: f64 = self
            .warm_up_work
            .iter()
            .filter(|sent| sent.start_known)
            .map(|sent| sent.work)
            .sum();
        sent_by_informed * 3.0 > sent_work * 2.0
    }

    /// Ends the execution of an attempt, and starts the next task in the queue if a core is free.
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

    /// Removes an abandoned attempt from the queue, and returns whether it is already being executed.
    pub(super) fn cancel_queued(&mut self, attempt: AttemptId) -> bool {
        self.queue.retain(|task| task.attempt != attempt);
        self.running.contains(&attempt)
    }

    /// Takes the server down or makes it silent, as `health` says. Running and queued attempts are lost.
    pub(super) fn crash(&mut self, health: Health) {
        self.health = health;
        self.incarnation += 1;
        self.warm_up_work.clear();
        self.running.clear();
        self.queue.clear();
    }

    /// Starts its process, which begins its slow start.
    pub(super) fn start(&mut self, now: Duration) {
        self.health = Health::Up;
        self.started_at = Some(now);
        self.load_report = LoadReport::default();
    }

    /// Records that the endpoint list contains its latest start from the change with this number on.
    pub(super) fn record_listed_start(&mut self, change: usize) {
        if self.listed_start.started_at != self.started_at {
            self.listed_start = ListedStart {
                started_at: self.started_at,
                change,
            };
        }
    }

    /// Returns whether a gateway that was notified of the first `notified_change_count` changes of the endpoint list
    /// knows of its latest start.
    pub(super) fn is_start_known(&self, notified_change_count: usize) -> bool {
        self.listed_start.started_at == self.started_at
            && notified_change_count > self.listed_start.change
    }

    /// Returns its load report, which is measured again once it is at least `interval` old.
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

    /// Returns the execution time of the tasks started since the previous call, as a share of one second of all its
    /// cores. It can exceed 1, because a task counts in full when it starts.
    pub(super) fn take_busy_share(&mut self) -> f64 {
        let spent = self.busy_seconds - self.reported_busy_seconds;
        self.reported_busy_seconds = self.busy_seconds;
        spent / self.spec.cores as f64
    }
}

#[cfg(test)]
mod tests;
