//! Tests of the choice of the evicted session, and of the memory limit for large statements.

use super::*;
use std::time::Duration;

/// Acquires slots for sessions that start one millisecond apart.
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
    let states = [
        SessionState::Busy,
        SessionState::Idle(start),
        SessionState::Busy,
        SessionState::Idle(start + Duration::from_secs(1)),
    ];
    let acquire_in_state = |(id, state)| {
        let slot = slots.acquire(id, start)?;
        slot.set_state(state);
        Some(slot)
    };
    let slots_held: Vec<_> = (0..).zip(states).map(acquire_in_state).collect();
    assert!(slots.acquire(9, start).is_some());
    assert_eq!(slots_held.iter().map(is_evicted).collect::<Vec<_>>(), [false, true, false, false]);
    drop(slots_held);
    assert!(slots.lock().idle.is_empty() && slots.lock().unproven.is_empty());
    assert!(slots.lock().sessions.is_empty());
}

#[test]
fn unproven_sessions_evict_each_other_before_idle_ones() {
    let (slots, start) = (Arc::new(SessionSlots::new(8, 0)), Instant::now());
    let idle = acquire(&slots, 0..1, start);
    idle[0].as_ref().unwrap().set_state(SessionState::Idle(start));
    let unproven = acquire(&slots, 1..30, start);
    assert!(!is_evicted(&idle[0]), "the idle session was evicted");
    assert!(unproven[..9].iter().all(|s| s.is_none() || is_evicted(s)));
    assert!(slots.lock().sessions.len() <= 8 + MAX_EXCESS_SESSIONS);
}

#[test]
fn new_session_is_refused_when_all_are_busy() {
    let (slots, start) = (Arc::new(SessionSlots::new(2, 0)), Instant::now());
    let slots_held: Vec<_> = (0..2)
        .map(|id| {
            let slot = slots.acquire(id, start).unwrap();
            slot.set_state(SessionState::Busy);
            slot
        })
        .collect();
    assert!(slots.acquire(5, start).is_none());
    assert_eq!(slots.counts(), SlotCounts { refused: 1, evicted: 0 });
    drop(slots_held);
    assert!(slots.acquire(6, start).is_some());
}

#[test]
fn large_statements_share_bounded_memory() {
    let slots = Arc::new(SessionSlots::new(2, 100_000));
    let slot = slots.acquire(0, Instant::now()).unwrap();
    let first = slot.reserve(90_000).unwrap();
    assert!(slot.reserve(20_000).is_none());
    assert!(slot.reserve(SMALL_STATEMENT_BYTES).is_some(), "small statements need no reservation");
    drop(first);
    assert!(slot.reserve(100_000).is_some());
}
