//! The hard ceiling of a plan. Each gateway enforces it for each customer on its own, without the shared counter.

use super::token_bucket::{Refill, TokenBucket};
use crate::settings::Plan;
use std::time::Duration;

/// The token bucket for the hard ceiling of one customer at this gateway.
#[derive(Default)]
pub(super) struct Ceiling {
    /// `None` until the first request under a plan with a ceiling.
    bucket: Option<TokenBucket>,
}

impl Ceiling {
    /// Takes units from the ceiling of `plan` and returns whether they were available, which they always are if the plan has
    /// no ceiling. The bucket is assumed to have been empty when the gateway started (`started_at`), because a previous
    /// process may have used it up.
    pub(super) fn try_take(
        &mut self,
        plan: &Plan,
        units: f64,
        started_at: Duration,
        now: Duration,
    ) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let refill = Refill {
            rate: plan.ceiling_rate,
            capacity: plan.ceiling_burst,
        };
        self.bucket
            .get_or_insert_with(|| TokenBucket::new(0.0, started_at))
            .try_take(now, refill, units)
    }
}
