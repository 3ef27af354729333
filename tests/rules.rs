//! The seven rules, one by one.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn every_request_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings(), 0);
    let (quick, long) = (rig.arrive(0), rig.arrive(1));
    rig.pass(ms(3005));
    assert!(rig.refused(quick));
    rig.pass(ms(12000));
    assert!(rig.refused(long));
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once_and_nothing_follows() {
    let mut rig = Rig::new(settings(), 2);
    let id = rig.arrive(0);
    rig.now += 3_000_000;
    rig.end(id, 0, Outcome::TimedOut);
    assert!(rig.refused(id), "safe to repeat, so refused");
    rig.pass(ms(500));
    assert_eq!(rig.sent(id).len(), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_repeated() {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::NonIdempotent;
    for (outcome, sends) in
        [(Outcome::Error, 1), (Outcome::Reset, 1), (Outcome::TimedOut, 1), (Outcome::ConnectFailed, 2)]
    {
        let mut rig = Rig::new(settings.clone(), 2);
        let id = rig.arrive(0);
        rig.end(id, 0, outcome);
        rig.pass(ms(200));
        assert_eq!(rig.sent(id).len(), sends, "{outcome:?}");
        assert_eq!(rig.failed(id), sends == 1, "{outcome:?}");
        assert!(!rig.refused(id), "{outcome:?}");
    }
}

#[test]
fn keyed_request_is_retried_only_in_its_group_and_window() {
    for (scope, cell) in [(KeyScope::Zone, 1), (KeyScope::Cell, 7)] {
        let mut settings = settings();
        settings.classes[0].idempotency = Idempotency::Keyed { scope, window: ms(1000) };
        let mut rig = Rig::new(settings, 0);
        let entry = |id, zone, cell| EngineEntry {
            zone: Some(ZoneId(zone)),
            cell: Some(CellId(cell)),
            ..EngineEntry::new(EngineId(id))
        };
        let entries = vec![entry(0, 0, cell), entry(1, 1, 2)];
        rig.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries }]);
        let id = rig.arrive(0);
        let first = rig.sent(id)[0];
        rig.end(id, 0, Outcome::Error);
        assert_eq!(rig.sent(id), [first, first], "the other engine does not know the key");
        rig.now += 1_100_000;
        rig.end(id, 1, Outcome::Error);
        assert_eq!(rig.sent(id).len(), 2, "no longer remembered");
        assert!(rig.failed(id) && !rig.refused(id));
    }
}

#[test]
fn nothing_new_goes_to_a_draining_or_removed_engine() {
    for state in [EngineState::Draining, EngineState::Removed] {
        let mut rig = Rig::new(settings(), 2);
        let entry = EngineEntry { state, ..EngineEntry::new(EngineId(0)) };
        rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
        for _ in 0..5 {
            let id = rig.arrive(0);
            assert_eq!(rig.sent(id), [EngineId(1)]);
        }
    }
    let mut rig = Rig::new(settings(), 2);
    let entries = vec![EngineEntry::new(EngineId(1))];
    rig.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries }]);
    let id = rig.arrive(0);
    assert_eq!(rig.sent(id), [EngineId(1)], "left out of a whole list is gone");
}

#[test]
fn engine_in_slow_start_gets_a_part_of_the_work() {
    let mut rig = Rig::new(settings(), 2);
    rig.serve(0, 300, ms(10));
    let started = Some(Time(rig.now));
    let entry = EngineEntry { started, ..EngineEntry::new(EngineId(2)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    let from = rig.actions.len();
    rig.serve(0, 150, ms(10));
    let cold = sends(&rig.actions[from..]).iter().filter(|s| s.1 == EngineId(2)).count();
    assert!(cold >= 1, "it warms up on some work");
    assert!(cold < 75, "idle, it would draw more than a third: {cold}");
}

#[test]
fn engine_back_from_refused_connections_is_in_slow_start() {
    let mut rig = Rig::new(settings(), 2);
    rig.serve(0, 300, ms(10));
    let mut down = None;
    for _ in 0..8 {
        let id = rig.arrive(0);
        let at = rig.sent(id)[0];
        let first = *down.get_or_insert(at);
        rig.end(id, 0, if at == first { Outcome::ConnectFailed } else { Outcome::Ok });
        rig.pass(ms(10));
    }
    rig.pass(ms(1500));
    let burst: Vec<_> = (0..40).map(|_| rig.arrive(0)).collect();
    let cold = burst.iter().filter(|id| rig.sent(**id).first() == down.as_ref()).count();
    assert!(cold < 10, "{cold} of a burst went to the engine that was down");
}

#[test]
fn requests_of_one_key_run_one_at_a_time_in_order() {
    let mut settings = settings();
    settings.classes[0].in_order = true;
    settings.classes[0].late_weight = 1.0;
    settings.rules.order_settle = ms(400);
    let mut rig = Rig::new(settings, 3);
    let ids: Vec<_> = (0..3)
        .map(|_| {
            let mut arrival = rig.arrival(0);
            arrival.ordering_key = Some(KeyId(1));
            let id = arrival.request;
            rig.step(&[Event::Arrival(arrival)]);
            id
        })
        .collect();
    assert_eq!(ids.iter().map(|id| rig.sent(*id).len()).collect::<Vec<_>>(), [1, 0, 0]);
    rig.end(ids[0], 0, Outcome::Ok);
    assert_eq!(rig.sent(ids[1]).len(), 1);
    // The client leaves: the attempt is called off, and the key waits for its outcome and rests after it.
    rig.step(&[Event::ClientDisconnected(ids[1])]);
    rig.pass(ms(600));
    assert_eq!(rig.sent(ids[2]).len(), 0, "an attempt has no outcome yet");
    rig.end(ids[1], 0, Outcome::Cancelled);
    rig.pass(ms(390));
    assert_eq!(rig.sent(ids[2]).len(), 0, "the key rests");
    rig.pass(ms(50));
    assert_eq!(rig.sent(ids[2]).len(), 1);
}

#[test]
fn restricted_class_never_leaves_its_engines() {
    let mut settings = settings();
    settings.classes[0].zones = Some(vec![ZoneId(1)]);
    let mut rig = Rig::new(settings, 3);
    let held = rig.arrive(0);
    assert!(rig.sent(held).is_empty());
    let entry = EngineEntry { zone: Some(ZoneId(1)), ..EngineEntry::new(EngineId(3)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    assert_eq!(rig.sent(held), [EngineId(3)]);
    rig.end(held, 0, Outcome::Error);
    rig.pass(ms(150));
    assert!(rig.sent(held).iter().all(|e| *e == EngineId(3)));
    let free = rig.arrive(1);
    assert_ne!(rig.sent(free), [EngineId(3)]);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget { free: 2.0, ratio: 0.1, window: ms(1000) });
    settings.limits.max_attempts = 6;
    let mut rig = Rig::new(settings, 4);
    for _ in 0..10 {
        let id = rig.arrive(0);
        let mut attempt = 0;
        while !rig.refused(id) && rig.sent(id).len() as u32 > attempt {
            rig.end(id, attempt, Outcome::Error);
            attempt += 1;
        }
    }
    let extra = sends(&rig.actions).len() - 10;
    assert!((1..=3).contains(&extra), "two free and a tenth of ten: {extra}");
}

#[test]
fn attempts_are_sequential_and_bounded() {
    let mut rig = Rig::new(settings(), 4);
    let id = rig.arrive(0);
    for attempt in 0..3 {
        assert_eq!(rig.sent(id).len() as u32, attempt + 1);
        rig.end(id, attempt, Outcome::Reset);
        rig.pass(ms(5));
    }
    assert_eq!(rig.sent(id).len(), 3);
    assert!(rig.refused(id));
}

/// Engines 0 and 1 in a zone each, and a class whose repeats only a zone drops.
fn two_zones() -> Rig {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::Keyed { scope: KeyScope::Zone, window: ms(1000) };
    let mut rig = Rig::new(settings, 0);
    let entry = |id| EngineEntry { zone: Some(ZoneId(id as usize)), ..EngineEntry::new(EngineId(id)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries: vec![entry(0), entry(1)] }]);
    rig
}

#[test]
fn attempt_of_another_gateway_binds_group_and_window() {
    for group in [0, 1] {
        let mut rig = two_zones();
        for _ in 0..8 {
            let earlier = Some(PriorAttempt { group, age: ms(300) });
            let arrival = Arrival { prior_attempt: earlier, ..rig.arrival(0) };
            let id = arrival.request;
            rig.step(&[Event::Arrival(arrival)]);
            assert_eq!(rig.sent(id), [EngineId(group as u32)]);
            rig.end(id, 0, Outcome::Ok);
        }
        // Engines forget a second after the other's send, not after ours.
        let earlier = Some(PriorAttempt { group, age: ms(990) });
        let arrival = Arrival { prior_attempt: earlier, ..rig.arrival(0) };
        let id = arrival.request;
        rig.step(&[Event::Arrival(arrival)]);
        rig.pass(ms(15));
        rig.end(id, 0, Outcome::Rejected);
        rig.pass(ms(100));
        assert_eq!(rig.sent(id).len(), 1);
        assert!(rig.failed(id) && !rig.refused(id), "a repeat elsewhere is not harmless");
    }
}

#[test]
fn request_stays_in_its_announced_group() {
    let mut rig = two_zones();
    let id = rig.arrive(0);
    let first = rig.sent(id)[0];
    rig.step(&[Event::BoundToGroup(id)]);
    rig.end(id, 0, Outcome::Rejected);
    rig.pass(ms(500));
    assert!(rig.sent(id).iter().all(|e| *e == first), "{:?}", rig.sent(id));
    rig.pass(ms(3000));
    assert!(rig.failed(id));
}
