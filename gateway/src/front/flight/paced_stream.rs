//! A client's connection that takes turns with everything else on its thread. HTTP/2 handles all frames that it can read,
//! and writes the answer to each, before it returns; without a limit a client that sends small frames delays all others.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Reads and writes in a turn.
const MAX_OPERATIONS_PER_TURN: u32 = 16;

/// Bytes read in a row that count as a backlog, although nothing is left then: what is behind them may not have fitted into
/// the socket.
const BACKLOG_BYTES: u64 = 32 * 1024;
/// Time in which hardly anything may come after a backlog until the connection counts as drained.
const QUIET_TIME: Duration = Duration::from_millis(10);
/// Bytes that may come in that time: those of ordinary requests on a busy connection.
const MAX_QUIET_BYTES: u64 = 16 * 1024;

/// How much of a connection has been read, for the calls on it.
#[derive(Debug, Default)]
pub(super) struct ReadProgress {
    bytes_read: AtomicU64,
    /// Whether nothing was left to read at the last attempt, nor had the peer closed its side.
    is_drained: AtomicBool,
    /// Bytes read since nothing was left to read.
    bytes_in_a_row: AtomicU64,
    /// Whether there was a backlog, and the connection has not been quiet since.
    has_backlog: AtomicBool,
    /// Notified when the connection has been drained, and at the end of each turn.
    changed: Notify,
}

/// More was read without an end than a client may send behind its request.
#[derive(Debug)]
pub(super) struct TooMuchUnread;

impl ReadProgress {
    /// Waits until nothing is left to read. Until then the client may have closed its side: the system tells so only once
    /// all that was sent before has been read.
    ///
    /// # Errors
    /// If more than `max_bytes` have been read since the call.
    pub(super) async fn drained(&self, max_bytes: u64) -> Result<(), TooMuchUnread> {
        let bytes_before = self.bytes_read.load(Ordering::Relaxed);
        loop {
            let changed = self.changed.notified();
            let bytes_read = self.bytes_read.load(Ordering::Relaxed);
            if bytes_read - bytes_before > max_bytes {
                return Err(TooMuchUnread);
            }
            if !self.is_drained.load(Ordering::Relaxed) {
                changed.await;
            } else if !self.has_backlog.load(Ordering::Relaxed) || self.stays_quiet(bytes_read).await {
                return Ok(());
            }
        }
    }

    /// Waits for a moment and returns whether hardly anything has come. Behind a backlog the peer's system may still hold
    /// bytes that did not fit into the socket.
    async fn stays_quiet(&self, bytes_read: u64) -> bool {
        sleep(QUIET_TIME).await;
        // If the process did not run meanwhile, what has come is only read after the timer has expired.
        yield_now().await;
        let is_quiet = self.bytes_read.load(Ordering::Relaxed) - bytes_read <= MAX_QUIET_BYTES;
        if is_quiet {
            self.has_backlog.store(false, Ordering::Relaxed);
        }
        is_quiet
    }

    fn record_read(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.bytes_read.fetch_add(bytes, Ordering::Relaxed);
        self.is_drained.store(false, Ordering::Relaxed);
        if self.bytes_in_a_row.fetch_add(bytes, Ordering::Relaxed) + bytes >= BACKLOG_BYTES {
            self.has_backlog.store(true, Ordering::Relaxed);
        }
    }

    fn record_end_of_turn(&self) {
        self.changed.notify_waiters();
    }

    fn record_drained(&self) {
        self.is_drained.store(true, Ordering::Relaxed);
        self.bytes_in_a_row.store(0, Ordering::Relaxed);
        self.changed.notify_waiters();
    }
}

/// The connection, and the reads and writes in this turn.
pub(super) struct PacedStream {
    stream: TcpStream,
    progress: Arc<ReadProgress>,
    operations: u32,
    /// Waits for the next turn. Unlike a task that wakes itself, it lets the runtime look for the events of others first.
    next_turn: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl PacedStream {
    /// Reads and writes `stream` in turns, and reports what it reads to `progress`.
    pub(super) fn new(stream: TcpStream, progress: Arc<ReadProgress>) -> Self {
        Self { stream, progress, operations: 0, next_turn: None }
    }

    /// Counts an operation. Once there were enough in this turn, waits for the next one.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.operations >= MAX_OPERATIONS_PER_TURN {
            self.operations = 0;
            self.next_turn = Some(Box::pin(yield_now()));
            self.progress.record_end_of_turn();
        }
        if let Some(next_turn) = &mut self.next_turn {
            ready!(next_turn.as_mut().poll(context));
            self.next_turn = None;
        }
        self.operations += 1;
        Poll::Ready(())
    }

    /// A new turn begins when the connection has to wait for its peer.
    fn end_turn_if_pending<T>(&mut self, poll: Poll<T>) -> Poll<T> {
        if poll.is_pending() {
            self.operations = 0;
        }
        poll
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_turn(context));
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Pending => self.progress.record_drained(),
            Poll::Ready(_) => self.progress.record_read(buffer.filled().len() - filled),
        }
        self.end_turn_if_pending(read)
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(context));
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.end_turn_if_pending(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(context));
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.end_turn_if_pending(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
