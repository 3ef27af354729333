//! Rounds of housekeeping, rejection of requests that waited too long, and final answers.

use super::{MIN_SAMPLES, PERIOD, REPORTS_MISSED, SECOND};
use crate::interface::{Action, AttemptNo, Idempotency, KeyScope, RequestId};
use crate::scheduler::Scheduler;
use crate::state::{InFlightAttempt, RequestRecord, duration, micros};

/// Steps between two rounds of housekeeping, in ticks: well inside the slack of a final answer.
const ROUND_TICKS: i64 = 4;
/// A round that comes later than this shows that the process itself has stood still.
const OWN_STALL: i64 = PERIOD / 4;
/// Best times rise this much a second: a pool that has truly become slower is its own best in some minutes.
const BEST_DRIFT: f64 = 1.003;
/// Weight of the latest period in the rate of work that is sent to warm engines.
const RATE_WEIGHT: f64 = 0.3;
/// Share of the wait until its target after which a waiting request is rejected rather than served late.
const WAIT_SHARE: f64 = 0.7;
/// A retry of a client has waited before: its wait is divided by this.
const RETRY_WAIT_DIVISOR: f64 = 2.0;

impl Scheduler {
    /// A waiting request that has used up most of its wait: it would be late, and those behind it as well.
    /// Acts where a late answer has a lower value density than some class's in time; who comes again has
    /// waited. Guards against overload of any cause. Hurts where a burst would have passed within the wait.
    pub(crate) fn waited_too_long(&self, request: &RequestRecord, max_value_density: f64) -> bool {
        let class = request.arrival.class;
        let (settings, known) = (&self.settings.classes[class.0], &self.classes[class.0]);
        let tries = if request.arrival.is_retry { RETRY_WAIT_DIVISOR } else { 1.0 };
        // What is estimated to cost more than usual takes more from those in the queue and waits for less.
        let usual = known.estimated_work.get(MIN_SAMPLES);
        let cost = match (usual, request.arrival.work) {
            (Some(usual), Some(work)) => micros(work) as f64 / usual.max(1.0),
            _ => 1.0,
        };
        // Where a class's mean is near its objective its targets lie in the past; a moment without capacity
        // is no overload.
        let least = micros(settings.latency_objective).min(request.deadline - request.arrived) / 4;
        let target = (request.dispatch_target - request.arrived).max(least);
        let wait = target as f64 * WAIT_SHARE / (tries * cost.max(1.0));
        let late_density = self.value_density(class) * settings.late_weight;
        late_density < max_value_density
            && self.may_reject(request)
            && (self.now - request.arrived) as f64 > wait
    }

    /// A rejection promises that a retry is harmless: only where no effect can come of the request.
    fn may_reject(&self, request: &RequestRecord) -> bool {
        match self.settings.classes[request.arrival.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            _ => request.possible_run.is_none() && request.in_flight.is_none(),
        }
    }

    /// Ends a request: rejected where a retry is harmless, failed otherwise.
    pub(crate) fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(attempt) = &request.in_flight
            && self.settings.limits.cancel
        {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        }
        actions.push(if self.may_reject(request) {
            Action::Reject { request: id, retry_after: self.settings.limits.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.requests.remove(id);
    }

    /// A request's client has disconnected.
    pub(crate) fn on_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(attempt) = &request.in_flight
            && self.settings.limits.cancel
            && !request.streaming
        {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        }
        self.demote_abandoned(id, actions);
        self.requests.remove(id);
    }

    /// A process that stood still hears at once of all that came meanwhile: those latencies are its own, not
    /// learned.
    pub(crate) fn detect_own_stall(&mut self) {
        let has_begun = self.next_housekeeping > i64::MIN;
        self.stalled = has_begun && self.now - self.next_housekeeping > OWN_STALL;
    }

    pub(crate) fn keep_house(&mut self, actions: &mut Vec<Action>) {
        if self.subscribe_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        if self.now < self.next_housekeeping {
            return;
        }
        let round = micros(self.settings.tick).max(1000) * ROUND_TICKS;
        self.next_housekeeping = self.now + round;
        actions.push(Action::WakeAfter(duration(round)));
        let period_ends = self.now - self.last_period >= PERIOD;
        if period_ends {
            self.end_period();
        }
        self.collect_in_flight_evidence();
        self.adjust_bounds(period_ends);
        self.eject_silent(actions);
        self.review_requests(round, actions);
    }

    fn end_period(&mut self) {
        let warm = self.engines.in_service().filter(|engine| self.warm_up(engine) >= 1.0).count();
        if warm > 0 {
            let rate = self.warm_sent / warm as f64 / SECOND as f64;
            let weight = if self.warm_rate == 0.0 { 1.0 } else { RATE_WEIGHT };
            self.warm_rate += (rate - self.warm_rate) * weight;
        }
        self.warm_sent = 0.0;
        self.last_period = self.now;
        for class in &mut self.classes {
            class.best_time = class.best_time.map(|time| time * BEST_DRIFT);
        }
        self.expire();
    }

    fn review_requests(&mut self, round: i64, actions: &mut Vec<Action>) {
        let max_value_density = self.max_value_density();
        let (mut to_answer, mut to_demote, mut to_retry) = (Vec::new(), Vec::new(), Vec::new());
        for (id, request) in self.requests.iter().filter(|(_, request)| !request.streaming) {
            let gives_up_soon = request.deadline <= self.now + 2 * round;
            let is_overdue = request.deadline + micros(self.settings.tick) < self.now;
            match &request.in_flight {
                None if gives_up_soon || self.waited_too_long(request, max_value_density) => {
                    to_answer.push(id)
                }
                Some(_) if is_overdue => to_answer.push(id),
                Some(_) if gives_up_soon => to_demote.push(id),
                Some(attempt) if self.is_lost(attempt) => to_retry.push(id),
                _ => {}
            }
        }
        for id in to_retry {
            self.cancel_for_retry(id, actions);
        }
        for id in to_demote {
            self.demote_abandoned(id, actions);
        }
        for id in to_answer {
            self.answer(id, actions);
        }
    }

    /// Progress reports tell of all that runs: the end of an attempt that misses them is lost, wherever it
    /// is.
    fn is_lost(&self, attempt: &InFlightAttempt) -> bool {
        let interval = self.settings.engine.progress_interval.filter(|_| !self.stalled);
        let is_silent = |interval| self.now - attempt.last_response > micros(interval) * REPORTS_MISSED / 2;
        interval.is_some_and(is_silent)
    }
}
