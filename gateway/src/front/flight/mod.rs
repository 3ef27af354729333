//! The front for Arrow Flight SQL: statement queries (`GetFlightInfo`, then `DoGet`) and updates (`DoPut`). All other
//! calls fail with `UNIMPLEMENTED`.

mod calls;
mod header;
pub mod metadata;
mod paced_stream;
mod result;
mod service;
mod ticket;

use crate::accept::{drain_backlog, pause_after_error};
use crate::broker::RequestQueue;
use crate::limits::Limits;
use crate::multicore::Multicore;
use crate::operator::FlightFront;
use crate::request_memory::RequestMemory;
use crate::shutdown::{Phase, wait_until_closing};
use calls::Calls;
use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use paced_stream::PacedStream;
use reedwalk_settings::Deployment;
pub use service::Service;
use slog::{Logger, debug};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use ticket::{ConnectionNumber, Tickets};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Concurrent calls per connection.
const MAX_STREAMS: u32 = 64;
/// Largest head of a call, in bytes as HTTP/2 counts them.
const MAX_HEAD_BYTES: u32 = 8 * 1024;
/// Bytes of calls that a client may send on a connection before they are taken up.
const WINDOW_BYTES: u32 = 64 * 1024;
/// Bytes of one call that a client may send before they are taken up.
const STREAM_WINDOW_BYTES: u32 = 16 * 1024;
/// Share of the memory limit for the requests of all calls, and for the statements of unused tickets.
const REQUESTS_SHARE: f64 = 0.1;
/// Share of the memory for requests that the statements of unused tickets may hold.
const TICKETS_SHARE: f64 = 0.5;
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
    let connection_count = Arc::new(AtomicUsize::new(0));
    let mut connection_numbers = 0..;
    let mut open = |stream: TcpStream, phase: watch::Receiver<Phase>| {
        if connection_count.load(Ordering::Relaxed) >= front.max_connections {
            return;
        }
        let number = connection_numbers.next().map_or(ConnectionNumber(0), ConnectionNumber);
        let calls = service.calls_of(number, front.max_message_bytes);
        let (open_connection, log) = (open_connections.clone(), log.clone());
        let core = cores.place_connection();
        let Ok(stream) = core.adopt_stream(stream) else { return };
        let counted = CountedConnection::new(&connection_count);
        core.spawn(async move {
            serve_connection(stream, calls, phase, log).await;
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
async fn serve_connection(stream: TcpStream, calls: Calls, mut phase: watch::Receiver<Phase>, log: Logger) {
    let _ = stream.set_nodelay(true);
    let mut server = http2::Builder::new(TokioExecutor::new());
    // Pings detect a dead peer, whose connection is then closed.
    server.timer(TokioTimer::new()).keep_alive_interval(PING_INTERVAL).max_concurrent_streams(MAX_STREAMS);
    server.max_header_list_size(MAX_HEAD_BYTES);
    server.initial_connection_window_size(WINDOW_BYTES).initial_stream_window_size(STREAM_WINDOW_BYTES);
    let stream = PacedStream::new(stream, calls.read_progress());
    let connection = server.serve_connection(TokioIo::new(stream), calls);
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
    /// Creates a service that submits its requests to `request_queue`, in a process with this memory limit.
    pub fn new(request_queue: RequestQueue, deployment: Arc<Deployment>, limits: &Limits) -> Self {
        let max_bytes = limits.memory_mb * REQUESTS_SHARE * f64::from(1 << 20);
        let memory = Arc::new(RequestMemory::new(max_bytes as usize));
        let tickets = Arc::new(Tickets::new((max_bytes * TICKETS_SHARE) as usize));
        Self { request_queue, deployment, tickets, memory, connection: ConnectionNumber(0) }
    }

    /// The calls of one connection.
    fn calls_of(&self, connection: ConnectionNumber, max_message_bytes: usize) -> Calls {
        let memory = self.memory.clone();
        Calls::new(Self { connection, ..self.clone() }, memory, max_message_bytes)
    }
}
