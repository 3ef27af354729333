//! The client of the shared store. Calls that a request waits for have a deadline; all other writes go through a
//! bounded write-behind queue that `background.rs` flushes. `reedwalk-shared-store` decides whether the store's answers
//! are trusted.

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

/// Capacity of the write-behind queue.
const MAX_PENDING_WRITES: usize = 1024;

/// The store's key for the idempotency key of a request.
pub type Key = Bytes;

/// A write that no request waits for.
#[derive(Debug)]
pub(super) enum PendingWrite {
    /// Stores the result of a request and ends its claim.
    EndClaim { key: Key, holder: ClaimHolder, window: Duration, end: ClaimEnd },
    /// Renews the lease of a claim.
    Renew { key: Key, holder: ClaimHolder },
}

/// Counts of lost entries, kept to log only changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LossCounts {
    pub(super) unreadable: u64,
    pub(super) dropped: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) freshness: FreshnessCheck,
    pub(super) pending_writes: WriteBehindQueue<PendingWrite>,
    /// Keys that this process has claimed and whose leases it renews.
    pub(super) claimed_keys: HashMap<ClaimHolder, Key>,
    /// Number of the last claim of this process.
    last_claim: u64,
    pub(super) unreadable: u64,
    pub(super) logged_losses: LossCounts,
}

/// The client of the shared store; a process has one.
#[derive(Debug)]
pub struct SharedStoreClient {
    pub(super) connection: Connection,
    pub(super) scripts: Scripts,
    state: Mutex<State>,
    /// Notified when a write has been queued.
    pub(super) write_queued: Notify,
    /// Unique id of this process.
    process: u64,
    pub(super) options: SharedStoreOptions,
    pub(super) log: Logger,
}

/// The reply of the claim script: 1 if claimed, remaining milliseconds of another holder's lease, stage, value,
/// heartbeat.
type ClaimScriptReply = (i64, i64, Option<Vec<u8>>, Option<Vec<u8>>, Option<u64>);

impl SharedStoreClient {
    /// Creates a client of the Redis server at `url`. `process` is a unique id of this process; `window` is
    /// how long entries stay in the store.
    ///
    /// # Errors
    /// If `url` is not a valid Redis URL.
    pub fn new(
        url: &str,
        options: SharedStoreOptions,
        process: u64,
        window: Duration,
        log: Logger,
    ) -> Result<Self, RedisError> {
        let state = State {
            freshness: FreshnessCheck::new(window, Instant::now().into_std()),
            pending_writes: WriteBehindQueue::new(MAX_PENDING_WRITES),
            claimed_keys: HashMap::new(),
            last_claim: 0,
            unreadable: 0,
            logged_losses: LossCounts::default(),
        };
        Ok(Self {
            connection: Connection::new(url, process, log.clone())?,
            scripts: Scripts::new(),
            state: Mutex::new(state),
            write_queued: Notify::new(),
            process,
            options,
            log,
        })
    }

    /// The settings from the operator's file.
    pub fn options(&self) -> &SharedStoreOptions {
        &self.options
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the circuit breaker allows a call now that ends by `deadline`.
    pub fn is_usable(&self, now: Instant, deadline: Instant) -> bool {
        self.connection.is_usable(now, deadline)
    }

    /// The health of the store.
    pub fn health(&self) -> Health {
        self.connection.health()
    }

    /// A new id for the holder of a claim; never reused.
    pub fn next_holder(&self) -> ClaimHolder {
        let mut state = self.state();
        state.last_claim += 1;
        ClaimHolder { process: self.process, claim: state.last_claim }
    }

    /// The store's key for the heartbeat of this process.
    pub(super) fn heartbeat_key(&self) -> String {
        format!("{}:1:count:{:016x}", self.options.namespace, self.process)
    }

    /// The store's key for an idempotency key of a class.
    pub fn request_key(&self, class: &str, idempotency_key: &[u8]) -> Key {
        let prefix = format!("{}:1:key:{class}:", self.options.namespace);
        [prefix.as_bytes(), idempotency_key].concat().into()
    }

    /// The store's key for a team's quota in one window.
    pub fn quota_key(&self, team: &str, window_ms: u64, window: u64) -> String {
        format!("{}:1:budget:{team}:{window_ms}:{window}", self.options.namespace)
    }

    /// Claims a key; `None` if the call fails or there is no answer by `deadline`.
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
        let reply: ClaimScriptReply = self.connection.invoke(&call, deadline).await?;
        let (claimed, lease_left_ms, stage, value, heartbeat) = reply;
        let (is_claimed, stored) = (claimed == 1, stored_state(stage, value));
        let trusted = self.check_freshness(heartbeat);
        let mut state = self.state();
        state.unreadable += u64::from(stored == StoredState::Unreadable);
        if is_claimed {
            state.claimed_keys.insert(holder, key.clone());
        }
        drop(state);
        let lease_left = Duration::from_millis(lease_left_ms.max(0) as u64);
        Some(ClaimAnswer { reply: ClaimReply { is_claimed, lease_left, stored }, trusted })
    }

    /// Checks the heartbeat of this process as read from the store. Returns whether the store is up to date, so that an
    /// absent entry proves that the request was not sent.
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

    /// Records, as the holder of a key, where the request is sent. `None` if the call fails or there is no answer by
    /// `deadline`.
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

    /// Leases up to `wanted` units of a quota, as many as remain. `None` if the call fails or there is no answer by
    /// `deadline`.
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

    /// Returns unused units of a quota; they are lost if the call fails or there is no answer by `deadline`.
    pub async fn return_quota(&self, key: &str, units: u64, deadline: Instant) {
        let call = async {
            let mut connection = self.connection.get_or_open().await?;
            redis::cmd("DECRBY").arg(key).arg(units).query_async::<i64>(&mut connection).await
        };
        let _ = self.connection.call_until(call, deadline).await;
    }

    /// Queues the write that ends a claim.
    pub fn end_claim(&self, key: Key, holder: ClaimHolder, window: Duration, end: ClaimEnd) {
        let mut state = self.state();
        state.claimed_keys.remove(&holder);
        state.pending_writes.push(PendingWrite::EndClaim { key, holder, window, end });
        drop(state);
        self.write_queued.notify_one();
    }

    /// Stops renewing the lease of a claim that failed or whose result is unknown.
    pub fn stop_renewal(&self, holder: ClaimHolder) {
        self.state().claimed_keys.remove(&holder);
    }
}

/// Decodes an entry of the store.
fn stored_state(stage: Option<Vec<u8>>, value: Option<Vec<u8>>) -> StoredState {
    let Some(stage) = stage else { return StoredState::Absent };
    let value = value.unwrap_or_default();
    let decoded = match Stage::from_code(&stage) {
        Some(Stage::Sent) => codec::decode(&value).ok().map(StoredState::Sent),
        Some(Stage::Done) => codec::decode(&value).ok().map(StoredState::Done),
        Some(stage) => Some(StoredState::Stage(stage)),
        None => None,
    };
    decoded.unwrap_or(StoredState::Unreadable)
}
