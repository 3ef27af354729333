use super::*;

#[test]
fn a_drain_closes_after_its_grace_and_a_loss_at_once() {
    let mut fences = Fences::new(1_000);
    let fence = fences.take(&1, Standing::InService, 0);
    assert!(fence.open(u64::MAX - 1));
    fences.take(&1, Standing::Draining, 500);
    assert!(fence.open(1_499) && !fence.open(1_500));
    // News that comes again later gives no second grace.
    fences.take(&1, Standing::Draining, 1_400);
    assert!(!fence.open(1_500));
    fences.take(&1, Standing::Gone, 700);
    assert!(!fence.open(700));
    assert_eq!(fences.held_state(), 0);
}

#[test]
fn an_engine_that_is_back_in_service_opens_nothing_that_was_closed() {
    let mut fences = Fences::new(0);
    let before = fences.take(&1, Standing::InService, 0);
    fences.take(&1, Standing::Draining, 10);
    let after = fences.take(&1, Standing::InService, 20);
    assert!(!before.open(20) && after.open(20));
    // The same news twice makes no third fence: what is in use goes on.
    let again = fences.take(&1, Standing::InService, 30);
    fences.take(&1, Standing::Gone, 40);
    assert!(!after.open(40) && !again.open(40));
}
