//! Limits on the threads in use per engine: their division among gateways, and the evidence that shows pressure.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn limit_does_not_apply_without_pressure() {
    let mut settings = settings();
    settings.gateways = 8;
    // 1.5 threads per core on 16 cores, divided by 8 gateways: a limit of 3, which applies only under pressure.
    let mut fixture = SchedulerFixture::new(settings, 1);
    let ids = fixture.arrive_many(QUICK, 8);
    assert!(ids.iter().all(|id| fixture.engines_tried(*id).len() == 1));
}

#[test]
fn limit_of_a_full_engine_applies() {
    let mut settings = settings();
    settings.gateways = 8;
    let mut fixture = SchedulerFixture::new(settings, 1);
    let ids = fixture.arrive_many(QUICK, 4);
    fixture.end_attempt(ids[3], 0, Outcome::Rejected);
    fixture.advance(ms(150));
    let waiting = fixture.arrive(QUICK);
    assert!(fixture.engines_tried(waiting).is_empty(), "three threads are in use, and the limit is three");
    fixture.end_attempt(ids[0], 0, Outcome::Ok);
    assert_eq!(sends(&fixture.actions).len(), 5, "one attempt has ended, so the next request is sent");
}

/// The engine rejects a query. The scheduler treats it as full and sends it nothing for 100 ms.
fn reject_one(fixture: &mut SchedulerFixture) {
    let id = fixture.arrive(QUICK);
    fixture.end_attempt(id, 0, Outcome::Rejected);
    fixture.advance(ms(150));
}

/// Number of queries that are sent to a single engine under pressure.
fn limit_under_pressure(fixture: &mut SchedulerFixture) -> usize {
    let ids = fixture.arrive_many(QUICK, 60);
    let sent: Vec<_> = ids.iter().filter(|id| fixture.engines_tried(**id).len() == 1).copied().collect();
    fixture.end_attempt(sent[sent.len() - 1], 0, Outcome::Rejected);
    sent.len()
}

#[test]
fn slow_class_lowers_the_limit_once_a_period_down_to_the_minimum() {
    let mut fixture = SchedulerFixture::new(settings(), 1);
    // The initial limit is 1.5 x 16 = 24 threads; using more than that is itself a sign of pressure.
    assert_eq!(limit_under_pressure(&mut fixture), 25);

    let limit_after = |periods: u64| {
        let mut fixture = SchedulerFixture::new(settings(), 1);
        for _ in 0..periods {
            // Latency at twice the objective, so that a period lowers the limit to no less than half.
            let ids = fixture.arrive_many(QUICK, 8);
            fixture.advance(ms(600));
            fixture.serve_all(&ids);
            fixture.advance(ms(450));
        }
        reject_one(&mut fixture);
        limit_under_pressure(&mut fixture)
    };
    let (once, often) = (limit_after(1), limit_after(12));
    assert!((11..=13).contains(&once), "24 threads divided once by f = 2: {once}");
    assert_eq!(often, 8, "the minimum, half a thread per core");
}

#[test]
fn limit_rises_only_when_reached_and_within_the_objective() {
    let mut settings = settings();
    settings.gateways = 8;
    let limit = |reached: bool, latency_ms: u64| {
        let mut fixture = SchedulerFixture::new(settings.clone(), 1);
        for _ in 0..40 {
            let ids = fixture.arrive_many(QUICK, if reached { 4 } else { 2 });
            fixture.advance(ms(latency_ms));
            fixture.serve_all(&ids);
        }
        // A full engine is under pressure, so the number of queries sent after the pause shows its limit.
        reject_one(&mut fixture);
        let ids = fixture.arrive_many(QUICK, 30);
        ids.iter().filter(|id| fixture.engines_tried(**id).len() == 1).count()
    };
    let (raised, unreached, over) = (limit(true, 100), limit(false, 100), limit(true, 400));
    assert!(raised > unreached, "reached and within the objective: {raised}, not reached: {unreached}");
    assert!(raised > over, "reached and within the objective: {raised}, beyond it: {over}");
}

#[test]
fn many_gateways_do_not_each_fill_an_engine() {
    let sent_by_one_of = |gateways| {
        let mut settings = settings();
        settings.gateways = gateways;
        let mut fixture = SchedulerFixture::new(settings, 1);
        let ids = fixture.arrive_many(QUICK, 60);
        fixture.sent_count(&ids)
    };
    assert_eq!(sent_by_one_of(1), 25, "1.5 threads per core on 16 cores, and the query that shows pressure");
    assert!(sent_by_one_of(9) <= 9, "a third of it with nine gateways: {}", sent_by_one_of(9));
}

#[test]
fn wide_queries_use_the_sum_of_the_limits() {
    let mut settings = settings();
    settings.gateways = 12;
    // A limit of 2 threads on each of twelve engines and a burst allowance of 19: ten queries of four threads.
    let mut fixture = SchedulerFixture::new(settings, 12);
    for _ in 0..2 {
        let id = fixture.arrive(LONG);
        for attempt in 0..3 {
            fixture.end_attempt(id, attempt, Outcome::Rejected);
        }
    }
    fixture.advance(ms(300));
    let before = sends(&fixture.actions).len();
    fixture.arrive_many(LONG, 12);
    assert_eq!(sends(&fixture.actions).len() - before, 10);
}

#[test]
fn a_hundred_gateways_absorb_bursts() {
    // Each gateway's share is 7.2 threads. First it gets a random number of queries, then five times its share.
    let sent_by_all = |queries: &dyn Fn(u64) -> usize| -> (usize, usize) {
        let send_from_one = |ordinal| {
            let mut fixture = fixture_of_100_gateways(ordinal, 0.95);
            let ids = fixture.arrive_many(QUICK, queries(ordinal));
            (fixture.sent_count(&ids), ids.len())
        };
        (0..100).map(send_from_one).fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
    };
    // A binomially distributed number with mean 7: the count of ones among 14 hashed bits.
    let binomial = |n: u64| ((n + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) & 0x3FFF).count_ones() as usize;
    let (sent, all) = sent_by_all(&binomial);
    assert!(
        all > 600 && sent * 100 >= all * 97,
        "{sent} of {all} sent: the sum of the limits bounds the pool"
    );
    let (sent, all) = sent_by_all(&|_| 36);
    assert!(
        sent <= 1800,
        "{sent} of {all} sent: when all are overloaded, the limits of 720 threads and the burst allowances hold"
    );
}

#[test]
fn wide_queries_do_not_displace_the_highest_value_density() {
    let mut fixture = fixture_of_100_gateways(0, 0.95);
    let long = fixture.arrive_many(LONG, 8);
    assert_eq!(fixture.sent_count(&long), 4, "16 threads: the share of 7.2 and the burst allowance");
    let quick = fixture.arrive(QUICK);
    assert_eq!(fixture.sent_count(&[quick]), 1);
}

#[test]
fn sparse_evidence_is_completed_from_the_pool() {
    // At most one slow answer from each of twenty engines; only together do they show pressure.
    let sent_after = |latency| {
        let mut settings = settings();
        settings.gateways = 300;
        let mut fixture = SchedulerFixture::new(settings, 20);
        fixture.serve(QUICK, 120, ms(20));
        fixture.serve(QUICK, 20, ms(latency));
        let ids = fixture.arrive_many(QUICK, 20);
        fixture.sent_count(&ids)
    };
    assert_eq!(sent_after(20), 20, "without pressure no limit applies");
    assert!(sent_after(200) <= 7, "under pressure the sum of the limits applies: {}", sent_after(200));
}

#[test]
fn load_reports_are_used_where_own_latencies_are_few() {
    let sent_at_utilization = |cpu| {
        let mut settings = settings();
        settings.gateways = 300;
        let mut fixture = SchedulerFixture::new(settings, 20);
        fixture.serve_with_utilization(10, cpu);
        let ids = fixture.arrive_many(QUICK, 20);
        fixture.sent_count(&ids)
    };
    assert_eq!(sent_at_utilization(0.2), 20);
    let sent = sent_at_utilization(0.95);
    assert!(sent <= 7, "limits apply before latencies show the pressure: {sent}");
}

#[test]
fn busy_reports_do_not_apply_while_latencies_are_good() {
    // With enough answers from the pool, latencies decide: a utilization of 0.7 alone is no pressure.
    let mut fixture = fixture_of_100_gateways(0, 0.7);
    fixture.serve_with_utilization(20, 0.7);
    // Load reports decided before that; a period in which no limit is reached ends the pressure.
    fixture.advance(ms(1100));
    let ids = fixture.arrive_many(QUICK, 30);
    assert_eq!(fixture.sent_count(&ids), 30);
}

#[test]
fn invalid_load_reports_change_nothing() {
    let sends_with_reports = |load: Option<LoadReport>| {
        let mut fixture = SchedulerFixture::new(settings(), 3);
        for _ in 0..50 {
            let request = fixture.arrive(QUICK);
            fixture.advance(ms(40));
            fixture.serve_with_load_report(request, load);
        }
        sends(&fixture.actions)
    };
    let invalid = LoadReport { queue: Some(f64::INFINITY), cpu: Some(f64::NAN), ..LoadReport::default() };
    assert_eq!(sends_with_reports(None), sends_with_reports(Some(invalid)));
}
