//! Registry of the sessions of MySQL connections, through which `KILL QUERY` reaches the session that holds the query.
//! Only that session can tell whether it runs a query, has received one that it has not read yet, or has none; it may run
//! on another core than the sender of the command.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

/// How long a session may take to handle a command. One that takes longer is writing an answer, so its query has ended.
const HANDLING_TIMEOUT: Duration = Duration::from_millis(400);

/// What a `KILL QUERY` command has done in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillResult {
    /// The session's query was cancelled, or will be rejected once it is read.
    Killed,
    /// The session has no query.
    Idle,
    /// This process has no session with that connection id.
    UnknownConnection,
}

/// Commands that a session has not handled yet, each with the sender of its result.
#[derive(Debug, Default)]
pub struct KillRequests {
    arrived: Notify,
    waiting: Mutex<Vec<oneshot::Sender<KillResult>>>,
}

impl KillRequests {
    /// Waits until there is a command to handle.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }

    /// Reports the result of all commands that have arrived.
    pub fn finish(&self, result: KillResult) {
        for sender in std::mem::take(&mut *lock(&self.waiting)) {
            let _ = sender.send(result);
        }
    }
}

/// The sessions of this process by connection id.
#[derive(Debug, Default)]
pub struct SessionRegistry(Mutex<HashMap<u32, Arc<KillRequests>>>);

/// A session's entry in the registry, which is removed on drop.
#[derive(Debug)]
pub struct RegisteredSession {
    registry: Arc<SessionRegistry>,
    connection_id: u32,
    /// The commands to cancel this session's query.
    pub kill_requests: Arc<KillRequests>,
}

impl SessionRegistry {
    /// Adds the session of a connection.
    pub fn register(self: &Arc<Self>, connection_id: u32) -> RegisteredSession {
        let kill_requests = Arc::<KillRequests>::default();
        lock(&self.0).insert(connection_id, kill_requests.clone());
        RegisteredSession { registry: self.clone(), connection_id, kill_requests }
    }

    /// Cancels the query of a connection. Returns once its session has handled the command.
    pub async fn kill(&self, connection_id: u32) -> KillResult {
        let Some(result) = self.send_kill(connection_id) else { return KillResult::UnknownConnection };
        match timeout(HANDLING_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            _ => KillResult::Idle,
        }
    }

    /// Passes a command to the session of a connection, if there is one.
    fn send_kill(&self, connection_id: u32) -> Option<oneshot::Receiver<KillResult>> {
        // Held until the command is in the session's list, so that a session which ends meanwhile finishes it.
        let sessions = lock(&self.0);
        let kill_requests = sessions.get(&connection_id)?;
        let (sender, result) = oneshot::channel();
        lock(&kill_requests.waiting).push(sender);
        kill_requests.arrived.notify_one();
        Some(result)
    }
}

impl Drop for RegisteredSession {
    fn drop(&mut self) {
        lock(&self.registry.0).remove(&self.connection_id);
        self.kill_requests.finish(KillResult::Idle);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
