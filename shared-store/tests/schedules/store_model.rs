//! Model of the store, written from the specification of its scripts and independent of their code.

use crate::test_bed::{StoreWrites, WINDOW_MS};
use reedwalk_shared_store::idempotency::{
    CLAIM_LEASE, ClaimEnd, ClaimHolder, ClaimReply, SendRecord, Stage, StoredState,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Entry of one key in the store.
#[derive(Clone, Default)]
struct KeyState {
    holder: Option<ClaimHolder>,
    stage: Option<Stage>,
    sent: Option<SendRecord>,
    answer: Option<Vec<u8>>,
    expires_ms: u64,
    lease_end_ms: u64,
}

impl KeyState {
    fn stored(&self) -> StoredState {
        match (self.stage, &self.sent, &self.answer) {
            (None, ..) => StoredState::Absent,
            (Some(Stage::Sent), Some(sent), _) => StoredState::Sent(*sent),
            (Some(Stage::Done), _, Some(answer)) => StoredState::Done(answer.clone()),
            (Some(stage), ..) => StoredState::Stage(stage),
        }
    }

    fn may_be_claimed(&self, now_ms: u64) -> bool {
        self.stage != Some(Stage::Done) && (self.holder.is_none() || self.lease_end_ms <= now_ms)
    }

    /// Returns the stage that a successful claim sets.
    fn claimed_stage(&self, is_retry: bool) -> Stage {
        match self.stage {
            None if is_retry => Stage::Unknown,
            None | Some(Stage::NeverRan | Stage::Claimed) => Stage::Claimed,
            Some(stage) => stage,
        }
    }
}

/// Operation that a gateway sends to the store.
#[derive(Clone, Debug)]
pub enum StoreOperation {
    /// Claims a key and reads the heartbeat counter of the gateway process.
    Claim { key: usize, holder: ClaimHolder, is_retry: bool, process: u64 },
    /// Records the group that a request is sent to.
    RecordSend { key: usize, holder: ClaimHolder, sent: SendRecord },
    /// Ends a claim.
    EndClaim { key: usize, holder: ClaimHolder, end: ClaimEnd },
    /// Renews the lease of a claim.
    Renew { key: usize, holder: ClaimHolder },
    /// Writes the heartbeat counter of a process and reads the previous value.
    Heartbeat { process: u64, count: u64 },
}

/// Reply of the store to an operation.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// Reply to a claim, and the stored heartbeat counter.
    Claimed(ClaimReply, Option<u64>),
    /// Whether a write that requires the claim was accepted.
    Written(bool),
    /// Heartbeat counter before the write.
    Heartbeat(Option<u64>),
}

/// Contents of the store.
#[derive(Clone, Default)]
pub struct StoreModel {
    keys: BTreeMap<usize, KeyState>,
    heartbeats: BTreeMap<u64, u64>,
}

impl StoreModel {
    /// Applies an operation. Without fencing, writes by claims that no longer hold the key are accepted as well.
    pub fn apply(&mut self, operation: &StoreOperation, now_ms: u64, writes: StoreWrites) -> StoreReply {
        self.keys.retain(|_, state| state.expires_ms > now_ms);
        match operation {
            StoreOperation::Claim { key, holder, is_retry, process } => {
                let heartbeat = self.heartbeats.get(process).copied();
                StoreReply::Claimed(self.claim(*key, *holder, *is_retry, now_ms), heartbeat)
            }
            StoreOperation::RecordSend { key, holder, sent } => {
                self.write(*key, *holder, writes, |state| record_send(state, *sent, now_ms))
            }
            StoreOperation::EndClaim { key, holder, end } => {
                self.write(*key, *holder, writes, |state| end_claim(state, end, now_ms))
            }
            StoreOperation::Renew { key, holder } => {
                self.write(*key, *holder, writes, |state| state.lease_end_ms = now_ms + lease_ms())
            }
            StoreOperation::Heartbeat { process, count } => {
                StoreReply::Heartbeat(self.heartbeats.insert(*process, *count))
            }
        }
    }

    fn claim(&mut self, key: usize, holder: ClaimHolder, is_retry: bool, now_ms: u64) -> ClaimReply {
        let state = self.keys.entry(key).or_default();
        let stored = state.stored();
        let is_claimed = state.may_be_claimed(now_ms);
        if is_claimed {
            state.holder = Some(holder);
            state.lease_end_ms = now_ms + lease_ms();
            state.stage = Some(state.claimed_stage(is_retry));
            let ttl_ms = if state.stage == Some(Stage::Sent) { 2 * WINDOW_MS } else { WINDOW_MS };
            state.expires_ms = state.expires_ms.max(now_ms + ttl_ms);
        }
        let lease_left = Duration::from_millis(state.lease_end_ms.saturating_sub(now_ms));
        ClaimReply { is_claimed, lease_left, stored }
    }

    /// Applies a change to the entry of a key if this claim holds the key.
    fn write(
        &mut self,
        key: usize,
        holder: ClaimHolder,
        writes: StoreWrites,
        change: impl FnOnce(&mut KeyState),
    ) -> StoreReply {
        let Some(state) = self.keys.get_mut(&key) else { return StoreReply::Written(false) };
        let is_accepted = writes == StoreWrites::Unfenced || state.holder == Some(holder);
        if is_accepted {
            change(state);
        }
        StoreReply::Written(is_accepted)
    }

    /// Returns the keys in the store.
    pub fn keys(&self) -> Vec<usize> {
        self.keys.keys().copied().collect()
    }

    /// Removes the entry of a key.
    pub fn remove_key(&mut self, key: usize) {
        self.keys.remove(&key);
    }
}

fn lease_ms() -> u64 {
    CLAIM_LEASE.as_millis() as u64
}

fn record_send(state: &mut KeyState, sent: SendRecord, now_ms: u64) {
    state.stage = Some(Stage::Sent);
    state.sent = Some(sent);
    state.expires_ms = now_ms + 2 * WINDOW_MS;
}

fn end_claim(state: &mut KeyState, end: &ClaimEnd, now_ms: u64) {
    match end {
        ClaimEnd::Done(answer) => {
            state.stage = Some(Stage::Done);
            state.answer = Some(answer.clone());
            state.expires_ms = now_ms + 2 * WINDOW_MS;
        }
        ClaimEnd::ReleaseWith(stage) => state.stage = Some(*stage),
        ClaimEnd::Release => {}
    }
    state.holder = None;
    state.lease_end_ms = 0;
}
