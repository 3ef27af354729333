//! Concurrency limits: how many threads this gateway may use on an engine under pressure, and when an engine
//! counts as under pressure.
//!
//! This is the design's form of the paper's multi-programming limit (section 6.1): each engine has a limit of
//! running threads. It is multiplied by 1/f when the mean execution time of a class there is f > 1 times its
//! objective, and raised by a quarter each second if it was reached and every class is within its objective.
//! It binds only while the engine is under pressure.

use super::gateway_counts::GatewayCounts;
use super::load_evidence::LoadEvidence;
use super::{CONTROL_PERIOD, MIN_SAMPLES, PRESSURE_SLOWDOWN};
use crate::state::{EngineRecord, EngineTable};
use crate::time::{TimeSpan, Timestamp};

/// Initial limit of the design, in threads per core over all gateways.
const INITIAL_THREADS_PER_CORE: f64 = 1.5;
/// Lowest limit of the design, in threads per core over all gateways.
const MIN_THREADS_PER_CORE: f64 = 0.5;
/// Factor by which the design raises a limit per control period.
const RAISE_FACTOR: f64 = 1.25;
/// Mean reported utilization of an engine's scarcest resource above which it is under pressure, if there are
/// no latency samples. Latencies take precedence because a utilization of 0.6 is normal in daily operation.
const PRESSURE_UTILIZATION: f64 = 0.6;
/// Minimum number of attempts in flight for their mean age to indicate pressure.
const MIN_IN_FLIGHT_SAMPLES: f64 = 3.0;
/// Mean age of the attempts in flight over the unloaded time of their class above which an engine is under
/// pressure. Unlike completions, these attempts are still running, and the most recent ones lower the mean.
const PRESSURE_AGE_RATIO: f64 = 2.0 * PRESSURE_SLOWDOWN;
/// How long an engine counts as under pressure after it has rejected an attempt.
const FULL_TTL: TimeSpan = CONTROL_PERIOD;

/// Concurrency limit of one engine.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    threads: f64,
    /// Whether a request found no capacity under the limit in this control period.
    is_reached: bool,
    /// Whether the engine showed pressure in the latest round of housekeeping.
    shows_pressure: bool,
    /// Whether the engine counts as under pressure: it showed pressure in this control period, or before and
    /// the limit was reached in every period since.
    is_under_pressure: bool,
    /// End of the time for which the engine counts as full because it has rejected an attempt.
    full_until: Timestamp,
}

impl ConcurrencyLimit {
    /// Initial limit of the design: this gateway's share of 1.5 threads per core.
    pub(crate) fn initial(cores: f64, gateways: &GatewayCounts) -> Self {
        Self { threads: gateways.thread_share(INITIAL_THREADS_PER_CORE, cores), ..Self::default() }
    }

    /// Number of threads that this gateway may use on the engine while it is under pressure.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// Whether a query with `query_threads` threads would exceed the limit, given the threads in use.
    pub(crate) fn is_exceeded_by(&self, threads_in_use: f64, query_threads: f64) -> bool {
        threads_in_use + query_threads > self.threads
    }

    /// Records that a request found no capacity under the limit, so that the limit may be raised.
    pub(crate) fn mark_reached(&mut self) {
        self.is_reached = true;
    }

    /// Records that the engine has rejected an attempt because it is full.
    pub(crate) fn mark_full(&mut self, now: Timestamp) {
        self.full_until = now + FULL_TTL;
    }

    /// Scales the limit after a change of this gateway's share of the pool.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.threads *= factor;
    }

    /// Records whether the engine shows pressure. While the limit is reached, the engine stays under
    /// pressure: if that ended at once, all waiting requests would be sent together.
    fn update_pressure(&mut self, shows_pressure: bool) {
        self.shows_pressure = shows_pressure;
        self.is_under_pressure |= shows_pressure;
    }

    /// Adjusts the limit once per control period. Cuts it by the largest f of all classes, but not below
    /// `min_threads`; or raises it by a quarter if it was reached, all classes are within their objectives
    /// and the engine shows no pressure.
    fn adjust(&mut self, assessment: &LoadAssessment, min_threads: f64) {
        if assessment.objective_ratio > 1.0 {
            self.threads = (self.threads / assessment.objective_ratio).max(min_threads);
        } else if self.is_reached && assessment.is_within_objectives && !self.shows_pressure {
            self.threads *= RAISE_FACTOR;
        }
        self.is_under_pressure = self.shows_pressure || self.is_reached && self.is_under_pressure;
        self.is_reached = false;
    }
}

/// Load of an engine according to the latest evidence.
struct LoadAssessment {
    /// The design's f: the largest ratio of execution time to objective over all classes; or the ratio of the
    /// slowdown to the pressure threshold, if that is larger.
    objective_ratio: f64,
    is_within_objectives: bool,
}

impl LoadAssessment {
    /// Uses the pool's samples for an engine that has too few of its own: with many gateways, none of them
    /// gathers enough for each engine. Stretched objectives extend beyond the point where engines lose
    /// throughput, so a slowdown above the pressure threshold counts as a missed objective as well.
    fn new(engine: &LoadEvidence, pool: &LoadEvidence, classes: usize) -> Self {
        let objective_ratio = |class| {
            let engine_mean = engine.objective_ratio(class).get(MIN_SAMPLES);
            engine_mean.or(pool.objective_ratio(class).get(MIN_SAMPLES))
        };
        let pressure_ratio = |evidence: &LoadEvidence| {
            let slowdown = evidence.slowdown_since_cut(MIN_SAMPLES / 2.0);
            slowdown.map(|slowdown| slowdown / PRESSURE_SLOWDOWN)
        };
        let class_ratios = (0..classes).filter_map(objective_ratio);
        let max_ratio =
            class_ratios.chain(pressure_ratio(engine).or(pressure_ratio(pool))).fold(0.0, f64::max);
        let is_within = |class| objective_ratio(class).unwrap_or(engine.objective_ratio(class).value) <= 1.0;
        Self { objective_ratio: max_ratio, is_within_objectives: (0..classes).all(is_within) }
    }
}

/// Conditions under which the limits bind.
pub(crate) struct PressureRule<'a> {
    /// Load evidence of the whole pool.
    pub(crate) pool: &'a LoadEvidence,
    /// Number of gateways that share the pool.
    pub(crate) gateways: &'a GatewayCounts,
    pub(crate) now: Timestamp,
}

impl PressureRule<'_> {
    /// Whether an engine is under pressure, now or since its limit was reached.
    pub(crate) fn applies(&self, engine: &EngineRecord) -> bool {
        engine.limit.is_under_pressure || self.shows_pressure(engine)
    }

    /// The design's condition for a limit to bind: latency far above the best one, or a full engine. Any of
    /// the following:
    ///
    /// - The engine has rejected an attempt within the last control period.
    /// - Its mean slowdown is above 2. With too few samples, the pool's mean slowdown is used; if that has
    ///   too few as well, a reported utilization above 0.6.
    /// - The mean age of the attempts in flight there (or else in the pool) is above 4 unloaded times.
    /// - Two or more attempts of this gateway use more threads than `1.5 cores / sqrt(gateways)`, which lies
    ///   between an even share and the whole engine. Recent attempts show no latency yet.
    fn shows_pressure(&self, engine: &EngineRecord) -> bool {
        let (load, pool) = (&engine.load, self.pool);
        let max_threads = INITIAL_THREADS_PER_CORE * engine.cores / self.gateways.live().sqrt();
        let utilization = load.utilization(MIN_SAMPLES).or(pool.utilization(MIN_SAMPLES));
        let is_busy = utilization.is_some_and(|share| share > PRESSURE_UTILIZATION);
        let is_pool_slow = pool.slowdown(MIN_SAMPLES).map_or(is_busy, is_pressure);
        let age_ratio = load
            .in_flight_age_ratio(MIN_IN_FLIGHT_SAMPLES)
            .or(pool.in_flight_age_ratio(MIN_IN_FLIGHT_SAMPLES));
        engine.limit.full_until > self.now
            || load.slowdown(MIN_SAMPLES).map_or(is_pool_slow, is_pressure)
            || age_ratio.is_some_and(|ratio| ratio > PRESSURE_AGE_RATIO)
            || engine.attempts.in_flight() > 1 && engine.attempts.threads() > max_threads
    }
}

fn is_pressure(slowdown: f64) -> bool {
    slowdown > PRESSURE_SLOWDOWN
}

/// Updates which engines show pressure, in each round of housekeeping.
pub(crate) fn update_pressure(engines: &mut EngineTable, rule: &PressureRule) {
    for engine in engines.values_mut() {
        let shows_pressure = rule.shows_pressure(engine);
        engine.limit.update_pressure(shows_pressure);
    }
}

/// Ends a control period: adjusts the limits of all engines by their evidence, then decays the evidence.
pub(crate) fn end_period(
    engines: &mut EngineTable,
    pool: &mut LoadEvidence,
    gateways: &GatewayCounts,
    classes: usize,
) {
    for engine in engines.values_mut() {
        let assessment = LoadAssessment::new(&engine.load, pool, classes);
        engine.limit.adjust(&assessment, gateways.thread_share(MIN_THREADS_PER_CORE, engine.cores));
        engine.load.end_period();
    }
    pool.end_period();
}

#[cfg(test)]
mod tests;
