//! The hard ceiling of a plan, kept by each gateway alone.

use super::customers::Customer;
use super::token_bucket::TokenBucket;
use crate::settings::Plan;
use std::time::Duration;

/// Takes a request's units from the customer's ceiling; says whether they were there. The ceiling's bucket is empty at
/// the gateway's start, since an earlier process may have spent it; a request that was charged without the counter's
/// word counts for all of the customer's gateways.
pub(super) fn try_pass(
    customer: &mut Customer,
    plan: &Plan,
    units: f64,
    is_uncounted: bool,
    started_at: Duration,
    now: Duration,
) -> bool {
    if plan.ceiling_rate <= 0.0 {
        return true;
    }
    let charged = if is_uncounted {
        units * customer.gateway_count
    } else {
        units
    };
    customer
        .ceiling
        .get_or_insert_with(|| TokenBucket::new(0.0, started_at))
        .try_take(now, plan.ceiling_rate, plan.ceiling_burst, charged)
}
