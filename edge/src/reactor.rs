//! The state that all components of the gateway share: the poll's registry, the deadlines, the notifications for the
//! admission controller, the account of memory and the metrics.

use crate::budget::Budget;
use crate::clock::Clock;
use crate::deadlines::{Deadline, DeadlineId, DeadlineQueue};
use crate::invariants::InvariantViolations;
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::notification::Notification;
use crate::shutdown::GracefulShutdown;
use mio::{Registry, Token};
use slog::Logger;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wellcrank::settings::Settings;

/// A serial number. Requests, connections, deadlines and calls on the counter share one sequence, so each number is
/// used once.
pub(crate) type Serial = u64;

/// How long a connection may take to be established if the settings do not say: as long as the system waits before it
/// retransmits the SYN.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The size of the buffer that all sockets are read into.
const SCRATCH_BYTES: usize = 64 * 1024;

/// An event loop iteration that takes longer than this is logged. Deadlines are late by as much, and nobody is served
/// meanwhile.
const SLOW_ITERATION: Duration = Duration::from_millis(250);

/// What the current event loop iteration has done so far.
#[derive(Default)]
struct IterationWork {
    /// How often notifications were delivered and connections were flushed.
    rounds: u64,
    /// The commands of clients that were handled.
    client_commands: u64,
}

/// The state that all components share. Times are durations on the gateway's monotonic clock.
pub(crate) struct Reactor {
    /// Registers sockets with the poll.
    pub(crate) registry: Registry,
    /// The system's clocks.
    pub(crate) clock: Clock,
    /// The time at which the current event or notification is handled: read when the poll returns and before each
    /// notification is delivered.
    pub(crate) now: Duration,
    /// When the poll last returned.
    pub(crate) polled_at: Duration,
    /// The current settings.
    pub(crate) settings: Rc<Settings>,
    /// How often the settings have changed since the start.
    settings_generation: u64,
    /// The limits on the connections of each kind and on buffered bytes.
    pub(crate) budget: Budget,
    /// The buffer that sockets are read into, before the bytes are appended to the input of their connection.
    pub(crate) scratch: Box<[u8]>,
    /// The times of the graceful shutdown, once the gateway was told to stop.
    pub(crate) shutdown: Option<GracefulShutdown>,
    /// Counts of what was done since the last report.
    pub(crate) metrics: Metrics,
    /// The invariants that were violated since the last report.
    pub(crate) violations: InvariantViolations,
    /// Where log lines go.
    pub(crate) log: Logger,
    /// The notifications for the admission controller, the oldest first.
    notifications: VecDeque<Notification>,
    /// The connections to flush at the end of this event loop iteration.
    flush_queue: Vec<Token>,
    /// The connections to flush at the end of the next iteration.
    deferred_flushes: Vec<Token>,
    /// The sockets that are read again in a later iteration, in the order in which this was asked for.
    deferred_reads: VecDeque<Token>,
    /// The tokens in `deferred_reads`.
    deferred_read_tokens: BTreeSet<Token>,
    /// The memory that grows with what others send.
    pub(crate) memory: MemoryAccount,
    deadlines: DeadlineQueue,
    last_serial: Serial,
    iteration: IterationWork,
}

impl Reactor {
    /// Creates a reactor whose clock starts now.
    pub(crate) fn new(
        registry: Registry,
        settings: Rc<Settings>,
        budget: Budget,
        log: Logger,
    ) -> Reactor {
        let clock = Clock::start();
        let now = clock.now();
        let memory = MemoryAccount::new(&budget);
        Reactor {
            registry,
            clock,
            now,
            polled_at: now,
            settings,
            settings_generation: 0,
            budget,
            scratch: vec![0; SCRATCH_BYTES].into(),
            shutdown: None,
            metrics: Metrics::default(),
            violations: InvariantViolations::default(),
            log,
            notifications: VecDeque::new(),
            flush_queue: Vec::new(),
            deferred_flushes: Vec::new(),
            deferred_reads: VecDeque::new(),
            deferred_read_tokens: BTreeSet::new(),
            memory,
            deadlines: DeadlineQueue::default(),
            last_serial: 0,
            iteration: IterationWork::default(),
        }
    }

    /// Starts an event loop iteration, after the poll has returned: reads the clock, and schedules the flushes that
    /// were deferred to this iteration.
    pub(crate) fn begin_iteration(&mut self) {
        self.now = self.clock.now();
        self.polled_at = self.now;
        self.flush_queue.append(&mut self.deferred_flushes);
        self.iteration = IterationWork::default();
    }

    /// Ends an event loop iteration: records how long it took, and logs one that took longer than `SLOW_ITERATION`.
    pub(crate) fn end_iteration(&mut self) {
        let duration = self.clock.now().saturating_sub(self.polled_at);
        let IterationWork {
            rounds,
            client_commands,
        } = self.iteration;
        self.metrics.record_iteration(duration, client_commands);
        if duration > SLOW_ITERATION {
            slog::warn!(self.log, "slow event loop iteration"; "took" => ?duration,
                "rounds" => rounds, "client_commands" => client_commands);
        }
    }

    /// Counts a round of delivering notifications and flushing connections in this iteration.
    pub(crate) fn count_round(&mut self) {
        self.iteration.rounds += 1;
    }

    /// Counts a client's command that was handled in this iteration.
    pub(crate) fn count_client_command(&mut self) {
        self.iteration.client_commands += 1;
    }

    /// Returns a serial number that was not used before.
    pub(crate) fn next_serial(&mut self) -> Serial {
        self.last_serial += 1;
        self.last_serial
    }

    /// Queues a notification for the admission controller.
    pub(crate) fn notify(&mut self, notification: Notification) {
        self.notifications.push_back(notification);
    }

    /// Takes the notification that was queued first, and sets `now` to the current time.
    pub(crate) fn take_notification(&mut self) -> Option<Notification> {
        let notification = self.notifications.pop_front()?;
        self.now = self.clock.now();
        Some(notification)
    }

    /// Schedules a flush of a connection for the end of this event loop iteration.
    pub(crate) fn schedule_flush(&mut self, token: Token) {
        self.flush_queue.push(token);
    }

    /// Schedules a flush of a connection for the end of the next iteration, whose poll does not wait.
    pub(crate) fn defer_flush(&mut self, token: Token) {
        self.deferred_flushes.push(token);
    }

    /// Has a socket read again in a later iteration, behind those that wait already. Polls do not wait until then. A
    /// component that has taken its share of an iteration calls this where its socket may hold more: the poll reports a
    /// socket only when further input arrives.
    pub(crate) fn defer_read(&mut self, token: Token) {
        if self.deferred_read_tokens.insert(token) {
            self.deferred_reads.push_back(token);
        }
    }

    /// The number of sockets that wait to be read again.
    pub(crate) fn deferred_reads(&self) -> usize {
        self.deferred_reads.len()
    }

    /// Takes the token of the socket that has waited longest to be read again.
    pub(crate) fn take_deferred_read(&mut self) -> Option<Token> {
        let token = self.deferred_reads.pop_front()?;
        self.deferred_read_tokens.remove(&token);
        Some(token)
    }

    /// Whether any connection is to be flushed in this iteration.
    pub(crate) fn has_scheduled_flushes(&self) -> bool {
        !self.flush_queue.is_empty()
    }

    /// Takes the tokens of the connections to flush in this iteration.
    pub(crate) fn take_scheduled_flushes(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.flush_queue)
    }

    /// Sets a deadline. The id that is returned cancels it.
    pub(crate) fn set_deadline(&mut self, due_at: Duration, deadline: Deadline) -> DeadlineId {
        let serial = self.next_serial();
        self.deadlines.set(due_at, serial, deadline)
    }

    /// Cancels a deadline, if it has not expired yet.
    pub(crate) fn cancel_deadline(&mut self, id: DeadlineId) {
        self.deadlines.cancel(id);
    }

    /// Takes the earliest deadline, if it has expired.
    pub(crate) fn take_expired_deadline(&mut self) -> Option<Deadline> {
        self.deadlines.take_expired(self.now)
    }

    /// How long the poll may wait for events; `None` if it may wait until one arrives.
    pub(crate) fn poll_timeout(&self) -> Option<Duration> {
        if !self.deferred_flushes.is_empty() || !self.deferred_reads.is_empty() {
            return Some(Duration::ZERO);
        }
        let due_at = self.deadlines.earliest()?;
        Some(due_at.saturating_sub(self.clock.now()))
    }

    /// Whether the gateway was told to stop and its clients have had time to notice, so that it closes connections
    /// between two requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.drain_from <= self.now)
    }

    /// Whether the gateway was told to stop and will be killed soon, so that it answers every open request now and
    /// reads no further ones.
    pub(crate) fn must_answer_now(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.answer_by <= self.now)
    }

    /// How long a connection may take to be established.
    pub(crate) fn connect_timeout(&self) -> Duration {
        let timeout = self.settings.limits.connect_timeout;
        if timeout.is_zero() {
            DEFAULT_CONNECT_TIMEOUT
        } else {
            timeout
        }
    }

    /// Replaces the settings.
    pub(crate) fn replace_settings(&mut self, settings: Rc<Settings>) {
        self.settings = settings;
        self.settings_generation += 1;
        slog::info!(self.log, "settings changed"; "generation" => self.settings_generation);
    }

    /// Logs a step of the wall clock since the last check, if there was one.
    pub(crate) fn check_wall_clock(&mut self) {
        if let Some(seconds) = self.clock.detect_step() {
            slog::warn!(self.log, "the wall clock was stepped: durations and quota windows are not affected"; "seconds" => seconds);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
