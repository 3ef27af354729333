//! Steps the scheduler and carries out its actions.

use super::Broker;
use super::attempts::UnsentAttempt;
use crate::message::{EngineTransport, Failure, OutlierKind, OutlierReport, Rejection, Response};
use reedwalk_scheduler::{Action, AttemptEnded, AttemptNo, EngineId, Event, Outcome, RequestId};
use slog::{Drain, debug, info, warn};
use tokio::time::Instant;

impl<T: EngineTransport> Broker<T> {
    /// Steps the scheduler until carrying out its actions causes no further events.
    pub(super) fn step_scheduler(&mut self, now: Instant) {
        let mut actions = Vec::new();
        loop {
            let events = std::mem::take(&mut self.pending_events);
            self.scheduler.step(self.clock.time(now), &events, &mut actions);
            let mut unsent = Vec::new();
            for action in actions.drain(..) {
                unsent.extend(self.apply_action(action, now));
            }
            for attempt in unsent {
                self.report_unsent(attempt);
            }
            if self.pending_events.is_empty() {
                return;
            }
        }
    }

    /// Reports to the scheduler that a requested attempt was not sent.
    fn report_unsent(&mut self, attempt: UnsentAttempt) {
        let UnsentAttempt { request, number } = attempt;
        let closed = !self.requests.is_unanswered(request);
        let outcome = Outcome::NeverSent;
        let ended = AttemptEnded { request, attempt: number, outcome, closed, usage: None, load: None };
        self.pending_events.push(Event::Ended(ended));
    }

    /// Carries out an action. Returns the attempt that the action requested if it was not sent.
    fn apply_action(&mut self, action: Action, now: Instant) -> Option<UnsentAttempt> {
        match action {
            Action::Send { request, engine, timeout } => {
                // Attempt timeouts are converted from the scheduler's durations to instants only here.
                let timeout_at = timeout.map(|timeout| now + timeout);
                return self.send_attempt(request, engine, timeout_at, now).err();
            }
            Action::Cancel { request, attempt } => self.cancel_by_number(request, attempt),
            Action::Reject { request, retry_after } => {
                self.log_exclusions(request);
                self.respond(request, Response::Rejected { reason: Rejection::Busy, retry_after });
                self.remove_if_complete(request);
            }
            Action::Fail { request } => self.fail_request(request, now),
            Action::GrantResources { request, memory_mb, priority } => {
                self.set_resource_grant(request, memory_mb, priority);
            }
            Action::WakeAfter(after) => self.wake_at = Some(now + after),
            Action::EngineEjected { engine, unresponsive, duration } => {
                self.report_ejection(engine, unresponsive, now + duration);
            }
            Action::Log(line) => info!(self.log, "scheduler message"; "text" => line),
            // Health checks are not permitted here, and the name server is polled in any case.
            Action::CheckHealth(engine) => {
                warn!(self.log, "health check skipped, not permitted"; "engine" => engine.0)
            }
            Action::Subscribe => {}
        }
        None
    }

    /// Logs at debug level why no engine is eligible for a first attempt of a rejected request's class. Skipped without
    /// cost at other levels.
    fn log_exclusions(&self, request: RequestId) {
        if !self.log.is_debug_enabled() {
            return;
        }
        let Some(open) = self.requests.get(request) else { return };
        let exclusions = self.scheduler.explain_class_selection(open.request.class);
        let exclusions: Vec<String> = exclusions.iter().map(ToString::to_string).collect();
        debug!(self.log, "request rejected"; "trace" => self.requests.trace_text(request),
            "exclusions" => exclusions.join("; "));
    }

    fn cancel_by_number(&mut self, request: RequestId, number: AttemptNo) {
        let in_flight = self.requests.in_flight(request).iter();
        let found = in_flight.copied().find(|in_flight| in_flight.number == number);
        if let Some(attempt) = found {
            self.cancel_attempt(attempt.id, Outcome::Cancelled);
        }
    }

    fn fail_request(&mut self, request: RequestId, now: Instant) {
        let is_late = self.requests.get(request).is_some_and(|open| open.request.deadline <= now);
        let response = if is_late {
            Response::Failed(Failure::Deadline)
        } else {
            // The scheduler assumes that a request bound to an engine's group may have run; the idempotency tracker can
            // know that it has not.
            self.rejection_or_failure(request, Failure::Engine)
        };
        self.respond(request, response);
        self.remove_if_complete(request);
    }

    fn set_resource_grant(&mut self, request: RequestId, memory_mb: Option<f64>, priority: u8) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let has_changed = open.priority != priority;
        open.memory_mb = memory_mb;
        open.priority = priority;
        if has_changed {
            for attempt in &open.in_flight {
                self.transport.set_priority(attempt.id, priority);
            }
        }
    }

    fn report_ejection(&mut self, engine: EngineId, unresponsive: bool, ejected_until: Instant) {
        let (reason, kind) = if unresponsive {
            ("unresponsive", OutlierKind::Unresponsive)
        } else {
            ("failing", OutlierKind::Failing)
        };
        info!(self.log, "engine ejected"; "reason" => reason, "engine" => engine.0);
        self.report_outlier(OutlierReport { engine, kind, ejected_until });
    }
}
