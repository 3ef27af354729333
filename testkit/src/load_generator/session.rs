//! A session of the load generator: a MySQL connection that determines the outcome of a response without decoding it.

use crate::mysql::{login_packet, packet};
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How a request ended on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole result was received.
    Served,
    /// It was rejected before it ran.
    Rejected,
    /// It ended in another error.
    Failed,
    /// No response was received: the connection ended, or the client timed out.
    Lost,
}

/// The state of a session between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It can be used.
    Open,
    /// The gateway has closed it.
    Closed,
    /// Bytes were received that belong to no request, such as a duplicate response.
    Unsolicited,
}

/// Initial capacity of the input buffer, in bytes.
const INITIAL_BUFFER_BYTES: usize = 4096;
/// Size of a packet's header: three bytes of payload length and one of sequence number.
const HEADER_BYTES: usize = 4;
/// The payload of a ping.
const COM_PING: &[u8] = &[14];
/// First byte of an OK packet.
const OK: u8 = 0;
/// First byte of an error packet.
const ERROR: u8 = 0xff;
/// First byte of an EOF packet, which has five bytes.
const EOF: u8 = 0xfe;
const EOF_BYTES: usize = 5;

/// One session.
pub struct Session {
    stream: TcpStream,
    input: BytesMut,
}

impl Session {
    /// Connects, logs in and sends a ping; `None` if that fails. The ping is needed because the gateway may close a session
    /// that has sent no command yet in favour of another.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Self { stream, input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES) };
        session.stream.write_all(&login_packet()).await.ok()?;
        let _greeting = session.read_packet().await?;
        session.stream.write_all(&packet(0, COM_PING)).await.ok()?;
        let login_answer = session.read_packet().await?;
        let ping_answer = session.read_packet().await?;
        let is_ok = |answer: &BytesMut| answer.first() == Some(&OK);
        (is_ok(&login_answer) && is_ok(&ping_answer)).then_some(session)
    }

    /// The state of the session while no request is open. One byte of unsolicited input is consumed, so the session cannot
    /// be used after that.
    pub fn idle_state(&self) -> IdleState {
        match self.stream.try_read(&mut [0; 1]) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::Unsolicited,
            Err(_) if !self.input.is_empty() => IdleState::Unsolicited,
            Err(_) if self.stream.take_error().ok().flatten().is_some() => IdleState::Closed,
            Err(_) => IdleState::Open,
        }
    }

    /// Whether the session cannot be used any more. The gateway may close it while no request is open.
    pub fn is_unusable(&self) -> bool {
        self.idle_state() != IdleState::Open
    }

    /// The payload of the next packet; `None` if the connection ended.
    async fn read_packet(&mut self) -> Option<BytesMut> {
        loop {
            if let Some(payload) = self.take_packet() {
                return Some(payload);
            }
            if !matches!(self.stream.read_buf(&mut self.input).await, Ok(length) if length > 0) {
                return None;
            }
        }
    }

    /// The payload of a packet that has arrived completely.
    fn take_packet(&mut self) -> Option<BytesMut> {
        if self.input.len() < HEADER_BYTES {
            return None;
        }
        let size = u32::from_le_bytes([self.input[0], self.input[1], self.input[2], 0]) as usize;
        if self.input.len() < HEADER_BYTES + size {
            return None;
        }
        self.input.advance(HEADER_BYTES);
        Some(self.input.split_to(size))
    }

    /// Sends the packet of a query and reads its answer; `None` if the connection ended before the answer was complete.
    pub async fn query(&mut self, query: &[u8]) -> Option<RequestOutcome> {
        self.stream.write_all(query).await.ok()?;
        let first = self.read_packet().await?;
        match first[0] {
            OK => return Some(RequestOutcome::Served),
            ERROR => return Some(error_outcome(u16::from_le_bytes([first[1], first[2]]))),
            _ => {}
        }
        self.skip_past_eof().await?;
        self.skip_past_eof().await?;
        Some(RequestOutcome::Served)
    }

    /// Reads up to the next EOF packet: both the columns and the rows of a result end in one.
    async fn skip_past_eof(&mut self) -> Option<()> {
        loop {
            let packet = self.read_packet().await?;
            if packet[0] == EOF && packet.len() == EOF_BYTES {
                return Some(());
            }
        }
    }
}

/// The outcome of an error: 1040, 1203 and 1226 mean that the request was rejected before it ran.
fn error_outcome(code: u16) -> RequestOutcome {
    match code {
        1040 | 1203 | 1226 => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}
