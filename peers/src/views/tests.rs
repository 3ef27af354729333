//! What is made of how others see an engine.

use super::*;

const NOW: Millis = 1_700_000_000_000;
const SECOND: u32 = 1_700_000_000;

fn views(count: u64, started: u32) -> Views {
    let mut views = Views::default();
    views.engines(&(0..count).map(|n| (EngineKey(n), started)).collect(), NOW);
    views
}

fn fact(engine: u64, kind: Kind, started: u32, much: u8) -> Fact {
    Fact { engine: EngineKey(engine), started, kind: kind.into(), left: 300, much }
}

#[test]
fn a_start_that_the_list_does_not_know_is_believed_of_two_and_by_the_earlier_of_theirs() {
    let mut views = views(10, 7);
    let cold = |started| fact(3, Kind::Cold, started, 0);
    views.hear(1, &cold(SECOND - 1), NOW);
    views.hear(1, &cold(SECOND), NOW);
    assert_eq!(views.views(NOW), [], "one says so, twice");
    views.hear(2, &cold(SECOND - 1), NOW);
    assert_eq!(views.views(NOW), [View::Restarted(EngineKey(3), SECOND - 1)]);
    assert_eq!(views.views(NOW), [], "said once");
    for wrong in [7, 6, SECOND - 30, SECOND + 10] {
        (4..8).for_each(|peer| views.hear(peer, &fact(4, Kind::Cold, wrong, 0), NOW));
    }
    (4..8).for_each(|peer| views.hear(peer, &fact(99, Kind::Cold, SECOND, 0), NOW));
    assert_eq!(views.views(NOW), [], "known already, long over, to come, not listed");
}

#[test]
fn of_half_of_the_engines_at_most_a_later_start_is_believed() {
    let mut views = views(10, 7);
    for peer in 1..3 {
        (0..10).for_each(|e| views.hear(peer, &fact(e, Kind::Cold, SECOND, 0), NOW));
    }
    assert_eq!(views.views(NOW).len(), 5);
    assert_eq!(views.views(NOW + 1_000).len(), 0);
}

#[test]
fn a_start_is_told_while_it_is_new_and_what_was_said_of_the_life_before_is_gone() {
    let mut views = views(2, 7);
    (1..4).for_each(|peer| views.hear(peer, &fact(0, Kind::Slow, 7, 80), NOW));
    views.engines(&BTreeMap::from([(EngineKey(0), SECOND), (EngineKey(1), SECOND + 100)]), NOW);
    assert_eq!(views.views(NOW), []);
    let said = views.facts(8, NOW + 100);
    assert_eq!(said.iter().map(|f| (f.engine.0, f.kind)).collect::<Vec<_>>(), [(0, Kind::Cold.into())]);
    assert_eq!(views.facts(8, NOW + NEW_FOR), []);
}

#[test]
fn only_what_stands_out_is_told_as_slow_and_the_one_in_the_middle_holds() {
    let mut views = views(4, 7);
    let seen = |engine, slowdown| Seen { engine: EngineKey(engine), slowdown, threads: 0.5 };
    views.see(&[seen(0, Some(1.0)), seen(1, Some(1.2)), seen(2, Some(4.0)), seen(3, None)], NOW);
    let said: Vec<_> =
        views.facts(20, NOW).iter().filter(|f| f.kind == 4).map(|f| (f.engine.0, f.much)).collect();
    assert_eq!(said, [(2, 64)]);
    assert_eq!(views.facts(20, NOW).len(), 5, "and four that it uses");
    assert_eq!(views.facts(20, NOW + HOLDS), []);
    views.hear(1, &fact(2, Kind::Slow, 7, 255), NOW);
    assert_eq!(views.views(NOW), []);
    views.hear(2, &fact(2, Kind::Slow, 7, 32), NOW);
    assert_eq!(views.views(NOW), [View::Slow(EngineKey(2), 2.0)], "who exaggerates moves nothing");
    views.hear(3, &fact(2, Kind::Slow, 7, 48), NOW + 10);
    assert_eq!(views.views(NOW + 10), [], "a moment ago");
    assert_eq!(views.views(NOW + SAY_EVERY), [View::Slow(EngineKey(2), 3.0)]);
    views.forget(1);
    assert_eq!(views.views(NOW + 2 * SAY_EVERY), [View::Slow(EngineKey(2), 2.0)]);
    assert_eq!(views.views(NOW + HOLDS + 20), []);
}

#[test]
fn what_others_use_is_reckoned_from_a_few_and_all_stays_bounded() {
    let mut views = views(20, 7);
    for peer in 0..300 {
        for engine in 0..20 {
            for (kind, much) in [(Kind::Uses, 8), (Kind::Slow, 40), (Kind::Cold, 0)] {
                let started = if kind == Kind::Cold { SECOND } else { 7 };
                views.hear(peer, &fact(engine, kind, started, much), NOW);
            }
        }
    }
    assert!(views.held() <= 20 * (1 + 3 * REMEMBERED), "{}", views.held());
    assert_eq!(views.used(EngineKey(3), 300, NOW), Some(150.0));
    assert_eq!(views.used(EngineKey(3), 300, NOW + HOLDS), None);
}
