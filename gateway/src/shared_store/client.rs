//! The client of the shared store. Calls that a request waits for have a deadline; all others go through a bounded
//! write-behind queue, off the path of requests (`background.rs`). How far the store's answers are trusted is decided in
//! `reedwalk-shared-store`.

use super::connection::Connection;
use super::options::SharedStoreOptions;
use super::scripts::{KeyWrite, Scripts};
use crate::message::ClaimAnswer;
use bytes::Bytes;
use redis::RedisError;
use reedwalk_shared_store::circuit_breaker::Health;
use reedwalk_shared_store::codec;
use reedwalk_shared_store::freshness::FreshnessCheck;
use reedwalk_shared_store::idempotency::{ClaimEnd, ClaimHolder, ClaimReply, SendRecord, Stage, StoredState};
use reedwalk_shared_store::write_behind::WriteBehindQueue;
use slog::{Logger, warn};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Writes that wait in the write-behind queue at most.
const MAX_PENDING_WRITES: usize = 1024;

/// The key of a request as it stands in the store.
pub type Key = Bytes;

/// A write that no request waits for.
#[derive(Debug)]
pub(super) enum PendingWrite {
    /// The end of a request.
    EndClaim { key: Key, holder: ClaimHolder, window: Duration, end: ClaimEnd },
    /// The renewal of a lease.
    Renew { key: Key, holder: ClaimHolder },
}

/// Counts of what went wrong, as they were last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LossCounts {
    pub(super) unreadable: u64,
    pub(super) dropped: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) freshness: FreshnessCheck,
    pub(super) outbox: WriteBehindQueue<PendingWrite>,
    /// Keys that this process has claimed, whose leases are to be renewed.
    pub(super) held: HashMap<ClaimHolder, Key>,
    claims: u64,
    pub(super) unreadable: u64,
    pub(super) logged_losses: LossCounts,
}

/// The client of the shared store; one for a process.
#[derive(Debug)]
pub struct SharedStoreClient {
    pub(super) connection: Connection,
    pub(super) scripts: Scripts,
    state: Mutex<State>,
    /// Notified when a write is pending.
    pub(super) written: Notify,
    /// The number of this process, different from that of every other.
    process: u64,
    pub(super) options: SharedStoreOptions,
    pub(super) log: Logger,
}

/// What the claim script returns: claimed, milliseconds left of another's lease, stage, value, heartbeat.
type ScriptReply = (i64, i64, Option<Vec<u8>>, Option<Vec<u8>>, Option<u64>);

impl SharedStoreClient {
    /// A client of the Redis at this URL. `process` is the number of this process and of no other; facts in the store
    /// live as long as `window`.
    ///
    /// # Errors
    /// Where it is not the URL of a Redis.
    pub fn new(
        url: &str,
        options: SharedStoreOptions,
        process: u64,
        window: Duration,
        log: Logger,
    ) -> Result<Self, RedisError> {
        let state = State {
            freshness: FreshnessCheck::new(window, Instant::now().into_std()),
            outbox: WriteBehindQueue::new(MAX_PENDING_WRITES),
            held: HashMap::new(),
            claims: 0,
            unreadable: 0,
            logged_losses: LossCounts::default(),
        };
        Ok(Self {
            connection: Connection::new(url, process, log.clone())?,
            scripts: Scripts::new(),
            state: Mutex::new(state),
            written: Notify::new(),
            process,
            options,
            log,
        })
    }

    /// The operator's options.
    pub fn options(&self) -> &SharedStoreOptions {
        &self.options
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store may be asked now, for an answer by `deadline`.
    pub fn is_usable(&self, now: Instant, deadline: Instant) -> bool {
        self.connection.is_usable(now, deadline)
    }

    /// How well the store answers.
    pub fn health(&self) -> Health {
        self.connection.health()
    }

    /// A new id for the holder of a claim, never used twice.
    pub fn next_holder(&self) -> ClaimHolder {
        let mut state = self.state();
        state.claims += 1;
        ClaimHolder { process: self.process, claim: state.claims }
    }

    /// The key of this process's heartbeat.
    pub(super) fn heartbeat_key(&self) -> String {
        format!("{}:1:count:{:016x}", self.options.namespace, self.process)
    }

    /// The key in the store of a class's idempotency key.
    pub fn request_key(&self, class: &str, idempotency_key: &[u8]) -> Key {
        let prefix = format!("{}:1:key:{class}:", self.options.namespace);
        [prefix.as_bytes(), idempotency_key].concat().into()
    }

    /// The key in the store of a team's quota in one window.
    pub fn quota_key(&self, team: &str, window_ms: u64, window: u64) -> String {
        format!("{}:1:budget:{team}:{window_ms}:{window}", self.options.namespace)
    }

    /// Claims a key; `None` if there is no answer by `deadline`.
    pub async fn claim(
        &self,
        key: &Key,
        holder: ClaimHolder,
        is_retry: bool,
        window: Duration,
        deadline: Instant,
    ) -> Option<ClaimAnswer> {
        let stage = if is_retry { Stage::Unknown } else { Stage::Claimed };
        let call = self.scripts.claim(key, &self.heartbeat_key(), holder, stage, window);
        let reply: ScriptReply = self.connection.invoke(&call, deadline).await?;
        let (claimed, lease_left_ms, stage, value, heartbeat) = reply;
        let (is_claimed, stored) = (claimed == 1, stored_state(stage, value));
        let trusted = self.check_freshness(heartbeat);
        let mut state = self.state();
        state.unreadable += u64::from(stored == StoredState::Unreadable);
        if is_claimed {
            state.held.insert(holder, key.clone());
        }
        drop(state);
        let lease_left = Duration::from_millis(lease_left_ms.max(0) as u64);
        Some(ClaimAnswer { reply: ClaimReply { is_claimed, lease_left, stored }, trusted })
    }

    /// Checks this process's own heartbeat as the store has it. Returns whether the store is fresh, so that its answer that
    /// nothing was sent can be trusted.
    pub(super) fn check_freshness(&self, heartbeat: Option<u64>) -> bool {
        let now = Instant::now().into_std();
        let mut state = self.state();
        let was_trusted = state.freshness.is_trusted(now);
        state.freshness.on_read(heartbeat, now);
        let is_trusted = state.freshness.is_trusted(now);
        drop(state);
        if was_trusted && !is_trusted {
            warn!(self.log, "shared store stale"; "heartbeat" => ?heartbeat);
        }
        is_trusted
    }

    /// Records where the key's holder sends its request; `None` if there is no answer by `deadline`.
    pub async fn record_sent(
        &self,
        key: &Key,
        holder: ClaimHolder,
        sent: SendRecord,
        window: Duration,
        deadline: Instant,
    ) -> Option<bool> {
        let value = codec::encode(&sent)?;
        let write = KeyWrite { stage: Some(Stage::Sent), value: &value, ttl: window * 2, release: false };
        let call = self.scripts.write(key, holder, &write);
        let written: i64 = self.connection.invoke(&call, deadline).await?;
        Some(written == 1)
    }

    /// Leases units of a quota: as many as are left of those wanted; `None` if there is no answer by `deadline`.
    pub async fn lease_quota(
        &self,
        key: &str,
        wanted: u64,
        budget: u64,
        expires_ms: u64,
        deadline: Instant,
    ) -> Option<u64> {
        let call = self.scripts.lease_quota(key, wanted, budget, expires_ms);
        self.connection.invoke(&call, deadline).await
    }

    /// Gives units of a quota back; they are lost if the store does not answer by `deadline`.
    pub async fn return_quota(&self, key: &str, units: u64, deadline: Instant) {
        let answer = async {
            let mut connection = self.connection.get().await?;
            redis::cmd("DECRBY").arg(key).arg(units).query_async::<i64>(&mut connection).await
        };
        let _ = self.connection.observe(answer, deadline).await;
    }

    /// Queues the end of a request to be written.
    pub fn end_claim(&self, key: Key, holder: ClaimHolder, window: Duration, end: ClaimEnd) {
        let mut state = self.state();
        state.held.remove(&holder);
        state.outbox.push(PendingWrite::EndClaim { key, holder, window, end });
        drop(state);
        self.written.notify_one();
    }

    /// Forgets a claim that did not succeed, or whose result is not known.
    pub fn forget(&self, holder: ClaimHolder) {
        self.state().held.remove(&holder);
    }
}

/// What stood in the store, as far as it can be read.
fn stored_state(stage: Option<Vec<u8>>, value: Option<Vec<u8>>) -> StoredState {
    let Some(stage) = stage else { return StoredState::Absent };
    let value = value.unwrap_or_default();
    let read = match Stage::from_code(&stage) {
        Some(Stage::Sent) => codec::decode(&value).ok().map(StoredState::Sent),
        Some(Stage::Done) => codec::decode(&value).ok().map(StoredState::Done),
        Some(stage) => Some(StoredState::Stage(stage)),
        None => None,
    };
    read.unwrap_or(StoredState::Unreadable)
}
