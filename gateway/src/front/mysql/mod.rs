//! The front on the MySQL client protocol.

mod close;
mod connection_ids;
pub mod fields;
pub mod packet;
mod response;
mod running_queries;
mod session;
mod session_slots;

use crate::accept::{drain_backlog, pause_after_error};
use crate::broker::RequestQueue;
use crate::limits::Limits;
use crate::multicore::Multicore;
use crate::quotas::QuotaManager;
use crate::shutdown::{Phase, wait_until_closing};
use connection_ids::ConnectionIds;
use packet::Writer;
use reedwalk_operations::CapacityShare;
use reedwalk_settings::Deployment;
use running_queries::RunningQueries;
use session::Session;
use session_slots::{SessionSlots, SlotCounts};
use slog::{Logger, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

/// Share of the descriptors that client sessions may hold; clients keep to a third, engines take a share.
const SESSIONS_SHARE: f64 = 0.6;
/// Share of the memory for statements that are not small, as they are read and while they run.
const STATEMENTS_SHARE: f64 = 0.1;
/// Share of the descriptors for clients that were refused and still read why.
const REFUSED_SHARE: f64 = 0.01;
/// How long one of them may take.
const REFUSED_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// How often refused and evicted sessions are logged at most.
const SLOT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What all sessions share.
pub struct Front {
    request_queue: RequestQueue,
    deployment: Arc<Deployment>,
    quotas: Option<Arc<QuotaManager>>,
    slots: Arc<SessionSlots>,
    max_sessions: usize,
    running: RunningQueries,
    /// Permits for clients that were refused and still read why.
    refused: Arc<Semaphore>,
    seed: u64,
    cores: Multicore,
    log: Logger,
}

/// Logs the counts of refused and evicted sessions when they have changed.
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
    /// A front that submits its requests to `request_queue` and keeps to these limits.
    pub fn new(
        request_queue: RequestQueue,
        deployment: Arc<Deployment>,
        quotas: Option<Arc<QuotaManager>>,
        limits: &Limits,
        seed: u64,
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
            running: RunningQueries::default(),
            refused: Arc::new(Semaphore::new(max_refused)),
            seed,
            cores,
            log,
        }
    }

    /// Accepts sessions until the phase says to close, as many as this process's share of the capacity allows. Each
    /// session holds `open_connections` until it has ended.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut phase: watch::Receiver<Phase>,
        mut share: watch::Receiver<CapacityShare>,
        open_connections: mpsc::Sender<()>,
    ) {
        let mut ids = ConnectionIds::new();
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
            // A session that was evicted ends before the next client is accepted.
            tokio::task::yield_now().await;
        }
        for stream in drain_backlog(listener) {
            self.open_session(stream, ids.next_id(), &phase, &open_connections);
        }
    }

    /// Opens a session with this id for a new client, or refuses it.
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

    /// Refuses a new client. As many at once as there are permits get the time to read why; of the others what has
    /// arrived is read, and no more.
    fn refuse(&self, mut stream: TcpStream, now: Instant, open_connection: mpsc::Sender<()>) {
        let mut output = bytes::BytesMut::new();
        Writer::new(&mut output, 0).error(1040, b"08004", "too many connections, pause=1000");
        // This fits any fresh socket's buffer; whether it arrives depends on the client.
        let _ = stream.try_write(&output);
        if let Ok(permit) = self.refused.clone().try_acquire_owned() {
            tokio::spawn(async move {
                close::close(&mut stream, now + REFUSED_CLOSE_TIMEOUT).await;
                drop((permit, open_connection));
            });
        } else {
            close::read_ready(&stream);
        }
    }
}
