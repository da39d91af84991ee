//! Default values of the fields that an experiment file may omit.

use super::config::{
    CounterConfig, DeduplicationScope, DiscoveryConfig, FleetConfig, Idempotency, LoadConfig,
    MachineTypeConfig, NetworkConfig, PlanConfig, RouteConfig,
};

/// Time for which servers remember the idempotency key of a request on the keyed route.
const DEDUPLICATION_WINDOW_SECONDS: f64 = 8.0;

pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn cores() -> usize {
    2
}

pub(super) fn fault_factor() -> f64 {
    2.0
}

pub(super) fn seeds() -> Vec<u64> {
    vec![1]
}

impl Default for FleetConfig {
    fn default() -> Self {
        FleetConfig {
            gateways: 4,
            servers: 10,
            zones: 1,
            cells: 1,
            machine_types: vec![MachineTypeConfig {
                name: "large".into(),
                share: 1.0,
                cores: 2,
                speed: 1.0,
            }],
            queue_capacity: 40,
            max_connections: 256,
            handshake_ms: 1.0,
            idle_timeout: 20.0,
            slow_start_capacity: 0.2,
            slow_start: 10.0,
            overload_factor: 4.0,
            overload_for: 1.0,
            cancels_work: true,
            load_report_interval: 0.0,
            load_probes: false,
            max_attempts: 3,
            drain_grace: 0.5,
            connect_timeout: 0.25,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

impl Default for CounterConfig {
    fn default() -> Self {
        CounterConfig {
            present: true,
            shards: 1,
            capacity: 5000.0,
            latency_ms: 1.0,
            timeout_ms: 80.0,
            queue_capacity: 2000,
        }
    }
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig { max_delay: 0.5 }
    }
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            in_zone_delay_ms: 0.3,
            cross_zone_delay_ms: 1.0,
            peer_datagrams: false,
            datagram_loss: 0.02,
            datagram_max_delay_ms: 5.0,
            datagram_rate: 60.0,
        }
    }
}

impl Default for LoadConfig {
    fn default() -> Self {
        LoadConfig {
            request_rate: 60.0,
            typical_utilization: 0.5,
            greedy_share: 0.1,
            greedy_factor: 3.0,
            gateways_per_account: 3,
            shift_interval: 15.0,
            max_units: 4,
            settles_units: true,
            max_retries: 2,
            retry_delay: 0.5,
            retry_after_compliance: 1.0,
            patience: 1.0,
            front_detection_delay: 1.0,
            replay: None,
            replay_scale: 1.0,
        }
    }
}

/// One route for each variant of [`Idempotency`].
pub(super) fn routes() -> Vec<RouteConfig> {
    vec![
        RouteConfig {
            name: "preview".into(),
            share: 0.4,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0.0,
            work_ms: 100.0,
            latency_target: 1.0,
            client_timeout: 3.0,
            billed_value: 1.0,
            late_value_ratio: 0.0,
        },
        RouteConfig {
            name: "submit-track".into(),
            share: 0.35,
            idempotency: Idempotency::Keyed,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: DEDUPLICATION_WINDOW_SECONDS,
            work_ms: 120.0,
            latency_target: 1.5,
            client_timeout: 4.0,
            billed_value: 4.0,
            late_value_ratio: 0.0,
        },
        RouteConfig {
            name: "issue-ref".into(),
            share: 0.25,
            idempotency: Idempotency::NonIdempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0.0,
            work_ms: 50.0,
            latency_target: 0.6,
            client_timeout: 2.0,
            billed_value: 2.0,
            late_value_ratio: 0.0,
        },
    ]
}

/// A plan with only a quota, one with a concurrency limit as well, and one with a hard ceiling as well.
pub(super) fn plans() -> Vec<PlanConfig> {
    let plan = |name: &str, share, rate, burst| PlanConfig {
        name: name.into(),
        share,
        rate,
        burst,
        concurrency_limit: 0.0,
        price: 1.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.1,
    };
    vec![
        plan("desk", 0.4, 4.0, 16.0),
        PlanConfig {
            concurrency_limit: 12.0,
            ..plan("house", 0.4, 20.0, 50.0)
        },
        PlanConfig {
            ceiling_rate: 24.0,
            ceiling_burst: 60.0,
            ..plan("premiere", 0.2, 12.0, 30.0)
        },
    ]
}
