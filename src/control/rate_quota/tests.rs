use super::CounterAccess::{Available, Scarce, Unavailable};
use super::Reservation::{AwaitsBlock, Counted, Denied, Uncounted};
use super::*;

const NOW: Duration = Duration::from_secs(100);

/// 2 units per second and a burst of 8 units, hence windows of 4 s.
const TERMS: RateTerms = RateTerms {
    rate: 2.0,
    burst: 8.0,
    window_seconds: 4.0,
    has_ceiling: false,
};

/// The demand at one of two gateways, whose even share is 4 units.
fn demand(units: f64, previous_total_demand: f64, local_demand: f64) -> UnitDemand {
    UnitDemand {
        units,
        local_demand,
        previous_total_demand,
        gateway_count: 2.0,
    }
}

/// The quota of a customer with `leased_units` left, whose bucket is observed from now on.
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
fn units_come_from_leased_units_or_a_new_block_or_the_local_quota() {
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
    // Low demand is less than a fifth of the rate. Under a ceiling the local quota is initially empty.
    for (units, previous_total_demand, has_ceiling, expected) in [
        (5.0, 0.39, false, Uncounted),
        (5.0, 0.4, false, Denied),
        (5.0, 0.0, true, Denied),
        (1.0, 0.0, true, Denied),
    ] {
        let terms = RateTerms {
            has_ceiling,
            ..TERMS
        };
        let asked = demand(units, previous_total_demand, 1.0);
        let reservation = RateQuota::default().reserve(NOW, &terms, asked, Unavailable);
        assert_eq!(
            reservation, expected,
            "{units} {previous_total_demand} {has_ceiling}"
        );
    }
}

#[test]
fn local_quota_is_charged_for_counted_units_but_not_for_those_awaiting_a_block() {
    // The local quota holds 4 units. A counted request that is larger than the rest of it leaves none.
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
fn block_is_sized_by_demand_within_the_even_share() {
    for (quota, local_demand, has_spare_calls, size) in [
        // The first block is the even share. Later ones are the demand of a window of 4 s, limited to 4 units, but they
        // cover the request of 3 units.
        (RateQuota::default(), 0.1, true, 4.0),
        (quota_with(0.0), 0.9, true, 4.0),
        (quota_with(0.0), 9.0, true, 4.0),
        (quota_with(0.0), 0.1, true, 3.0),
        // The demand of half a window while calls are scarce.
        (quota_with(0.0), 9.0, false, 18.0),
        // Units that are already leased are deducted: 4 - 2.5, rounded up.
        (quota_with(2.5), 9.0, true, 2.0),
    ] {
        let actual = quota.block_size(&TERMS, demand(3.0, 0.0, local_demand), has_spare_calls);
        assert_eq!(actual, size, "{local_demand} {has_spare_calls}");
    }
}

/// Returns the quota and the decision after the reply to a call that leases 4 units for a request of 3 units and reports
/// one unreported unit. The window began at 99 s.
fn reply_to_block(reply: CounterReply, has_spare_calls: bool) -> (RateQuota, BlockDecision) {
    let block = BlockAcquisition {
        request_units: 3.0,
        size: 4.0,
        unreported_units: 1.0,
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
fn granted_block_is_limited_to_the_level_of_the_bucket() {
    // The bucket is assumed to hold 8 units. A total above 5 shows the units that other gateways took.
    for (reply, returned_units, leased_units, total) in [
        (CounterReply::Total(9.0), 0.0, 4.0, 9.0),
        (CounterReply::Total(10.0), 1.0, 3.0, 9.0),
        (CounterReply::Applied, 0.0, 4.0, 5.0),
        (CounterReply::Unknown, 0.0, 0.0, 0.0),
    ] {
        let (quota, decision) = reply_to_block(reply, true);
        assert!(decision.granted, "{reply:?}");
        assert_eq!(decision.returned_units, returned_units, "{reply:?}");
        assert_eq!(quota.leased_units, leased_units, "{reply:?}");
        assert_eq!(quota.bucket.total(), total, "{reply:?}");
    }
}

#[test]
fn denied_block_rejects_until_the_bucket_holds_the_units() {
    // The bucket holds 8 units. If other gateways took 6, one of three units is missing and refills in 0.5 s. If they took
    // 20, the time is limited to half a window. While calls are scarce, no units are returned and the rejection lasts to
    // the end of the window.
    for (taken_by_others, has_spare_calls, units_left_on_counter, seconds) in [
        (6.0, true, 1.0, 0.5),
        (20.0, true, 1.0, 2.0),
        (6.0, false, 5.0, 3.0),
    ] {
        let reply = CounterReply::Total(taken_by_others + 5.0);
        let (quota, decision) = reply_to_block(reply, has_spare_calls);
        assert!(!decision.granted, "{taken_by_others}");
        assert_eq!(
            decision.units_left_on_counter, units_left_on_counter,
            "{taken_by_others}"
        );
        let rejected_until = NOW + Duration::from_secs_f64(seconds);
        assert_eq!(quota.rejected_until(), rejected_until, "{taken_by_others}");
    }
}

#[test]
fn settlement_goes_to_the_quota_that_was_charged() {
    let mut quota = quota_with(3.0);
    reserve(&mut quota, 3.0, Available);
    quota.settle(-2.0, false);
    assert_eq!(quota.leased_units, 2.0);
    // The local quota has 1 of 4 units left. With the refund of 2 it suffices for 3.
    quota.settle(-2.0, true);
    assert_eq!(reserve(&mut quota, 3.0, Unavailable), Uncounted);
}
