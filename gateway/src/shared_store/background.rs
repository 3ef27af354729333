//! The background task of the client: writes the heartbeat, renews leases and flushes the write-behind queue.

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

/// Pending writes that are sent together.
const WRITE_BATCH: usize = 64;
/// How long the writes of one round may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often leases are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a process's heartbeat stays in the store after its last write.
const HEARTBEAT_TTL: Duration = Duration::from_secs(60);

impl SharedStoreClient {
    /// Runs the background work for as long as the program runs.
    pub async fn run(self: Arc<Self>) {
        let mut next_heartbeat = Instant::now();
        let mut next_renewal = next_heartbeat + RENEWAL_INTERVAL;
        loop {
            tokio::select! {
                () = sleep_until(next_heartbeat.min(next_renewal)) => {}
                () = self.written.notified() => {}
            }
            let now = Instant::now();
            if now >= next_renewal {
                next_renewal = now + RENEWAL_INTERVAL;
                self.queue_renewals();
            }
            let write_deadline = now + WRITE_TIMEOUT;
            if now >= next_heartbeat {
                next_heartbeat = now + freshness::HEARTBEAT_INTERVAL;
                // Trial calls of the circuit breaker are made here, whether requests arrive or not, so that a store
                // that works again is noticed.
                if self.is_usable(now, now + self.options.wait) {
                    self.write_heartbeat(now).await;
                }
            }
            if self.health() == Health::Healthy {
                self.flush(write_deadline).await;
            }
        }
    }

    fn queue_renewals(&self) {
        let mut state = self.state();
        let held: Vec<_> = state.held.iter().map(|(holder, key)| (*holder, key.clone())).collect();
        for (holder, key) in held {
            state.outbox.push(PendingWrite::Renew { key, holder });
        }
    }

    /// Reads back the last heartbeat and writes the next one.
    async fn write_heartbeat(&self, now: Instant) {
        let count = self.state().freshness.next_counter();
        let key = self.heartbeat_key();
        let mut pipe = Pipeline::new();
        pipe.atomic().get(&key);
        pipe.cmd("SET").arg(&key).arg(count).arg("PX").arg(millis(HEARTBEAT_TTL)).ignore();
        let answer = async {
            let mut connection = self.connection.get().await?;
            pipe.query_async::<(Option<u64>,)>(&mut connection).await
        };
        let Some((found,)) = self.connection.observe(answer, now + self.options.wait).await else { return };
        self.check_freshness(found);
        let mut state = self.state();
        state.freshness.on_confirmed(count, now.into_std());
        let losses = LossCounts { unreadable: state.unreadable, dropped: state.outbox.dropped() };
        if std::mem::replace(&mut state.logged_losses, losses) != losses {
            warn!(self.log, "shared store entries lost"; "unreadable" => losses.unreadable,
                "dropped" => losses.dropped);
        }
    }

    /// Writes what is pending. A failed write is dropped: the lease that it would have ended expires by itself.
    async fn flush(&self, deadline: Instant) {
        while Instant::now() < deadline {
            let writes = self.state().outbox.take(WRITE_BATCH);
            if writes.is_empty() {
                return;
            }
            let calls: Vec<_> = writes.iter().map(|write| self.invocation(write)).collect();
            let all = calls.iter().map(|call| self.connection.invoke::<i64>(call, deadline));
            futures::future::join_all(all).await;
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
                    // An answer too large to be stored: a retry goes where the request went first.
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
