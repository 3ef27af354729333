//! Sending and cancelling attempts, and handling their results.

use super::Broker;
use super::attempt_table::InFlightAttempt;
use super::idempotency::SendVerdict;
use super::request_table::{AttemptRef, OpenRequest};
use super::timers::Timer;
use crate::message::{
    AttemptId, AttemptRequest, AttemptResult, EngineTransport, OutlierKind, OutlierReport, Response,
};
use reedwalk_scheduler::{AttemptEnded, AttemptNo, EngineId, Event, Outcome, RequestId};
use reedwalk_shared_store::idempotency::SendRecord;
use slog::debug;
use tokio::time::Instant;

/// An attempt that the scheduler requested and that was not sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnsentAttempt {
    pub(super) request: RequestId,
    /// Number of the attempt within its request.
    pub(super) number: AttemptNo,
}

impl<T: EngineTransport> Broker<T> {
    /// Sends an attempt that times out at `timeout_at` or at its request's deadline, whichever is earlier.
    pub(super) fn send_attempt(
        &mut self,
        request: RequestId,
        engine: EngineId,
        timeout_at: Option<Instant>,
        now: Instant,
    ) -> Result<(), UnsentAttempt> {
        let Some(open) = self.requests.get_mut(request) else {
            return Err(UnsentAttempt { request, number: AttemptNo(0) });
        };
        let number = AttemptNo(open.attempt_count);
        let unsent = UnsentAttempt { request, number };
        open.attempt_count += 1;
        if open.disconnected.is_cancelled() {
            // The disconnect event is still in the queue, or was dropped because the queue was full.
            self.on_disconnect(request);
            return Err(unsent);
        }
        let is_over = !open.is_unanswered() || open.request.deadline <= now;
        if is_over || number.0 >= self.limits.max_attempts {
            return Err(unsent);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.before_send(&open.request, engine, now);
        }
        let id = self.attempts.next_id();
        let deadline = match timeout_at {
            Some(timeout_at) => timeout_at.min(open.request.deadline),
            None => open.request.deadline,
        };
        let dedup_window = self.limits.dedup_windows.get(open.request.class.0).copied().flatten();
        let dedup_window_end =
            open.first_sent_at.zip(dedup_window).and_then(|(sent_at, window)| sent_at.checked_add(window));
        let write_deadline = dedup_window_end.map_or(deadline, |window_end| window_end.min(deadline));
        let attempt = attempt_request(open, id, engine, deadline, write_deadline);
        let in_flight = InFlightAttempt {
            request,
            number,
            engine,
            sent_at: now,
            deadline,
            cancelled: attempt.cancelled.clone(),
            cancel_outcome: None,
        };
        if !self.start_attempt(request, attempt, now) {
            return Err(unsent);
        }
        self.track_attempt(id, in_flight);
        Ok(())
    }

    /// Passes an attempt to the transport, or holds it until the shared store has recorded it. Returns `false` if it
    /// was not sent and will not be sent later.
    fn start_attempt(&mut self, request: RequestId, attempt: AttemptRequest, now: Instant) -> bool {
        let id = attempt.id;
        let verdict = match &mut self.idempotency {
            Some(idempotency) => idempotency.before_send(request, attempt, now),
            None => SendVerdict::Send(attempt),
        };
        match verdict {
            SendVerdict::DoNotSend => {
                self.end_unsendable_request(request);
                return false;
            }
            SendVerdict::AwaitRecord => {}
            SendVerdict::Send(attempt) => {
                if !self.transport.start(attempt, now) {
                    if let Some(idempotency) = &mut self.idempotency {
                        idempotency.on_attempt_ended(request, id, false);
                    }
                    return false;
                }
            }
        }
        self.requests.get(request).is_some()
    }

    fn track_attempt(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        let InFlightAttempt { request, number, engine, deadline, .. } = attempt;
        if let Some(open) = self.requests.get_mut(request) {
            open.in_flight.push(AttemptRef { number, id });
        }
        self.attempts.insert(id, attempt);
        self.timers.arm(deadline, Timer::Attempt(id));
        self.counters.attempts_sent += 1;
        debug!(self.log, "attempt sent"; "trace" => self.requests.trace_text(request),
            "attempt" => number.0, "engine" => engine.0);
    }

    /// Sends an attempt whose destination the shared store has recorded, or ends it if it may not be sent. `recorded`
    /// is `None` if the store did not answer in time.
    pub(super) fn on_send_recorded(
        &mut self,
        id: AttemptId,
        record: SendRecord,
        recorded: Option<bool>,
        now: Instant,
    ) {
        let Some(request) = self.attempts.get(id).map(|attempt| attempt.request) else { return };
        let tracker = self.idempotency.as_mut();
        let attempt = tracker.and_then(|tracker| tracker.on_send_recorded(request, id, record, recorded));
        let Some(attempt) = attempt else {
            self.on_attempt_ended(id, Outcome::NeverSent.into());
            self.end_unsendable_request(request);
            return;
        };
        if recorded == Some(true) {
            self.pending_events.push(Event::BoundToGroup(request));
        }
        if !self.transport.start(attempt, now) {
            self.on_attempt_ended(id, Outcome::NeverSent.into());
        }
    }

    /// Cancels an attempt, which then ends with this outcome. Without hedging the attempt stays in flight until its
    /// cancellation has been written to the engine; otherwise the next attempt could overtake the cancellation.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_uncancelled_mut(id) else { return };
        attempt.cancelled.cancel();
        let awaits_confirmation = self.transport.cancel(id);
        let may_retry = self.requests.is_unanswered(attempt.request);
        if awaits_confirmation && may_retry && !self.limits.allows_hedging {
            attempt.cancel_outcome = Some(outcome);
            let deadline = attempt.deadline;
            self.timers.disarm(deadline, Timer::Attempt(id));
        } else {
            self.on_attempt_ended(id, outcome.into());
        }
    }

    /// Handles the end of an attempt: responds to the client if it succeeded, and notifies the scheduler.
    pub(super) fn on_attempt_ended(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let AttemptResult { outcome, usage, load, rows } = result;
        self.timers.disarm(attempt.deadline, Timer::Attempt(id));
        attempt.cancelled.cancel();
        let mut closed = self.record_attempt_end(id, &attempt, outcome);
        if let Some(idempotency) = &mut self.idempotency {
            idempotency.on_attempt_ended(attempt.request, id, !outcome.never_ran());
        }
        if let (Outcome::Ok, Some(rows)) = (outcome, rows) {
            self.respond(attempt.request, Response::Served(rows));
            closed = true;
        }
        let (request, number) = (attempt.request, attempt.number);
        self.pending_events.push(Event::Ended(AttemptEnded {
            request,
            attempt: number,
            outcome,
            closed,
            usage,
            load,
        }));
        debug!(self.log, "attempt ended"; "trace" => self.requests.trace_text(request),
            "attempt" => number.0, "engine" => attempt.engine.0, "outcome" => ?outcome, "closed" => closed);
        self.remove_if_complete(request);
    }

    /// Updates the request of an attempt that has ended. Returns whether the request needs no response any longer.
    fn record_attempt_end(&mut self, id: AttemptId, attempt: &InFlightAttempt, outcome: Outcome) -> bool {
        let Some(open) = self.requests.get_mut(attempt.request) else { return true };
        open.in_flight.retain(|in_flight| in_flight.id != id);
        if !outcome.never_ran() {
            open.may_have_run = true;
            open.first_sent_at.get_or_insert(attempt.sent_at);
        }
        let needs_no_response = !open.is_unanswered();
        let is_error = outcome == Outcome::Error;
        // A second error is attributed to the request itself and is no evidence against the engine.
        let is_repeated_error = is_error && open.had_error;
        open.had_error |= is_error;
        let has_failed = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if has_failed && !is_repeated_error {
            let (engine, kind) = (attempt.engine, OutlierKind::AttemptFailed);
            self.report_outlier(OutlierReport { engine, kind, ejected_until: Instant::now() });
        }
        needs_no_response
    }

    /// Reports an observation of an engine to other gateways. If the queue is full, the report is dropped, and lost
    /// until the same is observed again.
    pub(super) fn report_outlier(&self, report: OutlierReport) {
        if let Some(gossip) = &self.context.gossip {
            let _ = gossip.outliers.try_send(report);
        }
    }
}

/// Builds the attempt that is passed to the transport.
fn attempt_request(
    open: &OpenRequest,
    id: AttemptId,
    engine: EngineId,
    deadline: Instant,
    write_deadline: Instant,
) -> AttemptRequest {
    let request = &open.request;
    AttemptRequest {
        id,
        engine,
        trace_id: request.trace_id.clone(),
        class: request.class,
        deadline,
        write_deadline,
        cancelled: open.disconnected.child_token(),
        idempotency_key: request.idempotency_key.clone(),
        memory_mb: open.memory_mb,
        priority: open.priority,
        is_update: request.is_update,
        statement: request.statement.clone(),
    }
}
