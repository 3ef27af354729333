//! Limits on the work sent to engines that have just started.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn fast_errors_do_not_overload_an_engine_in_slow_start() {
    let mut fixture = SchedulerFixture::new(settings(), 3);
    fixture.serve(QUICK, 200, ms(20));
    fixture.start_engine(3);
    let first_fails = |id: EngineId| Some(if id.0 == 0 { Outcome::Error } else { Outcome::Ok });
    let ids = fixture.run_sparse_traffic(80, first_fails);
    let share = fixture.share_sent_to(3, &ids);
    assert!(share < 0.4, "a warmed-up engine would get a third: {share}");
}

#[test]
fn hundreds_of_gateways_keep_to_a_slow_start_budget() {
    // All gateways learn of the new engine at the same time, and the wide queries that they have waiting would fill it.
    let sent = (0..300u64)
        .filter(|seed| {
            let mut settings = settings();
            (settings.gateways, settings.ordinal) = (300, *seed as u32);
            let mut fixture = SchedulerFixture::with_seed(settings, 75, *seed);
            fixture.serve(LONG, 8, ms(500));
            fixture.start_engine(99);
            let ids = fixture.arrive_many(LONG, 3);
            fixture.advance(ms(100));
            ids.iter().any(|id| fixture.engines_tried(*id).contains(&EngineId(99)))
        })
        .count();
    assert!(sent <= 12, "the budget is twelve queries of four threads and half a second each: {sent} sent");
}
