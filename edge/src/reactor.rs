//! What all components of the gateway share: the poll's registry, the deadlines, the notifications for the admission
//! controller, the account of buffered bytes and the metrics.

use crate::budget::Budget;
use crate::clock::Clock;
use crate::deadlines::{Deadline, DeadlineId, DeadlineQueue};
use crate::invariants::{invariant, InvariantViolations};
use crate::metrics::Metrics;
use crate::notification::Notification;
use crate::shutdown::GracefulShutdown;
use mio::{Registry, Token};
use slog::Logger;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use wellcrank::settings::Settings;

/// A number that is given once: to a request, a connection, a deadline.
pub(crate) type Serial = u64;

/// How long a connection may take to come up where the settings do not say: as long as the system waits before it asks
/// for one again.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The size in bytes of the buffer that all sockets are read into.
const SCRATCH_SIZE: usize = 64 * 1024;

/// What all components share.
pub(crate) struct Reactor {
    /// Where sockets are registered with the poll.
    pub(crate) registry: Registry,
    /// The system's clocks.
    pub(crate) clock: Clock,
    /// The time of what is being handled: read when the poll returns and before each notification.
    pub(crate) now: Duration,
    /// When the poll returned last.
    pub(crate) polled_at: Duration,
    /// The settings that hold now.
    pub(crate) settings: Rc<Settings>,
    /// How often the settings have changed since the start.
    settings_generation: u64,
    /// The shares of sockets and memory.
    pub(crate) budget: Budget,
    /// What any socket is read into, before it is appended to the buffer of its connection.
    pub(crate) scratch: Box<[u8]>,
    /// When and how the gateway stops, once it was told to.
    pub(crate) shutdown: Option<GracefulShutdown>,
    /// What was done since the last report.
    pub(crate) metrics: Metrics,
    /// The invariants that were violated since the last report.
    pub(crate) violations: InvariantViolations,
    /// Where log lines go.
    pub(crate) log: Logger,
    notifications: VecDeque<Notification>,
    flush_queue: Vec<Token>,
    deferred_flushes: Vec<Token>,
    buffered_bytes: usize,
    deadlines: DeadlineQueue,
    last_serial: Serial,
}

impl Reactor {
    /// A reactor whose clock starts now.
    pub(crate) fn new(
        registry: Registry,
        settings: Rc<Settings>,
        budget: Budget,
        log: Logger,
    ) -> Reactor {
        let clock = Clock::start();
        let now = clock.now();
        Reactor {
            registry,
            clock,
            now,
            polled_at: now,
            settings,
            settings_generation: 0,
            budget,
            scratch: vec![0; SCRATCH_SIZE].into(),
            shutdown: None,
            metrics: Metrics::default(),
            violations: InvariantViolations::default(),
            log,
            notifications: VecDeque::new(),
            flush_queue: Vec::new(),
            deferred_flushes: Vec::new(),
            buffered_bytes: 0,
            deadlines: DeadlineQueue::default(),
            last_serial: 0,
        }
    }

    /// The poll has returned: reads the clock, and queues the flushes that were deferred until now.
    pub(crate) fn begin_turn(&mut self) {
        self.now = self.clock.now();
        self.polled_at = self.now;
        self.flush_queue.append(&mut self.deferred_flushes);
    }

    /// A serial number that was not given before.
    pub(crate) fn next_serial(&mut self) -> Serial {
        self.last_serial += 1;
        self.last_serial
    }

    /// Queues something for the admission controller.
    pub(crate) fn notify(&mut self, notification: Notification) {
        self.notifications.push_back(notification);
    }

    /// Takes the notification that was queued first, and reads the clock for it.
    pub(crate) fn take_notification(&mut self) -> Option<Notification> {
        let notification = self.notifications.pop_front()?;
        self.now = self.clock.now();
        Some(notification)
    }

    /// Has a connection flushed at the end of the turn.
    pub(crate) fn schedule_flush(&mut self, token: Token) {
        self.flush_queue.push(token);
    }

    /// Has a connection flushed at the end of the next turn, which begins at once.
    pub(crate) fn defer_flush(&mut self, token: Token) {
        self.deferred_flushes.push(token);
    }

    /// Whether a connection is to be flushed in this turn.
    pub(crate) fn has_scheduled_flushes(&self) -> bool {
        !self.flush_queue.is_empty()
    }

    /// Takes the connections that are to be flushed in this turn.
    pub(crate) fn take_scheduled_flushes(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.flush_queue)
    }

    /// Sets a deadline.
    pub(crate) fn set_deadline(&mut self, due_at: Duration, deadline: Deadline) -> DeadlineId {
        let serial = self.next_serial();
        self.deadlines.set(due_at, serial, deadline)
    }

    /// Cancels a deadline, if it has not fallen due yet.
    pub(crate) fn cancel_deadline(&mut self, id: DeadlineId) {
        self.deadlines.cancel(id);
    }

    /// Takes the earliest deadline, if it is due by now.
    pub(crate) fn take_expired_deadline(&mut self) -> Option<Deadline> {
        self.deadlines.take_expired(self.now)
    }

    /// How long the poll may wait for events; none: until one comes.
    pub(crate) fn poll_timeout(&self) -> Option<Duration> {
        if !self.deferred_flushes.is_empty() {
            return Some(Duration::ZERO);
        }
        let due_at = self.deadlines.earliest()?;
        Some(due_at.saturating_sub(self.clock.now()))
    }

    /// Whether the gateway was told to stop and others have had the time to notice: connections are ended between two
    /// requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.drain_from <= self.now)
    }

    /// Whether the gateway was told to stop and is killed soon: every open request is answered now, nothing more is
    /// taken.
    pub(crate) fn must_answer_now(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.answer_by <= self.now)
    }

    /// How long a connection may take to come up.
    pub(crate) fn connect_timeout(&self) -> Duration {
        let timeout = self.settings.limits.connect_timeout;
        if timeout.is_zero() {
            DEFAULT_CONNECT_TIMEOUT
        } else {
            timeout
        }
    }

    /// Other settings hold from now on.
    pub(crate) fn replace_settings(&mut self, settings: Rc<Settings>) {
        self.settings = settings;
        self.settings_generation += 1;
        slog::info!(self.log, "settings changed"; "generation" => self.settings_generation);
    }

    /// Logs it where the wall clock was stepped since the last check.
    pub(crate) fn check_wall_clock(&mut self) {
        if let Some(seconds) = self.clock.detect_step() {
            slog::warn!(self.log, "the wall clock was stepped: spans and windows go on as before"; "seconds" => seconds);
        }
    }

    /// Bytes in the buffers of connections and in open requests.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Bytes are buffered from now on.
    pub(crate) fn add_buffered_bytes(&mut self, bytes: usize) {
        self.buffered_bytes += bytes;
    }

    /// Bytes are buffered no longer. A wrong count must not come out as a memory that is full for ever.
    pub(crate) fn release_buffered_bytes(&mut self, bytes: usize) {
        invariant!(
            self,
            bytes <= self.buffered_bytes,
            "no more bytes are released than are buffered"
        );
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
    }
}
