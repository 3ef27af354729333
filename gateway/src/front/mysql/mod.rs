//! The front on the MySQL client protocol.

mod close;
pub mod packet;
mod places;
mod session;
pub mod statement;

use crate::broker::RequestQueue;
use crate::front::accepted_already;
use crate::limits::Limits;
use crate::multicore::Multicore;
use crate::quotas::QuotaManager;
use crate::shutdown::{Phase, closing};
use packet::Writer;
use places::{Counts, Places};
use reedwalk_operations::CapacityShare;
use reedwalk_settings::Deployment;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Share of the descriptors that client sessions may hold; clients keep to a third, engines take a share.
const SESSIONS_SHARE: f64 = 0.6;
/// Share of the memory for statements that are not small, as they are read and while they run.
const STATEMENTS_SHARE: f64 = 0.1;

/// Share of the descriptors for newcomers that were turned away and still take in why.
const TURNED_AWAY_SHARE: f64 = 0.01;
/// One of them may take so long.
const TURNED_AWAY_BY: Duration = Duration::from_millis(200);

/// Numbers of connections. Two processes may serve at one address, and a KILL QUERY meant for one reach the other: the
/// numbers of each are spread over all there are, from a start that the system draws, so that it meets nobody there.
#[derive(Clone, Copy, Debug)]
struct Numbers(u32);

impl Numbers {
    fn new() -> Self {
        Self(RandomState::new().build_hasher().finish() as u32)
    }

    /// The next one; never 0, and the same again only after all others.
    fn next(&mut self) -> u32 {
        self.0 = self.0.wrapping_add(0x9E37_79B9);
        if self.0 == 0 { self.next() } else { self.0 }
    }
}

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
    request_queue: RequestQueue,
    deployment: Arc<Deployment>,
    contracts: Option<Arc<QuotaManager>>,
    places: Arc<Places>,
    sessions: usize,
    running: Running,
    turned_away: Arc<Semaphore>,
    seed: u64,
    cores: Multicore,
    log: Logger,
}

impl Front {
    /// A front that hands its requests in at `request_queue` and keeps to these limits.
    pub fn new(
        request_queue: RequestQueue,
        deployment: Arc<Deployment>,
        contracts: Option<Arc<QuotaManager>>,
        limits: &Limits,
        seed: u64,
        cores: Multicore,
        log: Logger,
    ) -> Self {
        let sessions = (limits.sockets as f64 * SESSIONS_SHARE) as usize;
        let bytes = (limits.memory_mb * STATEMENTS_SHARE * f64::from(1 << 20)) as usize;
        let places = Arc::new(Places::new(sessions, bytes));
        let running = Running::default();
        let turned_away = (limits.sockets as f64 * TURNED_AWAY_SHARE).max(1.0) as usize;
        let turned_away = Arc::new(Semaphore::new(turned_away));
        Self {
            request_queue,
            deployment,
            contracts,
            places,
            sessions,
            running,
            turned_away,
            seed,
            cores,
            log,
        }
    }

    /// Accepts sessions until the phase tells it to close, as many as this process's part allows. `alive` is held by
    /// each until it has ended.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut phase: watch::Receiver<Phase>,
        mut share: watch::Receiver<CapacityShare>,
        alive: mpsc::Sender<()>,
    ) {
        let mut numbers = Numbers::new();
        let mut told = (Instant::now(), Counts::default());
        share.mark_changed();
        loop {
            let stream = tokio::select! {
                Ok(()) = share.changed() => {
                    let share = share.borrow_and_update().share;
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
            self.enter(stream, numbers.next(), &phase, &alive);
            let now = Instant::now();
            let counts = self.places.counts();
            if counts != told.1 && now - told.0 >= Duration::from_secs(1) {
                told = (now, counts);
                info!(self.log, "places"; "refused" => counts.refused, "evicted" => counts.evicted);
            }
            // Who was told to make room does so before the next one comes in.
            tokio::task::yield_now().await;
        }
        for stream in accepted_already(listener) {
            self.enter(stream, numbers.next(), &phase, &alive);
        }
    }

    /// Gives a newcomer a session under this number, or turns it away.
    fn enter(
        self: &Arc<Self>,
        stream: TcpStream,
        id: u32,
        phase: &watch::Receiver<Phase>,
        alive: &mpsc::Sender<()>,
    ) {
        let now = Instant::now();
        let _ = stream.set_nodelay(true);
        let Some(place) = self.places.enter(id, now) else {
            return self.turn_away(stream, now, alive.clone());
        };
        let (front, phase, alive) = (self.clone(), phase.clone(), alive.clone());
        let seat = self.cores.place_connection();
        if let Ok(stream) = seat.adopt_stream(stream) {
            seat.spawn(async move {
                session::Session::new(&front, stream, id, place, now).run(phase).await;
                drop(alive);
            });
        }
    }

    /// Turns a newcomer away. There is time to take in why for as many at once as there is room for; of the others
    /// what has come is read and no more.
    fn turn_away(&self, mut stream: TcpStream, now: Instant, alive: mpsc::Sender<()>) {
        let mut out = bytes::BytesMut::new();
        Writer::new(&mut out, 0).error(1040, b"08004", "too many connections, pause=1000");
        // Fits any fresh socket's buffer; whether it arrives is the client's affair.
        let _ = stream.try_write(&out);
        if let Ok(permit) = self.turned_away.clone().try_acquire_owned() {
            tokio::spawn(async move {
                close::close(&mut stream, now + TURNED_AWAY_BY).await;
                drop((permit, alive));
            });
        } else {
            close::read_ready(&stream);
        }
    }
}
