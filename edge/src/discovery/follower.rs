//! Follows the endpoint list: requests the complete list first, then changes by one watch (long poll) after another on the
//! same connection. A connection that breaks or times out is replaced. [`DiscoveryRetryPolicy`] computes the timeouts and
//! when to call again after a failure.

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

/// A change that arrives sooner than this after the previous list or change does not start the next call at once. That
/// call is made at the next tick, so that one response contains all changes in between.
const COALESCING_INTERVAL: Duration = Duration::from_millis(100);

/// The lower bound of the size limit of a response, which applies however small the memory budget is: 4 KiB for each of
/// 1,024 endpoints.
pub(super) const MIN_RESPONSE_LIMIT_BYTES: usize = 4 << 20;

/// The part of the memory for buffers that a response may take, as a divisor.
const RESPONSE_SHARE_OF_BUFFERS: usize = 4;

/// How many bytes of a response are read in one event loop iteration. The others are read in the next one, so that a long
/// response keeps the gateway from nothing else.
const MAX_BYTES_PER_ITERATION: usize = 256 << 10;

/// The connection to discovery, which carries one call at a time.
struct Connection {
    stream: BufferedStream,
    /// Whether no response has arrived on it yet.
    awaits_first_response: bool,
    /// Whether a call was sent, or queued, that has no response yet.
    is_call_pending: bool,
}

/// Times since the latest call and the latest list, for log lines.
#[derive(Clone, Copy)]
struct CallAges {
    /// The time since the latest call started.
    call_age: Duration,
    /// The time since the latest list or change arrived.
    list_age: Duration,
}

/// The client of discovery: its connection, the revision of the endpoint list and the retry state.
pub(crate) struct DiscoveryFollower {
    address: SocketAddr,
    host: String,
    connection: Option<Connection>,
    /// The number of the latest connection, counted from 1. It is also the key in the connection's poll token.
    connection_number: usize,
    /// Whether calls to discovery are to be made.
    is_following: bool,
    /// The revision of the latest list or change that this gateway has. It is kept across connections, so that a call
    /// requests only the changes since then. `None` requests the complete list.
    revision: Option<u64>,
    gateway_index: u32,
    /// When to open a new connection if there is none.
    reconnect_at: Duration,
    /// When the first call after a change of the address is due; `None` if a list or change has arrived since. Of several
    /// changes in a row, the earliest time counts.
    first_call_after_address_change: Option<Duration>,
    /// When the latest call, or opening the connection for it, started.
    call_started_at: Duration,
    /// When the latest list or change arrived.
    last_list_at: Duration,
    retry_policy: DiscoveryRetryPolicy,
    rng: WyRand,
}

/// Returns the settings from which the retry policy computes its timeouts and waits.
fn discovery_timing(reactor: &Reactor) -> DiscoveryTiming {
    let settings = &reactor.settings;
    // In push mode, each gateway calls an agent on its own machine; otherwise all gateways share one service.
    let is_shared = settings.discovery == DiscoveryMode::Subscribe;
    DiscoveryTiming {
        connect_timeout: reactor.connect_timeout(),
        drain_grace: settings.rules.drain_grace,
        refresh_interval: settings.rules.list_refresh_interval,
        sharing_gateways: is_shared.then(|| f64::from(settings.gateways)),
    }
}

/// Returns how many bytes a response may have. Its joined chunks and its decoded entries take as much again each.
fn max_response_bytes(reactor: &Reactor) -> usize {
    let share = reactor.budget.bytes / RESPONSE_SHARE_OF_BUFFERS;
    share.max(MIN_RESPONSE_LIMIT_BYTES)
}

impl DiscoveryFollower {
    /// Returns a follower of discovery at `address`. `revision` is that of the endpoint list in the gateway's
    /// configuration, if there is one. The first call is made after [`DiscoveryFollower::follow`].
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
            first_call_after_address_change: None,
            call_started_at: reactor.now,
            last_list_at: reactor.now,
            retry_policy: DiscoveryRetryPolicy::new(discovery_timing(reactor)),
            rng: WyRand::new_seed(seed),
        }
    }

    /// Applies changed settings to the timeouts and waits. The revision and a pending watch are kept.
    pub(crate) fn reconfigure(&mut self, reactor: &Reactor) {
        self.gateway_index = reactor.settings.gateway_index;
        self.retry_policy.set_timing(discovery_timing(reactor));
    }

    /// Follows discovery at another address. The first call there requests the complete list, because the revisions of
    /// two discovery services are not comparable.
    pub(crate) fn set_address(&mut self, reactor: &mut Reactor, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.host = address.to_string();
        self.revision = None;
        self.retry_policy.record_success();
        self.close_connection(reactor);
        // The delay spreads the calls of all gateways, which are reconfigured at the same moment. The gateway is expected
        // to know the list at the new address a few seconds after the first of several changes in a row. The delay is
        // therefore half of the usual one, and a later change does not postpone the call.
        let delay = self.retry_policy.first_call_delay(self.gateway_index) / 2;
        let due_at = reactor.now + delay;
        let due_at = self
            .first_call_after_address_change
            .map_or(due_at, |earlier| due_at.min(earlier));
        self.first_call_after_address_change = Some(due_at);
        self.connect_after(reactor, due_at.saturating_sub(reactor.now));
    }

    /// Starts or stops making calls. A connection that is open stays open, with its pending call.
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

    /// Requests the complete list now, on a new connection. A pending call is abandoned.
    pub(crate) fn refetch(&mut self, reactor: &mut Reactor) {
        self.is_following = true;
        self.revision = None;
        self.connect(reactor);
    }

    /// Opens a connection for the first call, at once or after a delay.
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
        let stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                let reason = format!("cannot connect to {}: {error}", self.address);
                return self.on_failure(reactor, DiscoveryFailure::NoResponse, &reason);
            }
        };
        self.connection = Some(Connection {
            stream,
            awaits_first_response: true,
            is_call_pending: false,
        });
        self.send_call(reactor);
    }

    /// Closes the connection. A new one is due at the next tick.
    fn close_connection(&mut self, reactor: &mut Reactor) {
        self.reconnect_at = self.reconnect_at.min(reactor.now);
        if let Some(connection) = self.connection.take() {
            connection.stream.close(reactor);
        }
    }

    /// Handles a failed call: closes the connection and schedules the next one as the retry policy says. Only the first
    /// failure of each kind since the latest list is logged.
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
                slog::warn!(reactor.log, "discovery did not respond, reconnecting"; "reason" => reason,
                    "rev" => self.revision, "connection" => self.connection_number,
                    "call_age" => ?ages.call_age, "list_age" => ?ages.list_age);
            }
            DiscoveryFailure::Rejection if !policy_before.was_rejected() => {
                slog::warn!(reactor.log, "discovery's response is not an endpoint list"; "reason" => reason,
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

    /// Requests the changes since the known revision, or the complete list if there is none.
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

    /// Returns how long discovery may wait for a change before it responds to the pending call, or to the next one if none
    /// is pending.
    fn watch_wait(&self) -> Duration {
        let awaits_first_response = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.awaits_first_response);
        if awaits_first_response && self.retry_policy.polls_before_watching() {
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

    /// Returns how long after its start the pending call times out. The wait that a watch requests is included.
    fn call_timeout(&self) -> Duration {
        if !self.is_connected() {
            self.retry_policy.connect_timeout()
        } else if self.revision.is_some() {
            self.watch_wait() + self.retry_policy.response_timeout(false)
        } else {
            self.retry_policy.response_timeout(true)
        }
    }

    /// Handles a readiness event of the connection with this key. Returns the list or change that has arrived, if it is
    /// complete.
    pub(crate) fn on_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readiness: Readiness,
    ) -> Option<EndpointListMessage> {
        let connection = self.current_connection(key)?;
        if readiness.is_writable() && connection.stream.pending_bytes() > 0 {
            self.flush(reactor, key);
        }
        let stream = &mut self.connection.as_mut()?.stream;
        let max_size = max_response_bytes(reactor);
        let max_size_now = max_size.min(stream.input.len() + MAX_BYTES_PER_ITERATION);
        stream.read_would_block = false;
        let is_open = stream.read(reactor, max_size_now);
        if is_open && !stream.read_would_block {
            reactor.defer_read(Component::Discovery.token(key));
        }
        let is_closed = !is_open && !stream.has_failed;
        let response = match decode_response(&stream.input, is_closed, max_size) {
            Ok(response) => response,
            Err(error) => {
                self.on_failure(reactor, DiscoveryFailure::Rejection, &error.to_string());
                return None;
            }
        };
        let should_call_at_once = response
            .as_ref()
            .is_some_and(|response| self.apply_response(reactor, response));
        if !is_open {
            self.on_connection_end(reactor);
        } else if response.is_some() && self.is_following {
            // Otherwise the next call is made at the next tick: the response came too early for a watch and has no change,
            // or its change closely follows the previous one.
            let has_waited =
                reactor.now >= self.call_started_at + self.retry_policy.watch_wait() / 2;
            if should_call_at_once || has_waited {
                self.send_call(reactor);
            }
        }
        response.map(|response| response.message)
    }

    /// Returns the connection if `key` is that of the latest one.
    fn current_connection(&mut self, key: usize) -> Option<&mut Connection> {
        self.connection
            .as_mut()
            .filter(|_| key == self.connection_number)
    }

    /// Records a complete response. Returns whether the next call is to be made at once.
    fn apply_response(&mut self, reactor: &mut Reactor, response: &DecodedResponse) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        connection.stream.consume(reactor, response.size);
        connection.is_call_pending = false;
        let is_first = std::mem::take(&mut connection.awaits_first_response);
        let message = &response.message;
        self.log_recovery(reactor, message.revision);
        // Discovery has restarted its numbering of revisions. The change does not refer to the revision of this gateway, so
        // the complete list is requested.
        let went_back = !message.is_snapshot
            && self
                .revision
                .is_some_and(|revision| message.revision < revision);
        if went_back {
            slog::warn!(reactor.log, "discovery's revision went back, requesting the complete list";
                "previous_rev" => self.revision, "rev" => message.revision);
        }
        self.revision = (!went_back).then_some(message.revision);
        let is_coalesced = reactor.now < self.last_list_at + COALESCING_INTERVAL;
        self.last_list_at = reactor.now;
        self.first_call_after_address_change = None;
        self.retry_policy.record_success();
        is_first || went_back || (!message.is_empty() && !is_coalesced)
    }

    /// Logs the first response after failures.
    fn log_recovery(&self, reactor: &Reactor, revision: u64) {
        if self.retry_policy.failures() == 0 {
            return;
        }
        let ages = self.call_ages(reactor.now);
        slog::info!(reactor.log, "discovery recovered"; "failures" => self.retry_policy.failures(),
            "connection" => self.connection_number, "call_age" => ?ages.call_age,
            "list_age" => ?ages.list_age, "previous_rev" => self.revision, "rev" => revision);
    }

    /// Handles a connection that discovery closed or that failed.
    fn on_connection_end(&mut self, reactor: &mut Reactor) {
        let Some(connection) = &self.connection else {
            return;
        };
        if !connection.is_call_pending {
            return self.close_connection(reactor);
        }
        let cause = if connection.stream.has_failed {
            "the connection failed"
        } else {
            "discovery closed the connection"
        };
        let received = connection.stream.input.len();
        let reason = format!("{cause} before the response was complete, {received} bytes received");
        self.on_failure(reactor, DiscoveryFailure::NoResponse, &reason);
    }

    /// Writes queued bytes to the connection with this key.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(connection) = self.current_connection(key) else {
            return;
        };
        if let Err(error) = connection.stream.flush(reactor) {
            let reason = format!("cannot send the call to {}: {error}", self.address);
            self.on_failure(reactor, DiscoveryFailure::NoResponse, &reason);
        }
    }

    /// Runs at each tick. Makes the next call if none is pending, checks the timeout of a pending call, and opens a new
    /// connection if there is none and one is due.
    pub(crate) fn on_tick(&mut self, reactor: &mut Reactor) {
        if !self.is_following {
            return;
        }
        if self.connection.is_some() && !self.is_call_pending() {
            return self.send_call(reactor);
        }
        if self.is_call_pending() {
            let timeout = self.call_timeout();
            if reactor.now < self.call_started_at + timeout {
                return;
            }
            let missing = if self.is_connected() {
                "response from"
            } else {
                "connection to"
            };
            let reason = format!("no {missing} {} within {timeout:?}", self.address);
            self.on_failure(reactor, DiscoveryFailure::NoResponse, &reason);
        }
        if reactor.now >= self.reconnect_at {
            self.connect(reactor);
        }
    }
}

#[cfg(test)]
mod tests;
