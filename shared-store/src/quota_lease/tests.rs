use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

#[test]
fn request_is_charged_to_the_lease_and_refunded_if_it_never_ran() {
    let (mut lease, now) = (QuotaLease::new(1600, 4, STORE_DOWN_SHARE), Instant::now());
    let window = lease.advance_to(7);
    assert_eq!(lease.charge(4, true, now), ChargeResult::Lease(25));
    lease.add_leased(window, 25, 25, now);
    assert_eq!(lease.charge(4, true, now), ChargeResult::Granted);
    assert_eq!(lease.prefetch_amount(now), None);
    assert_eq!(lease.charge(11, true, now), ChargeResult::Granted);
    assert_eq!(lease.prefetch_amount(now), Some(25));
    lease.refund(window, 11);
    assert_eq!(lease.charge(21, true, now), ChargeResult::Granted);
    assert_eq!(lease.charge(1601, true, now), ChargeResult::Denied);
}

#[test]
fn exhausted_store_is_called_again_only_after_a_delay() {
    let (mut lease, now) = (QuotaLease::new(100, 1, STORE_DOWN_SHARE), Instant::now());
    let window = lease.advance_to(7);
    lease.add_leased(window, 6, 2, now);
    assert_eq!(lease.charge(3, true, now), ChargeResult::Denied);
    assert_eq!(lease.charge(2, true, now), ChargeResult::Granted);
    assert_eq!(lease.charge(3, true, now + EXHAUSTED_RETRY_DELAY), ChargeResult::Lease(6));
}

#[test]
fn units_expire_with_their_window_despite_a_small_clock_step() {
    let (mut lease, now) = (QuotaLease::new(100, 1, STORE_DOWN_SHARE), Instant::now());
    lease.advance_to(7);
    lease.add_leased(6, 6, 6, now);
    assert_eq!(lease.charge(1, true, now), ChargeResult::Lease(6), "the lease was for a past window");
    lease.add_leased(7, 6, 6, now);
    assert_eq!(lease.advance_to(6), 7);
    assert_eq!(lease.charge(1, true, now), ChargeResult::Granted);
    assert_eq!(lease.advance_to(8), 8);
    assert_eq!(lease.charge(1, true, now), ChargeResult::Lease(6));
    assert_eq!(lease.advance_to(2), 2, "large clock correction");
}

#[test]
fn idle_units_are_returned() {
    let (mut lease, now) = (QuotaLease::new(100, 1, STORE_DOWN_SHARE), Instant::now());
    let window = lease.advance_to(7);
    lease.add_leased(window, 6, 6, now);
    assert_eq!(lease.take_idle(now), None);
    assert_eq!(lease.take_idle(now + IDLE_TIMEOUT), Some(6));
    assert_eq!(lease.take_idle(now + IDLE_TIMEOUT), None);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(256)
    })]

    /// Random sequences of charges, store outages, lost replies, refunds and idle periods at several gateways.
    #[test]
    fn at_most_one_and_a_half_budgets_are_granted_in_a_window(
        budget in 1u64..400,
        gateways in 1usize..6,
        steps in prop::collection::vec((0usize..6, 0u8..10, 1u64..30, any::<bool>()), 1..400),
    ) {
        let mut now = Instant::now();
        let mut leases = vec![QuotaLease::new(budget, gateways as u64, STORE_DOWN_SHARE); gateways];
        let (mut leased, mut granted) = (0u64, 0u64);
        for lease in &mut leases {
            lease.advance_to(1);
        }
        for (gateway, step, amount, is_store_usable) in steps {
            let lease = &mut leases[gateway % gateways];
            now += Duration::from_millis(20);
            match step {
                0 => if let Some(units) = lease.take_idle(now) { leased -= units },
                1 => now += IDLE_TIMEOUT,
                _ => match lease.charge(amount, is_store_usable, now) {
                    ChargeResult::Granted => {
                        granted += amount;
                        if step == 2 {
                            lease.refund(1, amount);
                            granted -= amount;
                        }
                    }
                    ChargeResult::Denied => {}
                    ChargeResult::Lease(wanted) => {
                        let units = wanted.min(budget - leased);
                        leased += units;
                        // If the reply is lost, the units are leased but no gateway has them.
                        if step != 3 {
                            lease.add_leased(1, wanted, units, now);
                            if lease.charge(amount, is_store_usable, now) == ChargeResult::Granted {
                                granted += amount;
                            }
                        }
                    }
                },
            }
        }
        prop_assert!(leased <= budget);
        prop_assert!(granted as f64 <= budget as f64 * (1.0 + STORE_DOWN_SHARE), "{granted} of {budget}");
    }
}
