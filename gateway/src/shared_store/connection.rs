//! The connection to Redis, opened when it is needed, and the circuit breaker that decides when Redis is asked.

use redis::aio::MultiplexedConnection;
use redis::{Client, FromRedisValue, RedisError, ScriptInvocation};
use reedwalk_shared_store::circuit_breaker::{CircuitBreaker, FailureKind, Health};
use slog::{Logger, info, warn};
use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, timeout_at};

/// A connection that is shared by all calls.
#[derive(Debug)]
pub(super) struct Connection {
    client: Client,
    open: tokio::sync::Mutex<Option<MultiplexedConnection>>,
    breaker: Mutex<CircuitBreaker>,
    log: Logger,
}

impl Connection {
    /// A connection to the Redis at this URL, not yet open. `seed` spreads the retries of several processes.
    ///
    /// # Errors
    /// Where the URL is not one of a Redis.
    pub(super) fn new(url: &str, seed: u64, log: Logger) -> Result<Self, RedisError> {
        let client = Client::open(url)?;
        let breaker = Mutex::new(CircuitBreaker::new(seed));
        Ok(Self { client, open: tokio::sync::Mutex::new(None), breaker, log })
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether Redis may be asked now, for an answer by `deadline`.
    pub(super) fn is_usable(&self, now: Instant, deadline: Instant) -> bool {
        self.breaker().allows_call(now.into_std(), deadline.into_std())
    }

    /// How well Redis answers.
    pub(super) fn health(&self) -> Health {
        self.breaker().health()
    }

    /// The open connection; opens one if there is none.
    pub(super) async fn get(&self) -> Result<MultiplexedConnection, RedisError> {
        let mut open = self.open.lock().await;
        if let Some(connection) = open.as_ref() {
            return Ok(connection.clone());
        }
        let connection = self.client.get_multiplexed_async_connection().await?;
        *open = Some(connection.clone());
        Ok(connection)
    }

    /// Runs a script; `None` if there is no answer by `deadline`.
    pub(super) async fn invoke<T: FromRedisValue>(
        &self,
        call: &ScriptInvocation<'_>,
        deadline: Instant,
    ) -> Option<T> {
        let answer = async {
            let mut connection = self.get().await?;
            call.invoke_async(&mut connection).await
        };
        self.observe(answer, deadline).await
    }

    /// Waits for an answer until `deadline`, and tells the circuit breaker how that ended.
    pub(super) async fn observe<T>(
        &self,
        answer: impl Future<Output = Result<T, RedisError>>,
        deadline: Instant,
    ) -> Option<T> {
        let (fault, reason) = match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => {
                let changed = self.breaker().on_success();
                self.log_health(changed, "answers");
                return Some(answer);
            }
            Ok(Err(error)) => (FailureKind::Error, error.to_string()),
            Err(_) => (FailureKind::Timeout, "no answer in time".to_owned()),
        };
        // If the lock is held, another call is reconnecting already.
        if let Ok(mut open) = self.open.try_lock() {
            *open = None;
        }
        let changed = self.breaker().on_failure(fault, Instant::now().into_std());
        self.log_health(changed, &reason);
        None
    }

    fn log_health(&self, changed: Option<Health>, reason: &str) {
        match changed {
            Some(Health::Healthy) => info!(self.log, "shared store healthy"),
            Some(health) => warn!(self.log, "shared store degraded"; "state" => ?health, "error" => reason),
            None => {}
        }
    }
}
