use super::*;

const WINDOW: Duration = Duration::from_secs(12);

/// Beats until then, all of them confirmed at once.
fn beating(beat: &mut Beat, from: Instant, to: Instant) -> u64 {
    let (mut now, mut count) = (from, beat.confirmed);
    while now <= to {
        beat.read(Some(count), now);
        count = beat.draw();
        beat.confirmed(count, now);
        now += EVERY;
    }
    count
}

#[test]
fn who_has_just_started_and_who_has_seen_writes_lost_doubts_for_a_window() {
    let start = Instant::now();
    let mut beat = Beat::new(WINDOW, start);
    let later = start + 2 * WINDOW;
    let count = beating(&mut beat, start, later);
    assert!(!beat.trusts(start + WINDOW) && beat.trusts(later));
    assert!(!beat.read(Some(count), later) && beat.trusts(later));
    assert!(beat.read(Some(count - 1), later), "a count that went back");
    assert!(!beat.trusts(later + WINDOW));
    let count = beating(&mut beat, later, later + 2 * WINDOW);
    assert!(beat.trusts(later + 2 * WINDOW));
    assert!(beat.read(None, later + 2 * WINDOW), "a store that is empty after {count}");
}

#[test]
fn who_could_not_look_for_a_while_can_tell_nothing() {
    let start = Instant::now();
    let mut beat = Beat::new(WINDOW, start);
    let later = start + 2 * WINDOW;
    let count = beating(&mut beat, start, later);
    assert!(beat.read(Some(count), later + 2 * GAP));
    assert!(!beat.trusts(later + 2 * GAP));
}

#[test]
fn a_write_that_was_never_confirmed_is_not_missed() {
    let start = Instant::now();
    let mut beat = Beat::new(WINDOW, start);
    let count = beat.draw();
    beat.confirmed(count, start);
    beat.draw();
    assert!(!beat.read(Some(1), start));
    assert!(!beat.read(Some(2), start), "nor is one that was applied all the same");
}
