//! The network between gateways, servers and the counter: delays, cut zones and datagrams between gateways.

use super::span::{milliseconds, TimedValue};
use crate::experiment::Experiment;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// A zone that exchanges nothing with other zones until then.
struct ZoneCut {
    zone: usize,
    until: Duration,
}

/// Datagrams that a gateway may still receive: a bucket that holds those of one second.
#[derive(Clone)]
struct ReceiveBudget {
    datagrams: f64,
    filled_at: Duration,
}

/// The network and its faults.
pub(super) struct Network {
    zone_count: usize,
    in_zone_delay: Duration,
    cross_zone_delay: Duration,
    /// Share of datagrams that are lost in any case.
    datagram_loss: f64,
    /// Datagrams are delayed by up to so many milliseconds more.
    max_datagram_delay_ms: f64,
    /// Datagrams that a gateway receives in a second.
    receive_rate: f64,
    /// Share of datagrams that are lost for a while.
    extra_loss: TimedValue,
    receive_budgets: Vec<ReceiveBudget>,
    cuts: Vec<ZoneCut>,
}

impl Network {
    /// The network of an experiment, without faults.
    pub(super) fn new(experiment: &Experiment) -> Network {
        let network = &experiment.network;
        let full = ReceiveBudget {
            datagrams: network.datagram_rate,
            filled_at: Duration::ZERO,
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
            cuts: Vec::new(),
        }
    }

    /// The zone of a gateway: they are spread over the zones in turn.
    fn gateway_zone(&self, gateway: usize) -> usize {
        gateway % self.zone_count
    }

    /// One way between two ends in the same zone.
    pub(super) fn in_zone_delay(&self) -> Duration {
        self.in_zone_delay
    }

    /// One way between a gateway and something in a zone.
    pub(super) fn one_way_delay(&self, gateway: usize, zone: usize) -> Duration {
        if self.gateway_zone(gateway) == zone {
            self.in_zone_delay
        } else {
            self.cross_zone_delay
        }
    }

    /// Cuts a zone off from all others until then.
    pub(super) fn cut_zone(&mut self, zone: usize, until: Duration) {
        self.cuts.push(ZoneCut { zone, until });
    }

    /// Whether a cut keeps a gateway and a zone from hearing each other.
    pub(super) fn is_cut(&self, now: Duration, gateway: usize, zone: usize) -> bool {
        let gateway_zone = self.gateway_zone(gateway);
        let separates = |cut: &ZoneCut| gateway_zone == cut.zone || zone == cut.zone;
        gateway_zone != zone
            && self
                .cuts
                .iter()
                .any(|cut| now < cut.until && separates(cut))
    }

    /// Loses this share of all datagrams until then.
    pub(super) fn lose_datagrams_until(&mut self, until: Duration, share: f64) {
        self.extra_loss = TimedValue {
            until,
            value: share,
        };
    }

    /// A datagram from one gateway to another: after how long it arrives, if it does.
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
        if drawn < loss || self.is_cut(now, from, self.gateway_zone(to)) {
            return None;
        }
        let rate = self.receive_rate;
        let budget = &mut self.receive_budgets[to];
        let elapsed = now.saturating_sub(budget.filled_at).as_secs_f64();
        budget.datagrams = (budget.datagrams + elapsed * rate).min(rate);
        budget.filled_at = now;
        if budget.datagrams < 1.0 || !receiver_is_up {
            return None;
        }
        budget.datagrams -= 1.0;
        Some(delay)
    }
}

#[cfg(test)]
mod tests;
