//! Failures, alone and overlapping; each test fails without the defence that it names.

mod common;

use common::*;
use reedwalk_scheduler::*;

/// Serves a steady trickle for a while: `act` says how an attempt at an engine ends after 50 ms, if at all.
fn trickle(rig: &mut Rig, requests: usize, act: impl Fn(EngineId) -> Option<Outcome>) -> Vec<RequestId> {
    (0..requests)
        .map(|_| {
            let id = rig.arrive(0);
            rig.pass(ms(50));
            let mut attempt = 0;
            while let Some(&engine) = rig.sent(id).get(attempt)
                && let Some(outcome) = act(engine)
            {
                rig.end(id, attempt as u32, outcome);
                attempt += 1;
                if outcome == Outcome::Ok {
                    break;
                }
            }
            id
        })
        .collect()
}

fn share(rig: &Rig, ids: &[RequestId], engine: u32) -> f64 {
    let to = ids.iter().filter(|id| rig.sent(**id).contains(&EngineId(engine))).count();
    to as f64 / ids.len() as f64
}

#[test]
fn fast_failing_engine_does_not_attract_traffic() {
    let mut rig = Rig::new(settings(), 4);
    let act = |e: EngineId| Some(if e.0 == 0 { Outcome::Error } else { Outcome::Ok });
    trickle(&mut rig, 40, act);
    let ids = trickle(&mut rig, 100, act);
    assert!(share(&rig, &ids, 0) < 0.1, "{}", share(&rig, &ids, 0));
}

#[test]
fn failing_requests_eject_no_engine() {
    let mut rig = Rig::new(settings(), 4);
    trickle(&mut rig, 40, |_| Some(Outcome::Ok));
    for _ in 0..40 {
        // One of four is at fault itself, as those of a broken client.
        let bad = trickle(&mut rig, 1, |_| Some(Outcome::Error));
        assert_eq!(rig.sent(bad[0]).len(), 2, "a third engine would say the same");
        assert!(rig.refused(bad[0]));
        trickle(&mut rig, 3, |_| Some(Outcome::Ok));
    }
    assert_eq!(rig.suspected(), []);
}

/// How many queries the first of three engines is sent, one every two seconds at most, after it has gone bad; it was
/// well for so many rounds before.
fn asked_of_a_bad_engine(outcome: Outcome, first_well: usize) -> usize {
    let mut settings = settings();
    settings.gateways = 100;
    let mut rig = Rig::new(settings, 3);
    let mut met = 0;
    for round in 0..first_well + 12 {
        // Both others have one out, so that the third is next.
        let (one, two) = (rig.arrive(0), rig.arrive(0));
        let third = rig.arrive(0);
        for id in [one, two, third] {
            let bad = rig.sent(id) == [EngineId(0)] && round >= first_well;
            met += usize::from(bad);
            rig.end(id, 0, if bad { outcome } else { Outcome::Ok });
            if bad {
                rig.end(id, 1, Outcome::Ok);
            }
        }
        rig.pass(ms(2000));
    }
    met
}

#[test]
fn sparse_traffic_ejects_after_two_errors_or_one_refused_connection() {
    // Of twelve meetings in 24 s; then quarantines of 1, 2, 4 and 8 s, a query after each.
    let (errors, refused) =
        (asked_of_a_bad_engine(Outcome::Error, 0), asked_of_a_bad_engine(Outcome::ConnectFailed, 0));
    assert!(errors <= 6 && refused <= 5, "{errors} errors, {refused} refused connections");
    // Twenty good answers before, forty seconds long, weigh no more than the present.
    let late = asked_of_a_bad_engine(Outcome::Error, 20);
    assert!(late <= 6, "{late} errors after a long while of good answers");
}

#[test]
fn attempt_without_progress_reports_is_retried_elsewhere() {
    let mut settings = settings();
    settings.engine.progress_interval = Some(ms(500));
    let mut rig = Rig::new(settings, 2);
    trickle(&mut rig, 30, |_| Some(Outcome::Ok));
    let (lost, long) = (rig.arrive(1), rig.arrive(1));
    let note =
        |id| Event::Progress { request: id, attempt: AttemptNo(0), report: ProgressReport::WaitingForMemory };
    for _ in 0..5 {
        rig.pass(ms(400));
        rig.step(&[note(long)]);
        // Both engines go on answering.
        trickle(&mut rig, 2, |_| Some(Outcome::Ok));
    }
    assert!(rig.cancelled(lost));
    assert!(!rig.cancelled(long), "notes came of this one");
    rig.end(lost, 0, Outcome::Cancelled);
    rig.pass(ms(50));
    assert_eq!(rig.sent(lost).len(), 2);
    assert_eq!(rig.suspected(), []);
}

#[test]
fn hung_engine_is_ejected_during_a_discovery_outage() {
    let mut settings = settings();
    settings.discovery = Discovery::Subscribed;
    let mut rig = Rig::new(settings, 3);
    trickle(&mut rig, 30, |_| Some(Outcome::Ok));
    rig.step(&[Event::EndpointListFailed]);
    let act = |e: EngineId| (e.0 != 0).then_some(Outcome::Ok);
    let stuck = trickle(&mut rig, 40, act);
    assert!(rig.suspected().iter().any(|s| s.1), "for its silence");
    assert!(stuck.iter().any(|id| rig.cancelled(*id)), "what hangs there is called off");
    let ids = trickle(&mut rig, 60, act);
    assert!(share(&rig, &ids, 0) < 0.2, "{}", share(&rig, &ids, 0));
    assert!(rig.actions.iter().filter(|a| matches!(a, Action::Subscribe)).count() >= 2, "asks again");
}

#[test]
fn fast_errors_do_not_overload_an_engine_in_slow_start() {
    let mut rig = Rig::new(settings(), 3);
    rig.serve(0, 200, ms(20));
    let entry = EngineEntry { started: Some(Time(rig.now)), ..EngineEntry::new(EngineId(3)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    let act = |e: EngineId| Some(if e.0 == 0 { Outcome::Error } else { Outcome::Ok });
    let ids = trickle(&mut rig, 80, act);
    let cold = share(&rig, &ids, 3);
    assert!(cold < 0.4, "a third is a warm engine's part: {cold}");
}

#[test]
fn burst_after_a_restart_is_answered_in_full() {
    let mut rig = Rig::new(settings(), 2);
    let ids: Vec<_> = (0..400).map(|_| rig.arrive(0)).collect();
    let out: Vec<_> = ids.iter().filter(|id| !rig.sent(**id).is_empty()).copied().collect();
    assert!(out.len() <= 50, "no flood: own threads beyond 1.5 a core are pressure, {} went out", out.len());
    rig.pass(ms(400));
    out.iter().for_each(|id| drop(rig.end(*id, 0, Outcome::Ok)));
    rig.pass(ms(3000));
    for id in ids {
        assert!(rig.refused(id) || rig.sent(id).len() == 1, "{id:?} is forgotten");
    }
}

#[test]
fn at_most_half_of_the_engines_are_ejected_for_silence() {
    let mut rig = Rig::new(settings(), 4);
    trickle(&mut rig, 30, |_| Some(Outcome::Ok));
    trickle(&mut rig, 60, |_| None);
    let second = rig.actions.iter().position(|a| matches!(a, Action::EngineEjected { .. })).unwrap() + 1;
    let second =
        rig.actions[second..].iter().position(|a| matches!(a, Action::EngineEjected { .. })).unwrap()
            + second;
    assert!(sends(&rig.actions[second..]).len() > 10, "the other half stays in use");
}

/// The first attempt of a request is served, with this load report.
fn end_served(rig: &mut Rig, request: RequestId, load: Option<LoadReport>) {
    let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
    rig.step(&[Event::Ended(AttemptEnded { request, attempt, outcome, closed: true, usage: None, load })]);
}

#[test]
fn late_or_invalid_reports_change_nothing() {
    let run = |load: Option<LoadReport>| {
        let mut rig = Rig::new(settings(), 3);
        for _ in 0..50 {
            let request = rig.arrive(0);
            rig.pass(ms(40));
            end_served(&mut rig, request, load);
        }
        sends(&rig.actions)
    };
    let absurd = LoadReport { queue: Some(f64::INFINITY), cpu: Some(f64::NAN), ..LoadReport::default() };
    assert_eq!(run(None), run(Some(absurd)));
}

#[test]
fn an_answer_that_arrives_after_its_cancel_ends_the_request() {
    let mut settings = settings();
    settings.engine.progress_interval = Some(ms(500));
    let mut rig = Rig::new(settings, 2);
    rig.serve(1, 10, ms(500));
    let id = rig.arrive(1);
    rig.pass(ms(500));
    let (attempt, note) = (AttemptNo(0), ProgressReport::Done(0.01));
    rig.step(&[Event::Progress { request: id, attempt, report: note }]);
    assert!(rig.cancelled(id), "a hundredth done in the usual time: a bad plan");
    rig.end(id, 0, Outcome::Ok);
    rig.pass(ms(200));
    assert_eq!(rig.sent(id).len(), 1);
    assert!(!rig.refused(id) && !rig.failed(id));
}

#[test]
fn runaway_query_is_cancelled_once() {
    let mut settings = settings();
    settings.engine.progress_interval = Some(ms(500));
    let mut rig = Rig::new(settings, 2);
    rig.serve(1, 10, ms(500));
    let costly = |rig: &mut Rig| {
        let id = rig.arrive(1);
        for attempt in 0..2 {
            rig.pass(ms(500));
            let attempt = AttemptNo(attempt);
            rig.step(&[Event::Progress { request: id, attempt, report: ProgressReport::Done(0.1) }]);
            if rig.sent(id).len() as u32 == attempt.0 + 1 && rig.cancelled(id) && attempt.0 == 0 {
                rig.end(id, 0, Outcome::Cancelled);
            }
        }
        rig.pass(ms(4500));
        rig.end(id, rig.sent(id).len() as u32 - 1, Outcome::Ok);
        rig.sent(id).len()
    };
    let attempts: Vec<_> = (0..10).map(|_| costly(&mut rig)).collect();
    assert_eq!(attempts[0], 2, "once");
    assert_eq!(attempts[9], 1, "costly in themselves: repeats were seen not to help: {attempts:?}");
}

#[test]
fn when_all_permitted_engines_are_gone_requests_are_ended_in_time() {
    let mut settings = settings();
    settings.classes[0].zones = Some(vec![ZoneId(0)]);
    let mut rig = Rig::new(settings, 2);
    let id = rig.arrive(0);
    rig.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries: Vec::new() }]);
    rig.pass(ms(3005));
    assert!(rig.refused(id) && rig.sent(id).is_empty());
}

#[test]
fn bulk_load_waits_for_another_on_its_tables() {
    let mut settings = settings();
    settings.classes[1].is_load = true;
    let mut rig = Rig::new(settings, 1);
    let load = |rig: &mut Rig, group| {
        let arrival = Arrival { table_group: Some(GroupId(group)), ..rig.arrival(1) };
        rig.step(&[Event::Arrival(arrival.clone())]);
        arrival.request
    };
    let (first, second, other) = (load(&mut rig, 1), load(&mut rig, 1), load(&mut rig, 2));
    assert_eq!([first, second, other].map(|id| rig.sent(id).len()), [1, 0, 1]);
    rig.end(first, 0, Outcome::Ok);
    assert_eq!(rig.sent(second).len(), 1);
}

#[test]
fn late_bulk_loads_do_not_displace_requests_in_time() {
    let mut settings = settings();
    settings.classes[1].late_weight = 0.6;
    let mut rig = Rig::new(settings, 0);
    let long = rig.arrive(1);
    rig.pass(ms(3000));
    assert!(rig.refused(long), "late, it earns less for its work than a quick one in time");
}

#[test]
fn larger_estimates_are_rejected_sooner() {
    let mut rig = Rig::new(settings(), 0);
    let told = |rig: &mut Rig, work| {
        let arrival = Arrival { work: Some(ms(work)), ..rig.arrival(1) };
        rig.step(&[Event::Arrival(arrival.clone())]);
        arrival.request
    };
    let usual: Vec<_> = (0..20).map(|_| told(&mut rig, 1000)).collect();
    let dear = told(&mut rig, 10_000);
    rig.pass(ms(600));
    assert!(rig.refused(dear) && !rig.refused(usual[0]));
}

#[test]
fn abandoned_work_is_counted_where_nothing_is_cancelled() {
    let mut settings = settings();
    settings.limits.cancel = false;
    let mut rig = Rig::new(settings, 1);
    let out: Vec<_> = (0..24).map(|_| rig.arrive(0)).collect();
    rig.now += 3_000_000;
    out.iter().for_each(|id| drop(rig.end(*id, 0, Outcome::TimedOut)));
    let ids: Vec<_> = (0..10).map(|_| rig.arrive(0)).collect();
    let sent = ids.iter().filter(|id| !rig.sent(**id).is_empty()).count();
    assert!(sent <= 1, "24 threads of abandoned work are still there: {sent}");
}

#[test]
fn state_stays_bounded_over_a_long_run() {
    let mut settings = settings();
    settings.classes[0].in_order = true;
    let mut rig = Rig::new(settings, 4);
    let mut steps = Vec::new();
    for round in 0..2000u64 {
        let arrival = Arrival { ordering_key: Some(KeyId(round)), ..rig.arrival(0) };
        let id = arrival.request;
        rig.step(&[Event::Arrival(arrival)]);
        rig.pass(ms(20));
        rig.end(id, 0, Outcome::Ok);
        rig.actions.clear();
        if round % 100 == 0 {
            let entries = (0..4).map(|e| EngineEntry::new(EngineId(round as u32 + e))).collect();
            rig.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries }]);
        }
        if round == 200 || round == 1990 {
            steps.push(rig.gateway.tracked_items());
        }
    }
    assert!(steps[1] <= steps[0] + 60, "grew from {} to {}", steps[0], steps[1]);
}

#[test]
fn lightly_loaded_gateway_spreads_its_queries() {
    let mut rig = Rig::new(settings(), 4);
    let ids = trickle(&mut rig, 40, |_| Some(Outcome::Ok));
    for engine in 0..4 {
        assert_eq!(share(&rig, &ids, engine), 0.25, "one at a time, ties go round");
    }
}

#[test]
fn lightly_loaded_gateway_reuses_its_connections() {
    let mut settings = settings();
    settings.engine.idle_timeout = Some(ms(15_000));
    let mut rig = Rig::new(settings, 30);
    let met = |rig: &Rig, ids: &[RequestId]| (0..31).filter(|e| share(rig, ids, *e) > 0.0).count();
    let ids = trickle(&mut rig, 60, |_| Some(Outcome::Ok));
    assert_eq!(met(&rig, &ids), 1, "one query at a time needs one connection, not thirty");
    // Fewest own queries still comes first, and an engine that has just started gets its part.
    let together: Vec<_> = (0..4).map(|_| rig.arrive(0)).collect();
    assert_eq!(met(&rig, &together), 4);
    together.iter().for_each(|id| drop(rig.end(*id, 0, Outcome::Ok)));
    let entry = EngineEntry { started: Some(Time(rig.now - 11_000_000)), ..EngineEntry::new(EngineId(30)) };
    rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    let ids = trickle(&mut rig, 20, |_| Some(Outcome::Ok));
    assert!(share(&rig, &ids, 30) > 0.0, "the new one is left out");
}

#[test]
fn many_gateways_do_not_each_fill_an_engine() {
    let out = |gateways| {
        let mut settings = settings();
        settings.gateways = gateways;
        let mut rig = Rig::new(settings, 1);
        let ids: Vec<_> = (0..60).map(|_| rig.arrive(0)).collect();
        ids.iter().filter(|id| !rig.sent(**id).is_empty()).count()
    };
    assert_eq!(out(1), 25, "1.5 threads on 16 cores, and the one that shows it");
    assert!(out(9) <= 9, "a third of that for nine gateways: {}", out(9));
}

#[test]
fn wide_queries_fit_in_all_bounds_together() {
    let mut settings = settings();
    settings.gateways = 12;
    // A bound of 2 threads on each of twelve engines, and 19 for chance: ten queries of four threads, not twelve.
    let mut rig = Rig::new(settings, 12);
    for _ in 0..2 {
        let id = rig.arrive(1);
        (0..3).for_each(|attempt| drop(rig.end(id, attempt, Outcome::Rejected)));
    }
    rig.pass(ms(300));
    let before = sends(&rig.actions).len();
    for _ in 0..12 {
        rig.arrive(1);
    }
    assert_eq!(sends(&rig.actions).len() - before, 10);
}

/// A gateway among a hundred on thirty engines, to whom ten answers have reported how busy those are.
fn one_of_a_hundred(ordinal: u64, cpu: f64) -> Rig {
    let mut settings = settings();
    (settings.gateways, settings.ordinal) = (100, ordinal as u32);
    let mut rig = Rig::with_seed(settings, 30, ordinal);
    serve_reporting(&mut rig, 10, cpu);
    rig
}

/// Serves so many quick queries, one after the other, whose answers report how busy their engine is.
fn serve_reporting(rig: &mut Rig, count: usize, cpu: f64) {
    for _ in 0..count {
        let request = rig.arrive(0);
        rig.pass(ms(20));
        let load = Some(LoadReport { cpu: Some(cpu), ..LoadReport::default() });
        end_served(rig, request, load);
    }
}

#[test]
fn a_hundred_gateways_allow_for_bursts() {
    // Even parts of 7.2 threads. Each has as many queries as chance gives it, then five times the even part.
    let sent = |queries: &dyn Fn(u64) -> usize| -> (usize, usize) {
        let one = |ordinal| {
            let mut rig = one_of_a_hundred(ordinal, 0.95);
            let ids: Vec<_> = (0..queries(ordinal)).map(|_| rig.arrive(0)).collect();
            (ids.iter().filter(|id| !rig.sent(**id).is_empty()).count(), ids.len())
        };
        (0..100).map(one).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    // A binomial draw of mean 7 from the bits of a mixed number.
    let swings = |n: u64| ((n + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) & 0x3FFF).count_ones() as usize;
    let (out, of) = sent(&swings);
    assert!(of > 600 && out * 100 >= of * 97, "{out} of {of} sent: their sum is the pool's own bound");
    let (out, of) = sent(&|_| 36);
    assert!(
        out <= 1800,
        "{out} of {of} sent: with too much at all of them the bounds hold to 720 and chance"
    );
}

#[test]
fn wide_queries_do_not_displace_the_highest_value_density() {
    let mut rig = one_of_a_hundred(0, 0.95);
    let sent = |rig: &Rig, ids: &[RequestId]| ids.iter().filter(|id| !rig.sent(**id).is_empty()).count();
    let long: Vec<_> = (0..8).map(|_| rig.arrive(1)).collect();
    assert_eq!(sent(&rig, &long), 4, "16 threads: an even part of 7.2 and chance");
    let quick = rig.arrive(0);
    assert_eq!(sent(&rig, &[quick]), 1);
}

#[test]
fn bulk_loads_run_at_high_priority_where_supported() {
    let mut settings = settings();
    settings.engine.priorities = true;
    settings.classes[1].is_load = true;
    let mut rig = Rig::new(settings, 1);
    let priority = |rig: &Rig, id| {
        let of = |a: &Action| match a {
            Action::GrantResources { request, priority, .. } if *request == id => Some(*priority),
            _ => None,
        };
        rig.actions.iter().filter_map(of).next_back()
    };
    let (quick, load) = (rig.arrive(0), rig.arrive(1));
    assert_eq!(priority(&rig, load), Some(2));
    assert_eq!(priority(&rig, quick), None, "the usual one needs no word");
}

#[test]
fn attempt_that_would_outlive_its_deadline_is_cancelled() {
    let mut settings = settings();
    settings.engine.progress_interval = Some(ms(500));
    let mut rig = Rig::new(settings, 2);
    rig.serve(1, 10, ms(500));
    let id = rig.arrive(1);
    for attempt in 0..3 {
        rig.pass(ms(500));
        let (number, note) = (AttemptNo(attempt), ProgressReport::Done(0.01));
        rig.step(&[Event::Progress { request: id, attempt: number, report: note }]);
        rig.end(id, attempt, Outcome::Cancelled);
    }
    assert_eq!(rig.sent(id).len(), 3, "two more tries, each with a new plan");
    assert!(rig.refused(id), "then it is ended, not run for nothing");
}

#[test]
fn hundreds_of_gateways_keep_to_a_slow_start_budget() {
    // All told at once of an engine that has just started; each has wide queries in hand, together a full load.
    let sent = (0..300u64)
        .filter(|seed| {
            let mut settings = settings();
            (settings.gateways, settings.ordinal) = (300, *seed as u32);
            let mut rig = Rig::with_seed(settings, 75, *seed);
            rig.serve(1, 8, ms(500));
            let entry = EngineEntry { started: Some(Time(rig.now)), ..EngineEntry::new(EngineId(99)) };
            rig.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
            let ids: Vec<_> = (0..3).map(|_| rig.arrive(1)).collect();
            rig.pass(ms(100));
            ids.iter().any(|id| rig.sent(*id).contains(&EngineId(99)))
        })
        .count();
    assert!(sent <= 12, "a dozen of four threads and half a second is its budget: {sent} sent");
}

#[test]
fn sparse_evidence_is_completed_from_the_pool() {
    // Twenty engines, and no more than one slow answer from each: together they tell of a jam.
    let out = |takes| {
        let mut settings = settings();
        settings.gateways = 300;
        let mut rig = Rig::new(settings, 20);
        rig.serve(0, 120, ms(20));
        rig.serve(0, 20, ms(takes));
        let ids: Vec<_> = (0..20).map(|_| rig.arrive(0)).collect();
        ids.iter().filter(|id| !rig.sent(**id).is_empty()).count()
    };
    assert_eq!(out(20), 20, "at ease, no bound binds");
    assert!(out(200) <= 7, "in a jam, what is out fits in all bounds together: {}", out(200));
}

#[test]
fn load_reports_are_used_where_own_latencies_are_few() {
    let out = |cpu| {
        let mut settings = settings();
        settings.gateways = 300;
        let mut rig = Rig::new(settings, 20);
        serve_reporting(&mut rig, 10, cpu);
        let ids: Vec<_> = (0..20).map(|_| rig.arrive(0)).collect();
        ids.iter().filter(|id| !rig.sent(**id).is_empty()).count()
    };
    assert_eq!(out(0.2), 20);
    assert!(out(0.95) <= 7, "bounds bind before latency shows the jam: {}", out(0.95));
}

#[test]
fn busy_reports_do_not_apply_while_latencies_are_good() {
    // Enough answers of the pool for its own latencies to judge: 0.7 busy is no pressure by itself.
    let mut rig = one_of_a_hundred(0, 0.7);
    serve_reporting(&mut rig, 20, 0.7);
    // Before that, the reports stood in; a period without reaching the bounds ends it.
    rig.pass(ms(1100));
    let ids: Vec<_> = (0..30).map(|_| rig.arrive(0)).collect();
    assert_eq!(ids.iter().filter(|id| !rig.sent(**id).is_empty()).count(), 30);
}

#[test]
fn class_past_its_objective_waits_before_it_is_rejected() {
    let mut settings = settings();
    settings.classes[1].late_weight = 0.0;
    let mut rig = Rig::new(settings, 1);
    // Long queries take twice their aim here, so that their targets lie before their arrival.
    for _ in 0..3 {
        let id = rig.arrive(1);
        rig.pass(ms(6000));
        rig.end(id, 0, Outcome::Ok);
    }
    // The one engine is full for a tenth of a second.
    let id = rig.arrive(1);
    rig.end(id, 0, Outcome::Rejected);
    rig.pass(ms(60));
    assert!(!rig.refused(id), "a moment without room is no overload");
    rig.pass(ms(60));
    assert_eq!(rig.sent(id).len(), 2);
}

#[test]
fn ties_go_to_the_least_slow_engine() {
    let mut rig = Rig::new(settings(), 3);
    rig.serve(0, 60, ms(20));
    let slow = rig.arrive(0);
    rig.pass(ms(80));
    rig.end(slow, 0, Outcome::Ok);
    let avoided = rig.sent(slow)[0];
    let ids = trickle(&mut rig, 8, |_| Some(Outcome::Ok));
    assert!(share(&rig, &ids, avoided.0) < 0.2, "one slow answer is enough for a tie");
}

#[test]
fn abandoned_work_is_demoted_where_nothing_is_cancelled() {
    let mut settings = settings();
    settings.limits.cancel = false;
    settings.engine.priorities = true;
    let mut rig = Rig::new(settings, 1);
    let (left, due) = (rig.arrive(1), rig.arrive(0));
    rig.step(&[Event::ClientDisconnected(left)]);
    rig.pass(ms(2995));
    for id in [left, due] {
        let fell =
            |a: &Action| matches!(a, Action::GrantResources { request, priority: 0, .. } if *request == id);
        assert!(rig.actions.iter().any(fell), "{id:?} goes on behind all else");
    }
}

#[test]
fn stalled_gateway_blames_no_engine() {
    let mut rig = Rig::new(settings(), 3);
    rig.serve(0, 60, ms(20));
    let id = rig.arrive(0);
    rig.now += 1_000_000;
    rig.end(id, 0, Outcome::Ok);
    let engine = rig.sent(id)[0];
    let ids = trickle(&mut rig, 9, |_| Some(Outcome::Ok));
    assert!(share(&rig, &ids, engine.0) > 0.2, "it took the gateway a second, not the engine");
}
