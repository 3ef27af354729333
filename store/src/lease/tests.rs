use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

#[test]
fn a_request_pays_from_the_lease_and_what_never_ran_is_paid_back() {
    let (mut purse, now) = (Purse::new(1600, 4, ALONE), Instant::now());
    let window = purse.window(7);
    assert_eq!(purse.spend(4, true, now), Spend::Lease(25));
    purse.leased(window, 25, 25, now);
    assert_eq!(purse.spend(4, true, now), Spend::Granted);
    assert_eq!(purse.ahead(now), None);
    assert_eq!(purse.spend(11, true, now), Spend::Granted);
    assert_eq!(purse.ahead(now), Some(25));
    purse.refund(window, 11);
    assert_eq!(purse.spend(21, true, now), Spend::Granted);
    assert_eq!(purse.spend(1601, true, now), Spend::Denied);
}

#[test]
fn a_store_with_nothing_left_is_not_asked_at_once_again() {
    let (mut purse, now) = (Purse::new(100, 1, ALONE), Instant::now());
    let window = purse.window(7);
    purse.leased(window, 6, 2, now);
    assert_eq!(purse.spend(3, true, now), Spend::Denied);
    assert_eq!(purse.spend(2, true, now), Spend::Granted);
    assert_eq!(purse.spend(3, true, now + DRY), Spend::Lease(6));
}

#[test]
fn units_end_with_their_window_and_a_small_step_back_is_none() {
    let (mut purse, now) = (Purse::new(100, 1, ALONE), Instant::now());
    purse.window(7);
    purse.leased(6, 6, 6, now);
    assert_eq!(purse.spend(1, true, now), Spend::Lease(6), "of a window that is over");
    purse.leased(7, 6, 6, now);
    assert_eq!(purse.window(6), 7);
    assert_eq!(purse.spend(1, true, now), Spend::Granted);
    assert_eq!(purse.window(8), 8);
    assert_eq!(purse.spend(1, true, now), Spend::Lease(6));
    assert_eq!(purse.window(2), 2, "a clock that was set right");
}

#[test]
fn what_nobody_draws_on_goes_back() {
    let (mut purse, now) = (Purse::new(100, 1, ALONE), Instant::now());
    let window = purse.window(7);
    purse.leased(window, 6, 6, now);
    assert_eq!(purse.give_back(now), None);
    assert_eq!(purse.give_back(now + IDLE), Some(6));
    assert_eq!(purse.give_back(now + IDLE), None);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(256)
    })]

    /// Any order of spends, cuts, losses of answers, refunds and idle spells at several front ends.
    #[test]
    fn no_more_than_the_budget_and_half_of_it_is_granted_in_a_window(
        budget in 1u64..400,
        fronts in 1usize..6,
        steps in prop::collection::vec((0usize..6, 0u8..10, 1u64..30, any::<bool>()), 1..400),
    ) {
        let mut now = Instant::now();
        let mut purses = vec![Purse::new(budget, fronts as u64, ALONE); fronts];
        let (mut store, mut granted) = (0u64, 0u64);
        purses.iter_mut().for_each(|p| _ = p.window(1));
        for (front, what, amount, usable) in steps {
            let purse = &mut purses[front % fronts];
            now += Duration::from_millis(20);
            match what {
                0 => if let Some(units) = purse.give_back(now) { store -= units },
                1 => now += IDLE,
                _ => match purse.spend(amount, usable, now) {
                    Spend::Granted => {
                        granted += amount;
                        if what == 2 {
                            purse.refund(1, amount);
                            granted -= amount;
                        }
                    }
                    Spend::Denied => {}
                    Spend::Lease(wanted) => {
                        let units = wanted.min(budget - store);
                        store += units;
                        // An answer that is lost is a lease that nobody has.
                        if what != 3 {
                            purse.leased(1, wanted, units, now);
                            if purse.spend(amount, usable, now) == Spend::Granted {
                                granted += amount;
                            }
                        }
                    }
                },
            }
        }
        prop_assert!(store <= budget);
        prop_assert!(granted as f64 <= budget as f64 * (1.0 + ALONE), "{granted} of {budget}");
    }
}
