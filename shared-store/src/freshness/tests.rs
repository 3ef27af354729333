use super::*;

const WINDOW: Duration = Duration::from_secs(12);

/// Writes heartbeats from `from` to `to`, each confirmed at once. Returns the last counter.
fn write_heartbeats(freshness: &mut FreshnessCheck, from: Instant, to: Instant) -> u64 {
    let (mut now, mut counter) = (from, freshness.confirmed_counter);
    while now <= to {
        freshness.on_read(Some(counter), now);
        counter = freshness.next_counter();
        freshness.on_confirmed(counter, now);
        now += HEARTBEAT_INTERVAL;
    }
    counter
}

/// A gateway that has written heartbeats for two windows since its start, so that it trusts the store.
struct TrustedStore {
    freshness: FreshnessCheck,
    start: Instant,
    now: Instant,
    counter: u64,
}

impl TrustedStore {
    fn new() -> Self {
        let start = Instant::now();
        let now = start + 2 * WINDOW;
        let mut freshness = FreshnessCheck::new(WINDOW, start);
        let counter = write_heartbeats(&mut freshness, start, now);
        Self { freshness, start, now, counter }
    }
}

#[test]
fn start_and_lost_writes_cause_distrust_for_a_window() {
    let TrustedStore { mut freshness, start, now, counter } = TrustedStore::new();
    assert!(!freshness.is_trusted(start + WINDOW) && freshness.is_trusted(now));
    assert!(!freshness.on_read(Some(counter), now) && freshness.is_trusted(now));
    assert!(freshness.on_read(Some(counter - 1), now), "counter went back");
    assert!(!freshness.is_trusted(now + WINDOW));
    let counter = write_heartbeats(&mut freshness, now, now + 2 * WINDOW);
    assert!(freshness.is_trusted(now + 2 * WINDOW));
    assert!(freshness.on_read(None, now + 2 * WINDOW), "store is empty after counter {counter}");
}

#[test]
fn heartbeat_gap_causes_distrust() {
    let TrustedStore { mut freshness, now, counter, .. } = TrustedStore::new();
    assert!(freshness.on_read(Some(counter), now + 2 * MAX_HEARTBEAT_GAP));
    assert!(!freshness.is_trusted(now + 2 * MAX_HEARTBEAT_GAP));
}

#[test]
fn unconfirmed_write_is_not_counted_as_lost() {
    let start = Instant::now();
    let mut freshness = FreshnessCheck::new(WINDOW, start);
    let counter = freshness.next_counter();
    freshness.on_confirmed(counter, start);
    freshness.next_counter();
    assert!(!freshness.on_read(Some(1), start));
    assert!(!freshness.on_read(Some(2), start), "the store may have applied the unconfirmed write");
}
