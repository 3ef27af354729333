//! Slow start: estimates the warm-up of a recently started engine and limits the work sent to it meanwhile.
//!
//! An engine in slow start fails if it receives more than a multiple of its current capacity within a window,
//! summed over all gateways. Gateways do not coordinate, so each keeps to a share of that budget.

use super::gateway_counts::GatewayCounts;
use crate::interface::{ClassId, Settings};
use crate::state::{EngineRecord, mix64};
use crate::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Share of the slow-start budget that one class may use. The rest is left for other classes and for work
/// sent before the start of an engine is known.
const CLASS_BUDGET_SHARE: f64 = 0.5;
/// Share of the slow-start budget that is split equally among the gateways, which matters where an equal
/// share holds a query. With the usual overload multiple the shares add up to three quarters of what the
/// engine can do while it starts.
const EQUAL_SPLIT_SHARE: f64 = 0.3;
/// Safety factor on the estimated warm-up, because the engine's own clock may lag.
const WARM_UP_SAFETY_FACTOR: f64 = 0.9;
/// Weight of the latest control period in the smoothed rate of work sent to warm engines. The last three
/// periods make up two thirds of the rate.
const RATE_SMOOTHING_WEIGHT: f64 = 0.3;
/// Warm-up from which on an engine is no longer in slow start, as a share of its capacity.
const WARM_THRESHOLD: f64 = 1.0;

/// A typical query of a class that may be sent to an engine in slow start.
pub(crate) struct SlowStartQuery {
    /// Class of the query.
    pub(crate) class: ClassId,
    /// Typical work of the class, in microseconds on one thread.
    pub(crate) work_us: f64,
}

/// Slow-start state of one engine.
#[derive(Default)]
pub(crate) struct SlowStartState {
    started_at: Option<Timestamp>,
    sends: VecDeque<SentWork>,
}

/// Work that was sent to an engine in slow start.
struct SentWork {
    at: Timestamp,
    work_us: f64,
}

impl SlowStartState {
    /// Sets the start of the engine and replaces an earlier one.
    pub(crate) fn set_started(&mut self, at: Timestamp) {
        self.started_at = Some(at);
    }

    /// Takes in a start that other gateways report. The latest known start counts.
    pub(crate) fn record_reported_restart(&mut self, at: Timestamp) {
        self.started_at = self.started_at.max(Some(at));
    }

    /// Records work sent to the engine.
    fn record_send(&mut self, at: Timestamp, work_us: f64) {
        self.sends.push_back(SentWork { at, work_us });
    }

    /// Work sent after an instant, in microseconds on one thread.
    fn work_sent_after_us(&self, since: Timestamp) -> f64 {
        self.sends.iter().filter(|sent| sent.at > since).map(|sent| sent.work_us).sum()
    }

    /// Drops work sent at or before an instant.
    pub(crate) fn expire(&mut self, until: Timestamp) {
        self.sends.retain(|sent| sent.at > until);
    }
}

/// The slow-start rule, and the rate of work that this gateway typically sends to a warm engine.
pub(crate) struct SlowStart {
    /// Share of its capacity that an engine has when it starts.
    initial_share: f64,
    duration: TimeSpan,
    overload_multiple: f64,
    window: TimeSpan,
    /// Seed of the random admission; different for each gateway.
    seed: u64,
    /// Smoothed rate of work that this gateway sends to each warm engine, in microseconds on one thread per
    /// microsecond.
    warm_engine_rate: f64,
    /// Work sent to all warm engines in this control period, in microseconds on one thread.
    warm_engine_work_us: f64,
}

impl SlowStart {
    /// Creates the rule from the settings, with an empty history.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        let rules = &settings.rules;
        Self {
            initial_share: rules.slow_start_from,
            duration: rules.slow_start_duration.into(),
            overload_multiple: rules.overload_multiple,
            window: rules.overload_window.into(),
            seed,
            warm_engine_rate: 0.0,
            warm_engine_work_us: 0.0,
        }
    }

    /// Window of the slow-start rule.
    pub(crate) fn window(&self) -> TimeSpan {
        self.window
    }

    /// Share of its capacity that an engine is sure to have. It rises linearly from the initial share towards
    /// 1 over the configured duration, with a safety factor of 0.9 on the increase. It is 1 for an engine not
    /// in slow start.
    pub(crate) fn warm_up(&self, engine: &SlowStartState, now: Timestamp) -> f64 {
        let Some(started_at) = engine.started_at else { return WARM_THRESHOLD };
        let duration = self.duration.max(TimeSpan::MICROSECOND);
        let elapsed = (now - started_at).as_micros_f64() / duration.as_micros_f64();
        if elapsed >= 1.0 {
            return WARM_THRESHOLD;
        }
        self.initial_share + (1.0 - self.initial_share) * elapsed.max(0.0) * WARM_UP_SAFETY_FACTOR
    }

    /// Whether an engine is not in slow start.
    pub(crate) fn is_warm(&self, engine: &SlowStartState, now: Timestamp) -> bool {
        self.warm_up(engine, now) >= WARM_THRESHOLD
    }

    /// Whether the slow-start budget of an engine has capacity for a typical query of a class. Always true
    /// for a warm engine.
    ///
    /// Each gateway limits its work per window to a share so small that all gateways together stay within the
    /// budget, including random variation. With `c` cores, a window `w`, a warm-up `u`, a query's work `q`
    /// and the overload multiple `m`:
    ///
    /// - the budget holds `b = 0.5 m u c w / q` queries;
    /// - sends of many gateways are nearly independent, so the standard deviation of their number is the
    ///   square root of its mean `n`; the largest `n` with `n + 3 sqrt(n) + 1 <= b` is
    ///   `((sqrt(5 + 4 b) - 3) / 2)^2`, and zero below `b = 1`;
    /// - this gateway may send the share `n q / (c w)` of the work that it typically sends to a warm engine
    ///   in a window (of an equal share of the engine's capacity before it has sent any);
    /// - where that is below one query, a seeded random number per window admits one query with the
    ///   probability `traffic share / q`, so that the mean is right;
    /// - few gateways need no random admission: equal shares of `0.3 m u c w / gateways` stay within the
    ///   budget however traffic is distributed, and the larger of both shares applies.
    ///
    /// Covers any number of gateways and many engines that restart at once. The drawback is fewer answered
    /// requests where most engines have just started. This algorithm is an addition to the product's design,
    /// which leaves such safeguards to the implementation.
    pub(crate) fn admits(
        &self,
        query: &SlowStartQuery,
        engine: &EngineRecord,
        gateways: &GatewayCounts,
        now: Timestamp,
    ) -> bool {
        let warm_up = self.warm_up(&engine.slow_start, now);
        if warm_up >= WARM_THRESHOLD {
            return true;
        }
        let window = self.window.max(TimeSpan::MICROSECOND);
        let window_us = window.as_micros_f64();
        let query_us = query.work_us;
        let full_capacity_us = engine.cores * window_us;
        let equal_rate = engine.cores / gateways.configured();
        let typical_rate = if self.warm_engine_rate > 0.0 { self.warm_engine_rate } else { equal_rate };
        let budget_queries =
            CLASS_BUDGET_SHARE * self.overload_multiple * warm_up * full_capacity_us / query_us;
        let traffic_share_us =
            typical_rate * window_us * max_mean_queries(budget_queries) * query_us / full_capacity_us;
        let equal_share_us = EQUAL_SPLIT_SHARE * self.overload_multiple * warm_up * equal_rate * window_us;
        let sent_us = engine.slow_start.work_sent_after_us(now - window);
        let is_idle = sent_us == 0.0 && engine.attempts.in_flight() == 0;
        sent_us + query_us <= traffic_share_us.max(equal_share_us)
            || is_idle && self.random_fraction(engine, query.class, window, now) * query_us < traffic_share_us
    }

    /// Pseudorandom number from 0 to 1 per window, engine and class, different for each gateway. The windows
    /// of the gateways begin at different times.
    fn random_fraction(
        &self,
        engine: &EngineRecord,
        class: ClassId,
        window: TimeSpan,
        now: Timestamp,
    ) -> f64 {
        let offset = TimeSpan::from_micros((self.seed % window.as_micros() as u64) as i64);
        let window_number = (now + offset).interval_index(window);
        let engine_and_class = mix64(u64::from(engine.entry.engine.0) << 8 | class.0 as u64);
        mix64(self.seed ^ mix64(window_number) ^ engine_and_class) as f64 / u64::MAX as f64
    }

    /// Records a typical query of a class that is sent to an engine: towards the typical rate if the engine
    /// is warm, and towards its budget if it is in slow start.
    pub(crate) fn record_send(&mut self, engine: &mut SlowStartState, work_us: f64, now: Timestamp) {
        if self.is_warm(engine, now) {
            self.warm_engine_work_us += work_us;
        } else {
            engine.record_send(now, work_us);
        }
    }

    /// Scales the typical rate after a change of this process's share of the gateway's capacity.
    pub(crate) fn scale_rate(&mut self, factor: f64) {
        self.warm_engine_rate *= factor;
    }

    /// Ends a control period with this number of warm engines at its end.
    pub(crate) fn end_period(&mut self, warm_engines: usize, period: TimeSpan) {
        if warm_engines > 0 {
            let rate = self.warm_engine_work_us / warm_engines as f64 / period.as_micros_f64();
            let weight = if self.warm_engine_rate == 0.0 { 1.0 } else { RATE_SMOOTHING_WEIGHT };
            self.warm_engine_rate += (rate - self.warm_engine_rate) * weight;
        }
        self.warm_engine_work_us = 0.0;
    }
}

/// Largest mean number of queries that stays within a budget with three standard deviations of random
/// variation and one more query.
fn max_mean_queries(budget_queries: f64) -> f64 {
    if budget_queries > 1.0 {
        (((5.0 + 4.0 * budget_queries).sqrt() - 3.0) / 2.0).max(0.0).powi(2)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
