//! Who is evicted, and who stays.

use super::*;
use std::time::Duration;

/// Acquires slots one millisecond apart.
fn acquire(slots: &Arc<SessionSlots>, ids: std::ops::Range<u32>, start: Instant) -> Vec<Option<SessionSlot>> {
    ids.map(|id| slots.acquire(id, start + Duration::from_millis(id.into()))).collect()
}

fn is_evicted(slot: &Option<SessionSlot>) -> bool {
    let evicted = &slot.as_ref().unwrap().evicted;
    futures::FutureExt::now_or_never(evicted.notified()).is_some()
}

#[test]
fn longest_idle_session_is_evicted_and_busy_ones_stay() {
    let (slots, start) = (Arc::new(SessionSlots::new(4, 0)), Instant::now());
    let stages = [
        SessionState::Busy,
        SessionState::Idle(start),
        SessionState::Busy,
        SessionState::Idle(start + Duration::from_secs(1)),
    ];
    let enter = |(id, stage)| {
        let slot = slots.acquire(id, start)?;
        slot.set_state(stage);
        Some(slot)
    };
    let held: Vec<_> = (0..).zip(stages).map(enter).collect();
    assert!(slots.acquire(9, start).is_some());
    assert_eq!(held.iter().map(is_evicted).collect::<Vec<_>>(), [false, true, false, false]);
    drop(held);
    assert!(slots.lock().idle.is_empty() && slots.lock().unproven.is_empty());
    assert!(slots.lock().sessions.is_empty());
}

#[test]
fn unproven_sessions_evict_each_other_before_idle_ones() {
    let (slots, start) = (Arc::new(SessionSlots::new(8, 0)), Instant::now());
    let usual = acquire(&slots, 0..1, start);
    usual[0].as_ref().unwrap().set_state(SessionState::Idle(start));
    let silent = acquire(&slots, 1..30, start);
    assert!(!is_evicted(&usual[0]), "a usual client lost its slot");
    assert!(silent[..9].iter().all(|s| s.is_none() || is_evicted(s)));
    assert!(slots.lock().sessions.len() <= 8 + MAX_OVERLAP);
}

#[test]
fn new_session_is_refused_when_all_are_busy() {
    let (slots, start) = (Arc::new(SessionSlots::new(2, 0)), Instant::now());
    let held: Vec<_> = (0..2)
        .map(|id| {
            let slot = slots.acquire(id, start).unwrap();
            slot.set_state(SessionState::Busy);
            slot
        })
        .collect();
    assert!(slots.acquire(5, start).is_none());
    assert_eq!(slots.counts(), SlotCounts { refused: 1, evicted: 0 });
    drop(held);
    assert!(slots.acquire(6, start).is_some());
}

#[test]
fn large_statements_share_bounded_memory() {
    let slots = Arc::new(SessionSlots::new(2, 100_000));
    let slot = slots.acquire(0, Instant::now()).unwrap();
    let first = slot.reserve(90_000).unwrap();
    assert!(slot.reserve(20_000).is_none());
    assert!(slot.reserve(SMALL_STATEMENT_BYTES).is_some(), "small ones need no part of it");
    drop(first);
    assert!(slot.reserve(100_000).is_some());
}
