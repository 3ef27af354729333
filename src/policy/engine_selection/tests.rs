//! Tests of the selected engine and of the exclusion reason of every other engine.

use super::*;
use crate::interface::{
    DeduplicationScope, EndpointScope, EngineEntry, Idempotency, KindId, Outcome, RequestId, TableGroupId,
    ZoneId,
};
use crate::policy::outlier_detection::{eject, eject_on_gossip};
use crate::policy::tests::{at_ms, engines, request, settings};
use crate::state::{EngineDefaults, PossibleRun};
use std::time::Duration;

/// A pool of engines with all inputs of a selection.
struct TestPool {
    settings: Settings,
    engines: EngineTable,
    requests: RequestTable,
    pool: LoadEvidence,
    gateways: GatewayCounts,
}

impl TestPool {
    fn new(engine_count: u32) -> Self {
        Self {
            settings: settings(),
            engines: engines(engine_count),
            requests: RequestTable::new(2),
            pool: LoadEvidence::new(2),
            gateways: GatewayCounts::new(1),
        }
    }

    fn engine(&mut self, id: u32) -> &mut EngineRecord {
        self.engines.get_mut(EngineId(id)).expect("listed")
    }

    fn update(&mut self, entry: EngineEntry) {
        let defaults = EngineDefaults { classes: 2, gateways: &self.gateways, now: at_ms(0) };
        self.engines.update(&entry, 16.0, &defaults);
    }

    fn with_context<T>(&self, evaluate: impl FnOnce(&SelectionContext) -> T) -> T {
        let estimates = ClassEstimates::new(&self.settings);
        let slow_start = SlowStart::new(&self.settings, 7);
        evaluate(&SelectionContext {
            now: at_ms(0),
            settings: &self.settings,
            engines: &self.engines,
            requests: &self.requests,
            estimates: &estimates,
            pool: &self.pool,
            slow_start: &slow_start,
            gateways: &self.gateways,
            seed: 7,
        })
    }

    fn select(&self, request: &RequestRecord) -> (SelectedEngine, Vec<EngineExclusion>) {
        self.with_context(|context| {
            let selection = Selection::new(context, request);
            (selection.select(), selection.explain())
        })
    }

    fn selected(&self, request: &RequestRecord) -> Option<EngineId> {
        self.select(request).0.engine
    }

    /// Why engine 0 is not selected; `None` if it is.
    fn exclusion(&self, request: &RequestRecord) -> Option<ExclusionReason> {
        let explained = self.select(request).1;
        explained.iter().find(|exclusion| exclusion.engine == EngineId(0)).map(|exclusion| exclusion.reason)
    }
}

#[test]
fn fewest_own_queries_win_and_the_rest_are_outranked() {
    let mut pool = TestPool::new(3);
    for id in [0, 2] {
        pool.engine(id).attempts.add(RequestId(9), 1.0, false, at_ms(0));
    }
    let (selected, explained) = pool.select(&request(1, 0));
    assert_eq!(selected, SelectedEngine { engine: Some(EngineId(1)), limits_reached: vec![] });
    let outranked = |id| EngineExclusion { engine: EngineId(id), reason: ExclusionReason::Outranked };
    assert_eq!(explained, [outranked(0), outranked(2)]);
}

#[test]
fn retry_prefers_another_engine_even_if_it_is_busier() {
    let mut pool = TestPool::new(2);
    pool.engine(1).attempts.add(RequestId(9), 1.0, false, at_ms(0));
    let mut retry = request(1, 0);
    retry.last_engine = Some(EngineId(0));
    assert_eq!(pool.selected(&retry), Some(EngineId(1)));
}

#[test]
fn drain_and_placement_exclude_an_engine() {
    let mut pool = TestPool::new(1);
    pool.settings.classes[0].zones = Some(vec![ZoneId(1)]);
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::ZoneRestricted));
    pool.settings.classes[0].zones = None;
    pool.settings.classes[0].kinds = Some(vec![KindId(1)]);
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::KindRestricted));
    pool.update(EngineEntry { state: EngineState::Draining, ..EngineEntry::new(EngineId(0)) });
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::Draining));
    pool.update(EngineEntry::new(EngineId(0)));
    pool.engines.begin_update(EndpointScope::Complete);
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::NotInService));
}

#[test]
fn attempt_that_may_have_run_excludes_engines_by_idempotency() {
    let mut pool = TestPool::new(1);
    let mut retry = request(1, 0);
    retry.possible_run = Some(PossibleRun { group: Some(3), sent: at_ms(-100) });
    let mut reason = |idempotency| {
        pool.settings.classes[0].idempotency = idempotency;
        pool.exclusion(&retry)
    };
    let keyed = |scope, millis| Idempotency::Keyed { scope, window: Duration::from_millis(millis) };
    assert_eq!(reason(Idempotency::Idempotent), None);
    assert_eq!(reason(Idempotency::NonIdempotent), Some(ExclusionReason::RetryNotIdempotent));
    assert_eq!(reason(keyed(DeduplicationScope::All, 100)), Some(ExclusionReason::IdempotencyWindowOver));
    assert_eq!(reason(keyed(DeduplicationScope::Zone, 101)), Some(ExclusionReason::OtherDeduplicationGroup));
    assert_eq!(reason(keyed(DeduplicationScope::All, 101)), None);
}

#[test]
fn unhealthy_engines_are_excluded_with_their_reason() {
    let mut pool = TestPool::new(2);
    pool.engine(0).health.evaluate(Outcome::Rejected, at_ms(0));
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::Paused));
    let mut pool = TestPool::new(2);
    eject_on_gossip(&mut pool.engines, EngineId(0), TimeSpan::from_millis(500), at_ms(0));
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::EjectedByGossip));
    eject(&mut pool.engines, EngineId(0), at_ms(0));
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::Ejected));
    let mut pool = TestPool::new(2);
    eject(&mut pool.engines, EngineId(0), at_ms(-1000));
    pool.engine(0).attempts.add(RequestId(9), 1.0, false, at_ms(0));
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::OnProbation));
}

#[test]
fn engine_in_slow_start_is_excluded_once_its_budget_is_used() {
    let mut pool = TestPool::new(1);
    pool.engine(0).slow_start.set_started(at_ms(0));
    assert_eq!(pool.selected(&request(1, 0)), Some(EngineId(0)));
    let mut slow_start = SlowStart::new(&pool.settings, 7);
    slow_start.record_send(&mut pool.engine(0).slow_start, 30e6, at_ms(0));
    assert_eq!(pool.exclusion(&request(1, 0)), Some(ExclusionReason::SlowStartBudget));
}

#[test]
fn tables_that_a_bulk_load_locks_exclude_its_engine() {
    let mut pool = TestPool::new(1);
    pool.settings.classes[0].waits_for_loads = true;
    let (mut load, mut waiting) = (request(9, 1), request(1, 0));
    load.arrival.table_group = Some(TableGroupId(4));
    waiting.arrival.table_group = Some(TableGroupId(4));
    pool.requests.add(load, false);
    pool.engine(0).attempts.add(RequestId(9), 4.0, true, at_ms(0));
    assert_eq!(pool.exclusion(&waiting), Some(ExclusionReason::TableLocked));
    waiting.arrival.table_group = Some(TableGroupId(5));
    assert_eq!(pool.exclusion(&waiting), None);
}

#[test]
fn reached_limit_is_enforced_only_under_pressure() {
    let mut pool = TestPool::new(1);
    pool.engine(0).attempts.add(RequestId(9), 24.0, false, at_ms(0));
    let reached = vec![EngineId(0)];
    let selected = pool.select(&request(1, 0)).0;
    assert_eq!(selected, SelectedEngine { engine: Some(EngineId(0)), limits_reached: reached.clone() });
    pool.engine(0).limit.mark_full(at_ms(0));
    let (selected, explained) = pool.select(&request(1, 0));
    assert_eq!(selected, SelectedEngine { engine: None, limits_reached: reached });
    assert_eq!(explained[0].to_string(), "engine 0: concurrency limit of the engine is reached");
}

#[test]
fn open_connection_outweighs_a_small_difference_in_slowdown() {
    let mut pool = TestPool::new(2);
    pool.settings.engine.idle_timeout = Some(Duration::from_millis(1000));
    pool.engine(1).attempts.add(RequestId(9), 1.0, false, at_ms(-500));
    pool.engine(1).attempts.remove(RequestId(9), 1.0);
    let estimates = ClassEstimates::new(&pool.settings);
    let prior = SlowdownPrior::new(&pool.pool, &estimates);
    pool.engine(1).slowdown.observe(1.4, &prior, at_ms(0));
    assert_eq!(
        pool.selected(&request(1, 0)),
        Some(EngineId(1)),
        "slowdown is higher by 0.2, less than the penalty"
    );
    pool.engine(1).slowdown.observe(1.5, &prior, at_ms(0));
    assert_eq!(
        pool.selected(&request(1, 0)),
        Some(EngineId(0)),
        "slowdown is higher by 0.35, more than the penalty"
    );
}

#[test]
fn burst_allowance_is_zero_for_one_gateway_and_larger_for_the_class_of_highest_value_density() {
    let mut pool = TestPool::new(10);
    pool.engines.values_mut().for_each(|engine| engine.limit.scale(0.01));
    // The limits add up to 2.4 threads. At 100 gateways the burst allowance is 6.2 threads for either class.
    let mut has_capacity = |gateways, class: usize, threads_in_use| {
        pool.gateways = GatewayCounts::new(gateways);
        pool.engine(0).attempts = crate::state::EngineAttempts::new(at_ms(0));
        pool.engine(0).attempts.add(RequestId(9), threads_in_use, false, at_ms(0));
        pool.with_context(|context| {
            let threads = f64::from(context.settings.classes[class].threads);
            pool_has_capacity(context, ClassId(class), threads)
        })
    };
    assert!(!has_capacity(1, 0, 1.5) && has_capacity(1, 0, 1.4));
    assert!(!has_capacity(100, 1, 4.6) && has_capacity(100, 1, 4.5));
    assert!(!has_capacity(100, 0, 7.6) && has_capacity(100, 0, 7.5));
}
