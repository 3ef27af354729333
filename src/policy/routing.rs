//! Selection of the engine for a request.

use crate::interface::{ClassId, EngineId, Idempotency, KeyScope, RequestId};
use crate::scheduler::Scheduler;
use crate::state::{EngineRecord, RequestRecord, micros, mix};

/// An engine with no connection of ours is taken where the others look slower by more than this, in best
/// latencies: a gateway with little traffic would otherwise keep opening some to all, in turn.
const NEW_CONNECTION: f64 = 0.25;
/// Slowdowns that differ by less than one over this are equal.
const SLOWDOWN_STEPS: f64 = 16.0;
/// Deviations of chance that a gateway's part of the pool leaves room for: one in 40 is beyond two.
const DEVIATIONS: f64 = 2.0;
/// The same for the class of the highest value density: as much again.
const RESERVED: f64 = 2.0 * DEVIATIONS;

impl Scheduler {
    /// The engine with the fewest own queries among those with capacity.
    pub(crate) fn select_engine(&mut self, id: RequestId) -> Option<EngineId> {
        let request = self.requests.get(id)?;
        let class = request.arrival.class;
        let threads = f64::from(self.settings.classes[class.0].threads);
        let is_load = self.settings.classes[class.0].is_load;
        let has_spare = self.pool_has_capacity(class, threads);
        let (mut found, mut reached) = (None, Vec::new());
        for (engine_id, engine) in self.engines.iter() {
            let is_usable = self.is_allowed(request, engine) && self.is_healthy(engine);
            if !is_usable || !self.has_slow_start_budget(engine, class) || self.is_locked(request, engine) {
                continue;
            }
            if engine.threads + threads > engine.bound && (engine.in_flight > 0 || !has_spare) {
                reached.push(engine_id);
                if engine.under_pressure || self.shows_pressure(engine) {
                    continue;
                }
            }
            let is_away = self.settings.zone.is_some() && engine.entry.zone != self.settings.zone;
            let is_repeated = request.last_engine == Some(engine_id);
            let connection = if self.is_connected(engine) { 0.0 } else { NEW_CONNECTION };
            let slowdown = if is_load { 0.0 } else { self.observed_slowdown(engine) };
            let slowdown = ((slowdown + connection) * SLOWDOWN_STEPS) as u64;
            let tie = mix(u64::from(engine_id.0) ^ self.tie_breaker);
            let rank = (is_repeated, engine.in_flight, slowdown, is_away, engine.last_sent, tie);
            if found.is_none_or(|best| (rank, engine_id) < best) {
                found = Some((rank, engine_id));
            }
        }
        for engine in reached {
            if let Some(engine) = self.engines.get_mut(engine) {
                engine.bound_reached = true;
            }
        }
        found.map(|(_, engine)| engine)
    }

    /// One query an engine is too much from many gateways: where a bound is below a query's threads, all that
    /// is in flight must fit in all bounds together.
    fn pool_has_capacity(&self, class: ClassId, threads: f64) -> bool {
        let usable = self.engines.values().filter(|engine| self.is_healthy(engine) && !engine.gone);
        let (mut in_flight, mut bounds) = (0.0, 0.0);
        for engine in usable {
            in_flight += engine.threads;
            bounds += engine.bound;
        }
        in_flight == 0.0 || in_flight + threads <= bounds + self.burst_allowance(class, bounds, threads)
    }

    /// A connection of ours to it should still be open. A new engine needs them from all gateways.
    fn is_connected(&self, engine: &EngineRecord) -> bool {
        let lasts = self.settings.engine.idle_timeout.map_or(i64::MAX, micros);
        engine.in_flight > 0 || self.now - engine.last_sent < lasts || self.warm_up(engine) < 1.0
    }

    /// What a gateway's traffic swings by beside an even part of so many threads. The pool bears the sum, in
    /// which the swings of many cancel out; held to its even part, each would reject what others leave free.
    /// Hurts where all have too much at once, until the bounds are cut. The class of the highest value
    /// density keeps a reserve of its own: one wide query that runs for seconds would shut out many of it.
    fn burst_allowance(&self, class: ClassId, bounds: f64, threads: f64) -> f64 {
        let is_first = self.value_density(class) >= self.max_value_density();
        let deviations = if is_first { RESERVED } else { DEVIATIONS };
        deviations * (bounds * threads * (1.0 - 1.0 / self.live_gateways)).sqrt()
    }

    /// A bulk load of ours locks this request's tables there: it would stand still and keep its memory, so it
    /// waits for another engine or the load's end. Holds against hot tables; blind to others' loads.
    fn is_locked(&self, request: &RequestRecord, engine: &EngineRecord) -> bool {
        let class = &self.settings.classes[request.arrival.class.0];
        (class.is_load || class.waits_for_loads)
            && request.arrival.table_group.is_some()
            && engine.loads.iter().any(|load| self.requests.shares_table_group(*load, request))
    }

    /// Rules of drain, placement and retries: may this request go there at all?
    fn is_allowed(&self, request: &RequestRecord, engine: &EngineRecord) -> bool {
        let class = &self.settings.classes[request.arrival.class.0];
        let entry = &engine.entry;
        let zone_fits =
            class.zones.as_ref().is_none_or(|zones| entry.zone.is_some_and(|zone| zones.contains(&zone)));
        let kind_fits =
            class.kinds.as_ref().is_none_or(|kinds| entry.kind.is_some_and(|kind| kinds.contains(&kind)));
        let retry_allowed = match (class.idempotency, request.possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed { scope, window }, Some(run)) => {
                let is_same_group = run.group.is_some() && run.group == scope.group(entry);
                self.now - run.sent < micros(window) && (scope == KeyScope::All || is_same_group)
            }
        };
        !engine.gone && zone_fits && kind_fits && retry_allowed
    }
}
