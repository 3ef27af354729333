//! The queries that KILL QUERY can end.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Running queries by connection id, each with the sender that ends it.
#[derive(Debug, Default)]
pub struct RunningQueries(Mutex<HashMap<u32, oneshot::Sender<()>>>);

impl RunningQueries {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the query of a connection; the receiver fires when it is killed.
    pub fn insert(&self, connection: u32) -> oneshot::Receiver<()> {
        let (kill, killed) = oneshot::channel();
        self.lock().insert(connection, kill);
        killed
    }

    /// Removes the query of a connection, if one runs.
    pub fn remove(&self, connection: u32) -> Option<oneshot::Sender<()>> {
        self.lock().remove(&connection)
    }
}
