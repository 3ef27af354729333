//! Attempts that are cancelled for a retry, and those that are not.

mod common;

use common::*;
use reedwalk_scheduler::*;

/// Two engines that send progress reports each half second.
fn fixture_with_progress_reports() -> SchedulerFixture {
    let mut settings = settings();
    settings.engine.progress_interval = Some(ms(500));
    SchedulerFixture::new(settings, 2)
}

#[test]
fn attempt_without_progress_reports_is_retried_elsewhere() {
    let mut fixture = fixture_with_progress_reports();
    fixture.run_sparse_traffic(30, |_| Some(Outcome::Ok));
    let (lost, reported) = (fixture.arrive(LONG), fixture.arrive(LONG));
    for _ in 0..5 {
        fixture.advance(ms(400));
        fixture.report_progress(reported, 0, ProgressReport::WaitingForMemory);
        // Both engines still answer other requests.
        fixture.run_sparse_traffic(2, |_| Some(Outcome::Ok));
    }
    assert!(fixture.is_cancelled(lost));
    assert!(!fixture.is_cancelled(reported), "its engine has reported on it");
    fixture.end_attempt(lost, 0, Outcome::Cancelled);
    fixture.advance(ms(50));
    assert_eq!(fixture.engines_tried(lost).len(), 2);
    assert_eq!(fixture.ejections(), []);
}

#[test]
fn answer_after_its_cancellation_ends_the_request() {
    let mut fixture = fixture_with_progress_reports();
    fixture.serve(LONG, 10, ms(500));
    let id = fixture.arrive(LONG);
    fixture.advance(ms(500));
    fixture.report_progress(id, 0, ProgressReport::FractionDone(0.01));
    assert!(fixture.is_cancelled(id), "a hundredth done in the usual time: a bad plan");
    fixture.end_attempt(id, 0, Outcome::Ok);
    fixture.advance(ms(200));
    assert_eq!(fixture.engines_tried(id).len(), 1);
    assert!(!fixture.is_rejected(id) && !fixture.is_failed(id));
}

#[test]
fn runaway_query_is_cancelled_once() {
    let mut fixture = fixture_with_progress_reports();
    fixture.serve(LONG, 10, ms(500));
    let attempts_of_a_costly_query = |fixture: &mut SchedulerFixture| {
        let id = fixture.arrive(LONG);
        for attempt in 0..2 {
            fixture.advance(ms(500));
            fixture.report_progress(id, attempt, ProgressReport::FractionDone(0.1));
            let is_last = fixture.engines_tried(id).len() as u32 == attempt + 1;
            if is_last && fixture.is_cancelled(id) && attempt == 0 {
                fixture.end_attempt(id, 0, Outcome::Cancelled);
            }
        }
        fixture.advance(ms(4500));
        fixture.end_attempt(id, fixture.engines_tried(id).len() as u32 - 1, Outcome::Ok);
        fixture.engines_tried(id).len()
    };
    let attempts: Vec<_> = (0..10).map(|_| attempts_of_a_costly_query(&mut fixture)).collect();
    assert_eq!(attempts[0], 2, "once");
    assert_eq!(attempts[9], 1, "costly in themselves: retries have not helped: {attempts:?}");
}

#[test]
fn attempt_that_cannot_finish_before_its_deadline_is_cancelled() {
    let mut fixture = fixture_with_progress_reports();
    fixture.serve(LONG, 10, ms(500));
    let id = fixture.arrive(LONG);
    for attempt in 0..3 {
        fixture.advance(ms(500));
        fixture.report_progress(id, attempt, ProgressReport::FractionDone(0.01));
        fixture.end_attempt(id, attempt, Outcome::Cancelled);
    }
    assert_eq!(fixture.engines_tried(id).len(), 3, "two retries, each with a new plan");
    assert!(fixture.is_rejected(id), "then it is answered, not run in vain");
}
