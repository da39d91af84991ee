//! Everything that one gateway owns besides its admission controller: the components, the open requests and the reactor
//! that they share. Passes each readiness event and each expired deadline to the component that it belongs to.

mod socket_port;

use crate::clients::Clients;
use crate::component::Component;
use crate::config::{NodeConfig, RestartOnlyConfig};
use crate::counter::Counter;
use crate::deadlines::{Deadline, DeadlineId};
use crate::discovery::{DiscoveryFollower, EndpointListMessage, ParsedUpdate};
use crate::metrics::Gauges;
use crate::notification::Notification;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::reactor::Reactor;
use crate::readiness::Readiness;
use crate::reload::reload_config;
use crate::requests::OpenRequests;
use crate::shutdown::GracefulShutdown;
use mio::Token;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::collections::BTreeMap;
use std::time::Duration;
use wellcrank::port::{
    EndpointState, EndpointUpdate, RequestId, TimerToken, UpdateTiming, TICK_TIMER,
};
use wellcrank::settings::DiscoveryMode;

pub(crate) use socket_port::SocketPort;

/// How long after its start a gateway without an endpoint list reports itself ready all the same. Its configuration
/// then holds no list and discovery does not respond, but nine of ten restarted gateways must be ready within 10 s.
/// Trade-off: the gateway receives requests that others could serve; it rejects them at once, with advice when to
/// retry.
const MAX_WAIT_FOR_ENDPOINTS: Duration = Duration::from_secs(8);

/// The interval of the periodic work that is too expensive to do at each tick.
const SLOW_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// How many slow ticks there are from one report of the metrics to the next.
const SLOW_TICKS_PER_REPORT: u64 = 60;

/// One gateway without its admission controller.
pub(crate) struct Gateway {
    /// The state that all components share.
    pub(crate) reactor: Reactor,
    requests: OpenRequests,
    clients: Clients,
    pool: Pool,
    counter: Counter,
    discovery: DiscoveryFollower,
    peers: Peers,
    signals: Signals,
    /// The deadline that was last set for each timer of the controller.
    controller_timers: BTreeMap<TimerToken, DeadlineId>,
    started_at: Duration,
    /// When discovery last sent a list or a change, even one without entries.
    last_update_at: Option<Duration>,
    /// The parts of the configuration that take effect only at a start, as the process was started with them.
    restart_only_config: RestartOnlyConfig,
    slow_ticks: u64,
    next_slow_tick_at: Duration,
}

impl Gateway {
    /// Creates a gateway from its components, without any request or endpoint.
    pub(crate) fn new(
        reactor: Reactor,
        clients: Clients,
        counter: Counter,
        discovery: DiscoveryFollower,
        peers: Peers,
        signals: Signals,
        restart_only_config: RestartOnlyConfig,
    ) -> Gateway {
        let now = reactor.now;
        Gateway {
            reactor,
            requests: OpenRequests::default(),
            clients,
            pool: Pool::default(),
            counter,
            discovery,
            peers,
            signals,
            controller_timers: BTreeMap::new(),
            started_at: now,
            last_update_at: None,
            restart_only_config,
            slow_ticks: 0,
            next_slow_tick_at: now,
        }
    }

    /// Applies the endpoint list of the configuration, if it holds one, and starts to follow discovery. With
    /// [`DiscoveryMode::Subscribe`], the controller decides when to follow discovery.
    pub(crate) fn begin_serving(&mut self, config: NodeConfig) {
        let known = config.known_endpoints.filter(|known| !known.is_empty());
        if let Some(known) = known {
            self.apply_endpoint_list(known, None);
        }
        if self.reactor.settings.discovery != DiscoveryMode::Subscribe {
            self.discovery.follow(&mut self.reactor, true);
        }
        slog::info!(self.reactor.log, "serving"; "listen" => %config.listen, "budget" => ?self.reactor.budget);
    }

    /// Starts an event loop iteration.
    pub(crate) fn begin_iteration(&mut self) {
        self.reactor.begin_iteration();
        self.clients.begin_iteration();
    }

    /// Has sockets read whose input earlier iterations have left, the longest wait first. Once the turns of this iteration
    /// are used up, the others go on waiting, before those that were read.
    pub(crate) fn read_deferred(&mut self) {
        for _ in 0..self.reactor.deferred_reads() {
            if self.clients.are_turns_used_up() {
                return;
            }
            if let Some(token) = self.reactor.take_deferred_read() {
                self.on_deferred_read(token);
            }
        }
    }

    /// Has the component that owns a socket read the input that it left in an earlier iteration.
    fn on_deferred_read(&mut self, token: Token) {
        match Component::from_token(token) {
            (Component::Client, key) => {
                self.clients
                    .take_deferred_turn(&mut self.reactor, key, &mut self.requests);
            }
            _ => self.on_readiness(token, Readiness::READABLE),
        }
    }

    /// Passes a readiness event to the component that owns the socket.
    pub(crate) fn on_readiness(&mut self, token: Token, readiness: Readiness) {
        let Gateway {
            reactor,
            requests,
            clients,
            pool,
            ..
        } = self;
        match Component::from_token(token) {
            (Component::Listener, _) => clients.accept(reactor, requests),
            (Component::Client, key) => clients.on_ready(reactor, key, readiness, requests),
            (Component::Lingering, key) => clients.on_lingering_ready(reactor, key),
            (Component::Upstream, key) => pool.on_ready(reactor, key, readiness, requests, clients),
            (Component::Counter, key) => self.counter.on_ready(reactor, key, readiness),
            (Component::Discovery, key) => {
                if let Some(message) = self.discovery.on_ready(reactor, key, readiness) {
                    self.on_discovery_message(message);
                }
            }
            (Component::Peers, _) => self.peers.discard_incoming(reactor),
            (Component::Signals, _) => self.on_signals(),
        }
    }

    /// Handles pending signals: SIGHUP reloads the configuration, any other starts the graceful shutdown.
    fn on_signals(&mut self) {
        let reactor = &mut self.reactor;
        for signal in self.signals.pending() {
            if signal == SIGHUP {
                reload_config(
                    reactor,
                    &mut self.counter,
                    &mut self.discovery,
                    &self.restart_only_config,
                );
            } else if reactor.shutdown.is_none() {
                slog::info!(reactor.log, "graceful shutdown started, answering open requests"; "open_requests" => self.requests.len());
                let shutdown = GracefulShutdown::new(reactor.now, &reactor.settings);
                reactor.shutdown = Some(shutdown);
            }
        }
    }

    /// Handles an endpoint list, or a change of it, from discovery.
    fn on_discovery_message(&mut self, message: EndpointListMessage) {
        let now = self.reactor.now;
        let since_last_update = self
            .last_update_at
            .map(|updated_at| now.saturating_sub(updated_at));
        self.last_update_at = Some(now);
        self.apply_endpoint_list(message, since_last_update);
    }

    /// Applies an endpoint list or a change of it, from discovery or from the gateway's configuration.
    /// `since_last_update`: how long ago discovery sent the list or change before this one.
    fn apply_endpoint_list(
        &mut self,
        message: EndpointListMessage,
        since_last_update: Option<Duration>,
    ) {
        let mut update = message.parse();
        if let Some(first) = update.unreadable_entries.first() {
            slog::warn!(self.reactor.log, "endpoint list has unreadable entries";
                "rev" => update.revision, "entries" => update.unreadable_entries.len(),
                "first" => %first);
        }
        self.pool.complete_update(&mut update);
        if update.is_snapshot || !update.endpoints.is_empty() {
            self.apply_update(update, since_last_update);
        }
        self.clients.is_ready = true;
    }

    /// Passes an update whose unreadable entries are resolved to the pool and to the admission controller.
    fn apply_update(&mut self, update: ParsedUpdate, since_last_update: Option<Duration>) {
        slog::info!(self.reactor.log, "endpoint list updated";
            "rev" => update.revision, "snapshot" => update.is_snapshot,
            "ready" => update.count(EndpointState::Ready),
            "draining" => update.count(EndpointState::Draining),
            "removed" => update.count(EndpointState::Removed));
        let endpoints = update
            .endpoints
            .iter()
            .map(|listed| listed.endpoint.clone())
            .collect();
        let endpoint_update = if update.is_snapshot {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        };
        self.pool
            .apply_update(&mut self.reactor, update.is_snapshot, update.endpoints);
        self.reactor.check_wall_clock();
        let timing = UpdateTiming {
            unix_now: self.reactor.clock.unix_now(),
            since_last_update,
        };
        self.reactor.notify(Notification::EndpointUpdate {
            timing,
            update: endpoint_update,
        });
    }

    /// Passes an expired deadline to its component.
    pub(crate) fn on_deadline(&mut self, deadline: Deadline) {
        let reactor = &mut self.reactor;
        match deadline {
            Deadline::Attempt { key, connection } => self.pool.on_timeout(reactor, key, connection),
            Deadline::CounterCall {
                connection_index,
                serial,
            } => self.counter.on_timeout(reactor, connection_index, serial),
            Deadline::ControllerTimer(token) => {
                reactor.notify(Notification::Timer(token));
                if token == TICK_TIMER {
                    self.on_tick();
                }
            }
        }
    }

    /// Does the gateway's own periodic work, whenever the controller's periodic timer fires.
    fn on_tick(&mut self) {
        let Gateway {
            reactor,
            requests,
            clients,
            ..
        } = self;
        if reactor.must_answer_now() {
            clients.close_after_last_answers(reactor, requests);
            for request in requests.awaited() {
                reactor.notify(Notification::ExpireRequest(request));
            }
        } else if reactor.is_draining() {
            clients.close_idle_connections(reactor, requests);
        }
        clients.close_overdue(reactor, requests);
        self.discovery.on_tick(reactor);
        if reactor.now >= self.next_slow_tick_at {
            self.slow_ticks += 1;
            self.next_slow_tick_at = reactor.now + SLOW_TICK_INTERVAL;
            self.on_slow_tick();
        }
    }

    /// Does the expensive periodic work, once every `SLOW_TICK_INTERVAL`.
    fn on_slow_tick(&mut self) {
        self.stop_waiting_for_endpoints();
        if self.slow_ticks.is_multiple_of(SLOW_TICKS_PER_REPORT) {
            self.report_metrics();
        }
        let Gateway {
            reactor,
            requests,
            clients,
            pool,
            ..
        } = self;
        reactor.check_wall_clock();
        reactor.violations.report(&reactor.log);
        clients.close_stalled(reactor, requests);
        pool.close_expired_connections(reactor);
        requests.forget_departed_ids(reactor.now);
        self.counter.ping_idle(reactor);
    }

    /// Makes the gateway report itself ready if no endpoint list has arrived within `MAX_WAIT_FOR_ENDPOINTS`.
    fn stop_waiting_for_endpoints(&mut self) {
        let waits_until = self.started_at + MAX_WAIT_FOR_ENDPOINTS;
        if self.reactor.now >= waits_until && !self.clients.is_ready {
            slog::warn!(
                self.reactor.log,
                "no endpoint list received yet, reporting ready: requests are rejected until a list arrives"
            );
            self.clients.is_ready = true;
        }
    }

    fn report_metrics(&mut self) {
        let gauges = Gauges {
            open_requests: self.requests.len(),
            client_connections: self.clients.len(),
            upstream_connections: self.pool.len(),
            buffered_bytes: self.reactor.memory.held(),
        };
        self.reactor.metrics.report(&self.reactor.log, &gauges);
    }

    /// Whether the graceful shutdown is complete: no client is connected, no request is open and, unless all requests
    /// must be answered by now, no call to the counter still awaits its reply or timeout.
    pub(crate) fn is_finished(&mut self) -> bool {
        // Once all requests must be answered, replies of the counter are no longer awaited: the calls were written, and
        // the values on the counter expire.
        let needs_no_replies =
            !self.counter.has_unreported_calls() || self.reactor.must_answer_now();
        let is_quiet = self.clients.len() == 0 && self.requests.len() == 0 && needs_no_replies;
        if !is_quiet || !self.reactor.is_draining() {
            return false;
        }
        // Clients that have connected since the last poll are still served.
        self.clients.accept(&mut self.reactor, &mut self.requests);
        self.clients.len() == 0
    }

    /// Writes the output that was queued during this event loop iteration, with one flush per connection.
    pub(crate) fn flush_connections(&mut self) {
        let Gateway {
            reactor,
            requests,
            clients,
            pool,
            ..
        } = self;
        for token in reactor.take_scheduled_flushes() {
            match Component::from_token(token) {
                (Component::Client, key) => clients.flush(reactor, key, requests),
                (Component::Upstream, key) => pool.flush(reactor, key, requests),
                (Component::Counter, key) => self.counter.flush(reactor, key),
                (_, key) => self.discovery.flush(reactor, key),
            }
        }
    }

    /// Resumes paused client connections, and accepting, in the next iteration.
    pub(crate) fn resume_clients(&mut self) {
        self.clients.resume_paused(&mut self.reactor);
    }

    /// Whether a request is open, without an answer, and its client has not stopped sending.
    pub(crate) fn is_awaited(&self, request: &RequestId) -> bool {
        self.requests.is_awaited(request)
    }

    /// Whether a request is open and has no answer yet, even if its client has stopped sending.
    pub(crate) fn is_unanswered(&self, request: &RequestId) -> bool {
        self.requests.is_unanswered(request)
    }

    /// Closes a request and sends its client the controller's final answer, unless an endpoint's value was sent to it.
    fn answer_request(&mut self, request: &RequestId, answer: &str) {
        let slot = self
            .requests
            .get_mut(request)
            .filter(|open| !open.answered)
            .map(|open| open.slot);
        self.close_request(request);
        if let Some(slot) = slot {
            self.clients.answer(&mut self.reactor, slot, |out| {
                out.extend_from_slice(answer.as_bytes());
            });
        }
    }

    /// Counts and closes a request whose client has disconnected.
    pub(crate) fn on_client_disconnect(&mut self, request: &RequestId) {
        self.reactor.metrics.disconnected += 1;
        self.close_request(request);
    }

    /// Removes a request from the open ones and frees its memory.
    pub(crate) fn close_request(&mut self, request: &RequestId) {
        let now = self.reactor.now;
        if let Some(open) = self.requests.remove(request, now) {
            if open.is_admitted {
                self.reactor.memory.remove_request(open.command.size());
            }
        }
    }
}
