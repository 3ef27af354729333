//! The list of engines: the events known at the start, then the name server's answers.

pub mod dns;
pub mod list;

use crate::broker::Input;
use list::Book;
use slog::{Logger, debug, info, warn};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// How often the name server is asked, and how long an answer may take: news counts as told 1.5 s after it
/// happened, asked for or not, so it had better be here by then.
const EVERY: Duration = Duration::from_millis(250);
/// Answers hold up to 8,000 bytes.
const ANSWER_MOST: usize = 9000;

/// Asks the name server again and again and tells the broker what has changed.
pub async fn watch(server: SocketAddr, mut book: Book, queue: mpsc::Sender<Input>, seed: u64, log: Logger) {
    let mut id = seed as u16;
    let mut socket: Option<UdpSocket> = None;
    let mut buffer = vec![0; ANSWER_MOST];
    let mut large = false;
    // Told once when answers stop, and once when they are back.
    let mut failing = false;
    loop {
        let asked = Instant::now();
        let next = asked + EVERY;
        id = id.wrapping_add(1);
        if socket.is_none() {
            socket = open(server).await.map_err(|e| warn!(log, "name server"; "error" => %e)).ok();
        }
        if let Some(open) = &socket {
            let asked = ask(open, id, large, next, &mut buffer).await;
            let sound = matches!(&asked, Ok(Some(size)) if dns::read(&buffer[..*size], id).is_ok());
            if sound == failing {
                failing = !sound;
                warn!(log, "name server"; "answers" => sound, "serial" => ?book.serial());
            }
            match asked {
                Ok(None) => debug!(log, "name server silent"),
                Ok(Some(size)) => match dns::read(&buffer[..size], id) {
                    Ok(answer) => {
                        let changes = book.take(answer);
                        if !changes.is_empty() {
                            info!(log, "engines"; "serial" => ?book.serial(), "changed" => ?changes);
                            if queue.send(Input::Engines(changes)).await.is_err() {
                                return;
                            }
                        }
                    }
                    Err(dns::BadAnswer::Truncated) if !large => large = true,
                    Err(error) => debug!(log, "name server"; "answer" => %error),
                },
                Err(error) => {
                    debug!(log, "name server"; "error" => %error);
                    socket = None;
                }
            }
        }
        if queue.is_closed() {
            return;
        }
        tokio::time::sleep_until(next).await;
    }
}

async fn open(server: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}

/// Sends one query and waits for its answer until `by`; answers to earlier ones are passed over.
async fn ask(
    socket: &UdpSocket,
    id: u16,
    large: bool,
    by: Instant,
    buffer: &mut [u8],
) -> std::io::Result<Option<usize>> {
    let Some(query) = dns::query(id, large) else { return Ok(None) };
    socket.send(&query).await?;
    loop {
        match timeout_at(by, socket.recv(buffer)).await {
            Err(_) => return Ok(None),
            Ok(size) => {
                let size = size?;
                if buffer[..size].starts_with(&id.to_be_bytes()) {
                    return Ok(Some(size));
                }
            }
        }
    }
}
