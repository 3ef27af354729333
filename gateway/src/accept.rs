//! Accepting connections: what all listeners of the process share.

use slog::{Logger, warn};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Delay after a failed accept, for example when the process is out of file descriptors. Open connections are still
/// served meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Logs a failed accept and waits before the next attempt.
pub async fn pause_after_error(error: &std::io::Error, log: &Logger) {
    warn!(log, "accept failed"; "error" => %error);
    sleep_until(Instant::now() + ACCEPT_RETRY_DELAY).await;
}

/// The connections still in the accept queue of a listener that is closing. If the listener were dropped first, the
/// kernel would reset them.
pub fn drain_backlog(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let next = move || Some(listener.as_ref()?.accept().ok()?.0);
    std::iter::from_fn(next).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
