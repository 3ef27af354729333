//! Registry of the running queries of MySQL connections, which `KILL QUERY` can cancel.

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

    /// Removes the query of a connection, which has ended.
    pub fn remove(&self, connection_id: u32) {
        self.lock().remove(&connection_id);
    }

    /// Cancels the query of a connection. Returns whether the connection runs one in this process.
    pub async fn kill(&self, connection_id: u32) -> bool {
        // The query to kill may have been received but not read yet: lets its session run first.
        tokio::task::yield_now().await;
        let kill = self.lock().remove(&connection_id);
        kill.is_some_and(|kill| kill.send(()).is_ok())
    }
}
