//! Simulation of requests with idempotency keys under random fault schedules. Gateways are suspended or killed; the
//! store freezes, loses calls or writes, returns old data or is reachable from some gateways only; clients retry at
//! other gateways. The checks count duplicate effects within the window of a key, and requests with no answer or more
//! than one.
//!
//! The simulation runs in virtual time from fixed seeds. Engines form two groups and deduplicate a key only within
//! their group, so that only the protocol of the shared store binds a key to one group.

mod checks;
mod clients;
mod events;
mod faults;
mod gateways;
mod random;
mod requests;
mod store_calls;
mod store_model;
mod test_bed;

use checks::Counts;
use test_bed::{StoreWrites, TestBed};

/// Number of schedules in each test; their seeds are the numbers from 0.
const SCHEDULE_COUNT: u64 = 2_200;

/// Runs all schedules and returns the sum of their counts.
fn run_schedules(writes: StoreWrites) -> Counts {
    let mut total = Counts::default();
    for seed in 0..SCHEDULE_COUNT {
        let counts = TestBed::new(seed, writes).run();
        if writes == StoreWrites::Fenced && counts.has_violations() {
            println!("seed {seed}: {counts:?}");
        }
        total.add(counts);
    }
    total
}

#[test]
fn no_effect_happens_twice_and_no_answer_is_lost_over_all_schedules() {
    let total = run_schedules(StoreWrites::Fenced);
    println!("{SCHEDULE_COUNT} schedules: {total:?}");
    assert_eq!((total.duplicate_effects, total.missing_answers, total.repeated_answers), (0, 0, 0));
    assert!(total.faults > 10_000 && total.served > 8_000 && total.served_from_store > 0, "{total:?}");
}

#[test]
fn checks_find_duplicates_without_fencing() {
    let total = run_schedules(StoreWrites::Unfenced);
    println!("without fencing: {total:?}");
    assert!(total.duplicate_effects > 0, "{total:?}");
}
