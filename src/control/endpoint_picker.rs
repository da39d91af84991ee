//! Which endpoint an attempt goes to: power of two choices among the eligible ones that fail least.

use super::endpoints::{EndpointRecord, EndpointTable};
use super::machine_types::MachineTypeLatencies;
use super::retries::RepeatGuard;
use super::slow_start::SlowStartView;
use crate::port::{EndpointId, EndpointState, RouteName};
use nanorand::{Rng, WyRand};

/// Draws from the subset, before all of it is looked through.
const DRAWS: usize = 12;

/// Draws from all endpoints where none of the subset is eligible; fewer endpoints are all looked through.
const DRAWS_OUTSIDE_SUBSET: usize = 256;

/// Endpoints are ranked by their failure rate in steps of one over this of the route's.
const FAILURE_STEPS: f64 = 2.0;

/// A failure rate that is this much above the route's is no reason to rank an endpoint lower.
const TOLERATED_FAILURE_RATE: f64 = 0.05;

/// The highest failure rate that counts for an endpoint's cost: quotients stay sound.
const MAX_FAILURE_RATE: f64 = 0.95;

/// The least weight of an endpoint, whatever discovery says.
const MIN_WEIGHT: f64 = 0.1;

/// The choice of an endpoint for one attempt, and what it follows from.
pub(super) struct EndpointPicker<'a> {
    /// The route of the request.
    pub(super) route: &'a RouteName,
    /// Where the attempt has no second effect.
    pub(super) guard: &'a RepeatGuard<'a>,
    /// Where the request's last attempt went; it is taken only where no other endpoint is eligible.
    pub(super) last: Option<&'a EndpointId>,
    /// The endpoint list.
    pub(super) endpoints: &'a EndpointTable,
    /// What may be sent to endpoints in slow start.
    pub(super) slow_start: SlowStartView<'a>,
    /// The share of the route's attempts that fails at all endpoints together.
    pub(super) route_failure_rate: f64,
    /// The latency ratios of machine types.
    pub(super) machine_types: &'a MachineTypeLatencies,
    /// This gateway's limit on attempts in flight.
    pub(super) concurrency_limit: f64,
}

impl EndpointPicker<'_> {
    /// Picks the endpoint, if there is an eligible one.
    pub(super) fn pick(&self, rng: &mut WyRand) -> Option<EndpointId> {
        let mut candidates =
            self.candidates(rng, |id| Some(id) != self.last && self.is_eligible(id));
        candidates.sort_by_cached_key(|id| self.failure_rank(id));
        match candidates[..] {
            [] => self.last.filter(|id| self.is_eligible(id)).cloned(),
            [only] => Some(only.clone()),
            [one, other, ..] => Some(self.pick_by_cost(rng, one, other).clone()),
        }
    }

    /// Whether an attempt may go to an endpoint at all: the rules on drains, effects and slow starts.
    fn is_eligible(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.entry.state == EndpointState::Ready
                && self.guard.allows(endpoint, self.slow_start.now)
                && self.has_capacity(endpoint)
        })
    }

    /// An endpoint's failure rate in whole steps against that of the route, lowest first.
    fn failure_rank(&self, id: &EndpointId) -> u32 {
        let tolerated = self.route_failure_rate + TOLERATED_FAILURE_RATE;
        (self.failure_rate(id) / tolerated * FAILURE_STEPS) as u32
    }

    /// Whether an endpoint has capacity for one more attempt of this gateway: by an even part of the concurrency limit,
    /// one at least, and in slow start by its budget.
    fn has_capacity(&self, endpoint: &EndpointRecord) -> bool {
        let subset_size = self.endpoints.subset().len().max(1) as f64;
        let even_part = self.concurrency_limit / subset_size * self.slow_start.factor(endpoint);
        self.slow_start.permits(endpoint) && f64::from(endpoint.in_flight) < even_part.max(1.0)
    }

    /// Endpoints that fit, at random: from a few draws, or all of the subset where these find fewer than two, or all
    /// endpoints where the subset has none.
    fn candidates(&self, rng: &mut WyRand, fits: impl Fn(&EndpointId) -> bool) -> Vec<&EndpointId> {
        let subset = self.endpoints.subset();
        let mut drawn = draw(rng, subset, DRAWS, &fits);
        drawn.dedup();
        if drawn.len() >= 2 {
            return drawn;
        }
        let mut candidates: Vec<&EndpointId> = subset.iter().filter(|id| fits(id)).collect();
        if candidates.is_empty() {
            candidates = self.candidates_outside_subset(rng, &fits);
        }
        rng.shuffle(&mut candidates);
        candidates
    }

    /// Endpoints that fit and are past their slow start, which is shared out among those whose subset they are in. Of
    /// thousands a few hundred at random are as good as all.
    fn candidates_outside_subset(
        &self,
        rng: &mut WyRand,
        fits: impl Fn(&EndpointId) -> bool,
    ) -> Vec<&EndpointId> {
        let ring = self.endpoints.ring();
        let fits_warmed_up = |id: &EndpointId| self.is_warmed_up(id) && fits(id);
        if ring.len() > DRAWS_OUTSIDE_SUBSET {
            let drawn = draw(rng, ring, DRAWS_OUTSIDE_SUBSET, fits_warmed_up);
            if !drawn.is_empty() {
                return drawn;
            }
        }
        ring.iter().filter(|id| fits_warmed_up(id)).collect()
    }

    fn is_warmed_up(&self, id: &EndpointId) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| self.slow_start.factor(endpoint) >= 1.0)
    }

    /// The one of two endpoints at which an attempt costs less. With nothing in flight at both, as in a gateway of many,
    /// costs say little: one is chosen at random, in proportion, else all gateways would send to the one that looks a
    /// little better.
    fn pick_by_cost<'b>(
        &self,
        rng: &mut WyRand,
        one: &'b EndpointId,
        other: &'b EndpointId,
    ) -> &'b EndpointId {
        let (Some(first), Some(second)) = (self.endpoints.get(one), self.endpoints.get(other))
        else {
            return one;
        };
        let first_cost = self.cost(first, self.failure_rate(one));
        let second_cost = self.cost(second, self.failure_rate(other));
        let both_idle = first.in_flight + second.in_flight == 0;
        let chance = if both_idle {
            rng.generate::<f64>()
        } else {
            0.5
        };
        if first_cost * chance <= second_cost * (1.0 - chance) {
            one
        } else {
            other
        }
    }

    /// The share of the route's attempts that is likely to fail at an endpoint.
    fn failure_rate(&self, id: &EndpointId) -> f64 {
        let overall = self.route_failure_rate;
        self.endpoints.get(id).map_or(overall, |endpoint| {
            endpoint
                .failures
                .endpoint_rate(self.route, self.slow_start.now, overall)
        })
    }

    /// Load against capacity; a failure costs all that a queue can cost and more.
    fn cost(&self, endpoint: &EndpointRecord, failure_rate: f64) -> f64 {
        let capacity = endpoint.entry.weight.max(MIN_WEIGHT) * self.slow_start.factor(endpoint);
        let type_ratio = self.machine_types.ratio(&endpoint.entry.machine_type);
        let load =
            (f64::from(endpoint.in_flight) + 1.0) * type_ratio * endpoint.latency_ratio / capacity;
        load / (1.0 - failure_rate.min(MAX_FAILURE_RATE)).powi(3)
    }
}

/// Those of `count` random draws from `ids` that fit; one may be there twice.
fn draw<'a>(
    rng: &mut WyRand,
    ids: &'a [EndpointId],
    count: usize,
    fits: impl Fn(&EndpointId) -> bool,
) -> Vec<&'a EndpointId> {
    if ids.is_empty() {
        return Vec::new();
    }
    (0..count)
        .map(|_| &ids[rng.generate_range(0..ids.len())])
        .filter(|id| fits(id))
        .collect()
}

#[cfg(test)]
mod tests;
