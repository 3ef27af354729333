//! How requests end: by a response, a disconnected client or an expired deadline.

use super::timers::Timer;
use super::{Broker, DISCONNECT_SCAN_INTERVAL};
use crate::message::{Charge, EngineTransport, Failure, Rejection, Request, Response};
use crate::request_ids::TraceId;
use reedwalk_scheduler::{Event, Outcome, RequestId};
use slog::debug;
use std::time::Duration;
use tokio::time::Instant;

/// The scheduler ends a request at its deadline. If it has not done so this long after the deadline, the broker does,
/// still within the slack that the rules allow.
const DEADLINE_GRACE: Duration = Duration::from_millis(8);

/// Returns the timer of a request with this deadline, and when it expires.
pub(super) fn request_timer(id: RequestId, deadline: Instant) -> (Instant, Timer) {
    (deadline + DEADLINE_GRACE, Timer::Request(id))
}

impl<T: EngineTransport> Broker<T> {
    /// Sends a request's final response, unless the request has already been answered.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(sender) = self.requests.take_response(id) else { return };
        debug!(self.log, "request answered"; "trace" => self.requests.trace_text(id),
            "rejected" => matches!(response, Response::Rejected { .. }),
            "served" => matches!(response, Response::Served(_)));
        match &response {
            Response::Served(_) => self.counters.served += 1,
            Response::Rejected { .. } => {
                self.counters.rejected += 1;
                self.refund_if_never_run(id);
            }
            Response::Failed(_) => self.counters.failed += 1,
        }
        if let Some(idempotency) = &mut self.idempotency {
            let rows = match &response {
                Response::Served(rows) => Some(rows),
                _ => None,
            };
            idempotency.on_request_ended(id, rows);
        }
        // Sending fails if the client has just disconnected, which needs no handling.
        let _ = sender.send(response);
    }

    /// Refunds the quota units of a rejected request. A rejection means that a retry is safe, not that no engine has
    /// worked on the request, so a request that may have run stays charged.
    fn refund_if_never_run(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.may_have_run || !open.in_flight.is_empty() {
            return;
        }
        if let Some(charge) = open.charge.take() {
            self.refund(&charge);
        }
    }

    /// Refunds the quota units charged for a request that never ran.
    pub(super) fn refund(&self, charge: &Charge) {
        if let Some(quotas) = &self.quotas {
            quotas.refund(charge);
        }
    }

    /// Ends a request for which no further attempt may be sent: with a rejection if it cannot have run, otherwise with
    /// a failure.
    pub(super) fn end_unsendable_request(&mut self, id: RequestId) {
        let response = self.rejection_or_failure(id, Failure::Engine);
        self.respond(id, response);
        self.pending_events.push(Event::ClientDisconnected(id));
        self.remove_if_complete(id);
    }

    /// Returns a rejection if the idempotency tracker knows that a retry is safe, otherwise `failure`.
    pub(super) fn rejection_or_failure(&self, id: RequestId, failure: Failure) -> Response {
        let tracker = self.idempotency.as_ref();
        if tracker.is_some_and(|idempotency| idempotency.is_safe_to_retry(id)) {
            return Response::Rejected { reason: Rejection::Busy, retry_after: self.limits.retry_after };
        }
        Response::Failed(failure)
    }

    /// Ends a request whose client has disconnected.
    pub(super) fn on_disconnect(&mut self, id: RequestId) {
        if self.requests.take_response(id).is_none() {
            return;
        }
        self.counters.disconnected += 1;
        debug!(self.log, "client disconnected"; "trace" => self.requests.trace_text(id));
        // Attempts that have not been written yet are withdrawn even if the engines support no cancellation.
        for attempt in self.requests.in_flight(id) {
            if let Some(attempt) = self.attempts.get(attempt.id) {
                attempt.cancelled.cancel();
            }
        }
        if let Some(idempotency) = &mut self.idempotency {
            idempotency.on_request_ended(id, None);
        }
        self.pending_events.push(Event::ClientDisconnected(id));
        self.remove_if_complete(id);
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if let Some(open) = self.requests.remove_if_complete(id) {
            let (at, timer) = request_timer(id, open.request.deadline);
            self.timers.disarm(at, timer);
            if let Some(trace_id) = self.single_run_id(&open.request) {
                if open.may_have_run {
                    self.single_runs.block(trace_id, Instant::now());
                } else {
                    self.single_runs.release(trace_id);
                }
            }
        }
    }

    /// The client's id of a request whose class must not run twice; `None` for all others.
    pub(super) fn single_run_id(&self, request: &Request) -> Option<TraceId> {
        let runs_once = self.limits.runs_once.get(request.class.0).copied().unwrap_or_default();
        if runs_once { TraceId::parse(&request.trace_id) } else { None }
    }

    /// Moves all request deadlines that are later than `end` to `end`.
    pub(super) fn shorten_deadlines(&mut self, end: Instant) {
        for (id, open) in self.requests.with_deadline_after(end) {
            let (at, timer) = request_timer(id, open.request.deadline);
            self.timers.disarm(at, timer);
            open.request.deadline = end;
            let (at, timer) = request_timer(id, end);
            self.timers.arm(at, timer);
        }
    }

    /// Ends attempts and requests whose deadlines have passed and requests whose clients disconnected without an event,
    /// and wakes the scheduler when it is due.
    pub(super) fn process_timers(&mut self, now: Instant) {
        if self.next_disconnect_scan <= now {
            self.next_disconnect_scan = now + DISCONNECT_SCAN_INTERVAL;
            for id in self.requests.disconnected() {
                self.on_disconnect(id);
            }
        }
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Attempt(attempt) => self.cancel_attempt(attempt, Outcome::TimedOut),
                Timer::Request(id) => self.on_request_timeout(id),
            }
        }
        if self.wake_at.is_some_and(|wake_at| wake_at <= now) {
            self.wake_at = None;
            self.pending_events.push(Event::WakeUp);
            self.context.metrics.set_unavailable(self.scheduler.unavailable_engines());
            self.report_periodically(now);
        }
    }

    fn on_request_timeout(&mut self, id: RequestId) {
        if self.requests.is_unanswered(id) {
            self.respond(id, Response::Failed(Failure::Deadline));
            self.pending_events.push(Event::ClientDisconnected(id));
            self.remove_if_complete(id);
        }
        // No further attempt can follow, so there is no need to wait for confirmations of cancellations.
        for attempt in self.requests.in_flight(id).to_vec() {
            if let Some(outcome) = self.attempts.cancel_outcome(attempt.id) {
                self.on_attempt_ended(attempt.id, outcome.into());
            }
        }
    }

    /// Logs the counters and publishes the observations of engines to other gateways, once per interval.
    fn report_periodically(&mut self, now: Instant) {
        let (open_requests, in_flight) = (self.requests.len(), self.attempts.len());
        if !self.counter_logger.tick(self.counters, open_requests, in_flight, now, &self.log) {
            return;
        }
        if let Some(gossip) = &self.context.gossip {
            gossip.observations.send_replace(self.scheduler.observations().collect());
        }
    }
}
