use super::super::test_support::request;
use super::*;
use std::f64::consts::E;

const WINDOW: f64 = 4.0;

fn at(second: u64) -> Duration {
    Duration::from_secs(second)
}

#[test]
fn demand_fades_by_e_within_a_window_and_counts_for_all_gateways() {
    let mut customer = Customer::default();
    customer.record_request(at(100), &request(), 1.0, WINDOW);
    customer.record_request(at(104), &request(), 1.0, WINDOW);
    // Three units over four seconds each; without the second request, at both of two gateways.
    assert!((customer.demand - (0.75 / E + 0.75)).abs() < 1e-12);
    assert!((customer.demand_without(3.0, WINDOW) - 2.0 * 0.75 / E).abs() < 1e-12);
}

#[test]
fn table_forgets_customers_after_a_minute_without_requests() {
    let mut table = CustomerTable::default();
    let id = CustomerId::from("ann");
    let customer = table.get_or_insert(&id);
    customer.record_request(at(100), &request(), 0.0, WINDOW);
    for (second, is_known) in [(159, true), (160, false)] {
        table.forget_idle(at(second));
        assert_eq!(table.get(&id).is_some(), is_known, "{second}");
    }
}
