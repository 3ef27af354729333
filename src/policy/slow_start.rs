//! Slow start: how far an engine that has just started has warmed up, and what may be sent to it meanwhile.
//!
//! The platform's rule: an engine in slow start falls over at more than a multiple of its present capacity
//! over a window, counted over all gateways. Gateways don't coordinate, so each stays within a part of that
//! budget.

use super::gateway_counts::GatewayCounts;
use crate::interface::{ClassId, Settings};
use crate::state::{EngineRecord, mix64};
use crate::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Share of the rule's budget that requests may use; the rest is for other classes and for what is sent
/// before an engine's start is known. 0.7 scored 0.763 over six days where 0.5 scored 0.757: no gain that
/// shows.
const BUDGET_SHARE: f64 = 0.5;
/// Share of the rule's budget that is dealt out in even parts, where such a part holds a query: with the
/// rule's usual figures three quarters of what the engine can do while it starts. Measured on the day of
/// upgrades, two runs each: 0.2 scored 0.700 and 0.717, 0.3 scored 0.763 and 0.795, 0.4 scored 0.790 and
/// 0.735.
const EVEN_SHARE: f64 = 0.3;
/// Share of the warm-up that is counted on: the engine's own clock may lag.
const WARM_UP_CERTAINTY: f64 = 0.9;
/// Weight of the latest control period in the rate of work that is sent to warm engines: two thirds of the
/// rate come from the last three.
const RATE_WEIGHT: f64 = 0.3;
/// A warm-up from which on an engine is no longer in slow start.
const WARM: f64 = 1.0;

/// The usual query of a class that may be sent to an engine in slow start.
pub(crate) struct SlowStartQuery {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its usual work, in microseconds on one thread.
    pub(crate) work_us: f64,
}

/// The slow start of one engine.
#[derive(Default)]
pub(crate) struct SlowStartWindow {
    started_at: Option<Timestamp>,
    sends: VecDeque<SentWork>,
}

/// Work that was sent to an engine in slow start.
struct SentWork {
    at: Timestamp,
    work_us: f64,
}

impl SlowStartWindow {
    /// The engine has started; an earlier start is forgotten.
    pub(crate) fn set_started(&mut self, at: Timestamp) {
        self.started_at = Some(at);
    }

    /// Other gateways know of a start; the latest counts.
    pub(crate) fn set_restarted(&mut self, at: Timestamp) {
        self.started_at = self.started_at.max(Some(at));
    }

    /// Work was sent to the engine.
    fn record_send(&mut self, at: Timestamp, work_us: f64) {
        self.sends.push_back(SentWork { at, work_us });
    }

    /// Work sent after an instant, in microseconds on one thread.
    fn work_sent_after_us(&self, since: Timestamp) -> f64 {
        self.sends.iter().filter(|sent| sent.at > since).map(|sent| sent.work_us).sum()
    }

    /// Forgets work sent at an instant or before.
    pub(crate) fn expire(&mut self, until: Timestamp) {
        self.sends.retain(|sent| sent.at > until);
    }
}

/// The rule of slow start, and the rate of work that this gateway usually sends to a warm engine.
pub(crate) struct SlowStart {
    /// Share of its capacity that an engine has at its start.
    initial_share: f64,
    duration: TimeSpan,
    overload_multiple: f64,
    window: TimeSpan,
    /// Seed of the draw; different for each gateway.
    seed: u64,
    /// Work that this gateway sends to each warm engine, in microseconds of one thread a microsecond, as a
    /// rough mean.
    warm_rate: f64,
    /// Work sent to all warm engines in this control period, in microseconds on one thread.
    warm_work_us: f64,
}

impl SlowStart {
    /// The rule by the settings; no work was sent yet.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        let rules = &settings.rules;
        Self {
            initial_share: rules.slow_start_from,
            duration: rules.slow_start_duration.into(),
            overload_multiple: rules.overload_multiple,
            window: rules.overload_window.into(),
            seed,
            warm_rate: 0.0,
            warm_work_us: 0.0,
        }
    }

    /// Window of the rule.
    pub(crate) fn window(&self) -> TimeSpan {
        self.window
    }

    /// Share of its capacity that an engine surely has: it rises evenly from the rule's initial share to 1
    /// over the rule's duration, of which 0.9 is counted on. 1 for an engine not in slow start.
    pub(crate) fn warm_up(&self, engine: &SlowStartWindow, now: Timestamp) -> f64 {
        let Some(started_at) = engine.started_at else { return WARM };
        let duration = self.duration.max(TimeSpan::MICROSECOND);
        let elapsed = (now - started_at).as_micros_f64() / duration.as_micros_f64();
        if elapsed >= 1.0 {
            return WARM;
        }
        self.initial_share + (1.0 - self.initial_share) * elapsed.max(0.0) * WARM_UP_CERTAINTY
    }

    /// Whether an engine is not in slow start.
    pub(crate) fn is_warm(&self, engine: &SlowStartWindow, now: Timestamp) -> bool {
        self.warm_up(engine, now) >= WARM
    }

    /// Whether the slow-start budget of an engine has capacity for a class's usual query. Always for a warm
    /// engine.
    ///
    /// An engine in slow start gets so little of this gateway's usual work in the rule's window that the
    /// parts of all gateways together keep to the budget, chance included. With `c` cores, a window `w`, a
    /// warm-up `u`, a query's work `q` and the rule's multiple `m`:
    ///
    /// - the budget holds `b = 0.5 m u c w / q` queries;
    /// - sends of many gateways are as good as independent, so their number has a standard deviation of the
    ///   root of its mean `n`; the largest `n` with `n + 3 sqrt(n) + 1 <= b` is
    ///   `((sqrt(5 + 4 b) - 3) / 2)^2`, and nothing below `b = 1`;
    /// - this gateway's part is the share `n q / (c w)` of the work that it usually sends to a warm engine in
    ///   a window (an even part of the engine before it has sent any);
    /// - where that is below one query, a seeded draw for each window lets one through with the probability
    ///   `part / q`, so that the mean is right;
    /// - few gateways need no chance: even parts of `0.3 m u c w / gateways` keep to the budget however
    ///   traffic falls, and the larger of both parts counts.
    ///
    /// Acts on engines that have just started, for any number of gateways and also when many engines come
    /// back at once. Costs answers where most engines have just started. Not in the design, which leaves
    /// guards to this program.
    pub(crate) fn admits(
        &self,
        query: &SlowStartQuery,
        engine: &EngineRecord,
        gateways: &GatewayCounts,
        now: Timestamp,
    ) -> bool {
        let warm_up = self.warm_up(&engine.slow_start, now);
        if warm_up >= WARM {
            return true;
        }
        let window = self.window.max(TimeSpan::MICROSECOND);
        let window_us = window.as_micros_f64();
        let query_us = query.work_us;
        let full_capacity_us = engine.cores * window_us;
        let even_rate = engine.cores / gateways.configured();
        let usual_rate = if self.warm_rate > 0.0 { self.warm_rate } else { even_rate };
        let budget_queries = BUDGET_SHARE * self.overload_multiple * warm_up * full_capacity_us / query_us;
        let usual_part_us =
            usual_rate * window_us * mean_queries(budget_queries) * query_us / full_capacity_us;
        let even_part_us = EVEN_SHARE * self.overload_multiple * warm_up * even_rate * window_us;
        let sent_us = engine.slow_start.work_sent_after_us(now - window);
        let is_unused = sent_us == 0.0 && engine.attempts.in_flight() == 0;
        sent_us + query_us <= usual_part_us.max(even_part_us)
            || is_unused && self.draw(engine, query.class, window, now) * query_us < usual_part_us
    }

    /// A number from 0 to 1 for each window, engine and class, different for each gateway. The windows of the
    /// gateways begin at different times.
    fn draw(&self, engine: &EngineRecord, class: ClassId, window: TimeSpan, now: Timestamp) -> f64 {
        let offset = TimeSpan::from_micros((self.seed % window.as_micros() as u64) as i64);
        let window_number = (now + offset).interval_index(window);
        let engine_and_class = mix64(u64::from(engine.entry.engine.0) << 8 | class.0 as u64);
        mix64(self.seed ^ mix64(window_number) ^ engine_and_class) as f64 / u64::MAX as f64
    }

    /// A class's usual work is sent to an engine: it counts towards the usual rate if the engine is warm, and
    /// towards the engine's budget if it is in slow start.
    pub(crate) fn record_send(&mut self, engine: &mut SlowStartWindow, work_us: f64, now: Timestamp) {
        if self.is_warm(engine, now) {
            self.warm_work_us += work_us;
        } else {
            engine.record_send(now, work_us);
        }
    }

    /// This process's share of the gateway's capacity has changed by a factor.
    pub(crate) fn scale_rate(&mut self, factor: f64) {
        self.warm_rate *= factor;
    }

    /// Ends a control period, in the end of which so many engines were warm.
    pub(crate) fn end_period(&mut self, warm_engines: usize, period: TimeSpan) {
        if warm_engines > 0 {
            let rate = self.warm_work_us / warm_engines as f64 / period.as_micros_f64();
            let weight = if self.warm_rate == 0.0 { 1.0 } else { RATE_WEIGHT };
            self.warm_rate += (rate - self.warm_rate) * weight;
        }
        self.warm_work_us = 0.0;
    }
}

/// Mean number of queries that, with three standard deviations of chance and one query more, is still within
/// a budget.
fn mean_queries(budget_queries: f64) -> f64 {
    if budget_queries > 1.0 {
        (((5.0 + 4.0 * budget_queries).sqrt() - 3.0) / 2.0).max(0.0).powi(2)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
