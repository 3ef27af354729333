//! The connection to Redis, opened on demand, and the circuit breaker that guards calls to it.

use redis::aio::MultiplexedConnection;
use redis::{Client, FromRedisValue, RedisError, ScriptInvocation};
use reedwalk_shared_store::circuit_breaker::{CircuitBreaker, FailureKind, Health};
use slog::{Logger, info, warn};
use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, timeout_at};

/// A connection shared by all calls.
#[derive(Debug)]
pub(super) struct Connection {
    client: Client,
    current: tokio::sync::Mutex<Option<MultiplexedConnection>>,
    breaker: Mutex<CircuitBreaker>,
    log: Logger,
}

impl Connection {
    /// Prepares a connection to the Redis server at `url` without opening it. `seed` keeps several processes from
    /// retrying at the same time.
    ///
    /// # Errors
    /// If `url` is not a valid Redis URL.
    pub(super) fn new(url: &str, seed: u64, log: Logger) -> Result<Self, RedisError> {
        let client = Client::open(url)?;
        let breaker = Mutex::new(CircuitBreaker::new(seed));
        Ok(Self { client, current: tokio::sync::Mutex::new(None), breaker, log })
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the circuit breaker allows a call now that ends by `deadline`.
    pub(super) fn is_usable(&self, now: Instant, deadline: Instant) -> bool {
        self.breaker().allows_call(now.into_std(), deadline.into_std())
    }

    /// The health of Redis according to the circuit breaker.
    pub(super) fn health(&self) -> Health {
        self.breaker().health()
    }

    /// Returns the open connection, or opens one if there is none.
    pub(super) async fn get_or_open(&self) -> Result<MultiplexedConnection, RedisError> {
        let mut current = self.current.lock().await;
        if let Some(connection) = current.as_ref() {
            return Ok(connection.clone());
        }
        let connection = self.client.get_multiplexed_async_connection().await?;
        *current = Some(connection.clone());
        Ok(connection)
    }

    /// Runs a script; `None` if the call fails or there is no answer by `deadline`.
    pub(super) async fn invoke<T: FromRedisValue>(
        &self,
        invocation: &ScriptInvocation<'_>,
        deadline: Instant,
    ) -> Option<T> {
        let call = async {
            let mut connection = self.get_or_open().await?;
            invocation.invoke_async(&mut connection).await
        };
        self.call_until(call, deadline).await
    }

    /// Awaits a call until `deadline` and reports the outcome to the circuit breaker. `None` if the call fails or times
    /// out.
    pub(super) async fn call_until<T>(
        &self,
        call: impl Future<Output = Result<T, RedisError>>,
        deadline: Instant,
    ) -> Option<T> {
        let (fault, reason) = match timeout_at(deadline, call).await {
            Ok(Ok(answer)) => {
                let changed = self.breaker().on_success();
                self.log_health(changed, "answers");
                return Some(answer);
            }
            Ok(Err(error)) => (FailureKind::Error, error.to_string()),
            Err(_) => (FailureKind::Timeout, "no answer in time".to_owned()),
        };
        // If the mutex is locked, another call is already reconnecting.
        if let Ok(mut current) = self.current.try_lock() {
            *current = None;
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
