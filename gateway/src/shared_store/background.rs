//! The client's background task. It writes the heartbeat, renews leases and flushes the write-behind queue.

use super::client::{LossCounts, PendingWrite, SharedStoreClient};
use super::scripts::{KeyWrite, millis};
use redis::{Pipeline, ScriptInvocation};
use reedwalk_shared_store::circuit_breaker::Health;
use reedwalk_shared_store::codec;
use reedwalk_shared_store::freshness;
use reedwalk_shared_store::idempotency::{ClaimEnd, Stage};
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Maximum number of pending writes that are sent together.
const WRITE_BATCH_SIZE: usize = 64;
/// Timeout of one flush of the write-behind queue.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which leases are renewed.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a heartbeat stays in the store after its last write.
const HEARTBEAT_TTL: Duration = Duration::from_secs(60);

impl SharedStoreClient {
    /// Runs the background work; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut next_heartbeat = Instant::now();
        let mut next_renewal = next_heartbeat + LEASE_RENEWAL_INTERVAL;
        loop {
            tokio::select! {
                () = sleep_until(next_heartbeat.min(next_renewal)) => {}
                () = self.write_queued.notified() => {}
            }
            let now = Instant::now();
            if now >= next_renewal {
                next_renewal = now + LEASE_RENEWAL_INTERVAL;
                self.queue_renewals();
            }
            let flush_deadline = now + FLUSH_TIMEOUT;
            if now >= next_heartbeat {
                next_heartbeat = now + freshness::HEARTBEAT_INTERVAL;
                // The heartbeat also serves as the circuit breaker's trial call, so that a recovered store is detected
                // even if no requests arrive.
                if self.is_usable(now, now + self.options.wait) {
                    self.write_heartbeat(now).await;
                }
            }
            if self.health() == Health::Healthy {
                self.flush(flush_deadline).await;
            }
        }
    }

    fn queue_renewals(&self) {
        let mut state = self.state();
        let claimed: Vec<_> = state.claimed_keys.iter().map(|(holder, key)| (*holder, key.clone())).collect();
        for (holder, key) in claimed {
            state.pending_writes.push(PendingWrite::Renew { key, holder });
        }
    }

    /// Reads the previous heartbeat from the store and writes the next one.
    async fn write_heartbeat(&self, now: Instant) {
        let count = self.state().freshness.next_counter();
        let key = self.heartbeat_key();
        let mut pipe = Pipeline::new();
        pipe.atomic().get(&key);
        pipe.cmd("SET").arg(&key).arg(count).arg("PX").arg(millis(HEARTBEAT_TTL)).ignore();
        let call = async {
            let mut connection = self.connection.get_or_open().await?;
            pipe.query_async::<(Option<u64>,)>(&mut connection).await
        };
        let Some((last,)) = self.connection.call_until(call, now + self.options.wait).await else { return };
        self.check_freshness(last);
        let mut state = self.state();
        state.freshness.on_confirmed(count, now.into_std());
        let losses = LossCounts { unreadable: state.unreadable, dropped: state.pending_writes.dropped() };
        if std::mem::replace(&mut state.logged_losses, losses) != losses {
            warn!(self.log, "shared store entries lost"; "unreadable" => losses.unreadable,
                "dropped" => losses.dropped);
        }
    }

    /// Sends the pending writes. A failed write is not repeated: the lease that it would have ended expires.
    async fn flush(&self, deadline: Instant) {
        while Instant::now() < deadline {
            let writes = self.state().pending_writes.take(WRITE_BATCH_SIZE);
            if writes.is_empty() {
                return;
            }
            let calls: Vec<_> = writes.iter().map(|write| self.invocation(write)).collect();
            let replies = calls.iter().map(|call| self.connection.invoke::<i64>(call, deadline));
            futures::future::join_all(replies).await;
        }
    }

    fn invocation(&self, write: &PendingWrite) -> ScriptInvocation<'_> {
        match write {
            PendingWrite::Renew { key, holder } => self.scripts.renew(key, *holder),
            PendingWrite::EndClaim { key, holder, window, end } => {
                let value = match end {
                    ClaimEnd::Done(answer) => codec::encode(answer),
                    _ => None,
                };
                let (stage, ttl) = match end {
                    // The answer is too large to be stored: a retry is sent where the request was sent first.
                    ClaimEnd::Done(_) if value.is_none() => (None, Duration::ZERO),
                    ClaimEnd::Done(_) => (Some(Stage::Done), *window * 2),
                    ClaimEnd::ReleaseWith(stage) => (Some(*stage), Duration::ZERO),
                    ClaimEnd::Release => (None, Duration::ZERO),
                };
                let value = value.as_deref().unwrap_or_default();
                self.scripts.write(key, *holder, &KeyWrite { stage, value, ttl, release: true })
            }
        }
    }
}
