use super::CounterAccess::{Available, Scarce, Unavailable};
use super::Reservation::{AwaitsBlock, Counted, Denied, Uncounted};
use super::*;

const NOW: Duration = Duration::from_secs(100);

/// 2 units a second and a burst of 8, so windows of 4 s.
const TERMS: RateTerms = RateTerms {
    rate: 2.0,
    burst: 8.0,
    window: 4.0,
    has_ceiling: false,
};

/// Demand at one of two gateways, so with an even split of 4 units.
fn demand(units: f64, before: f64, here: f64) -> UnitDemand {
    UnitDemand {
        units,
        here,
        before,
        gateway_count: 2.0,
    }
}

/// The quota of a customer with so many units in hand, whose bucket is followed from now on.
fn quota_with(leased_units: f64) -> RateQuota {
    let mut quota = RateQuota {
        leased_units,
        ..RateQuota::default()
    };
    quota.enter_window(NOW, 7, &TERMS);
    quota
}

/// Reserves units for a request of a customer of high demand.
fn reserve(quota: &mut RateQuota, units: f64, access: CounterAccess) -> Reservation {
    quota.reserve(NOW, &TERMS, demand(units, 2.0, 1.0), access)
}

#[test]
fn units_come_from_the_block_in_hand_or_a_new_one_or_the_local_quota() {
    for (leased_units, units, access, expected) in [
        (3.0, 3.0, Available, Counted),
        (2.9, 3.0, Available, AwaitsBlock),
        (0.0, 4.0, Scarce, Uncounted),
        (0.0, 5.0, Scarce, AwaitsBlock),
        (0.0, 4.0, Unavailable, Uncounted),
        (0.0, 5.0, Unavailable, Denied),
    ] {
        let reservation = reserve(&mut quota_with(leased_units), units, access);
        assert_eq!(reservation, expected, "{leased_units} {units} {access:?}");
    }
}

#[test]
fn local_quota_lets_customers_of_low_demand_pass_but_not_under_a_ceiling() {
    // Low demand is less than a fifth of the rate; under a ceiling the local quota starts empty.
    for (units, before, has_ceiling, expected) in [
        (5.0, 0.39, false, Uncounted),
        (5.0, 0.4, false, Denied),
        (5.0, 0.0, true, Denied),
        (1.0, 0.0, true, Denied),
    ] {
        let terms = RateTerms {
            has_ceiling,
            ..TERMS
        };
        let asked = demand(units, before, 1.0);
        let reservation = RateQuota::default().reserve(NOW, &terms, asked, Unavailable);
        assert_eq!(reservation, expected, "{units} {before} {has_ceiling}");
    }
}

#[test]
fn counted_units_are_taken_from_the_local_quota_too_but_not_while_they_wait() {
    // Four units at first; a counted request that is larger than what is left leaves none.
    for (leased_units, first, left) in [(0.0, AwaitsBlock, 4.0), (3.0, Counted, 1.0)] {
        let mut quota = quota_with(leased_units);
        assert_eq!(reserve(&mut quota, 3.0, Available), first);
        assert_eq!(reserve(&mut quota, left + 0.5, Unavailable), Denied);
        assert_eq!(reserve(&mut quota, left, Unavailable), Uncounted);
    }
    let mut quota = quota_with(5.0);
    assert_eq!(reserve(&mut quota, 5.0, Available), Counted);
    assert_eq!(reserve(&mut quota, 0.5, Unavailable), Denied);
}

#[test]
fn block_is_sized_by_demand_within_the_even_split() {
    for (quota, here, has_spare_calls, size) in [
        // The even split at first; then the demand of a window of 4 s, 4 units at most and no less than the request.
        (RateQuota::default(), 0.1, true, 4.0),
        (quota_with(0.0), 0.9, true, 4.0),
        (quota_with(0.0), 9.0, true, 4.0),
        (quota_with(0.0), 0.1, true, 3.0),
        // Half a window's demand while calls are scarce.
        (quota_with(0.0), 9.0, false, 18.0),
        // What is in hand is not leased again: 4 - 2.5, in whole units.
        (quota_with(2.5), 9.0, true, 2.0),
    ] {
        let actual = quota.block_size(&TERMS, demand(3.0, 0.0, here), has_spare_calls);
        assert_eq!(actual, size, "{here} {has_spare_calls}");
    }
}

/// The quota and the decision after the reply about a block of 4 units, and one unreported unit, for a request of 3, in a
/// window that began at 99 s.
fn reply_to_block(reply: CounterReply, has_spare_calls: bool) -> (RateQuota, BlockDecision) {
    let block = BlockAcquisition {
        units: 3.0,
        size: 4.0,
        unreported: 1.0,
        terms: TERMS,
        window: Interval {
            number: 7,
            starts_at: Duration::from_secs(99),
        },
    };
    let calls = CallBudget {
        has_spare_calls,
        quotas_are_small: true,
    };
    let mut quota = quota_with(0.0);
    let decision = quota.on_block_reply(NOW, &block, reply, calls);
    (quota, decision)
}

#[test]
fn block_is_granted_as_far_as_the_bucket_holds_it() {
    // The bucket is taken to hold 8 units; the total beyond the 5 is what other gateways took.
    for (reply, give_back, units_in_hand, total) in [
        (CounterReply::Total(9.0), 0.0, 4.0, 9.0),
        (CounterReply::Total(10.0), 1.0, 3.0, 9.0),
        (CounterReply::Applied, 0.0, 4.0, 5.0),
        (CounterReply::Unknown, 0.0, 0.0, 0.0),
    ] {
        let (quota, decision) = reply_to_block(reply, true);
        assert!(decision.granted, "{reply:?}");
        assert_eq!(decision.give_back, give_back, "{reply:?}");
        assert_eq!(quota.leased_units, units_in_hand, "{reply:?}");
        assert_eq!(quota.bucket.total(), total, "{reply:?}");
    }
}

#[test]
fn refused_block_rejects_until_the_bucket_holds_the_units() {
    // Of 8 units others took 6, so one of three is missing, for half a second; or 20, which is limited to half a window.
    // Where calls are scarce nothing goes back, and the rejection lasts for the window.
    for (others, has_spare_calls, left_on_counter, seconds) in [
        (6.0, true, 1.0, 0.5),
        (20.0, true, 1.0, 2.0),
        (6.0, false, 5.0, 3.0),
    ] {
        let reply = CounterReply::Total(others + 5.0);
        let (quota, decision) = reply_to_block(reply, has_spare_calls);
        assert!(!decision.granted, "{others}");
        assert_eq!(decision.left_on_counter, left_on_counter, "{others}");
        let rejected_until = NOW + Duration::from_secs_f64(seconds);
        assert_eq!(quota.rejected_until(), rejected_until, "{others}");
    }
}

#[test]
fn units_are_settled_where_they_were_reserved() {
    let mut quota = quota_with(3.0);
    reserve(&mut quota, 3.0, Available);
    quota.settle(-2.0, false);
    assert_eq!(quota.leased_units, 2.0);
    // One of 4 units is left in the local quota; two that were given back suffice for three.
    quota.settle(-2.0, true);
    assert_eq!(reserve(&mut quota, 3.0, Unavailable), Uncounted);
}
