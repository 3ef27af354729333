//! The front for Arrow Flight SQL: statement queries (`GetFlightInfo`, then `DoGet`) and updates (`DoPut`). All other
//! calls fail with `UNIMPLEMENTED`.

mod header;
pub mod metadata;
mod result;
mod service;
mod ticket;

use crate::accept::{drain_backlog, pause_after_error};
use crate::broker::RequestQueue;
use crate::multicore::Multicore;
use crate::operator::FlightFront;
use crate::shutdown::{Phase, wait_until_closing};
use arrow_flight::flight_service_server::FlightServiceServer;
use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use reedwalk_settings::Deployment;
pub use service::Service;
use slog::{Logger, debug};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Concurrent calls per connection.
const MAX_STREAMS: u32 = 64;
/// Interval between keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Accepts connections until the shutdown reaches its closing phase. Each connection holds a clone of `open_connections`
/// until it has ended.
pub async fn serve(
    listener: TcpListener,
    service: Service,
    front: FlightFront,
    cores: Multicore,
    mut phase: watch::Receiver<Phase>,
    open_connections: mpsc::Sender<()>,
    log: Logger,
) {
    let service = FlightServiceServer::new(service).max_decoding_message_size(front.max_message_bytes);
    let connection_count = Arc::new(AtomicUsize::new(0));
    let open = |stream: TcpStream, phase: watch::Receiver<Phase>| {
        if connection_count.load(Ordering::Relaxed) >= front.max_connections {
            return;
        }
        let (service, open_connection, log) = (service.clone(), open_connections.clone(), log.clone());
        let core = cores.place_connection();
        let Ok(stream) = core.adopt_stream(stream) else { return };
        let counted = CountedConnection::new(&connection_count);
        core.spawn(async move {
            serve_connection(stream, service, phase, log).await;
            drop((counted, open_connection));
        });
    };
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    pause_after_error(&error, &log).await;
                    continue;
                }
            },
            () = wait_until_closing(&mut phase) => break,
        };
        open(stream, phase.clone());
    }
    drain_backlog(listener).for_each(|stream| open(stream, phase.clone()));
}

/// Counts an open connection until it is dropped.
struct CountedConnection(Arc<AtomicUsize>);

impl CountedConnection {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one connection. It doesn't use tonic's server, which drops the handler at a call's deadline and responds with
/// `CANCELLED` instead of the broker's response.
async fn serve_connection(
    stream: TcpStream,
    service: FlightServiceServer<Service>,
    mut phase: watch::Receiver<Phase>,
    log: Logger,
) {
    let _ = stream.set_nodelay(true);
    let mut server = http2::Builder::new(TokioExecutor::new());
    // Pings detect a dead peer, whose connection is then closed.
    server.timer(TokioTimer::new()).keep_alive_interval(PING_INTERVAL).max_concurrent_streams(MAX_STREAMS);
    let connection = server.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_until_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(log, "Flight SQL connection failed"; "error" => %error);
    }
}

impl Service {
    /// Creates a service that submits its requests to `request_queue`.
    pub fn new(request_queue: RequestQueue, deployment: Arc<Deployment>) -> Self {
        Self { request_queue, deployment, tickets: Arc::default() }
    }
}
