//! Registry of the running queries that `KILL QUERY` can cancel.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Running queries by connection id, each with the sender that cancels it.
#[derive(Debug, Default)]
pub struct RunningQueries(Mutex<HashMap<u32, oneshot::Sender<()>>>);

impl RunningQueries {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the query of a connection; the returned receiver resolves when the query is killed.
    pub fn insert(&self, connection_id: u32) -> oneshot::Receiver<()> {
        let (kill, killed) = oneshot::channel();
        self.lock().insert(connection_id, kill);
        killed
    }

    /// Removes the running query of a connection, if any, and returns the sender that cancels it.
    pub fn remove(&self, connection_id: u32) -> Option<oneshot::Sender<()>> {
        self.lock().remove(&connection_id)
    }
}
