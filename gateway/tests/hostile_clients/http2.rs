//! A client that writes HTTP/2 frames by hand, so that it can send what no library sends: incomplete requests, heads of
//! many fields, and frames at full speed.

use arrow_flight::sql::{CommandStatementUpdate, ProstMessageExt};
use arrow_flight::{FlightData, FlightDescriptor};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Largest payload of a frame that every server accepts.
const MAX_FRAME_BYTES: usize = 16_384;
/// Window of a stream and of a connection before any update.
pub const DEFAULT_WINDOW_BYTES: usize = 65_535;

/// Types of frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
/// Flags of frames.
const END_STREAM: u8 = 0x1;
const END_HEADERS: u8 = 0x4;
/// The error code `CANCEL`.
const CANCEL: u32 = 8;

/// The call that submits a statement for a later fetch.
pub const GET_FLIGHT_INFO: &str = "/arrow.flight.protocol.FlightService/GetFlightInfo";
/// The call that runs an update, whose request is a stream.
pub const DO_PUT: &str = "/arrow.flight.protocol.FlightService/DoPut";

/// An encoded frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend_from_slice(&[kind, flags]);
    frame.extend_from_slice(&stream.to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// A header field without indexing or compression; both parts are shorter than 127 bytes.
fn put_field(block: &mut Vec<u8>, name: &str, value: &str) {
    block.push(0);
    for text in [name, value] {
        block.push(text.len() as u8);
        block.extend_from_slice(text.as_bytes());
    }
}

/// The frames of a request's head, with `extra` fields after those that a call needs.
pub fn head(stream: u32, path: &str, extra: &[(String, String)]) -> Vec<u8> {
    let mut block = Vec::new();
    let needed = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "gateway"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    for (name, value) in needed {
        put_field(&mut block, name, value);
    }
    for (name, value) in extra {
        put_field(&mut block, name, value);
    }
    let chunks: Vec<_> = block.chunks(MAX_FRAME_BYTES).collect();
    let mut frames = Vec::new();
    for (index, chunk) in chunks.iter().enumerate() {
        let kind = if index == 0 { HEADERS } else { CONTINUATION };
        let flags = if index + 1 == chunks.len() { END_HEADERS } else { 0 };
        frames.extend(frame(kind, flags, stream, chunk));
    }
    frames
}

/// A frame with a part of a request's body.
pub fn data(stream: u32, payload: &[u8], is_last: bool) -> Vec<u8> {
    frame(DATA, if is_last { END_STREAM } else { 0 }, stream, payload)
}

/// A frame that cancels a call.
pub fn reset(stream: u32) -> Vec<u8> {
    frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes())
}

/// A frame that the server has to answer.
pub fn ping() -> Vec<u8> {
    frame(PING, 0, 0, &[0; 8])
}

/// A frame that the server reads and does not answer.
pub fn priority(stream: u32) -> Vec<u8> {
    frame(PRIORITY, 0, stream, &[0; 5])
}

/// The prefix of a gRPC message of this size.
pub fn message_prefix(size: u32) -> [u8; 5] {
    let [a, b, c, d] = size.to_be_bytes();
    [0, a, b, c, d]
}

/// The message with which a client submits an update over Flight SQL.
pub fn update_message(statement: &str) -> Vec<u8> {
    let command = CommandStatementUpdate { query: statement.to_owned(), transaction_id: None };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() }.encode_to_vec();
    [&message_prefix(data.len() as u32)[..], &data].concat()
}

/// An open connection.
pub struct Connection {
    pub stream: TcpStream,
    /// Bytes that may be sent on the connection.
    pub window: usize,
    /// Bytes that may be sent on a new stream.
    pub stream_window: usize,
}

impl Connection {
    /// Connects, and reads what the server announces at once.
    pub async fn open(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(&[PREFACE, &frame(SETTINGS, 0, 0, &[])].concat()).await.unwrap();
        let mut connection =
            Self { stream, window: DEFAULT_WINDOW_BYTES, stream_window: DEFAULT_WINDOW_BYTES };
        while connection.read_frame(Duration::from_millis(100)).await {}
        connection
    }

    /// Reads a frame; returns whether there was one in this time.
    pub async fn read_frame(&mut self, limit: Duration) -> bool {
        let mut header = [0; 9];
        if !matches!(timeout(limit, self.stream.read_exact(&mut header)).await, Ok(Ok(_))) {
            return false;
        }
        let size = u32::from_be_bytes([0, header[0], header[1], header[2]]) as usize;
        let mut payload = vec![0; size];
        if self.stream.read_exact(&mut payload).await.is_err() {
            return false;
        }
        match (header[3], header[4]) {
            (SETTINGS, 0) => self.on_settings(&payload).await,
            (WINDOW_UPDATE, _) if header[5..] == [0; 4] => {
                self.window += u32::from_be_bytes(payload[..4].try_into().unwrap()) as usize;
            }
            _ => {}
        }
        true
    }

    async fn on_settings(&mut self, payload: &[u8]) {
        const INITIAL_WINDOW_SIZE: u16 = 4;
        const ACK: u8 = 1;
        for setting in payload.chunks_exact(6) {
            if u16::from_be_bytes([setting[0], setting[1]]) == INITIAL_WINDOW_SIZE {
                self.stream_window = u32::from_be_bytes(setting[2..].try_into().unwrap()) as usize;
            }
        }
        let _ = self.stream.write_all(&frame(SETTINGS, ACK, 0, &[])).await;
    }

    /// Sends this many bytes of a body that does not end, as far as the windows allow it within a second.
    pub async fn send_body(&mut self, stream: u32, size: usize) {
        let mut left = size.min(self.stream_window);
        while left > 0 {
            let length = left.min(self.window).min(MAX_FRAME_BYTES);
            if length == 0 {
                if !self.read_frame(Duration::from_secs(1)).await {
                    return;
                }
                continue;
            }
            if self.stream.write_all(&data(stream, &vec![b'x'; length], false)).await.is_err() {
                return;
            }
            (self.window, left) = (self.window - length, left - length);
        }
    }
}
