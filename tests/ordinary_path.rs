//! The design's ordinary path: order of release, bounds, routing.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn simultaneous_arrivals_leave_in_target_order() {
    let mut rig = Rig::new(settings(), 4);
    let (long, quick) = (rig.arrival(1), rig.arrival(0));
    let order = [quick.request, long.request];
    let actions = rig.step(&[Event::Arrival(long), Event::Arrival(quick)]);
    assert_eq!(sends(&actions).iter().map(|s| s.0).collect::<Vec<_>>(), order);
}

#[test]
fn work_estimate_moves_the_target_before_outcomes() {
    let mut rig = Rig::new(settings(), 4);
    let (mut short, mut lengthy) = (rig.arrival(0), rig.arrival(0));
    short.work = Some(ms(10));
    lengthy.work = Some(ms(200));
    let first = lengthy.request;
    let actions = rig.step(&[Event::Arrival(short), Event::Arrival(lengthy)]);
    assert_eq!(sends(&actions)[0].0, first);
}

#[test]
fn late_queries_go_first_by_value_density() {
    let mut settings = settings();
    // Both earn the same for their work, late or not, so neither is refused for being late.
    settings.classes.iter_mut().for_each(|c| c.late_weight = 1.0);
    settings.classes[0].latency_objective = ms(250);
    settings.classes[1].latency_objective = ms(2500);
    settings.classes[1].priority_weight = 40.0;
    let mut rig = Rig::new(settings, 0);
    let (quick, long) = (rig.arrive(0), rig.arrive(1));
    rig.pass(ms(2000));
    let fresh = rig.arrival(0);
    let order = [long, quick, fresh.request];
    let entries = vec![EngineEntry::new(EngineId(0))];
    let list = Event::Endpoints { scope: EndpointScope::Complete, entries };
    let actions = rig.step(&[list, Event::Arrival(fresh)]);
    assert_eq!(sends(&actions).iter().map(|s| s.0).collect::<Vec<_>>(), order);
}

#[test]
fn routing_takes_the_engine_with_fewest_own_queries() {
    let mut rig = Rig::new(settings(), 3);
    let ids: Vec<_> = (0..6).map(|_| rig.arrive(0)).collect();
    let mut per_engine = [0; 3];
    ids.iter().for_each(|id| per_engine[rig.sent(*id)[0].0 as usize] += 1);
    assert_eq!(per_engine, [2, 2, 2]);
    let freed = rig.sent(ids[4])[0];
    rig.end(ids[4], 0, Outcome::Ok);
    let next = rig.arrive(0);
    assert_eq!(rig.sent(next), [freed]);
}

#[test]
fn bound_does_not_apply_without_pressure() {
    let mut settings = settings();
    settings.gateways = 8;
    // 1.5 threads on 16 cores over 8 gateways: a bound of 3, passed freely while nothing is pressed.
    let mut rig = Rig::new(settings, 1);
    let ids: Vec<_> = (0..8).map(|_| rig.arrive(0)).collect();
    assert!(ids.iter().all(|id| rig.sent(*id).len() == 1));
}

#[test]
fn bound_of_a_full_engine_applies() {
    let mut settings = settings();
    settings.gateways = 8;
    let mut rig = Rig::new(settings, 1);
    let ids: Vec<_> = (0..4).map(|_| rig.arrive(0)).collect();
    rig.end(ids[3], 0, Outcome::Rejected);
    rig.pass(ms(150));
    let held = rig.arrive(0);
    assert!(rig.sent(held).is_empty(), "three threads are out, and the bound is three");
    rig.end(ids[0], 0, Outcome::Ok);
    assert_eq!(sends(&rig.actions).len(), 5, "one ended, so one may follow");
}

/// Threads that fit on the one engine under pressure: fills it up and counts.
fn bound_under_pressure(rig: &mut Rig) -> usize {
    let ids: Vec<_> = (0..60).map(|_| rig.arrive(0)).collect();
    let out: Vec<_> = ids.iter().filter(|id| rig.sent(**id).len() == 1).copied().collect();
    rig.end(out[out.len() - 1], 0, Outcome::Rejected);
    out.len()
}

#[test]
fn slow_class_cuts_the_bound_once_a_period_down_to_the_floor() {
    let mut rig = Rig::new(settings(), 1);
    // 1.5 x 16 = 24 threads at the start; its own threads beyond that are pressure.
    assert_eq!(bound_under_pressure(&mut rig), 25);

    let after = |periods: u64| {
        let mut rig = Rig::new(settings(), 1);
        for _ in 0..periods {
            // Twice the aim, so each period's cut is to a half at the most.
            let ids: Vec<_> = (0..8).map(|_| rig.arrive(0)).collect();
            rig.pass(ms(600));
            ids.iter().for_each(|id| drop(rig.end(*id, 0, Outcome::Ok)));
            rig.pass(ms(450));
        }
        let full = rig.arrive(0);
        rig.end(full, 0, Outcome::Rejected);
        rig.pass(ms(150));
        bound_under_pressure(&mut rig)
    };
    let (once, often) = (after(1), after(12));
    assert!((11..=13).contains(&once), "24 threads cut by f = 2 once: {once}");
    assert_eq!(often, 8, "the floor, half a thread a core");
}

#[test]
fn bound_rises_only_when_reached_and_within_the_objective() {
    let mut settings = settings();
    settings.gateways = 8;
    let bound = |reached: bool, takes: u64| {
        let mut rig = Rig::new(settings.clone(), 1);
        for _ in 0..40 {
            let ids: Vec<_> = (0..if reached { 4 } else { 2 }).map(|_| rig.arrive(0)).collect();
            rig.pass(ms(takes));
            ids.iter().for_each(|id| drop(rig.end(*id, 0, Outcome::Ok)));
        }
        // Full makes the bound bind; after the short shut-out, what goes out shows it.
        let full = rig.arrive(0);
        rig.end(full, 0, Outcome::Rejected);
        rig.pass(ms(150));
        let ids: Vec<_> = (0..30).map(|_| rig.arrive(0)).collect();
        ids.iter().filter(|id| rig.sent(**id).len() == 1).count()
    };
    let (raised, unreached, over) = (bound(true, 100), bound(false, 100), bound(true, 400));
    assert!(raised > unreached, "reached and under aim: {raised}, not reached: {unreached}");
    assert!(raised > over, "reached and under aim: {raised}, over aim: {over}");
}
