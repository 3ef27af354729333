//! Periodic work: housekeeping rounds and the end of control periods.

use super::Scheduler;
use crate::interface::{Action, EngineId};
use crate::policy::concurrency_limits::{self, PressureRule};
use crate::policy::load_evidence::InFlightSurvey;
use crate::policy::load_shedding::{RequestReview, ReviewDecision};
use crate::policy::{CONTROL_PERIOD, outlier_detection};
use crate::time::TimeSpan;

impl Scheduler {
    pub(super) fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.housekeeping.take_subscription(self.now) {
            actions.push(Action::Subscribe);
        }
    }

    pub(super) fn run_housekeeping_if_due(&mut self, actions: &mut Vec<Action>) {
        let Some(round) = self.housekeeping.take_round(self.now) else { return };
        actions.push(Action::WakeAfter(round.interval.to_duration()));
        if round.ends_period {
            self.end_rate_period();
            self.estimates.end_period();
            self.decay_and_expire();
        }
        self.survey_in_flight();
        self.update_pressure();
        if round.ends_period {
            self.end_limit_period();
        }
        self.eject_silent_engines(actions);
        self.review_requests(round.interval, actions);
    }

    fn end_rate_period(&mut self) {
        let in_service = self.engines.in_service();
        let warm = in_service.filter(|engine| self.slow_start.is_warm(&engine.slow_start, self.now));
        let warm_engines = warm.count();
        self.slow_start.end_period(warm_engines, CONTROL_PERIOD);
    }

    /// Decays old outcomes and removes expired state: abandoned attempts, ordering keys, and events older
    /// than the sliding windows.
    fn decay_and_expire(&mut self) {
        let slow_start_window = self.now - self.slow_start.window();
        for engine in self.engines.values_mut() {
            engine.health.end_period();
            engine.slow_start.expire(slow_start_window);
            engine.attempts.expire(self.now);
        }
        self.requests.expire(self.now);
        self.retry_policy.expire(self.now);
    }

    fn survey_in_flight(&mut self) {
        let survey = InFlightSurvey { now: self.now, settings: &self.settings, estimates: &self.estimates };
        survey.collect(&self.requests, &mut self.engines, &mut self.pool_load);
    }

    fn update_pressure(&mut self) {
        let rule = PressureRule { pool: &self.pool_load, gateways: &self.gateways, now: self.now };
        concurrency_limits::update_pressure(&mut self.engines, &rule);
    }

    fn end_limit_period(&mut self) {
        let classes = self.estimates.len();
        concurrency_limits::end_period(&mut self.engines, &mut self.pool_load, &self.gateways, classes);
    }

    /// Ejects engines that no longer respond and cancels the attempts waiting there, to retry elsewhere.
    fn eject_silent_engines(&mut self, actions: &mut Vec<Action>) {
        for engine in outlier_detection::silent_engines(&self.engines, self.now) {
            if self.eject(engine, true, actions) && self.settings.limits.cancel {
                self.retry_elsewhere(engine, actions);
            }
        }
    }

    fn retry_elsewhere(&mut self, engine: EngineId, actions: &mut Vec<Action>) {
        let waiting = self.requests.iter().filter(|(_, request)| request.awaits_rows_from(engine));
        for request in waiting.map(|(id, _)| id).collect::<Vec<_>>() {
            self.cancel_for_retry(request, actions);
        }
    }

    /// Reviews the open requests whose rows have not begun to arrive. Applies retries first, then demotions,
    /// then final answers.
    fn review_requests(&mut self, interval: TimeSpan, actions: &mut Vec<Action>) {
        let was_stalled = self.housekeeping.was_stalled();
        let review = RequestReview::new(&self.settings, &self.estimates, interval, was_stalled, self.now);
        let (mut to_retry, mut to_demote, mut to_answer) = (Vec::new(), Vec::new(), Vec::new());
        for (id, request) in self.requests.iter().filter(|(_, request)| !request.streaming) {
            match review.decide(request) {
                ReviewDecision::Keep => {}
                ReviewDecision::Retry => to_retry.push(id),
                ReviewDecision::Demote => to_demote.push(id),
                ReviewDecision::Answer => to_answer.push(id),
            }
        }
        for id in to_retry {
            self.cancel_for_retry(id, actions);
        }
        for id in to_demote {
            self.demote_abandoned(id, actions);
        }
        for id in to_answer {
            self.reject_or_fail(id, actions);
        }
    }
}
