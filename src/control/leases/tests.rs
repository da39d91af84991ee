use super::*;
use CounterReply::{Applied, NotApplied, Total, Unknown};

/// The acquisition of a lease under a cap of 10, in period 5.
fn acquisition(lease: u64) -> LeaseAcquisition {
    LeaseAcquisition {
        request: "r1".into(),
        purpose: LeasePurpose::FirstAttempt,
        lease: LeaseId(lease),
        period: 5,
        limit: 10.0,
        units: 1.0,
        window: 1.0,
        seconds_per_unit: 0.5,
        skips_counter: false,
    }
}

/// A customer with so many leases that the counter has counted in period 5.
fn customer_with(leases: u64) -> CustomerLeases {
    let mut customer = CustomerLeases::default();
    for lease in 1..=leases {
        customer.on_acquire_reply(&acquisition(lease), Applied, 5, 0.0);
    }
    customer
}

#[test]
fn local_shares_sum_to_the_cap_and_their_remainder_goes_round_by_period() {
    let share =
        |limit, rank, count, period| local_share(limit, GatewayPlace { rank, count }, period);
    for period in 2..8 {
        let sum: f64 = (0..3)
            .map(|rank| share(7.0, f64::from(rank), 3.0, period))
            .sum();
        assert_eq!(sum, 7.0, "{period}");
    }
    // A cap of 4 leaves one beyond one each: for rank 1 where 1 + period is a multiple of 3.
    assert_eq!(
        [2, 3, 4, 5].map(|period| share(4.0, 1.0, 3.0, period)),
        [2.0, 1.0, 1.0, 2.0]
    );
}

#[test]
fn customer_of_low_demand_may_always_have_one_attempt_in_flight() {
    // This gateway has none of the cap of 10 in period 1. At 0.5 s a unit, 4 units a second keep a fifth of the cap out.
    let place = GatewayPlace {
        rank: 9.0,
        count: 20.0,
    };
    for (demand_before, limit) in [(3.9, 1.0), (4.0, 0.0)] {
        assert_eq!(acquisition(1).local_limit(place, demand_before, 1), limit);
    }
}

#[test]
fn lease_is_decided_by_the_total_or_else_by_the_local_limit() {
    let denied = |ahead, was_counted| LeaseDecision::Denied { ahead, was_counted };
    let granted = LeaseDecision::Granted { renew_into: None };
    for (reply, skips_counter, open_leases, expected) in [
        (Total(10.0), false, 3, granted),
        (Total(12.0), false, 0, denied(2.0, true)),
        (Applied, false, 3, granted),
        (NotApplied, false, 2, granted),
        (NotApplied, false, 3, denied(1.0, false)),
        (Unknown, false, 3, denied(1.0, false)),
        (NotApplied, true, 9, granted),
        (NotApplied, true, 10, denied(1.0, false)),
    ] {
        let mut last = acquisition(100);
        last.skips_counter = skips_counter;
        // The local limit is 3.
        let decision = customer_with(open_leases).on_acquire_reply(&last, reply, 5, 3.0);
        assert_eq!(
            decision, expected,
            "{reply:?} {skips_counter} {open_leases}"
        );
    }
}

#[test]
fn lease_is_counted_in_each_period_into_which_it_was_renewed() {
    let mut customer = customer_with(2);
    customer.on_acquire_reply(&acquisition(3), Unknown, 5, 3.0);
    let leases = customer.start_renewal(6);
    assert_eq!(leases, [1, 2, 3].map(LeaseId));
    assert!(customer.start_renewal(6).is_empty(), "once");
    assert_eq!(customer.release(LeaseId(1)), [5]);
    assert_eq!(customer.on_renewed(&leases, 6), 1, "lease 1 has ended");
    assert_eq!(customer.release(LeaseId(2)), [5, 6]);
    assert_eq!(customer.release(LeaseId(3)), [6], "not counted in period 5");
    let late = customer.on_acquire_reply(&acquisition(4), Applied, 6, 3.0);
    assert_eq!(
        late,
        LeaseDecision::Granted {
            renew_into: Some(6)
        }
    );
}
