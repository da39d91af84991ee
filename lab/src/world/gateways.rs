//! The life cycle of the gateway processes, as the platform sees it.

use std::time::Duration;

/// How long clients still open connections to a gateway that was told to stop. The load balancer in front of the
/// gateways detects the stop only after this time.
const STOP_DETECTION_DELAY: Duration = Duration::from_millis(300);

/// The state of a gateway's process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum GatewayState {
    /// The process was started and is not ready yet.
    Starting,
    /// The process serves requests.
    Ready,
    /// The process was told to stop and still runs.
    Stopping,
    /// No process runs.
    Down,
}

struct Gateway {
    state: GatewayState,
    /// When the process entered this state.
    since: Duration,
    /// Whether the platform killed the process; otherwise it ended by itself. Only meaningful while it is down.
    killed: bool,
    /// The number of client connections without an open request. It is always 0 in simulated time.
    idle_connections: usize,
}

/// The state of all gateways, by their index.
pub(super) struct Gateways {
    gateways: Vec<Gateway>,
}

impl Gateways {
    /// Creates `count` gateways that are all starting.
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

    /// Returns the number of gateways.
    pub(super) fn count(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the state of a gateway.
    pub(super) fn state(&self, gateway: usize) -> GatewayState {
        self.gateways[gateway].state
    }

    /// Changes the state of a gateway.
    pub(super) fn set_state(&mut self, now: Duration, gateway: usize, state: GatewayState) {
        let changed = &mut self.gateways[gateway];
        changed.state = state;
        changed.since = now;
    }

    /// Records that a gateway's process has ended. `killed` is false if it ended by itself.
    pub(super) fn set_down(&mut self, now: Duration, gateway: usize, killed: bool) {
        self.set_state(now, gateway, GatewayState::Down);
        self.gateways[gateway].killed = killed;
    }

    /// Returns whether a gateway is down because the platform killed it.
    pub(super) fn was_killed(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.state == GatewayState::Down && gateway.killed
    }

    /// Returns whether a gateway has been ready for at least `span`, or since the start of the run.
    pub(super) fn is_ready_for(&self, now: Duration, gateway: usize, span: Duration) -> bool {
        let gateway = &self.gateways[gateway];
        let long_enough = gateway.since.is_zero() || now >= gateway.since + span;
        gateway.state == GatewayState::Ready && long_enough
    }

    /// Returns whether clients still open connections to a gateway, which ends a while after it was told to stop.
    pub(super) fn accepts_connections(&self, now: Duration, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.state != GatewayState::Stopping || now < gateway.since + STOP_DETECTION_DELAY
    }

    /// Sets the number of client connections to a gateway without an open request.
    pub(super) fn set_idle_connections(&mut self, gateway: usize, count: usize) {
        self.gateways[gateway].idle_connections = count;
    }

    /// Returns whether the load balancer routes requests to a gateway. It detects that a gateway is down after
    /// `failure_detection_delay`.
    pub(super) fn is_routed_to(
        &self,
        now: Duration,
        gateway: usize,
        failure_detection_delay: Duration,
    ) -> bool {
        let routed = &self.gateways[gateway];
        match routed.state {
            GatewayState::Ready => true,
            GatewayState::Down => now < routed.since + failure_detection_delay,
            // New connections are opened for a while, and idle ones are used until they are closed.
            GatewayState::Stopping => {
                self.accepts_connections(now, gateway) || routed.idle_connections > 0
            }
            GatewayState::Starting => false,
        }
    }
}
