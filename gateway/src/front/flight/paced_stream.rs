//! A client's connection that takes turns with everything else on its thread. HTTP/2 handles all frames that it can read,
//! and writes the answer to each, before it returns; without a limit a client that sends small frames delays all others.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Reads and writes in a turn.
const MAX_OPERATIONS_PER_TURN: u32 = 16;

/// The connection, and the reads and writes in this turn.
pub(super) struct PacedStream {
    stream: TcpStream,
    operations: u32,
    /// Waits for the next turn. Unlike a task that wakes itself, it lets the runtime look for the events of others first.
    next_turn: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl PacedStream {
    /// Reads and writes `stream` in turns.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, operations: 0, next_turn: None }
    }

    /// Counts an operation. Once there were enough in this turn, waits for the next one.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.operations >= MAX_OPERATIONS_PER_TURN {
            self.operations = 0;
            self.next_turn = Some(Box::pin(yield_now()));
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
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
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
