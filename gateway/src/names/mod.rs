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
use tokio::time::{Instant, sleep_until};

/// How often the name server is asked: news counts as told 1.5 s after it happened, asked for or not, so it had
/// better be here by then.
const EVERY: Duration = Duration::from_millis(250);
/// Answers to so many of the latest queries are taken: a slow one tells as much as a quick one, and the serial
/// keeps an old one from undoing a new one.
const QUERIES_OPEN: u16 = 16;
/// Without a sound answer for so long, the name server is said to be out of reach.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Answers hold up to 8,000 bytes.
const ANSWER_MOST: usize = 9000;

/// Asks the name server again and again and tells the broker what has changed.
pub async fn watch(server: SocketAddr, mut book: Book, queue: mpsc::Sender<Input>, seed: u64, log: Logger) {
    let mut id = seed as u16;
    let mut buffer = vec![0; ANSWER_MOST];
    let (mut large, mut silent, mut heard) = (false, false, Instant::now());
    loop {
        let socket = match open(server).await {
            Ok(socket) => socket,
            Err(error) => {
                warn!(log, "name server"; "error" => %error);
                sleep_until(Instant::now() + EVERY).await;
                continue;
            }
        };
        let mut next = Instant::now();
        // Until the socket fails, as it does when nothing listens there; then it is opened anew.
        loop {
            tokio::select! {
                () = sleep_until(next) => {
                    next = Instant::now() + EVERY;
                    id = id.wrapping_add(1);
                    let query = dns::query(id, large).unwrap_or_default();
                    if socket.send(&query).await.is_err() {
                        break;
                    }
                    if !silent && heard.elapsed() > SILENT_AFTER {
                        silent = true;
                        warn!(log, "name server silent"; "serial" => ?book.serial());
                    }
                }
                received = socket.recv(&mut buffer) => {
                    let Ok(size) = received else { break };
                    match dns::read(&buffer[..size], id, QUERIES_OPEN) {
                        Ok(answer) => {
                            heard = Instant::now();
                            if std::mem::take(&mut silent) {
                                info!(log, "name server back"; "serial" => answer.serial);
                            }
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
                    }
                }
            }
        }
        if queue.is_closed() {
            return;
        }
        sleep_until(next).await;
    }
}

async fn open(server: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}
