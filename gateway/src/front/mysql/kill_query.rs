//! `KILL QUERY`: cancels the running query of another connection. During a hot restart two processes accept clients at
//! one address, so the connection that sends the command may be in another process than the query. The command is then
//! passed on through that process's console.

use crate::console::{self, send_command};
use crate::session_registry::{KillResult, RegisteredSession, SessionRegistry};
use futures::future::join_all;
use slog::{Logger, debug};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, timeout_at};

/// How long the gateway's other processes may take to confirm. After this time the client has closed the connection of
/// its query, which cancels it as well.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the commands that are passed on at a time. It leaves room for operators on the other console.
const MAX_FORWARDED: usize = console::MAX_CONNECTIONS / 2;

/// What a `KILL QUERY` command has cancelled, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KillOutcome {
    /// A query of this process.
    KilledHere,
    /// A query of another process of this gateway.
    KilledInOtherProcess,
    /// Nothing: no process has confirmed that the connection runs a query.
    NotFound,
}

/// Cancels queries of this process, and passes commands for others on to the gateway's other processes.
#[derive(Debug)]
pub struct QueryKiller {
    sessions: Arc<SessionRegistry>,
    other_consoles: watch::Receiver<Vec<SocketAddr>>,
    forward_permits: Semaphore,
    log: Logger,
}

impl QueryKiller {
    /// Creates a killer of the queries of these sessions and of those of the processes with these consoles.
    pub fn new(
        sessions: Arc<SessionRegistry>,
        other_consoles: watch::Receiver<Vec<SocketAddr>>,
        log: Logger,
    ) -> Self {
        Self { sessions, other_consoles, forward_permits: Semaphore::new(MAX_FORWARDED), log }
    }

    /// Registers a new session of this process, whose queries can be cancelled from then on.
    pub fn register(&self, connection_id: u32) -> RegisteredSession {
        self.sessions.register(connection_id)
    }

    /// Cancels the query of a connection, in whichever process of this gateway it runs.
    pub async fn kill(&self, connection_id: u32) {
        let outcome = match self.sessions.kill(connection_id).await {
            KillResult::Killed => KillOutcome::KilledHere,
            KillResult::UnknownConnection if self.kill_in_other_processes(connection_id).await => {
                KillOutcome::KilledInOtherProcess
            }
            KillResult::Idle | KillResult::UnknownConnection => KillOutcome::NotFound,
        };
        debug!(self.log, "query kill handled"; "connection" => connection_id, "outcome" => ?outcome);
    }

    /// Passes the command on to all other processes. Returns whether one of them has confirmed that it cancelled a query.
    async fn kill_in_other_processes(&self, connection_id: u32) -> bool {
        let consoles = self.other_consoles.borrow().clone();
        if consoles.is_empty() {
            return false;
        }
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let Ok(Ok(_permit)) = timeout_at(deadline, self.forward_permits.acquire()).await else {
            return false;
        };
        let line = format!("KILL {connection_id}");
        let answers = consoles.into_iter().map(|address| send_command(address, &line, deadline));
        join_all(answers).await.iter().flatten().any(|answer| answer == console::SUCCESS_LINE)
    }
}
