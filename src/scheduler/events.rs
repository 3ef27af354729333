//! Event handlers.

use super::Scheduler;
use crate::interface::{Action, Arrival, AttemptNo, Event, ProgressReport, RequestId};
use crate::policy::outlier_detection;
use crate::policy::retry_policy::ProgressVerdict;
use crate::state::{PossibleRun, RequestRecord};
use crate::time::{TimeSpan, Timestamp};

impl Scheduler {
    pub(super) fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { scope, entries } => self.update_endpoints(*scope, entries),
            Event::EndpointListFailed => self.housekeeping.on_endpoint_list_failed(self.now),
            Event::CapacityShare(share) => self.set_capacity_share(*share),
            Event::LiveGateways(count) => self.set_live_gateways(*count),
            Event::EjectedByGossip { engine, duration } => {
                let duration = TimeSpan::from(*duration);
                outlier_detection::eject_on_gossip(&mut self.engines, *engine, duration, self.now);
            }
            Event::EngineRestarted { engine, started } => {
                if let Some(engine) = self.engines.get_mut(*engine) {
                    engine.slow_start.record_reported_restart(Timestamp::from(*started).min(self.now));
                }
            }
            Event::SlowdownObserved { engine, slowdown } => {
                self.observe_slowdown_by_gossip(*engine, *slowdown);
            }
            Event::Arrival(arrival) => self.on_arrival(arrival, actions),
            Event::BoundToGroup(request) => self.bind_to_group(*request),
            Event::StreamStarted { request, attempt } => self.on_stream_started(*request, *attempt),
            Event::Progress { request, attempt, report } => {
                self.on_progress(*request, *attempt, *report, actions);
            }
            Event::Ended(ended) => self.on_attempt_ended(ended, actions),
            Event::ClientDisconnected(request) => self.on_disconnect(*request, actions),
            Event::WakeUp | Event::HealthChecked { .. } => {}
        }
    }

    /// Enqueues a new request. Its dispatch target is arrival plus objective minus execution time, with the
    /// objective limited to the time that the client waits.
    fn on_arrival(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        let class = arrival.class;
        if class.0 >= self.estimates.len() || self.requests.contains(arrival.request) {
            return;
        }
        let time_left = TimeSpan::from(arrival.time_left);
        self.estimates.record_arrival(arrival);
        let objective = self.estimates.objective(class).min(time_left);
        let target = self.now + objective - self.estimates.execution_time(arrival);
        let mut request = RequestRecord::new(arrival.clone(), self.now, self.now + time_left, target);
        request.possible_run = arrival.prior_attempt.map(|prior| PossibleRun {
            group: Some(prior.group),
            sent: self.now - TimeSpan::from(prior.age),
        });
        self.retry_policy.record_request(self.now);
        self.requests.add(request, self.settings.classes[class.0].in_order);
        if time_left <= TimeSpan::ZERO {
            self.reject_or_fail(arrival.request, actions);
        }
    }

    /// Restricts a request to the deduplication group of its attempt, which the shared store has recorded.
    fn bind_to_group(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let run = request.in_flight.as_ref().map(|attempt| self.possible_run(request, attempt));
        if let Some(request) = self.requests.get_mut(id) {
            request.possible_run = request.possible_run.or(run);
        }
    }

    fn on_stream_started(&mut self, id: RequestId, attempt: AttemptNo) {
        let request = self.requests.get_mut(id);
        if let Some(request) = request.filter(|request| request.attempt(attempt).is_some()) {
            request.streaming = true;
        }
    }

    /// Handles an engine's report on a running attempt.
    fn on_progress(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        report: ProgressReport,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(id);
        let Some(attempt) = request.and_then(|request| request.attempt_mut(number)) else { return };
        attempt.last_response = self.now;
        if let Some(engine) = self.engines.get_mut(attempt.engine) {
            engine.attempts.record_response(self.now);
        }
        let ProgressReport::FractionDone(fraction_done) = report else { return };
        match self.progress_verdict(id, number, fraction_done) {
            Some(ProgressVerdict::CancelForRetry { projected_us }) => {
                if self.cancel_for_retry(id, actions)
                    && let Some(request) = self.requests.get_mut(id)
                {
                    request.bad_plan_time_us = Some(projected_us);
                }
            }
            Some(ProgressVerdict::EndRequest) => self.reject_or_fail(id, actions),
            Some(ProgressVerdict::Continue) | None => {}
        }
    }

    fn progress_verdict(
        &self,
        id: RequestId,
        number: AttemptNo,
        fraction_done: f64,
    ) -> Option<ProgressVerdict> {
        let request = self.requests.get(id)?;
        let attempt = request.attempt(number)?;
        Some(self.retry_policy.evaluate_progress(request, attempt, fraction_done, &self.estimates, self.now))
    }
}
