//! The front on the MySQL client protocol.

pub mod packet;
mod session;
pub mod statement;

use crate::broker::Desk;
use crate::contracts::Contracts;
use crate::shutdown::{Phase, closing};
use packet::Writer;
use reedwalk_settings::Deployment;
use slog::{Logger, warn};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

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
    sessions_most: usize,
    sessions: AtomicUsize,
    running: Running,
    seed: u64,
    log: Logger,
}

impl Front {
    /// A front that hands its requests in at `desk` and has at most so many sessions.
    pub fn new(
        desk: Desk,
        deployment: Arc<Deployment>,
        contracts: Option<Arc<Contracts>>,
        sessions_most: usize,
        seed: u64,
        log: Logger,
    ) -> Self {
        let sessions = AtomicUsize::new(0);
        Self { desk, deployment, contracts, sessions_most, sessions, running: Running::default(), seed, log }
    }

    /// Accepts sessions until the phase tells it to close. `alive` is held by each until it has ended.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut phase: watch::Receiver<Phase>,
        alive: mpsc::Sender<()>,
    ) {
        let mut next = 0u32;
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        // Out of descriptors, say: what is open goes on, and new ones wait a little.
                        warn!(self.log, "accept failed"; "error" => %error);
                        sleep_until(Instant::now() + Duration::from_millis(20)).await;
                        continue;
                    }
                },
                () = closing(&mut phase) => return,
            };
            next = next.wrapping_add(1).max(1);
            let (front, phase, alive) = (self.clone(), phase.clone(), alive.clone());
            tokio::spawn(async move {
                front.sessions.fetch_add(1, Ordering::Relaxed);
                front.session(stream, next, phase).await;
                front.sessions.fetch_sub(1, Ordering::Relaxed);
                drop(alive);
            });
        }
    }

    async fn session(&self, stream: TcpStream, id: u32, phase: watch::Receiver<Phase>) {
        let _ = stream.set_nodelay(true);
        if self.sessions.load(Ordering::Relaxed) > self.sessions_most {
            let mut out = bytes::BytesMut::new();
            Writer::new(&mut out, 0).error(1040, b"08004", "too many connections, pause=1000");
            // Fits any fresh socket's buffer; whether it arrives is the client's affair.
            let _ = stream.try_write(&out);
            return;
        }
        session::Session::new(self, stream, id).run(phase).await;
    }
}
