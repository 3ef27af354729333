//! Engine selection: the engine that a request's next attempt goes to, and for every other engine why not.
//!
//! The design's routing: fewest own queries among the engines with capacity. One function,
//! [`Selection::assess`], says why an engine cannot serve a request; the selection and the explanation for
//! the log both use it.

use super::class_estimates::ClassEstimates;
use super::concurrency_limits::PressureRule;
use super::gateway_counts::GatewayCounts;
use super::load_evidence::{LoadEvidence, SlowdownPrior};
use super::retry_policy::RepetitionRule;
use super::slow_start::{SlowStart, SlowStartQuery};
use crate::interface::{
    ClassId, ClassSettings, EngineExclusion, EngineId, EngineState, ExclusionReason, Settings,
};
use crate::state::{EngineRecord, EngineTable, RequestRecord, RequestTable, mix64};
use crate::time::{TimeSpan, Timestamp};

/// Slowdown that a new connection counts for: an engine with no connection of this gateway is taken where the
/// others look slower by more than this, in best latencies. A gateway with little traffic would otherwise
/// keep opening connections to all engines in turn (3,800 to 4,300 for 11,000 requests before). With 0.5 no
/// gain showed.
const CONNECT_PENALTY: f64 = 0.25;
/// Slowdowns that differ by less than one over this are equal.
const SLOWDOWN_STEPS: f64 = 16.0;
/// Standard deviations of chance that a gateway may use beyond its part of the pool: one in 40 is beyond two.
const BURST_DEVIATIONS: f64 = 2.0;
/// The same for the class of the highest value density: as much again. With one for the other classes in
/// place of two the score was 0.75 (0.80).
const RESERVED_BURST_DEVIATIONS: f64 = 2.0 * BURST_DEVIATIONS;

/// What a selection reads. It changes nothing.
pub(crate) struct SelectionContext<'a> {
    /// Present time.
    pub(crate) now: Timestamp,
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// The engines.
    pub(crate) engines: &'a EngineTable,
    /// The requests, for the tables that bulk loads lock.
    pub(crate) requests: &'a RequestTable,
    /// What the classes usually need.
    pub(crate) estimates: &'a ClassEstimates,
    /// The pool's load.
    pub(crate) pool: &'a LoadEvidence,
    /// The rule of slow start.
    pub(crate) slow_start: &'a SlowStart,
    /// How many gateways share the pool.
    pub(crate) gateways: &'a GatewayCounts,
    /// Breaks ties between engines, differently for each gateway.
    pub(crate) seed: u64,
}

/// The engine that was selected, if any, and those whose concurrency limits were reached on the way.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SelectedEngine {
    /// The engine; `None` where no engine can serve the request now.
    pub(crate) engine: Option<EngineId>,
    /// Engines at which the request exceeds the concurrency limit, whether that binds or not: they may be
    /// raised.
    pub(crate) limits_reached: Vec<EngineId>,
}

/// What an engine says to a request.
struct Assessment {
    /// Why it cannot serve the request, if it cannot.
    exclusion: Option<ExclusionReason>,
    /// The request exceeds its concurrency limit.
    is_limit_reached: bool,
}

/// Rank of an engine that can serve a request. The lowest is selected; each field decides where those before
/// it are equal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineRank {
    /// The request's last attempt went there: another engine is better for a retry.
    had_last_attempt: bool,
    /// Own attempts in flight there: the design's fewest own queries.
    in_flight: usize,
    /// How slow it looks, with the penalty of a new connection, in steps of 1/16 of the best latency. Zero
    /// for bulk loads.
    slowdown_steps: u64,
    /// It is in another zone than this gateway.
    is_in_other_zone: bool,
    /// When this gateway last sent something there: the engine that has waited longest is next.
    last_sent: Timestamp,
    /// A number of the engine that differs between gateways, so that they don't all choose the same engine.
    tie_breaker: u64,
    /// The engine itself; last, so that the order is total.
    engine: EngineId,
}

/// The selection of an engine for one request.
pub(crate) struct Selection<'a> {
    context: &'a SelectionContext<'a>,
    request: &'a RequestRecord,
    class: &'a ClassSettings,
    threads: f64,
    query: SlowStartQuery,
    /// Where the request may be sent, as an attempt of it may have run.
    repetition: RepetitionRule,
    pressure: PressureRule<'a>,
    slowdown_prior: SlowdownPrior,
    /// All that is in flight and the request fit in all limits together.
    pool_has_capacity: bool,
}

impl<'a> Selection<'a> {
    /// A selection for a request's next attempt.
    pub(crate) fn new(context: &'a SelectionContext<'a>, request: &'a RequestRecord) -> Self {
        let class_id = request.arrival.class;
        let class = &context.settings.classes[class_id.0];
        let threads = f64::from(class.threads);
        let work_us = context.estimates.usual_work_us(class_id);
        Self {
            context,
            request,
            class,
            threads,
            query: SlowStartQuery { class: class_id, work_us },
            repetition: RepetitionRule::new(class.idempotency, request.possible_run, context.now),
            pressure: PressureRule { pool: context.pool, gateways: context.gateways, now: context.now },
            slowdown_prior: SlowdownPrior::new(context.pool, context.estimates),
            pool_has_capacity: pool_has_capacity(context, class_id, threads),
        }
    }

    /// The engine with the lowest rank among those that can serve the request.
    pub(crate) fn select(&self) -> SelectedEngine {
        let (mut best, mut limits_reached) = (None, Vec::new());
        for (id, engine) in self.context.engines.iter() {
            let assessment = self.assess(engine);
            if assessment.is_limit_reached {
                limits_reached.push(id);
            }
            if assessment.exclusion.is_some() {
                continue;
            }
            let rank = self.rank(id, engine);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        SelectedEngine { engine: best.map(|rank| rank.engine), limits_reached }
    }

    /// For every engine but the one that would be selected, why it is not.
    pub(crate) fn explain(&self) -> Vec<EngineExclusion> {
        let selected = self.select().engine;
        let others = self.context.engines.iter().filter(|(id, _)| Some(*id) != selected);
        let explained = others.map(|(engine, record)| {
            let reason = self.assess(record).exclusion.unwrap_or(ExclusionReason::Outranked);
            EngineExclusion { engine, reason }
        });
        explained.collect()
    }

    /// Whether an engine can serve the request, and if not, why. The reasons are looked at in this order:
    /// drain, placement and retries; health; slow start; locked tables; the concurrency limit.
    ///
    /// It runs once for each engine and request, so it is inlined with what it calls: 8% fewer
    /// instructions a request with 20 engines.
    #[inline]
    fn assess(&self, engine: &EngineRecord) -> Assessment {
        let exclusion = self.placement_exclusion(engine).or_else(|| {
            let now = self.context.now;
            engine.health.exclusion(engine.attempts.in_flight(), now).or_else(|| self.load_exclusion(engine))
        });
        if exclusion.is_some() {
            return Assessment { exclusion, is_limit_reached: false };
        }
        let is_limit_reached = self.is_limit_reached(engine);
        let is_limited = is_limit_reached && self.pressure.applies(engine);
        let exclusion = is_limited.then_some(ExclusionReason::LimitReached);
        Assessment { exclusion, is_limit_reached }
    }

    /// Rules of drain, placement and retries: may this request go there at all?
    #[inline]
    fn placement_exclusion(&self, engine: &EngineRecord) -> Option<ExclusionReason> {
        let (entry, class) = (&engine.entry, self.class);
        if engine.out_of_service {
            let is_draining = entry.state == EngineState::Draining;
            return Some(if is_draining { ExclusionReason::Draining } else { ExclusionReason::NotInService });
        }
        if let Some(zones) = &class.zones
            && !entry.zone.is_some_and(|zone| zones.contains(&zone))
        {
            return Some(ExclusionReason::ZoneRestricted);
        }
        if let Some(kinds) = &class.kinds
            && !entry.kind.is_some_and(|kind| kinds.contains(&kind))
        {
            return Some(ExclusionReason::KindRestricted);
        }
        self.repetition.exclusion(entry)
    }

    #[inline]
    fn load_exclusion(&self, engine: &EngineRecord) -> Option<ExclusionReason> {
        let context = self.context;
        if !context.slow_start.admits(&self.query, engine, context.gateways, context.now) {
            Some(ExclusionReason::SlowStartBudget)
        } else if self.is_locked(engine) {
            Some(ExclusionReason::TableLocked)
        } else {
            None
        }
    }

    /// A bulk load of this gateway locks the request's tables there: it would be blocked and keep its memory,
    /// so it waits for another engine or the load's end. Guards against hot tables; blind to others' loads.
    fn is_locked(&self, engine: &EngineRecord) -> bool {
        (self.class.is_load || self.class.waits_for_loads)
            && self.request.arrival.table_group.is_some()
            && engine
                .attempts
                .loads()
                .iter()
                .any(|load| self.context.requests.shares_table_group(*load, self.request))
    }

    /// The request exceeds the engine's limit. A limit below one query's threads still allows one query an
    /// engine, while the pool has capacity.
    fn is_limit_reached(&self, engine: &EngineRecord) -> bool {
        engine.limit.is_exceeded_by(engine.attempts.threads(), self.threads)
            && (engine.attempts.in_flight() > 0 || !self.pool_has_capacity)
    }

    fn rank(&self, id: EngineId, engine: &EngineRecord) -> EngineRank {
        let context = self.context;
        let connect_penalty = if self.is_connected(engine) { 0.0 } else { CONNECT_PENALTY };
        let slowdown = if self.class.is_load {
            0.0
        } else {
            engine.slowdown.estimate(&self.slowdown_prior, context.now)
        };
        EngineRank {
            had_last_attempt: self.request.last_engine == Some(id),
            in_flight: engine.attempts.in_flight(),
            slowdown_steps: ((slowdown + connect_penalty) * SLOWDOWN_STEPS) as u64,
            is_in_other_zone: context.settings.zone.is_some() && engine.entry.zone != context.settings.zone,
            last_sent: engine.attempts.last_sent(),
            tie_breaker: mix64(u64::from(id.0) ^ context.seed),
            engine: id,
        }
    }

    /// A connection of this gateway to the engine should still be open. An engine in slow start counts as
    /// connected: it needs connections from all gateways.
    fn is_connected(&self, engine: &EngineRecord) -> bool {
        let (context, attempts) = (self.context, &engine.attempts);
        let idle = context.now - attempts.last_sent();
        let timeout = context.settings.engine.idle_timeout;
        attempts.in_flight() > 0
            || timeout.is_none_or(|timeout| idle < TimeSpan::from(timeout))
            || !context.slow_start.is_warm(&engine.slow_start, context.now)
    }
}

/// One query an engine is too much from many gateways: where a limit is below a query's threads, all that is
/// in flight must fit in all limits together, with the allowance for bursts.
fn pool_has_capacity(context: &SelectionContext, class: ClassId, threads: f64) -> bool {
    let (mut in_flight, mut limits) = (0.0, 0.0);
    for engine in context.engines.in_service() {
        if engine.health.exclusion(engine.attempts.in_flight(), context.now).is_none() {
            in_flight += engine.attempts.threads();
            limits += engine.limit.threads();
        }
    }
    in_flight == 0.0 || in_flight + threads <= limits + burst_allowance(context, class, limits, threads)
}

/// Threads that a gateway may use beyond its part of the pool, as its traffic swings by chance. With limits
/// `l`, a query's threads `t` and `g` gateways: `2 sqrt(l t (1 - 1/g))`, two standard deviations of a number
/// of queries whose mean fills the part; none for a single gateway.
///
/// The pool bears the sum over all gateways, in which the swings of many cancel out; held to its even part,
/// each would reject what others leave free (before this allowance, at 100 gateways, the limits were the
/// reason in 9 of 10 cases in which a request found no engine). Costs where all gateways have too much at
/// once, until the limits are cut. The class of the highest value density has four deviations, a reserve of
/// its own, as in trunk reservation: one wide query that runs for seconds would shut out many of it. Not in
/// the design, which leaves guards to this program.
fn burst_allowance(context: &SelectionContext, class: ClassId, limits: f64, threads: f64) -> f64 {
    let has_reserve = context.estimates.has_max_value_density(class);
    let deviations = if has_reserve { RESERVED_BURST_DEVIATIONS } else { BURST_DEVIATIONS };
    deviations * (limits * threads * (1.0 - 1.0 / context.gateways.live())).sqrt()
}

#[cfg(test)]
mod tests;
