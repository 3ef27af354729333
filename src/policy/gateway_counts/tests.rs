//! Shares of the pool when the number of gateways or the capacity share changes.

use super::*;

#[test]
fn fewer_live_gateways_get_larger_shares() {
    let mut gateways = GatewayCounts::new(4);
    assert_eq!(gateways.thread_share(1.5, 16.0), 6.0);
    assert_eq!(gateways.set_live_gateways(2.0), 2.0, "limits double");
    assert_eq!(gateways.thread_share(1.5, 16.0), 12.0);
    assert_eq!(gateways.configured(), 4.0, "slow-start budgets do not change");
    gateways.set_live_gateways(0.0);
    assert_eq!(gateways.live(), 1.0, "this gateway is alive");
}

#[test]
fn half_of_the_capacity_halves_limits_rates_and_free_retries() {
    let mut gateways = GatewayCounts::new(4);
    let change = gateways.set_capacity_share(0.5);
    assert_eq!((change.rate_factor, change.limit_factor), (0.5, 0.5));
    assert_eq!(gateways.free_retries(10.0), 5.0);
    let change = gateways.set_capacity_share(1.0);
    assert_eq!((change.rate_factor, change.limit_factor), (2.0, 2.0));
}
