//! A stand-in for a client, after the page "Protocol": the MySQL client protocol 4.1, one query at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Capabilities that the client announces: long password, connect with database, protocol 4.1, secure connection,
/// plugin authentication.
const CAPABILITIES: u32 = 0x1 | 0x8 | 0x200 | 0x8000 | 0x80000;
/// The client's command to run a statement.
const COM_QUERY: u8 = 3;
/// Error numbers that stand for a refusal.
const REFUSALS: [u16; 3] = [1040, 1203, 1226];

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A result set that ended in EOF, with its number of rows.
    Served(usize),
    /// Error 1040, 1203 or 1226: trying again is harmless.
    Refused(u16, String),
    /// Any other error.
    Failed(u16, String),
    /// The connection ended, or the time was up, without a whole answer.
    Lost(String),
}

/// The fields of a request.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    /// The class.
    pub route: &'a str,
    /// 16 hexadecimal digits, new with every request.
    pub trace: u64,
    /// How long the client waits.
    pub patience: Duration,
    /// The idempotency key.
    pub nonce: Option<&'a str>,
    /// Marks a client's retry.
    pub redo: bool,
}

impl Fields<'_> {
    /// The comment that carries the fields.
    fn comment(&self) -> String {
        let (route, trace, patience) = (self.route, self.trace, self.patience.as_millis());
        let mut text = format!("route={route},trace={trace:016x},patience={patience}");
        if let Some(nonce) = self.nonce {
            text.push_str(&format!(",nonce={nonce}"));
        }
        if self.redo {
            text.push_str(",redo=1");
        }
        format!("/* {text} */ ")
    }
}

/// A session of a client.
pub struct Client {
    stream: TcpStream,
    /// The connection id from the greeting.
    pub connection_id: u32,
}

impl Client {
    /// Connects and logs in.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let greeting = read_packet(&mut stream)?;
        let version = greeting.iter().skip(1).position(|byte| *byte == 0).unwrap_or(0);
        let id = greeting.get(version + 2..version + 6).ok_or(std::io::ErrorKind::InvalidData)?;
        let connection_id = u32::from_le_bytes([id[0], id[1], id[2], id[3]]);
        let mut login = Vec::new();
        login.extend_from_slice(&CAPABILITIES.to_le_bytes());
        login.extend_from_slice(&(1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend_from_slice(&[0; 23]);
        login.extend_from_slice(b"app\0\0analytics\0mysql_native_password\0");
        write_packet(&mut stream, 1, &login)?;
        match read_packet(&mut stream)?.first() {
            Some(0) => Ok(Self { stream, connection_id }),
            _ => Err(std::io::ErrorKind::PermissionDenied.into()),
        }
    }

    /// Sends a statement and waits for its answer, at most for its patience and this margin.
    pub fn query(&mut self, fields: &Fields<'_>, statement: &str, margin: Duration) -> Answer {
        let mut command = vec![COM_QUERY];
        command.extend_from_slice(fields.comment().as_bytes());
        command.extend_from_slice(statement.as_bytes());
        let lost = |error: std::io::Error| Answer::Lost(error.to_string());
        let timeout = self.stream.set_read_timeout(Some(fields.patience + margin));
        match timeout.and_then(|()| write_packet(&mut self.stream, 0, &command)) {
            Ok(()) => self.read_answer().unwrap_or_else(lost),
            Err(error) => lost(error),
        }
    }

    fn read_answer(&mut self) -> std::io::Result<Answer> {
        let first = read_packet(&mut self.stream)?;
        if first.first() == Some(&0xff) && first.len() >= 9 {
            let code = u16::from_le_bytes([first[1], first[2]]);
            let text = String::from_utf8_lossy(&first[9..]).into_owned();
            let is_refusal = REFUSALS.contains(&code);
            return Ok(if is_refusal { Answer::Refused(code, text) } else { Answer::Failed(code, text) });
        }
        // The packets of a result set: columns, EOF, rows, EOF.
        let mut eofs = 0;
        let mut rows = 0;
        while eofs < 2 {
            let packet = read_packet(&mut self.stream)?;
            if packet.first() == Some(&0xfe) && packet.len() < 9 {
                eofs += 1;
            } else if eofs == 1 {
                rows += 1;
            }
        }
        Ok(Answer::Served(rows))
    }
}

fn read_packet(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let size = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
    let mut payload = vec![0; size];
    stream.read_exact(&mut payload)?;
    Ok(payload)
}

fn write_packet(stream: &mut TcpStream, sequence: u8, payload: &[u8]) -> std::io::Result<()> {
    let size = (payload.len() as u32).to_le_bytes();
    let mut packet = vec![size[0], size[1], size[2], sequence];
    packet.extend_from_slice(payload);
    stream.write_all(&packet)
}
