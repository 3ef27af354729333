//! Budgets counted in a Redis that all front ends share.

use super::{Spend, Spending, Store, StoreError};
use redis::aio::MultiplexedConnection;
use redis::{Client, Pipeline, RedisError};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout_at};

/// A Redis, connected to when it is first needed and again when the connection has broken.
pub struct Redis {
    client: Client,
    connection: Mutex<Option<MultiplexedConnection>>,
}

impl From<RedisError> for StoreError {
    fn from(error: RedisError) -> Self {
        Self::Gone(error.to_string())
    }
}

impl Redis {
    /// The Redis at this URL.
    ///
    /// # Errors
    /// Where it is no URL of a Redis.
    pub fn new(url: &str) -> Result<Self, StoreError> {
        Ok(Self { client: Client::open(url)?, connection: Mutex::new(None) })
    }

    async fn connection(&self) -> Result<MultiplexedConnection, StoreError> {
        let mut kept = self.connection.lock().await;
        if let Some(connection) = kept.as_ref() {
            return Ok(connection.clone());
        }
        let connection = self.client.get_multiplexed_async_connection().await?;
        *kept = Some(connection.clone());
        Ok(connection)
    }

    /// Adds in one transaction with the key's expiry. What goes over the most is taken back: meanwhile another
    /// may be refused that would have fitted, but never is more granted than the most.
    async fn add(&self, spend: &Spend) -> Result<bool, StoreError> {
        let mut connection = self.connection().await?;
        let (key, amount) = (&spend.key, spend.amount.min(i64::MAX as u64));
        let mut add = Pipeline::new();
        add.atomic().cmd("INCRBY").arg(key).arg(amount);
        add.cmd("PEXPIREAT").arg(key).arg(spend.expires_ms).ignore();
        let (total,): (i64,) = add.query_async(&mut connection).await?;
        let granted = total <= spend.most.min(i64::MAX as u64) as i64;
        if !granted {
            let _: i64 = redis::cmd("DECRBY").arg(key).arg(amount).query_async(&mut connection).await?;
        }
        Ok(granted)
    }
}

impl Store for Redis {
    fn spend<'a>(&'a self, spend: &'a Spend, by: Instant) -> Spending<'a> {
        Box::pin(async move {
            let end = match timeout_at(by, self.add(spend)).await {
                Ok(end) => end,
                Err(_) => Err(StoreError::Slow),
            };
            if end.is_err() {
                // Where the lock is taken, another call is connecting anew already.
                self.connection.try_lock().into_iter().for_each(|mut kept| *kept = None);
            }
            end
        })
    }
}
