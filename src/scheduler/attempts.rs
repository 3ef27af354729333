//! Handling of ended attempts, the statistics they update, and cancellation in favour of a retry.

use super::Scheduler;
use crate::interface::{
    Action, AttemptEnded, AttemptNo, EngineId, Idempotency, LoadReport, Outcome, RequestId, ResourceUsage,
};
use crate::policy::MAX_SLOWDOWN;
use crate::policy::class_estimates::CompletedQuery;
use crate::policy::load_evidence::{SlowdownPrior, reported_utilization, slowdown_at_utilization};
use crate::policy::outlier_detection::{self, OutlierVerdict};
use crate::state::{FinishedAttempt, InFlightAttempt, PossibleRun, RequestRecord};

impl Scheduler {
    /// Handles the end of an attempt: updates the statistics, then requeues or ends the request.
    pub(super) fn on_attempt_ended(&mut self, event: &AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, outcome, closed, .. } = *event;
        let Some(mut ended) = self.requests.take_attempt(id, event.attempt) else { return };
        self.release_engine(&ended, outcome);
        let request_at_fault = self.evaluate_outcome(&mut ended, outcome, actions);
        self.record_attempt_result(&mut ended, event);
        let FinishedAttempt { request, is_open, .. } = ended;
        if outcome.may_still_run() {
            let until = self.now + self.settings.rules.order_settle.into();
            self.requests.settle_ordering_key(&request, until);
        }
        let wants_retry = !request_at_fault && !request.streaming && self.now < request.deadline;
        let may_retry = wants_retry && self.may_retry(&request);
        self.requests.restore(request);
        // Either the request was answered earlier and was kept only until its engine and its ordering key
        // were released, or this attempt answers it.
        if !is_open || closed || outcome == Outcome::Ok {
            self.requests.remove(id);
        } else if may_retry {
            self.requests.enqueue(id);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    fn release_engine(&mut self, ended: &FinishedAttempt, outcome: Outcome) {
        let FinishedAttempt { request, attempt, .. } = ended;
        let threads = f64::from(self.settings.classes[request.arrival.class.0].threads);
        let Some(engine) = self.engines.get_mut(attempt.engine) else { return };
        engine.attempts.remove(request.arrival.request, threads);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset) {
            engine.attempts.record_response(self.now);
        } else if outcome == Outcome::TimedOut && !self.settings.limits.cancel {
            // The client no longer waits, but nothing stops the attempt: assume that it uses the engine for
            // as long again. This prevents congestion by abandoned work; it costs capacity if engines do stop
            // a query at its timeout.
            engine.attempts.add_abandoned(self.now + (self.now - attempt.sent), threads);
        }
    }

    /// Updates the engine's health with the outcome. A second error is attributed to the request: it does not
    /// count against the engine, and another attempt would fail too. Returns whether the request is at fault.
    fn evaluate_outcome(
        &mut self,
        ended: &mut FinishedAttempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_error = outcome == Outcome::Error;
        let request_at_fault = is_error && ended.request.had_error;
        ended.request.had_error |= is_error;
        if !request_at_fault {
            self.evaluate_engine(ended.attempt.engine, outcome, actions);
        }
        request_at_fault
    }

    fn evaluate_engine(&mut self, id: EngineId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        match engine.health.evaluate(outcome, self.now) {
            OutlierVerdict::NoFault => return,
            OutlierVerdict::AtCapacity => {
                engine.limit.mark_full(self.now);
                engine.load.record_rejection();
                self.pool_load.record_rejection();
            }
            OutlierVerdict::Failed { refused_connection, is_outlier } => {
                if refused_connection {
                    engine.slow_start.set_started(self.now);
                }
                if is_outlier {
                    self.eject(id, false, actions);
                }
            }
        }
        self.observe_slowdown(id, MAX_SLOWDOWN);
    }

    /// Ejects an engine temporarily unless too many are ejected already. Returns whether it was ejected.
    pub(super) fn eject(&mut self, engine: EngineId, unresponsive: bool, actions: &mut Vec<Action>) -> bool {
        let Some(duration) = outlier_detection::eject(&mut self.engines, engine, self.now) else {
            return false;
        };
        actions.push(Action::EngineEjected { engine, unresponsive, duration: duration.to_duration() });
        true
    }

    /// Records the engine's load report. A served query also updates the class's estimates and the engine's
    /// load; any other attempt that may have run restricts the retries of its request.
    fn record_attempt_result(&mut self, ended: &mut FinishedAttempt, event: &AttemptEnded) {
        if let Some(load) = &event.load {
            self.record_load(ended.attempt.engine, load);
        }
        if event.outcome == Outcome::Ok && !self.housekeeping.was_stalled() {
            self.record_completion(ended, event.usage);
        } else if !event.outcome.never_ran() {
            let run = self.possible_run(&ended.request, &ended.attempt);
            ended.request.possible_run.get_or_insert(run);
        }
    }

    fn record_load(&mut self, id: EngineId, load: &LoadReport) {
        let Some(utilization) = reported_utilization(load) else { return };
        self.observe_slowdown(id, slowdown_at_utilization(utilization));
        if let Some(engine) = self.engines.get_mut(id) {
            engine.load.record_utilization(utilization);
        }
        self.pool_load.record_utilization(utilization);
    }

    fn record_completion(&mut self, ended: &FinishedAttempt, usage: Option<ResourceUsage>) {
        let (request, engine_id) = (&ended.request, ended.attempt.engine);
        let class = request.arrival.class;
        let query = CompletedQuery {
            class,
            execution_time: self.now - ended.attempt.sent,
            usage,
            memory_estimate_mb: request.arrival.memory_mb,
            bad_plan_time_us: request.bad_plan_time_us,
        };
        let sample = self.estimates.record_completion(&query, self.now);
        if let Some(engine) = self.engines.get_mut(engine_id) {
            engine.load.record_completion(class, &sample);
        }
        self.pool_load.record_completion(class, &sample);
        if let Some(slowdown) = sample.slowdown {
            self.observe_slowdown(engine_id, slowdown);
        }
    }

    fn observe_slowdown(&mut self, engine: EngineId, slowdown: f64) {
        let prior = SlowdownPrior::new(&self.pool_load, &self.estimates);
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.slowdown.observe(slowdown, &prior, self.now);
        }
    }

    /// Records the slowdown of an engine as observed by several other gateways.
    pub(super) fn observe_slowdown_by_gossip(&mut self, engine: EngineId, slowdown: f64) {
        let prior = SlowdownPrior::new(&self.pool_load, &self.estimates);
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.slowdown.observe_gossip(slowdown, &prior, self.now);
        }
    }

    /// Deduplication group and send time of an attempt that may have run, which restrict later attempts.
    pub(super) fn possible_run(&self, request: &RequestRecord, attempt: &InFlightAttempt) -> PossibleRun {
        let group = match self.settings.classes[request.arrival.class.0].idempotency {
            Idempotency::Keyed { scope, .. } => {
                self.engines.get(attempt.engine).and_then(|engine| scope.group(&engine.entry))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        };
        PossibleRun { group, sent: attempt.sent }
    }

    fn may_retry(&self, request: &RequestRecord) -> bool {
        let idempotency = self.settings.classes[request.arrival.class.0].idempotency;
        self.retry_policy.check_retry(request, idempotency, &self.gateways, self.now).is_ok()
    }

    /// Cancels the attempt in flight in favour of a retry, if that is allowed and may help. Returns whether
    /// it was cancelled.
    pub(super) fn cancel_for_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let idempotency = self.settings.classes[request.arrival.class.0].idempotency;
        if !self.retry_policy.may_cancel_for_retry(request, idempotency, &self.gateways, self.now) {
            return false;
        }
        let attempt = self.requests.get_mut(id).and_then(|request| request.in_flight.as_mut());
        let Some(attempt) = attempt else { return false };
        attempt.cancelled = true;
        actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        true
    }
}
