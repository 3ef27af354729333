//! The front on the MySQL client protocol.

pub mod packet;
mod places;
mod session;
pub mod statement;

use crate::broker::Desk;
use crate::config::Limits;
use crate::contracts::Contracts;
use crate::cores::Cores;
use crate::shutdown::{Phase, closing};
use packet::Writer;
use places::{Counts, Places};
use reedwalk_membership::Part;
use reedwalk_settings::Deployment;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Share of the descriptors that client sessions may hold; clients keep to a third, engines take a part.
const SESSIONS_SHARE: f64 = 0.6;
/// Share of the memory for statements that are not small, as they are read and while they run.
const STATEMENTS_SHARE: f64 = 0.1;

/// Running queries by connection id, each with the way to end it.
#[derive(Debug, Default)]
struct Running(Mutex<HashMap<u32, oneshot::Sender<()>>>);

impl Running {
    fn enter(&self, connection: u32) -> oneshot::Receiver<()> {
        let (kill, killed) = oneshot::channel();
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(connection, kill);
        killed
    }

    fn leave(&self, connection: u32) -> Option<oneshot::Sender<()>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&connection)
    }
}

/// What all sessions share.
pub struct Front {
    desk: Desk,
    deployment: Arc<Deployment>,
    contracts: Option<Arc<Contracts>>,
    places: Arc<Places>,
    sessions: usize,
    running: Running,
    seed: u64,
    cores: Cores,
    log: Logger,
}

impl Front {
    /// A front that hands its requests in at `desk` and keeps to these limits.
    pub fn new(
        desk: Desk,
        deployment: Arc<Deployment>,
        contracts: Option<Arc<Contracts>>,
        limits: &Limits,
        seed: u64,
        cores: Cores,
        log: Logger,
    ) -> Self {
        let sessions = (limits.sockets as f64 * SESSIONS_SHARE) as usize;
        let bytes = (limits.memory_mb * STATEMENTS_SHARE * f64::from(1 << 20)) as usize;
        let places = Arc::new(Places::new(sessions, bytes));
        let running = Running::default();
        Self { desk, deployment, contracts, places, sessions, running, seed, cores, log }
    }

    /// Accepts sessions until the phase tells it to close, as many as this process's part allows. `alive` is held by
    /// each until it has ended.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut phase: watch::Receiver<Phase>,
        mut part: watch::Receiver<Part>,
        alive: mpsc::Sender<()>,
    ) {
        let mut next = 0u32;
        let mut told = (Instant::now(), Counts::default());
        part.mark_changed();
        loop {
            let stream = tokio::select! {
                Ok(()) = part.changed() => {
                    let share = part.borrow_and_update().share;
                    self.places.resize((self.sessions as f64 * share) as usize);
                    continue;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        // Out of descriptors, say: what is open goes on, and new ones wait a little.
                        warn!(self.log, "accept failed"; "error" => %error);
                        sleep_until(Instant::now() + Duration::from_millis(20)).await;
                        continue;
                    }
                },
                () = closing(&mut phase) => break,
            };
            next = self.enter(stream, next, &phase, &alive);
            let now = Instant::now();
            let counts = self.places.counts();
            if counts != told.1 && now - told.0 >= Duration::from_secs(1) {
                told = (now, counts);
                info!(self.log, "places"; "refused" => counts.refused, "let go" => counts.let_go);
            }
            // Who was told to make room does so before the next one comes in.
            tokio::task::yield_now().await;
        }
        // What the system has taken for us is ours: closed now, it would be reset.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                next = self.enter(stream, next, &phase, &alive);
            }
        }
    }

    /// Gives a newcomer a session, or turns it away; the last number given.
    fn enter(
        self: &Arc<Self>,
        stream: TcpStream,
        last: u32,
        phase: &watch::Receiver<Phase>,
        alive: &mpsc::Sender<()>,
    ) -> u32 {
        let (now, id) = (Instant::now(), last.wrapping_add(1).max(1));
        let _ = stream.set_nodelay(true);
        let Some(place) = self.places.enter(id, now) else {
            refuse(&stream);
            return id;
        };
        let (front, phase, alive) = (self.clone(), phase.clone(), alive.clone());
        let seat = self.cores.seat();
        if let Ok(stream) = seat.bring(stream) {
            seat.spawn(async move {
                session::Session::new(&front, stream, id, place, now).run(phase).await;
                drop(alive);
            });
        }
        id
    }
}

/// Turns a newcomer away. What it has sent is read first: a close over unread bytes would be a reset, which
/// can overtake the answer.
fn refuse(stream: &TcpStream) {
    let mut out = bytes::BytesMut::new();
    Writer::new(&mut out, 0).error(1040, b"08004", "too many connections, pause=1000");
    // Fits any fresh socket's buffer; whether it arrives is the client's affair.
    let _ = stream.try_write(&out);
    let mut sent = [0; 4096];
    for _ in 0..4 {
        if !matches!(stream.try_read(&mut sent), Ok(n) if n > 0) {
            return;
        }
    }
}
