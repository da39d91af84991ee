//! Follows the endpoint list: the whole list first, then one watch after another on one connection, and a new
//! connection where the old one breaks or times out. When to call again is for [`DiscoveryRetryPolicy`] to say.

use super::codec::{decode_response, DecodedResponse, EndpointListMessage};
use crate::component::Component;
use crate::reactor::Reactor;
use crate::readiness::Readiness;
use crate::stream::BufferedStream;
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::time::Duration;
use wellcrank::settings::DiscoveryMode;
use wellcrank_fleet::discovery_retry::{DiscoveryFailure, DiscoveryRetryPolicy, DiscoveryTiming};

/// A change that comes within this time of the one before is one of a series: those of a tick are asked for together.
const MAX_SERIES_INTERVAL: Duration = Duration::from_millis(100);

/// A response may be so many bytes long however little memory there is: 4 KiB each for 1,024 endpoints.
pub(super) const MIN_RESPONSE_LIMIT: usize = 4 << 20;

/// A connection to discovery.
struct Connection {
    stream: BufferedStream,
    /// Whether no response has come on it yet.
    is_fresh: bool,
    /// Whether a call is out that was not answered yet.
    is_call_pending: bool,
}

/// What the follower knows of its calls, for its log lines.
#[derive(Clone, Copy)]
struct CallAges {
    /// How long ago the latest call began.
    call_age: Duration,
    /// How long ago the latest list or change came.
    list_age: Duration,
}

/// Follows the endpoint list at discovery.
pub(crate) struct DiscoveryFollower {
    address: SocketAddr,
    host: String,
    connection: Option<Connection>,
    /// The number of the latest connection, which is its key at the poll.
    connection_number: usize,
    /// Whether the list is to be followed.
    is_following: bool,
    /// The revision of the latest list or change that this gateway has, also across connections: a call then asks for
    /// what changed since, which is small, in place of the whole list. None: the whole list is wanted.
    revision: Option<u64>,
    gateway_index: u32,
    /// When a new connection is due, where there is none.
    reconnect_at: Duration,
    /// When the first call was due after a move since which no list has come.
    first_call_after_move: Option<Duration>,
    /// When the latest call, or the connection for it, began.
    call_started_at: Duration,
    /// When the latest list or change came.
    last_list_at: Duration,
    retry_policy: DiscoveryRetryPolicy,
    rng: WyRand,
}

/// What the waits follow from, by the settings as they are.
fn discovery_timing(reactor: &Reactor) -> DiscoveryTiming {
    let settings = &reactor.settings;
    // Pushed lists come from an agent on the gateway's own machine; else the fleet shares a service.
    let is_shared = settings.discovery == DiscoveryMode::Subscribe;
    DiscoveryTiming {
        connect_timeout: reactor.connect_timeout(),
        drain_grace: settings.rules.drain_grace,
        refresh_interval: settings.rules.list_refresh_interval,
        sharing_gateways: is_shared.then(|| f64::from(settings.gateways)),
    }
}

impl DiscoveryFollower {
    /// A follower of the list at `address`, from the revision that the gateway's configuration holds, if any. It begins
    /// with [`DiscoveryFollower::follow`].
    pub(crate) fn new(
        address: SocketAddr,
        revision: Option<u64>,
        seed: u64,
        reactor: &Reactor,
    ) -> DiscoveryFollower {
        DiscoveryFollower {
            address,
            host: address.to_string(),
            connection: None,
            connection_number: 0,
            is_following: false,
            revision,
            gateway_index: reactor.settings.gateway_index,
            reconnect_at: Duration::ZERO,
            first_call_after_move: None,
            call_started_at: reactor.now,
            last_list_at: reactor.now,
            retry_policy: DiscoveryRetryPolicy::new(discovery_timing(reactor)),
            rng: WyRand::new_seed(seed),
        }
    }

    /// The settings have changed: the waits follow from the new ones, the list and the watch stay.
    pub(crate) fn reconfigure(&mut self, reactor: &Reactor) {
        self.gateway_index = reactor.settings.gateway_index;
        self.retry_policy.set_timing(discovery_timing(reactor));
    }

    /// Discovery is elsewhere from now on: the list is followed there, whole at first, as its revisions are its own.
    pub(crate) fn move_to(&mut self, reactor: &mut Reactor, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.host = address.to_string();
        self.revision = None;
        self.retry_policy.record_success();
        self.close_connection(reactor);
        // All gateways are reconfigured at one moment, and what is there counts as notified some seconds later: after
        // the first of several moves in a row.
        let delay = self.retry_policy.first_call_delay(self.gateway_index) / 2;
        let due_at = reactor.now + delay;
        let due_at = self
            .first_call_after_move
            .map_or(due_at, |earlier| due_at.min(earlier));
        self.first_call_after_move = Some(due_at);
        self.connect_after(reactor, due_at.saturating_sub(reactor.now));
    }

    /// Begins or ends following the list.
    pub(crate) fn follow(&mut self, reactor: &mut Reactor, active: bool) {
        self.is_following = active;
        if self.connection.is_some() {
            return;
        }
        let delay = if self.revision.is_some() {
            self.retry_policy.first_call_delay(self.gateway_index)
        } else {
            Duration::ZERO
        };
        self.connect_after(reactor, delay);
    }

    /// Asks for the whole list now, in place of the watch that is out.
    pub(crate) fn refetch(&mut self, reactor: &mut Reactor) {
        self.is_following = true;
        self.revision = None;
        self.connect(reactor);
    }

    /// Has the first call made at once, or after a delay.
    fn connect_after(&mut self, reactor: &mut Reactor, delay: Duration) {
        self.reconnect_at = reactor.now + delay;
        if self.is_following && delay.is_zero() {
            self.connect(reactor);
        }
    }

    fn connect(&mut self, reactor: &mut Reactor) {
        self.close_connection(reactor);
        self.connection_number += 1;
        self.call_started_at = reactor.now;
        let opened = BufferedStream::connect(
            reactor,
            self.address,
            Component::Discovery,
            self.connection_number,
        );
        let Ok(stream) = opened else {
            return self.on_failure(reactor, DiscoveryFailure::NoResponse, "no connection");
        };
        self.connection = Some(Connection {
            stream,
            is_fresh: true,
            is_call_pending: false,
        });
        self.send_call(reactor);
    }

    /// Closes the connection; a new one is made at the next tick.
    fn close_connection(&mut self, reactor: &mut Reactor) {
        self.reconnect_at = self.reconnect_at.min(reactor.now);
        if let Some(connection) = self.connection.take() {
            connection.stream.close(reactor);
        }
    }

    /// A call has failed: the connection is closed, and the next call comes when the retry policy says. Logged once for
    /// each kind of failure, until a list comes.
    fn on_failure(&mut self, reactor: &mut Reactor, failure: DiscoveryFailure, reason: &str) {
        let policy_before = self.retry_policy;
        self.close_connection(reactor);
        let random = self.rng.generate::<f64>();
        let ages = self.call_ages(reactor.now);
        let delay = self
            .retry_policy
            .record_failure(failure, ages.call_age, random);
        self.reconnect_at = reactor.now + delay;
        match failure {
            DiscoveryFailure::NoResponse if !policy_before.has_gone_unanswered() => {
                slog::warn!(reactor.log, "discovery timed out, reconnecting"; "reason" => reason,
                    "rev" => self.revision, "connection" => self.connection_number,
                    "call_age" => ?ages.call_age, "list_age" => ?ages.list_age);
            }
            DiscoveryFailure::Rejection if !policy_before.was_rejected() => {
                slog::warn!(reactor.log, "discovery sent no endpoint list"; "reason" => reason,
                    "rev" => self.revision, "connection" => self.connection_number,
                    "next_call_in" => ?delay);
            }
            _ => (),
        }
    }

    fn call_ages(&self, now: Duration) -> CallAges {
        CallAges {
            call_age: now.saturating_sub(self.call_started_at),
            list_age: now.saturating_sub(self.last_list_at),
        }
    }

    /// Asks for what has changed since the revision at hand, else for the whole list.
    fn send_call(&mut self, reactor: &mut Reactor) {
        let watch_wait = self.watch_wait();
        let Some(connection) = &mut self.connection else {
            return;
        };
        let query = match self.revision {
            Some(revision) => format!("?after={revision}&wait_ms={}", watch_wait.as_millis()),
            None => String::new(),
        };
        let host = &self.host;
        let call = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        connection
            .stream
            .queue(reactor, |out| out.extend_from_slice(call.as_bytes()));
        connection.is_call_pending = true;
        self.call_started_at = reactor.now;
    }

    /// How long the next call may wait for news, or the one that is out.
    fn watch_wait(&self) -> Duration {
        let is_fresh = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.is_fresh);
        if is_fresh && self.retry_policy.polls_before_watching() {
            Duration::ZERO
        } else {
            self.retry_policy.watch_wait()
        }
    }

    fn is_connected(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.stream.is_connected)
    }

    fn is_call_pending(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.is_call_pending)
    }

    /// Until when the call that is out may go unanswered, with the wait that it asks for.
    fn call_deadline(&self) -> Duration {
        let timeout = if !self.is_connected() {
            self.retry_policy.connect_timeout()
        } else if self.revision.is_some() {
            self.watch_wait() + self.retry_policy.response_timeout(false)
        } else {
            self.retry_policy.response_timeout(true)
        };
        self.call_started_at + timeout
    }

    /// The poll has told of a connection. Returns the list or the change that has come, if it is whole.
    pub(crate) fn ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
    ) -> Option<EndpointListMessage> {
        let connection = self.connection_of(key)?;
        if readiness.is_writable() && connection.stream.pending_bytes() > 0 {
            self.flush(reactor, key);
        }
        let stream = &mut self.connection.as_mut()?.stream;
        let max_size = reactor.budget.bytes.max(MIN_RESPONSE_LIMIT);
        let is_open = stream.read(reactor, max_size);
        let is_closed = !is_open && !stream.has_failed;
        let response = match decode_response(&stream.input, is_closed, max_size) {
            Ok(response) => response,
            Err(error) => {
                self.on_failure(reactor, DiscoveryFailure::Rejection, &error.to_string());
                return None;
            }
        };
        let calls_at_once = response
            .as_ref()
            .is_some_and(|response| self.accept_response(reactor, response));
        if !is_open {
            self.on_connection_end(reactor);
        } else if response.is_some() && self.is_following {
            // Nothing new and too soon: the next call comes at the next tick.
            let may_call = reactor.now >= self.call_started_at + self.retry_policy.watch_wait() / 2;
            if calls_at_once || may_call {
                self.send_call(reactor);
            }
        }
        response.map(|response| response.message)
    }

    /// The connection of a key, if it is the present one.
    fn connection_of(&mut self, key: usize) -> Option<&mut Connection> {
        self.connection
            .as_mut()
            .filter(|_| key == self.connection_number)
    }

    /// Takes a whole response over. Returns whether the next call is to be made at once.
    fn accept_response(&mut self, reactor: &mut Reactor, response: &DecodedResponse) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        connection.stream.consume(reactor, response.size);
        connection.is_call_pending = false;
        let is_first = std::mem::take(&mut connection.is_fresh);
        let message = &response.message;
        self.log_recovery(reactor, message.revision);
        // Discovery begins its revisions anew: a change since ours can't be told, so the whole list is asked for.
        let went_back = !message.is_snapshot
            && self
                .revision
                .is_some_and(|revision| message.revision < revision);
        if went_back {
            slog::warn!(reactor.log, "discovery's revision went back, requesting the whole list";
                "previous_rev" => self.revision, "rev" => message.revision);
        }
        self.revision = (!went_back).then_some(message.revision);
        let is_in_series = reactor.now < self.last_list_at + MAX_SERIES_INTERVAL;
        self.last_list_at = reactor.now;
        self.first_call_after_move = None;
        self.retry_policy.record_success();
        is_first || went_back || (!message.is_empty() && !is_in_series)
    }

    /// Logs that discovery answers again after failures.
    fn log_recovery(&self, reactor: &Reactor, revision: u64) {
        if self.retry_policy.failures() == 0 {
            return;
        }
        let ages = self.call_ages(reactor.now);
        slog::info!(reactor.log, "discovery recovered"; "failures" => self.retry_policy.failures(),
            "connection" => self.connection_number, "call_age" => ?ages.call_age,
            "list_age" => ?ages.list_age, "previous_rev" => self.revision, "rev" => revision);
    }

    /// The peer has ended the connection, or it broke.
    fn on_connection_end(&mut self, reactor: &mut Reactor) {
        let Some(connection) = &self.connection else {
            return;
        };
        if !connection.is_call_pending {
            return self.close_connection(reactor);
        }
        let reason = if connection.stream.input.is_empty() {
            "the connection ended"
        } else {
            "an answer cut short"
        };
        self.on_failure(reactor, DiscoveryFailure::NoResponse, reason);
    }

    /// Writes what is queued for a connection.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(connection) = self.connection_of(key) else {
            return;
        };
        if connection.stream.flush(reactor).is_err() {
            self.on_failure(
                reactor,
                DiscoveryFailure::NoResponse,
                "the connection broke",
            );
        }
    }

    /// At each tick: makes a call where none is out, on a new connection where there is none and one is due or where the
    /// call that is out has timed out.
    pub(crate) fn on_tick(&mut self, reactor: &mut Reactor) {
        if !self.is_following {
            return;
        }
        if self.connection.is_some() && !self.is_call_pending() {
            return self.send_call(reactor);
        }
        if self.is_call_pending() {
            if reactor.now < self.call_deadline() {
                return;
            }
            let reason = if self.is_connected() {
                "no answer"
            } else {
                "it never came up"
            };
            self.on_failure(reactor, DiscoveryFailure::NoResponse, reason);
        }
        if reactor.now >= self.reconnect_at {
            self.connect(reactor);
        }
    }
}
