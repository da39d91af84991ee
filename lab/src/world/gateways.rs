//! The life cycle of the gateways' processes, as the platform sees it.

use std::time::Duration;

/// For so long after a gateway was told to stop, clients still open connections to it: the front takes this
/// time to learn of it.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Where a gateway's process stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum GatewayState {
    /// Started and not ready yet.
    Starting,
    /// Serves.
    Ready,
    /// Told to stop.
    Stopping,
    /// No process.
    Down,
}

struct Gateway {
    state: GatewayState,
    /// Since when it is in this state.
    since: Duration,
    /// While it is down: it was killed, and has not ended by itself.
    killed: bool,
    /// Connections of clients that no request is open on; none in simulated time.
    idle_connections: usize,
}

/// All gateways by their index.
pub(super) struct Gateways {
    gateways: Vec<Gateway>,
}

impl Gateways {
    /// So many gateways, all starting.
    pub(super) fn new(count: usize) -> Gateways {
        let starting = |_| Gateway {
            state: GatewayState::Starting,
            since: Duration::ZERO,
            killed: false,
            idle_connections: 0,
        };
        Gateways {
            gateways: (0..count).map(starting).collect(),
        }
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        self.gateways.len()
    }

    /// The state of one.
    pub(super) fn state(&self, gateway: usize) -> GatewayState {
        self.gateways[gateway].state
    }

    /// Changes the state of one.
    pub(super) fn set_state(&mut self, now: Duration, gateway: usize, state: GatewayState) {
        let changed = &mut self.gateways[gateway];
        changed.state = state;
        changed.since = now;
    }

    /// The process of one has ended; `killed`: not by itself.
    pub(super) fn set_down(&mut self, now: Duration, gateway: usize, killed: bool) {
        self.set_state(now, gateway, GatewayState::Down);
        self.gateways[gateway].killed = killed;
    }

    /// Whether one is down because it was killed.
    pub(super) fn was_killed(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.state == GatewayState::Down && gateway.killed
    }

    /// Whether one has been ready for so long; one that was when the run began counts in any case.
    pub(super) fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        let gateway = &self.gateways[gateway];
        let long_enough = gateway.since.is_zero() || now >= gateway.since + span;
        gateway.state == GatewayState::Ready && long_enough
    }

    /// Whether clients still open connections to one.
    pub(super) fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.state != GatewayState::Stopping || now < gateway.since + STOP_NOTICE
    }

    /// Connections of clients to one that no request is open on.
    pub(super) fn set_idle_connections(&mut self, gateway: usize, count: usize) {
        self.gateways[gateway].idle_connections = count;
    }

    /// Whether the front routes clients to one; `failure_notice` is how long it takes to learn that one is down.
    pub(super) fn is_routed_to(
        &self,
        now: Duration,
        gateway: usize,
        failure_notice: Duration,
    ) -> bool {
        let routed = &self.gateways[gateway];
        match routed.state {
            GatewayState::Ready => true,
            GatewayState::Down => now < routed.since + failure_notice,
            // New connections keep coming for a while, and open ones are used until they end.
            GatewayState::Stopping => {
                self.accepts_connections(now, gateway) || routed.idle_connections > 0
            }
            GatewayState::Starting => false,
        }
    }
}
