//! Slow start: what may be sent to an engine that has just started.

use crate::interface::ClassId;
use crate::scheduler::Scheduler;
use crate::state::{EngineRecord, micros, mix};

/// Our share of the budget of an engine in slow start; the rest is for other classes and for what is sent
/// before the news of its start.
const BUDGET_SHARE: f64 = 0.5;
/// Share of that budget which is dealt out evenly, where an even part holds a query: with the rule's usual
/// figures three quarters of what the engine can do while it starts.
const EVEN_SHARE: f64 = 0.3;
/// Share of the warm-up that is counted on: the engine's own clock may lag.
const SURE_SHARE: f64 = 0.9;

impl Scheduler {
    /// How far an engine surely has warmed up, from the rule's start to 1.
    pub(crate) fn warm_up(&self, engine: &EngineRecord) -> f64 {
        let rules = &self.settings.rules;
        let Some(started_at) = engine.started_at else { return 1.0 };
        let share = (self.now - started_at) as f64 / micros(rules.slow_start_duration).max(1) as f64;
        if share >= 1.0 {
            return 1.0;
        }
        rules.slow_start_from + (1.0 - rules.slow_start_from) * share.max(0.0) * SURE_SHARE
    }

    /// An engine in slow start gets so little of this gateway's usual work in the rule's window that all
    /// parts together keep to the budget, chance included: a part under one query goes by a seeded draw for
    /// each window. Holds for any number of gateways and pools that come back at once; hurts where most
    /// engines have just started.
    pub(super) fn has_slow_start_budget(&self, engine: &EngineRecord, class: ClassId) -> bool {
        let rules = &self.settings.rules;
        let warm_up = self.warm_up(engine);
        if warm_up >= 1.0 {
            return true;
        }
        let window = micros(rules.overload_window).max(1);
        let query = self.usual_work(class);
        let full = self.settings.cores(engine.entry.kind) * window as f64;
        let even = self.settings.cores(engine.entry.kind) / self.configured_gateways;
        let own = if self.warm_rate > 0.0 { self.warm_rate } else { even };
        // Of the queries that fit in the budget so many are meant that three deviations of chance still fit.
        let fit = BUDGET_SHARE * rules.overload_multiple * warm_up * full / query;
        let meant = if fit > 1.0 { (((5.0 + 4.0 * fit).sqrt() - 3.0) / 2.0).max(0.0).powi(2) } else { 0.0 };
        let part = own * window as f64 * meant * query / full;
        let sent = engine.slow_start_work_after(self.now - window);
        // Few gateways need no chance: even parts of less than the budget keep to it however traffic falls.
        let even = EVEN_SHARE * rules.overload_multiple * warm_up * even * window as f64;
        sent + query <= part.max(even)
            || sent == 0.0
                && engine.in_flight == 0
                && self.slow_start_draw(engine, class, window) * query < part
    }

    /// A number from 0 to 1 for each window, engine and class, differently for each gateway.
    fn slow_start_draw(&self, engine: &EngineRecord, class: ClassId, window: i64) -> f64 {
        let offset = (self.tie_breaker % window as u64) as i64;
        let turn = ((self.now + offset) / window) as u64;
        let place = mix(u64::from(engine.entry.engine.0) << 8 | class.0 as u64);
        mix(self.tie_breaker ^ mix(turn) ^ place) as f64 / u64::MAX as f64
    }
}
