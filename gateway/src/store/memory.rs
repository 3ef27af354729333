//! Budgets counted in this process.

use super::{Spend, Spending, Store};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Keys with what is spent and when they expire.
#[derive(Debug, Default)]
pub struct Memory(Mutex<HashMap<String, (u64, u64)>>);

/// Milliseconds of the Unix clock.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Memory {
    fn take(&self, spend: &Spend, now_ms: u64) -> bool {
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        keys.retain(|_, k| k.1 > now_ms);
        let spent = keys.get(&spend.key).map_or(0, |k| k.0).saturating_add(spend.amount);
        let granted = spent <= spend.most;
        if granted {
            keys.insert(spend.key.clone(), (spent, spend.expires_ms));
        }
        granted
    }

    /// Keys remembered, for tests that they go.
    pub fn held_state(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

impl Store for Memory {
    fn spend<'a>(&'a self, spend: &'a Spend, _: Instant) -> Spending<'a> {
        let granted = self.take(spend, unix_ms());
        Box::pin(std::future::ready(Ok(granted)))
    }
}
