//! Requests with an idempotency key, where gateways share the keys in a store. What a request may do is decided in
//! `reedwalk-shared-store`; this tracks how far each request is and asks the store for it. Nothing here waits: the store's
//! answers arrive in the broker's queue.

use super::dedup_groups::DeduplicationGroups;
use super::packed_rows::pack;
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, ClaimAnswer, Request, Rows};
use crate::shared_store::client::{Key, SharedStoreClient};
use crate::unix_clock::unix_ms;
use reedwalk_scheduler::{Deduplication, DeduplicationScope, EngineEntry, RequestId};
use reedwalk_settings::Deployment;
use reedwalk_shared_store::idempotency::{
    ClaimEnd, ClaimHolder, KeyedRequest, RequestEnd, RequestStep, Scope, SendDecision, SendRecord,
};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Bytes of a client's key at most that are shared; a request with a longer one goes by its class's own rules.
const MAX_SHARED_KEY_BYTES: usize = 128;

struct TrackedRequest {
    state: KeyedRequest,
    key: Key,
    holder: ClaimHolder,
    class: Deduplication,
    /// The store has been asked for a claim and has not answered yet.
    claim_pending: bool,
}

/// What the broker does with an attempt that the scheduler wants sent.
pub(super) enum SendVerdict {
    /// It may be sent now.
    Send(AttemptRequest),
    /// It is kept until the store has recorded where it goes.
    AwaitRecord,
    /// It must not be sent.
    Never,
}

/// The open requests that have an idempotency key.
pub(super) struct IdempotencyTracker {
    store: Arc<SharedStoreClient>,
    /// For each class its name and, where its requests have keys, how those are remembered.
    classes: Vec<(String, Option<Deduplication>)>,
    groups: DeduplicationGroups,
    open: HashMap<RequestId, TrackedRequest>,
    /// Requests that ended before the answer to their claim came.
    ended_before_claim: HashMap<RequestId, TrackedRequest>,
    /// Attempts that are sent once the store has recorded them.
    awaiting_record: HashMap<AttemptId, AttemptRequest>,
    events: mpsc::Sender<BrokerEvent>,
}

impl IdempotencyTracker {
    /// A tracker that asks the store over `store` and gets its answers through `events`.
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

    /// Applies changed entries of the endpoint list.
    pub(super) fn update_endpoints(&mut self, entries: &[EngineEntry]) {
        self.groups.update(entries);
    }

    /// A request has arrived: what it does first. On [`RequestStep::Claim`] the claim is on its way.
    pub(super) fn arrive(&mut self, id: RequestId, request: &Request, now: Instant) -> RequestStep {
        let Some(idempotency_key) = &request.idempotency_key else { return RequestStep::Proceed(None) };
        let Some((name, Some(class))) = self.classes.get(request.class.0) else {
            return RequestStep::Proceed(None);
        };
        let class = *class;
        let answer_deadline = now + self.store.options().wait;
        let scope = if class.scope == DeduplicationScope::All { Scope::All } else { Scope::Group };
        let mut state =
            KeyedRequest::new(scope, request.is_retry, class.window, self.store.options().clocks_differ);
        let is_shared = idempotency_key.len() <= MAX_SHARED_KEY_BYTES;
        let step = state.on_arrival(is_shared && self.store.is_usable(now, answer_deadline));
        let key = self.store.request_key(name, idempotency_key);
        let holder = self.store.next_holder();
        let claim_pending = step == RequestStep::Claim;
        let tracked = TrackedRequest { state, key, holder, class, claim_pending };
        if claim_pending {
            self.spawn_claim(id, &tracked, request.is_retry, answer_deadline);
        }
        self.open.insert(id, tracked);
        step
    }

    fn spawn_claim(&self, id: RequestId, tracked: &TrackedRequest, is_retry: bool, answer_deadline: Instant) {
        let (store, events, key) = (self.store.clone(), self.events.clone(), tracked.key.clone());
        let (holder, window) = (tracked.holder, tracked.class.window);
        tokio::spawn(async move {
            let answer = store.claim(&key, holder, is_retry, window, answer_deadline).await;
            let _ = events.send(BrokerEvent::ClaimAnswered { request: id, answer }).await;
        });
    }

    /// The store's answer to a claim: what the request does next; `None` where it has ended.
    pub(super) fn on_claim_answer(
        &mut self,
        id: RequestId,
        answer: Option<ClaimAnswer>,
    ) -> Option<RequestStep> {
        if let Some(tracked) = self.ended_before_claim.remove(&id) {
            // Nothing was sent: the next request of this key finds what stood there before.
            self.store.end_claim(tracked.key, tracked.holder, tracked.class.window, ClaimEnd::Release);
        }
        let tracked = self.open.get_mut(&id)?;
        tracked.claim_pending = false;
        let trusted = answer.as_ref().is_some_and(|answer| answer.trusted);
        let claimed = answer.map(|answer| answer.claimed);
        let (step, end) = tracked.state.on_claim_reply(claimed, trusted, unix_ms());
        if let Some(end) = end {
            self.store.end_claim(tracked.key.clone(), tracked.holder, tracked.class.window, end);
        }
        Some(step)
    }

    /// The scheduler wants an attempt sent.
    pub(super) fn before_send(
        &mut self,
        id: RequestId,
        attempt: AttemptRequest,
        now: Instant,
    ) -> SendVerdict {
        let Some(tracked) = self.open.get_mut(&id) else { return SendVerdict::Send(attempt) };
        // For an engine in no group it is not known which engines deduplicate its retries.
        let group = self.groups.group_of(attempt.engine, tracked.class.scope).unwrap_or(u64::MAX);
        match tracked.state.before_send(group, unix_ms()) {
            SendDecision::SendNow => SendVerdict::Send(attempt),
            SendDecision::DoNotSend => SendVerdict::Never,
            SendDecision::RecordFirst(sent) => {
                self.spawn_record(id, attempt, sent, now);
                SendVerdict::AwaitRecord
            }
        }
    }

    /// Has the store record where an attempt goes, and keeps the attempt until then.
    fn spawn_record(&mut self, id: RequestId, attempt: AttemptRequest, sent: SendRecord, now: Instant) {
        let Some(tracked) = self.open.get(&id) else { return };
        let (store, events, key) = (self.store.clone(), self.events.clone(), tracked.key.clone());
        let (holder, window, attempt_id) = (tracked.holder, tracked.class.window, attempt.id);
        let answer_deadline = now + self.store.options().wait;
        self.awaiting_record.insert(attempt_id, attempt);
        tokio::spawn(async move {
            let recorded = if store.is_usable(Instant::now(), answer_deadline) {
                store.record_sent(&key, holder, sent, window, answer_deadline).await
            } else {
                None
            };
            let _ = events.send(BrokerEvent::SendRecorded { attempt: attempt_id, sent, recorded }).await;
        });
    }

    /// The store has recorded an attempt, or has not: the attempt, if it may be sent now.
    pub(super) fn on_send_recorded(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        sent: SendRecord,
        recorded: Option<bool>,
    ) -> Option<AttemptRequest> {
        let attempt = self.awaiting_record.remove(&attempt)?;
        let verdict = self.open.get_mut(&id)?.state.on_recorded(sent, recorded);
        (verdict == SendDecision::SendNow).then_some(attempt)
    }

    /// An attempt has ended; `may_have_run` tells whether it may have run at its engine.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, attempt: AttemptId, may_have_run: bool) {
        // An attempt that still waited for its record was never sent.
        let was_sent = self.awaiting_record.remove(&attempt).is_none();
        if let Some(tracked) = self.open.get_mut(&id) {
            tracked.state.on_attempt_end(was_sent && may_have_run);
        }
    }

    /// Whether a retry of a failed request is harmless, because nothing of it can have run.
    pub(super) fn is_retry_harmless(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|tracked| !tracked.state.may_have_run())
    }

    /// The request has ended: served with these rows, or not served.
    pub(super) fn on_request_ended(&mut self, id: RequestId, rows: Option<&Rows>) {
        let Some(mut tracked) = self.open.remove(&id) else { return };
        let end = match rows {
            Some(rows) => RequestEnd::Served(pack(rows)),
            None => RequestEnd::Unserved,
        };
        if let Some(end) = tracked.state.on_request_end(end) {
            self.store.end_claim(tracked.key, tracked.holder, tracked.class.window, end);
        } else if tracked.claim_pending {
            self.ended_before_claim.insert(id, tracked);
        } else {
            self.store.forget(tracked.holder);
        }
    }
}
