//! Bounds: how many threads this gateway may use on an engine under pressure, and when an engine is.

use super::{MIN_SAMPLES, PRESSURE, START_PER_CORE};
use crate::scheduler::Scheduler;
use crate::state::{EngineRecord, Evidence};

/// The design's floor of a bound, in threads a core over all gateways.
const FLOOR_PER_CORE: f64 = 0.5;
/// The design's raise, a period.
const RAISE: f64 = 1.25;
/// Mean reported share of an engine's scarcest resource from which on it is under pressure.
const BUSY: f64 = 0.6;
/// Attempts in flight whose mean age may show pressure.
const MIN_IN_FLIGHT: f64 = 3.0;
/// Share of an engine's failures that counts on in the next period.
const FAILURE_DECAY: f64 = 0.75;

/// The latest evidence on the load of an engine.
struct Assessment {
    /// The design's f: latency over the objective.
    f: f64,
    within_objectives: bool,
    floor: f64,
}

impl Scheduler {
    /// The design's condition: latency far above best, or full.
    pub(super) fn shows_pressure(&self, engine: &EngineRecord) -> bool {
        // Young attempts show no latency yet; own threads tell, between an even part and all.
        let most = START_PER_CORE * self.settings.cores(engine.entry.kind) / self.live_gateways.sqrt();
        let (own, pool) = (&engine.evidence, &self.pool);
        // Reports of the pool stand in for own latencies, of which a gateway with little traffic has too few.
        let utilization = own.utilization.get(MIN_SAMPLES).or(pool.utilization.get(MIN_SAMPLES));
        let is_busy = utilization.is_some_and(|share| share > BUSY);
        let stand_in = pool.slowdown.get(MIN_SAMPLES).map_or(is_busy, |slowdown| slowdown > PRESSURE);
        let age = own.in_flight.age.get(MIN_IN_FLIGHT).or(pool.in_flight.age.get(MIN_IN_FLIGHT));
        engine.full_until > self.now
            || own.slowdown.get(MIN_SAMPLES).map_or(stand_in, |slowdown| slowdown > PRESSURE)
            || age.is_some_and(|age| age > 2.0 * PRESSURE)
            || engine.in_flight > 1 && engine.threads > most
    }

    /// With too few samples of its own, those of all engines decide: one of many gateways never gathers
    /// enough at each.
    fn assess(&self, engine: &EngineRecord) -> Assessment {
        let (own, pool, classes) = (&engine.evidence, &self.pool, 0..self.classes.len());
        let over = |class| {
            let own = own.over_objective_now(class).get(MIN_SAMPLES);
            own.or(pool.over_objective_now(class).get(MIN_SAMPLES))
        };
        // Stretched objectives leave room past the point where engines lose throughput: far above best is a
        // miss.
        let jam = |evidence: &Evidence| {
            evidence.slowdown_since_cut.get(MIN_SAMPLES / 2.0).map(|slowdown| slowdown / PRESSURE)
        };
        let f = classes.clone().filter_map(over).chain(jam(own).or(jam(pool))).fold(0.0, f64::max);
        let is_within = |class| over(class).unwrap_or(own.over_objective_now(class).value) <= 1.0;
        let within_objectives = classes.clone().all(is_within);
        let floor = self.gateway_share(FLOOR_PER_CORE, engine.entry.kind);
        Assessment { f, within_objectives, floor }
    }

    /// One cut a period by the largest f; a raise by a quarter while the bound is reached and all classes are
    /// within their objectives.
    pub(super) fn adjust_bounds(&mut self, period_ends: bool) {
        // Pressure lasts while the bound is reached: ended at once, all that waits would pour in.
        let pressure: Vec<_> = self.engines.values().map(|engine| self.shows_pressure(engine)).collect();
        for (engine, under_pressure) in self.engines.values_mut().zip(pressure) {
            engine.shows_pressure = under_pressure;
            engine.under_pressure |= under_pressure;
        }
        if !period_ends {
            return;
        }
        let assessed: Vec<_> = self.engines.values().map(|engine| self.assess(engine)).collect();
        for (engine, Assessment { f, within_objectives, floor }) in self.engines.values_mut().zip(assessed) {
            let (reached, under_pressure) = (engine.bound_reached, engine.shows_pressure);
            if f > 1.0 {
                engine.bound = (engine.bound / f).max(floor);
            } else if reached && within_objectives && !under_pressure {
                engine.bound *= RAISE;
            }
            engine.under_pressure = under_pressure || reached && engine.under_pressure;
            engine.bound_reached = false;
            engine.failures.samples *= FAILURE_DECAY;
            engine.evidence.end_period(MIN_SAMPLES);
        }
        self.pool.end_period(MIN_SAMPLES);
    }
}
