//! The order in which waiting requests are sent to engines.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn simultaneous_arrivals_are_sent_by_target() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    let (long, quick) = (fixture.new_arrival(LONG), fixture.new_arrival(QUICK));
    let order = [quick.request, long.request];
    let actions = fixture.step(&[Event::Arrival(long), Event::Arrival(quick)]);
    assert_eq!(sends(&actions).iter().map(|send| send.0).collect::<Vec<_>>(), order);
}

#[test]
fn work_estimate_moves_the_target_before_outcomes() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    let (mut short, mut long_running) = (fixture.new_arrival(QUICK), fixture.new_arrival(QUICK));
    short.work = Some(ms(10));
    long_running.work = Some(ms(200));
    let first = long_running.request;
    let actions = fixture.step(&[Event::Arrival(short), Event::Arrival(long_running)]);
    assert_eq!(sends(&actions)[0].0, first);
}

#[test]
fn late_queries_are_sent_first_by_value_density() {
    let mut settings = settings();
    // A late answer has full value, so neither class is rejected for being late.
    for class in &mut settings.classes {
        class.late_weight = 1.0;
    }
    settings.classes[QUICK].latency_objective = ms(250);
    settings.classes[LONG].latency_objective = ms(2500);
    settings.classes[LONG].priority_weight = 40.0;
    let mut fixture = SchedulerFixture::new(settings, 0);
    let (quick, long) = (fixture.arrive(QUICK), fixture.arrive(LONG));
    fixture.advance(ms(2000));
    let fresh = fixture.new_arrival(QUICK);
    let order = [long, quick, fresh.request];
    let entries = vec![EngineEntry::new(EngineId(0))];
    let list = Event::Endpoints { scope: EndpointScope::Complete, entries };
    let actions = fixture.step(&[list, Event::Arrival(fresh)]);
    assert_eq!(sends(&actions).iter().map(|send| send.0).collect::<Vec<_>>(), order);
}
