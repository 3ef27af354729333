//! Encoding and decoding of the supported part of the MySQL client/server protocol 4.1, without I/O.

use crate::message::Rows;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;

/// Largest packet payload that is accepted from a client.
const MAX_PACKET_BYTES: usize = 256 * 1024;
const SERVER_VERSION: &[u8] = b"8.0.36-reedwalk\0";
const AUTH_PLUGIN: &[u8] = b"mysql_native_password\0";
const CLIENT_CONNECT_WITH_DB: u32 = 0x8;
const CLIENT_PROTOCOL_41: u32 = 0x200;
const CLIENT_SSL: u32 = 0x800;
const CLIENT_SECURE_CONNECTION: u32 = 0x8000;
const CLIENT_PLUGIN_AUTH: u32 = 0x8_0000;
const CLIENT_LENENC_AUTH: u32 = 0x20_0000;
/// Capabilities in the greeting: long password, found rows, long flag, transactions, and the supported ones of those
/// named above.
const SERVER_CAPABILITIES: u32 = 0x1
    | 0x2
    | 0x4
    | 0x2000
    | CLIENT_CONNECT_WITH_DB
    | CLIENT_PROTOCOL_41
    | CLIENT_SECURE_CONNECTION
    | CLIENT_PLUGIN_AUTH;
/// `utf8mb4_general_ci`.
const CHARSET_UTF8MB4: u8 = 45;
/// Server status flag: autocommit is on.
const STATUS_AUTOCOMMIT: u16 = 2;
const COLUMN_TYPE_VAR_STRING: u8 = 0xfd;

/// A violation of the protocol by the client. Its connection can't be used any more and has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad framing: {}", self.0)
    }
}

impl std::error::Error for ProtocolError {}

/// Returns the payload size of the packet at the start of `buffer`, or 0 while its header is incomplete.
///
/// # Errors
/// If the packet is too large or its sequence number is not `sequence`.
pub fn payload_size(buffer: &[u8], sequence: u8) -> Result<usize, ProtocolError> {
    let &[a, b, c, number, ..] = buffer else { return Ok(0) };
    let size = usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16;
    if number != sequence {
        return Err(ProtocolError("packet out of turn"));
    }
    if size > MAX_PACKET_BYTES {
        return Err(ProtocolError("packet too large"));
    }
    Ok(size)
}

/// Removes the packet at the start of `buffer` and returns its payload, or `None` if the packet is incomplete.
///
/// # Errors
/// If the packet is too large or its sequence number is not `sequence`.
pub fn take_packet(buffer: &mut BytesMut, sequence: u8) -> Result<Option<Bytes>, ProtocolError> {
    let size = payload_size(buffer, sequence)?;
    if buffer.len() < 4 + size {
        return Ok(None);
    }
    buffer.advance(4);
    Ok(Some(buffer.split_to(size).freeze()))
}

/// Encodes packets with consecutive sequence numbers.
pub struct Writer<'a> {
    out: &'a mut BytesMut,
    sequence: u8,
}

impl<'a> Writer<'a> {
    /// Creates a writer that appends to `out` and numbers its first packet `sequence`.
    pub fn new(out: &'a mut BytesMut, sequence: u8) -> Self {
        Self { out, sequence }
    }

    fn packet(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let start = self.out.len();
        self.out.put_u32_le(0);
        write(self.out);
        let size = self.out.len() - start - 4;
        self.out[start..start + 3].copy_from_slice(&(size as u32).to_le_bytes()[..3]);
        self.out[start + 3] = self.sequence;
        self.sequence = self.sequence.wrapping_add(1);
    }

    /// Writes the initial handshake packet, which announces the connection id.
    pub fn greeting(&mut self, connection_id: u32, scramble: [u8; 20]) {
        self.packet(|out| {
            out.put_u8(10);
            out.put_slice(SERVER_VERSION);
            out.put_u32_le(connection_id);
            out.put_slice(&scramble[..8]);
            out.put_u8(0);
            out.put_u16_le(SERVER_CAPABILITIES as u16);
            out.put_u8(CHARSET_UTF8MB4);
            out.put_u16_le(STATUS_AUTOCOMMIT);
            out.put_u16_le((SERVER_CAPABILITIES >> 16) as u16);
            out.put_u8(21);
            out.put_bytes(0, 10);
            out.put_slice(&scramble[8..]);
            out.put_u8(0);
            out.put_slice(AUTH_PLUGIN);
        });
    }

    /// Writes an OK packet.
    pub fn ok(&mut self, affected_rows: u64) {
        self.packet(|out| {
            out.put_u8(0);
            put_lenenc_int(out, affected_rows);
            out.put_u8(0);
            out.put_u16_le(STATUS_AUTOCOMMIT);
            out.put_u16_le(0);
        });
    }

    /// Writes an ERR packet.
    pub fn error(&mut self, code: u16, sql_state: &[u8; 5], message: &str) {
        self.packet(|out| {
            out.put_u8(0xff);
            out.put_u16_le(code);
            out.put_u8(b'#');
            out.put_slice(sql_state);
            out.put_slice(message.as_bytes());
        });
    }

    fn eof(&mut self) {
        self.packet(|out| {
            out.put_u8(0xfe);
            out.put_u16_le(0);
            out.put_u16_le(STATUS_AUTOCOMMIT);
        });
    }

    /// Writes a complete text result set.
    pub fn rows(&mut self, rows: &Rows) {
        let columns = rows.columns.max(1);
        self.packet(|out| put_lenenc_int(out, columns as u64));
        for column in 0..columns {
            self.packet(|out| {
                let name = rows.name(column);
                for text in ["def", "", "", "", &name, ""] {
                    put_lenenc_string(out, text.as_bytes());
                }
                out.put_u8(12);
                out.put_u16_le(u16::from(CHARSET_UTF8MB4));
                out.put_u32_le(65_535);
                out.put_u8(COLUMN_TYPE_VAR_STRING);
                out.put_u16_le(0);
                out.put_u8(0);
                out.put_u16_le(0);
            });
        }
        self.eof();
        for row in rows.iter() {
            self.packet(|out| {
                for cell in row {
                    match cell {
                        Some(text) => put_lenenc_string(out, text),
                        None => out.put_u8(0xfb),
                    }
                }
            });
        }
        self.eof();
    }
}

fn put_lenenc_int(out: &mut BytesMut, n: u64) {
    match n {
        0..=250 => out.put_u8(n as u8),
        251..=0xffff => {
            out.put_u8(0xfc);
            out.put_u16_le(n as u16);
        }
        0x1_0000..=0xff_ffff => {
            out.put_u8(0xfd);
            out.put_uint_le(n, 3);
        }
        _ => {
            out.put_u8(0xfe);
            out.put_u64_le(n);
        }
    }
}

fn put_lenenc_string(out: &mut BytesMut, text: &[u8]) {
    put_lenenc_int(out, text.len() as u64);
    out.put_slice(text);
}

/// The credentials and options in a client's login packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// User name: a team's name, or the default user.
    pub user: Bytes,
    /// Whether the password is empty.
    pub empty_password: bool,
    /// Default database, if the client named one.
    pub database: Option<Bytes>,
}

fn take_nul_terminated(bytes: &mut Bytes) -> Option<Bytes> {
    let end = bytes.iter().position(|b| *b == 0)?;
    let text = bytes.split_to(end);
    bytes.advance(1);
    Some(text)
}

/// Decodes a login packet, which is a handshake response of protocol 4.1.
///
/// # Errors
/// If the packet is truncated, belongs to an older protocol or requests TLS.
pub fn read_login(mut packet: Bytes) -> Result<Login, ProtocolError> {
    const TRUNCATED: ProtocolError = ProtocolError("login cut short");
    if packet.len() < 32 {
        return Err(TRUNCATED);
    }
    let flags = packet.get_u32_le();
    packet.advance(28);
    if flags & CLIENT_PROTOCOL_41 == 0 {
        return Err(ProtocolError("not protocol 4.1"));
    }
    if flags & CLIENT_SSL != 0 {
        return Err(ProtocolError("encryption is not offered"));
    }
    let user = take_nul_terminated(&mut packet).ok_or(TRUNCATED)?;
    let password = if flags & (CLIENT_SECURE_CONNECTION | CLIENT_LENENC_AUTH) != 0 {
        let size = usize::from(packet.first().copied().ok_or(TRUNCATED)?);
        if size > 250 || packet.len() < 1 + size {
            return Err(TRUNCATED);
        }
        packet.advance(1);
        packet.split_to(size)
    } else {
        take_nul_terminated(&mut packet).ok_or(TRUNCATED)?
    };
    // Some clients omit the NUL after the last string.
    let last_string =
        |packet: &mut Bytes| take_nul_terminated(packet).unwrap_or_else(|| std::mem::take(packet));
    let database = (flags & CLIENT_CONNECT_WITH_DB != 0).then(|| last_string(&mut packet));
    Ok(Login { user, empty_password: password.is_empty(), database: database.filter(|d| !d.is_empty()) })
}

/// A command from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `COM_QUERY`, with the statement.
    Query(Bytes),
    /// `COM_PING`.
    Ping,
    /// `COM_INIT_DB`. It has no effect, as there is only one database.
    UseDatabase,
    /// `COM_QUIT`.
    Quit,
    /// An unsupported command, with its number.
    Unknown(u8),
}

/// Decodes a command packet.
///
/// # Errors
/// If the packet is empty.
pub fn read_command(mut packet: Bytes) -> Result<Command, ProtocolError> {
    if packet.is_empty() {
        return Err(ProtocolError("empty command"));
    }
    Ok(match packet.get_u8() {
        0x01 => Command::Quit,
        0x02 => Command::UseDatabase,
        0x03 => Command::Query(packet),
        0x0e => Command::Ping,
        other => Command::Unknown(other),
    })
}
