//! The hard ceiling of a plan, which each gateway keeps alone for each customer.

use super::token_bucket::{Refill, TokenBucket};
use crate::settings::Plan;
use std::time::Duration;

/// What the hard ceiling of a customer's plan leaves to this gateway.
#[derive(Default)]
pub(super) struct Ceiling {
    /// None until the first request under a ceiling.
    bucket: Option<TokenBucket>,
}

impl Ceiling {
    /// Takes units from the ceiling of `plan`; says whether they were there, as they always are where the plan has no
    /// ceiling. The bucket was empty when the gateway started (`started_at`), since an earlier process may have spent
    /// it.
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
