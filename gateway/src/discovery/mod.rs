//! Service discovery: a client that polls the name server over DNS and passes its answers to the endpoint registry.

pub mod dns;
pub mod endpoint_list;
pub mod list_record;

use crate::registry::EndpointRegistry;
use futures::future::select_all;
use slog::{Logger, debug, info, warn};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Interval at which the name server is polled. The platform assumes that a gateway knows of a change 1.5 s after it
/// happened, so the gateway must have polled successfully by then.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of latest queries whose answers are accepted. A delayed answer is still useful, and its serial keeps an older
/// list from replacing a newer one.
const MAX_OPEN_QUERIES: usize = 16;
/// Time without a valid answer after which the name server is logged as not answering.
const UNRESPONSIVE_LOG_THRESHOLD: Duration = Duration::from_secs(2);
/// Time without a valid answer after which queries are sent from a new socket, because a failed network path may never
/// recover.
const SOCKET_RENEWAL_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum number of open sockets. Earlier ones stay open because delayed answers may still arrive there.
const MAX_SOCKETS: usize = 4;
/// Size of the receive buffer; answers have up to 8,000 bytes.
const RECEIVE_BUFFER_BYTES: usize = 9000;

/// The source of the endpoint list; a configuration reload can replace it at run time.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySource {
    /// Address of the name server.
    pub server: Option<SocketAddr>,
    /// Endpoint list events from the configuration.
    pub events: Option<serde_json::Value>,
}

/// Why polling of a name server stopped.
enum StopReason {
    SourceChanged,
    /// The process is shutting down.
    Shutdown,
}

impl StopReason {
    /// Waits until the source changes or its sender is dropped.
    async fn wait(sources: &mut watch::Receiver<DiscoverySource>) -> Self {
        if sources.changed().await.is_ok() { Self::SourceChanged } else { Self::Shutdown }
    }
}

struct DiscoveryClient {
    registry: EndpointRegistry,
    /// Ids of the latest queries, the newest first.
    open_query_ids: VecDeque<u16>,
    /// An answer was too large for plain DNS, so queries allow larger ones (EDNS).
    accepts_large_answers: bool,
    unresponsive_logged: bool,
    last_answer: Instant,
    log: Logger,
}

/// Polls the name server until shutdown. When the source changes, the new server is polled immediately; the list and
/// its serial are kept.
pub async fn poll_endpoint_list(
    mut sources: watch::Receiver<DiscoverySource>,
    registry: EndpointRegistry,
    log: Logger,
) {
    let mut client = DiscoveryClient {
        registry,
        open_query_ids: VecDeque::new(),
        accepts_large_answers: false,
        unresponsive_logged: false,
        last_answer: Instant::now(),
        log,
    };
    loop {
        let source = sources.borrow_and_update().clone();
        if let Some(events) = &source.events
            && let Err(error) = client.registry.apply_newer_events(events)
        {
            warn!(client.log, "endpoint list of the new configuration rejected"; "error" => %error);
        }
        let stop_reason = match source.server {
            Some(server) => client.poll(server, &mut sources).await,
            None => StopReason::wait(&mut sources).await,
        };
        if let StopReason::Shutdown = stop_reason {
            return;
        }
    }
}

impl DiscoveryClient {
    /// Polls one server until the source changes or the process shuts down.
    async fn poll(
        &mut self,
        server: SocketAddr,
        sources: &mut watch::Receiver<DiscoverySource>,
    ) -> StopReason {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut next_query = Instant::now();
        let mut last_socket_opened = Instant::now();
        // The newest socket first.
        let mut sockets = VecDeque::<UdpSocket>::new();
        loop {
            tokio::select! {
                stop_reason = StopReason::wait(sources) => return stop_reason,
                () = sleep_until(next_query) => {
                    let now = Instant::now();
                    next_query = now + POLL_INTERVAL;
                    let unanswered_for = now.saturating_duration_since(self.last_answer.max(last_socket_opened));
                    if sockets.is_empty() || unanswered_for >= SOCKET_RENEWAL_THRESHOLD {
                        last_socket_opened = now;
                        self.open_socket(server, &mut sockets).await;
                    }
                    self.send_query(&mut sockets).await;
                }
                // A socket fails if nothing listens at the address; the next query opens another one if none is left.
                index = wait_readable(&sockets) => match sockets[index].try_recv(&mut buffer) {
                    Ok(size) => self.on_datagram(&buffer[..size]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => _ = sockets.remove(index),
                }
            }
        }
    }

    /// Opens another socket, and closes the oldest one if there are too many.
    async fn open_socket(&self, server: SocketAddr, sockets: &mut VecDeque<UdpSocket>) {
        match connect(server).await {
            Ok(socket) => sockets.push_front(socket),
            Err(error) => warn!(self.log, "name server socket not opened"; "error" => %error),
        }
        sockets.truncate(MAX_SOCKETS);
    }

    /// Sends the next query on the newest socket.
    async fn send_query(&mut self, sockets: &mut VecDeque<UdpSocket>) {
        let query = self.encode_next_query();
        if let Some(socket) = sockets.front()
            && socket.send(&query).await.is_err()
        {
            sockets.pop_front();
        }
    }

    fn encode_next_query(&mut self) -> Vec<u8> {
        // Random, so that nobody who has not seen the query can answer it.
        let id = rand::random();
        self.open_query_ids.truncate(MAX_OPEN_QUERIES - 1);
        self.open_query_ids.push_front(id);
        if !self.unresponsive_logged && self.last_answer.elapsed() > UNRESPONSIVE_LOG_THRESHOLD {
            self.unresponsive_logged = true;
            warn!(self.log, "name server not answering"; "serial" => ?self.registry.serial());
        }
        dns::encode_query(id, self.accepts_large_answers).unwrap_or_default()
    }

    fn on_datagram(&mut self, bytes: &[u8]) {
        match dns::parse_answer(bytes, self.open_query_ids.make_contiguous()) {
            Ok(answer) => {
                self.last_answer = Instant::now();
                if std::mem::take(&mut self.unresponsive_logged) {
                    info!(self.log, "name server answering again"; "serial" => answer.serial);
                }
                self.registry.apply_answer(answer);
            }
            Err(dns::AnswerError::Truncated) if !self.accepts_large_answers => {
                self.accepts_large_answers = true
            }
            Err(error) => debug!(self.log, "name server answer rejected"; "error" => %error),
        }
    }
}

/// Waits until a socket is readable or has failed; returns its index.
async fn wait_readable(sockets: &VecDeque<UdpSocket>) -> usize {
    if sockets.is_empty() {
        return std::future::pending().await;
    }
    select_all(sockets.iter().map(|socket| Box::pin(socket.readable()))).await.1
}

async fn connect(server: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}
