//! The front on Arrow Flight SQL: statement queries (GetFlightInfo, then DoGet) and updates (DoPut). All else
//! is answered UNIMPLEMENTED.

pub mod metadata;
mod result;
mod service;
mod ticket;

use crate::broker::RequestQueue;
use crate::front::accepted_already;
use crate::multicore::Multicore;
use crate::operator::FlightFront;
use crate::shutdown::{Phase, closing};
use arrow_flight::flight_service_server::FlightServiceServer;
use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use reedwalk_settings::Deployment;
pub use service::Service;
use slog::{Logger, debug, warn};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Calls that one connection carries at a time.
const STREAMS_MOST: u32 = 64;
/// How often a quiet connection is asked whether its peer is still there.
const PING_EVERY: Duration = Duration::from_secs(20);

/// Accepts connections until the phase tells it to close. `alive` is held by each until it has ended.
pub async fn serve(
    listener: TcpListener,
    service: Service,
    front: FlightFront,
    cores: Multicore,
    mut phase: watch::Receiver<Phase>,
    alive: mpsc::Sender<()>,
    log: Logger,
) {
    let service = FlightServiceServer::new(service).max_decoding_message_size(front.message_most);
    let open = Arc::new(AtomicUsize::new(0));
    let enter = |stream: TcpStream, phase: watch::Receiver<Phase>| {
        if open.load(Ordering::Relaxed) >= front.connections {
            return;
        }
        let (service, alive, log) = (service.clone(), alive.clone(), log.clone());
        let seat = cores.place_connection();
        let Ok(stream) = seat.adopt_stream(stream) else { return };
        let place = Place::take(&open);
        seat.spawn(async move {
            connection(stream, service, phase, log).await;
            drop((place, alive));
        });
    };
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(log, "accept failed"; "error" => %error);
                    sleep_until(Instant::now() + Duration::from_millis(20)).await;
                    continue;
                }
            },
            () = closing(&mut phase) => break,
        };
        enter(stream, phase.clone());
    }
    accepted_already(listener).for_each(|stream| enter(stream, phase.clone()));
}

/// One of the connections that the front may hold, until it is dropped.
struct Place(Arc<AtomicUsize>);

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one connection. It is not tonic's own server, because that answers CANCELLED at a call's deadline and
/// drops its handler, where the broker's own answer is wanted.
async fn connection(
    stream: TcpStream,
    service: FlightServiceServer<Service>,
    mut phase: watch::Receiver<Phase>,
    log: Logger,
) {
    let _ = stream.set_nodelay(true);
    let mut server = http2::Builder::new(TokioExecutor::new());
    // A peer that has vanished answers no ping, and its connection ends.
    server.timer(TokioTimer::new()).keep_alive_interval(PING_EVERY).max_concurrent_streams(STREAMS_MOST);
    let served = server.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut served = pin!(served);
    let end = tokio::select! {
        end = served.as_mut() => end,
        () = closing(&mut phase) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = end {
        debug!(log, "flight connection"; "error" => %error);
    }
}

impl Service {
    /// A service that hands its requests in at `request_queue`.
    pub fn new(request_queue: RequestQueue, deployment: Arc<Deployment>, seed: u64) -> Self {
        Self { request_queue, deployment, tickets: Arc::new(ticket::Tickets::new(seed)) }
    }
}
