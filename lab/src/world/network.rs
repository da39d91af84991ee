//! The network between gateways, servers and the counter: delays, partitioned zones and datagrams between gateways.

use super::span::{milliseconds, TimedValue};
use crate::experiment::Experiment;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// A network partition that separates a zone from all other zones.
struct ZonePartition {
    zone: usize,
    /// When the partition ends.
    until: Duration,
}

/// A token bucket of the datagrams that a gateway may still receive. It holds at most the datagrams of one second.
#[derive(Clone)]
struct ReceiveBudget {
    datagrams: f64,
    /// When `datagrams` was last updated.
    refilled_at: Duration,
}

/// The state of the network and its faults.
pub(super) struct Network {
    zone_count: usize,
    /// The one-way delay within a zone.
    in_zone_delay: Duration,
    /// The one-way delay between two zones.
    cross_zone_delay: Duration,
    /// The share of datagrams that are lost without a fault.
    datagram_loss: f64,
    /// The largest random delay of a datagram on top of the delay within a zone, in milliseconds.
    max_datagram_delay_ms: f64,
    /// The datagrams per second that a gateway can receive.
    receive_rate: f64,
    /// The share of datagrams that are lost because of a fault.
    extra_loss: TimedValue,
    /// The receive budgets of all gateways, by the gateway's index.
    receive_budgets: Vec<ReceiveBudget>,
    /// All partitions so far, including those that have ended.
    partitions: Vec<ZonePartition>,
}

impl Network {
    /// Creates the network of an experiment, without faults.
    pub(super) fn new(experiment: &Experiment) -> Network {
        let network = &experiment.network;
        let full = ReceiveBudget {
            datagrams: network.datagram_rate,
            refilled_at: Duration::ZERO,
        };
        Network {
            zone_count: experiment.fleet.zones,
            in_zone_delay: milliseconds(network.in_zone_delay_ms),
            cross_zone_delay: milliseconds(network.cross_zone_delay_ms),
            datagram_loss: network.datagram_loss,
            max_datagram_delay_ms: network.datagram_max_delay_ms,
            receive_rate: network.datagram_rate,
            extra_loss: TimedValue::default(),
            receive_budgets: vec![full; experiment.fleet.gateways],
            partitions: Vec::new(),
        }
    }

    /// Returns the zone of a gateway. Gateways are assigned to the zones in turn.
    fn gateway_zone(&self, gateway: usize) -> usize {
        gateway % self.zone_count
    }

    /// Returns the one-way delay within a zone.
    pub(super) fn in_zone_delay(&self) -> Duration {
        self.in_zone_delay
    }

    /// Returns the one-way delay between a gateway and a zone.
    pub(super) fn one_way_delay(&self, gateway: usize, zone: usize) -> Duration {
        if self.gateway_zone(gateway) == zone {
            self.in_zone_delay
        } else {
            self.cross_zone_delay
        }
    }

    /// Separates a zone from all other zones until `until`.
    pub(super) fn partition_zone(&mut self, zone: usize, until: Duration) {
        self.partitions.push(ZonePartition { zone, until });
    }

    /// Returns whether a partition separates a gateway from a zone. It never separates a zone from itself.
    pub(super) fn is_partitioned(&self, now: Duration, gateway: usize, zone: usize) -> bool {
        let gateway_zone = self.gateway_zone(gateway);
        let separates =
            |partition: &ZonePartition| gateway_zone == partition.zone || zone == partition.zone;
        gateway_zone != zone
            && self
                .partitions
                .iter()
                .any(|partition| now < partition.until && separates(partition))
    }

    /// Loses at least this share of all datagrams until `until`.
    pub(super) fn lose_datagrams_until(&mut self, until: Duration, share: f64) {
        self.extra_loss = TimedValue {
            until,
            value: share,
        };
    }

    /// Sends a datagram from one gateway to another. Returns the delay after which it arrives, or `None` if it is lost:
    /// by chance, by a partition, because the receiver is down or because its receive rate is exceeded.
    pub(super) fn send_datagram(
        &mut self,
        now: Duration,
        from: usize,
        to: usize,
        receiver_is_up: bool,
        rng: &mut WyRand,
    ) -> Option<Duration> {
        let extra_delay = milliseconds(self.max_datagram_delay_ms * rng.generate::<f64>());
        let delay = extra_delay + self.in_zone_delay;
        let drawn = rng.generate::<f64>();
        let loss = self.datagram_loss.max(self.extra_loss.at(now));
        if drawn < loss || self.is_partitioned(now, from, self.gateway_zone(to)) {
            return None;
        }
        let rate = self.receive_rate;
        let budget = &mut self.receive_budgets[to];
        let elapsed = now.saturating_sub(budget.refilled_at).as_secs_f64();
        budget.datagrams = (budget.datagrams + elapsed * rate).min(rate);
        budget.refilled_at = now;
        if budget.datagrams < 1.0 || !receiver_is_up {
            return None;
        }
        budget.datagrams -= 1.0;
        Some(delay)
    }
}

#[cfg(test)]
mod tests;
