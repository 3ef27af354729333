//! Requests with an idempotency key that gateways share in a store. `reedwalk-shared-store` decides what a request may
//! do; this module tracks the state of each request and calls the store on its behalf. Nothing here blocks: the store's
//! answers arrive in the broker's queue.

use super::dedup_groups::DeduplicationGroups;
use super::packed_rows::pack;
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, ClaimAnswer, Request, Rows};
use crate::shared_store::client::{Key, SharedStoreClient};
use crate::unix_clock::unix_ms;
use reedwalk_scheduler::{Deduplication, DeduplicationScope, EngineEntry, RequestId};
use reedwalk_settings::Deployment;
use reedwalk_shared_store::idempotency::{
    ClaimEnd, ClaimHolder, DeduplicationDomain, KeyedRequest, RequestEnd, RequestStep, SendDecision,
    SendRecord,
};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum length in bytes of a client's key that is shared. A request with a longer key follows only the rules of its
/// class.
const MAX_SHARED_KEY_BYTES: usize = 128;

struct TrackedRequest {
    state: KeyedRequest,
    key: Key,
    holder: ClaimHolder,
    deduplication: Deduplication,
    /// Whether a claim was sent to the store and not answered yet.
    claim_pending: bool,
}

/// Whether the broker sends an attempt that the scheduler requested.
pub(super) enum SendVerdict {
    /// The attempt may be sent now.
    Send(AttemptRequest),
    /// The attempt is held until the store has recorded its destination.
    AwaitRecord,
    /// The attempt must not be sent.
    DoNotSend,
}

/// Tracks the open requests that have an idempotency key.
pub(super) struct IdempotencyTracker {
    store: Arc<SharedStoreClient>,
    /// Name of each class and, if its requests have keys, how engines deduplicate them.
    classes: Vec<(String, Option<Deduplication>)>,
    groups: DeduplicationGroups,
    open: HashMap<RequestId, TrackedRequest>,
    /// Requests that ended before their claims were answered.
    ended_before_claim: HashMap<RequestId, TrackedRequest>,
    /// Attempts held until the store has recorded their destinations.
    awaiting_record: HashMap<AttemptId, AttemptRequest>,
    events: mpsc::Sender<BrokerEvent>,
}

impl IdempotencyTracker {
    /// Creates a tracker that calls the store through `store` and receives the answers through `events`.
    pub(super) fn new(
        store: Arc<SharedStoreClient>,
        deployment: &Deployment,
        events: mpsc::Sender<BrokerEvent>,
    ) -> Self {
        let names = deployment.sockets.classes.iter().cloned();
        let keyed = deployment.scheduler.classes.iter().map(|class| class.idempotency.deduplication());
        Self {
            store,
            classes: names.zip(keyed).collect(),
            groups: DeduplicationGroups::default(),
            open: HashMap::new(),
            ended_before_claim: HashMap::new(),
            awaiting_record: HashMap::new(),
            events,
        }
    }

    /// Applies changes of the endpoint list.
    pub(super) fn update_endpoints(&mut self, entries: &[EngineEntry]) {
        self.groups.update(entries);
    }

    /// Returns the first step of a request that has arrived. With [`RequestStep::Claim`] the claim has been sent.
    pub(super) fn on_arrival(&mut self, id: RequestId, request: &Request, now: Instant) -> RequestStep {
        let Some(idempotency_key) = &request.idempotency_key else { return RequestStep::Proceed(None) };
        let Some((name, Some(deduplication))) = self.classes.get(request.class.0) else {
            return RequestStep::Proceed(None);
        };
        let deduplication = *deduplication;
        let answer_deadline = now + self.store.options().wait;
        let domain = if deduplication.scope == DeduplicationScope::All {
            DeduplicationDomain::All
        } else {
            DeduplicationDomain::Group
        };
        let mut state = KeyedRequest::new(
            domain,
            request.is_retry,
            deduplication.window,
            self.store.options().clocks_differ,
        );
        let is_shared = idempotency_key.len() <= MAX_SHARED_KEY_BYTES;
        let step = state.on_arrival(is_shared && self.store.is_usable(now, answer_deadline));
        let key = self.store.request_key(name, idempotency_key);
        let holder = self.store.next_holder();
        let claim_pending = step == RequestStep::Claim;
        let tracked = TrackedRequest { state, key, holder, deduplication, claim_pending };
        if claim_pending {
            self.spawn_claim(id, &tracked, request.is_retry, answer_deadline);
        }
        self.open.insert(id, tracked);
        step
    }

    fn spawn_claim(&self, id: RequestId, tracked: &TrackedRequest, is_retry: bool, answer_deadline: Instant) {
        let (store, events, key) = (self.store.clone(), self.events.clone(), tracked.key.clone());
        let (holder, window) = (tracked.holder, tracked.deduplication.window);
        tokio::spawn(async move {
            let answer = store.claim(&key, holder, is_retry, window, answer_deadline).await;
            let _ = events.send(BrokerEvent::ClaimAnswered { request: id, answer }).await;
        });
    }

    /// Handles the store's answer to a claim. Returns the request's next step; `None` if the request has ended.
    pub(super) fn on_claim_answer(
        &mut self,
        id: RequestId,
        answer: Option<ClaimAnswer>,
    ) -> Option<RequestStep> {
        if let Some(tracked) = self.ended_before_claim.remove(&id) {
            // Nothing was sent, so the next request with this key finds the state from before the claim.
            self.store.end_claim(
                tracked.key,
                tracked.holder,
                tracked.deduplication.window,
                ClaimEnd::Release,
            );
        }
        let tracked = self.open.get_mut(&id)?;
        tracked.claim_pending = false;
        let trusted = answer.as_ref().is_some_and(|answer| answer.trusted);
        let reply = answer.map(|answer| answer.reply);
        let (step, end) = tracked.state.on_claim_reply(reply, trusted, unix_ms());
        if let Some(end) = end {
            self.store.end_claim(tracked.key.clone(), tracked.holder, tracked.deduplication.window, end);
        }
        Some(step)
    }

    /// Decides whether an attempt that the scheduler requested may be sent.
    pub(super) fn before_send(
        &mut self,
        id: RequestId,
        attempt: AttemptRequest,
        now: Instant,
    ) -> SendVerdict {
        let Some(tracked) = self.open.get_mut(&id) else { return SendVerdict::Send(attempt) };
        // If an engine is in no group, it is unknown which other engines would deduplicate a retry.
        let group = self.groups.group_of(attempt.engine, tracked.deduplication.scope).unwrap_or(u64::MAX);
        match tracked.state.before_send(group, unix_ms()) {
            SendDecision::SendNow => SendVerdict::Send(attempt),
            SendDecision::DoNotSend => SendVerdict::DoNotSend,
            SendDecision::RecordFirst(record) => {
                self.spawn_record(id, attempt, record, now);
                SendVerdict::AwaitRecord
            }
        }
    }

    /// Asks the store to record an attempt's destination, and holds the attempt until the answer.
    fn spawn_record(&mut self, id: RequestId, attempt: AttemptRequest, record: SendRecord, now: Instant) {
        let Some(tracked) = self.open.get(&id) else { return };
        let (store, events, key) = (self.store.clone(), self.events.clone(), tracked.key.clone());
        let (holder, window, attempt_id) = (tracked.holder, tracked.deduplication.window, attempt.id);
        let answer_deadline = now + self.store.options().wait;
        self.awaiting_record.insert(attempt_id, attempt);
        tokio::spawn(async move {
            let recorded = if store.is_usable(Instant::now(), answer_deadline) {
                store.record_sent(&key, holder, record, window, answer_deadline).await
            } else {
                None
            };
            let _ = events.send(BrokerEvent::SendRecorded { attempt: attempt_id, record, recorded }).await;
        });
    }

    /// Handles the store's answer on a record. Returns the held attempt if it may be sent now.
    pub(super) fn on_send_recorded(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        record: SendRecord,
        recorded: Option<bool>,
    ) -> Option<AttemptRequest> {
        let attempt = self.awaiting_record.remove(&attempt)?;
        let verdict = self.open.get_mut(&id)?.state.on_recorded(record, recorded);
        (verdict == SendDecision::SendNow).then_some(attempt)
    }

    /// Handles the end of an attempt. `may_have_run` says whether it may have run on its engine.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, attempt: AttemptId, may_have_run: bool) {
        // An attempt that is still held was never sent.
        let was_sent = self.awaiting_record.remove(&attempt).is_none();
        if let Some(tracked) = self.open.get_mut(&id) {
            tracked.state.on_attempt_end(was_sent && may_have_run);
        }
    }

    /// Whether a failed request is safe to retry because none of its attempts can have run.
    pub(super) fn is_safe_to_retry(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|tracked| !tracked.state.may_have_run())
    }

    /// Handles the end of a request; `rows` is its result if it was served.
    pub(super) fn on_request_ended(&mut self, id: RequestId, rows: Option<&Rows>) {
        let Some(mut tracked) = self.open.remove(&id) else { return };
        let end = match rows {
            Some(rows) => RequestEnd::Served(pack(rows)),
            None => RequestEnd::Unserved,
        };
        if let Some(end) = tracked.state.on_request_end(end) {
            self.store.end_claim(tracked.key, tracked.holder, tracked.deduplication.window, end);
        } else if tracked.claim_pending {
            self.ended_before_claim.insert(id, tracked);
        } else {
            self.store.stop_renewal(tracked.holder);
        }
    }
}
