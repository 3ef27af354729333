//! Rejection of requests that have waited too long.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn burst_after_a_restart_is_answered_completely() {
    let mut fixture = SchedulerFixture::new(settings(), 2);
    let ids = fixture.arrive_many(QUICK, 400);
    let sent: Vec<_> = ids.iter().filter(|id| !fixture.engines_tried(**id).is_empty()).copied().collect();
    assert!(sent.len() <= 50, "more than 1.5 own threads per core show pressure: {} sent", sent.len());
    fixture.advance(ms(400));
    fixture.serve_all(&sent);
    fixture.advance(ms(3000));
    for id in ids {
        assert!(fixture.is_rejected(id) || fixture.engines_tried(id).len() == 1, "{id:?} was not answered");
    }
}

#[test]
fn requests_without_a_permitted_engine_are_rejected_in_time() {
    let mut settings = settings();
    settings.classes[QUICK].zones = Some(vec![ZoneId(0)]);
    let mut fixture = SchedulerFixture::new(settings, 2);
    let id = fixture.arrive(QUICK);
    fixture.list_engines(Vec::new());
    fixture.advance(ms(3005));
    assert!(fixture.is_rejected(id) && fixture.engines_tried(id).is_empty());
}

#[test]
fn late_long_request_is_rejected_for_its_low_value_density() {
    let mut settings = settings();
    settings.classes[LONG].late_weight = 0.6;
    let mut fixture = SchedulerFixture::new(settings, 0);
    let long = fixture.arrive(LONG);
    fixture.advance(ms(3000));
    assert!(
        fixture.is_rejected(long),
        "once late, a long request has a lower value density than a quick one in time"
    );
}

#[test]
fn larger_estimates_are_rejected_sooner() {
    let mut fixture = SchedulerFixture::new(settings(), 0);
    let mut arrive = |work| fixture.arrive_with(LONG, |arrival| arrival.work = Some(ms(work)));
    let usual: Vec<_> = (0..20).map(|_| arrive(1000)).collect();
    let costly = arrive(10_000);
    fixture.advance(ms(600));
    assert!(fixture.is_rejected(costly) && !fixture.is_rejected(usual[0]));
}

#[test]
fn class_past_its_objective_waits_before_it_is_rejected() {
    let mut settings = settings();
    settings.classes[LONG].late_weight = 0.0;
    let mut fixture = SchedulerFixture::new(settings, 1);
    // Long queries take twice their objective, so their dispatch targets lie before their arrival.
    for _ in 0..3 {
        let id = fixture.arrive(LONG);
        fixture.advance(ms(6000));
        fixture.end_attempt(id, 0, Outcome::Ok);
    }
    // The only engine counts as full for 100 ms.
    let id = fixture.arrive(LONG);
    fixture.end_attempt(id, 0, Outcome::Rejected);
    fixture.advance(ms(60));
    assert!(!fixture.is_rejected(id), "a short lack of capacity is no overload");
    fixture.advance(ms(60));
    assert_eq!(fixture.engines_tried(id).len(), 2);
}
