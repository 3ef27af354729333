//! The front for the MySQL client/server protocol.

mod close;
mod connection_ids;
pub mod fields;
mod kill_query;
pub mod packet;
mod response;
mod session;
mod session_slots;

use crate::accept::{drain_backlog, pause_after_error};
use crate::broker::RequestQueue;
use crate::limits::Limits;
use crate::multicore::Multicore;
use crate::quotas::QuotaManager;
use crate::shutdown::{Phase, wait_until_closing};
pub use connection_ids::ConnectionIds;
pub use kill_query::QueryKiller;
use packet::Writer;
use reedwalk_operations::CapacityShare;
use reedwalk_settings::Deployment;
use session::Session;
use session_slots::{SessionSlots, SlotCounts};
use slog::{Logger, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

/// Share of the file descriptors for client sessions. Well-behaved clients use a third, and engine connections need a
/// share as well.
const SESSIONS_SHARE: f64 = 0.6;
/// Share of the memory for large statements, from reading them until their response.
const STATEMENTS_SHARE: f64 = 0.1;
/// Share of the file descriptors for refused clients that still read the error.
const REFUSED_SHARE: f64 = 0.01;
/// How long the connection of a refused client stays open.
const REFUSED_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest interval between two log records of refused and evicted sessions.
const SLOT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The state that all sessions share.
pub struct Front {
    request_queue: RequestQueue,
    deployment: Arc<Deployment>,
    quotas: Option<Arc<QuotaManager>>,
    slots: Arc<SessionSlots>,
    max_sessions: usize,
    query_killer: QueryKiller,
    /// Permits for refused clients that still read the error.
    refused_permits: Arc<Semaphore>,
    cores: Multicore,
    log: Logger,
}

/// Rate-limited logging of the counts of refused and evicted sessions.
struct SlotLog {
    logged_at: Instant,
    logged: SlotCounts,
}

impl SlotLog {
    fn new() -> Self {
        Self { logged_at: Instant::now(), logged: SlotCounts::default() }
    }

    fn update(&mut self, counts: SlotCounts, log: &Logger) {
        let now = Instant::now();
        if counts != self.logged && now - self.logged_at >= SLOT_LOG_INTERVAL {
            *self = Self { logged_at: now, logged: counts };
            warn!(log, "sessions rejected or evicted"; "rejected" => counts.refused,
                "evicted" => counts.evicted);
        }
    }
}

impl Front {
    /// Creates a front that submits its requests to `request_queue` and stays within `limits`.
    pub fn new(
        request_queue: RequestQueue,
        deployment: Arc<Deployment>,
        quotas: Option<Arc<QuotaManager>>,
        limits: &Limits,
        query_killer: QueryKiller,
        cores: Multicore,
        log: Logger,
    ) -> Self {
        let max_sessions = (limits.sockets as f64 * SESSIONS_SHARE) as usize;
        let max_statement_bytes = (limits.memory_mb * STATEMENTS_SHARE * f64::from(1 << 20)) as usize;
        let max_refused = (limits.sockets as f64 * REFUSED_SHARE).max(1.0) as usize;
        Self {
            request_queue,
            deployment,
            quotas,
            slots: Arc::new(SessionSlots::new(max_sessions, max_statement_bytes)),
            max_sessions,
            query_killer,
            refused_permits: Arc::new(Semaphore::new(max_refused)),
            cores,
            log,
        }
    }

    /// Accepts sessions until the shutdown reaches its closing phase, as many as this process's share of the capacity
    /// allows. Each session holds a clone of `open_connections` until it has ended.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut ids: ConnectionIds,
        mut phase: watch::Receiver<Phase>,
        mut share: watch::Receiver<CapacityShare>,
        open_connections: mpsc::Sender<()>,
    ) {
        let mut slot_log = SlotLog::new();
        share.mark_changed();
        loop {
            let stream = tokio::select! {
                Ok(()) = share.changed() => {
                    let share = share.borrow_and_update().share;
                    self.slots.resize((self.max_sessions as f64 * share) as usize);
                    continue;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        pause_after_error(&error, &self.log).await;
                        continue;
                    }
                },
                () = wait_until_closing(&mut phase) => break,
            };
            self.open_session(stream, ids.next_id(), &phase, &open_connections);
            slot_log.update(self.slots.counts(), &self.log);
            // Lets an evicted session end before the next client is accepted.
            tokio::task::yield_now().await;
        }
        for stream in drain_backlog(listener) {
            self.open_session(stream, ids.next_id(), &phase, &open_connections);
        }
    }

    /// Opens a session for a new client, or refuses the client if there is no slot.
    fn open_session(
        self: &Arc<Self>,
        stream: TcpStream,
        id: u32,
        phase: &watch::Receiver<Phase>,
        open_connections: &mpsc::Sender<()>,
    ) {
        let now = Instant::now();
        let _ = stream.set_nodelay(true);
        let Some(slot) = self.slots.acquire(id, now) else {
            return self.refuse(stream, now, open_connections.clone());
        };
        let (front, phase, open_connection) = (self.clone(), phase.clone(), open_connections.clone());
        let core = self.cores.place_connection();
        if let Ok(stream) = core.adopt_stream(stream) {
            core.spawn(async move {
                Session::new(&front, stream, id, slot, now).run(phase).await;
                drop(open_connection);
            });
        }
    }

    /// Refuses a new client. With a permit, its connection stays open until it has read the error; without one, only the
    /// bytes already received are read before the connection is closed.
    fn refuse(&self, mut stream: TcpStream, now: Instant, open_connection: mpsc::Sender<()>) {
        let mut output = bytes::BytesMut::new();
        Writer::new(&mut output, 0).error(1040, b"08004", "too many connections, pause=1000");
        // The error always fits into the send buffer of a new socket. Its delivery is not guaranteed.
        let _ = stream.try_write(&output);
        if let Ok(permit) = self.refused_permits.clone().try_acquire_owned() {
            tokio::spawn(async move {
                close::close(&mut stream, now + REFUSED_CLOSE_TIMEOUT).await;
                drop((permit, open_connection));
            });
        } else {
            close::discard_received(&stream);
        }
    }
}
