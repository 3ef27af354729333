//! Retries: progress and ends of attempts, and whether another attempt may follow.

use super::{MIN_SAMPLES, RECENT};
use crate::interface::{
    Action, AttemptEnded, AttemptNo, EngineId, Idempotency, LoadReport, Outcome, ProgressReport, RequestId,
};
use crate::scheduler::Scheduler;
use crate::state::{EndedAttempt, InFlightAttempt, PossibleRun, RequestRecord, micros};

/// An attempt projected to need this many times its class's mean is taken for a bad plan.
const RUNAWAY: f64 = 4.0;
/// An attempt projected to need this many times what its client will wait can't meet its deadline; reports
/// are rough.
const CANNOT_FINISH: f64 = 1.5;
/// A retry is worth it with this many times the usual execution time left.
const TIME_FOR_RETRY: f64 = 1.5;
/// Attempts after which one that can't meet its deadline is not cancelled for another.
const MAX_CANCELLED_ATTEMPTS: u32 = 3;
/// Share of the retries after bad plans that must have done better.
const HELPS: f64 = 0.5;
/// Utilization beyond which an engine is not taken for slower yet.
const MAX_UTILIZATION: f64 = 0.9;

impl Scheduler {
    /// An engine reports on an attempt. A bad plan shows as a pace far behind its class. A retry draws a new
    /// one; a query costly in itself looks the same at first, so it is cancelled for that once only, and not
    /// where that has not helped.
    pub(crate) fn on_progress(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        report: ProgressReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.in_flight.as_mut().filter(|attempt| attempt.number == number.0) else {
            return;
        };
        attempt.last_response = self.now;
        let (sent, cancelled) = (attempt.sent, attempt.cancelled);
        if let Some(engine) = self.engines.get_mut(attempt.engine) {
            engine.last_response = self.now;
        }
        let ProgressReport::Done(done) = report else { return };
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.classes[request.arrival.class.0];
        let usual = self.execution_time(&request.arrival) as f64;
        let done = done.clamp(1e-3, 1.0);
        let projected = (self.now - sent) as f64 / done;
        let (rest, left) = (projected * (1.0 - done), (request.deadline - self.now) as f64);
        let retry_helps = class.retry_helps.get(MIN_SAMPLES).is_none_or(|share| share > HELPS);
        // What would end long after its client has gone is cancelled again, or ended.
        let cannot_finish = rest > CANNOT_FINISH * left && request.attempts > 1;
        let is_known = class.execution_time.samples >= MIN_SAMPLES && !cancelled;
        let is_bad_plan = retry_helps && request.bad_plan_time.is_none() && rest > RUNAWAY * usual;
        let may_retry = is_bad_plan || cannot_finish && request.attempts < MAX_CANCELLED_ATTEMPTS;
        if is_known && left > TIME_FOR_RETRY * usual && may_retry {
            if self.cancel_for_retry(id, actions)
                && let Some(request) = self.requests.get_mut(id)
            {
                request.bad_plan_time = Some(projected);
            }
        } else if is_known && cannot_finish && self.settings.limits.cancel {
            self.answer(id, actions);
        }
    }

    /// Cancels an attempt for another, where that is allowed and something may come of it.
    pub(crate) fn cancel_for_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if request.deadline <= self.now || !self.may_retry(request) || !self.settings.limits.cancel {
            return false;
        }
        let attempt = self.requests.get_mut(id).and_then(|request| request.in_flight.as_mut());
        let Some(attempt) = attempt.filter(|attempt| !attempt.cancelled) else { return false };
        attempt.cancelled = true;
        actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        true
    }

    /// Could another attempt be sent, if what is in flight now had run?
    fn may_retry(&self, request: &RequestRecord) -> bool {
        let in_flight_since = request.in_flight.as_ref().map(|attempt| attempt.sent);
        let ran_since = request.possible_run.map(|run| run.sent).or(in_flight_since);
        let is_safe = match (self.settings.classes[request.arrival.class.0].idempotency, ran_since) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { window, .. }, Some(sent)) => self.now - sent < micros(window),
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        is_safe && request.attempts < self.settings.limits.max_attempts && self.has_retry_budget()
    }

    /// Rule of retries: the window's budget is not used up.
    pub(crate) fn has_retry_budget(&self) -> bool {
        let Some(budget) = &self.settings.rules.retry_budget else { return true };
        let since = self.now - micros(budget.window);
        let retries = self.recent_retries.count_from(since) as f64;
        let requests = self.recent_requests.count_after(since) as f64;
        let free = budget.free * f64::from(self.settings.gateways) / self.configured_gateways;
        retries + 1.0 <= free + budget.ratio * requests
    }

    /// What an attempt that may have run binds its request to.
    pub(crate) fn possible_run(&self, request: &RequestRecord, attempt: &InFlightAttempt) -> PossibleRun {
        let group = match self.settings.classes[request.arrival.class.0].idempotency {
            Idempotency::Keyed { scope, .. } => {
                self.engines.get(attempt.engine).and_then(|engine| scope.group(&engine.entry))
            }
            _ => None,
        };
        PossibleRun { group, sent: attempt.sent }
    }

    /// An attempt has ended: learns from it, and sends the request back to its queue or answers it.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, attempt, outcome, closed, usage, load } = *ended;
        let Some(mut ended) = self.requests.take_attempt(id, attempt) else { return };
        self.release_engine(&ended, outcome);
        // What errs twice is itself at fault: no engine is blamed again, and a third would say the same.
        let is_error = outcome == Outcome::Error;
        let is_at_fault = is_error && ended.request.had_error;
        ended.request.had_error |= is_error;
        if !is_at_fault {
            self.evaluate_outlier(ended.attempt.engine, outcome, actions);
        }
        if let Some(load) = load {
            self.record_load(ended.attempt.engine, &load);
        }
        if outcome == Outcome::Ok && !self.stalled {
            self.record_completion(&ended, usage);
        } else if !outcome.never_ran() {
            let run = self.possible_run(&ended.request, &ended.attempt);
            ended.request.possible_run.get_or_insert(run);
        }
        let EndedAttempt { request, is_open, .. } = ended;
        if outcome.may_still_run() {
            let until = self.now + micros(self.settings.rules.order_settle);
            self.requests.settle_ordering_key(&request, until);
        }
        let wants_retry = !is_at_fault && !request.streaming && self.now < request.deadline;
        let may_retry = wants_retry && self.may_retry(&request);
        self.requests.restore(request);
        // Answered before, and only its engine and its ordering key waited for it; or answered now.
        if !is_open || closed || outcome == Outcome::Ok {
            self.requests.remove(id);
        } else if may_retry {
            self.requests.enqueue(id);
        } else {
            self.answer(id, actions);
        }
    }

    fn release_engine(&mut self, ended: &EndedAttempt, outcome: Outcome) {
        let EndedAttempt { request, attempt, .. } = ended;
        let threads = f64::from(self.settings.classes[request.arrival.class.0].threads);
        let Some(engine) = self.engines.get_mut(attempt.engine) else { return };
        engine.remove_attempt(request.arrival.request, threads);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset) {
            engine.last_response = self.now;
        } else if outcome == Outcome::TimedOut && !self.settings.limits.cancel {
            // Given up by the client, but nothing stops it: it loads the engine for about as long again.
            // Guards against jams of abandoned work; hurts where engines do stop at a time-out.
            engine.add_abandoned(2 * self.now - attempt.sent, threads);
        }
    }

    /// An engine has reported its load. A resource that is busy to a share u slows what needs it by about 1 /
    /// (1 - u).
    fn record_load(&mut self, id: EngineId, load: &LoadReport) {
        let shares = [load.cpu, load.disk, load.memory].into_iter().flatten();
        let busiest = shares.fold(f64::NAN, f64::max);
        if !busiest.is_finite() {
            return;
        }
        self.observe_slowdown(id, 1.0 / (1.0 - busiest.clamp(0.0, MAX_UTILIZATION)));
        let own = self.engines.get_mut(id).map(|engine| &mut engine.evidence);
        for evidence in own.into_iter().chain([&mut self.pool]) {
            evidence.utilization.add(busiest.clamp(0.0, 2.0), RECENT);
        }
    }
}
