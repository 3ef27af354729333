//! Lingering close of a client connection. Closing a socket with unread bytes resets the connection, and the client may
//! then lose the last response. The gateway therefore shuts down its write side first, then reads and discards input
//! until the client closes its side.

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Limit on the bytes that [`close`] discards. The connection of a client that sends more is reset.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Limit on the bytes that [`discard_received`] discards.
const MAX_DISCARD_BYTES: usize = 16 * 1024;
/// Size of the read buffer.
const BUFFER_BYTES: usize = 4 * 1024;

/// Discards the bytes that have already been received, up to a limit, without waiting for more.
pub fn discard_received(stream: &TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    for _ in 0..MAX_DISCARD_BYTES / BUFFER_BYTES {
        if !matches!(stream.try_read(&mut buffer), Ok(n) if n > 0) {
            return;
        }
    }
}

/// Shuts down the write side, then discards input until the client closes its side, `deadline` passes or the limit is
/// reached. The caller then drops the stream.
pub async fn close(stream: &mut TcpStream, deadline: Instant) {
    if !matches!(timeout_at(deadline, stream.shutdown()).await, Ok(Ok(()))) {
        return;
    }
    let (mut buffer, mut discarded) = (BytesMut::new(), 0);
    while discarded < MAX_LINGER_BYTES {
        buffer.clear();
        buffer.reserve(BUFFER_BYTES);
        match timeout_at(deadline, stream.read_buf(&mut buffer)).await {
            Ok(Ok(n)) if n > 0 => discarded += n,
            _ => return,
        }
    }
}
