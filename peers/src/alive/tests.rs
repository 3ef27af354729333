use super::*;

const DEAD_AFTER: Millis = 5_000;

#[test]
fn the_dead_are_counted_out_slowly_and_the_living_in_at_once() {
    let mut alive = Alive::new(0, 10, DEAD_AFTER, 0);
    let beats = |alive: &mut Alive, peers: std::ops::Range<PeerId>, now: Millis| {
        peers.for_each(|p| _ = alive.beat(p, now / 100 + 1, now));
    };
    let mut before = 10.0;
    for now in (0..60_000).step_by(100) {
        beats(&mut alive, 1..3, now);
        let counted = alive.counted(now);
        assert!(counted >= before * 0.98, "too fast: {before} to {counted}");
        assert!(now >= DEAD_AFTER || counted == 10.0, "before anybody can be dead");
        before = counted;
    }
    assert_eq!((alive.living(60_000), before), (3, 3.0));
    beats(&mut alive, 1..10, 60_000);
    assert_eq!(alive.counted(60_000), 10.0);
}

#[test]
fn alone_it_reckons_with_a_share_of_the_told_number() {
    let mut alive = Alive::new(4, 20, DEAD_AFTER, 0);
    assert_eq!(alive.counted(600_000), 4.0);
    assert_eq!(alive.living(600_000), 1);
}

#[test]
fn nobody_is_talked_dead_and_a_lie_about_the_future_is_not_taken() {
    let mut alive = Alive::new(0, 3, DEAD_AFTER, 0);
    assert!(!alive.beat(1, 1_000_000, 1_000), "far ahead of our clock");
    assert!(alive.beat(1, 10, 1_000));
    assert!(!alive.beat(1, 5, 5_900), "an older sign is no news, and takes nothing away");
    assert!(alive.lives(1, 5_999) && !alive.lives(1, 6_000));
    assert!(!alive.beat(9, 1, 1) && !alive.beat(0, 1, 1), "no peer, and this one itself");
}

#[test]
fn who_has_slept_does_not_take_the_others_for_dead() {
    let mut alive = Alive::new(0, 2, DEAD_AFTER, 0);
    alive.beat(1, 1, 100);
    assert!(!alive.lives(1, 10_100));
    alive.slept(10_000);
    assert!(alive.lives(1, 10_100) && !alive.lives(1, 15_100));
}
