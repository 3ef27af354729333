//! Who gives up a place, and who stays.

use super::*;
use std::time::Duration;

/// Takes places one millisecond apart.
fn take(places: &Arc<Places>, ids: std::ops::Range<u32>, start: Instant) -> Vec<Option<Place>> {
    ids.map(|id| places.enter(id, start + Duration::from_millis(id.into()))).collect()
}

fn told(place: &Option<Place>) -> bool {
    let leave = &place.as_ref().unwrap().leave;
    futures::FutureExt::now_or_never(leave.notified()).is_some()
}

#[test]
fn the_longest_idle_makes_room_and_the_busy_stay() {
    let (places, start) = (Arc::new(Places::new(4, 0)), Instant::now());
    let stages = [Stage::Busy, Stage::Idle(start), Stage::Busy, Stage::Idle(start + Duration::from_secs(1))];
    let enter = |(id, stage)| {
        let place = places.enter(id, start)?;
        place.stage(stage);
        Some(place)
    };
    let held: Vec<_> = (0..).zip(stages).map(enter).collect();
    assert!(places.enter(9, start).is_some());
    assert_eq!(held.iter().map(told).collect::<Vec<_>>(), [false, true, false, false]);
    drop(held);
    assert!(places.table().idle.is_empty() && places.table().strangers.is_empty());
    assert!(places.table().held.is_empty());
}

#[test]
fn silent_strangers_push_out_each_other_and_not_those_who_have_logged_in() {
    let (places, start) = (Arc::new(Places::new(8, 0)), Instant::now());
    let usual = take(&places, 0..1, start);
    usual[0].as_ref().unwrap().stage(Stage::Idle(start));
    let silent = take(&places, 1..30, start);
    assert!(!told(&usual[0]), "a usual client lost its place");
    assert!(silent[..9].iter().all(|s| s.is_none() || told(s)));
    assert!(places.table().held.len() <= 8 + OVERLAP_MOST);
}

#[test]
fn where_all_are_busy_the_newcomer_is_refused() {
    let (places, start) = (Arc::new(Places::new(2, 0)), Instant::now());
    let held: Vec<_> = (0..2)
        .map(|id| {
            let place = places.enter(id, start).unwrap();
            place.stage(Stage::Busy);
            place
        })
        .collect();
    assert!(places.enter(5, start).is_none());
    assert_eq!(places.counts(), Counts { refused: 1, evicted: 0 });
    drop(held);
    assert!(places.enter(6, start).is_some());
}

#[test]
fn large_statements_share_their_memory_and_give_it_back() {
    let places = Arc::new(Places::new(2, 100_000));
    let place = places.enter(0, Instant::now()).unwrap();
    let first = place.room(90_000).unwrap();
    assert!(place.room(20_000).is_none());
    assert!(place.room(SMALL).is_some(), "small ones need no part of it");
    drop(first);
    assert!(place.room(100_000).is_some());
}
