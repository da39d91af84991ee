use super::*;
use CounterReply::{Applied, NotApplied, Total, Unknown};

/// An acquisition in period 5 under a concurrency limit of 10.
fn acquisition(lease: u64) -> LeaseAcquisition {
    LeaseAcquisition {
        request: "r1".into(),
        purpose: LeasePurpose::FirstAttempt,
        lease: LeaseId(lease),
        period: 5,
        limit: 10.0,
        units: 1.0,
        window_seconds: 1.0,
        seconds_per_unit: 0.5,
        skips_counter: false,
    }
}

/// A customer with `leases` open leases, which the counter has counted in period 5.
fn customer_with(leases: u64) -> CustomerLeases {
    let mut customer = CustomerLeases::default();
    for lease in 1..=leases {
        customer.on_acquire_reply(&acquisition(lease), Applied, 5, 0.0);
    }
    customer
}

#[test]
fn local_shares_add_up_to_the_limit_and_their_remainder_rotates_by_period() {
    let share = |limit, rank, gateway_count, period| {
        let place = GatewayPlace {
            rank,
            gateway_count,
        };
        local_share(limit, place, period)
    };
    for period in 2..8 {
        let sum: f64 = (0..3)
            .map(|rank| share(7.0, f64::from(rank), 3.0, period))
            .sum();
        assert_eq!(sum, 7.0, "{period}");
    }
    // With a limit of 4 each of three gateways has 1 and the remainder is 1. It goes to rank 1 if 1 + period is a multiple
    // of 3.
    assert_eq!(
        [2, 3, 4, 5].map(|period| share(4.0, 1.0, 3.0, period)),
        [2.0, 1.0, 1.0, 2.0]
    );
}

#[test]
fn customer_of_low_demand_may_always_have_one_attempt_in_flight() {
    // This gateway has no share of the limit of 10 in period 1. At 0.5 s per unit, 4 units per second keep 2 attempts in
    // flight, which is a fifth of the limit.
    let place = GatewayPlace {
        rank: 9.0,
        gateway_count: 20.0,
    };
    for (demand_before, limit) in [(3.9, 1.0), (4.0, 0.0)] {
        assert_eq!(acquisition(1).local_limit(place, demand_before, 1), limit);
    }
}

#[test]
fn lease_is_decided_by_the_total_or_without_one_by_a_local_limit() {
    let denied = |excess_attempts, was_counted| LeaseDecision::Denied {
        excess_attempts,
        was_counted,
    };
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
        let mut next = acquisition(100);
        next.skips_counter = skips_counter;
        // The local limit is 3.
        let decision = customer_with(open_leases).on_acquire_reply(&next, reply, 5, 3.0);
        assert_eq!(
            decision, expected,
            "{reply:?}, skips_counter: {skips_counter}, open leases: {open_leases}"
        );
    }
}

#[test]
fn lease_is_counted_in_each_period_into_which_it_was_renewed() {
    let mut customer = customer_with(2);
    customer.on_acquire_reply(&acquisition(3), Unknown, 5, 3.0);
    let leases = customer.start_renewal(6);
    assert_eq!(leases, [1, 2, 3].map(LeaseId));
    assert!(customer.start_renewal(6).is_empty(), "renewed twice");
    assert_eq!(customer.release(LeaseId(1)), [5]);
    assert_eq!(customer.on_renewed(&leases, 6), 1, "lease 1 has ended");
    assert_eq!(customer.release(LeaseId(2)), [5, 6]);
    assert_eq!(customer.release(LeaseId(3)), [6], "not counted in period 5");
    let decision = customer.on_acquire_reply(&acquisition(4), Applied, 6, 3.0);
    assert_eq!(
        decision,
        LeaseDecision::Granted {
            renew_into: Some(6)
        }
    );
}
