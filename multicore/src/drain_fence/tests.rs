use super::*;

#[test]
fn drain_closes_the_fence_after_its_grace_period_and_removal_at_once() {
    let mut fences = DrainFences::new(1_000);
    let fence = fences.update(&1, DrainState::InService, 0);
    assert!(fence.is_open(u64::MAX - 1));
    fences.update(&1, DrainState::Draining, 500);
    assert!(fence.is_open(1_499) && !fence.is_open(1_500));
    // A repeated update does not extend the grace period.
    fences.update(&1, DrainState::Draining, 1_400);
    assert!(!fence.is_open(1_500));
    fences.update(&1, DrainState::Removed, 700);
    assert!(!fence.is_open(700));
    assert_eq!(fences.fence_count(), 0);
}

#[test]
fn returning_engine_gets_a_new_fence_and_the_old_one_stays_closed() {
    let mut fences = DrainFences::new(0);
    let before = fences.update(&1, DrainState::InService, 0);
    fences.update(&1, DrainState::Draining, 10);
    let after = fences.update(&1, DrainState::InService, 20);
    assert!(!before.is_open(20) && after.is_open(20));
    // A repeated update keeps the current fence.
    let again = fences.update(&1, DrainState::InService, 30);
    fences.update(&1, DrainState::Removed, 40);
    assert!(!after.is_open(40) && !again.is_open(40));
}
