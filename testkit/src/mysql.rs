//! A client of the MySQL protocol, written from its public documentation.

use crate::Outcome;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The trace id of the next statement.
static NEXT_TRACE: AtomicU64 = AtomicU64::new(1);

/// First byte of a query command.
const COM_QUERY: u8 = 3;
/// First byte of an OK packet.
const OK: u8 = 0;
/// First byte of an error packet.
const ERROR: u8 = 0xff;
/// Offset of the text in an error packet, after its first byte, the code, and the SQL state with its marker.
const ERROR_TEXT_OFFSET: usize = 9;
/// First byte of an EOF packet, which has five bytes.
const EOF: u8 = 0xfe;
const EOF_BYTES: usize = 5;
/// Capabilities of the client: long password, connect with database, protocol 4.1, secure connection, plugin auth.
const CAPABILITIES: u32 = 0x1 | 0x8 | 0x200 | 0x8000 | 0x8_0000;
/// Largest packet that the client announces, in bytes.
const MAX_PACKET_BYTES: u32 = 1 << 24;
/// Character set of the client: utf8mb4.
const CHARACTER_SET: u8 = 45;

/// The rows of a result, or the code and text of an error.
pub type QueryResult = Result<Vec<Vec<String>>, (u16, String)>;

/// A session.
pub struct Client {
    /// The connection, for tests that write or close it themselves.
    pub stream: TcpStream,
    /// The connection id of the greeting, as `KILL QUERY` takes it.
    pub id: u32,
}

/// A packet: its header and payload.
pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut packet = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    packet.push(sequence);
    packet.extend_from_slice(payload);
    packet
}

/// The login packet of the user `app`.
pub fn login_packet() -> Vec<u8> {
    login_packet_for("app")
}

/// The login packet of a user, with an empty password.
pub fn login_packet_for(user: &str) -> Vec<u8> {
    let mut payload = CAPABILITIES.to_le_bytes().to_vec();
    payload.extend_from_slice(&MAX_PACKET_BYTES.to_le_bytes());
    payload.push(CHARACTER_SET);
    payload.extend_from_slice(&[0; 23]);
    payload.extend_from_slice(user.as_bytes());
    payload.extend_from_slice(b"\0\0analytics\0mysql_native_password\0");
    packet(1, &payload)
}

/// The packet of a query command.
pub fn query_packet(text: &str) -> Vec<u8> {
    packet(0, &[&[COM_QUERY], text.as_bytes()].concat())
}

/// A statement preceded by its fields comment: class, a new trace id, timeout in milliseconds, and idempotency key if
/// there is one.
pub fn fields(class: &str, timeout_ms: u64, key: Option<&str>, statement: &str) -> String {
    let trace = NEXT_TRACE.fetch_add(1, Ordering::Relaxed);
    let key = key.map_or(String::new(), |key| format!(",nonce={key}"));
    format!("/* route={class},trace={trace:016x},patience={timeout_ms}{key} */ {statement}")
}

impl Client {
    /// Connects and logs in as the user `app`.
    ///
    /// # Panics
    ///
    /// If there is no session.
    pub async fn connect(address: SocketAddr) -> Self {
        Self::connect_as(address, "app").await
    }

    /// Connects and logs in as this user.
    ///
    /// # Panics
    ///
    /// If there is no session.
    pub async fn connect_as(address: SocketAddr, user: &str) -> Self {
        Self::try_connect_as(address, user).await.expect("no session")
    }

    /// Connects and logs in as this user; `None` if the connection or the login is rejected.
    pub async fn try_connect_as(address: SocketAddr, user: &str) -> Option<Self> {
        Self::login(TcpStream::connect(address).await.ok()?, user).await
    }

    /// Logs in as this user on an open connection; `None` if the login is rejected.
    pub async fn login(mut stream: TcpStream, user: &str) -> Option<Self> {
        // Sent before the greeting is read, as the protocol allows.
        stream.write_all(&login_packet_for(user)).await.ok()?;
        let mut client = Self { stream, id: 0 };
        let greeting = client.read().await?;
        let id_at = greeting.iter().position(|byte| *byte == 0)? + 1;
        client.id = u32::from_le_bytes(greeting.get(id_at..id_at + 4)?.try_into().ok()?);
        let answer = client.read().await?;
        (answer[0] == OK).then_some(client)
    }

    /// Reads the payload of the next packet; `None` if the connection ended.
    pub async fn read(&mut self) -> Option<Vec<u8>> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header).await.ok()?;
        let size = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
        let mut payload = vec![0; size];
        self.stream.read_exact(&mut payload).await.ok()?;
        Some(payload)
    }

    /// Reads the answer to a query.
    ///
    /// # Errors
    ///
    /// The code and text of an error that the gateway answered with.
    ///
    /// # Panics
    ///
    /// If the connection ends before the answer is complete, or the answer cannot be parsed.
    pub async fn answer(&mut self) -> QueryResult {
        let first = self.read().await.expect("no answer");
        self.read_remaining_packets(first).await
    }

    /// Sends a query and reads its answer; `None` if the connection ends before an answer begins.
    ///
    /// # Panics
    ///
    /// If the connection ends within the answer, or the answer cannot be parsed.
    pub async fn try_query(&mut self, text: &str) -> Option<QueryResult> {
        self.stream.write_all(&query_packet(text)).await.ok()?;
        let first = self.read().await?;
        Some(self.read_remaining_packets(first).await)
    }

    /// Reads the rest of an answer after its first packet.
    async fn read_remaining_packets(&mut self, first: Vec<u8>) -> QueryResult {
        match first[0] {
            OK => return Ok(Vec::new()),
            ERROR => {
                let code = u16::from_le_bytes([first[1], first[2]]);
                return Err((code, String::from_utf8_lossy(&first[ERROR_TEXT_OFFSET..]).into_owned()));
            }
            _ => {}
        }
        let column_count = first[0];
        for _ in 0..column_count {
            self.read().await.unwrap();
        }
        assert_eq!(self.read().await.unwrap()[0], EOF);
        let mut rows = Vec::new();
        loop {
            let row = self.read().await.expect("the result is incomplete");
            if row[0] == EOF && row.len() == EOF_BYTES {
                return Ok(rows);
            }
            rows.push(cells(&row));
        }
    }

    /// Sends a query and does not wait for its answer.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub async fn send_query(&mut self, text: &str) {
        self.stream.write_all(&query_packet(text)).await.unwrap();
    }

    /// Sends a query and reads its answer.
    ///
    /// # Errors
    ///
    /// The code and text of an error that the gateway answered with.
    ///
    /// # Panics
    ///
    /// If the connection ends before the answer is complete, or the answer cannot be parsed.
    pub async fn query(&mut self, text: &str) -> QueryResult {
        self.stream.write_all(&query_packet(text)).await.unwrap();
        self.answer().await
    }

    /// Sends a query and returns how it ended.
    ///
    /// # Panics
    ///
    /// If the connection ends before the answer is complete, or the answer cannot be parsed.
    pub async fn outcome(&mut self, text: &str) -> Outcome {
        match self.query(text).await {
            Ok(_) => Outcome::Served,
            Err((code @ (1040 | 1203 | 1226), text)) => {
                Outcome::Rejected(rejection_reason(code, &text), text.contains("pause="))
            }
            Err((1064, _)) => Outcome::BadInput,
            Err((3024, _)) => Outcome::Failed("DEADLINE"),
            Err(_) => Outcome::Failed("ENGINE"),
        }
    }
}

/// The reason of a rejection, from the code and text of its error.
fn rejection_reason(code: u16, text: &str) -> &'static str {
    match code {
        1040 => "SHED",
        1203 => "BUSY",
        _ if text.contains("budget") => "BUDGET",
        _ => "CONTRACT",
    }
}

/// The values of a row, each shorter than 251 bytes (a one-byte length prefix).
fn cells(row: &[u8]) -> Vec<String> {
    let mut cells = Vec::new();
    let mut at = 0;
    while at < row.len() {
        let size = row[at] as usize;
        cells.push(String::from_utf8(row[at + 1..at + 1 + size].to_vec()).unwrap());
        at += 1 + size;
    }
    cells
}

/// The rows that the scripted engines serve, as this client reads them.
pub fn expected_rows() -> Vec<Vec<String>> {
    crate::rows().into_iter().map(|row| row.to_vec()).collect()
}
