//! The list of engines: the events known at the start, then the name server's answers.

pub mod dns;
pub mod endpoint_list;

use crate::registry::EndpointRegistry;
use futures::future::select_all;
use slog::{Logger, debug, info, warn};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How often the name server is asked: news counts as told 1.5 s after it happened, asked for or not, so it had
/// better be here by then.
const EVERY: Duration = Duration::from_millis(250);
/// Answers to so many of the latest queries are taken: a slow one tells as much as a quick one, and the serial
/// keeps an old one from undoing a new one.
const QUERIES_OPEN: usize = 16;
/// Without a sound answer for so long, the name server is said to be out of reach.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Where nothing sound was heard for so long, it is asked from a fresh socket as well: a way that has gone silent once
/// may stay so for good.
const RENEW_AFTER: Duration = Duration::from_secs(1);
/// Answers that are late may still come to the sockets before; so many in all.
const SOCKETS_MOST: usize = 4;
/// Answers hold up to 8,000 bytes.
const ANSWER_MOST: usize = 9000;

/// Where the names come from; a new configuration brings another while the program runs.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySource {
    /// Where the name server listens.
    pub server: Option<SocketAddr>,
    /// What the configuration knew of the list.
    pub known: Option<serde_json::Value>,
}

/// Why one name server is asked no more.
enum Over {
    /// The source has changed.
    Changed,
    /// The program ends.
    Ended,
}

/// The list, and how it is kept up.
struct DiscoveryClient {
    members: EndpointRegistry,
    /// Where the numbers of queries come from: they can't be told from those before.
    numbers: u64,
    /// Numbers of the latest queries, the last one first.
    asked: VecDeque<u16>,
    large: bool,
    silent: bool,
    heard: Instant,
    log: Logger,
}

/// Asks the name server again and again and hands what it tells to the list's owner. Where the source changes, the
/// next server is asked at once; the list and its serial go on.
pub async fn watch(
    mut sources: watch::Receiver<DiscoverySource>,
    members: EndpointRegistry,
    seed: u64,
    log: Logger,
) {
    let (asked, heard) = (VecDeque::new(), Instant::now());
    let mut watch =
        DiscoveryClient { members, numbers: seed, asked, large: false, silent: false, heard, log };
    loop {
        let source = sources.borrow_and_update().clone();
        if let Some(Err(error)) = source.known.as_ref().map(|k| watch.members.refresh(k)) {
            warn!(watch.log, "known list of the new configuration not used"; "error" => %error);
        }
        let over = match source.server {
            Some(server) => watch.poll(server, &mut sources).await,
            None => Over::when(&mut sources).await,
        };
        if let Over::Ended = over {
            return;
        }
    }
}

impl Over {
    /// Waits until the source changes or nobody can change it any more.
    async fn when(sources: &mut watch::Receiver<DiscoverySource>) -> Self {
        if sources.changed().await.is_ok() { Self::Changed } else { Self::Ended }
    }
}

impl DiscoveryClient {
    /// Asks one server until another takes its place.
    async fn poll(&mut self, server: SocketAddr, sources: &mut watch::Receiver<DiscoverySource>) -> Over {
        let mut buffer = vec![0; ANSWER_MOST];
        let (mut next, mut opened) = (Instant::now(), Instant::now());
        // The latest first.
        let mut sockets = VecDeque::<UdpSocket>::new();
        loop {
            tokio::select! {
                over = Over::when(sources) => return over,
                () = sleep_until(next) => {
                    let now = Instant::now();
                    next = now + EVERY;
                    let silent = now.saturating_duration_since(self.heard.max(opened)) >= RENEW_AFTER;
                    if sockets.is_empty() || silent {
                        opened = now;
                        match open(server).await {
                            Ok(socket) => sockets.push_front(socket),
                            Err(error) => warn!(self.log, "name server"; "error" => %error),
                        }
                        sockets.truncate(SOCKETS_MOST);
                    }
                    let query = self.query();
                    if let Some(socket) = sockets.front()
                        && socket.send(&query).await.is_err()
                    {
                        sockets.pop_front();
                    }
                }
                // A socket fails where nothing listens there; the next one is opened with the next query.
                place = readable(&sockets) => match sockets[place].try_recv(&mut buffer) {
                    Ok(size) => self.on_datagram(&buffer[..size]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => _ = sockets.remove(place),
                }
            }
        }
    }

    /// The next query.
    fn query(&mut self) -> Vec<u8> {
        self.numbers =
            self.numbers.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let id = (self.numbers >> 48) as u16;
        self.asked.truncate(QUERIES_OPEN - 1);
        self.asked.push_front(id);
        if !self.silent && self.heard.elapsed() > SILENT_AFTER {
            self.silent = true;
            warn!(self.log, "name server silent"; "serial" => ?self.members.serial());
        }
        dns::query(id, self.large).unwrap_or_default()
    }

    /// Takes in a datagram.
    fn on_datagram(&mut self, bytes: &[u8]) {
        match dns::read(bytes, self.asked.make_contiguous()) {
            Ok(answer) => {
                self.heard = Instant::now();
                if std::mem::take(&mut self.silent) {
                    info!(self.log, "name server back"; "serial" => answer.serial);
                }
                self.members.take(answer);
            }
            Err(dns::BadAnswer::Truncated) if !self.large => self.large = true,
            Err(error) => debug!(self.log, "name server"; "answer" => %error),
        }
    }
}

/// Which of them has something to be read, or has failed.
async fn readable(sockets: &VecDeque<UdpSocket>) -> usize {
    if sockets.is_empty() {
        return std::future::pending().await;
    }
    select_all(sockets.iter().map(|s| Box::pin(s.readable()))).await.1
}

async fn open(server: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}
