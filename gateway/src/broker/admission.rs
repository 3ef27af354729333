//! Admission checks before a request is passed to the scheduler: the broker's capacity, the team's quota, the start-up
//! phase, and what is known about the request's idempotency key.

use super::Broker;
use super::packed_rows::unpack;
use super::recovery_guard::RecoveryVerdict;
use super::request_table::OpenRequest;
use super::requests::request_timer;
use crate::message::{
    BrokerEvent, Charge, ClaimAnswer, EngineTransport, Failure, QuotaDecision, QuotaRequest, Rejection,
    Request, Response, ResponseHandle,
};
use reedwalk_scheduler::{Arrival, Event, RequestId, TableGroupId};
use reedwalk_shared_store::idempotency::{EarlierAttempt, RequestStep};
use tokio::time::Instant;

impl<T: EngineTransport> Broker<T> {
    /// Checks a request that has arrived.
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        mut request: Request,
        response: ResponseHandle,
        now: Instant,
    ) {
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            request.deadline = request.deadline.min(shutdown_deadline);
        }
        self.counters.arrived += 1;
        if !self.requests.has_capacity(self.capacity_share) {
            self.counters.rejected += 1;
            let retry_after = self.limits.retry_after;
            return response.send(Response::Rejected { reason: Rejection::Shed, retry_after });
        }
        if self.requests.contains_trace_id(&request.trace_id) {
            self.counters.failed += 1;
            return response.send(Response::Failed(Failure::IdInUse));
        }
        let quota_request = match self.quota_request(&request) {
            Ok(quota_request) => quota_request,
            Err(reason) => {
                self.counters.rejected += 1;
                return response.send(Response::Rejected { reason, retry_after: None });
            }
        };
        if let Some(trace_id) = self.single_run_id(&request)
            && !self.single_runs.claim(trace_id, now)
        {
            self.counters.failed += 1;
            return response.send(Response::Failed(Failure::IdInUse));
        }
        let (at, timer) = request_timer(id, request.deadline);
        self.timers.arm(at, timer);
        self.requests.insert(id, OpenRequest::new(request, response));
        match quota_request {
            Some(quota_request) => self.spawn_quota_check(id, quota_request),
            None => self.check_idempotency(id, now),
        }
    }

    /// Returns the quota units to charge for a request; `None` without quotas.
    fn quota_request(&self, request: &Request) -> Result<Option<QuotaRequest>, Rejection> {
        match &self.quotas {
            Some(quotas) => quotas.quota_request(request.team.as_deref(), request.class).map(Some),
            None => Ok(None),
        }
    }

    /// Charges a request's team. This may involve a call to the shared store, so it runs in a separate task.
    fn spawn_quota_check(&self, id: RequestId, quota_request: QuotaRequest) {
        let Some(quotas) = self.quotas.clone() else { return };
        let events = self.event_sender.clone();
        tokio::spawn(async move {
            let decision = quotas.charge(&quota_request).await;
            let _ = events.send(BrokerEvent::QuotaDecided { request: id, decision }).await;
        });
    }

    /// Continues with a request whose team has been charged, or rejects it if the quota is used up.
    pub(super) fn on_quota_decision(&mut self, id: RequestId, decision: QuotaDecision, now: Instant) {
        match decision {
            QuotaDecision::Admitted(charge) => {
                self.record_charge(id, charge);
                self.check_idempotency(id, now);
            }
            QuotaDecision::Exhausted(retry_after) => {
                let retry_after = Some(retry_after);
                self.respond(id, Response::Rejected { reason: Rejection::Budget, retry_after });
                self.remove_if_complete(id);
            }
        }
    }

    /// Records a charge, or refunds it if the request has ended meanwhile.
    fn record_charge(&mut self, id: RequestId, charge: Charge) {
        match self.requests.get_unanswered_mut(id) {
            Some(open) => open.charge = Some(charge),
            None => self.refund(&charge),
        }
    }

    /// Asks the recovery guard and the shared store what is known about a request's idempotency key.
    fn check_idempotency(&mut self, id: RequestId, now: Instant) {
        let Some(open) = self.requests.get_unanswered(id) else { return };
        let mut earlier = None;
        if let Some(recovery) = &mut self.recovery {
            match recovery.check(&open.request, now) {
                RecoveryVerdict::Admit(attempt) => earlier = attempt,
                RecoveryVerdict::Reject(retry_after) => {
                    return self.apply_idempotency_verdict(id, RequestStep::Reject(retry_after), now);
                }
            }
        }
        // The store knows what all gateways have sent, so it takes precedence over this gateway's own records.
        let step = match &mut self.idempotency {
            Some(idempotency) => idempotency.on_arrival(id, &open.request, now),
            None => RequestStep::Proceed(earlier),
        };
        self.apply_idempotency_verdict(id, step, now);
    }

    /// Continues with a request whose claim the shared store has answered; `answer` is `None` on timeout.
    pub(super) fn on_claim_answer(&mut self, id: RequestId, answer: Option<ClaimAnswer>, now: Instant) {
        let Some(idempotency) = &mut self.idempotency else { return };
        if let Some(step) = idempotency.on_claim_answer(id, answer) {
            self.apply_idempotency_verdict(id, step, now);
        }
    }

    fn apply_idempotency_verdict(&mut self, id: RequestId, step: RequestStep, now: Instant) {
        let response = match step {
            RequestStep::Claim => return,
            RequestStep::Proceed(earlier) => return self.admit(id, earlier, now),
            RequestStep::Respond(stored) => match unpack(&stored) {
                Some(rows) => Response::Served(rows),
                None => Response::Failed(Failure::Engine),
            },
            RequestStep::Reject(retry_after) => {
                Response::Rejected { reason: Rejection::Busy, retry_after: Some(retry_after) }
            }
            RequestStep::Fail => Response::Failed(Failure::Engine),
        };
        self.respond(id, response);
        self.remove_if_complete(id);
    }

    /// Passes a request to the scheduler. `earlier` is an attempt of an earlier request with the same idempotency key.
    fn admit(&mut self, id: RequestId, earlier: Option<EarlierAttempt>, now: Instant) {
        let Some(open) = self.requests.get_unanswered_mut(id) else { return };
        open.first_sent_at = earlier.as_ref().and_then(|attempt| now.checked_sub(attempt.age));
        let request = &open.request;
        self.pending_events.push(Event::Arrival(Arrival {
            request: id,
            class: request.class,
            tenant: Default::default(),
            ordering_key: request.idempotency_key.as_deref().map(reedwalk_settings::key_id),
            table_group: request.table_group.map(TableGroupId),
            time_left: request.deadline.saturating_duration_since(now),
            work: request.work,
            memory_mb: request.memory_mb,
            is_retry: request.is_retry,
            prior_attempt: earlier
                .map(|attempt| reedwalk_scheduler::PriorAttempt { group: attempt.group, age: attempt.age }),
        }));
    }
}
