//! Picks the endpoint of an attempt: power of two choices among the eligible endpoints with the lowest failure rates.

use super::endpoints::{EndpointRecord, EndpointTable};
use super::machine_types::MachineTypeLatencies;
use super::retries::RepeatGuard;
use super::slow_start::SlowStartView;
use crate::port::{EndpointId, EndpointState, RouteName};
use nanorand::{Rng, WyRand};

/// The number of random draws from the subset. If fewer than two eligible endpoints are drawn, the whole subset is
/// examined.
const SUBSET_DRAWS: usize = 12;

/// The number of random draws from all endpoints if none of the subset is eligible. A shorter list is examined
/// completely.
const DRAWS_OUTSIDE_SUBSET: usize = 256;

/// The number of ranks by failure rate below the tolerated failure rate.
const RANKS_BELOW_TOLERATED_RATE: f64 = 2.0;

/// The tolerated failure rate of an endpoint is the route's plus this.
const TOLERATED_FAILURE_RATE: f64 = 0.05;

/// The highest failure rate with which the cost of an endpoint is computed: at 1 the cost would be infinite.
const MAX_FAILURE_RATE: f64 = 0.95;

/// The lowest weight of an endpoint, if discovery reports a lower one.
const MIN_WEIGHT: f64 = 0.1;

/// Picks an endpoint for one attempt from these inputs.
pub(super) struct EndpointPicker<'a> {
    /// The route of the request.
    pub(super) route: &'a RouteName,
    /// The endpoints to which the attempt may be sent without the request running twice.
    pub(super) guard: &'a RepeatGuard<'a>,
    /// The endpoint of the request's last attempt. It is picked only if no other endpoint is eligible.
    pub(super) last_endpoint: Option<&'a EndpointId>,
    /// The endpoint list.
    pub(super) endpoints: &'a EndpointTable,
    /// The budgets of the endpoints in slow start.
    pub(super) slow_start: SlowStartView<'a>,
    /// The share of the route's attempts that fail, over all endpoints together.
    pub(super) route_failure_rate: f64,
    /// The latency ratios of the machine types.
    pub(super) machine_types: &'a MachineTypeLatencies,
    /// The adaptive limit on this gateway's attempts in flight at all endpoints.
    pub(super) adaptive_limit: f64,
}

impl EndpointPicker<'_> {
    /// Picks an endpoint, or returns `None` if none is eligible.
    pub(super) fn pick(&self, rng: &mut WyRand) -> Option<EndpointId> {
        let mut candidates = self.candidates(rng, |id| {
            Some(id) != self.last_endpoint && self.is_eligible(id)
        });
        candidates.sort_by_cached_key(|id| self.failure_rank(id));
        match candidates[..] {
            [] => self
                .last_endpoint
                .filter(|id| self.is_eligible(id))
                .cloned(),
            [only] => Some(only.clone()),
            [first, second, ..] => Some(self.pick_by_cost(rng, first, second).clone()),
        }
    }

    /// Returns whether an attempt may be sent to an endpoint: the endpoint accepts attempts, the request can't run
    /// twice there, and the endpoint has capacity left.
    fn is_eligible(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.entry.state == EndpointState::Ready
                && self.guard.allows(endpoint, self.slow_start.now)
                && self.has_capacity(endpoint)
        })
    }

    /// Returns the rank of an endpoint by its failure rate; the lowest rank fails least. Endpoints whose failure rates
    /// differ little have the same rank.
    fn failure_rank(&self, id: &EndpointId) -> u32 {
        let tolerated = self.route_failure_rate + TOLERATED_FAILURE_RATE;
        (self.failure_rate(id) / tolerated * RANKS_BELOW_TOLERATED_RATE) as u32
    }

    /// Returns whether an endpoint has capacity for one more attempt of this gateway. Its capacity is an equal share
    /// of the adaptive limit, reduced in slow start, but at least one attempt. In slow start the endpoint must also
    /// have a permit left.
    fn has_capacity(&self, endpoint: &EndpointRecord) -> bool {
        let subset_size = self.endpoints.subset().len().max(1) as f64;
        let equal_share =
            self.adaptive_limit / subset_size * self.slow_start.capacity_factor(endpoint);
        self.slow_start.may_send(endpoint) && f64::from(endpoint.in_flight) < equal_share.max(1.0)
    }

    /// Returns candidates in random order: from a few draws, or from the whole subset if the draws find fewer than
    /// two, or from all endpoints if the subset has none.
    fn candidates(
        &self,
        rng: &mut WyRand,
        is_candidate: impl Fn(&EndpointId) -> bool,
    ) -> Vec<&EndpointId> {
        let subset = self.endpoints.subset();
        let mut drawn = draw(rng, subset, SUBSET_DRAWS, &is_candidate);
        drawn.dedup();
        if drawn.len() >= 2 {
            return drawn;
        }
        let mut candidates: Vec<&EndpointId> =
            subset.iter().filter(|id| is_candidate(id)).collect();
        if candidates.is_empty() {
            candidates = self.candidates_outside_subset(rng, &is_candidate);
        }
        rng.shuffle(&mut candidates);
        candidates
    }

    /// Returns candidates from all endpoints that are past their slow start. Endpoints in slow start are left out
    /// because their capacity is divided among the gateways whose subset contains them. Of thousands of endpoints, a
    /// few hundred random ones are a good enough sample.
    fn candidates_outside_subset(
        &self,
        rng: &mut WyRand,
        is_candidate: impl Fn(&EndpointId) -> bool,
    ) -> Vec<&EndpointId> {
        let ring = self.endpoints.ring();
        let is_warmed_up_candidate = |id: &EndpointId| self.is_warmed_up(id) && is_candidate(id);
        if ring.len() > DRAWS_OUTSIDE_SUBSET {
            let drawn = draw(rng, ring, DRAWS_OUTSIDE_SUBSET, is_warmed_up_candidate);
            if !drawn.is_empty() {
                return drawn;
            }
        }
        ring.iter()
            .filter(|id| is_warmed_up_candidate(id))
            .collect()
    }

    fn is_warmed_up(&self, id: &EndpointId) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| self.slow_start.capacity_factor(endpoint) >= 1.0)
    }

    /// Returns the endpoint with the lower cost. If neither has attempts in flight, as is common with many gateways,
    /// the costs say little: one is then picked at random, with probabilities inversely proportional to the costs.
    /// If the cheaper one were picked, all gateways would send to the endpoint that looks slightly better.
    fn pick_by_cost<'b>(
        &self,
        rng: &mut WyRand,
        first: &'b EndpointId,
        second: &'b EndpointId,
    ) -> &'b EndpointId {
        let (Some(first_record), Some(second_record)) =
            (self.endpoints.get(first), self.endpoints.get(second))
        else {
            return first;
        };
        let first_cost = self.cost(first_record, self.failure_rate(first));
        let second_cost = self.cost(second_record, self.failure_rate(second));
        let both_idle = first_record.in_flight + second_record.in_flight == 0;
        let first_weight = if both_idle {
            rng.generate::<f64>()
        } else {
            0.5
        };
        if first_cost * first_weight <= second_cost * (1.0 - first_weight) {
            first
        } else {
            second
        }
    }

    /// Returns the estimated share of the route's attempts that fail at an endpoint.
    fn failure_rate(&self, id: &EndpointId) -> f64 {
        let overall = self.route_failure_rate;
        self.endpoints.get(id).map_or(overall, |endpoint| {
            endpoint
                .failures
                .endpoint_rate(self.route, self.slow_start.now, overall)
        })
    }

    /// Returns the cost of one more attempt at an endpoint: the load per capacity, multiplied by a factor that rises
    /// steeply with the failure rate, because a failed attempt costs more than any wait in a queue.
    fn cost(&self, endpoint: &EndpointRecord, failure_rate: f64) -> f64 {
        let capacity =
            endpoint.entry.weight.max(MIN_WEIGHT) * self.slow_start.capacity_factor(endpoint);
        let type_ratio = self.machine_types.ratio(&endpoint.entry.machine_type);
        let load =
            (f64::from(endpoint.in_flight) + 1.0) * type_ratio * endpoint.latency_ratio / capacity;
        load / (1.0 - failure_rate.min(MAX_FAILURE_RATE)).powi(3)
    }
}

/// Draws `count` random ids and returns those that are candidates. An id may be returned more than once.
fn draw<'a>(
    rng: &mut WyRand,
    ids: &'a [EndpointId],
    count: usize,
    is_candidate: impl Fn(&EndpointId) -> bool,
) -> Vec<&'a EndpointId> {
    if ids.is_empty() {
        return Vec::new();
    }
    (0..count)
        .map(|_| &ids[rng.generate_range(0..ids.len())])
        .filter(|id| is_candidate(id))
        .collect()
}

#[cfg(test)]
mod tests;
