use super::*;

const WINDOW: Duration = Duration::from_secs(12);

/// Beats until then, all of them confirmed at once.
fn beating(freshness: &mut FreshnessCheck, from: Instant, to: Instant) -> u64 {
    let (mut now, mut count) = (from, freshness.confirmed);
    while now <= to {
        freshness.on_read(Some(count), now);
        count = freshness.next_count();
        freshness.on_confirmed(count, now);
        now += HEARTBEAT_INTERVAL;
    }
    count
}

#[test]
fn who_has_just_started_and_who_has_seen_writes_lost_doubts_for_a_window() {
    let start = Instant::now();
    let mut freshness = FreshnessCheck::new(WINDOW, start);
    let later = start + 2 * WINDOW;
    let count = beating(&mut freshness, start, later);
    assert!(!freshness.is_trusted(start + WINDOW) && freshness.is_trusted(later));
    assert!(!freshness.on_read(Some(count), later) && freshness.is_trusted(later));
    assert!(freshness.on_read(Some(count - 1), later), "a count that went back");
    assert!(!freshness.is_trusted(later + WINDOW));
    let count = beating(&mut freshness, later, later + 2 * WINDOW);
    assert!(freshness.is_trusted(later + 2 * WINDOW));
    assert!(freshness.on_read(None, later + 2 * WINDOW), "a store that is empty after {count}");
}

#[test]
fn who_could_not_look_for_a_while_can_tell_nothing() {
    let start = Instant::now();
    let mut freshness = FreshnessCheck::new(WINDOW, start);
    let later = start + 2 * WINDOW;
    let count = beating(&mut freshness, start, later);
    assert!(freshness.on_read(Some(count), later + 2 * MAX_HEARTBEAT_GAP));
    assert!(!freshness.is_trusted(later + 2 * MAX_HEARTBEAT_GAP));
}

#[test]
fn a_write_that_was_never_confirmed_is_not_missed() {
    let start = Instant::now();
    let mut freshness = FreshnessCheck::new(WINDOW, start);
    let count = freshness.next_count();
    freshness.on_confirmed(count, start);
    freshness.next_count();
    assert!(!freshness.on_read(Some(1), start));
    assert!(!freshness.on_read(Some(2), start), "nor is one that was applied all the same");
}
