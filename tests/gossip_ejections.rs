//! What a gateway makes of what others have found, and of how many of them live.

mod common;

use common::*;
use reedwalk_scheduler::*;

fn hearsay(engine: u32, lasts: u64) -> Event {
    Event::EjectedByGossip { engine: EngineId(engine), duration: ms(lasts) }
}

/// Thin traffic: a query each 200 ms, served in 20. The engines that it went to.
fn thin(rig: &mut Rig, count: usize) -> Vec<EngineId> {
    let one = |rig: &mut Rig| {
        let id = rig.arrive(0);
        rig.pass(ms(20));
        rig.end(id, 0, Outcome::Ok);
        rig.pass(ms(180));
        rig.sent(id)[0]
    };
    (0..count).map(|_| one(rig)).collect()
}

#[test]
fn engine_ejected_by_gossip_is_retried_with_one_query() {
    let mut rig = Rig::new(settings(), 5);
    thin(&mut rig, 10);
    rig.pass(ms(1000));
    rig.step(&[hearsay(3, 4000)]);
    assert_eq!(rig.gateway.unavailable_engines(), 1);
    let went = thin(&mut rig, 19);
    assert!(!went.contains(&EngineId(3)), "{went:?}");
    rig.pass(ms(300));
    // Its time is over: of all that comes at once it gets one, until that is served.
    let ids: Vec<_> = (0..20).map(|_| rig.arrive(0)).collect();
    let tried: Vec<_> = ids.iter().filter(|id| rig.sent(**id) == [EngineId(3)]).collect();
    assert_eq!(tried.len(), 1);
    let first = *tried[0];
    rig.end(first, 0, Outcome::Error);
    assert_eq!(rig.suspected(), [(EngineId(3), false)], "on trial one error is enough");
}

#[test]
fn own_success_overrides_gossip() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..10 {
        rig.step(&[hearsay(0, 8000), hearsay(1, 8000)]);
        let ids: Vec<_> = (0..4).map(|_| rig.arrive(0)).collect();
        assert!(ids.iter().all(|id| !rig.sent(*id).is_empty()) || rig.gateway.unavailable_engines() < 2);
        rig.pass(ms(50));
        for id in ids.into_iter().filter(|id| !rig.sent(*id).is_empty()).collect::<Vec<_>>() {
            rig.end(id, 0, Outcome::Ok);
        }
    }
    let mut rig = Rig::new(settings(), 5);
    rig.serve(0, 40, ms(20));
    rig.step(&[hearsay(3, 8000)]);
    assert_eq!(rig.gateway.unavailable_engines(), 0, "served a moment ago");
    let ids: Vec<_> = (0..10).map(|_| rig.arrive(0)).collect();
    assert!(ids.iter().any(|id| rig.sent(*id) == [EngineId(3)]));
}

#[test]
fn gossip_ejects_at_most_a_fifth_of_the_engines() {
    for (engines, most) in [(1, 0), (2, 1), (5, 1), (10, 2), (20, 4)] {
        let mut rig = Rig::new(settings(), engines);
        rig.pass(ms(2000));
        let all: Vec<_> = (0..engines).map(|e| hearsay(e, 8000)).collect();
        rig.step(&all);
        assert_eq!(rig.gateway.unavailable_engines(), most, "of {engines}");
        // Said again and again, it is the same ones.
        (0..20).for_each(|_| _ = rig.step(&all));
        assert_eq!(rig.gateway.unavailable_engines(), most, "of {engines}");
        rig.pass(ms(8010));
        assert_eq!(rig.gateway.unavailable_engines(), 0);
    }
}

#[test]
fn gossip_ejection_is_bounded_and_not_forwarded() {
    let mut rig = Rig::new(settings(), 10);
    rig.pass(ms(2000));
    rig.step(&[hearsay(3, 3_600_000), hearsay(77, 1000)]);
    rig.pass(ms(7990));
    assert_eq!(rig.gateway.unavailable_engines(), 1);
    rig.pass(ms(20));
    assert_eq!(rig.gateway.unavailable_engines(), 0);
    assert_eq!(rig.suspected(), [], "it has found nothing itself");
}

/// One of 20 gateways at engines in a jam, of which so many live: how much it has out.
fn out_with(living: f64) -> usize {
    let mut settings = settings();
    settings.gateways = 20;
    let mut rig = Rig::new(settings, 4);
    rig.serve(0, 120, ms(20));
    rig.serve(0, 20, ms(200));
    rig.step(&[Event::LiveGateways(living)]);
    let ids: Vec<_> = (0..40).map(|_| rig.arrive(0)).collect();
    ids.iter().filter(|id| !rig.sent(**id).is_empty()).count()
}

#[test]
fn pool_share_follows_live_gateways() {
    let (all, half, two) = (out_with(20.0), out_with(10.0), out_with(2.0));
    assert!(all <= half && half < two, "{all} {half} {two}");
    assert_eq!(out_with(0.0), out_with(1.0), "at least this one lives");
}

/// Work sent to a cold engine in its first seconds by one of 20 gateways, of which so many are said to live.
fn cold_with(living: Option<f64>) -> usize {
    let mut settings = settings();
    settings.gateways = 20;
    let mut rig = Rig::new(settings, 4);
    rig.serve(0, 60, ms(20));
    living.into_iter().for_each(|n| _ = rig.step(&[Event::LiveGateways(n)]));
    let entry = EngineEntry { started: Some(Time(rig.now)), ..EngineEntry::new(EngineId(99)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    let (from, mut open) = (rig.actions.len(), Vec::new());
    for _ in 0..400 {
        open.push(rig.arrive(0));
        rig.pass(ms(5));
        if open.len() > 20 {
            let id = open.remove(0);
            rig.end(id, 0, Outcome::Ok);
        }
    }
    sends(&rig.actions[from..]).iter().filter(|s| s.1 == EngineId(99)).count()
}

#[test]
fn slow_start_budget_follows_configured_gateways() {
    // In a split each half takes the other for dead, and both send.
    let told = cold_with(None);
    assert!(told > 0);
    assert!(cold_with(Some(2.0)) <= told, "{} of {told}", cold_with(Some(2.0)));
}

#[test]
fn restart_known_from_gossip_starts_a_slow_start() {
    let went = |told: bool| {
        let mut rig = Rig::new(Settings { gateways: 1000, ..settings() }, 5);
        thin(&mut rig, 40);
        let at = Time(rig.now - 500_000);
        let start = told.then_some(Event::EngineRestarted { engine: EngineId(3), started: at });
        rig.step(&start.into_iter().collect::<Vec<_>>());
        thin(&mut rig, 60).into_iter().filter(|e| *e == EngineId(3)).count()
    };
    let (warm, cold) = (went(false), went(true));
    assert!(warm >= 10 && cold * 4 <= warm * 3, "{warm} {cold}");
    // One of a time to come is as of now, and one of an engine that is not listed is nothing.
    let mut rig = Rig::new(settings(), 2);
    rig.step(&[Event::EngineRestarted { engine: EngineId(9), started: Time(u64::MAX) }]);
    rig.step(&[Event::EngineRestarted { engine: EngineId(0), started: Time(u64::MAX) }]);
    assert_eq!(rig.gateway.unavailable_engines(), 0);
}

#[test]
fn slowness_from_gossip_counts_until_own_observation() {
    let went = |events: &[Event], wait: u64| {
        let mut rig = Rig::new(settings(), 5);
        thin(&mut rig, 20);
        rig.pass(ms(wait));
        rig.step(events);
        thin(&mut rig, 10).into_iter().filter(|e| *e == EngineId(3)).count()
    };
    let slow = Event::SlowdownObserved { engine: EngineId(3), slowdown: 8.0 };
    assert!(went(&[], 1200) > 0, "as often as any");
    assert_eq!(went(std::slice::from_ref(&slow), 1200), 0, "the others are free");
    // Nothing that is heard makes an engine look better than at ease, or moves one that is not there.
    let wrong =
        [f64::NAN, -1.0, 0.0].map(|slowdown| Event::SlowdownObserved { engine: EngineId(3), slowdown });
    assert!(went(&wrong, 1200) > 0);
    assert!(went(&[Event::SlowdownObserved { engine: EngineId(77), slowdown: 8.0 }], 1200) > 0);
    let mut rig = Rig::new(settings(), 5);
    rig.serve(0, 60, ms(20));
    rig.step(&[slow]);
    let went = thin(&mut rig, 10);
    assert!(went.contains(&EngineId(3)), "who has looked a moment ago knows better: {went:?}");
    rig.serve(0, 60, ms(20));
    let views: Vec<_> = rig.gateway.observations().collect();
    assert!(views.len() == 5 && views.iter().any(|v| v.slowdown.is_some() && v.threads == 0.0), "{views:?}");
    let id = rig.arrive(0);
    let engine = rig.sent(id)[0];
    assert!(rig.gateway.observations().any(|v| v.engine == engine && v.threads == 1.0));
    rig.pass(ms(1100));
    assert!(rig.gateway.observations().all(|v| v.slowdown.is_none()), "too long ago");
}
